#pragma once

#include "configurationsync.h"
#include "directoryreaders.h"
#include "gateway.h"
#include "heartbeatplan.h"
#include "holderlookup.h"
#include "knownjobs.h"
#include "memberlosses.h"
#include "peercontact.h"
#include "peerreports.h"
#include "strainmeter.h"
#include "tokensource.h"
#include "vacancyprobe.h"

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

/// What a daemon that serves callers' jobs on leased workers decides: the
/// callers' jobs, the shards of workers that it holds, and its part among the
/// other daemons, put together. It does no input or output and reads no clock,
/// so that a whole group of daemons runs in a test on a virtual clock.
class EntryCore
{
public:
  struct Settings
  {
    VmId vm;
    ZoneName zone;
    /// From the request to end until the process is killed.
    Duration grace = std::chrono::seconds(6);
    /// How slow this machine is: the logarithm of what a fixed work takes.
    int slowness = 0;
    /// What it may use. It follows how many workers this daemon can hold.
    MachineLimits limits;
    /// A strained daemon gives its shards to others.
    StrainMeter::Settings strain;
    Scheduler::Settings scheduler;
    ShardTable::Settings shards;
    Gateway::Settings gateway;
    VacancyProbe::Settings vacancy;
    HeartbeatPlan::Settings heartbeats;
    /// How often a holder tells the platform that it is there.
    Duration platformBeatInterval = std::chrono::seconds(1);
    /// A longer time in which this process did nothing means that it was
    /// stopped, and that others may have given it up.
    Duration pauseLimit = std::chrono::milliseconds(250);
    /// After a pause, how long what came in is read before anything is started.
    Duration wakeTime = std::chrono::milliseconds(60);
    /// After the start, how long callers' jobs wait for other daemons to tell
    /// where they are under way.
    Duration informTime = std::chrono::milliseconds(600);
    /// After the start, how long a daemon that reaches fewer than half of those
    /// that it knows of is taken to be cut off from them.
    Duration findTime = std::chrono::seconds(30);
    /// How long the platform's balancer may take to see that this daemon is no
    /// longer ready: it asks every second and goes by two misses.
    Duration unreadyTime = std::chrono::milliseconds(2400);
  };

  /// Orders to workers and messages to the platform. None may be empty; no
  /// answer may be given from within.
  struct Ports
  {
    std::function<void(const WorkerRecord&,
                       const HoldOrder&,
                       Duration timeout,
                       std::function<void(const HoldAnswer&)>)>
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
    /// Tells the platform which daemon holds a shard.
    std::function<void(const ShardId&, FencingToken)> publishHolder;
    /// Reads a configuration as the platform has it.
    std::function<Result<RoutingTable>(const std::string&)> readConfiguration;
    /// Whether an answer of the platform with a configuration is on its way.
    std::function<bool()> isConfigurationArriving;
    /// Another daemon of the zone has read the platform's list of workers.
    std::function<void(const PeerWorkerNews&)> workerNews;
  };

  /// The connections to other daemons. None may be empty.
  struct Links
  {
    /// False if there is no connection.
    std::function<bool(const VmId&, const PeerMessage&)> send;
    std::function<void(const std::vector<VmId>&, const PeerMessage&)>
      sendToEach;
    /// Whether there are jobs in common with a daemon, so that its loss has to
    /// be noticed soon.
    std::function<void(const VmId&, bool isClose)> setClose;
    std::function<bool(const VmId&)> isUp;
    std::function<std::set<VmId>()> up;
    /// Daemons that exist, whether or not they can be reached.
    std::function<std::size_t()> knownCount;
    std::function<void()> dropAll;
    /// Calls a function soon, but not from within.
    std::function<void(std::function<void()>)> post;
  };

  /// None may be empty.
  struct Clocks
  {
    Clock steady;
    /// Goes on while the machine is suspended, other than the steady clock.
    std::function<std::chrono::nanoseconds()> sinceBoot;
    /// In milliseconds since 1970; may jump.
    std::function<std::int64_t()> timeOfDay;
    /// Differs from one process to the next.
    std::uint64_t processNumber = 0;
  };

  EntryCore(Settings settings, Ports ports, Links links, Clocks clocks);

  /// The platform has a configuration; an older one than that in force is
  /// ignored.
  void configurationRead(const std::string& body);
  void workersRead(const WorkerList& workers);
  /// Whether this daemon is to read the platform's list of workers for others
  /// of its zone.
  bool isDirectoryReader() const { return m_isDirectoryReader; }
  /// Passes on what it has read to those that don't read.
  void passOn(const PeerWorkerNews& news);
  /// The platform's log tells which zones are to be evacuated.
  void evacuationsRead(const Evacuations& evacuations);
  /// A holder has told the platform anew that it holds a shard.
  void holderRead(const ShardId& shard, const VmId& holder);
  /// Who held a shard last, by what the platform has.
  void lastHolderRead(const ShardId& shard, const VmId& holder);
  /// The holders' entries at the platform were read; the highest token in them.
  void holdersRead(FencingToken highest);

  std::shared_ptr<const RoutingTable> routing() const
  {
    return m_configuration.routing();
  }
  /// Whether callers should be sent here.
  bool isReady() const;

  Gateway::Ticket submit(JobSubmission submission, Gateway::Done done);
  void callerGone(Gateway::Ticket ticket);

  /// Messages of other daemons, and whether they can be reached.
  void peerUp(const PeerHello& hello);
  void peerDown(const VmId& vm, PeerLoss loss);
  void received(const VmId& vm, const PeerMessage& message);

  /// Lets time pass; to be called every 20 ms or so.
  void tick();

  /// Gives up what is held and ends when nothing waits any more. `ended` is
  /// called once, when the process may exit.
  void leave(std::function<void()> ended);
  /// How long this daemon may take to leave from now on.
  void setGrace(Duration grace) { m_grace = grace; }
  bool isLeaving() const { return m_leaveAt.has_value(); }
  /// Whether callers may still come. When this daemon leaves they may until the
  /// platform's balancer has had the time to see it.
  bool acceptsCallers() const;

  std::set<ShardId> heldShards() const;

  /// What an operator watches.
  struct Figures
  {
    std::uint64_t configurationVersion = 0;
    /// The highest version that this daemon or another has told of.
    std::uint64_t newestConfigurationVersion = 0;
    std::size_t callersWaiting = 0;
    std::size_t jobsScheduled = 0;
    std::size_t tasksWaiting = 0;
    unsigned sparePlaces = 0;
    std::size_t shardsHeld = 0;
    std::size_t peersUp = 0;
    std::size_t evacuatedZones = 0;
    bool isReady = false;
    /// Of each worker of the held shards.
    std::vector<LeaseState> leases;
    LossLog::Counts restarts;
  };
  Figures figures() const;

  /// The state of every part, for an operator.
  nlohmann::json dump() const;

  /// Whether the holders' entries at the platform should be read often.
  bool needsHolderReads() const { return m_shards.needsPlatformReads(); }

  /// Reads the clocks; notices when the process has been stopped for a while.
  TimePoint observeTime();

private:
  Scheduler::Hooks schedulerHooks();
  Gateway::Hooks gatewayHooks();

  ConfigurationSync::Hooks configurationHooks();
  void configurationChanged();
  void pauseNoticed(TimePoint now, Duration gap);
  void beat(TimePoint now);
  void beatInTurn(TimePoint now);
  void beatHolders(TimePoint now);
  void sendBeats(const std::vector<VmId>& vms, TimePoint now);
  PeerBeat makeBeat(TimePoint now) const;
  void updateClose();
  void addClose(const VmId& vm);
  void recalledReceived(const VmId& vm,
                        const PeerRecalled& recalled,
                        TimePoint now);
  void noteLoss(const VmId& vm, PeerLoss loss, TimePoint now);
  void logPeerLost(const VmId& vm, PeerLoss loss, TimePoint now);
  void applyDecisions(TimePoint now);
  void checkLeaving(TimePoint now);
  void submitted(const VmId& vm, const PeerSubmit& submit, TimePoint now);
  void acknowledgeBeats(TimePoint now);
  void beatAcknowledged(const VmId& vm, const PeerBeatAck& ack, TimePoint now);
  void beatReceived(const VmId& vm, const PeerBeat& beat, TimePoint now);
  void tellUnresolved(const std::vector<VmId>& vms,
                      const std::vector<UnresolvedStart>& starts,
                      TimePoint now);
  void tellNewUnresolved(TimePoint now);
  void unresolvedReceived(const PeerUnresolvedStarts& message, TimePoint now);
  bool isInformed(TimePoint now) const;
  bool isCutOff(TimePoint now) const;
  TimePoint allToldUntil() const;
  std::optional<KnownJobs::Place> underWayAt(const JobId& job) const;
  void keepAt(const VmId& vm, const JobKey& key);
  void jobEnded(const JobKey& key, const JobEnd& end);
  void tasksReturned(const JobKey& key, const TasksReturned& returned);
  unsigned sparePlaces(TimePoint now) const;
  void noticeStrain(TimePoint now);
  void probeOrphans(TimePoint now);
  void listWorkers(TimePoint now);
  void divisionRead(TimePoint now);
  void adoptDivisions(const PeerBeat& beat, TimePoint now);
  void adoptEvacuations(const Evacuations& evacuations, TimePoint now);
  void boundShards(TimePoint now);
  bool submitTo(const VmId& vm, const JobRequest& request);
  void cancelAt(const VmId& vm, const JobKey& key);

  const Settings m_settings;
  const Ports m_ports;
  const Links m_links;
  const Clocks m_clocks;
  ShardTable m_shards;
  ShardSizes m_shardSizes;
  Scheduler m_scheduler;
  Gateway m_gateway;
  ConfigurationSync m_configuration;
  bool m_hasWorkers = false;
  WorkerList m_workers;
  Evacuations m_evacuations;
  PeerReports m_reports;
  PeerContact m_contact;
  KnownJobs m_knownJobs;
  MemberLosses m_losses;
  /// When this daemon has surely been told of others' jobs, after its start or
  /// after it stood still.
  TimePoint m_informedAt;
  /// When it has surely found all others that it can reach, after its start.
  TimePoint m_foundAllAt;
  HolderLookup m_holders;
  TokenSource m_tokens;
  VacancyProbe m_vacancy;
  DirectoryReaders m_readers;
  bool m_isDirectoryReader = true;
  StrainMeter m_strain;
  HeartbeatPlan m_heartbeats;
  /// Daemons that have jobs in common with this one.
  std::set<VmId> m_close;
  /// Those of them that have jobs of this one.
  std::set<VmId> m_jobHolders;
  std::set<ShardId> m_fenced;
  /// Not yet told to other daemons.
  std::vector<UnresolvedStart> m_newUnresolved;
  /// When something was last read from each other daemon.
  std::map<VmId, TimePoint> m_lastReadAt;
  TimePoint m_lastBeatAt{};
  TimePoint m_lastHolderBeatAt{};
  unsigned m_toldPlaces = 0;
  TimePoint m_lastPlatformBeatAt{};
  std::chrono::nanoseconds m_lastBootTime{};
  std::optional<TimePoint> m_resumeAt;
  Duration m_grace;
  std::optional<TimePoint> m_leaveAt;
  std::function<void()> m_left;
};

} // namespace cowslippin
