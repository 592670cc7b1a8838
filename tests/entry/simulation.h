#pragma once

#include "ramp.h"

#include "support/fakeworker.h"

#include "libentry/entrycore.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// A group of daemons, their workers and callers on a virtual clock. The same
/// seed gives the same run. It checks, while it runs, that no task runs twice
/// at the same time, that no worker runs more than it has room for, and that
/// nothing runs of a job whose every submission was refused.
class Simulation
{
public:
  struct Settings
  {
    unsigned zones = 2;
    unsigned daemonsPerZone = 2;
    unsigned workersPerZone = 4;
    /// Jobs submitted in a second.
    double jobsPerSecond = 12;
    /// Shares of the orders to workers that meet a fault.
    double lostOrders = 0;
    double lostAnswers = 0;
    double lateOrders = 0;
    /// How late a daemon may read a new list of workers.
    Duration listLag = std::chrono::milliseconds(300);
    /// Tasks of four jobs in five run for at most 200 ms; the others for at
    /// least 500 ms and less than this.
    unsigned longestTaskMs = 1400;
    /// Whether there are others.
    bool hasLongTasks = true;
    /// Whether tasks of one job in a hundred fail.
    bool hasFailures = true;
    /// Whether callers that aren't told what has become of their jobs submit
    /// them again at any daemon.
    bool hasReturningCallers = false;
    /// Of each daemon's link, each way; 0 for any. Orders to workers, their
    /// answers and messages between daemons queue for it.
    double linkMegabits = 0;
    /// Whether daemons know of the limit.
    bool isLinkKnown = true;
    /// So many daemons never read at the platform which zones are evacuated.
    unsigned uninformedDaemons = 0;
  };

  Simulation(Settings settings, std::uint64_t seed);
  ~Simulation();

  void runFor(Duration duration);

  /// Kills a daemon; its connections are reset. It starts again after `down`.
  void kill(std::size_t daemon, Duration down);
  /// It falls silent at once and starts again after `down`.
  void powerOff(std::size_t daemon, Duration down);
  /// It stands still; what arrives meanwhile waits.
  void freeze(std::size_t daemon, Duration duration);
  /// It is told to end, and starts again when it has.
  void leave(std::size_t daemon);
  /// It reaches no other daemon; callers and workers still reach it.
  void cutOff(std::size_t daemon, Duration duration);
  /// As `cutOff`, but it notices the loss later than the others, by `lag`. When
  /// it reaches them again before, it is told that they have closed.
  void loseUnevenly(std::size_t daemon, Duration duration, Duration lag);
  /// A zone's daemons and workers are cut off from those of other zones.
  void cutZone(unsigned zone, Duration duration);
  /// All that comes in is handled in order and with a lag: messages, answers of
  /// workers, callers and its own ticks. The clocks that it reads are right.
  void runBehind(std::size_t daemon, const Ramp::Shape& lag);
  /// Its callers lose their connections and submit again at any daemon. It
  /// learns of that later than they do, by `lag`.
  void loseCallers(std::size_t daemon, Duration lag = Duration::zero());
  /// Every connection between daemons is reset.
  void resetLinks();
  void crashWorker(std::size_t worker);
  /// It starts again under its id and knows nothing of before. Daemons read of
  /// it at different times.
  void restartWorker(std::size_t worker);
  /// Each zone has so many workers from now on, at most those of the settings.
  /// What ran on others is gone. Daemons read the list at different times.
  void setWorkersPerZone(unsigned count);
  /// The platform's entries of a share of a zone's workers expire though the
  /// workers live, and are back after `duration`. Daemons read that at
  /// different times.
  void unlist(unsigned zone, double share, Duration duration);
  void killAll(Duration down);
  /// Starts that are sent within `duration` get no answer and are carried out
  /// late by `lag`.
  void delayStarts(Duration duration, Duration lag);
  /// Operators ask for a zone to be evacuated, and take it back. Daemons read
  /// that at different times. Where orders are never late, a start there that
  /// comes more than `evacuationLimit` later is a violation.
  void evacuate(unsigned zone);
  void reopen(unsigned zone);

  std::size_t daemons() const { return m_nodes.size(); }
  std::size_t workers() const { return m_workers.size(); }
  unsigned zones() const { return m_settings.zones; }
  EntryCore& core(std::size_t daemon) { return *m_nodes[daemon].core; }

  const std::vector<std::string>& violations() const { return m_violations; }
  /// Jobs that are under way.
  unsigned waitingCallers() const;
  unsigned submitted() const { return m_submitted; }
  unsigned completed() const { return m_completed; }
  unsigned failed() const { return m_failed; }
  unsigned refused() const { return m_refused; }
  unsigned unknown() const { return m_unknown; }
  unsigned startedTasks() const { return m_startedTasks; }
  /// Tasks that were started on a zone's workers.
  unsigned startedTasks(unsigned zone) const;
  /// Heartbeats that a daemon has sent.
  unsigned beats(std::size_t daemon) const { return m_nodes[daemon].beats; }
  /// Messages of a kind that a daemon has sent to others.
  template<class Message>
  unsigned sent(std::size_t daemon) const
  {
    const auto& sent = m_nodes[daemon].sent;
    const auto found = sent.find(PeerMessage(Message()).index());
    return found == sent.end() ? 0 : found->second;
  }

  std::mt19937_64& random() { return m_random; }
  TimePoint now() const { return m_now; }

private:
  using Action = std::function<void()>;

  struct Event
  {
    TimePoint at;
    std::uint64_t sequence = 0;
    Action action;
    bool operator<(const Event& other) const
    {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  struct Node
  {
    VmId id;
    unsigned zone = 0;
    std::unique_ptr<EntryCore> core;
    unsigned life = 0;
    bool isAlive = false;
    bool isFrozen = false;
    TimePoint cutUntil{};
    unsigned beats = 0;
    /// Messages by their kind.
    std::map<std::size_t, unsigned> sent;
    /// Until when its link is busy with what waits in each direction.
    TimePoint sendsUntil{};
    TimePoint receivesUntil{};
    std::vector<Action> waiting;
    Ramp lag;
    /// When it handles what came in last.
    TimePoint handlesUntil{};
    /// Heartbeats of holders at the platform that it has read.
    std::map<ShardId, unsigned> knownBeats;
  };
  /// What a holder told the platform last.
  struct PublishedHolder
  {
    VmId holder;
    FencingToken token = 0;
    unsigned beats = 0;
  };
  struct ParkedHold
  {
    HoldOrder order;
    std::function<void(const HoldAnswer&)> answer;
  };
  struct Worker
  {
    WorkerRecord record;
    unsigned zone = 0;
    /// Among those of its zone.
    unsigned position = 0;
    unsigned life = 0;
    /// The platform doesn't list it before then, though it lives.
    TimePoint unlistedUntil{};
    std::unique_ptr<FakeWorker> fake;
    std::map<RunKey, std::int64_t> sizes;
    std::vector<std::shared_ptr<ParkedHold>> parked;
  };
  struct Caller
  {
    JobSubmission submission;
    std::size_t daemon = 0;
    unsigned daemonLife = 0;
    TimePoint deadline{};
    unsigned attempt = 0;
    /// Known to the daemon once it has handled the submission.
    std::shared_ptr<Gateway::Ticket> ticket;
    bool isWaiting = false;
    bool wasAlwaysRefused = true;
    bool hasStarted = false;
    bool isRefused = false;
  };

  /// A daemon's view of its connection to another.
  using End = std::pair<std::size_t, std::size_t>;
  using ConnectionNumber = std::uint64_t;

  void at(Duration delay, Action action);
  /// Something comes in at a daemon.
  void onNode(std::size_t node, unsigned life, const Action& action);
  void handle(std::size_t node, unsigned life, const Action& action);
  bool isBehind(std::size_t node) const;
  void startNode(std::size_t node);
  void tickNode(std::size_t node, unsigned life);
  void readHolders(std::size_t node, unsigned life);
  EntryCore::Ports ports(std::size_t node);
  EntryCore::Links links(std::size_t node);
  EntryCore::Clocks clocks(std::size_t node);
  /// Whether the first regards its connection to the other as up.
  bool areLinked(std::size_t node, std::size_t other) const;
  /// 0 for none.
  ConnectionNumber connection(std::size_t node, std::size_t other) const;
  bool isCut(std::size_t a, std::size_t b) const;
  bool reachesWorker(std::size_t node, const Worker& worker) const;
  void unlink(std::size_t a, std::size_t b, Duration noticed);
  void unlinkAll(std::size_t node, Duration noticed);
  void loseEnd(const End& end, ConnectionNumber number, PeerLoss loss);
  void loseEnd(const End& end, PeerLoss loss);
  void connectDaemons();
  void connect(std::size_t a, std::size_t b);
  void openEnd(const End& end, ConnectionNumber number);
  bool isConnecting(std::size_t a, std::size_t b) const;
  void closeHalfOpen(std::size_t a, std::size_t b);
  void stopNode(std::size_t node);

  /// How long a message takes through a link that is busy until then.
  Duration transit(TimePoint& busyUntil, std::size_t bytes) const;
  Duration sendTime(std::size_t node, std::size_t bytes);
  Duration receiveTime(std::size_t node, std::size_t bytes);
  Worker* findWorker(const WorkerId& id);
  template<class Order, class Answer>
  void order(std::size_t node,
             const WorkerRecord& record,
             const Order& order,
             Duration timeout,
             std::function<void(const Answer&)> done,
             std::function<Answer(Worker&, const Order&)> carryOut);
  void holdOrder(std::size_t node,
                 const WorkerRecord& record,
                 const HoldOrder& order,
                 Duration timeout,
                 const std::function<void(const HoldAnswer&)>& done);
  OrderAnswer carryOutStart(Worker& worker, const StartOrder& order);
  OrderAnswer carryOutStop(Worker& worker, const StopOrder& order);
  void endRun(const WorkerId& id, unsigned life, const RunKey& key, RunEnd end);
  void answerParked(Worker& worker);
  void checkWorker(const Worker& worker, const RunKey& started);
  void tickWorkers();

  void renew(std::size_t worker);
  void beginLife(std::size_t worker, const WorkerId& id);
  void readList(std::size_t node);
  void readListsLater();
  void evacuationsChanged();
  void readEvacuations(std::size_t node);
  void checkEvacuation(const Worker& worker, const RunKey& started);
  void submitLater();
  void submitNew();
  void submit(const JobId& job, std::size_t daemon);
  void callerBroken(std::size_t daemon);
  void submitAgain(const JobId& job);
  void answered(const JobId& job, unsigned attempt, const JobAnswer& answer);
  WorkerList list() const;
  double chance() { return std::uniform_real_distribution<>(0, 1)(m_random); }
  std::size_t below(std::size_t bound)
  {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
  }
  void violated(const std::string& what);

  const Settings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now{ std::chrono::seconds(1000) };
  std::priority_queue<Event> m_events;
  std::uint64_t m_lastSequence = 0;
  std::vector<Node> m_nodes;
  std::map<VmId, std::size_t> m_nodeOf;
  std::vector<Worker> m_workers;
  std::map<End, ConnectionNumber> m_ends;
  ConnectionNumber m_lastConnection = 0;
  /// The lives of daemons that open a connection.
  std::map<End, std::pair<unsigned, unsigned>> m_connecting;
  std::map<unsigned, TimePoint> m_zoneCutUntil;
  TimePoint m_startsDelayedUntil{};
  Duration m_startLag = Duration::zero();
  std::map<ShardId, PublishedHolder> m_published;
  Evacuations m_evacuations;
  /// Since when each zone is evacuated.
  std::map<unsigned, TimePoint> m_evacuatedSince;
  std::map<unsigned, unsigned> m_startedInZone;
  unsigned m_listedPerZone = 0;
  std::map<JobId, Caller> m_callers;
  std::vector<std::string> m_violations;
  std::uint64_t m_lastJob = 0;
  unsigned m_lastWorker = 0;
  unsigned m_submitted = 0;
  unsigned m_completed = 0;
  unsigned m_failed = 0;
  unsigned m_refused = 0;
  unsigned m_unknown = 0;
  unsigned m_startedTasks = 0;
};

} // namespace cowslippin::testing
