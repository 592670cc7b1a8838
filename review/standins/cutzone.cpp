#include "peerrelay.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;
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
constexpr Duration cutTime = milliseconds(5500);
constexpr const char* job = "5c0e7a21d94b36f8";
constexpr const char* cutZone = "zb";

/// Ends the daemons of the zone that is to be cut, and starts them again: the
/// platform sends the zone's clients to another zone meanwhile.
bool
rollZone(Deployment& deployment, Record& record)
{
  for (const auto& daemon : deployment.daemons()) {
    if (daemon->settings().zone != cutZone)
      continue;
    record.note("SIGTERM to " + daemon->settings().name);
    daemon->signal(SIGTERM);
  }
  deployment.runFor(milliseconds(6200));
  for (const auto& daemon : deployment.daemons()) {
    if (daemon->settings().zone != cutZone)
      continue;
    daemon->signal(SIGKILL);
    daemon->reap();
    daemon->start();
  }
  return deployment.awaitReady(seconds(20));
}

void
post(Client& client,
     Record& record,
     const std::string& to,
     bool& isOver,
     bool& isCompleted)
{
  record.note(std::string("client sends ") + job + " to " + to);
  client.post(job,
              jobBody(tasks, cpuMillis, estimateMs, takesMs),
              callerDeadline,
              [&, to](const cowslippin::HttpCallResult& result) {
                isOver = true;
                isCompleted = result.status == 200;
                record.note("on the client's connection to " + to + ": " +
                            std::to_string(result.status) + " " + result.body);
              });
}

/// A client of zone `zb` has a connection to a daemon of zone `za`. Zone `zb`
/// is cut off while its job runs there. The client leaves, which that daemon
/// can't learn, and sends the job again to a daemon of its own zone.
int
play(Deployment& deployment, Record& record, bool isTroubled, bool isCut)
{
  bool isCutNow = false;
  std::vector<std::unique_ptr<PeerRelay>> relays;
  for (const auto& daemon : deployment.daemons()) {
    const bool isInside = daemon->settings().zone == cutZone;
    relays.push_back(std::make_unique<PeerRelay>(
      deployment, *daemon, [&, isInside](const std::string& dialler) {
        if (!isCutNow)
          return false;
        // A connection that is opened during the cut stays silent.
        return dialler.empty() ||
               (deployment.daemon(dialler).settings().zone == cutZone) !=
                 isInside;
      }));
    daemon->start();
  }
  if (!deployment.awaitReady(seconds(20))) {
    record.note("the daemons aren't ready");
    return notPlayed;
  }
  if (isTroubled && !rollZone(deployment, record)) {
    record.note("the daemons aren't ready again");
    return notPlayed;
  }
  deployment.runFor(seconds(6));

  Daemon& first = deployment.daemon("edge-za-1");
  Daemon& second = deployment.daemon("edge-zb-1");
  Client client(deployment.context(), first.frontend());
  Client again(deployment.context(), second.frontend());
  bool isOver = false;
  bool isCompleted = false;
  post(client, record, first.settings().name, isOver, isCompleted);
  deployment.runFor(milliseconds(400));
  if (isTroubled) {
    isCutNow = isCut;
    if (isCut)
      record.note("zone zb is cut off");
    deployment.runFor(milliseconds(300));
    record.note("the client leaves; the cut holds the end of its connection");
    deployment.runFor(resendDelay);
    bool isOverAgain = false;
    bool isCompletedAgain = false;
    post(again, record, second.settings().name, isOverAgain, isCompletedAgain);
    const TimePoint end = steadyNow() + cutTime;
    deployment.runUntil(
      [&] { return isOverAgain || steadyNow() >= end; }, cutTime);
    isCutNow = false;
    record.note("the cut is over");
    deployment.runFor(seconds(5));
  } else {
    deployment.runUntil([&] { return isOver; }, seconds(9));
    deployment.runFor(seconds(1));
  }
  for (const std::string& both : record.doubleRuns())
    std::cout << "TWICE broken: " << both << std::endl;
  if (!record.doubleRuns().empty())
    return ruleBroken;
  if (!isTroubled && !isCompleted)
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
    std::cerr << "usage: cutzone PROGRAM FOLDER RECORD" << std::endl;
    return notPlayed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record record(arguments[3]);
    Deployment::Settings settings;
    settings.program = arguments[1];
    settings.folder = arguments[2];
    settings.relaysPeers = true;
    Deployment deployment(settings, record);
    const int end =
      play(deployment, record, isSet("TROUBLE", true), isSet("CUT", true));
    for (const auto& daemon : deployment.daemons()) {
      daemon->signal(SIGKILL);
      daemon->reap();
    }
    return end;
  } catch (const std::exception& error) {
    std::cerr << "cutzone: " << error.what() << std::endl;
    return notPlayed;
  }
}
