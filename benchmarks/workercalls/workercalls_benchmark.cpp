#include "standinworker.h"

#include "platform/reportdecoder.h"
#include "platform/workerclient.h"

#include "libobserve/observe.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <fstream>
#include <thread>

namespace cowslippin::platform {
namespace {

using benchmarks::StandInWorker;

/// A report with two runs in progress and one end, as workers of two or three
/// tasks send it.
constexpr const char* report =
  R"({"clock_ms":1790853241123,"born":1790853000000,"running":[)"
  R"(["a1b2c3d4e5f60718.0.0.3",17,null,42],["a1b2c3d4e5f60718.0.0.4",18,null,7]],)"
  R"("finished":[[311,"99b2c3d4e5f60718.0.0.1",16,"done",null]]})";

constexpr Duration callTimeout = std::chrono::seconds(10);

WorkerRecord
recordOf(const Address& address)
{
  WorkerRecord::Fields fields;
  fields.id = WorkerId("worker-z1-0017");
  fields.service = ServiceName("booking");
  fields.zone = ZoneName("z1");
  fields.address = address;
  return WorkerRecord(fields);
}

void
runUntil(boost::asio::io_context& context, const bool& isDone)
{
  while (!isDone) {
    context.run_one();
    context.restart();
  }
}

/// Processor time of the calling thread: the client with its system calls,
/// without the stand-in.
void
startRun(benchmark::State& state)
{
  StandInWorker worker("{}");
  boost::asio::io_context context;
  WorkerClient client(context);
  const WorkerRecord record = recordOf(worker.address());
  StartOrder order;
  order.token = 1234567;
  order.key = RunKey("a1b2c3d4e5f60718.0.0.3", 17);
  order.spec = std::string(200, 'x');
  order.deadlineMs = 1790853241873;
  for (auto _ : state) {
    bool isDone = false;
    client.startRun(
      record, order, callTimeout, [&](const OrderAnswer&) { isDone = true; });
    runUntil(context, isDone);
  }
}
BENCHMARK(startRun);

void
requestReport(benchmark::State& state)
{
  StandInWorker worker(report);
  boost::asio::io_context context;
  WorkerClient client(context);
  const WorkerRecord record = recordOf(worker.address());
  LeaseOrder order;
  order.token = 1234567;
  order.acknowledgedEnd = 310;
  order.deadlineMs = 1790853241873;
  order.maxWait = std::chrono::milliseconds(200);
  for (auto _ : state) {
    bool isDone = false;
    client.renewLease(
      record, order, callTimeout, [&](const auto&) { isDone = true; });
    runUntil(context, isDone);
  }
}
BENCHMARK(requestReport);

void
decodeOneReport(benchmark::State& state)
{
  const std::string body(report);
  for (auto _ : state)
    benchmark::DoNotOptimize(decodeReport(body));
}
BENCHMARK(decodeOneReport);

/// One tick of a client of this many workers, each with one call in progress.
void
tickClient(benchmark::State& state)
{
  StandInWorker worker("{}");
  boost::asio::io_context context;
  WorkerClient client(context);
  WorkerRecord::Fields fields;
  fields.address = worker.address();
  int answers = 0;
  for (int i = 0; i < state.range(0); ++i) {
    fields.id = WorkerId("worker-" + std::to_string(i));
    client.startRun(
      WorkerRecord(fields), {}, callTimeout, [&](const auto&) { ++answers; });
  }
  const TimePoint now = steadyNow();
  for (auto _ : state)
    client.tick(now);
}
BENCHMARK(tickClient)->Arg(29);

/// The pause between the lines below, as a daemon writes some hundred lines a
/// second.
constexpr auto pauseBetweenLines = std::chrono::microseconds(200);
constexpr int pausedIterations = 10000;

/// The processor time that a pause itself takes; to be subtracted from that of
/// `logLine`.
void
pauseOnly(benchmark::State& state)
{
  for (auto _ : state)
    std::this_thread::sleep_for(pauseBetweenLines);
}
BENCHMARK(pauseOnly)->Iterations(pausedIterations)->MeasureProcessCPUTime();

/// Processor time of the process, with the logger's thread.
void
logLine(benchmark::State& state)
{
  std::ofstream stream("/dev/null");
  LogSettings settings;
  settings.stream = &stream;
  settings.eventsPerSecond = 1000000;
  initialiseLogging(settings);
  for (auto _ : state) {
    std::this_thread::sleep_for(pauseBetweenLines);
    logEvent(LogLevel::Info,
             "task-started",
             { { "job", "a1b2c3d4e5f60718" },
               { "task", 3 },
               { "run", 17 },
               { "worker", "worker-z1-0017" } });
  }
  stopLogging();
}
BENCHMARK(logLine)->Iterations(pausedIterations)->MeasureProcessCPUTime();

/// Processor time of the thread that logs, without a pause.
void
composeLine(benchmark::State& state)
{
  std::ofstream stream("/dev/null");
  LogSettings settings;
  settings.stream = &stream;
  settings.eventsPerSecond = 100000000;
  settings.delivery = LogDelivery::Synchronous;
  initialiseLogging(settings);
  for (auto _ : state)
    logEvent(LogLevel::Info,
             "task-started",
             { { "job", "a1b2c3d4e5f60718" },
               { "task", 3 },
               { "run", 17 },
               { "worker", "worker-z1-0017" } });
  stopLogging();
}
BENCHMARK(composeLine);

} // namespace
} // namespace cowslippin::platform
