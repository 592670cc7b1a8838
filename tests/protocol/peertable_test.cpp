#include "libprotocol/peertable.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

using namespace std::chrono_literals;

/// Drives a table of `vm-b` by hand and writes down what it does.
class PeerTableTest : public testing::Test
{
protected:
  static PeerNetwork::Settings settings()
  {
    PeerNetwork::Settings settings;
    settings.self = hello("vm-b", "own");
    settings.heartbeatInterval = 1s;
    settings.silenceLimit = 3s;
    settings.connectTimeout = 2s;
    return settings;
  }

  static Hello hello(const std::string& vm, const std::string& incarnation)
  {
    return Hello({ VmId(vm), Incarnation(incarnation), ZoneName("z"), 1 });
  }

  static VirtualMachine vm(const std::string& id, std::uint16_t port)
  {
    VirtualMachine::Fields fields;
    fields.id = VmId(id);
    fields.peerAddress = Address("127.0.0.1", port);
    return VirtualMachine(fields);
  }

  PeerNetwork::Hooks hooks()
  {
    PeerNetwork::Hooks hooks;
    hooks.peerUp = [this](const VmId& vm, const Hello& hello) {
      note("up " + vm.value() + " " + hello.incarnation().value());
    };
    hooks.peerDown = [this](const VmId& vm) { note("down " + vm.value()); };
    hooks.reconnected = [this](const VmId& vm) {
      note("reconnected " + vm.value());
    };
    hooks.refused = [this](const VmId& vm, const Problem& problem) {
      note("refused " + vm.value() + " " + problem.value());
    };
    return hooks;
  }

  PeerTable::Actions actions()
  {
    PeerTable::Actions actions;
    actions.dial = [this](const Address& address) {
      note("dial " + std::to_string(address.port()));
      return ++m_lastLink;
    };
    actions.send = [this](LinkId, const Message& message) {
      m_lastSent = message;
    };
    actions.drop = [this](LinkId link) { note("drop", link); };
    actions.close = [this](LinkId link) { note("close", link); };
    actions.route = [](const VmId&, std::optional<LinkId>) {};
    actions.self = [] { return hello("vm-b", "own"); };
    actions.heartbeat = [](std::uint64_t sequence) {
      return Heartbeat({ sequence, 0, 0 });
    };
    return actions;
  }

  void note(const std::string& what) { m_log.push_back(what); }
  void note(const std::string& what, LinkId link)
  {
    note(what + " " + std::to_string(link));
  }

  /// What was noted since the last call.
  std::vector<std::string> log() { return std::exchange(m_log, {}); }

  /// Lets time pass in small steps.
  void pass(Duration duration)
  {
    const TimePoint end = m_now + duration;
    while (m_now < end) {
      m_now += 100ms;
      m_table.tick(m_now);
    }
  }

  /// The peer `vm-c`, which `vm-b` dials, is up and has answered a heartbeat.
  LinkId connect()
  {
    m_table.setPeers({ vm("vm-c", 3) }, m_now);
    const LinkId link = m_lastLink;
    m_table.received(link, Message(hello("vm-c", "1")), m_now);
    pass(100ms);
    m_table.received(link, Message(HeartbeatReply({ 1, 0, 0 })), m_now);
    log();
    return link;
  }

  /// The peer `vm-a`, which dials `vm-b`, is up.
  LinkId accept(const Hello& hello)
  {
    const LinkId link = ++m_lastLink;
    m_table.accepted(link, m_now);
    m_table.received(link, Message(hello), m_now);
    return link;
  }

  using Log = std::vector<std::string>;

  TimePoint m_now{ 1h };
  LinkId m_lastLink = 0;
  Message m_lastSent;
  Log m_log;
  PeerTable m_table{ settings(), hooks(), actions() };
};

TEST_F(PeerTableTest, dialsOnlyHigherIds)
{
  VirtualMachine::Fields worker;
  worker.id = VmId("vm-w");
  worker.role = VmRole::Worker;
  m_table.setPeers(
    { vm("vm-a", 1), vm("vm-b", 2), vm("vm-c", 3), VirtualMachine(worker) },
    m_now);
  EXPECT_EQ(log(), Log{ "dial 3" });
}

TEST_F(PeerTableTest, keepsASilentPeerUpWhenANewConnectionWorks)
{
  connect();
  pass(3s);
  EXPECT_EQ(log(), (Log{ "drop 1", "dial 3" }));
  m_table.received(2, Message(hello("vm-c", "1")), m_now);
  EXPECT_EQ(log(), Log{ "reconnected vm-c" });
}

TEST_F(PeerTableTest, reportsASilentPeerDownWhenANewConnectionFails)
{
  connect();
  pass(3s);
  log();
  pass(1900ms);
  EXPECT_EQ(log(), Log{});
  pass(100ms);
  EXPECT_EQ(log(), (Log{ "drop 2", "down vm-c" }));
}

TEST_F(PeerTableTest, acceptingSideWaitsForANewConnection)
{
  const LinkId first = accept(hello("vm-a", "1"));
  EXPECT_EQ(log(), Log{ "up vm-a 1" });
  pass(3s);
  EXPECT_EQ(log(), Log{ "drop " + std::to_string(first) });
  accept(hello("vm-a", "1"));
  EXPECT_EQ(log(), Log{ "reconnected vm-a" });
  pass(5s);
  EXPECT_EQ(log(), (Log{ "drop 2", "down vm-a" }));
  EXPECT_TRUE(m_table.status().empty());
}

TEST_F(PeerTableTest, newerConnectionReplacesTheOlder)
{
  accept(hello("vm-a", "1"));
  accept(hello("vm-a", "2"));
  EXPECT_EQ(log(), (Log{ "up vm-a 1", "drop 1", "up vm-a 2" }));
  m_table.closed(1, LinkEnd::Lost, m_now);
  EXPECT_EQ(log(), Log{});
}

TEST_F(PeerTableTest, goingAwayIsDownAtOnce)
{
  const LinkId dialled = connect();
  m_table.closed(dialled, LinkEnd::GoingAway, m_now);
  EXPECT_EQ(log(), Log{ "down vm-c" });
  const LinkId accepted = accept(hello("vm-a", "1"));
  m_table.closed(accepted, LinkEnd::GoingAway, m_now);
  EXPECT_EQ(log(), (Log{ "up vm-a 1", "down vm-a" }));
}

TEST_F(PeerTableTest, backsOffFromAPeerThatLosesEveryConnection)
{
  LinkId link = connect();
  int dials = 0;
  for (int i = 0; i < 600; ++i) {
    if (m_lastLink > link) {
      ++dials;
      link = m_lastLink;
      m_table.received(link, Message(hello("vm-c", "1")), m_now);
    }
    m_table.closed(link, LinkEnd::Lost, m_now);
    pass(100ms);
  }
  EXPECT_GE(dials, 30);
  EXPECT_LE(dials, 66);
}

TEST_F(PeerTableTest, refusesTheWrongVmAtAnAddress)
{
  m_table.setPeers({ vm("vm-c", 3) }, m_now);
  m_lastSent = ConfigRequest();
  m_table.received(1, Message(hello("vm-d", "1")), m_now);
  EXPECT_EQ(log(), (Log{ "dial 3", "refused vm-c vm-d", "drop 1" }));
  EXPECT_EQ(m_lastSent, Message(ConfigRequest()));
  accept(hello("vm-b", "other"));
  EXPECT_EQ(log(), (Log{ "refused  vm-b", "drop 2" }));
}

TEST_F(PeerTableTest, connectionThatNeverNamesItselfIsDropped)
{
  m_table.accepted(7, m_now);
  m_table.received(7, Message(ConfigRequest()), m_now);
  EXPECT_EQ(log(), (Log{ "refused  another message", "drop 7" }));
  m_table.accepted(8, m_now);
  m_table.received(
    8, failure(Problem::invalidField("version", "2", "1")), m_now);
  EXPECT_EQ(log(), (Log{ "refused  2", "drop 8" }));
  m_table.accepted(9, m_now);
  pass(2s);
  EXPECT_EQ(log(), Log{ "drop 9" });
}

TEST_F(PeerTableTest, badBytesFromALivePeerAreRefusedAndTheConnectionKept)
{
  const LinkId link = connect();
  m_table.received(
    link, failure(Problem::invalidField("type", "99", "")), m_now);
  EXPECT_EQ(log(), Log{ "refused vm-c 99" });
  EXPECT_TRUE(m_table.status()[0].connected());
}

TEST_F(PeerTableTest, followsTheListOfVms)
{
  connect();
  accept(hello("vm-a", "1"));
  log();
  m_table.setPeers({ vm("vm-c", 33) }, m_now);
  EXPECT_EQ(log(), Log{ "dial 33" });
  m_table.received(m_lastLink, Message(hello("vm-c", "2")), m_now);
  EXPECT_EQ(log(), (Log{ "drop 1", "up vm-c 2" }));
  m_table.setPeers({}, m_now);
  EXPECT_EQ(log(), (Log{ "close 3", "down vm-c" }));
  ASSERT_EQ(m_table.status().size(), 1U);
  EXPECT_EQ(m_table.status()[0].vm(), VmId("vm-a"));
}

TEST_F(PeerTableTest, ownPauseIsNotThePeersSilence)
{
  connect();
  m_now += 60s;
  m_table.tick(m_now);
  EXPECT_EQ(log(), Log{});
  pass(3s);
  EXPECT_EQ(log(), (Log{ "drop 1", "dial 3" }));
}

} // namespace
} // namespace cowslippin
