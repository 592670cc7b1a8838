#pragma once

#include "gateway.h"
#include "routingtable.h"

#include "libjobs/jobs.h"
#include "libpeers/peers.h"
#include "libshards/shards.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace cowslippin {

/// A daemon that serves callers' jobs on leased workers, put together: the
/// callers' jobs, the shards of workers that it holds, and the other daemons.
/// All runs on the thread of the I/O context. What speaks to the platform is
/// given to it as hooks.
class EntryDaemon
{
public:
  struct Settings
  {
    VmId vm;
    ZoneName zone;
    /// Where other daemons connect.
    Address peerAddress;
    std::vector<Address> seeds;
    /// From the request to end until the process is killed.
    Duration grace = std::chrono::seconds(6);
    Scheduler::Settings scheduler;
    ShardTable::Settings shards;
    Gateway::Settings gateway;
    PeerLinks::Settings links;
    /// Time between two checks of all that waits for time to pass.
    Duration tickInterval = std::chrono::milliseconds(20);
    /// Three of them fit into the silence limit between daemons.
    Duration beatInterval = std::chrono::milliseconds(140);
    /// How often a holder tells the platform that it is there.
    Duration platformBeatInterval = std::chrono::seconds(1);
    /// A longer time in which this process did nothing means that it was
    /// stopped, and that others may have given it up.
    Duration pauseLimit = std::chrono::milliseconds(250);
    /// After a pause, how long what came in is read before anything is started.
    Duration wakeTime = std::chrono::milliseconds(60);
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
    /// Time passes.
    std::function<void(TimePoint)> tick;
  };

  EntryDaemon(boost::asio::io_context& context, Settings settings, Ports ports);

  /// Listens for other daemons and begins.
  std::optional<Problem> start();

  /// The platform has a configuration; an older one than that in force is
  /// ignored.
  void configurationRead(const std::string& body);
  void workersRead(const WorkerList& workers);
  void memberRead(const Address& address);
  /// A holder has told the platform anew that it holds a shard.
  void holderRead(const ShardId& shard, const VmId& holder);
  /// The holders' entries at the platform were read; the highest token in them.
  void holdersRead(FencingToken highest);

  std::shared_ptr<const RoutingTable> routing() const { return m_routing; }
  /// Whether callers should be sent here.
  bool isReady() const;

  Gateway::Ticket submit(JobSubmission submission, Gateway::Done done);
  void callerGone(Gateway::Ticket ticket);

  /// Gives up what is held and ends when nothing waits any more. `ended` is
  /// called once, when the process may exit.
  void leave(std::function<void()> ended);
  bool isLeaving() const { return m_leaveAt.has_value(); }

  /// The state of every part, for an operator.
  nlohmann::json dump() const;

  /// Whether the holders' entries at the platform should be read often.
  bool needsHolderReads() const { return m_shards.needsPlatformReads(); }

private:
  using Clock = std::chrono::steady_clock;

  Scheduler::Hooks schedulerHooks();
  Gateway::Hooks gatewayHooks();
  PeerLinks::Hooks linkHooks();

  /// The time now; notices when the process has been stopped for a while.
  TimePoint observeTime();
  void pauseNoticed(TimePoint now, Duration gap);
  void tickLater();
  void tick();
  void beat(TimePoint now);
  void beatHolders(TimePoint now);
  PeerBeat makeBeat(TimePoint now) const;
  void applyDecisions(TimePoint now);
  void checkLeaving(TimePoint now);
  void received(const VmId& vm, const PeerMessage& message);
  void beatReceived(const VmId& vm, const PeerBeat& beat, TimePoint now);
  void peerDown(const VmId& vm);
  void jobEnded(const JobKey& key, const JobEnd& end);
  FencingToken nextToken(std::uint64_t margin);
  std::optional<VmId> reachableHolder(const ShardId& shard) const;
  std::optional<std::pair<VmId, ShardId>> otherHolder() const;
  bool submitTo(const VmId& vm, const JobRequest& request);
  void cancelAt(const VmId& vm, const JobKey& key);

  boost::asio::io_context& m_context;
  const Settings m_settings;
  const Ports m_ports;
  PeerLinks m_links;
  ShardTable m_shards;
  Scheduler m_scheduler;
  Gateway m_gateway;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<const RoutingTable> m_routing;
  std::string m_configurationBody;
  TimePoint m_configuredAt{};
  bool m_hasWorkers = false;
  struct Peer
  {
    ZoneName zone;
    unsigned places = 0;
    TimePoint configSentAt{};
  };
  std::map<VmId, Peer> m_peers;
  FencingToken m_lastToken = 0;
  std::set<ShardId> m_fenced;
  TimePoint m_startedAt{};
  TimePoint m_lastBeatAt{};
  TimePoint m_lastHolderBeatAt{};
  unsigned m_toldPlaces = 0;
  TimePoint m_lastPlatformBeatAt{};
  std::chrono::nanoseconds m_lastBootTime{};
  std::optional<TimePoint> m_resumeAt;
  std::optional<TimePoint> m_leaveAt;
  std::function<void()> m_left;
};

} // namespace cowslippin
