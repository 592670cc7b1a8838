#pragma once

#include "schedule.h"

#include "libclaims/claims.h"

#include <map>
#include <set>

namespace cowslippin {

/// Three claim tables over a log in memory, driven by a schedule. It checks
/// after every step what must always hold.
class Cluster
{
public:
  static constexpr unsigned daemonCount = 3;
  static constexpr unsigned keyCount = 3;
  static constexpr Duration window = std::chrono::seconds(100);

  Cluster();

  void run(const Schedule& schedule);

  /// What was violated first; empty if nothing was.
  const std::string& violation() const { return m_violation; }
  std::size_t starts() const { return m_starts; }
  std::size_t supersededStarts() const { return m_supersededStarts; }

private:
  struct Submission
  {
    SubmissionKey key;
    TimePoint arrived;
    bool toldNotRun = false;
    bool isStarted = false;
  };

  struct Append
  {
    std::uint64_t batchNumber = 0;
    AppendEnd end = AppendEnd::Unknown;
  };

  struct Daemon
  {
    explicit Daemon(const Incarnation& name);

    Incarnation name;
    ClaimTable table;
    Offset readUpTo = 0;
    std::optional<Append> append;
    /// The latest submission of each key, as an index.
    std::map<SubmissionKey, std::size_t> submissions;
    std::map<SubmissionKey, Offset> held;
  };

  /// A batch with the submissions that its entries are made for.
  struct Sent
  {
    ClaimBatch batch;
    std::map<SubmissionKey, std::size_t> submissions;
  };

  struct Decline
  {
    SubmissionKey key;
    Incarnation owner;
    Offset claim = 0;

    friend bool operator<(const Decline& a, const Decline& b)
    {
      return a.claim != b.claim ? a.claim < b.claim : a.key < b.key;
    }
  };

  void apply(const Step& step);
  void submit(Daemon& daemon, const SubmissionKey& key);
  void submitted(Daemon& daemon,
                 const SubmissionKey& key,
                 const ClaimDecision& decision);
  void ask(const SubmissionKey& key, const OwnedElsewhere& owned);
  void append(Daemon& daemon, unsigned choice);
  void landLate(unsigned choice);
  void read(Daemon& daemon, unsigned records);
  void giveUp(Daemon& daemon, const SubmissionKey& key);
  void start(Daemon& daemon, const SubmissionKey& key);
  void started(Daemon& daemon, const SubmissionKey& key);
  void deliverDecline(Daemon& daemon, unsigned choice);
  void restart(Daemon& daemon);
  void advance(Daemon& daemon, unsigned choice);
  void dropRecords(unsigned choice);
  void handle(Daemon& daemon, const std::vector<ClaimEvent>& events);
  void tellNotRun(Daemon& daemon, const SubmissionKey& key);
  void require(bool condition, const std::string& rule);

  std::vector<Daemon> m_daemons;
  unsigned m_incarnations = 0;
  std::vector<Sent> m_log;
  Offset m_first = 1;
  std::vector<Sent> m_limbo;
  std::vector<Submission> m_submissions;
  std::vector<Decline> m_declines;
  std::set<Decline> m_declined;
  TimePoint m_now{};
  std::string m_violation;
  std::size_t m_starts = 0;
  std::size_t m_supersededStarts = 0;
};

} // namespace cowslippin
