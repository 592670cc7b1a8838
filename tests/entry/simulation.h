#pragma once

#include "ramp.h"

#include "support/fakeworker.h"

#include "libentry/entrycore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// Simulates a group of daemons, their workers and their callers on a virtual
/// clock. The same seed gives the same run. While it runs, it checks that no
/// task runs twice at the same time, that no worker runs more than its
/// capacity, and that no task starts of a job whose every submission was
/// refused. A broken check is recorded as a violation.
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
    /// Shares of the orders to workers that are lost, whose answers are lost,
    /// or that arrive late and get no answer.
    double lostOrderShare = 0;
    double lostAnswerShare = 0;
    double lateOrderShare = 0;
    /// How much later late orders arrive.
    Duration minLateDelay = std::chrono::seconds(2);
    Duration maxLateDelay = std::chrono::seconds(12);
    /// Whether late orders, report requests among them, are answered like
    /// others, and orders that a partition holds up arrive after it, as with
    /// TCP.
    bool retransmitsOrders = false;
    /// Whether workers report their boot time. A worker that doesn't has a new
    /// id each time that it starts, and answers orders to its earlier ids.
    bool haveBootTimes = true;
    /// Upper limit of the time between a worker's check of a start and the
    /// start of the run, which is listed and answered from then on.
    Duration maxListingDelay = Duration::zero();
    /// Upper limit of the delay after which a daemon reads a changed list of
    /// workers or of evacuated zones.
    Duration maxReadDelay = std::chrono::milliseconds(300);
    /// Tasks of four jobs in five run for at most 200 ms; the tasks of the
    /// other jobs run for at least 500 ms and less than this.
    unsigned maxTaskMs = 1400;
    /// Whether there are jobs with tasks of 500 ms and more.
    bool hasLongTasks = true;
    /// Whether one run in a hundred fails.
    bool hasFailures = true;
    /// Whether callers whose jobs ended with an unknown outcome submit them
    /// again, at any daemon.
    bool hasResubmittingCallers = false;
    /// Rate of each daemon's link in each direction; 0 for unlimited. Orders to
    /// workers, their answers and messages between daemons queue for the link.
    double linkMegabitsPerSecond = 0;
    /// Whether daemons are configured with the rate of their links.
    bool isLinkRateKnown = true;
    /// Number of daemons that never read from the platform which zones are
    /// evacuated.
    unsigned daemonsWithoutEvacuationReads = 0;
    /// Cores with which the first daemon of each zone, and the others, are
    /// configured; 0 for no limit. They don't slow anything down.
    double firstDaemonCores = 0;
    double otherDaemonsCores = 0;
    /// Cores of each daemon's processor, which serves ticks, messages, answers
    /// of workers and callers' requests one after the other; 0 for one that
    /// takes no time.
    double processorCores = 0;
  };

  Simulation(Settings settings, std::uint64_t seed);
  ~Simulation();

  void runFor(Duration duration);

  /// Kills a daemon's process: its connections are reset. The daemon starts
  /// again after `downtime`.
  void kill(std::size_t daemon, Duration downtime);
  /// The daemon falls silent without closing its connections, and starts again
  /// after `downtime`.
  void powerOff(std::size_t daemon, Duration downtime);
  /// The daemon's process is suspended; what arrives meanwhile is handled when
  /// it resumes.
  void freeze(std::size_t daemon, Duration duration);
  /// The daemon is asked to shut down gracefully, and starts again after its
  /// process has ended.
  void leave(std::size_t daemon);
  /// Network partition: the daemon reaches no other daemon; callers and workers
  /// still reach it.
  void partitionDaemon(std::size_t daemon, Duration duration);
  /// As `partitionDaemon`, but the daemon detects the loss of its connections
  /// later than the other daemons do, by `detectionDelay`. If the partition
  /// ends before, the daemon is told that the others have closed the
  /// connections.
  void partitionWithLateDetection(std::size_t daemon,
                                  Duration duration,
                                  Duration detectionDelay);
  /// Network partition between a zone's daemons and workers and those of all
  /// other zones.
  void partitionZone(unsigned zone, Duration duration);
  /// Two zones are partitioned from each other; others reach both.
  void partitionZones(unsigned a, unsigned b, Duration duration);
  /// The daemon handles all input in order and late by `delay`: messages,
  /// answers of workers, requests of callers and its own ticks. The clocks that
  /// it reads stay right.
  void delayProcessing(std::size_t daemon, const Ramp::Shape& delay);
  /// From now on callers submit this many jobs in a second.
  void setJobsPerSecond(double rate) { m_jobsPerSecond = rate; }
  /// The daemon's callers lose their connections and submit their jobs again at
  /// any daemon. The daemon detects that later than its callers, by
  /// `detectionDelay`.
  void disconnectCallers(std::size_t daemon,
                         Duration detectionDelay = Duration::zero());
  /// The network between a daemon and its callers is cut. Requests that are
  /// sent to the daemon meanwhile are held up and read when the cut ends. Their
  /// callers have given up by then, and so have those that were waiting; they
  /// submit their jobs again at any daemon. After the cut the daemon detects
  /// that they have disconnected, unless `losesDisconnects`.
  void cutCallers(std::size_t daemon, Duration duration, bool losesDisconnects);
  /// Every connection between daemons is reset.
  void resetConnections();
  /// A worker and all its runs are lost; a worker with a new id takes its
  /// place. Daemons read the new list at once.
  void crashWorker(std::size_t worker);
  /// The worker starts again under its id with no state from before. Daemons
  /// read the worker's new entry at different times.
  void restartWorker(std::size_t worker);
  /// Sets the number of workers in each zone, at most
  /// `Settings::workersPerZone`. All runs on removed workers are lost. Daemons
  /// read the list at different times.
  void setWorkersPerZone(unsigned count);
  /// The platform's entries of a share of a zone's workers expire though the
  /// workers are alive, and return after `duration`. Daemons read each change
  /// at different times.
  void expireWorkerEntries(unsigned zone, double share, Duration duration);
  void killAll(Duration downtime);
  /// Start orders that are sent within `duration` get no answer and are carried
  /// out late by `delay`.
  void delayStarts(Duration duration, Duration delay);
  /// Operators evacuate a zone, or reopen it. Daemons read each change at
  /// different times. Unless orders may arrive late, a start in the zone more
  /// than `evacuationLimit` after the evacuation is a violation.
  void evacuate(unsigned zone);
  void reopen(unsigned zone);

  std::size_t daemons() const { return m_nodes.size(); }
  std::size_t workers() const { return m_workers.size(); }
  unsigned zones() const { return m_settings.zones; }
  unsigned zoneOf(std::size_t daemon) const { return m_nodes[daemon].zone; }
  EntryCore& core(std::size_t daemon) { return *m_nodes[daemon].core; }

  const std::vector<std::string>& violations() const { return m_violations; }
  /// Callers that wait for the answer to a job.
  unsigned waitingCallers() const;
  unsigned submitted() const { return m_submitted; }
  unsigned completed() const { return m_completed; }
  /// Jobs that were completed within three times their ideal response time.
  /// Only the jobs that the callers of a zone's daemons submitted.
  unsigned completedInTime(unsigned zone) const;
  unsigned failed() const { return m_failed; }
  unsigned refused() const { return m_refused; }
  unsigned unknown() const { return m_unknown; }
  unsigned startedTasks() const { return m_startedTasks; }
  /// Tasks that were started on the workers of a zone.
  unsigned startedTasks(unsigned zone) const;
  /// Heartbeats that a daemon has sent.
  unsigned heartbeats(std::size_t daemon) const
  {
    return m_nodes[daemon].heartbeats;
  }
  /// Messages of type `Message` that a daemon has sent to other daemons.
  template<class Message>
  unsigned messagesSent(std::size_t daemon) const
  {
    const auto& messagesSent = m_nodes[daemon].messagesSent;
    const auto found = messagesSent.find(PeerMessage(Message()).index());
    return found == messagesSent.end() ? 0 : found->second;
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
  /// A simulated daemon.
  struct Node
  {
    VmId id;
    unsigned zone = 0;
    std::unique_ptr<EntryCore> core;
    unsigned incarnation = 0;
    bool isAlive = false;
    bool isFrozen = false;
    TimePoint partitionedUntil{};
    TimePoint callersCutUntil{};
    bool losesDisconnects = false;
    unsigned heartbeats = 0;
    /// Number of sent messages by `PeerMessage` index.
    std::map<std::size_t, unsigned> messagesSent;
    /// When the link has transferred all that is queued in each direction.
    TimePoint sendBusyUntil{};
    TimePoint receiveBusyUntil{};
    /// Input that arrived while the daemon was suspended.
    std::vector<Action> deferred;
    /// Input that waits for the modelled processor, with its processor time.
    std::deque<std::pair<Duration, Action>> work;
    bool isWorking = false;
    /// Processor time that the input served last has taken in addition.
    Duration charged = Duration::zero();
    Ramp processingDelay;
    /// When the input that arrived last is handled.
    TimePoint processingUntil{};
    /// Number of the last heartbeat that this daemon has read at the platform
    /// from the holder of each shard.
    std::map<ShardId, unsigned> seenHeartbeats;
  };
  /// The entry that the holder of a shard has published at the platform.
  struct PublishedHolder
  {
    VmId holder;
    FencingToken token = 0;
    unsigned heartbeats = 0;
  };
  /// A hold order that a worker answers when a run ends or its wait is over.
  struct PendingHold
  {
    LeaseOrder order;
    std::function<void(const LeaseOrderAnswer&)> answer;
  };
  struct Worker
  {
    WorkerRecord record;
    unsigned zone = 0;
    /// Index among the workers of the zone.
    unsigned indexInZone = 0;
    unsigned incarnation = 0;
    /// The platform doesn't list the worker before this time, though the worker
    /// is alive.
    TimePoint unlistedUntil{};
    std::unique_ptr<FakeWorker> fake;
    std::map<RunKey, std::int64_t> runCpuMillis;
    std::vector<std::shared_ptr<PendingHold>> pendingHolds;
  };
  struct Caller
  {
    JobSubmission submission;
    std::size_t daemon = 0;
    unsigned daemonIncarnation = 0;
    TimePoint deadline{};
    TimePoint submittedAt{};
    unsigned attempt = 0;
    /// Set once the daemon has handled the submission.
    std::shared_ptr<Gateway::CallerId> ticket;
    bool isWaiting = false;
    /// Whether no submission has ended otherwise than by refusal.
    bool wasAlwaysRefused = true;
    /// Whether a task of the job has started.
    bool hasStarted = false;
    /// Whether every submission was refused, so that no task may start.
    bool isRefused = false;
  };

  /// One end of a connection: the daemon that owns this end, and the daemon at
  /// the other end.
  using ConnectionEnd = std::pair<std::size_t, std::size_t>;
  using ConnectionNumber = std::uint64_t;

  void schedule(Duration delay, Action action);
  /// Input arrives at a daemon: `process` handles it now, or after the daemon's
  /// processing delay.
  void deliver(std::size_t node,
               unsigned incarnation,
               const Action& action,
               Duration processorTime);
  /// The same for a message.
  void deliver(std::size_t node, unsigned incarnation, const Action& action);
  void serveNextInput(std::size_t node, unsigned incarnation);
  /// The input that is being handled takes more processor time.
  void charge(std::size_t node, Duration processorTime)
  {
    m_nodes[node].charged += processorTime;
  }
  bool hasProcessor() const { return m_settings.processorCores > 0; }
  void process(std::size_t node, unsigned incarnation, const Action& action);
  bool isProcessingDelayed(std::size_t node) const;
  void startNode(std::size_t node);
  void tickNode(std::size_t node, unsigned incarnation);
  void readHolders(std::size_t node, unsigned incarnation);
  EntryCore::Ports ports(std::size_t node);
  EntryCore::Links links(std::size_t node);
  EntryCore::Clocks clocks(std::size_t node);
  /// Whether the first daemon regards its connection to the other one as up.
  bool isConnected(std::size_t node, std::size_t other) const;
  /// Number of the connection that a daemon has to another one; 0 for none.
  ConnectionNumber connection(std::size_t node, std::size_t other) const;
  bool isPartitioned(std::size_t a, std::size_t b) const;
  bool reachesWorker(std::size_t node, const Worker& worker) const;
  void disconnect(std::size_t a, std::size_t b, Duration detectionDelay);
  void disconnectAll(std::size_t node, Duration detectionDelay);
  void closeEnd(const ConnectionEnd& end,
                ConnectionNumber number,
                PeerLoss loss);
  void closeEnd(const ConnectionEnd& end, PeerLoss loss);
  void connectDaemons();
  /// Whether two running daemons can connect to each other.
  bool canReach(std::size_t a, std::size_t b) const;
  void probeMissing(std::size_t node);
  void connectMissing(std::size_t node);
  void connect(std::size_t a, std::size_t b);
  void openEnd(const ConnectionEnd& end, ConnectionNumber number);
  bool isConnecting(std::size_t a, std::size_t b) const;
  void closeHalfOpen(std::size_t a, std::size_t b);
  void stopNode(std::size_t node);

  /// Queues a message on a link that is busy until `busyUntil`. Returns how
  /// long the message takes, and advances `busyUntil`.
  Duration transferTime(TimePoint& busyUntil, std::size_t bytes) const;
  Duration sendTime(std::size_t node, std::size_t bytes);
  Duration receiveTime(std::size_t node, std::size_t bytes);
  Worker* findWorker(const WorkerId& id);
  /// Whether another worker answers orders to this id.
  bool isReplaced(const WorkerId& id);
  Duration randomLateDelay();
  /// Calls `arrive` after `delay`, or as soon after that as the daemon reaches
  /// the worker. Orders that are held up arrive in any order.
  void deliverOrder(std::size_t node,
                    const WorkerId& id,
                    Duration delay,
                    const std::function<void()>& arrive);
  template<class Order, class Answer>
  void sendOrder(std::size_t node,
                 const WorkerRecord& record,
                 const Order& order,
                 Duration timeout,
                 std::function<void(const Answer&)> done,
                 std::function<Answer(Worker&, const Order&)> carryOut);
  void sendHoldOrder(std::size_t node,
                     const WorkerRecord& record,
                     const LeaseOrder& order,
                     Duration timeout,
                     const std::function<void(const LeaseOrderAnswer&)>& done);
  OrderAnswer carryOutStart(Worker& worker, const StartOrder& order);
  void beginRun(Worker& worker, const StartOrder& order);
  void acceptStart(Worker& worker,
                   const StartOrder& order,
                   const std::function<void(const OrderAnswer&)>& reply);
  OrderAnswer carryOutStop(Worker& worker, const StopOrder& order);
  void endRun(const WorkerId& id,
              unsigned incarnation,
              const RunKey& key,
              RunEnd end);
  void answerPendingHolds(Worker& worker);
  void checkStart(const Worker& worker, const RunKey& started);
  void tickWorkers();

  void replaceWorker(std::size_t worker);
  void startWorker(std::size_t worker, const WorkerId& id);
  void readWorkerList(std::size_t node);
  void scheduleWorkerListReads();
  void evacuationsChanged();
  void readEvacuations(std::size_t node);
  void checkEvacuation(const Worker& worker, const RunKey& started);
  void scheduleNextSubmission();
  void submitNewJob();
  void submit(const JobId& job, std::size_t daemon);
  bool refuseAtDoor(std::size_t daemon,
                    const JobSubmission& submission,
                    const Gateway::AnswerCallback& done);
  bool isInTime(const Caller& caller) const;
  void resubmitJobsOf(std::size_t daemon);
  void deliverUncut(std::size_t daemon,
                    unsigned incarnation,
                    const Action& action);
  void giveUpLater(const JobId& job);
  void giveUp(const JobId& job, unsigned attempt);
  void scheduleResubmission(const JobId& job);
  void answered(const JobId& job, unsigned attempt, const JobAnswer& answer);
  WorkerList workerList() const;
  double randomFraction()
  {
    return std::uniform_real_distribution<>(0, 1)(m_random);
  }
  std::size_t randomBelow(std::size_t bound)
  {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
  }
  void recordViolation(const std::string& what);

  const Settings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now{ std::chrono::seconds(1000) };
  std::priority_queue<Event> m_events;
  std::uint64_t m_lastSequence = 0;
  std::vector<Node> m_nodes;
  std::map<VmId, std::size_t> m_nodeOf;
  std::vector<Worker> m_workers;
  std::map<ConnectionEnd, ConnectionNumber> m_ends;
  ConnectionNumber m_lastConnection = 0;
  /// The incarnations of the two daemons of each connection that is being
  /// opened.
  std::map<ConnectionEnd, std::pair<unsigned, unsigned>> m_connecting;
  std::map<unsigned, TimePoint> m_zonePartitionedUntil;
  std::map<std::pair<unsigned, unsigned>, TimePoint> m_zonesPartitionedUntil;
  TimePoint m_startsDelayedUntil{};
  Duration m_startDelay = Duration::zero();
  std::map<ShardId, PublishedHolder> m_publishedHolders;
  EvacuatedZones m_evacuations;
  /// Since when each evacuated zone is evacuated.
  std::map<unsigned, TimePoint> m_evacuatedSince;
  std::map<unsigned, unsigned> m_startedInZone;
  unsigned m_listedPerZone = 0;
  std::map<JobId, Caller> m_callers;
  std::vector<std::string> m_violations;
  std::uint64_t m_lastJob = 0;
  unsigned m_lastWorker = 0;
  unsigned m_submitted = 0;
  unsigned m_completed = 0;
  std::map<unsigned, unsigned> m_completedInTime;
  double m_jobsPerSecond = 0;
  unsigned m_failed = 0;
  unsigned m_refused = 0;
  unsigned m_unknown = 0;
  unsigned m_startedTasks = 0;
};

} // namespace cowslippin::testing
