#include "libentry/heartbeatschedule.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::set<VmId>
peers(std::size_t size)
{
  std::set<VmId> vms;
  for (std::size_t i = 0; i < size; ++i)
    vms.insert(VmId("vm-" + std::to_string(1000 + i)));
  return vms;
}

/// Sends one daemon's heartbeats over some time, with ticks that come 10 ms
/// late, and counts those that come later than promised.
class HeartbeatScheduleTest : public ::testing::Test
{
protected:
  void sendHeartbeats(const std::set<VmId>& up,
                      const std::set<VmId>& close,
                      Duration duration)
  {
    for (const TimePoint end = now + duration; now < end;
         now += settings.interval + milliseconds(10)) {
      for (const VmId& peer : plan->takeDuePeers(up, close, now))
        send(peer, close.count(peer) > 0);
    }
  }

  void send(const VmId& peer, bool isClose)
  {
    const auto promised = promisedAt.find(peer);
    if (promised != promisedAt.end() && now > promised->second + lateness)
      ++late;
    promisedAt[peer] = now + plan->scheduleNext(peer, isClose, now);
    ++sent[peer];
    ++total;
  }

  const HeartbeatSchedule::Settings settings{};
  /// A heartbeat may come later than promised by one tick at most.
  const Duration lateness = milliseconds(20);
  TimePoint now{ seconds(100) };
  std::unique_ptr<HeartbeatSchedule> plan =
    std::make_unique<HeartbeatSchedule>(settings);
  std::map<VmId, TimePoint> promisedAt;
  std::map<VmId, unsigned> sent;
  unsigned late = 0;
  unsigned total = 0;
};

TEST_F(HeartbeatScheduleTest, InASmallGroupEachPeerIsSentOneEachInterval)
{
  sendHeartbeats(peers(settings.maxPerInterval), {}, seconds(3));
  EXPECT_EQ(total, 20 * settings.maxPerInterval);
  EXPECT_EQ(late, 0u);
}

TEST_F(HeartbeatScheduleTest, HeartbeatsSentDoNotGrowWithTheGroup)
{
  for (const std::size_t size : { 60, 100, 300, 1000 }) {
    plan = std::make_unique<HeartbeatSchedule>(settings);
    promisedAt.clear();
    sendHeartbeats(peers(size), {}, seconds(5));
    total = 0;
    sendHeartbeats(peers(size), {}, seconds(30));
    EXPECT_LE(total, 200 * settings.maxPerInterval * 12 / 10) << size;
    EXPECT_EQ(late, 0u) << size;
    EXPECT_EQ(promisedAt.size(), size) << "every peer is sent heartbeats";
  }
}

TEST_F(HeartbeatScheduleTest, ClosePeersAreAlwaysSentOneEachInterval)
{
  const std::set<VmId> up = peers(300);
  const std::set<VmId> close = { VmId("vm-1007"), VmId("vm-1200") };
  sendHeartbeats(up, {}, seconds(3));
  sent.clear();
  sendHeartbeats(up, close, seconds(3));
  for (const VmId& peer : close)
    EXPECT_EQ(sent[peer], 20u);
  sendHeartbeats(up, {}, seconds(3));
  EXPECT_EQ(late, 0u) << "also for a peer that is no longer close";
}

TEST_F(HeartbeatScheduleTest, AnExtraHeartbeatDoesNotChangeTheTurns)
{
  const std::set<VmId> up = peers(300);
  sendHeartbeats(up, {}, seconds(3));
  for (const VmId& peer : up)
    send(peer, false);
  unsigned maxPerInterval = 0;
  for (int interval = 0; interval < 10; ++interval) {
    total = 0;
    sendHeartbeats(up, {}, milliseconds(1));
    maxPerInterval = std::max(maxPerInterval, total);
  }
  EXPECT_LE(maxPerInterval, 2 * settings.maxPerInterval)
    << "the peers aren't sent heartbeats all at once";
  EXPECT_EQ(late, 0u);
}

} // namespace
} // namespace cowslippin::testing
