#include "libdispatch/dispatch.h"

#include <benchmark/benchmark.h>

namespace cowslippin {
namespace {

constexpr int slots = 8;
constexpr int zones = 3;

TimePoint
at(std::int64_t microseconds)
{
  return TimePoint(std::chrono::seconds(1000) + Duration(microseconds));
}

std::vector<Endpoint>
endpoints(int count)
{
  std::vector<Endpoint> list;
  list.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    Endpoint::Fields fields;
    fields.id = EndpointId("e" + std::to_string(i));
    fields.service = ServiceName("booking");
    fields.zone = ZoneName("zone" + std::to_string(i % zones));
    fields.slots = slots;
    list.emplace_back(fields);
  }
  return list;
}

TaskSpec
task(const std::string& key, TaskIndex index)
{
  TaskSpec::Fields fields;
  fields.id = TaskId(SubmissionKey(key), index);
  fields.organisation = OrganisationName("notaries");
  fields.templateName = TemplateName("slot-check");
  fields.service = ServiceName("booking");
  return TaskSpec(fields);
}

void
finish(Dispatcher& dispatcher, const Start& start, TimePoint now)
{
  AttemptReport report;
  report.endpoint = start.endpoint();
  report.attempt = start.attempt();
  report.end = AttemptEnd::Answered;
  report.runTime = std::chrono::milliseconds(100);
  dispatcher.finished(start.task(), report, now);
}

/// Fills all slots but a few; returns what runs.
std::vector<Start>
fill(Dispatcher& dispatcher, int tasks)
{
  std::vector<Start> running;
  for (int i = 0; i < tasks; ++i) {
    dispatcher.submit(task("fill", static_cast<TaskIndex>(i)), at(0));
  }
  for (const DispatchAction& action : dispatcher.poll(at(0))) {
    running.push_back(std::get<Start>(action));
  }
  return running;
}

/// One decision with a backlog: an attempt ends, and `poll` starts the next
/// task on the best endpoint.
void
decisionWithBacklog(benchmark::State& state)
{
  const int count = static_cast<int>(state.range(0));
  DispatchSettings settings;
  settings.choice = static_cast<EndpointChoice>(state.range(1));
  settings.maxQueued = 1U << 30U;
  settings.organisationQueueShare = 1.0;
  Dispatcher dispatcher(settings);
  dispatcher.setEndpoints(endpoints(count), ZoneName("zone0"), at(0));
  std::vector<Start> running = fill(dispatcher, count * slots * 85 / 100);
  std::int64_t now = 0;
  TaskIndex next = 0;
  std::size_t place = 0;
  int queued = 0;
  for ([[maybe_unused]] auto _ : state) {
    if (queued-- < 1) {
      state.PauseTiming();
      queued = 100000;
      // Enough beyond that to fill the slots that are still free.
      for (int i = 0; i < 2 * queued; ++i) {
        dispatcher.submit(task("job", next++), at(now));
      }
      for (const DispatchAction& action : dispatcher.poll(at(now))) {
        running.push_back(std::get<Start>(action));
      }
      state.ResumeTiming();
    }
    ++now;
    finish(dispatcher, running[place], at(now));
    DispatchActions actions = dispatcher.poll(at(now));
    running[place] = std::get<Start>(actions.front());
    place = (place + 1) % running.size();
  }
}

/// The whole way of a task at 85% load: submitted, started, ended.
void
taskAtPartLoad(benchmark::State& state)
{
  const int count = static_cast<int>(state.range(0));
  DispatchSettings settings;
  settings.choice = static_cast<EndpointChoice>(state.range(1));
  Dispatcher dispatcher(settings);
  dispatcher.setEndpoints(endpoints(count), ZoneName("zone0"), at(0));
  std::vector<Start> running = fill(dispatcher, count * slots * 85 / 100);
  std::int64_t now = 0;
  TaskIndex next = 0;
  std::size_t place = 0;
  for ([[maybe_unused]] auto _ : state) {
    ++now;
    dispatcher.submit(task("notaries/0123456789abcdef", next++), at(now));
    DispatchActions actions = dispatcher.poll(at(now));
    finish(dispatcher, running[place], at(now));
    running[place] = std::get<Start>(actions.front());
    place = (place + 1) % running.size();
  }
}

/// Cancels a job; the time is that of one of its tasks.
void
cancelTask(benchmark::State& state)
{
  constexpr TaskIndex tasks = 2000;
  DispatchSettings settings;
  settings.organisationQueueShare = 1.0;
  Dispatcher dispatcher(settings);
  dispatcher.setEndpoints(endpoints(1), ZoneName("zone0"), at(0));
  for ([[maybe_unused]] auto _ : state) {
    state.PauseTiming();
    for (TaskIndex i = 0; i < tasks; ++i) {
      dispatcher.submit(task("job", i), at(0));
    }
    state.ResumeTiming();
    benchmark::DoNotOptimize(dispatcher.cancel(SubmissionKey("job"), at(0)));
  }
  state.SetItemsProcessed(state.iterations() * tasks);
}

BENCHMARK(decisionWithBacklog)->ArgsProduct({ { 50, 1000 }, { 0, 1 } });
BENCHMARK(taskAtPartLoad)->ArgsProduct({ { 50, 1000 }, { 0, 1 } });
BENCHMARK(cancelTask);

} // namespace
} // namespace cowslippin

BENCHMARK_MAIN();
