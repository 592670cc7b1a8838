#include "libjobs/jobs.h"

#include "support/fakeworker.h"

#include <benchmark/benchmark.h>

#include <ctime>
#include <deque>
#include <map>

namespace cowslippin {
namespace {

constexpr unsigned workerCount = 30;
constexpr std::int64_t workerCpu = 32000;
/// Two tasks fill a worker.
constexpr std::int64_t taskCpu = 15000;
constexpr Duration timeStep = std::chrono::microseconds(100);

/// The processor time of this thread, on which other processes have no effect.
double
processorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return double(time.tv_sec) + double(time.tv_nsec) * 1e-9;
}

/// A scheduler with full workers and a number of waiting jobs of one task. The
/// benchmarks time the calls of the scheduler, without the work of the workers.
class Backlog
{
public:
  explicit Backlog(unsigned jobs)
    : m_scheduler(VmId("self"), settings(), hooks())
  {
    WorkerList workers;
    for (unsigned i = 0; i < workerCount; ++i) {
      WorkerRecord::Fields fields;
      fields.id = WorkerId("worker-" + std::to_string(i));
      fields.service = ServiceName("booking");
      fields.zone = shard().zone();
      fields.capacity = Resources(workerCpu, 1000, 0);
      workers[fields.id] = WorkerRecord(fields);
      m_workers[fields.id];
    }
    m_scheduler.setWorkers(workers, m_now);
    m_scheduler.takeShard(shard(), 10, m_now);
    settle();
    for (unsigned i = 0; i < 2 * workerCount + jobs; ++i) {
      submit(request());
      settle();
    }
  }

  /// A worker reports the end of a run, and the next task starts there.
  void endRun()
  {
    advance();
    const WorkerId id = nextWorker();
    testing::FakeWorker& worker = m_workers.at(id);
    std::deque<RunKey>& runs = m_runs.at(id);
    worker.end(runs.front(), RunEnd::Done);
    runs.pop_front();
    const LeaseOrder order = m_waiting.at(id);
    const LeaseOrderAnswer answer = worker.hold(order, m_now);
    timed([&] {
      m_scheduler.leaseOrderAnswered(id, { order.token, m_now }, answer, m_now);
    });
    settle();
  }

  void submit(const JobRequest& request)
  {
    timed([&] { m_scheduler.submit(request, m_now); });
  }

  void cancel(const JobKey& key) { m_scheduler.cancel(key, m_now); }

  /// A job whose objective leaves it any time to wait.
  JobRequest request()
  {
    JobRequest request;
    const std::string job = "0123456789ab" + std::to_string(++m_lastPart);
    request.key = JobKey(VmId("gateway"), JobId(job), m_lastPart);
    request.policy.queue = "q";
    request.policy.service = ServiceName("booking");
    request.policy.stretch = 1.6;
    request.policy.target = std::chrono::hours(10);
    request.needs.resources = Resources(taskCpu, 1, 0);
    request.needs.estimate = std::chrono::milliseconds(100);
    request.taskPrefix = job + ".0.0.";
    request.timeLeft = std::chrono::hours(10);
    request.shard = shard();
    request.tasks = { 0 };
    return request;
  }

  void advance() { m_now += timeStep; }

  /// Returns the time spent in the scheduler since the last call, in seconds of
  /// processor time.
  double takeSeconds() { return std::exchange(m_seconds, 0); }

private:
  /// No worker is taken for slow, whatever the times of the runs.
  static Scheduler::Settings settings()
  {
    Scheduler::Settings settings;
    settings.pool.health.slownessLimit = 1e9;
    return settings;
  }

  static ShardId shard() { return { ZoneName("zone-1"), 0 }; }

  template<class Call>
  void timed(Call call)
  {
    const double start = processorSeconds();
    call();
    m_seconds += processorSeconds() - start;
  }

  WorkerId nextWorker()
  {
    m_nextWorker = (m_nextWorker + 1) % workerCount;
    return std::next(m_workers.begin(), m_nextWorker)->first;
  }

  void settle()
  {
    while (!m_orders.empty()) {
      const auto order = std::move(m_orders.front());
      m_orders.pop_front();
      order();
    }
  }

  Scheduler::Hooks hooks()
  {
    Scheduler::Hooks hooks;
    hooks.orders.hold =
      [this](const WorkerRecord& record, const LeaseOrder& order, Duration) {
        if (order.maxWait > Duration::zero()) {
          m_waiting[record.id()] = order;
          return;
        }
        m_orders.push_back([this, id = record.id(), order, sent = m_now] {
          const LeaseOrderAnswer answer = m_workers[id].hold(order, m_now);
          timed([&] {
            m_scheduler.leaseOrderAnswered(
              id, { order.token, sent }, answer, m_now);
          });
        });
      };
    hooks.orders.start = [this](const WorkerRecord& record,
                                const StartOrder& order,
                                Duration) {
      m_orders.push_back([this, id = record.id(), order] {
        const OrderAnswer answer = m_workers[id].start(order, m_now);
        m_runs[id].push_back(order.key);
        timed([&] { m_scheduler.startAnswered(id, order.key, answer, m_now); });
      });
    };
    hooks.orders.stop = [](const auto&, const auto&, Duration) {};
    hooks.jobEnded = [](const JobKey&, const JobEnd&) {};
    hooks.tasksReturned = [](const JobKey&, const TasksReturned&) {};
    hooks.higherToken = [](unsigned) { return FencingToken(20); };
    hooks.unresolvedStartFound = [](const UnresolvedStart&) {};
    hooks.workerFenced = [](const ShardId&) {};
    hooks.lastContact = [this](const VmId&) { return m_now; };
    hooks.advertisedUntil = [this](const VmId&) { return m_now; };
    return hooks;
  }

  TimePoint m_now{ std::chrono::seconds(1000) };
  double m_seconds = 0;
  std::uint64_t m_lastPart = 0;
  unsigned m_nextWorker = 0;
  std::map<WorkerId, testing::FakeWorker> m_workers;
  /// The runs on each worker, the oldest first.
  std::map<WorkerId, std::deque<RunKey>> m_runs;
  /// The report request of each worker that waits for a run to end.
  std::map<WorkerId, LeaseOrder> m_waiting;
  std::deque<std::function<void()>> m_orders;
  Scheduler m_scheduler;
};

void
finishedTask(benchmark::State& state)
{
  Backlog backlog(static_cast<unsigned>(state.range(0)));
  for ([[maybe_unused]] auto _ : state) {
    backlog.takeSeconds();
    backlog.endRun();
    state.SetIterationTime(backlog.takeSeconds());
    backlog.submit(backlog.request());
  }
}

void
admittedJob(benchmark::State& state)
{
  Backlog backlog(static_cast<unsigned>(state.range(0)));
  for ([[maybe_unused]] auto _ : state) {
    backlog.advance();
    const JobRequest request = backlog.request();
    backlog.takeSeconds();
    backlog.submit(request);
    state.SetIterationTime(backlog.takeSeconds());
    backlog.cancel(request.key);
  }
}

void
refusedJob(benchmark::State& state)
{
  Backlog backlog(static_cast<unsigned>(state.range(0)));
  for ([[maybe_unused]] auto _ : state) {
    backlog.advance();
    JobRequest request = backlog.request();
    // All waiting jobs are served before it, and no worker is large enough.
    request.policy.target += std::chrono::hours(1);
    request.needs.resources = Resources(2 * workerCpu, 1, 0);
    backlog.takeSeconds();
    backlog.submit(request);
    state.SetIterationTime(backlog.takeSeconds());
  }
}

BENCHMARK(finishedTask)->Arg(10)->Arg(100)->Arg(1000)->UseManualTime();
BENCHMARK(admittedJob)->Arg(10)->Arg(100)->Arg(1000)->UseManualTime();
BENCHMARK(refusedJob)->Arg(10)->Arg(100)->Arg(1000)->UseManualTime();

} // namespace
} // namespace cowslippin
