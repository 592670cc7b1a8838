#pragma once

#include "libclaims/claims.h"
#include "libobserve/observe.h"
#include "libplatform/platform.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cowslippin {

/// Claims submission keys in the platform's log: appends them in group commits
/// within a budget, and reads the claim stream back. Thread-safe.
class ClaimService
{
public:
  struct Settings
  {
    Address platform;
    ClientIdentity identity;
    StreamName stream;
    Incarnation self;
    ClaimLimits limits;
    double appendsPerSecond = 20;
    Duration appendTimeout = std::chrono::seconds(2);
  };

  /// Told how pending claims ended, in log order, on the service's threads and
  /// with no lock held.
  using Events = std::function<void(const std::vector<ClaimEvent>&)>;

  ClaimService(Settings settings, Events events, Metrics& metrics);
  ~ClaimService();
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;

  void start();
  void stop();

  /// A submission of the key at this daemon. Refused at once while the
  /// platform cannot be reached and nobody is known to own the key.
  ClaimDecision submit(const SubmissionKey& key);

  /// The owner said that it declined; see `ClaimTable::ownerDeclined`.
  ClaimDecision ownerDeclined(const SubmissionKey& key,
                              const Incarnation& owner,
                              Offset claim);

  /// Asks to start the key's work; granted at most once a claim.
  StartPermit startWork(const SubmissionKey& key);

  /// Declines what was submitted here; see `ClaimTable::giveUp`.
  bool giveUp(const SubmissionKey& key);

  /// What a peer is told of this daemon's claim.
  AskReply ask(const SubmissionKey& key, Offset claim) const;

  /// Who owns the key, this daemon included, as far as the stream was read.
  std::optional<OwnedElsewhere> owner(const SubmissionKey& key) const;

  /// Whether this daemon owns the key.
  bool isOwner(const SubmissionKey& key) const;

  bool isCaughtUp() const;

  /// Whether the platform's log can be read.
  bool isPlatformReachable() const { return !m_unavailable.load(); }

  ClaimTableStats stats() const;

private:
  LogFollower::Hooks makeHooks();
  void recordsRead(const LogPage& page);
  void runAppender();
  std::optional<ClaimBatch> nextBatch(std::unique_lock<std::mutex>& lock);
  void append(const ClaimBatch& batch);
  void tell(const std::vector<ClaimEvent>& events);
  ClaimDecision queued(ClaimDecision decision);

  const Settings m_settings;
  const Events m_events;
  Counter& m_appends;
  Counter& m_claimed;
  LatencyRecorder& m_appendTime;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  ClaimTable m_table;
  AppendBudget m_budget;
  bool m_stopping = false;
  std::atomic<bool> m_unavailable{ false };
  LogClient m_client;
  LogFollower m_follower;
  std::thread m_appender;
};

} // namespace cowslippin
