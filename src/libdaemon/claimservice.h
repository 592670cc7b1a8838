#pragma once

#include "libclaims/claims.h"
#include "libobserve/observe.h"
#include "libplatform/platform.h"
#include "streamlocation.h"

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
    StreamLocation log;
    Incarnation self;
    ClaimLimits limits;
    /// What this daemon may append when it appends for itself alone.
    double appendsPerSecond = 20;
    /// What it may append while it appends for the region.
    double regionAppendsPerSecond = 120;
    Duration appendTimeout = std::chrono::seconds(2);
    /// How long a batch handed to another daemon may take to be read back
    /// before this one appends it itself...
    Duration handOverPatience = std::chrono::milliseconds(100);
    /// ...and for how long it hands nothing over after that.
    Duration handOverPause = std::chrono::seconds(5);
  };

  /// Hands a batch to the daemon that appends for the region. False if that is
  /// this daemon, or if it cannot be reached.
  using HandOver = std::function<bool(const std::string& batch)>;

  /// Told how pending claims ended, in log order, on the service's threads and
  /// with no lock held.
  using Events = std::function<void(const std::vector<ClaimEvent>&)>;

  ClaimService(Settings settings,
               Events events,
               HandOver handOver,
               Metrics& metrics);
  ~ClaimService();
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;

  void start();
  void stop();

  /// Appends another daemon's batch with the next group commit.
  void appendFor(const std::string& batch);

  /// Whether this daemon appends for the region, with the region's budget.
  void setRegionDuty(bool hasDuty);

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

  /// The same, waiting until `until` for a claim that was made elsewhere a
  /// moment ago to be read.
  std::optional<OwnedElsewhere> awaitOwner(const SubmissionKey& key,
                                           TimePoint until);

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
  bool waitForWork(std::unique_lock<std::mutex>& lock);
  void commitGroup(std::unique_lock<std::mutex>& lock);
  bool mayHandOver(TimePoint now) const;
  void handOverGroup(std::unique_lock<std::mutex>& lock);
  void awaitReadBack(const ClaimBatch& batch,
                     std::unique_lock<std::mutex>& lock);
  std::string takeRecord(const std::optional<ClaimBatch>& own);
  void append(const std::optional<ClaimBatch>& own,
              std::string record,
              std::unique_lock<std::mutex>& lock);
  AppendBudget& budget();
  void tell(const std::vector<ClaimEvent>& events);
  ClaimDecision queued(ClaimDecision decision);

  const Settings m_settings;
  const Events m_events;
  const HandOver m_handOver;
  Counter& m_appends;
  Counter& m_claimed;
  Counter& m_handedOver;
  LatencyRecorder& m_appendTime;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  ClaimTable m_table;
  AppendBudget m_ownBudget;
  AppendBudget m_regionBudget;
  bool m_hasRegionDuty = false;
  /// Batches of other daemons that wait for the next group commit.
  std::vector<std::string> m_foreign;
  std::size_t m_foreignBytes = 0;
  /// No batch is handed over before this.
  TimePoint m_handOverFrom;
  bool m_stopping = false;
  std::atomic<bool> m_unavailable{ false };
  LogClient m_client;
  LogFollower m_follower;
  std::thread m_appender;
};

} // namespace cowslippin
