#include "libpeers/peers.h"

#include <benchmark/benchmark.h>

namespace cowslippin {
namespace {

PeerMessage
heartbeat()
{
  PeerHeartbeat beat;
  beat.isReady = true;
  beat.shards[ShardId(ZoneName("zone-1"), 1, 4)] = { 300243599585797,
                                                     12,
                                                     7712312341234 };
  beat.highestToken = 300243599585799;
  beat.configVersion = 17;
  beat.workerCapacity = 40;
  beat.evacuations.logPosition = 12;
  beat.nextHeartbeatWithin = std::chrono::milliseconds(140);
  beat.sentAt = 1200300400500;
  beat.longRunningJobs = {
    { JobId("0123456789abcdef"), std::chrono::milliseconds(700) },
    { JobId("0123456789abcdee"), std::chrono::milliseconds(900) }
  };
  return beat;
}

PeerMessage
submit()
{
  JobRequest request;
  request.key = JobKey(VmId("vm-1"), JobId("0123456789abcdef"), 77);
  request.policy.queue = "scans";
  request.policy.service = ServiceName("booking");
  request.policy.maxAttempts = 3;
  request.policy.stretch = 1.6;
  request.policy.target = std::chrono::milliseconds(60);
  request.needs.resources = Resources(16000, 64, 0);
  request.needs.estimate = std::chrono::milliseconds(60);
  request.shard = ShardId(ZoneName("zone-1"), 1, 4);
  request.spec = std::string(200, 's');
  request.taskPrefix = "0123456789abcdef.0.0.";
  request.tasks = { 0, 1, 2, 3, 4, 5, 6, 7 };
  request.timeLeft = std::chrono::milliseconds(1488);
  return PeerSubmit{ request,
                     { 1200300400500, 1200300400600 },
                     std::chrono::milliseconds(90) };
}

PeerMessage
jobEnd()
{
  PeerJobEnd ended{ JobKey(VmId("vm-1"), JobId("0123456789abcdef"), 77), {} };
  ended.end.done = { 0, 1, 2, 3, 4, 5, 6, 7 };
  ended.end.nextRun = 9;
  return ended;
}

PeerMessage
acknowledgement()
{
  return PeerHeartbeatAck{ 1200300400500, 1200300400600 };
}

PeerMessage
registration()
{
  return PeerJobRegistration{ JobId("0123456789abcdef"), 7, {}, true };
}

PeerMessage
registrationAnswer()
{
  return PeerJobRegistrationAck{
    JobId("0123456789abcdef"), 7, VmId("vm-3"), {}, true
  };
}

void
encode(benchmark::State& state, const PeerMessage& message)
{
  for ([[maybe_unused]] auto _ : state)
    benchmark::DoNotOptimize(encodePeerMessage(message));
}

void
decode(benchmark::State& state, const PeerMessage& message)
{
  const auto encoded = encodePeerMessage(message);
  const std::string bytes(encoded.begin(), encoded.end());
  for ([[maybe_unused]] auto _ : state)
    benchmark::DoNotOptimize(decodePeerMessage(bytes));
}

BENCHMARK_CAPTURE(encode, heartbeat, heartbeat());
BENCHMARK_CAPTURE(encode, acknowledgement, acknowledgement());
BENCHMARK_CAPTURE(encode, submit, submit());
BENCHMARK_CAPTURE(encode, jobEnd, jobEnd());
BENCHMARK_CAPTURE(encode, registration, registration());
BENCHMARK_CAPTURE(encode, registrationAnswer, registrationAnswer());
BENCHMARK_CAPTURE(decode, heartbeat, heartbeat());
BENCHMARK_CAPTURE(decode, acknowledgement, acknowledgement());
BENCHMARK_CAPTURE(decode, submit, submit());
BENCHMARK_CAPTURE(decode, jobEnd, jobEnd());
BENCHMARK_CAPTURE(decode, registration, registration());
BENCHMARK_CAPTURE(decode, registrationAnswer, registrationAnswer());

} // namespace
} // namespace cowslippin
