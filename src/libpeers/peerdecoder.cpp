#include "peercodec.h"

#include "peerformat.h"

#include "libjson/json.h"

#include <utility>

namespace cowslippin {

namespace {

/// The deepest message has a list of task locations in a quarantine.
constexpr ParseLimits messageLimits{ maxPeerMessageBytes, 8, 200'000 };
constexpr std::size_t maxSpecBytes = std::size_t(64) * 1024;
/// A relayed worker's entry, which its decoder limits further.
constexpr std::size_t maxEntryBytes = std::size_t(64) * 1024;
constexpr std::size_t maxAddresses = 4096;
constexpr std::size_t maxVms = 4096;
constexpr std::size_t maxZones = 1000;
constexpr std::size_t maxRows = 20'000;
constexpr unsigned maxShards = 10'000;
/// 2^53. Versions, tokens, offsets and numbers of runs stay far below, and the
/// next ones above the largest that is accepted are valid, too.
constexpr std::uint64_t maxCount = std::uint64_t(1) << 53;
constexpr std::int64_t maxTime = std::int64_t(1) << 53;
constexpr std::int64_t maxDuration = maxPeerDuration.count();
constexpr std::size_t maxWorkers = 1'000'000;
constexpr std::size_t maxTaskRate = 1'000'000;
constexpr int maxSlowness = 1000;
/// The kind of a `PeerConfigBusy`, which has no members.
constexpr std::size_t configBusyKind = 9;

/// A name, which may be empty.
std::string
text(CborReader& reader)
{
  return reader.text(maxNameBytes);
}

Duration
duration(CborReader& reader)
{
  return Duration(reader.integer<std::int64_t>(-maxDuration, maxDuration));
}

std::uint64_t
count(CborReader& reader)
{
  return reader.integer<std::uint64_t>(0, maxCount);
}

std::int64_t
time(CborReader& reader)
{
  return reader.integer<std::int64_t>(-maxTime, maxTime);
}

TaskIndex
taskIndex(CborReader& reader)
{
  return reader.integer<TaskIndex>(0, maxTasksPerJob - 1);
}

/// Reads a list whose elements have a fixed meaning each.
template<class Read>
auto
readMembers(CborReader& reader, Read read)
{
  reader.beginMembers();
  auto value = read();
  reader.end();
  return value;
}

/// Calls a function for each element of a list, which it has to read.
template<class Read>
void
readEach(CborReader& reader, std::size_t maxSize, Read read)
{
  for (std::size_t left = reader.beginList(maxSize); left > 0; --left)
    read();
  reader.end();
}

/// Calls a function for each element of a list, which is itself a list whose
/// elements have a fixed meaning each.
template<class Read>
void
readRows(CborReader& reader, std::size_t maxSize, Read read)
{
  readEach(reader, maxSize, [&] {
    reader.beginMembers();
    read();
    reader.end();
  });
}

std::vector<TaskIndex>
readTasks(CborReader& reader)
{
  std::vector<TaskIndex> tasks;
  readEach(reader, maxTasksPerJob, [&] { tasks.push_back(taskIndex(reader)); });
  return tasks;
}

ShardId
readShard(CborReader& reader)
{
  return readMembers(reader, [&] {
    return ShardId{ ZoneName(text(reader)),
                    reader.integer<unsigned>(0, maxShards),
                    reader.integer<unsigned>(1, maxShards) };
  });
}

JobKey
readKey(CborReader& reader)
{
  return readMembers(reader, [&] {
    return JobKey{ VmId(text(reader)),
                   JobId(text(reader)),
                   reader.integer<std::uint64_t>() };
  });
}

/// Reads an address from the next two values.
Address
readAddress(CborReader& reader)
{
  std::string host = text(reader);
  Address address(host, reader.integer<std::uint16_t>());
  if (!Address::parse(address.toString(), "address"))
    throw InvalidJsonValue(host, "an IP address");
  return address;
}

std::vector<Address>
readAddresses(CborReader& reader)
{
  std::vector<Address> addresses;
  readRows(
    reader, maxAddresses, [&] { addresses.push_back(readAddress(reader)); });
  return addresses;
}

PeerHello
readHello(CborReader& reader)
{
  PeerHello hello;
  if (const double version = reader.number(0, double(maxCount));
      version != double(peerFormatVersion))
    throw InvalidJsonValue(static_cast<std::uint64_t>(version),
                           "format version " +
                             std::to_string(peerFormatVersion));
  hello.vm = VmId(text(reader));
  hello.incarnation = Incarnation(text(reader));
  hello.zone = ZoneName(text(reader));
  hello.address = readAddress(reader);
  hello.knownAddresses = readAddresses(reader);
  return hello;
}

EvacuatedZones
readEvacuations(CborReader& reader)
{
  return readMembers(reader, [&] {
    EvacuatedZones evacuations;
    evacuations.logPosition = count(reader);
    readEach(
      reader, maxZones, [&] { evacuations.zones.emplace(text(reader)); });
    return evacuations;
  });
}

PeerHeartbeat
readBeat(CborReader& reader)
{
  PeerHeartbeat beat;
  beat.isLeaving = reader.flag();
  beat.isReady = reader.flag();
  readRows(reader, maxShards, [&] {
    const ShardId shard = readShard(reader);
    beat.shards[shard] = HeldShard{ count(reader),
                                    reader.integer<unsigned>(0, maxSlots),
                                    reader.integer<ShardDigest>() };
  });
  beat.highestToken = count(reader);
  beat.configVersion = count(reader);
  beat.isCpuStarved = reader.flag();
  beat.slowness = reader.integer<int>(-maxSlowness, maxSlowness);
  beat.hasJustStarted = reader.flag();
  beat.workerCapacity = reader.integer<std::size_t>(1, maxWorkers);
  beat.evacuations = readEvacuations(reader);
  beat.nextHeartbeatWithin = duration(reader);
  beat.sentAt = time(reader);
  readRows(reader, maxRows, [&] {
    beat.longRunningJobs.push_back(
      LongRunningJob{ JobId(text(reader)), duration(reader) });
  });
  beat.isAckRequested = reader.flag();
  beat.taskRate = reader.integer<std::size_t>(1, maxTaskRate);
  return beat;
}

QueuePolicy
readPolicy(CborReader& reader)
{
  return readMembers(reader, [&] {
    QueuePolicy policy;
    policy.queue = text(reader);
    policy.service = ServiceName(text(reader));
    policy.priority = reader.integer<int>(-maxPriority, maxPriority);
    policy.maxAttempts = reader.integer<unsigned>(0, maxRunAttempts);
    policy.stretch = reader.number(0, maxStretch);
    policy.target = duration(reader);
    return policy;
  });
}

std::int64_t
resource(CborReader& reader)
{
  return reader.integer<std::int64_t>(0, maxResource);
}

TaskNeeds
readNeeds(CborReader& reader)
{
  return readMembers(reader, [&] {
    TaskNeeds needs;
    needs.resources =
      Resources{ resource(reader), resource(reader), resource(reader) };
    needs.estimate = duration(reader);
    needs.requiredLabel = text(reader);
    needs.preferredRack = text(reader);
    needs.maxPerWorker = reader.integer<unsigned>();
    return needs;
  });
}

std::vector<TaskLocation>
readLocations(CborReader& reader)
{
  std::vector<TaskLocation> locations;
  readRows(reader, maxTasksPerJob, [&] {
    locations.push_back(
      TaskLocation{ taskIndex(reader), WorkerId(text(reader)) });
  });
  return locations;
}

std::optional<Quarantine>
readQuarantine(CborReader& reader)
{
  if (reader.skipNull())
    return std::nullopt;
  return readMembers(reader, [&] {
    Quarantine quarantine;
    if (!reader.skipNull())
      quarantine.lostHoldersWorkers = readMembers(reader, [&] {
        return ShardWorkers{ readShard(reader), reader.integer<ShardDigest>() };
      });
    quarantine.sinceLoss = duration(reader);
    quarantine.timeRemaining = duration(reader);
    if (!reader.skipNull())
      quarantine.activeTasks = readLocations(reader);
    return std::optional<Quarantine>(std::move(quarantine));
  });
}

CrashCounts
readCrashes(CborReader& reader)
{
  CrashCounts crashes;
  readRows(reader, maxTasksPerJob, [&] {
    const TaskIndex task = taskIndex(reader);
    crashes[task] = reader.integer<unsigned>(0, maxRunAttempts);
  });
  return crashes;
}

PeerHeartbeatAck
readBeatAck(CborReader& reader)
{
  return PeerHeartbeatAck{ time(reader), time(reader) };
}

/// A duration, or `Duration::max()` for no limit.
Duration
limitedDuration(CborReader& reader)
{
  constexpr std::int64_t unlimited = Duration::max().count();
  const auto count = reader.integer<std::int64_t>();
  if (count != unlimited && (count < -maxDuration || count > maxDuration))
    integerFrom<std::int64_t>(count, -maxDuration, maxDuration);
  return Duration(count);
}

PeerSubmit
readSubmit(CborReader& reader)
{
  PeerSubmit submit;
  JobRequest& request = submit.request;
  request.key = readKey(reader);
  request.policy = readPolicy(reader);
  request.needs = readNeeds(reader);
  request.shard = readShard(reader);
  request.spec = reader.text(maxSpecBytes);
  request.taskPrefix = text(reader);
  request.tasks = readTasks(reader);
  request.firstRun = count(reader);
  request.age = duration(reader);
  request.timeLeft = duration(reader);
  request.quarantine = readQuarantine(reader);
  request.previousPart = reader.integer<std::uint64_t>();
  request.mayHaveRun = reader.flag();
  request.allowsReturn = reader.flag();
  request.crashes = readCrashes(reader);
  submit.ack = readMembers(reader, [&] { return readBeatAck(reader); });
  submit.ackAge = duration(reader);
  request.exclusiveFor = limitedDuration(reader);
  return submit;
}

PeerJobEnd
readJobEnd(CborReader& reader)
{
  PeerJobEnd ended;
  ended.key = readKey(reader);
  ended.end.outcome = static_cast<JobOutcome>(
    reader.integer<int>(0, static_cast<int>(JobOutcome::Unresolved)));
  ended.end.retryAfter = duration(reader);
  ended.end.done = readTasks(reader);
  ended.end.nextRun = count(reader);
  ended.end.activeTasks = readLocations(reader);
  ended.end.crashes = readCrashes(reader);
  return ended;
}

PeerTasksReturned
readTasksReturned(CborReader& reader)
{
  PeerTasksReturned message;
  message.key = readKey(reader);
  message.returned.tasks = readTasks(reader);
  message.returned.holder = VmId(text(reader));
  message.returned.shard = readShard(reader);
  message.returned.nextRun = count(reader);
  message.returned.crashes = readCrashes(reader);
  return message;
}

PeerConfigPart
readConfigPart(CborReader& reader)
{
  PeerConfigPart part;
  part.version = count(reader);
  part.size = count(reader);
  part.offset = count(reader);
  part.bytes = reader.binary();
  return part;
}

PeerWorkerChanges
readWorkerNews(CborReader& reader)
{
  PeerWorkerChanges news;
  news.from = count(reader);
  news.end = count(reader);
  readRows(reader, maxRows, [&] {
    std::string id = text(reader);
    news.entries[std::move(id)] = reader.text(maxEntryBytes);
  });
  return news;
}

PeerUnresolvedStarts
readUnresolvedStarts(CborReader& reader)
{
  PeerUnresolvedStarts message;
  readRows(reader, maxRows, [&] {
    std::string task = text(reader);
    const RunKey key(std::move(task), count(reader));
    WorkerId worker(text(reader));
    message.starts.push_back({ key, std::move(worker), duration(reader) });
  });
  return message;
}

PeerShardReleased
readShardReleased(CborReader& reader)
{
  PeerShardReleased message;
  message.shard = readShard(reader);
  message.token = count(reader);
  readRows(reader, maxRows, [&] {
    WorkerId worker(text(reader));
    message.lateStarts[std::move(worker)] = duration(reader);
  });
  return message;
}

std::vector<VmId>
readVms(CborReader& reader)
{
  std::vector<VmId> vms;
  readEach(reader, maxVms, [&] { vms.emplace_back(text(reader)); });
  return vms;
}

/// Reads the members of a message of this kind. In braces they are read in
/// their order.
PeerMessage
readMessage(std::size_t kind, CborReader& reader)
{
  if (kind == configBusyKind) {
    reader.skip();
    return PeerConfigBusy{};
  }
  reader.beginMembers();
  switch (kind) {
    case 0:
      return readHello(reader);
    case 1:
      return readBeat(reader);
    case 2:
      return readSubmit(reader);
    case 3:
      return readJobEnd(reader);
    case 4:
      return PeerCancel{ readKey(reader) };
    case 5:
      return readConfigPart(reader);
    case 6:
      return readTasksReturned(reader);
    case 7:
      return PeerAddresses{ readAddresses(reader) };
    case 8:
      return PeerConfigRequest{ count(reader), count(reader), count(reader) };
    case 10:
      return readWorkerNews(reader);
    case 11:
      return readBeatAck(reader);
    case 12:
      return readUnresolvedStarts(reader);
    case 13:
      return PeerJobAdvertised{ readKey(reader) };
    case 14:
      return PeerRecall{ JobId(text(reader)), duration(reader), reader.flag() };
    case 15:
      return PeerRecallAck{ JobId(text(reader)), duration(reader) };
    case 16:
      return PeerJobRegistration{ JobId(text(reader)),
                                  reader.integer<std::uint64_t>(),
                                  readVms(reader),
                                  reader.flag() };
    case 17:
      return PeerJobRegistrationAck{
        JobId(text(reader)), reader.integer<std::uint64_t>(),
        VmId(text(reader)),  duration(reader),
        reader.flag(),       readVms(reader)
      };
    case 18:
      return readShardReleased(reader);
    default:
      throw InvalidJsonValue("an unknown kind of message");
  }
}

} // namespace

Result<PeerMessage>
decodePeerMessage(const std::string& bytes)
{
  constexpr const char* field = "peer message";
  Result<CborReader> reader = CborReader::open(bytes, field, messageLimits);
  if (!reader)
    return failure(reader.error());
  try {
    reader->beginMembers();
    const auto kind = reader->integer<std::size_t>();
    return readMessage(kind, *reader);
  } catch (const std::exception& error) {
    return failure(
      Problem::invalidField(field, error.what(), "a message of this version"));
  }
}

} // namespace cowslippin
