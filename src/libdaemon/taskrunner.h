#pragma once

#include "libdispatch/dispatch.h"
#include "libhttp/http.h"
#include "libobserve/observe.h"
#include "submission.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace cowslippin {

/// Runs the tasks of submissions: asks the dispatcher when and where each
/// goes, calls the endpoints, and hands the outcomes to the submissions.
/// Thread-safe.
class TaskRunner
{
public:
  /// `client` must outlive the runner; `stop` the client before the runner is
  /// destroyed, since its callbacks come here.
  TaskRunner(const DispatchSettings& settings,
             ZoneName zone,
             std::uint64_t seed,
             EndpointClient& client,
             Metrics& metrics);
  ~TaskRunner();
  TaskRunner(const TaskRunner&) = delete;
  TaskRunner& operator=(const TaskRunner&) = delete;

  /// Replaces the endpoints that work may go to, and the VMs whose daemons
  /// share their slots. `self` is this daemon's VM.
  void setVms(const VmList& list, const VmId& self);

  /// Sets what an organisation is entitled to.
  void setOrganisation(const OrganisationParameters& parameters);

  /// Takes in all tasks of an active submission, or refuses it at once.
  std::optional<Problem> submit(const std::shared_ptr<Submission>& submission);

  /// Takes the submission's waiting tasks out of the queue.
  void cancel(const SubmissionKey& key);

  /// How many tasks wait or run.
  std::size_t load() const { return m_held.load(); }

  DispatchStats stats() const;

  /// Ends the timer thread. Tasks that still wait are left alone.
  void stop();

private:
  struct ActiveSubmission
  {
    std::shared_ptr<Submission> submission;
    std::size_t unended = 0;
  };

  /// A start, looked up while the lock was held.
  struct PreparedStart
  {
    Start start;
    std::shared_ptr<Submission> submission;
    std::optional<Endpoint> endpoint;
  };

  /// A task's end that still has to be told to its submission.
  struct PreparedEnd
  {
    std::shared_ptr<Submission> submission;
    TaskIndex index = 0;
    TaskOutcome outcome;
  };

  /// What has to be done once the lock is released.
  struct Work
  {
    std::vector<PreparedStart> starts;
    std::vector<PreparedEnd> ends;
  };

  void runTimer();
  void collectDue(Work& work, TimePoint now);
  void prepareEnd(const TaskId& task, TaskOutcome outcome, Work& work);
  void perform(Work work);
  void begin(const PreparedStart& prepared);
  void refuseStart(const PreparedStart& prepared);
  void callEnded(const Start& start,
                 const std::shared_ptr<Submission>& submission,
                 const CallEnd& end);
  void reportEnd(const Start& start,
                 const AttemptReport& report,
                 std::optional<TaskAnswer> answer);
  EndpointCall makeCall(const PreparedStart& prepared,
                        std::string body,
                        TimePoint now) const;

  const ZoneName m_zone;
  EndpointClient& m_client;
  Counter& m_starts;
  Counter& m_answers;
  LatencyRecorder& m_attemptTime;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  Dispatcher m_dispatcher;
  std::unordered_map<EndpointId, Endpoint> m_endpoints;
  std::unordered_map<SubmissionKey, ActiveSubmission> m_active;
  /// Tasks that were taken and have not ended.
  std::atomic<std::size_t> m_held{ 0 };
  std::optional<TimePoint> m_nextWake;
  bool m_stopping = false;
  std::thread m_timer;
};

/// The dispatch specification of a submission's tasks.
std::vector<TaskSpec>
taskSpecs(const SubmissionRequest& request, std::size_t count);

/// What an ended call means for the attempt it made.
AttemptEnd
attemptEndOf(const CallEnd& end);

} // namespace cowslippin
