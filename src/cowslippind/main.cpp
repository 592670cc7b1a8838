#include "libdaemon/daemon.h"
#include "libobserve/observe.h"
#include "libsettings/settings.h"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace cowslippin;

constexpr int exitCutOff = 1;
constexpr int exitBadSettings = 2;

void
blockEndingSignals(sigset_t& signals)
{
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int
serve(const DaemonSettings& settings)
{
  sigset_t endingSignals;
  blockEndingSignals(endingSignals);
  LogSettings logSettings;
  logSettings.level = settings.logLevel();
  initialiseLogging(logSettings);
  Daemon daemon(settings);
  if (const auto problem = daemon.start()) {
    std::cerr << "cowslippind: " << problem->detail() << std::endl;
    stopLogging();
    return exitBadSettings;
  }
  std::cout << "listening " << daemon.httpAddress().toString() << " peers "
            << daemon.peerAddress().toString() << std::endl;
  int signal = 0;
  sigwait(&endingSignals, &signal);
  const bool complete = daemon.drain();
  stopLogging();
  return complete ? 0 : exitCutOff;
}

int
complain(const SettingsProblems& problems)
{
  for (const Problem& problem : problems) {
    std::cerr << "cowslippind: " << problem.detail() << '\n';
  }
  return exitBadSettings;
}

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  // There is no settings file to read again, and the default would end the
  // process.
  std::signal(SIGHUP, SIG_IGN);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  try {
    const SettingsOutcome outcome =
      readDaemonSettings(arguments, processEnvironment());
    if (const auto* help = std::get_if<HelpText>(&outcome)) {
      std::cout << help->text();
      return 0;
    }
    if (const auto* problems = std::get_if<SettingsProblems>(&outcome)) {
      return complain(*problems);
    }
    return serve(std::get<DaemonSettings>(outcome));
  } catch (const std::exception& error) {
    std::cerr << "cowslippind: " << error.what() << std::endl;
    stopLogging();
    return exitCutOff;
  }
}
