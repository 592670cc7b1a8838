#pragma once

#include "daemonprocess.h"
#include "foreignwriter.h"
#include "leasedplatform.h"
#include "loopbackproxy.h"
#include "requestmix.h"

#include "libasynchttp/asynchttp.h"
#include "libprotocol/websockettransport.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// Runs the real daemons as processes beside a stand-in for the platform, with
/// callers, and strikes them at random: by signals, through the stand-in, and
/// on every connection, as all of them go through proxies. It ends only
/// processes that it started.
class Soak
{
public:
  /// A kind of overlapping strike.
  static constexpr int growingDelayEverywhere = 6;
  static constexpr int lateReset = 9;
  static constexpr int lastKind = lateReset;
  /// Each has an address of its own.
  static constexpr unsigned maxDaemons = 250;

  struct Settings
  {
    unsigned zones = 2;
    unsigned daemonsPerZone = 2;
    unsigned workersPerZone = 4;
    double jobsPerSecond = 10;
    /// What jobs are like; random ones if empty.
    RequestMix mix;
    /// How much the run times of a mix vary: the standard deviation of their
    /// logarithm. Their mean is what the job says.
    double spread = 0;
    /// Strikes in the time in which there is usually one.
    double strikeRate = 1;
    std::string program;
    std::string folder;
    /// A free range of ports.
    std::uint16_t firstPort = 0;
    /// Whether connections are struck, too.
    bool strikesLinks = true;
    /// Whether processes, the store and workers are struck at random times.
    bool strikesAtRandom = true;
    /// Whether daemons learn late that their callers are gone.
    bool strikesLateResets = true;
    /// Whether groups of daemons are cut from the others and from callers,
    /// workers and the store. Loads a library into the daemons that gives the
    /// connections of each an address of its own.
    bool strikesCuts = false;
    /// The share of these cuts in which daemons don't learn that connections
    /// have ended meanwhile.
    double lostEnds = 0.5;
    /// Whether other writers, callers and daemons send bytes that no daemon
    /// expects.
    bool strikesForeign = false;
    /// Whether workers say when they began.
    bool reportsBirths = true;
    /// Upper limit of the time between a worker's check of a start and the
    /// beginning of the run.
    Duration maxListingDelay = Duration::zero();
    /// Whether orders to workers, and requests to the store, are delayed by
    /// less than their deadlines, lose their connections, or are refused.
    bool strikesOrders = false;
    /// Whether restarts, rolls, freezes, crashes of workers and lapses of their
    /// entries come in series.
    bool strikesSeries = false;
    /// Whether all connections are reset at one time.
    bool strikesResets = false;
    /// Whether callers submit again at a daemon of the same zone.
    bool retriesInZone = false;
    /// The only kind of overlapping strike, one at a time; all if negative.
    int onlyKind = -1;
    /// Where the daemons' logs are left; nowhere if empty.
    std::string logFolder;
  };

  struct Report
  {
    std::vector<std::string> violations;
    std::vector<std::string> strikes;
    /// The runs and orders behind the violations.
    std::vector<std::string> traces;
    /// The violations that are two runs of a task at once.
    unsigned doubleRuns = 0;
    unsigned submitted = 0;
    unsigned completed = 0;
    unsigned refused = 0;
    unsigned other = 0;
    /// The longest time between two rounds of this soak itself. Beyond a few
    /// hundred ms all that passes through it is as late, on every link.
    Duration slowestRound = Duration::zero();
    /// Of the jobs submitted after the last strike was over.
    unsigned calmSubmitted = 0;
    unsigned calmCompleted = 0;
  };

  /// Ports that are used, from the first one on.
  static unsigned portsOf(const Settings& settings);

  Soak(Settings settings, std::uint64_t seed);

  /// Strikes for this long, then leaves all in peace and looks whether jobs are
  /// served again; not if `calmTime` is zero.
  Report run(Duration struckTime, Duration calmTime);

private:
  struct Daemon
  {
    /// Where others connect, and where it listens.
    std::string host;
    std::string listenHost;
    /// Callers to it, other daemons to it, and it to the store.
    std::unique_ptr<LoopbackProxy> callers;
    std::unique_ptr<LoopbackProxy> peers;
    std::unique_ptr<LoopbackProxy> store;
    std::string settingsFile;
    std::unique_ptr<DaemonProcess> process;
    TimePoint startAt{};
    /// Since when it can't be started.
    std::optional<TimePoint> missingSince;
    bool hasEnded = false;
    TimePoint continueAt{};
    TimePoint killAt{};
    /// Whether it comes back as soon as it has ended by itself.
    bool isBackWhenEnded = false;
    TimePoint isBehindUntil{};
    TimePoint nextPauseAt{};
    /// Callers keep them open until the daemon closes them.
    std::vector<std::shared_ptr<AsyncHttpConnection>> channels;
  };
  struct Caller
  {
    /// What the job says, and how long its tasks really take.
    unsigned taskMs = 0;
    unsigned runMs = 0;
    std::int64_t cpu = 0;
    unsigned tasks = 0;
    unsigned tries = 0;
    std::size_t daemon = 0;
    bool wasOnlyRefused = true;
    bool isCalm = false;
  };

  /// How an order got to its worker.
  struct OrderWay
  {
    std::string source;
    Duration heldFor = Duration::zero();
  };

  /// Daemons and workers that are cut from all others.
  struct GroupCut
  {
    /// Where connections of its daemons come from.
    std::set<std::string> sources;
    std::set<std::size_t> daemons;
    std::set<std::size_t> workers;
    /// Also from what is beside the daemons.
    bool isFromCallers = false;
    bool isFromWorkers = false;
    bool isFromStore = false;
    bool losesEnds = false;
    TimePoint endAt{};
  };

  void runUntil(TimePoint end);
  void writeSettings(Daemon& daemon, unsigned zone);
  void tick(TimePoint now);
  void strike(TimePoint now);
  /// Begins an outage of the store, for all daemons or for some.
  void strikeStore();
  void endStoreOutage();
  void addProxies(Daemon& daemon);
  void tickProxies(TimePoint now);
  void strikeLink(TimePoint now);
  void harm(LoopbackProxy& proxy, const std::string& name, bool isCallers);
  /// Begins and ends cuts of groups, at times of their own.
  void tickCuts(TimePoint now);
  void setUpForeign();
  void tickForeign(TimePoint now);
  void callForeign(const Daemon& daemon);
  void checkProcesses();
  GroupCut chooseCut();
  void addToCut(GroupCut& cut, std::size_t daemon) const;
  void beginCut(const GroupCut& cut);
  void cutWorkers(const GroupCut& cut);
  static LoopbackProxy::Cut cutFromOtherSide(const GroupCut& cut,
                                             bool isInGroup);
  void endCut();
  /// A strike at a time of its own, perhaps with others that overlap.
  void strikeMore(TimePoint now);
  void strikeOverlapping(Daemon& daemon);
  void strikeOnce(Daemon& daemon, std::size_t kind);
  void growDelay(Daemon& daemon);
  void growDelayEverywhere(Daemon& daemon);
  void cutOneWay(Daemon& daemon);
  void cutUnevenly(Daemon& daemon);
  void runBehind(Daemon& daemon);
  void pause(Daemon& daemon);
  void resetCallers(Daemon& daemon);
  /// Beside the other strikes, at times of its own.
  void strikeLate(TimePoint now);
  void resetLate(Daemon& daemon);
  void kill(Daemon& daemon);
  void roll(Daemon& daemon);
  /// Strikes orders and requests to the store while they are in transit.
  void strikeOrders(TimePoint now);
  void resetOrders();
  void resetOrdersAgain(unsigned times, double share);
  void delayOrders();
  void refuseOrders();
  void failOrders();
  void delayStore();
  void strikeStoreRequests();
  /// Links to some workers, or to all.
  std::vector<LoopbackProxy*> chooseWorkerLinks();
  void noteOrder(const std::string& source,
                 const std::string& bytes,
                 Duration heldFor);
  std::string describeStart(std::uint64_t token, const RunKey& key) const;
  /// Strikes that are repeated soon.
  void strikeSeries(TimePoint now);
  void restartAgain(Daemon& daemon, unsigned times);
  /// Of the time of day of a daemon's process, in ms.
  long chooseClockOffset(const Daemon& daemon);
  void rollZone();
  void cutZoneFromWorkers(std::size_t zone);
  void crashBehindCut();
  void freezeAgain(Daemon& daemon, unsigned times);
  void forgetEntriesAgain(unsigned times, double share);
  void crashWorkersAgain(unsigned times);
  /// Its connections are reset with it.
  void crashWorker(std::size_t index);
  /// Strikes all connections at one time.
  void strikeResets(TimePoint now);
  void resetAllAgain(unsigned times);
  /// To the store and to workers, between daemons and with callers. What is
  /// under way on some of them is delivered.
  void resetAll();
  void killAfterReset(Daemon& daemon);
  void refuseAfterReset();
  /// Starts rolled daemons again that have ended.
  void tickRolls(TimePoint now);
  static bool hasProcessEnded(const Daemon& daemon);
  void tickMore(TimePoint now);
  /// Slows a daemon down by many pauses, each too short to be noticed.
  void tickPauses(Daemon& daemon, TimePoint now);
  void stopFor(Daemon& daemon, Duration time);
  void later(Duration delay, const std::function<void()>& action);
  void struck(const std::string& what);
  void noteViolations();
  /// A usual time between strikes, at this soak's rate.
  Duration betweenStrikes(std::size_t ms) const;
  void submitDue(TimePoint now);
  void submitNew();
  /// Of the mix, or at random.
  Caller newCaller();
  unsigned spreadTime(unsigned meanMs);
  /// How long callers wait for an answer.
  Duration waitOf(const Caller& caller) const;
  void submit(const std::string& job);
  /// Another one than the last time.
  Daemon& chooseDaemon(Caller& caller);
  std::size_t otherInZone(std::size_t daemon);
  std::shared_ptr<AsyncHttpConnection> channelTo(Daemon& daemon);
  void answered(const std::string& job, const HttpCallResult& end);
  /// A line of this soak's own log, beside those of the daemons.
  void note(const std::string& line);
  /// Again a little later if the system has no descriptors left. Throws
  /// std::system_error if it can't be started for long.
  void tryToStart(Daemon& daemon, TimePoint now);
  void startProcess(Daemon& daemon);
  /// Ends a process that this soak started.
  void endProcess(Daemon& daemon);
  void forget(const std::string& job, unsigned& counter);
  std::size_t below(std::size_t bound) { return below(bound, m_random); }
  static std::size_t below(std::size_t bound, std::mt19937_64& random)
  {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
  }

  const Settings m_settings;
  std::mt19937_64 m_random;
  /// Of its own, so that a seed strikes processes as it did before.
  std::mt19937_64 m_linkRandom;
  std::mt19937_64 m_moreRandom;
  std::mt19937_64 m_lateRandom;
  std::mt19937_64 m_cutRandom;
  std::mt19937_64 m_storeRandom;
  std::mt19937_64 m_foreignRandom;
  std::mt19937_64 m_ordersRandom;
  std::mt19937_64 m_seriesRandom;
  std::mt19937_64 m_resetsRandom;
  /// Starts by task and run, and the senders of tokens.
  std::map<std::string, OrderWay> m_starts;
  std::map<std::uint64_t, std::string> m_senders;
  ForeignWriter m_foreign;
  boost::asio::io_context m_context;
  LeasedPlatform m_platform;
  std::vector<Daemon> m_daemons;
  std::vector<std::unique_ptr<LoopbackProxy>> m_workerLinks;
  std::unique_ptr<WebSocketTransport> m_foreignPeer;
  /// In progress.
  std::list<std::shared_ptr<AsyncHttpConnection>> m_foreignCalls;
  std::map<LoopbackProxy*, TimePoint> m_harmed;
  std::map<std::string, Caller> m_callers;
  std::vector<std::pair<TimePoint, std::string>> m_resends;
  TimePoint m_nextJobAt{};
  TimePoint m_nextStrikeAt{};
  TimePoint m_nextLinkStrikeAt{};
  TimePoint m_nextMoreAt{};
  TimePoint m_nextLateAt{};
  TimePoint m_nextCutAt{};
  TimePoint m_nextForeignAt{};
  TimePoint m_nextOrdersAt{};
  TimePoint m_nextSeriesAt{};
  TimePoint m_nextResetsAt{};
  std::optional<GroupCut> m_cut;
  std::vector<std::pair<TimePoint, std::function<void()>>> m_later;
  std::size_t m_notedViolations = 0;
  TimePoint m_storeBackAt{};
  bool m_isStoreStruck = false;
  TimePoint m_ordersWellAt{};
  bool m_isStruck = true;
  unsigned m_lastJob = 0;
  Report m_report;
};

} // namespace cowslippin::testing
