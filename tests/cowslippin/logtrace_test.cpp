#include "libcli/cli.h"

#include <gtest/gtest.h>

#include <sstream>

namespace cowslippin::testing {
namespace {

constexpr const char* job = "9c338009f9fead95";

TEST(LogTrace, FindsTheLinesOfAJobAndOfItsTasksRuns)
{
  std::istringstream log(
    R"({"time":"T2","level":"info","event":"job-ended","job":"9c338009f9fead95","outcome":"completed","reason":""}
not a log line
{"time":"T1","level":"info","event":"run-found","worker":"w1","task":"9c338009f9fead95.0.0.1","run":3}
{"time":"T1","level":"info","event":"job-ended","job":"other"}
{"time":"T3"
)");
  const auto lines = readTrace(log, "a.log", job);
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_EQ(lines[0],
            (TraceLine{ "T2", "a.log", "job-ended", "outcome=completed" }));
  EXPECT_EQ(lines[1].fields, "worker=w1 task=9c338009f9fead95.0.0.1 run=3");
}

/// Guards against lines on many jobs that no trace of one of them shows.
TEST(LogTrace, FindsTheJobInLists)
{
  std::istringstream log(
    R"({"time":"T1","event":"peer-lost","handedTo":"x 9c338009f9fead95 y"}
{"time":"T2","event":"peer-lost","heldFor":"9c338009f9fead95"}
{"time":"T3","event":"lease-lapsed","tasks":"x.0.0.1 9c338009f9fead95.0.0.1"}
{"time":"T4","event":"lease-lapsed","tasks":"9c338009f9fead951.0.0.1"}
{"time":"T5","event":"job-ended","job":"other","tasks":5}
)");
  const auto lines = readTrace(log, "a.log", job);
  ASSERT_EQ(lines.size(), 3u);
  EXPECT_EQ(lines[2].event, "lease-lapsed");
}

TEST(LogTrace, TextBeforeALineNamesItsProcess)
{
  std::istringstream log(
    "  33.1 edge-2 "
    R"({"time":"T1","event":"job-accepted","job":"9c338009f9fead95"})");
  const auto lines = readTrace(log, "all.log", job);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0].process, "edge-2");
}

TEST(LogTrace, IsInTheOrderOfTimes)
{
  const std::string text =
    renderTrace({ { "T2", "edge-10", "job-ended", "b=1" },
                  { "T1", "e", "job-accepted", "" } });
  EXPECT_EQ(text,
            "T1  e        job-accepted  \n"
            "T2  edge-10  job-ended     b=1\n");
}

} // namespace
} // namespace cowslippin::testing
