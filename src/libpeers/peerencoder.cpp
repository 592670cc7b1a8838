#include "peercodec.h"

#include "peerformat.h"

#include "libjson/json.h"

#include <utility>

namespace cowslippin {

namespace {

using nlohmann::json;

json
toJson(const ShardId& shard)
{
  return json::array({ shard.zone().value(), shard.index(), shard.count() });
}

json
toJson(const JobKey& key)
{
  return json::array(
    { key.submitter().value(), key.job().value(), key.part() });
}

json
toJson(const std::vector<Address>& addresses)
{
  json list = json::array();
  for (const Address& address : addresses)
    list.push_back(json::array({ address.host(), address.port() }));
  return list;
}

json
toJson(const PeerAddresses& message)
{
  return json::array({ toJson(message.addresses) });
}

json
toJson(const PeerHello& hello)
{
  return json::array({ peerFormatVersion,
                       hello.vm.value(),
                       hello.incarnation.value(),
                       hello.zone.value(),
                       hello.address.host(),
                       hello.address.port(),
                       toJson(hello.knownAddresses) });
}

json
toJson(const EvacuatedZones& evacuations)
{
  json zones = json::array();
  for (const ZoneName& zone : evacuations.zones)
    zones.push_back(zone.value());
  return json::array({ evacuations.logPosition, std::move(zones) });
}

json
toJson(const std::vector<LongRunningJob>& jobs)
{
  json list = json::array();
  for (const LongRunningJob& job : jobs)
    list.push_back(json::array({ job.job.value(), job.age.count() }));
  return list;
}

json
toJson(const PeerHeartbeat& beat)
{
  json shards = json::array();
  for (const auto& [shard, held] : beat.shards)
    shards.push_back(json::array(
      { toJson(shard), held.token, held.freeSlots, held.workersDigest }));
  return json::array({ beat.isLeaving,
                       beat.isReady,
                       std::move(shards),
                       beat.highestToken,
                       beat.configVersion,
                       beat.isCpuStarved,
                       beat.slowness,
                       beat.hasJustStarted,
                       beat.workerCapacity,
                       toJson(beat.evacuations),
                       beat.nextHeartbeatWithin.count(),
                       beat.sentAt,
                       toJson(beat.longRunningJobs),
                       beat.isAckRequested });
}

json
toJson(const QueuePolicy& policy)
{
  return json::array({ policy.queue,
                       policy.service.value(),
                       policy.priority,
                       policy.maxAttempts,
                       policy.stretch,
                       policy.target.count() });
}

json
toJson(const TaskNeeds& needs)
{
  return json::array({ needs.resources.cpuMillis(),
                       needs.resources.memoryMb(),
                       needs.resources.accelerators(),
                       needs.estimate.count(),
                       needs.requiredLabel,
                       needs.preferredRack,
                       needs.maxPerWorker });
}

json
toJson(const std::vector<TaskLocation>& locations)
{
  json list = json::array();
  for (const TaskLocation& location : locations)
    list.push_back(json::array({ location.task, location.worker.value() }));
  return list;
}

json
toJson(const ShardWorkers& workers)
{
  return json::array({ toJson(workers.shard), workers.digest });
}

json
toJson(const std::optional<Quarantine>& quarantine)
{
  if (!quarantine)
    return nullptr;
  const json lostHoldersWorkers = quarantine->lostHoldersWorkers
                                    ? toJson(*quarantine->lostHoldersWorkers)
                                    : json();
  const json activeTasks =
    quarantine->activeTasks ? toJson(*quarantine->activeTasks) : json();
  return json::array({ lostHoldersWorkers,
                       quarantine->sinceLoss.count(),
                       quarantine->timeRemaining.count(),
                       activeTasks });
}

json
toJson(const CrashCounts& crashes)
{
  json list = json::array();
  for (const auto& [task, count] : crashes)
    list.push_back(json::array({ task, count }));
  return list;
}

json
toJson(const PeerHeartbeatAck& ack)
{
  return json::array({ ack.newestProcessed, ack.newestReceived });
}

json
toJson(const PeerSubmit& submit)
{
  const JobRequest& request = submit.request;
  return json::array({ toJson(request.key),
                       toJson(request.policy),
                       toJson(request.needs),
                       toJson(request.shard),
                       request.spec,
                       request.taskPrefix,
                       request.tasks,
                       request.firstRun,
                       request.age.count(),
                       request.timeLeft.count(),
                       toJson(request.quarantine),
                       request.previousPart,
                       request.mayHaveRun,
                       request.allowsReturn,
                       toJson(request.crashes),
                       toJson(submit.ack),
                       submit.ackAge.count(),
                       request.exclusiveFor.count() });
}

json
toJson(const PeerJobEnd& ended)
{
  return json::array({ toJson(ended.key),
                       static_cast<int>(ended.end.outcome),
                       ended.end.retryAfter.count(),
                       ended.end.done,
                       ended.end.nextRun,
                       toJson(ended.end.activeTasks),
                       toJson(ended.end.crashes) });
}

json
toJson(const PeerTasksReturned& message)
{
  return json::array({ toJson(message.key),
                       message.returned.tasks,
                       message.returned.holder.value(),
                       toJson(message.returned.shard),
                       message.returned.nextRun,
                       toJson(message.returned.crashes) });
}

json
toJson(const PeerCancel& cancel)
{
  return json::array({ toJson(cancel.key) });
}

json
toJson(const PeerJobAdvertised& keep)
{
  return json::array({ toJson(keep.key) });
}

json
toJson(const PeerRecall& recall)
{
  return json::array(
    { recall.job.value(), recall.age.count(), recall.isWaiting });
}

json
toJson(const std::vector<VmId>& vms)
{
  json list = json::array();
  for (const VmId& vm : vms)
    list.push_back(vm.value());
  return list;
}

json
toJson(const PeerJobRegistration& registration)
{
  return json::array({ registration.job.value(),
                       registration.number,
                       toJson(registration.endedAt),
                       registration.isAnswerRequested });
}

json
toJson(const PeerJobRegistrationAck& ack)
{
  return json::array({ ack.job.value(),
                       ack.number,
                       ack.gateway.value(),
                       ack.expiresIn.count(),
                       ack.isComplete,
                       toJson(ack.alsoAsk) });
}

json
toJson(const PeerRecallAck& recalled)
{
  return json::array({ recalled.job.value(), recalled.endedWithin.count() });
}

json
toJson(const PeerConfigPart& part)
{
  // Sent as binary because a part may end within a UTF-8 character.
  return json::array(
    { part.version,
      part.size,
      part.offset,
      json::binary({ part.bytes.begin(), part.bytes.end() }) });
}

json
toJson(const PeerConfigRequest& request)
{
  return json::array({ request.version, request.offset, request.maxBytes });
}

json
toJson(const PeerConfigBusy&)
{
  return json::array();
}

json
toJson(const PeerWorkerChanges& news)
{
  json entries = json::array();
  for (const auto& [id, entry] : news.entries)
    entries.push_back(json::array({ id, entry }));
  return json::array({ news.from, news.end, std::move(entries) });
}

json
toJson(const PeerUnresolvedStarts& message)
{
  json starts = json::array();
  for (const auto& start : message.starts)
    starts.push_back(json::array({ start.key.task(),
                                   start.key.run(),
                                   start.worker.value(),
                                   start.remaining.count() }));
  return json::array({ std::move(starts) });
}

} // namespace

std::vector<std::uint8_t>
encodePeerMessage(const PeerMessage& message)
{
  json body =
    std::visit([](const auto& part) { return toJson(part); }, message);
  return writeCbor(json::array({ message.index(), std::move(body) }));
}

} // namespace cowslippin
