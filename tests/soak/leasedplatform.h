#pragma once

#include "support/fakeworker.h"

#include "libasynchttp/asynchttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// A stand-in for the platform: its store of records and its workers, on
/// loopback, on one thread. It checks what workers see: no task runs twice at
/// the same time, and none is started beyond a worker's room.
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
  };

  LeasedPlatform(boost::asio::io_context& context,
                 const Settings& settings,
                 std::uint64_t seed);

  /// Shares of the orders to workers that meet a fault from now on.
  void setOrderFaults(double lost, double late);
  /// Whether the store answers nothing but 503.
  void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
  /// Whether workers renew their entries in the store.
  void setRenewing(bool isRenewing) { m_isRenewing = isRenewing; }
  /// The store drops the entries of a share of the workers, which run on and
  /// renew them at their next beat.
  void lapseEntries(double share);
  /// A worker loses all that runs there and comes back under a new id.
  void crashWorker(std::size_t index);
  /// The same under the id that it had.
  void restartWorker(std::size_t index);
  std::size_t workers() const { return m_workers.size(); }
  /// Where a worker listens.
  const Address& workerAddress(std::size_t index) const
  {
    return m_workers[index].address;
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
    std::unique_ptr<FakeWorker> fake;
    std::map<RunKey, std::int64_t> sizes;
    std::vector<WaitingHold> holds;
    std::unique_ptr<AsyncHttpServer> server;
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
  void carryOut(std::size_t index,
                const HttpRequest& request,
                const Transaction& transaction);
  void hold(Worker& worker,
            const HttpRequest& request,
            const Transaction& transaction);
  void start(Worker& worker,
             const HttpRequest& request,
             const Transaction& transaction);
  void answerHolds(Worker& worker, TimePoint now);
  void answerHold(Worker& worker, const WaitingHold& hold, TimePoint now);
  void check(const Worker& worker, const RunKey& started);
  void after(Duration delay, const std::function<void()>& action);
  void beginLife(Worker& worker);
  void publishWorker(const Worker& worker);
  double chance() { return std::uniform_real_distribution<>(0, 1)(m_random); }

  boost::asio::io_context& m_context;
  const Settings m_settings;
  std::mt19937_64 m_random;
  boost::asio::steady_timer m_timer;
  std::map<std::string, Topic> m_topics;
  std::vector<WaitingRead> m_reads;
  std::unique_ptr<AsyncHttpServer> m_store;
  std::vector<Worker> m_workers;
  unsigned m_lastWorker = 0;
  double m_lost = 0;
  double m_late = 0;
  bool m_isStoreDown = false;
  bool m_isRenewing = true;
  std::set<std::string> m_started;
  std::set<std::string> m_refused;
  std::vector<std::string> m_violations;
  unsigned m_doubleRuns = 0;
  unsigned m_starts = 0;
};

} // namespace cowslippin::testing
