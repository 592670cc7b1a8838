#include "entrymetrics.h"

#include "libobserve/observe.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace cowslippin {

namespace {

/// In seconds. The ideal times of the tasks served are 0.15 to 1.5 s.
const prometheus::Histogram::BucketBoundaries responseBuckets{
  0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2.5, 5
};

const char*
outcomeLabel(JobAnswer::Kind kind)
{
  switch (kind) {
    case JobAnswer::Kind::Completed:
      return "completed";
    case JobAnswer::Kind::Failed:
      return "failed";
    case JobAnswer::Kind::NotRun:
      return "refused";
    case JobAnswer::Kind::Unknown:
      return "unknown";
  }
  return "other";
}

/// Sets one counter for each cause.
template<class Counts>
void
setCounts(prometheus::Family<prometheus::Counter>& family, const Counts& counts)
{
  for (const auto& [cause, count] : counts) {
    auto& counter = family.Add({ { "cause", toString(cause) } });
    counter.Increment(double(count) - counter.Value());
  }
}

} // namespace

struct EntryMetrics::Families
{
  explicit Families(prometheus::Registry& registry)
    : events(prometheus::BuildCounter()
               .Name("cowslippin_events_total")
               .Help("Log events by name, those left out of the log included")
               .Register(registry))
    , responses(prometheus::BuildHistogram()
                  .Name("cowslippin_response_seconds")
                  .Help("From a caller's request to its answer")
                  .Register(registry))
    , gauges(prometheus::BuildGauge()
               .Name("cowslippin_state")
               .Help("What the daemon holds and has to do now")
               .Register(registry))
    , workers(prometheus::BuildGauge()
                .Name("cowslippin_workers")
                .Help("Workers of the held shards by the state of their lease")
                .Register(registry))
    , restarts(prometheus::BuildCounter()
                 .Name("cowslippin_task_restarts_total")
                 .Help("Second and later starts of tasks by their cause")
                 .Register(registry))
    , presumedOver(
        prometheus::BuildCounter()
          .Name("cowslippin_runs_presumed_over_total")
          .Help("Runs that count as over without a listed end, by cause")
          .Register(registry))
    , reappeared(
        prometheus::BuildCounter()
          .Name("cowslippin_runs_reappeared_total")
          .Help("Runs that a worker has listed after they were presumed over")
          .Register(registry))
    , refusals(prometheus::BuildCounter()
                 .Name("cowslippin_overload_refusals_total")
                 .Help("Jobs refused for lack of processor time")
                 .Register(registry))
    , placements(prometheus::BuildCounter()
                   .Name("cowslippin_holder_choices_total")
                   .Help("Choices of a holder for a job, by its zone")
                   .Register(registry))
    , shards(
        prometheus::BuildCounter()
          .Name("cowslippin_shards_taken_total")
          .Help("Shards taken, with or without the last holder's statement")
          .Register(registry))
  {
  }

  prometheus::Family<prometheus::Counter>& events;
  prometheus::Family<prometheus::Histogram>& responses;
  prometheus::Family<prometheus::Gauge>& gauges;
  prometheus::Family<prometheus::Gauge>& workers;
  prometheus::Family<prometheus::Counter>& restarts;
  prometheus::Family<prometheus::Counter>& presumedOver;
  prometheus::Family<prometheus::Counter>& reappeared;
  prometheus::Family<prometheus::Counter>& refusals;
  prometheus::Family<prometheus::Counter>& placements;
  prometheus::Family<prometheus::Counter>& shards;
};

EntryMetrics::EntryMetrics()
  : m_registry(std::make_shared<prometheus::Registry>())
  , m_families(std::make_unique<Families>(*m_registry))
{
}

EntryMetrics::~EntryMetrics() = default;

void
EntryMetrics::answered(JobAnswer::Kind kind, Duration took)
{
  m_families->responses
    .Add({ { "outcome", outcomeLabel(kind) } }, responseBuckets)
    .Observe(std::chrono::duration<double>(took).count());
}

std::string
EntryMetrics::render(const EntryCore& core)
{
  setGauges(core);
  countEvents();
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

void
EntryMetrics::setGauges(const EntryCore& core)
{
  const auto set = [this](const char* what, double value) {
    m_families->gauges.Add({ { "what", what } }).Set(value);
  };
  const EntryCore::Stats figures = core.stats();
  set("configuration_version", double(figures.configurationVersion));
  set("configuration_version_newest",
      double(figures.newestConfigurationVersion));
  set("configuration_refused", figures.isConfigurationRefused ? 1 : 0);
  set("invalid_routes", double(figures.invalidRoutes));
  set("callers_waiting", double(figures.callersWaiting));
  set("jobs_scheduled", double(figures.jobsScheduled));
  set("tasks_waiting", double(figures.tasksWaiting));
  set("spare_places", figures.spareSlots);
  set("shards_held", double(figures.shardsHeld));
  set("peers_up", double(figures.peersUp));
  set("evacuated_zones", double(figures.evacuatedZones));
  set("is_ready", figures.isReady ? 1 : 0);
  set("loop_lag_ms", double(toMilliseconds(figures.loopLag)));
  set("admitted_share", figures.admittedShare);
  set("holder_share", figures.holderShare);
  set("task_rate", double(figures.taskRate));
  set("workers_fast", double(figures.fastWorkers));
  set("workers_slow", double(figures.slowWorkers));
  std::map<std::string, double> byState;
  for (const LeaseState state : { LeaseState::Claiming,
                                  LeaseState::Held,
                                  LeaseState::Silent,
                                  LeaseState::Fenced,
                                  LeaseState::Restarted,
                                  LeaseState::Ended })
    byState[toString(state)] = 0;
  for (const LeaseState state : figures.leases)
    ++byState[toString(state)];
  for (const auto& [state, count] : byState)
    m_families->workers.Add({ { "lease", state } }).Set(count);
  setCounts(m_families->restarts, figures.restarts);
  setCounts(m_families->presumedOver, figures.presumedOver);
  setCounts(m_families->reappeared, figures.reappeared);
  const auto setPlacements = [this](const char* zone, std::uint64_t count) {
    auto& counter = m_families->placements.Add({ { "zone", zone } });
    counter.Increment(double(count) - counter.Value());
  };
  setPlacements("own", figures.placements.inOwnZone);
  setPlacements("other", figures.placements.inOtherZones);
  const auto setShards = [this](const char* statement, std::uint64_t count) {
    auto& counter = m_families->shards.Add({ { "statement", statement } });
    counter.Increment(double(count) - counter.Value());
  };
  setShards("used", figures.shards.handedOver);
  setShards("none", figures.shards.taken - figures.shards.handedOver);
  for (const auto& [queueAndReason, count] : figures.refusals) {
    auto& counter =
      m_families->refusals.Add({ { "queue", queueAndReason.first },
                                 { "reason", queueAndReason.second } });
    counter.Increment(double(count) - counter.Value());
  }
}

void
EntryMetrics::countEvents()
{
  for (const auto& [event, count] : eventCounts()) {
    auto& counter = m_families->events.Add({ { "event", event } });
    counter.Increment(double(count) - counter.Value());
  }
}

} // namespace cowslippin
