#pragma once

#include "libpeers/peers.h"

#include <string>
#include <vector>

namespace cowslippin::testing {

inline std::string
encoded(const PeerMessage& message)
{
  const auto bytes = encodePeerMessage(message);
  return { bytes.begin(), bytes.end() };
}

inline PeerHello
hello()
{
  PeerHello hello;
  hello.vm = VmId("vm-1");
  hello.incarnation = Incarnation("17");
  hello.zone = ZoneName("z1");
  hello.address = Address("127.9.0.1", 7720);
  hello.knownAddresses = { Address("127.9.0.2", 7720) };
  return hello;
}

inline PeerHeartbeat
heartbeat()
{
  PeerHeartbeat beat;
  beat.shards[ShardId(ZoneName("z1"), 1, 2)] = { 300243599585797, 12, 77 };
  beat.highestToken = 300243599585799;
  beat.evacuations = { 12, { ZoneName("z1") } };
  beat.nextHeartbeatWithin = std::chrono::milliseconds(200);
  beat.longRunningJobs = { { JobId("j"), std::chrono::milliseconds(700) } };
  return beat;
}

inline PeerSubmit
submit()
{
  JobRequest request;
  request.key = JobKey(VmId("vm-1"), JobId("0123456789abcdef"), 77);
  request.policy.queue = "scans";
  request.policy.service = ServiceName("booking");
  request.policy.target = std::chrono::milliseconds(60);
  request.needs.resources = Resources(6800, 64, 1);
  request.shard = ShardId(ZoneName("z1"), 2, 4);
  request.spec = "text";
  request.taskPrefix = "0123456789abcdef.0.0.";
  request.tasks = { 0, 2, 5 };
  request.timeLeft = std::chrono::milliseconds(1488);
  request.quarantine = Quarantine{ ShardWorkers{ request.shard, 99 },
                                   std::chrono::milliseconds(50),
                                   std::chrono::milliseconds(700),
                                   { { { 2, WorkerId("w1") } } } };
  request.crashes = { { 2, 1 } };
  return { request, {}, {} };
}

/// A message of each kind.
inline std::vector<PeerMessage>
samples()
{
  const JobKey key(VmId("vm-1"), JobId("j"), 4);
  PeerJobEnd ended{ key, {} };
  ended.end.done = { 1, 3 };
  ended.end.activeTasks = { { 2, WorkerId("w1") } };
  PeerTasksReturned returned{ key, {} };
  returned.returned.tasks = { 2 };
  returned.returned.shard = ShardId(ZoneName("z2"), 1, 2);
  return {
    hello(),
    heartbeat(),
    submit(),
    ended,
    PeerCancel{ key },
    PeerConfigPart{ 9, 900, 0, "{" },
    returned,
    PeerAddresses{ { Address("127.9.0.3", 7720) } },
    PeerConfigRequest{ 9, 65536, 8192 },
    PeerConfigBusy{},
    PeerWorkerChanges{ 7, 9, { { "w1", "{}" } } },
    PeerHeartbeatAck{ 1200300400500, 1200300400600 },
    PeerUnresolvedStarts{
      { { RunKey("j.0.0.1", 2), WorkerId("w1"), std::chrono::seconds(12) } } },
    PeerJobAdvertised{ key },
    PeerRecall{ JobId("j"), std::chrono::milliseconds(7) },
    PeerRecallAck{ JobId("j"), std::chrono::milliseconds(7) },
    PeerJobRegistration{ JobId("j"), 7, { VmId("vm-1") } },
    PeerJobRegistrationAck{ JobId("j"), 7, VmId("vm-3") },
    PeerShardReleased{ ShardId(ZoneName("z1"), 0, 2),
                       71,
                       { { WorkerId("w1"), Duration::zero() } } }
  };
}

} // namespace cowslippin::testing
