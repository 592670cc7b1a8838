#pragma once

#include "admittedshare.h"

#include "libjobs/jobrequest.h"

#include "libcore/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslippin {

/// Decides which callers' jobs are refused while this daemon is short of
/// processor time. Does no I/O and reads no clock.
///
/// Each queue is a value class, so that a job can be refused before its body is
/// decoded, and jobs of all sizes in a queue are treated the same. The value of
/// a queue per processor time is learned from its decoded jobs. The admitted
/// share of the arriving work goes to the queues of the highest value first;
/// each queue keeps a tenth of its jobs.
class OverloadControl
{
public:
  struct Settings
  {
    /// How the admitted share follows the lag. Its minimum is also the share of
    /// its jobs that each queue keeps.
    AdmittedShare::Settings share;
    /// Processor time of a job, and of each of its tasks: 2.6 ms for a usual
    /// job with 3.6 starts. Only the ratio matters.
    double jobCostMs = 0.5;
    double taskCostMs = 0.6;
    /// Queues whose value per processor time differs by less than this factor
    /// share equally.
    double equalValueFactor = 2;
    /// Time constant of the arrival rate of each queue.
    Duration arrivalTime = std::chrono::seconds(1);
    /// Weight of the newest job in the mean value and cost of its queue.
    double newestJobWeight = 0.05;
    /// Shortest expected time until the end of the overload.
    Duration minRetryAfter = std::chrono::milliseconds(500);
    /// Replies close their connections when the lag has been above twice
    /// `share.maxLag` for this long.
    Duration closeAfter = std::chrono::seconds(1);
    /// A job that can't be answered within this many times its objective is
    /// refused.
    double worthlessFactor = worthlessResponseFactor;
  };

  enum class Change
  {
    None,
    Began,
    Ended,
  };

  explicit OverloadControl(Settings settings)
    : m_settings(settings)
    , m_share(settings.share)
  {
  }

  /// To be called at each tick with the time for which jobs wait for the
  /// processor: the mean lag of the event loop, and on a holder the time until
  /// tasks are started.
  Change tick(Duration lag, TimePoint now);
  /// Admits all jobs again, after a pause of the process, which isn't an
  /// overload.
  void reset();

  /// Whether any jobs are refused.
  bool isActive() const { return m_share.isLimiting(); }
  /// Whether a refusal closes its connection, so that the platform's balancer
  /// assigns the caller to another daemon.
  bool closesConnections(TimePoint now) const;

  /// A job of a queue has arrived. Returns whether it is admitted.
  bool admit(const std::string& queue, TimePoint now);
  /// Records an admitted job. `urgency` is how many priorities its queue goes
  /// before the least urgent one in the configuration.
  void jobDecoded(const std::string& queue,
                  unsigned urgency,
                  const TaskNeeds& needs,
                  unsigned tasks);
  /// Whether a job that was read this long after it was sent can't be answered
  /// in time any more. Always false while no jobs are refused.
  bool isTooLate(const QueuePolicy& policy,
                 const TaskNeeds& needs,
                 Duration readDelay) const;
  /// When a refused caller should retry: 0.5 to 1.5 times the expected time
  /// until all jobs are admitted, a different time for each call.
  Duration retryAfter();

  /// The admitted share of all arriving work.
  double share() const { return m_share.value(); }
  /// The admitted share of a queue's jobs.
  double share(const std::string& queue) const;

private:
  /// What is known of a queue's jobs.
  struct Queue
  {
    bool isKnown = false;
    /// Mean of value and cost of a job.
    double value = 0;
    double cost = 0;
    /// Exponentially decaying count of jobs that have arrived.
    double arrivals = 0;
    TimePoint lastArrivalAt{};
    double share = 1;
    /// The part of a job that the next arrival adds to, so that exactly the
    /// share is admitted.
    double remainder = 0;

    double density() const { return cost > 0 ? value / cost : 0; }
  };

  void divideShare(TimePoint now);
  double arrivingCost(const Queue& queue, TimePoint now) const;
  double arrivals(const Queue& queue, TimePoint now) const;

  const Settings m_settings;
  AdmittedShare m_share;
  std::map<std::string, Queue> m_queues;
  std::optional<TimePoint> m_farOverSince;
  /// Position in the sequence that spreads retry times, from 0 to 1.
  double m_spread = 0;
};

} // namespace cowslippin
