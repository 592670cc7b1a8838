#pragma once

#include "attemptend.h"
#include "dispatchaction.h"
#include "dispatchsettings.h"
#include "dispatchstats.h"
#include "finishresult.h"
#include "organisationshare.h"
#include "taskspec.h"

#include <memory>

namespace cowslippin {

/// Queues the tasks of one daemon and chooses their endpoints. Each task that
/// `submit` takes has exactly one end: a `GiveUp`, or a `FinishResult` of kind
/// `TaskEnds`. A task that is not repeatable is never started again once an
/// attempt may have run.
///
/// Not thread-safe: the caller serialises the calls. `now` must not go back.
class Dispatcher
{
public:
  explicit Dispatcher(const DispatchSettings& settings, std::uint64_t seed = 1);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Replaces the list of endpoints. `self` is this daemon's zone. What is
  /// learned of an endpoint that stays is kept.
  void setEndpoints(const std::vector<Endpoint>& endpoints,
                    const ZoneName& self,
                    TimePoint now);

  /// Sets what an organisation is entitled to. One never set has the default.
  void setOrganisation(const OrganisationName& name,
                       const OrganisationShare& share,
                       TimePoint now);

  /// Takes a task, or refuses it at once; then it never runs.
  std::optional<Problem> submit(const TaskSpec& task, TimePoint now);

  /// Takes all of the tasks or none.
  std::optional<Problem> submitAll(const std::vector<TaskSpec>& tasks,
                                   TimePoint now);

  /// What is to be done now.
  DispatchActions poll(TimePoint now);

  /// Takes in an attempt's end. A task tried again is started by `poll`.
  FinishResult finished(const TaskId& task,
                        const AttemptReport& report,
                        TimePoint now);

  /// Gives up the submission's tasks that wait. Those with an endpoint end
  /// with their attempt and are not tried again.
  std::vector<GiveUp> cancel(const SubmissionKey& key, TimePoint now);

  /// When `poll` has something to do though nothing else happens.
  std::optional<TimePoint> nextWake() const;

  DispatchStats stats() const;

private:
  class Engine;
  std::unique_ptr<Engine> m_engine;
};

} // namespace cowslippin
