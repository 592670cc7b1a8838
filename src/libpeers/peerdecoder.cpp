#include "peercodec.h"

#include "peerformat.h"

#include "libjson/json.h"

#include <utility>

namespace cowslippin {

namespace {

using nlohmann::json;

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
/// Longer than anything in progress, and short enough to be added to any time.
constexpr std::int64_t maxDuration =
  Duration(std::chrono::hours(24 * 30)).count();
constexpr std::int64_t maxResource = 1'000'000'000;
constexpr unsigned maxSlots = 1'000'000;
constexpr std::size_t maxWorkers = 1'000'000;
constexpr int maxSlowness = 1000;
constexpr int maxPriority = 1'000'000;
constexpr unsigned maxRunAttempts = 1'000'000;
constexpr double maxStretch = 1000;

/// A name, which may be empty.
std::string
text(const json& value)
{
  return textFrom(value, maxNameBytes);
}

Duration
duration(const json& value)
{
  return Duration(integerFrom<std::int64_t>(value, -maxDuration, maxDuration));
}

/// A duration, or `Duration::max()` for no limit.
Duration
limitedDuration(const json& value)
{
  const auto count = integerFrom<std::int64_t>(value);
  return count == Duration::max().count() ? Duration::max() : duration(value);
}

std::uint64_t
count(const json& value)
{
  return integerFrom<std::uint64_t>(value, 0, maxCount);
}

std::int64_t
time(const json& value)
{
  return integerFrom<std::int64_t>(value, -maxTime, maxTime);
}

TaskIndex
taskIndex(const json& value)
{
  return integerFrom<TaskIndex>(value, 0, maxTasksPerJob - 1);
}

std::vector<TaskIndex>
readTasks(const json& value)
{
  std::vector<TaskIndex> tasks;
  for (const json& task : listFrom(value, maxTasksPerJob))
    tasks.push_back(taskIndex(task));
  return tasks;
}

ShardId
readShard(const json& value)
{
  return { ZoneName(text(elementOf(value, 0))),
           integerFrom<unsigned>(elementOf(value, 1), 0, maxShards),
           integerFrom<unsigned>(elementOf(value, 2), 1, maxShards) };
}

JobKey
readKey(const json& value)
{
  return { VmId(text(elementOf(value, 0))),
           JobId(text(elementOf(value, 1))),
           integerFrom<std::uint64_t>(elementOf(value, 2)) };
}

Address
readAddress(const json& host, const json& port)
{
  Address address(text(host), integerFrom<std::uint16_t>(port));
  if (!Address::parse(address.toString(), "address"))
    throw InvalidJsonValue(host, "an IP address");
  return address;
}

std::vector<Address>
readAddresses(const json& value)
{
  std::vector<Address> addresses;
  for (const json& address : listFrom(value, maxAddresses))
    addresses.push_back(
      readAddress(elementOf(address, 0), elementOf(address, 1)));
  return addresses;
}

PeerHello
readHello(const json& value)
{
  if (elementOf(value, 0) != peerFormatVersion)
    throw InvalidJsonValue(elementOf(value, 0),
                           "format version " +
                             std::to_string(peerFormatVersion));
  PeerHello hello;
  hello.vm = VmId(text(elementOf(value, 1)));
  hello.incarnation = Incarnation(text(elementOf(value, 2)));
  hello.zone = ZoneName(text(elementOf(value, 3)));
  hello.address = readAddress(elementOf(value, 4), elementOf(value, 5));
  hello.knownAddresses = readAddresses(elementOf(value, 6));
  return hello;
}

EvacuatedZones
readEvacuations(const json& value)
{
  EvacuatedZones evacuations;
  evacuations.logPosition = count(elementOf(value, 0));
  for (const json& zone : listFrom(elementOf(value, 1), maxZones))
    evacuations.zones.insert(ZoneName(text(zone)));
  return evacuations;
}

PeerHeartbeat
readBeat(const json& value)
{
  PeerHeartbeat beat;
  beat.isLeaving = flagFrom(elementOf(value, 0));
  beat.isReady = flagFrom(elementOf(value, 1));
  for (const json& shard : listFrom(elementOf(value, 2), maxShards))
    beat.shards[readShard(elementOf(shard, 0))] = {
      count(elementOf(shard, 1)),
      integerFrom<unsigned>(elementOf(shard, 2), 0, maxSlots),
      integerFrom<ShardDigest>(elementOf(shard, 3))
    };
  beat.highestToken = count(elementOf(value, 3));
  beat.configVersion = count(elementOf(value, 4));
  beat.isCpuStarved = flagFrom(elementOf(value, 5));
  beat.slowness =
    integerFrom<int>(elementOf(value, 6), -maxSlowness, maxSlowness);
  beat.hasJustStarted = flagFrom(elementOf(value, 7));
  beat.workerCapacity =
    integerFrom<std::size_t>(elementOf(value, 8), 1, maxWorkers);
  beat.evacuations = readEvacuations(elementOf(value, 9));
  beat.nextHeartbeatWithin = duration(elementOf(value, 10));
  beat.sentAt = time(elementOf(value, 11));
  for (const json& job : listFrom(elementOf(value, 12), maxRows))
    beat.longRunningJobs.push_back(
      { JobId(text(elementOf(job, 0))), duration(elementOf(job, 1)) });
  beat.isAckRequested = flagFrom(elementOf(value, 13));
  return beat;
}

QueuePolicy
readPolicy(const json& value)
{
  QueuePolicy policy;
  policy.queue = text(elementOf(value, 0));
  policy.service = ServiceName(text(elementOf(value, 1)));
  policy.priority =
    integerFrom<int>(elementOf(value, 2), -maxPriority, maxPriority);
  policy.maxAttempts =
    integerFrom<unsigned>(elementOf(value, 3), 0, maxRunAttempts);
  policy.stretch = numberFrom(elementOf(value, 4), 0, maxStretch);
  policy.target = duration(elementOf(value, 5));
  return policy;
}

std::int64_t
resource(const json& value)
{
  return integerFrom<std::int64_t>(value, 0, maxResource);
}

TaskNeeds
readNeeds(const json& value)
{
  TaskNeeds needs;
  needs.resources = Resources(resource(elementOf(value, 0)),
                              resource(elementOf(value, 1)),
                              resource(elementOf(value, 2)));
  needs.estimate = duration(elementOf(value, 3));
  needs.requiredLabel = text(elementOf(value, 4));
  needs.preferredRack = text(elementOf(value, 5));
  needs.maxPerWorker = integerFrom<unsigned>(elementOf(value, 6));
  return needs;
}

std::vector<TaskLocation>
readLocations(const json& value)
{
  std::vector<TaskLocation> locations;
  for (const json& location : listFrom(value, maxTasksPerJob))
    locations.push_back({ taskIndex(elementOf(location, 0)),
                          WorkerId(text(elementOf(location, 1))) });
  return locations;
}

std::optional<Quarantine>
readQuarantine(const json& value)
{
  if (value.is_null())
    return std::nullopt;
  Quarantine quarantine;
  if (!elementOf(value, 0).is_null())
    quarantine.lostHoldersWorkers = ShardWorkers{
      readShard(elementOf(elementOf(value, 0), 0)),
      integerFrom<ShardDigest>(elementOf(elementOf(value, 0), 1))
    };
  quarantine.sinceLoss = duration(elementOf(value, 1));
  quarantine.timeRemaining = duration(elementOf(value, 2));
  if (!elementOf(value, 3).is_null())
    quarantine.activeTasks = readLocations(elementOf(value, 3));
  return quarantine;
}

CrashCounts
readCrashes(const json& value)
{
  CrashCounts crashes;
  for (const json& row : listFrom(value, maxTasksPerJob))
    crashes[taskIndex(elementOf(row, 0))] =
      integerFrom<unsigned>(elementOf(row, 1), 0, maxRunAttempts);
  return crashes;
}

PeerHeartbeatAck
readBeatAck(const json& value)
{
  return { time(elementOf(value, 0)), time(elementOf(value, 1)) };
}

PeerSubmit
readSubmit(const json& value)
{
  JobRequest request;
  request.key = readKey(elementOf(value, 0));
  request.policy = readPolicy(elementOf(value, 1));
  request.needs = readNeeds(elementOf(value, 2));
  request.shard = readShard(elementOf(value, 3));
  request.spec = textFrom(elementOf(value, 4), maxSpecBytes);
  request.taskPrefix = text(elementOf(value, 5));
  request.tasks = readTasks(elementOf(value, 6));
  request.firstRun = count(elementOf(value, 7));
  request.age = duration(elementOf(value, 8));
  request.timeLeft = duration(elementOf(value, 9));
  request.quarantine = readQuarantine(elementOf(value, 10));
  request.previousPart = integerFrom<std::uint64_t>(elementOf(value, 11));
  request.mayHaveRun = flagFrom(elementOf(value, 12));
  request.allowsReturn = flagFrom(elementOf(value, 13));
  request.crashes = readCrashes(elementOf(value, 14));
  request.exclusiveFor = limitedDuration(elementOf(value, 17));
  return { std::move(request),
           readBeatAck(elementOf(value, 15)),
           duration(elementOf(value, 16)) };
}

PeerJobEnd
readJobEnd(const json& value)
{
  PeerJobEnd ended;
  ended.key = readKey(elementOf(value, 0));
  ended.end.outcome = static_cast<JobOutcome>(integerFrom<int>(
    elementOf(value, 1), 0, static_cast<int>(JobOutcome::Unresolved)));
  ended.end.retryAfter = duration(elementOf(value, 2));
  ended.end.done = readTasks(elementOf(value, 3));
  ended.end.nextRun = count(elementOf(value, 4));
  ended.end.activeTasks = readLocations(elementOf(value, 5));
  ended.end.crashes = readCrashes(elementOf(value, 6));
  return ended;
}

PeerTasksReturned
readTasksReturned(const json& value)
{
  PeerTasksReturned message;
  message.key = readKey(elementOf(value, 0));
  message.returned.tasks = readTasks(elementOf(value, 1));
  message.returned.holder = VmId(text(elementOf(value, 2)));
  message.returned.shard = readShard(elementOf(value, 3));
  message.returned.nextRun = count(elementOf(value, 4));
  message.returned.crashes = readCrashes(elementOf(value, 5));
  return message;
}

PeerConfigPart
readConfigPart(const json& value)
{
  PeerConfigPart part;
  part.version = count(elementOf(value, 0));
  part.size = count(elementOf(value, 1));
  part.offset = count(elementOf(value, 2));
  const json& content = elementOf(value, 3);
  if (!content.is_binary())
    throw InvalidJsonValue(content, "a byte string");
  const auto& bytes = content.get_binary();
  part.bytes.assign(bytes.begin(), bytes.end());
  return part;
}

PeerWorkerChanges
readWorkerNews(const json& value)
{
  PeerWorkerChanges news;
  news.from = count(elementOf(value, 0));
  news.end = count(elementOf(value, 1));
  for (const json& entry : listFrom(elementOf(value, 2), maxRows))
    news.entries[text(elementOf(entry, 0))] =
      textFrom(elementOf(entry, 1), maxEntryBytes);
  return news;
}

PeerUnresolvedStarts
readUnresolvedStarts(const json& value)
{
  PeerUnresolvedStarts message;
  for (const json& start : listFrom(elementOf(value, 0), maxRows))
    message.starts.push_back(
      { RunKey(text(elementOf(start, 0)), count(elementOf(start, 1))),
        WorkerId(text(elementOf(start, 2))),
        duration(elementOf(start, 3)) });
  return message;
}

std::vector<VmId>
readVms(const json& value)
{
  std::vector<VmId> vms;
  for (const json& vm : listFrom(value, maxVms))
    vms.emplace_back(text(vm));
  return vms;
}

PeerMessage
readMessage(std::size_t kind, const json& value)
{
  switch (kind) {
    case 0:
      return readHello(value);
    case 1:
      return readBeat(value);
    case 2:
      return readSubmit(value);
    case 3:
      return readJobEnd(value);
    case 4:
      return PeerCancel{ readKey(elementOf(value, 0)) };
    case 5:
      return readConfigPart(value);
    case 6:
      return readTasksReturned(value);
    case 7:
      return PeerAddresses{ readAddresses(elementOf(value, 0)) };
    case 8:
      return PeerConfigRequest{ count(elementOf(value, 0)),
                                count(elementOf(value, 1)),
                                count(elementOf(value, 2)) };
    case 9:
      return PeerConfigBusy{};
    case 10:
      return readWorkerNews(value);
    case 11:
      return readBeatAck(value);
    case 12:
      return readUnresolvedStarts(value);
    case 13:
      return PeerJobAdvertised{ readKey(elementOf(value, 0)) };
    case 14:
      return PeerRecall{ JobId(text(elementOf(value, 0))),
                         duration(elementOf(value, 1)),
                         flagFrom(elementOf(value, 2)) };
    case 15:
      return PeerRecallAck{ JobId(text(elementOf(value, 0))),
                            duration(elementOf(value, 1)) };
    case 16:
      return PeerJobRegistration{ JobId(text(elementOf(value, 0))),
                                  integerFrom<std::uint64_t>(
                                    elementOf(value, 1)),
                                  readVms(elementOf(value, 2)),
                                  flagFrom(elementOf(value, 3)) };
    case 17:
      return PeerJobRegistrationAck{ JobId(text(elementOf(value, 0))),
                                     integerFrom<std::uint64_t>(
                                       elementOf(value, 1)),
                                     VmId(text(elementOf(value, 2))),
                                     duration(elementOf(value, 3)),
                                     flagFrom(elementOf(value, 4)),
                                     readVms(elementOf(value, 5)) };
    default:
      throw InvalidJsonValue("an unknown kind of message");
  }
}

} // namespace

Result<PeerMessage>
decodePeerMessage(const std::string& bytes)
{
  constexpr const char* field = "peer message";
  const auto message = parseCbor(bytes, field, messageLimits);
  if (!message)
    return failure(message.error());
  try {
    return readMessage(integerFrom<std::size_t>(elementOf(*message, 0)),
                       elementOf(*message, 1));
  } catch (const std::exception& error) {
    return failure(
      Problem::invalidField(field, error.what(), "a message of this version"));
  }
}

} // namespace cowslippin
