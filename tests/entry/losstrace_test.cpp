#include "simulation.h"

#include "libentry/entrymetrics.h"

#include "support/logcapture.h"

#include <gtest/gtest.h>

#include <sstream>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string>
wordsOf(const std::string& text)
{
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;)
    words.push_back(word);
  return words;
}

/// Powers off each daemon for 900 ms, one after the other.
void
powerOffEachDaemon(Simulation& simulation)
{
  for (std::size_t daemon = 0; daemon < simulation.daemons(); ++daemon) {
    simulation.runFor(seconds(2));
    simulation.powerOff(daemon, milliseconds(900));
  }
  simulation.runFor(seconds(3));
}

/// Guards against jobs of a lost holder whose outcome can't be read from the
/// log: each job named in `peer-lost` is handed to another holder, loses its
/// caller, or is cancelled.
TEST(LossTrace, EachJobOfALostHolderIsResubmittedOrEnds)
{
  LogCapture log;
  Simulation simulation({}, 7);
  powerOffEachDaemon(simulation);
  std::map<std::string, int> resubmitted;
  for (const auto& line : log.of("job-resubmitted"))
    ++resubmitted[line["job"]];
  std::set<std::string> ended;
  for (const char* event : { "caller-gone", "job-cancelled" }) {
    for (const auto& line : log.of(event))
      ended.insert(line["job"]);
  }
  unsigned handedTo = 0;
  for (const auto& line : log.of("peer-lost")) {
    for (const std::string& job : wordsOf(line["handedTo"])) {
      ++handedTo;
      EXPECT_TRUE(resubmitted.count(job) > 0 || ended.count(job) > 0) << line;
    }
  }
  EXPECT_GT(handedTo, 0u);
  EXPECT_FALSE(resubmitted.empty());
}

/// Guards against a log that doesn't say which event allowed a task to start
/// again after the loss of a holder.
TEST(LossTrace, ARestartAfterAQuarantineLogsTheCauseThatEndedIt)
{
  LogCapture log;
  Simulation simulation({}, 7);
  powerOffEachDaemon(simulation);
  const auto ends = log.of("quarantine-ended");
  EXPECT_FALSE(ends.empty());
  std::set<std::string> causes;
  for (const auto& line : log.of("task-restarted"))
    causes.insert(line["cause"]);
  for (const auto& line : ends) {
    const std::string cause = line["cause"];
    EXPECT_TRUE(cause == "done" || causes.count(cause) > 0) << line;
    EXPECT_GE(line["sinceLossMs"], 0);
  }
}

/// Guards against a log that doesn't tell under which lease a run was started.
TEST(LossTrace, EachReleaseOfAShardLogsTheTokenOfItsTaking)
{
  LogCapture log;
  Simulation simulation({}, 7);
  for (std::size_t daemon = 0; daemon < simulation.daemons(); ++daemon) {
    simulation.runFor(seconds(2));
    simulation.leave(daemon);
  }
  simulation.runFor(seconds(3));
  const auto shardAndToken = [](const auto& line) {
    return line["shard"].dump() + " " + line["token"].dump();
  };
  std::set<std::string> taken;
  for (const auto& line : log.of("shard-taken"))
    taken.insert(shardAndToken(line));
  const auto releases = log.of("shard-released");
  EXPECT_FALSE(releases.empty());
  for (const auto& line : releases)
    EXPECT_EQ(taken.count(shardAndToken(line)), 1u) << line;
}

/// Guards against a run that is taken for over, or that goes on afterwards,
/// without being counted.
TEST(LossTrace, MetricsCountRunsThatArePresumedOverByCause)
{
  LogCapture log;
  Simulation simulation({}, 7);
  for (std::size_t worker = 0; worker < 6; ++worker) {
    simulation.runFor(seconds(1));
    simulation.crashWorker(worker);
  }
  simulation.runFor(seconds(5));
  std::map<std::string, std::uint64_t> counted;
  std::string rendered;
  for (std::size_t daemon = 0; daemon < simulation.daemons(); ++daemon) {
    const EntryCore::Stats stats = simulation.core(daemon).stats();
    for (const auto& [cause, count] : stats.presumedOver)
      counted[toString(cause)] += count;
    EXPECT_TRUE(stats.reappeared.empty());
    rendered += EntryMetrics().render(simulation.core(daemon));
  }
  std::map<std::string, std::uint64_t> logged;
  for (const auto& line : log.of("run-presumed-over"))
    ++logged[line["cause"]];
  for (const auto& line : log.of("start-rejected"))
    ++logged[line["reason"]];
  EXPECT_FALSE(logged.empty());
  EXPECT_EQ(counted, logged);
  for (const auto& [cause, count] : counted)
    EXPECT_NE(rendered.find("cowslippin_runs_presumed_over_total{cause=\"" +
                            cause + "\"}"),
              std::string::npos);
  EXPECT_TRUE(log.of("run-reappeared").empty());
}

/// Runs whose worker didn't answer end before its lease expires, and are listed
/// afterwards.
TEST(LossTrace, MetricsCountRunsThatReappearByCause)
{
  Simulation::Settings settings;
  settings.lostOrderShare = 0.1;
  settings.lostAnswerShare = 0.1;
  std::map<std::string, std::uint64_t> counted;
  std::map<std::string, std::uint64_t> logged;
  std::string rendered;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    LogCapture log;
    Simulation simulation(settings, seed);
    simulation.runFor(seconds(21));
    for (std::size_t daemon = 0; daemon < simulation.daemons(); ++daemon) {
      const EntryCore& core = simulation.core(daemon);
      for (const auto& [cause, count] : core.stats().reappeared)
        counted[toString(cause)] += count;
      rendered += EntryMetrics().render(core);
    }
    for (const auto& line : log.of("run-reappeared"))
      ++logged[line["cause"]];
  }
  EXPECT_FALSE(logged.empty());
  EXPECT_EQ(counted, logged);
  for (const auto& [cause, count] : counted)
    EXPECT_NE(rendered.find("cowslippin_runs_reappeared_total{cause=\"" +
                            cause + "\"}"),
              std::string::npos);
}

TEST(LossTrace, MetricsCountTaskRestartsByCause)
{
  Simulation simulation({}, 7);
  simulation.runFor(seconds(5));
  simulation.killAll(milliseconds(300));
  simulation.runFor(seconds(20));
  std::uint64_t counted = 0;
  std::string rendered;
  for (std::size_t daemon = 0; daemon < simulation.daemons(); ++daemon) {
    for (const auto& [cause, count] : simulation.core(daemon).stats().restarts)
      counted += count;
    rendered += EntryMetrics().render(simulation.core(daemon));
  }
  EXPECT_GT(counted, 0u);
  EXPECT_NE(rendered.find("cowslippin_task_restarts_total{cause=\"failed\"}"),
            std::string::npos);
}

} // namespace
} // namespace cowslippin::testing
