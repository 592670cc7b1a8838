#include "standins.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sys/wait.h>

namespace {

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notPlayed = 2;

/// The platform starts a process that has ended again after a short delay.
constexpr Duration restartDelay = milliseconds(500);
constexpr Duration playedTime = seconds(12);
constexpr Duration jobInterval = milliseconds(250);
constexpr Duration callerDeadline = seconds(3);
/// Ends of one machine's processes, and such machines, that are a fault.
constexpr unsigned tooManyEnds = 3;
constexpr std::size_t tooManyMachines = 2;
/// The store's bound of a record, with its key.
constexpr std::size_t recordBytes = 262144;
constexpr const char* foreignId = "i-other";

/// An entry whose field `address` is of another type: lists in lists.
std::string
foreignEntry(std::size_t depth)
{
  return R"({"backend":"agenda","zone":"za","state":"ready","seq":1,"address":)" +
         std::string(depth, '[') + std::string(depth, ']') + "}";
}

std::size_t
largestDepth()
{
  const std::size_t rest =
    1 + std::string(foreignId).size() + foreignEntry(0).size();
  return (recordBytes - rest) / 2;
}

int
numberOr(const char* variable, int fallback)
{
  const char* value = std::getenv(variable);
  return value ? std::stoi(value) : fallback;
}

/// Whether the process has ended without being waited for.
bool
hasEnded(pid_t process)
{
  siginfo_t info{};
  return waitid(P_PID, static_cast<id_t>(process), &info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == process;
}

class Play
{
public:
  Play(Deployment& deployment, Record& record)
    : m_deployment(deployment)
    , m_record(record)
  {
  }

  int run(bool isTroubled)
  {
    for (const auto& daemon : m_deployment.daemons())
      daemon->start();
    if (!m_deployment.awaitReady(seconds(20))) {
      m_record.note("the daemons aren't ready");
      return notPlayed;
    }
    m_deployment.runFor(seconds(3));
    m_deployment.addTick([this](TimePoint now) { tick(now); });
    if (isTroubled) {
      const auto depth = static_cast<std::size_t>(
        numberOr("DEPTH", static_cast<int>(largestDepth())));
      m_record.note("another writer puts servers/" + std::string(foreignId) +
                    ", lists in lists, depth " + std::to_string(depth) + ", " +
                    std::to_string(foreignEntry(depth).size()) + " bytes");
      m_deployment.store().put("keyed.servers", foreignId, foreignEntry(depth));
    }
    m_deployment.runFor(playedTime);
    return judge();
  }

private:
  void tick(TimePoint now)
  {
    for (const auto& daemon : m_deployment.daemons()) {
      const std::string& name = daemon->settings().name;
      if (daemon->isUp() && hasEnded(daemon->pid())) {
        ++m_ends[name];
        m_record.note("the process of " + name + " has ended by itself, " +
                      daemon->reap());
        m_startAt[name] = now + restartDelay;
      } else if (!daemon->isUp() && now >= m_startAt[name]) {
        daemon->start();
      }
    }
    if (now >= m_nextJobAt) {
      m_nextJobAt = now + jobInterval;
      sendJob();
    }
    for (const auto& client : m_clients)
      client->tick(now);
  }

  void sendJob()
  {
    const auto& daemons = m_deployment.daemons();
    const std::string name = std::to_string(++m_sent);
    const std::string job =
      std::string(16 - name.size(), '0') + name;
    m_clients.push_back(std::make_unique<Client>(
      m_deployment.context(), daemons[m_sent % daemons.size()]->frontend()));
    m_clients.back()->post(
      job,
      jobBody(2, 1000, 200, 200),
      callerDeadline,
      [this, job](const cowslippin::HttpCallResult& result) {
        const bool isServed = result.status == 200;
        m_served += isServed ? 1 : 0;
        if (!isServed)
          m_record.note("job " + job + " isn't served: " +
                        (result.status == 0 ? std::string("no answer")
                                            : std::to_string(result.status)));
      });
  }

  int judge()
  {
    std::size_t machines = 0;
    unsigned ends = 0;
    for (const auto& [name, count] : m_ends) {
      ends += count;
      machines += count >= tooManyEnds ? 1 : 0;
    }
    const std::string text =
      std::to_string(ends) + " processes ended by themselves, on " +
      std::to_string(machines) + " of " +
      std::to_string(m_deployment.daemons().size()) + " machines " +
      std::to_string(tooManyEnds) + " times or more; " +
      std::to_string(m_served) + " of " + std::to_string(m_sent) +
      " jobs served";
    m_record.note(text);
    const bool isBroken = machines >= tooManyMachines;
    std::cout << (isBroken ? "Fault: " : "no fault: ") << text << std::endl;
    if (!isBroken && m_served == 0)
      return notPlayed;
    return isBroken ? ruleBroken : ruleHeld;
  }

  Deployment& m_deployment;
  Record& m_record;
  std::map<std::string, unsigned> m_ends;
  std::map<std::string, TimePoint> m_startAt;
  std::vector<std::unique_ptr<Client>> m_clients;
  TimePoint m_nextJobAt{};
  unsigned m_sent = 0;
  unsigned m_served = 0;
};

} // namespace

int
main(int count, char** arguments)
{
  if (count != 4) {
    std::cerr << "usage: foreignentry PROGRAM FOLDER RECORD" << std::endl;
    return notPlayed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record record(arguments[3]);
    Deployment::Settings settings;
    settings.program = arguments[1];
    settings.folder = arguments[2];
    Deployment deployment(settings, record);
    Play play(deployment, record);
    const int end = play.run(numberOr("TROUBLE", 1) != 0);
    for (const auto& daemon : deployment.daemons()) {
      daemon->signal(SIGKILL);
      daemon->reap();
    }
    return end;
  } catch (const std::exception& error) {
    std::cerr << "foreignentry: " << error.what() << std::endl;
    return notPlayed;
  }
}
