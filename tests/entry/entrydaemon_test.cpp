#include "libentry/entry.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace cowslippin::testing {
namespace {

EntryCore::Ports
inactivePorts()
{
  EntryCore::Ports ports;
  ports.hold = [](const auto&, const auto&, Duration, auto) {};
  ports.start = [](const auto&, const auto&, Duration, auto) {};
  ports.stop = [](const auto&, const auto&, Duration, auto) {};
  ports.publishHolder = [](const ShardId&, FencingToken) {};
  ports.readConfiguration = [](const std::string& body) {
    return Result<RoutingTable>(RoutingTable(std::stoull(body), { Route() }));
  };
  ports.isConfigurationArriving = [] { return false; };
  ports.workerChangesForwarded = [](const PeerWorkerChanges&) {};
  return ports;
}

WorkerList
singleWorkerList()
{
  WorkerRecord::Fields fields;
  fields.id = WorkerId("w1");
  fields.zone = ZoneName("z1");
  fields.capacity = Resources(16000, 100, 0);
  return { { fields.id, WorkerRecord(fields) } };
}

/// Daemons with real connections on loopback, all on one thread.
class EntryDaemons : public ::testing::Test
{
protected:
  EntryDaemon& addDaemon(const std::string& host, std::vector<Address> seeds)
  {
    EntryDaemon::Settings settings;
    settings.core.vm = VmId(host);
    settings.core.zone = ZoneName("z1");
    settings.peerAddress = Address(host, m_port);
    settings.seeds = std::move(seeds);
    m_daemons.push_back(std::make_unique<EntryDaemon>(
      m_context, settings, inactivePorts(), [](TimePoint) {}));
    EXPECT_EQ(m_daemons.back()->start(), std::nullopt);
    return *m_daemons.back();
  }

  /// Runs the event loop until the condition holds; fails after 20 s, which
  /// only a hung test takes.
  template<class Condition>
  void runUntil(Condition condition)
  {
    const TimePoint deadline = steadyNow() + std::chrono::seconds(20);
    while (!condition()) {
      ASSERT_LT(steadyNow(), deadline);
      m_context.run_one_for(std::chrono::milliseconds(20));
    }
  }

  Address addressOf(const std::string& host) const { return { host, m_port }; }

  /// Every address of 127.0.0.0/8 belongs to this machine; a port that is free
  /// at one of them is very likely free at the others.
  static std::uint16_t freePort()
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
      context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
  }

  boost::asio::io_context m_context;
  const std::uint16_t m_port = freePort();
  std::vector<std::unique_ptr<EntryDaemon>> m_daemons;
};

TEST_F(EntryDaemons, DiscoverEachOtherAndAgreeOnAHolder)
{
  EntryDaemon& first = addDaemon("127.0.0.1", { addressOf("127.0.0.2") });
  EntryDaemon& second = addDaemon("127.0.0.2", {});
  EntryDaemon& third = addDaemon("127.0.0.3", { addressOf("127.0.0.2") });
  for (EntryDaemon* daemon : { &first, &second, &third }) {
    daemon->core().configurationRead("1");
    daemon->core().workersRead(singleWorkerList());
  }
  const auto heldShardCount = [&] {
    return first.core().heldShards().size() +
           second.core().heldShards().size() + third.core().heldShards().size();
  };
  runUntil([&] { return heldShardCount() == 1; });
  runUntil([&] {
    return first.core().isReady() && second.core().isReady() &&
           third.core().isReady();
  });
}

TEST_F(EntryDaemons, APeerWithAnOlderConfigurationReceivesTheNewerOne)
{
  EntryDaemon& first = addDaemon("127.0.0.1", { addressOf("127.0.0.2") });
  EntryDaemon& second = addDaemon("127.0.0.2", {});
  first.core().configurationRead("7");
  runUntil([&] { return second.core().routing()->version() == 7; });
}

} // namespace
} // namespace cowslippin::testing
