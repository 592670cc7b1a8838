#include "minionrelay.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notPlayed = 2;

constexpr unsigned tasks = 4;
constexpr unsigned cpuMillis = 6800;
constexpr unsigned estimateMs = 900;
constexpr unsigned takesMs = 3600;
constexpr Duration callerDeadline = seconds(8);
/// A late order is carried out 2 to 12 s after it was sent.
constexpr Duration leastDelay = milliseconds(2000);
constexpr Duration never = std::chrono::hours(1);
constexpr int killAfterMs = 20;

int
numberOr(const char* variable, int fallback)
{
  const char* value = std::getenv(variable);
  return value ? std::stoi(value) : fallback;
}

/// A client that sends its job again, at the next daemon, after no answer.
class Caller
{
public:
  Caller(Deployment& deployment, Record& record, std::string job)
    : m_deployment(deployment)
    , m_record(record)
    , m_job(std::move(job))
  {
    deployment.addTick([this](TimePoint now) { tick(now); });
  }

  void send(Daemon& daemon)
  {
    m_record.note("client sends " + m_job + " to " + daemon.settings().name);
    m_client = std::make_unique<Client>(m_deployment.context(),
                                        daemon.frontend());
    m_client->post(m_job,
                   jobBody(tasks, cpuMillis, estimateMs, takesMs),
                   callerDeadline,
                   [this](const cowslippin::HttpCallResult& result) {
                     answered(result);
                   });
  }
  bool isOver() const { return m_isOver; }
  bool isCompleted() const { return m_isCompleted; }

private:
  void answered(const cowslippin::HttpCallResult& result)
  {
    const bool isAnswered =
      result.kind == cowslippin::HttpCallResult::Kind::Answered;
    m_record.note(isAnswered ? "client gets " + std::to_string(result.status) +
                                 " " + result.body
                             : "the client's connection is broken");
    if (!isAnswered || result.status == 502 || result.status == 504) {
      m_resendAt = steadyNow() + resendDelay;
      return;
    }
    m_isOver = true;
    m_isCompleted = result.status == 200;
  }

  void tick(TimePoint now)
  {
    if (m_client)
      m_client->tick(now);
    if (!m_resendAt || now < *m_resendAt)
      return;
    m_resendAt.reset();
    for (const auto& daemon : m_deployment.daemons()) {
      if (daemon->isUp()) {
        send(*daemon);
        return;
      }
    }
  }

  Deployment& m_deployment;
  Record& m_record;
  const std::string m_job;
  std::unique_ptr<Client> m_client;
  std::optional<TimePoint> m_resendAt;
  bool m_isOver = false;
  bool m_isCompleted = false;
};

/// The network delays one start to a minion. The daemon that gave it is killed
/// at once, and the minion crashes. When the task runs on another minion, the
/// first one starts again under its id, and the start arrives there.
int
play(Deployment& deployment,
     Record& record,
     bool isTroubled,
     bool isOrderLate)
{
  bool isFirstDelayed = false;
  std::function<void(Worker&, const json&)> delayed;
  std::vector<std::unique_ptr<MinionRelay>> relays;
  for (const auto& worker : deployment.workers())
    relays.push_back(std::make_unique<MinionRelay>(
      deployment,
      record,
      *worker,
      [&](Worker& at, const json& body) {
        if (!std::exchange(isFirstDelayed, false))
          return false;
        delayed(at, body);
        return true;
      },
      isOrderLate ? leastDelay : never));
  for (const auto& daemon : deployment.daemons())
    daemon->start();
  if (!deployment.awaitReady(seconds(20)) ||
      !deployment.runUntil([&] { return deployment.holderOf("za") != nullptr; },
                           seconds(5))) {
    record.note("the daemons aren't ready");
    return notPlayed;
  }
  deployment.runFor(seconds(14));

  Worker* lateWorker = nullptr;
  std::string lateTask;
  TimePoint sentAt;
  isFirstDelayed = isTroubled;
  delayed = [&](Worker& at, const json& body) {
    lateWorker = &at;
    lateTask = body.at("task");
    sentAt = steadyNow();
  };

  // The gateway isn't the holder, so that only the holder's loss matters.
  Daemon* holder = deployment.holderOf("za");
  Daemon* gateway = nullptr;
  for (const auto& daemon : deployment.daemons()) {
    if (daemon->settings().zone == "za" && daemon.get() != holder)
      gateway = daemon.get();
  }
  Caller caller(deployment, record, "5c0e7a21d94b36f8");
  caller.send(*gateway);
  if (isTroubled) {
    if (!deployment.runUntil([&] { return lateWorker != nullptr; },
                             seconds(3))) {
      record.note("no task was started");
      return notPlayed;
    }
    Daemon* giver = deployment.holderOf(lateWorker->zone());
    deployment.runFor(milliseconds(numberOr("KILL_AFTER_MS", killAfterMs)));
    record.note("SIGKILL to " + giver->settings().name);
    giver->signal(SIGKILL);
    giver->reap();
    lateWorker->crash();
    const bool runsElsewhere = deployment.runUntil(
      [&] { return record.isRunningElsewhere(lateTask, lateWorker->id()); },
      seconds(8));
    if (!runsElsewhere) {
      record.note("the task isn't started elsewhere");
    } else {
      deployment.runFor(milliseconds(200));
      deployment.runUntil([&] { return steadyNow() >= sentAt + leastDelay; },
                          seconds(3));
    }
    lateWorker->restart();
    giver->start();
  }
  deployment.runUntil([&] { return caller.isOver(); }, seconds(20));
  deployment.runFor(seconds(2));
  for (const std::string& both : record.doubleRuns())
    std::cout << "TWICE broken: " << both << std::endl;
  if (!record.doubleRuns().empty())
    return ruleBroken;
  if (!caller.isOver()) {
    record.note("the client got no answer");
    return notPlayed;
  }
  if (!isTroubled && !caller.isCompleted())
    return notPlayed;
  std::cout << "TWICE held" << std::endl;
  return ruleHeld;
}

bool
isSet(const char* variable, bool fallback)
{
  const char* value = std::getenv(variable);
  return value ? std::string(value) != "0" : fallback;
}

} // namespace

int
main(int count, char** arguments)
{
  if (count != 4) {
    std::cerr << "usage: latestart PROGRAM FOLDER RECORD" << std::endl;
    return notPlayed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record record(arguments[3]);
    Deployment::Settings settings;
    settings.program = arguments[1];
    settings.folder = arguments[2];
    settings.relaysMinions = true;
    Deployment deployment(settings, record);
    const int end = play(
      deployment, record, isSet("TROUBLE", true), isSet("LATE_ORDER", true));
    for (const auto& daemon : deployment.daemons()) {
      daemon->signal(SIGKILL);
      daemon->reap();
    }
    return end;
  } catch (const std::exception& error) {
    std::cerr << "latestart: " << error.what() << std::endl;
    return notPlayed;
  }
}
