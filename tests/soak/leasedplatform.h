#pragma once

#include "startbound.h"

#include "support/fakeworker.h"

#include "libasynchttp/asynchttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// A stand-in for the platform: its store of records and its workers, on
/// loopback, on one thread. It checks what workers see: no task runs twice at
/// the same time, none is started beyond a worker's room, and none is tried
/// without a limit.
class LeasedPlatform
{
public:
  struct Settings
  {
    unsigned zones = 2;
    unsigned workersPerZone = 4;
    std::uint16_t storePort = 0;
    /// Workers listen from this port on.
    std::uint16_t firstWorkerPort = 0;
    /// Where the list of workers says that they are.
    std::string listedWorkerHost = "127.0.0.1";
    /// Whether workers say when they began. Those that don't get a new id with
    /// each life, as the entry under the old one stays for seconds, their
    /// clocks are slow, and their stops take a while.
    bool reportsBirths = true;
    /// Upper limit of the time between a worker's check of a start and the
    /// beginning of the run, which is listed and answered from then on.
    Duration maxListingDelay = Duration::zero();
    /// What is known of the way of a start, for traces; nothing if empty.
    std::function<std::string(FencingToken token, const RunKey& key)>
      describeStart = nullptr;
  };
  /// Shares of the orders to workers that meet a fault.
  struct OrderFaults
  {
    /// Neither carried out nor answered.
    double lost = 0;
    /// Carried out late, and never answered.
    double late = 0;
    Duration minDelay = std::chrono::milliseconds(2000);
    Duration maxDelay = std::chrono::milliseconds(5000);
    /// Carried out at once, and never answered.
    double unanswered = 0;
    /// Answered 503, and not carried out.
    double unhealthy = 0;
  };

  LeasedPlatform(boost::asio::io_context& context,
                 const Settings& settings,
                 std::uint64_t seed);

  /// From now on.
  void setOrderFaults(const OrderFaults& faults) { m_faults = faults; }
  /// How long the store takes for an answer beyond what is usual.
  void setStoreDelay(Duration delay) { m_storeDelay = delay; }
  /// Whether the store answers nothing but 503.
  void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
  /// Whether workers renew their entries in the store.
  void setRenewing(bool isRenewing) { m_isRenewing = isRenewing; }
  /// The store drops the entries of a share of the workers, which run on and
  /// renew them at their next beat.
  void lapseEntries(double share);
  /// The store drops a worker's entry and gets it again so much later.
  void forgetEntry(std::size_t index, Duration time);
  /// Whether anything runs there.
  bool isBusy(std::size_t index) const
  {
    return m_workers[index].fake->runCount() > 0;
  }
  /// A worker loses all that runs there and comes back under a new id.
  void crashWorker(std::size_t index);
  /// The same under the id that it had, if workers say when they began.
  void restartWorker(std::size_t index);
  std::size_t workers() const { return m_workers.size(); }
  /// Where a worker listens.
  const Address& workerAddress(std::size_t index) const
  {
    return m_workers[index].address;
  }

  /// A caller submits this job.
  void submitted(const std::string& job)
  {
    m_startBound.submitted(job, steadyNow());
  }
  /// Jobs that were refused to their callers for good: none of their tasks may
  /// run, before or after.
  void refused(const std::string& job);

  /// Puts a record that another writer may have written.
  void putForeign(const std::string& topic,
                  const std::string& key,
                  const std::string& value)
  {
    put(topic, key, value);
  }

  const std::vector<std::string>& violations() const { return m_violations; }
  /// How many of them are two runs of a task at once.
  unsigned doubleRuns() const { return m_doubleRuns; }
  unsigned starts() const { return m_starts; }
  /// What is known by now of the runs and orders behind the violations.
  std::vector<std::string> traces() const;

private:
  using Transaction = std::shared_ptr<HttpTransaction>;

  struct Topic
  {
    std::vector<std::pair<std::string, std::string>> records;
  };
  struct WaitingRead
  {
    std::string topic;
    std::size_t from = 0;
    TimePoint until{};
    Transaction transaction;
  };
  struct WaitingHold
  {
    LeaseOrder order;
    TimePoint until{};
    Transaction transaction;
  };
  struct Worker
  {
    std::string id;
    std::string zone;
    Address address;
    std::int64_t cpu = 16000;
    unsigned life = 0;
    std::int64_t bornMs = 0;
    /// The highest one of this life.
    FencingToken token = 0;
    std::unique_ptr<FakeWorker> fake;
    std::map<RunKey, std::int64_t> sizes;
    std::vector<WaitingHold> holds;
    /// The newest last.
    std::deque<std::string> orders;
    std::unique_ptr<AsyncHttpServer> server;
  };
  /// Times are of the system's clock, in ms, as in the daemons' logs; 0 if it
  /// hasn't happened.
  struct RunTrace
  {
    RunKey key;
    FencingToken token = 0;
    std::string worker;
    bool isLate = false;
    std::int64_t startMs = 0;
    std::int64_t stopMs = 0;
    std::int64_t endMs = 0;
    RunEnd end = RunEnd::Done;
  };
  struct ViolationTrace
  {
    std::string violation;
    std::int64_t timeMs = 0;
    std::set<std::string> tasks;
    std::deque<std::string> orders;
  };

  void tickLater();
  void tick();
  void serveStore(const HttpRequest& request, const Transaction& transaction);
  void newest(const HttpRequest& request, const Transaction& transaction);
  void read(const HttpRequest& request, const Transaction& transaction);
  void append(const HttpRequest& request, const Transaction& transaction);
  void put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  void answerReads(TimePoint now);
  void serveWorker(std::size_t index,
                   const HttpRequest& request,
                   const Transaction& transaction);
  void answerStore(const HttpRequest& request, const Transaction& transaction);
  void carryOut(std::size_t index,
                const HttpRequest& request,
                const Transaction& transaction,
                bool isLate = false);
  void hold(Worker& worker,
            const HttpRequest& request,
            const Transaction& transaction);
  void start(Worker& worker,
             const HttpRequest& request,
             const Transaction& transaction,
             bool isLate);
  /// Begins the run of an accepted start, unless it has become stale or is in
  /// progress, and answers.
  void list(Worker& worker,
            const StartOrder& order,
            const Transaction& transaction,
            bool isLate);
  static void answerStart(Worker& worker,
                          const OrderAnswer& answer,
                          const Transaction& transaction);
  void stop(Worker& worker,
            const HttpRequest& request,
            const Transaction& transaction);
  void answerHolds(Worker& worker, TimePoint now);
  void answerHold(Worker& worker, const WaitingHold& hold, TimePoint now);
  /// Calls `action` if the worker is still in this life by then.
  void afterInLife(const Worker& worker,
                   Duration delay,
                   const std::function<void(Worker&)>& action);
  void noteToken(Worker& worker, FencingToken token);
  /// Also of one that isn't carried out.
  void checkArrival(const Worker& worker, const HttpRequest& request);
  void check(const Worker& worker, const RunKey& started);
  void violated(const std::string& what,
                const Worker& worker,
                const std::set<std::string>& tasks);
  static void noteOrder(Worker& worker, const std::string& order);
  void noteEnd(const std::string& worker, const RunKey& key, RunEnd end);
  std::string describe(const RunTrace& run) const;
  void after(Duration delay, const std::function<void()>& action);
  void beginLife(Worker& worker);
  void publishWorker(const Worker& worker);
  /// Of the beginning of a run, up to the limit.
  Duration chooseListingDelay();
  double chance() { return std::uniform_real_distribution<>(0, 1)(m_random); }

  boost::asio::io_context& m_context;
  const Settings m_settings;
  std::mt19937_64 m_random;
  boost::asio::steady_timer m_timer;
  std::map<std::string, Topic> m_topics;
  std::vector<WaitingRead> m_reads;
  std::unique_ptr<AsyncHttpServer> m_store;
  std::vector<Worker> m_workers;
  StartBound m_startBound;
  unsigned m_lastWorker = 0;
  OrderFaults m_faults;
  Duration m_storeDelay = Duration::zero();
  bool m_isStoreDown = false;
  bool m_isRenewing = true;
  std::set<std::string> m_started;
  std::set<std::string> m_refused;
  std::vector<std::string> m_violations;
  std::map<std::string, std::vector<RunTrace>> m_runs;
  std::vector<ViolationTrace> m_traces;
  unsigned m_doubleRuns = 0;
  unsigned m_starts = 0;
};

} // namespace cowslippin::testing
