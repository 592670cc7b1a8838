#pragma once

#include "configurationsync.h"
#include "cpustarvationdetector.h"
#include "fencingtokengenerator.h"
#include "gateway.h"
#include "heartbeatschedule.h"
#include "holderlookup.h"
#include "jobregistrations.h"
#include "overloadguard.h"
#include "partitioncheck.h"
#include "peerjobs.h"
#include "peerliveness.h"
#include "peerlosses.h"
#include "peerreports.h"
#include "shardhandover.h"
#include "vacancyprobe.h"
#include "workerlistreaders.h"

#include "libjobs/jobs.h"
#include "libpeers/peermessage.h"
#include "libshards/shards.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace cowslippin {

/// The logic of a daemon that runs callers' jobs on leased workers: the
/// callers' jobs, the shards of workers that it holds, and its membership in
/// the group of daemons. It does no I/O and reads no clock of its own, so that
/// tests run a whole group of daemons on a virtual clock.
class EntryCore
{
public:
  struct Settings
  {
    VmId vm;
    ZoneName zone;
    /// Time between the request to shut down and the kill of the process.
    Duration shutdownGrace = std::chrono::seconds(6);
    /// How slow this machine is: the base-2 logarithm of the time that a fixed
    /// benchmark takes.
    int slowness = 0;
    /// The resources that this process may use. They determine how many workers
    /// it can hold.
    MachineLimits limits;
    /// A daemon that is short of processor time releases its shards to others.
    CpuStarvationDetector::Settings cpuStarvation;
    Scheduler::Settings scheduler;
    ShardTable::Settings shards;
    Gateway::Settings gateway;
    VacancyProbe::Settings vacancyProbe;
    HeartbeatSchedule::Settings heartbeats;
    /// How often a holder sends a heartbeat to the platform.
    Duration platformHeartbeatInterval = std::chrono::seconds(1);
    /// A longer gap between two clock readings means that this process was
    /// stopped, and that its peers may consider it lost.
    Duration pauseLimit = std::chrono::milliseconds(250);
    /// How long after a pause the pending messages are read before any task is
    /// started.
    Duration resumeDelay = std::chrono::milliseconds(60);
    /// How long after the start callers' jobs wait for the peers to advertise
    /// which jobs are in progress there.
    Duration peerReportWait = std::chrono::milliseconds(600);
    /// For this long after the start, a daemon that reaches fewer than half of
    /// the daemons that it knows is considered partitioned from them.
    Duration discoveryTime = std::chrono::seconds(30);
    /// How long the platform's load balancer may take to notice that this
    /// daemon isn't ready: it checks every second and acts on two failed
    /// checks.
    Duration balancerDelay = std::chrono::milliseconds(2400);
  };

  /// Orders to workers and messages to the platform. No function may be empty,
  /// and none may call its answer callback before it returns.
  struct Ports
  {
    std::function<void(const WorkerRecord&,
                       const LeaseOrder&,
                       Duration timeout,
                       std::function<void(const LeaseOrderAnswer&)>)>
      hold;
    std::function<void(const WorkerRecord&,
                       const StartOrder&,
                       Duration timeout,
                       std::function<void(const OrderAnswer&)>)>
      start;
    std::function<void(const WorkerRecord&,
                       const StopOrder&,
                       Duration timeout,
                       std::function<void(const OrderAnswer&)>)>
      stop;
    /// Publishes at the platform that this daemon holds a shard.
    std::function<void(const ShardId&, FencingToken)> publishHolder;
    /// Parses a configuration in the platform's format.
    std::function<Result<RoutingTable>(const std::string&)> readConfiguration;
    /// Whether a response of the platform with a configuration is being
    /// received.
    std::function<bool()> isConfigurationArriving;
    /// A daemon of the same zone has forwarded changes of the platform's list
    /// of workers.
    std::function<void(const PeerWorkerChanges&)> workerChangesForwarded;
  };

  /// The connections to other daemons. No function may be empty.
  struct Links
  {
    /// Returns false if there is no connection.
    std::function<bool(const VmId&, const PeerMessage&)> send;
    std::function<void(const std::vector<VmId>&, const PeerMessage&)>
      sendToEach;
    /// Sets whether this daemon shares jobs with a peer, so that a loss of the
    /// peer has to be detected soon.
    std::function<void(const VmId&, bool isClose)> setSharesJobs;
    std::function<bool(const VmId&)> isConnected;
    std::function<std::set<VmId>()> connectedPeers;
    /// The number of known daemons, reachable or not.
    std::function<std::size_t()> knownPeerCount;
    std::function<void()> closeAll;
    /// Tries to reach some of the daemons that aren't connected. `peerReached`
    /// follows if one can be reached.
    std::function<void()> probeMissing;
    /// Connects to all daemons that aren't connected without further delay.
    std::function<void()> connectMissing;
    /// Calls a function later, from the event loop.
    std::function<void(std::function<void()>)> post;
  };

  /// The clocks and the process number. No function may be empty.
  struct Clocks
  {
    Clock steady;
    /// Keeps running while the machine is suspended, unlike the steady clock.
    std::function<std::chrono::nanoseconds()> sinceBoot;
    /// In milliseconds since 1970; may jump.
    std::function<std::int64_t()> timeOfDay;
    /// Differs from one process to the next, in its lowest 32 bits.
    std::uint64_t processNumber = 0;
  };

  EntryCore(Settings settings, Ports ports, Links links, Clocks clocks);

  /// A configuration was read from the platform. One that is older than the one
  /// in force is ignored.
  void configurationRead(const std::string& body);
  void workersRead(const WorkerList& workers);
  /// Whether this daemon reads the platform's list of workers for others of its
  /// zone.
  bool isDirectoryReader() const { return m_isDirectoryReader; }
  /// Forwards changes of the list of workers to the daemons of the zone that
  /// don't read it themselves.
  void forwardWorkerChanges(const PeerWorkerChanges& news);
  /// The set of evacuated zones was read from the platform's log.
  void evacuationsRead(const EvacuatedZones& evacuations);
  /// A holder's heartbeat for a shard was read from the platform.
  void holderRead(const ShardId& shard, const VmId& holder);
  /// The last holder of a shard was read from the platform, however long ago
  /// that was.
  void lastHolderRead(const ShardId& shard, const VmId& holder);
  /// All holders' entries were read from the platform; `highest` is the highest
  /// fencing token in them.
  void holdersRead(FencingToken highest);
  /// Whether a token that was read from the platform may be one of a daemon.
  bool isPlausibleToken(FencingToken token) const
  {
    return m_tokens.isPlausible(token);
  }

  std::shared_ptr<const RoutingTable> routing() const
  {
    return m_configuration.routing();
  }
  /// Why the configuration last read from the platform isn't in force, if it
  /// can't be decoded.
  const std::optional<Problem>& configurationRefusal() const
  {
    return m_configuration.refusal();
  }
  /// Whether the load balancer should send callers to this daemon.
  bool isReady() const;

  /// Whether a job is refused before its body is decoded. To be called once for
  /// each job that arrives.
  std::optional<DoorRefusal> refuseUndecoded(const JobId& job,
                                             const QueuePolicy& policy);
  /// Whether a decoded job is refused because it can't be answered in time any
  /// more. To be called once for each job that `refuseUndecoded` has admitted.
  std::optional<DoorRefusal> refuseDecoded(const JobSubmission& submission);
  Gateway::CallerId submit(JobSubmission submission,
                           Gateway::AnswerCallback done);
  void callerDisconnected(Gateway::CallerId callerId);
  /// A caller or the platform's load balancer has sent something.
  void callersSeen();

  /// Connections to peers being made and lost, and the messages that peers
  /// send. Messages of peers that aren't connected are ignored.
  void peerUp(const PeerHello& hello);
  void peerDown(const VmId& vm, PeerLoss loss);
  void received(const VmId& vm, const PeerMessage& message);
  /// A daemon that isn't connected can be reached.
  void peerReached();

  /// Does what is due by now. To be called about every 20 ms.
  void tick();

  /// Releases the held shards and finishes when no job is left. Calls `ended`
  /// once, when the process may exit.
  void leave(std::function<void()> ended);
  /// Sets how long shutting down may take.
  void setGrace(Duration grace) { m_grace = grace; }
  bool isLeaving() const { return m_shutdownStartedAt.has_value(); }
  /// Whether requests of callers are still accepted. During the shutdown they
  /// are, until the platform's load balancer has had time to notice that this
  /// daemon isn't ready.
  bool acceptsCallers() const;

  std::set<ShardId> heldShards() const;

  /// The values that are exported as metrics.
  struct Stats
  {
    std::uint64_t configurationVersion = 0;
    /// The highest version that is known to this daemon or reported by a peer.
    std::uint64_t newestConfigurationVersion = 0;
    /// Whether the configuration last read from the platform can't be decoded.
    bool isConfigurationRefused = false;
    /// Routes in force whose jobs are refused for an invalid field.
    std::size_t invalidRoutes = 0;
    std::size_t callersWaiting = 0;
    std::size_t jobsScheduled = 0;
    std::size_t tasksWaiting = 0;
    unsigned spareSlots = 0;
    std::size_t shardsHeld = 0;
    std::size_t peersUp = 0;
    std::size_t evacuatedZones = 0;
    bool isReady = false;
    /// The lease state of each worker of the held shards.
    std::vector<LeaseState> leases;
    /// How many of these workers are known to be faster or slower than usual.
    std::size_t fastWorkers = 0;
    std::size_t slowWorkers = 0;
    LossLog::Counts restarts;
    /// Runs without a listed end that count as over, and those of them that a
    /// report has listed afterwards.
    PresumedOverRuns::Counts presumedOver;
    PresumedOverRuns::Counts reappeared;
    /// Mean lag of the event loop.
    Duration loopLag = Duration::zero();
    /// Share of the callers' work that is admitted on arrival.
    double admittedShare = 1;
    /// Share of other daemons' jobs that is taken as a holder.
    double holderShare = 1;
    OverloadGuard::RefusalCounts refusals;
    /// How many tasks a second this daemon can start and follow.
    std::size_t taskRate = 0;
    HolderLookup::Placements placements;
    ShardHandover::Counts shards;
  };
  Stats stats() const;

  /// The state of all components as JSON, for an operator.
  nlohmann::json stateJson() const;

  /// Whether the holders' entries at the platform should be read often.
  bool needsFrequentHolderReads() const
  {
    return m_shards.needsPlatformHeartbeats();
  }

  /// Reads the clocks and handles a pause of the process, if there was one.
  /// Returns the time of the steady clock.
  TimePoint observeTime();

private:
  Scheduler::Hooks schedulerHooks();
  Gateway::Hooks gatewayHooks();
  JobRegistrations::Hooks registrationHooks();

  ConfigurationSync::Hooks configurationHooks();
  void configurationChanged();
  void handlePause(TimePoint now, Duration gap);
  void sendHeartbeatToAll(TimePoint now);
  void sendScheduledHeartbeats(TimePoint now);
  void advertiseFreeSlots(TimePoint now);
  void sendHeartbeats(const std::vector<VmId>& vms, TimePoint now);
  PeerHeartbeat makeHeartbeat(TimePoint now) const;
  void updateClosePeers();
  void addClosePeer(const VmId& vm);
  void recallAcknowledged(const VmId& vm,
                          const PeerRecallAck& recalled,
                          TimePoint now);
  void recordLoss(const VmId& vm, PeerLoss loss, TimePoint now);
  void logPeerLost(const VmId& vm, PeerLoss loss, TimePoint now);
  void applyShardDecisions(TimePoint now);
  void checkShutdown(TimePoint now);
  void submitted(const VmId& vm, const PeerSubmit& submit, TimePoint now);
  void acknowledgeHeartbeats(TimePoint now);
  void heartbeatAcknowledged(const VmId& vm,
                             const PeerHeartbeatAck& ack,
                             TimePoint now);
  void heartbeatReceived(const VmId& vm,
                         const PeerHeartbeat& beat,
                         TimePoint now);
  void sendUnresolved(const std::vector<VmId>& vms,
                      const std::vector<UnresolvedStart>& starts,
                      TimePoint now);
  void sendNewUnresolved(TimePoint now);
  void unresolvedReceived(const PeerUnresolvedStarts& message, TimePoint now);
  PeerShardReleased shardRelease(const ShardId& shard, TimePoint now) const;
  void useStatement(const std::optional<ShardStatement>& statement,
                    TimePoint now);
  bool havePeersReported(TimePoint now) const;
  bool mayBePartitioned(TimePoint now) const;
  bool mayBePartitioned(std::size_t reachable, TimePoint now) const;
  TimePoint allAdvertisedUntil() const;
  std::optional<PeerJobs::Location> inProgressAt(const JobId& job,
                                                 TimePoint readAt);
  void confirmAdvertisedAt(const VmId& vm, const JobKey& key);
  void jobEnded(const JobKey& key, const JobEnd& end);
  void tasksReturned(const JobKey& key, const TasksReturned& returned);
  unsigned spareSlots(TimePoint now) const;
  void updateCpuStarvation(TimePoint now);
  void updateOverload(TimePoint now);
  OverloadGuard::IsInProgress inProgressCheck();
  void probeOrphans(TimePoint now);
  void updateWorkerList(TimePoint now);
  void applyShardDivision(TimePoint now);
  void adoptShardDivisions(const PeerHeartbeat& beat, TimePoint now);
  void adoptEvacuations(const EvacuatedZones& evacuations, TimePoint now);
  void updateShardSizes(TimePoint now);
  bool submitTo(const VmId& vm, const JobRequest& request);
  void cancelAt(const VmId& vm, const JobKey& key);

  const Settings m_settings;
  const Ports m_ports;
  const Links m_links;
  const Clocks m_clocks;
  ShardTable m_shards;
  ShardSizeLimits m_shardSizes;
  Scheduler m_scheduler;
  Gateway m_gateway;
  JobRegistrations m_registrations;
  ConfigurationSync m_configuration;
  OverloadGuard m_overload;
  bool m_hasWorkers = false;
  WorkerList m_workers;
  EvacuatedZones m_evacuations;
  PeerReports m_peerReports;
  PeerLiveness m_peerContact;
  PeerJobs m_knownJobs;
  ShardHandover m_handover;
  PeerLosses m_losses;
  PartitionCheck m_partitionCheck;
  /// After the start or a pause, the time by which all peers have advertised
  /// their jobs to this daemon.
  TimePoint m_peersReportedAt;
  /// When callers or the load balancer last sent something, and when they did
  /// so after a silence.
  TimePoint m_callersSeenAt;
  TimePoint m_callersBackAt{};
  /// After the start, the time by which this daemon has found all daemons that
  /// it can reach.
  TimePoint m_discoveryEndsAt;
  HolderLookup m_holderLookup;
  FencingTokenGenerator m_tokens;
  VacancyProbe m_vacancyProbe;
  WorkerListReaders m_directoryReaders;
  bool m_isDirectoryReader = true;
  CpuStarvationDetector m_cpuStarvation;
  HeartbeatSchedule m_heartbeats;
  /// Peers that have jobs of this daemon, or whose jobs this daemon has.
  std::set<VmId> m_closePeers;
  /// The close peers that have jobs of this daemon.
  std::set<VmId> m_jobHolders;
  std::set<ShardId> m_fenced;
  /// Starts that workers didn't answer and that weren't sent to the peers yet.
  std::vector<UnresolvedStart> m_newUnresolved;
  /// When a message of each peer was last read.
  std::map<VmId, TimePoint> m_lastReadAt;
  TimePoint m_lastHeartbeatAt{};
  TimePoint m_lastPlacesUpdateAt{};
  unsigned m_advertisedSlots = 0;
  TimePoint m_lastPlatformHeartbeatAt{};
  std::chrono::nanoseconds m_lastBootTime{};
  std::optional<TimePoint> m_resumeAt;
  Duration m_grace;
  std::optional<TimePoint> m_shutdownStartedAt;
  std::function<void()> m_onShutdownDone;
};

} // namespace cowslippin
