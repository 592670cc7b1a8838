#include "daemonprocess.h"
#include "freeports.h"
#include "leasedplatform.h"

#include "libasynchttp/asynchttp.h"
#include "libpeers/peers.h"
#include "support/oddvalues.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <list>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

namespace cowslippin::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned daemonCount = 2;
constexpr unsigned workersPerZone = 2;
/// Offsets into the range of ports.
constexpr std::uint16_t storePort = 0;
constexpr std::uint16_t callerPort = 1;
constexpr std::uint16_t readinessPort = 2;
constexpr std::uint16_t peerPort = 3;
constexpr std::uint16_t firstWorkerPort = 10;

constexpr Duration callerTimeout = seconds(3);
constexpr Duration jobInterval = milliseconds(100);
constexpr Duration foreignInterval = milliseconds(250);
constexpr Duration playedTime = seconds(4);
/// The smallest machine of the platform has this much memory.
constexpr std::size_t maxMemoryKb = 122'880;
constexpr std::size_t maxLineBytes = 8000;
constexpr std::size_t maxLogBytes = 1'000'000;
/// The largest depth of lists in lists in a record of the store.
constexpr std::size_t deepestEntry = 131'000;

std::string
nestedLists(std::size_t depth)
{
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string
jobBody(const json& step)
{
  return json{
    { "spec", "20,1000" }, { "best_effort", true }, { "steps", { step } }
  }.dump();
}

/// Daemons of the platform as processes, with its store and workers, and
/// another writer, caller or daemon whose bytes none of them expects.
class ForeignBytes : public ::testing::Test
{
protected:
  struct Daemon
  {
    std::string host;
    std::string logFile;
    std::unique_ptr<DaemonProcess> process;
    Address callerAddress;
  };

  void SetUp() override
  {
    std::filesystem::create_directories(m_folder);
    putEntriesBeforeStart();
    for (unsigned i = 0; i < daemonCount; ++i)
      start(i);
    await([this] { return sendJobs() && m_served >= 4 * daemonCount; });
    m_served = 0;
    m_submitted = 0;
  }

  virtual void putEntriesBeforeStart() {}

  void TearDown() override
  {
    m_daemons.clear();
    std::filesystem::remove_all(m_folder);
  }

  std::uint16_t port(std::uint16_t offset) const
  {
    return static_cast<std::uint16_t>(m_firstPort + offset);
  }

  void start(unsigned index)
  {
    Daemon daemon;
    daemon.host = "127.0.4." + std::to_string(index + 1);
    daemon.logFile = m_folder + "/" + daemon.host + ".log";
    const std::string settingsFile = m_folder + "/" + daemon.host + ".json";
    const auto at = [&](std::uint16_t offset) {
      return daemon.host + ':' + std::to_string(port(offset));
    };
    const json settings = {
      { "node_name", daemon.host },
      { "zone", "z" + std::to_string(index) },
      { "ip", daemon.host },
      { "internal_ports", { port(peerPort) } },
      { "seeds", json::array() },
      { "listen_addrs",
        { { "frontend", at(callerPort) },
          { "readiness", at(readinessPort) } } },
      { "platform",
        { { "address", "127.0.0.1:" + std::to_string(port(storePort)) } } },
      { "bounds", { { "grace_s", 6 } } }
    };
    std::ofstream(settingsFile) << settings.dump();
    daemon.process = std::make_unique<DaemonProcess>(
      std::vector<std::string>{ "/usr/bin/env",
                                "COWSLIPPIN_BOOT=" + settingsFile,
                                DAEMON_PROGRAM,
                                "--log-level",
                                "info" },
      daemon.logFile);
    daemon.callerAddress = Address(daemon.host, port(callerPort));
    m_daemons.push_back(std::move(daemon));
  }

  template<class Condition>
  void await(Condition condition)
  {
    const TimePoint limit = steadyNow() + hangLimit;
    while (!condition()) {
      ASSERT_LT(steadyNow(), limit);
      run();
    }
  }

  void run()
  {
    m_context.run_for(milliseconds(10));
    const auto callers = m_callers;
    for (const auto& caller : callers)
      caller->expire(steadyNow());
    m_callers.remove_if([](const auto& caller) { return !caller->isBusy(); });
  }

  void post(const Daemon& daemon,
            const std::string& job,
            const std::string& body,
            const AsyncHttpConnection::Done& done)
  {
    HttpCallRequest order;
    order.method = "POST";
    order.target = "/jobs/" + job;
    order.headers.emplace_back("X-Cowslippin-Request-Deadline-Ms", "3000");
    order.contentType = "application/json";
    order.body = body;
    m_callers.push_back(std::make_shared<AsyncHttpConnection>(
      m_context, daemon.callerAddress, "jobs.example"));
    m_callers.back()->call(order, steadyNow() + callerTimeout, done);
  }

  /// Submits a valid job whenever one is due. Returns true.
  bool sendJobs()
  {
    if (steadyNow() < m_nextJobAt)
      return true;
    m_nextJobAt = steadyNow() + jobInterval;
    const Daemon& daemon = m_daemons[m_jobs % daemonCount];
    ++m_submitted;
    post(daemon,
         "job-" + std::to_string(m_jobs++),
         jobBody({ { "count", 2 }, { "cpu", 1000 }, { "estimate_ms", 20 } }),
         [this](const HttpCallResult& end) {
           m_served += end.status == 200 ? 1 : 0;
         });
    return true;
  }

  /// Submits a body at each daemon, again and again, beside valid jobs.
  void submitForeign(const std::string& job, const std::string& body)
  {
    std::size_t sent = 0;
    play([&] {
      post(m_daemons[sent++ % daemonCount],
           job,
           body,
           [this](const HttpCallResult& end) {
             ++m_foreignReplies[end.status];
             m_foreignBody = end.body;
           });
    });
  }

  /// Calls a function at intervals while valid jobs are submitted.
  template<class Function>
  void play(Function foreign, Duration time = playedTime)
  {
    const TimePoint end = steadyNow() + time;
    TimePoint nextAt = steadyNow();
    while (steadyNow() < end) {
      if (steadyNow() >= nextAt) {
        nextAt = steadyNow() + foreignInterval;
        foreign();
      }
      sendJobs();
      run();
    }
    await([this] { return m_callers.empty(); });
  }

  /// No process has ended or grown, valid jobs were served, logs are short.
  void checkService()
  {
    EXPECT_GE(m_served * 10, m_submitted * 9)
      << m_served << " of " << m_submitted;
    for (Daemon& daemon : m_daemons) {
      EXPECT_FALSE(hasEnded(daemon)) << daemon.host;
      EXPECT_LT(memoryKb(daemon), maxMemoryKb) << daemon.host;
      daemon.process.reset();
      checkLog(daemon);
    }
  }

  void checkLog(const Daemon& daemon)
  {
    std::ifstream log(daemon.logFile);
    std::size_t bytes = 0;
    for (std::string line; std::getline(log, line);) {
      bytes += line.size();
      EXPECT_LT(line.size(), maxLineBytes) << line.substr(0, 400);
    }
    EXPECT_LT(bytes, maxLogBytes) << daemon.host;
  }

  static bool hasEnded(const Daemon& daemon)
  {
    siginfo_t info{};
    waitid(P_PID,
           static_cast<id_t>(daemon.process->pid()),
           &info,
           WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid == daemon.process->pid();
  }

  /// Waits until the program ignores SIGPIPE, with which it begins.
  static void awaitMain(const Daemon& daemon)
  {
    const TimePoint limit = steadyNow() + hangLimit;
    while ((ignoredSignals(daemon) >> (SIGPIPE - 1) & 1) == 0)
      ASSERT_LT(steadyNow(), limit);
  }

  static std::uint64_t ignoredSignals(const Daemon& daemon)
  {
    std::ifstream status("/proc/" + std::to_string(daemon.process->pid()) +
                         "/status");
    for (std::string word; status >> word;) {
      std::uint64_t mask = 0;
      if (word == "SigIgn:" && status >> std::hex >> mask)
        return mask;
    }
    return 0;
  }

  /// The largest resident memory so far.
  static std::size_t memoryKb(const Daemon& daemon)
  {
    std::ifstream status("/proc/" + std::to_string(daemon.process->pid()) +
                         "/status");
    const std::string field = "VmHWM:";
    for (std::string word; status >> word;) {
      std::size_t value = 0;
      if (word == field && status >> value)
        return value;
    }
    return 0;
  }

  void putEntry(const std::string& topic,
                const std::string& key,
                const std::string& value)
  {
    m_platform.putForeign(topic, key, value);
  }

  const std::string m_folder =
    (std::filesystem::temp_directory_path() /
     ("cowslippin-foreign-" + std::to_string(getpid())))
      .string();
  const std::uint16_t m_firstPort = freePortRange(firstWorkerPort + 4);
  boost::asio::io_context m_context;
  LeasedPlatform m_platform{ m_context,
                             { daemonCount,
                               workersPerZone,
                               port(storePort),
                               port(firstWorkerPort),
                               "127.0.0.1" },
                             1 };
  std::vector<Daemon> m_daemons;
  /// Of the calls in progress, one each.
  std::list<std::shared_ptr<AsyncHttpConnection>> m_callers;
  TimePoint m_nextJobAt{};
  unsigned m_jobs = 0;
  unsigned m_submitted = 0;
  unsigned m_served = 0;
  std::map<int, unsigned> m_foreignReplies;
  std::string m_foreignBody;
};

/// Guards against the end of every daemon by one worker's entry whose address
/// is lists in lists, which the text of its problem contained.
TEST_F(ForeignBytes, ADeepEntryOfAnotherWriterEndsNoDaemon)
{
  const std::string begin =
    R"({"backend":"booking","zone":"z0","state":"ready","seq":)";
  unsigned sequence = 0;
  play([&] {
    putEntry("keyed.servers",
             "i-other",
             begin + std::to_string(++sequence) +
               ",\"address\":" + nestedLists(deepestEntry) + "}");
  });
  checkService();
}

/// Guards against the end of a daemon by the recursion of the CBOR reader.
TEST_F(ForeignBytes, ADeepMessageOnThePortForDaemonsEndsNoDaemon)
{
  std::unique_ptr<WebSocketTransport> transport;
  std::vector<std::string> messages;
  for (const unsigned char item : { 0x81, 0x9f, 0x7f, 0x5f, 0xa1, 0xc1 })
    messages.emplace_back(1'000'000, static_cast<char>(item));
  std::size_t sent = 0;
  WebSocketTransport::Hooks hooks;
  hooks.accepted = [](LinkId) {};
  hooks.closed = [](LinkId, LinkEnd) {};
  // A daemon sends its first message as soon as the connection is open.
  hooks.received = [&](LinkId link, const std::string&) {
    const std::string& bytes = messages[sent++ % messages.size()];
    transport->send(link, { bytes.begin(), bytes.end() });
  };
  WebSocketTransport::Settings settings;
  settings.maxMessageBytes = 1 << 20;
  settings.maxBufferedBytes = 8 << 20;
  settings.handshakeTimeout = seconds(1);
  transport = std::make_unique<WebSocketTransport>(m_context, settings, hooks);
  unsigned dials = 0;
  play([&] {
    transport->dial(
      Address(m_daemons[dials++ % daemonCount].host, port(peerPort)));
  });
  EXPECT_GE(sent, messages.size());
  checkService();
}

/// Guards against the end of a daemon by the reply to a body that isn't UTF-8,
/// which contained the bytes.
TEST_F(ForeignBytes, ABodyThatIsNotUtf8IsAnswered)
{
  submitForeign("latin-1",
                "{\"spec\":\"caf\xe9\",\"best_effort\":true,"
                "\"steps\":[{\"count\":1,\"cpu\":1000}]}");
  EXPECT_EQ(m_foreignReplies.size(), 1u);
  EXPECT_GT(m_foreignReplies[400], 0u);
  EXPECT_NE(m_foreignBody.find("UTF-8"), std::string::npos) << m_foreignBody;
  checkService();
}

/// Guards against the end of a daemon by a job ID that isn't UTF-8, which is
/// part of the order to a worker.
TEST_F(ForeignBytes, AJobIdThatIsNotUtf8IsAnswered)
{
  submitForeign("caf\xe9", jobBody({ { "count", 1 }, { "cpu", 1000 } }));
  EXPECT_EQ(m_foreignReplies.size(), 1u);
  EXPECT_GT(m_foreignReplies[400], 0u);
  checkService();
}

/// Guards against a job that takes all memory of a daemon, which has a record
/// of each task.
TEST_F(ForeignBytes, AJobOfBillionsOfTasksIsAnswered)
{
  submitForeign("billions",
                jobBody({ { "count", 4294967295u }, { "cpu", 1000 } }));
  EXPECT_EQ(m_foreignReplies.size(), 1u);
  EXPECT_GT(m_foreignReplies[400], 0u);
  EXPECT_NE(m_foreignBody.find("count"), std::string::npos) << m_foreignBody;
  checkService();
}

/// Guards against memory that another writer's entries take, and against a log
/// that they fill.
TEST_F(ForeignBytes, EntriesOfAnotherWriterInTheDaemonsTopicAreBounded)
{
  const std::string large(250'000, 'x');
  unsigned number = 0;
  play([&] {
    putEntry("keyed.cowslippin", "a" + std::to_string(number), large);
    for (unsigned i = 0; i < 20; ++i) {
      const std::string name = std::to_string(number++);
      putEntry("keyed.cowslippin", "holder/" + name, nestedLists(1000));
      putEntry("keyed.cowslippin", "member/" + name, "{\"vm\":7}");
    }
    putEntry("keyed.op", "evacuate/" + std::string(200, 'z'), "{}");
    putEntry("keyed.op", "evacuate/\xff\xfe", "{}");
    putEntry("keyed.servers", "w\r\nX-Other: 1", large);
  });
  checkService();
}

class EntriesBeforeStart : public ForeignBytes
{
protected:
  void putEntriesBeforeStart() override
  {
    for (unsigned i = 0; i < 1200; ++i)
      putEntry("keyed.cowslippin", "a" + std::to_string(i), "{}");
    for (unsigned i = 0; i < 600; ++i)
      putEntry("keyed.cowslippin", "holder/" + std::to_string(i), "{}");
  }

  bool isInLog(const Daemon& daemon, const std::string& event)
  {
    std::ifstream log(daemon.logFile);
    for (std::string line; std::getline(log, line);) {
      if (json::parse(line)["event"] == event)
        return true;
    }
    return false;
  }
};

/// Guards against daemons that don't find each other, as they have only read
/// the first page of their topic, which another writer has filled.
TEST_F(EntriesBeforeStart, DoNotHideTheDaemonsFromEachOther)
{
  play([] {});
  checkService();
  for (const Daemon& daemon : m_daemons)
    EXPECT_TRUE(isInLog(daemon, "peer-up")) << daemon.host;
}

class OddEntries : public ForeignBytes
{
protected:
  void putEntriesBeforeStart() override { putOddEntries(); }

  /// Puts odd entries into each list that daemons read; the same ones each
  /// time.
  void putOddEntries()
  {
    unsigned number = 0;
    const auto putInAll = [&](const std::string& host,
                              const std::string& port,
                              const std::string& count) {
      const std::string name = "odd-" + std::to_string(++number);
      putEntry("keyed.servers", name, workerEntry(host + ':' + port, count));
      putEntry("keyed.cowslippin",
               "member/" + name,
               R"({"vm":")" + name + R"(","host":")" + host + R"(","port":)" +
                 (port == "8080" ? count : port) + "}");
      putEntry("keyed.cowslippin",
               "holder/" + name,
               R"({"vm":")" + name +
                 R"(","zone":"z0","index":0,"count":1,"beat":1,"token":)" +
                 count + "}");
    };
    for (const OddValue& value : unreadableValues())
      putInAll("127.0.0.1", "8080", value.text);
    for (const OddValue& value : largeNumbers())
      putInAll("127.0.0.1", "8080", value.text);
    putInAll("127.0.0.1", "8080", "9007199254740992");
    for (const std::string& oddPort : oddPorts())
      putInAll("127.0.0.1", oddPort, "16000000000");
    for (const std::string& host : oddHosts())
      putInAll(host, "7720", "16000000000");
    // A port that isn't one of a member's doesn't make its entry odd otherwise.
    for (const std::string& oddPort : oddPorts())
      putEntry("keyed.servers",
               "odd-port-" + oddPort,
               workerEntry("127.0.0.1:" + oddPort, "16000"));
    for (const std::string& host : oddHosts()) {
      putEntry("keyed.servers",
               "odd-host-" + host,
               workerEntry(host + ":8080", "16000"));
      putEntry("keyed.cowslippin",
               "member/odd-host-" + host,
               R"({"vm":"odd","host":")" + host + R"(","port":7720})");
    }
  }

  static std::string workerEntry(const std::string& address,
                                 const std::string& cpu)
  {
    return R"({"backend":"booking","zone":"z0","state":"ready","address":")" +
           address + R"(","capacity":{"cpu":)" + cpu +
           R"(,"mem_mb":32768},"slots":8,"seq":1})";
  }

  /// Waits until a daemon completes a job.
  void awaitService(const Daemon& daemon)
  {
    bool isServed = false;
    unsigned attempts = 0;
    TimePoint nextAt{};
    await([&] {
      if (steadyNow() >= nextAt) {
        nextAt = steadyNow() + jobInterval;
        post(
          daemon,
          "probe-" + std::to_string(m_jobs++) + '-' +
            std::to_string(attempts++),
          jobBody({ { "count", 1 }, { "cpu", 1000 }, { "estimate_ms", 20 } }),
          [&](const HttpCallResult& end) { isServed |= end.status == 200; });
      }
      return isServed && m_callers.empty();
    });
  }

  /// Checks the log of a daemon, which it writes when it ends: it has connected
  /// to the other daemon, has listed the workers and none of the odd ones, and
  /// has said once of each odd entry that it was refused.
  void endAndCheckLog(Daemon& daemon, const std::set<std::string>& workers)
  {
    EXPECT_FALSE(hasEnded(daemon)) << daemon.host;
    daemon.process.reset();
    checkLog(daemon);
    std::ifstream log(daemon.logFile);
    std::set<std::string> listed;
    std::map<std::string, unsigned> refused;
    bool hasPeer = false;
    for (std::string text; std::getline(log, text);) {
      const json line = json::parse(text);
      const std::string event = line["event"];
      hasPeer |= event == "peer-up";
      if (event == "worker-listed")
        listed.insert(line["worker"].get<std::string>());
      else if (event.find("-refused") != std::string::npos)
        ++refused[event + ' ' + line.value("key", line.value("worker", ""))];
    }
    EXPECT_TRUE(hasPeer) << daemon.host;
    for (const std::string& worker : workers)
      EXPECT_EQ(listed.count(worker), 1u) << worker;
    for (const std::string& worker : listed)
      EXPECT_NE(worker.rfind("odd", 0), 0u) << worker;
    EXPECT_GT(refused.size(), 0u);
    for (const auto& [what, count] : refused)
      EXPECT_EQ(count, 1u) << what;
    std::filesystem::remove(daemon.logFile);
  }
};

/// Guards against daemons that end, don't find each other any more, or stop
/// following the list of workers because of an entry in one of their lists that
/// is nested too deep, has a number too large or a port out of range.
TEST_F(OddEntries, InEveryListLeaveServiceAsItIs)
{
  putOddEntries();
  putEntry("keyed.op", "config", nestedLists(deepestEntry));
  m_platform.crashWorker(0);
  play([] {}, seconds(1));
  endAndCheckLog(m_daemons[1], { "w2", "w5" });

  m_daemons.pop_back();
  start(1);
  awaitService(m_daemons[1]);
  m_served = 0;
  m_submitted = 0;
  putOddEntries();
  m_platform.crashWorker(1);
  play([] {}, seconds(2));
  EXPECT_GE(m_served * 10, m_submitted * 9)
    << m_served << " of " << m_submitted;
  endAndCheckLog(m_daemons[0], { "w2", "w5", "w6" });
  endAndCheckLog(m_daemons[1], { "w5", "w6" });
}

/// Guards against the end of a daemon by SIGHUP before it handles signals.
TEST_F(ForeignBytes, ASignalAtTheStartOfADaemonDoesNotEndIt)
{
  constexpr unsigned starts = 20;
  const std::string settings = m_folder + "/" + m_daemons[0].host + ".json";
  m_daemons.pop_back();
  for (unsigned i = 0; i < starts; ++i) {
    m_daemons[0].process.reset();
    m_daemons[0].process = std::make_unique<DaemonProcess>(
      std::vector<std::string>{
        "/usr/bin/env",
        "COWSLIPPIN_BOOT=" + settings,
        DAEMON_PROGRAM,
      },
      "");
    awaitMain(m_daemons[0]);
    m_daemons[0].process->signal(SIGHUP);
    usleep(20'000);
    ASSERT_FALSE(hasEnded(m_daemons[0])) << "start " << i;
  }
}

} // namespace
} // namespace cowslippin::testing
