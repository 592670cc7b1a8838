#pragma once

#include "admission.h"
#include "attemptreport.h"
#include "dispatchaction.h"
#include "dispatchsettings.h"
#include "dispatchstats.h"
#include "finishresult.h"
#include "organisationrecord.h"
#include "retrybudget.h"
#include "servicerecord.h"
#include "slotdealer.h"
#include "taskrecord.h"
#include "zonenumbers.h"

#include <memory>
#include <random>
#include <unordered_map>

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
  ~Dispatcher() = default;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Replaces the list of endpoints. `self` is this daemon's zone. What is
  /// learned of an endpoint that stays is kept.
  void setEndpoints(const std::vector<Endpoint>& endpoints,
                    const ZoneName& self,
                    TimePoint now);

  /// Takes the platform's list of VMs. From then on the endpoints' slots are
  /// dealt out to the daemons, and those of others are only borrowed when an
  /// endpoint said that it has some free. `self` is this daemon's VM.
  void setDaemons(const std::vector<VirtualMachine>& vms,
                  const VmId& self,
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
  struct ByDeadline
  {
    bool operator()(const TaskRecord& a, const TaskRecord& b) const
    {
      return *a.spec.deadline() < *b.spec.deadline();
    }
  };
  using Deadlines = boost::intrusive::multiset<
    TaskRecord,
    boost::intrusive::compare<ByDeadline>,
    boost::intrusive::member_hook<TaskRecord,
                                  decltype(TaskRecord::deadlineHook),
                                  &TaskRecord::deadlineHook>>;
  using Submission = std::unordered_map<TaskIndex, TaskRecord>;

  OrganisationRecord& organisationRecord(const OrganisationName& name);
  ServiceRecord& serviceRecord(const ServiceName& name);
  TemplateRecord& templateRecord(const TaskSpec& task);
  EndpointRecord& endpointRecord(const Endpoint& endpoint);
  void dropUnlistedEndpoints();
  void rebuildPools();
  void dealSlots(const std::vector<EndpointRecord*>& records) const;

  void enqueue(TaskRecord& task);
  void enqueueAgain(TaskRecord& task);
  void dequeue(TaskRecord& task);
  void remove(const TaskId& id);
  void giveUp(TaskRecord& task, Problem problem, DispatchActions& actions);

  void expireDeadlines(TimePoint now, DispatchActions& actions);
  void giveUpUnusable(ServiceRecord& service,
                      TimePoint now,
                      DispatchActions& actions);
  void startTasks(ServiceRecord& service,
                  TimePoint now,
                  DispatchActions& actions);
  Lane* nextLane(const ServiceRecord& service) const;
  void start(TaskRecord& task,
             EndpointRecord& endpoint,
             TimePoint now,
             DispatchActions& actions);

  TaskRecord* findInFlight(const TaskId& id, const AttemptReport& report);
  void release(TaskRecord& task, const AttemptReport& report, TimePoint now);
  FinishResult afterAttempt(TaskRecord& task, AttemptEnd end, TimePoint now);
  FinishResult end(TaskRecord& task, FinishResult result);
  bool mayTryAgain(const TaskRecord& task, TimePoint now) const;
  Problem problemOf(const TaskRecord& task,
                    AttemptEnd end,
                    TimePoint now) const;

  DispatchSettings m_settings;
  std::mt19937_64 m_random;
  Admission m_admission;
  RetryBudget m_retryBudget;
  ZoneNumbers m_zones;
  bool m_listKnown = false;
  std::vector<Endpoint> m_list;
  ZoneName m_selfZone;
  VmId m_self;
  std::vector<VirtualMachine> m_vms;
  std::optional<TimePoint> m_polledAt;
  std::uint64_t m_lastSerial = 0;
  DispatchStats m_counts;
  // The queues link the tasks, so they are declared after them.
  std::unordered_map<SubmissionKey, Submission> m_submissions;
  std::unordered_map<EndpointId, std::unique_ptr<EndpointRecord>> m_endpoints;
  /// Earlier ones with the id of another, until their attempts end.
  std::vector<std::unique_ptr<EndpointRecord>> m_replaced;
  std::unordered_map<TemplateName, TemplateRecord> m_templates;
  std::unordered_map<OrganisationName, std::unique_ptr<OrganisationRecord>>
    m_organisations;
  std::unordered_map<ServiceName, std::unique_ptr<ServiceRecord>> m_services;
  std::vector<ServiceRecord*> m_serviceOrder;
  Deadlines m_deadlines;
  std::vector<bool> m_blockedGroups;
  std::vector<Lane*> m_parked;
};

} // namespace cowslippin
