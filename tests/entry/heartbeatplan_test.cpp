#include "libentry/heartbeatplan.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::set<VmId>
group(std::size_t size)
{
  std::set<VmId> vms;
  for (std::size_t i = 0; i < size; ++i)
    vms.insert(VmId("vm-" + std::to_string(1000 + i)));
  return vms;
}

/// One daemon's heartbeats over some time, with ticks that come late.
class HeartbeatPlanTest : public ::testing::Test
{
protected:
  void play(const std::set<VmId>& up,
            const std::set<VmId>& close,
            Duration duration)
  {
    for (const TimePoint end = now + duration; now < end;
         now += settings.interval + milliseconds(10)) {
      for (const VmId& peer : plan->due(up, close, now))
        send(peer, close.count(peer) > 0);
    }
  }

  void send(const VmId& peer, bool isClose)
  {
    const auto promised = promisedBy.find(peer);
    if (promised != promisedBy.end() && now > promised->second + lateness)
      ++late;
    promisedBy[peer] = now + plan->promise(peer, isClose, now);
    ++sent[peer];
    ++total;
  }

  const HeartbeatPlan::Settings settings{};
  /// A promise may be missed by no more than a tick.
  const Duration lateness = milliseconds(20);
  TimePoint now{ seconds(100) };
  std::unique_ptr<HeartbeatPlan> plan =
    std::make_unique<HeartbeatPlan>(settings);
  std::map<VmId, TimePoint> promisedBy;
  std::map<VmId, unsigned> sent;
  unsigned late = 0;
  unsigned total = 0;
};

TEST_F(HeartbeatPlanTest, ASmallGroupHearsAllAtTheShortInterval)
{
  play(group(settings.perInterval), {}, seconds(3));
  EXPECT_EQ(total, 20 * settings.perInterval);
  EXPECT_EQ(late, 0u);
}

TEST_F(HeartbeatPlanTest, WhatIsSentDoesNotGrowWithTheGroup)
{
  for (const std::size_t size : { 60, 100, 300, 1000 }) {
    plan = std::make_unique<HeartbeatPlan>(settings);
    promisedBy.clear();
    play(group(size), {}, seconds(5));
    total = 0;
    play(group(size), {}, seconds(30));
    EXPECT_LE(total, 200 * settings.perInterval * 12 / 10) << size;
    EXPECT_EQ(late, 0u) << size;
    EXPECT_EQ(promisedBy.size(), size) << "nobody is left out";
  }
}

TEST_F(HeartbeatPlanTest, ClosePeersAreAlwaysSentOneEachInterval)
{
  const std::set<VmId> up = group(300);
  const std::set<VmId> close = { VmId("vm-1007"), VmId("vm-1200") };
  play(up, {}, seconds(3));
  sent.clear();
  play(up, close, seconds(3));
  for (const VmId& peer : close)
    EXPECT_EQ(sent[peer], 20u);
  play(up, {}, seconds(3));
  EXPECT_EQ(late, 0u) << "also where a peer isn't close any more";
}

TEST_F(HeartbeatPlanTest, AnExtraHeartbeatLeavesTheTurnsAsTheyAre)
{
  const std::set<VmId> up = group(300);
  play(up, {}, seconds(3));
  for (const VmId& peer : up)
    send(peer, false);
  unsigned most = 0;
  for (int interval = 0; interval < 10; ++interval) {
    total = 0;
    play(up, {}, milliseconds(1));
    most = std::max(most, total);
  }
  EXPECT_LE(most, 2 * settings.perInterval) << "no burst to all at once";
  EXPECT_EQ(late, 0u);
}

} // namespace
} // namespace cowslippin::testing
