#include "peercodec.h"

#include "peerformat.h"

#include "libjson/json.h"

#include <algorithm>

namespace cowslippin {

namespace {

/// Writes a list with an element for each value.
template<class List, class Write>
void
writeEach(CborWriter& writer, const List& list, Write write)
{
  writer.list(list.size());
  for (const auto& element : list)
    write(element);
}

void
write(CborWriter& writer, Duration duration)
{
  writer.integer(
    std::clamp(duration, -maxPeerDuration, maxPeerDuration).count());
}

/// Writes a duration that is `Duration::max()` for no limit.
void
writeLimited(CborWriter& writer, Duration duration)
{
  if (duration == Duration::max())
    writer.integer(duration.count());
  else
    write(writer, duration);
}

void
write(CborWriter& writer, const ShardId& shard)
{
  writer.list(3);
  writer.text(shard.zone().value());
  writer.integer(shard.index());
  writer.integer(shard.count());
}

void
write(CborWriter& writer, const JobKey& key)
{
  writer.list(3);
  writer.text(key.submitter().value());
  writer.text(key.job().value());
  writer.integer(key.part());
}

void
write(CborWriter& writer, const std::vector<Address>& addresses)
{
  writeEach(writer, addresses, [&](const Address& address) {
    writer.list(2);
    writer.text(address.host());
    writer.integer(address.port());
  });
}

void
write(CborWriter& writer, const std::vector<TaskIndex>& tasks)
{
  writeEach(writer, tasks, [&](TaskIndex task) { writer.integer(task); });
}

void
write(CborWriter& writer, const std::vector<VmId>& vms)
{
  writeEach(writer, vms, [&](const VmId& vm) { writer.text(vm.value()); });
}

void
write(CborWriter& writer, const PeerAddresses& message)
{
  writer.list(1);
  write(writer, message.addresses);
}

void
write(CborWriter& writer, const PeerHello& hello)
{
  writer.list(7);
  writer.integer(peerFormatVersion);
  writer.text(hello.vm.value());
  writer.text(hello.incarnation.value());
  writer.text(hello.zone.value());
  writer.text(hello.address.host());
  writer.integer(hello.address.port());
  write(writer, hello.knownAddresses);
}

void
write(CborWriter& writer, const EvacuatedZones& evacuations)
{
  writer.list(2);
  writer.integer(evacuations.logPosition);
  writeEach(writer, evacuations.zones, [&](const ZoneName& zone) {
    writer.text(zone.value());
  });
}

void
write(CborWriter& writer, const std::vector<LongRunningJob>& jobs)
{
  writeEach(writer, jobs, [&](const LongRunningJob& job) {
    writer.list(2);
    writer.text(job.job.value());
    write(writer, job.age);
  });
}

void
write(CborWriter& writer, const PeerHeartbeat& beat)
{
  writer.list(15);
  writer.flag(beat.isLeaving);
  writer.flag(beat.isReady);
  writeEach(writer, beat.shards, [&](const auto& held) {
    writer.list(4);
    write(writer, held.first);
    writer.integer(held.second.token);
    writer.integer(std::min(held.second.freeSlots, maxSlots));
    writer.integer(held.second.workersDigest);
  });
  writer.integer(beat.highestToken);
  writer.integer(beat.configVersion);
  writer.flag(beat.isCpuStarved);
  writer.integer(beat.slowness);
  writer.flag(beat.hasJustStarted);
  writer.integer(beat.workerCapacity);
  write(writer, beat.evacuations);
  write(writer, beat.nextHeartbeatWithin);
  writer.integer(beat.sentAt);
  write(writer, beat.longRunningJobs);
  writer.flag(beat.isAckRequested);
  writer.integer(beat.taskRate);
}

void
write(CborWriter& writer, const QueuePolicy& policy)
{
  writer.list(6);
  writer.text(policy.queue);
  writer.text(policy.service.value());
  writer.integer(policy.priority);
  writer.integer(policy.maxAttempts);
  writer.number(policy.stretch);
  write(writer, policy.target);
}

void
write(CborWriter& writer, const TaskNeeds& needs)
{
  writer.list(7);
  writer.integer(needs.resources.cpuMillis());
  writer.integer(needs.resources.memoryMb());
  writer.integer(needs.resources.accelerators());
  write(writer, needs.estimate);
  writer.text(needs.requiredLabel);
  writer.text(needs.preferredRack);
  writer.integer(needs.maxPerWorker);
}

void
write(CborWriter& writer, const std::vector<TaskLocation>& locations)
{
  writeEach(writer, locations, [&](const TaskLocation& location) {
    writer.list(2);
    writer.integer(location.task);
    writer.text(location.worker.value());
  });
}

void
write(CborWriter& writer, const ShardWorkers& workers)
{
  writer.list(2);
  write(writer, workers.shard);
  writer.integer(workers.digest);
}

void
write(CborWriter& writer, const Quarantine& quarantine);

template<class T>
void
write(CborWriter& writer, const std::optional<T>& value)
{
  if (value)
    write(writer, *value);
  else
    writer.null();
}

void
write(CborWriter& writer, const Quarantine& quarantine)
{
  writer.list(4);
  write(writer, quarantine.lostHoldersWorkers);
  write(writer, quarantine.sinceLoss);
  write(writer, quarantine.timeRemaining);
  write(writer, quarantine.activeTasks);
}

void
write(CborWriter& writer, const CrashCounts& crashes)
{
  writeEach(writer, crashes, [&](const auto& crash) {
    writer.list(2);
    writer.integer(crash.first);
    writer.integer(crash.second);
  });
}

void
write(CborWriter& writer, const PeerHeartbeatAck& ack)
{
  writer.list(2);
  writer.integer(ack.newestProcessed);
  writer.integer(ack.newestReceived);
}

void
write(CborWriter& writer, const PeerSubmit& submit)
{
  const JobRequest& request = submit.request;
  writer.list(18);
  write(writer, request.key);
  write(writer, request.policy);
  write(writer, request.needs);
  write(writer, request.shard);
  writer.text(request.spec);
  writer.text(request.taskPrefix);
  write(writer, request.tasks);
  writer.integer(request.firstRun);
  write(writer, request.age);
  write(writer, request.timeLeft);
  write(writer, request.quarantine);
  writer.integer(request.previousPart);
  writer.flag(request.mayHaveRun);
  writer.flag(request.allowsReturn);
  write(writer, request.crashes);
  write(writer, submit.ack);
  write(writer, submit.ackAge);
  writeLimited(writer, request.exclusiveFor);
}

void
write(CborWriter& writer, const PeerJobEnd& ended)
{
  writer.list(7);
  write(writer, ended.key);
  writer.integer(static_cast<int>(ended.end.outcome));
  write(writer, ended.end.retryAfter);
  write(writer, ended.end.done);
  writer.integer(ended.end.nextRun);
  write(writer, ended.end.activeTasks);
  write(writer, ended.end.crashes);
}

void
write(CborWriter& writer, const PeerTasksReturned& message)
{
  writer.list(6);
  write(writer, message.key);
  write(writer, message.returned.tasks);
  writer.text(message.returned.holder.value());
  write(writer, message.returned.shard);
  writer.integer(message.returned.nextRun);
  write(writer, message.returned.crashes);
}

void
write(CborWriter& writer, const PeerCancel& cancel)
{
  writer.list(1);
  write(writer, cancel.key);
}

void
write(CborWriter& writer, const PeerJobAdvertised& keep)
{
  writer.list(1);
  write(writer, keep.key);
}

void
write(CborWriter& writer, const PeerRecall& recall)
{
  writer.list(3);
  writer.text(recall.job.value());
  write(writer, recall.age);
  writer.flag(recall.isWaiting);
}

void
write(CborWriter& writer, const PeerJobRegistration& registration)
{
  writer.list(4);
  writer.text(registration.job.value());
  writer.integer(registration.number);
  write(writer, registration.endedAt);
  writer.flag(registration.isAnswerRequested);
}

void
write(CborWriter& writer, const PeerJobRegistrationAck& ack)
{
  writer.list(6);
  writer.text(ack.job.value());
  writer.integer(ack.number);
  writer.text(ack.gateway.value());
  write(writer, ack.expiresIn);
  writer.flag(ack.isComplete);
  write(writer, ack.alsoAsk);
}

void
write(CborWriter& writer, const PeerRecallAck& recalled)
{
  writer.list(2);
  writer.text(recalled.job.value());
  write(writer, recalled.endedWithin);
}

void
write(CborWriter& writer, const PeerConfigPart& part)
{
  writer.list(4);
  writer.integer(part.version);
  writer.integer(part.size);
  writer.integer(part.offset);
  // Sent as binary because a part may end within a UTF-8 character.
  writer.binary(part.bytes);
}

void
write(CborWriter& writer, const PeerConfigRequest& request)
{
  writer.list(3);
  writer.integer(request.version);
  writer.integer(request.offset);
  writer.integer(request.maxBytes);
}

void
write(CborWriter& writer, const PeerConfigBusy&)
{
  writer.list(0);
}

void
write(CborWriter& writer, const PeerWorkerChanges& news)
{
  writer.list(3);
  writer.integer(news.from);
  writer.integer(news.end);
  writeEach(writer, news.entries, [&](const auto& entry) {
    writer.list(2);
    writer.text(entry.first);
    writer.text(entry.second);
  });
}

void
write(CborWriter& writer, const PeerUnresolvedStarts& message)
{
  writer.list(1);
  writeEach(writer, message.starts, [&](const auto& start) {
    writer.list(4);
    writer.text(start.key.task());
    writer.integer(start.key.run());
    writer.text(start.worker.value());
    write(writer, start.remaining);
  });
}

void
write(CborWriter& writer, const PeerShardReleased& message)
{
  writer.list(3);
  write(writer, message.shard);
  writer.integer(message.token);
  writeEach(writer, message.lateStarts, [&](const auto& worker) {
    writer.list(2);
    writer.text(worker.first.value());
    write(writer, worker.second);
  });
}

} // namespace

std::vector<std::uint8_t>
encodePeerMessage(const PeerMessage& message)
{
  CborWriter writer;
  writer.list(2);
  writer.integer(message.index());
  std::visit([&](const auto& part) { write(writer, part); }, message);
  return writer.takeBytes();
}

} // namespace cowslippin
