#include "libentry/peerliveness.h"

#include <gtest/gtest.h>

#include <random>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const VmId peer("peer");

class PeerLivenessTest : public ::testing::Test
{
protected:
  void tick()
  {
    now += milliseconds(20);
    contact.tick(now);
  }

  static PeerHeartbeatAck ack(TimePoint sentAt)
  {
    return { PeerLiveness::toSentAt(sentAt), PeerLiveness::toSentAt(sentAt) };
  }

  TimePoint now{ std::chrono::seconds(1000) };
  PeerLiveness contact{ now };
};

TEST_F(PeerLivenessTest, LastContactIsWhenTheAcknowledgedHeartbeatWasSent)
{
  const TimePoint sent = now;
  now += milliseconds(900);
  contact.acknowledged(peer, ack(sent), now);
  EXPECT_EQ(contact.lastContact(peer), sent);
}

TEST_F(PeerLivenessTest, AnOlderAcknowledgementThatArrivesLaterIsIgnored)
{
  const TimePoint older = now;
  now += milliseconds(100);
  contact.acknowledged(peer, ack(now), now);
  contact.acknowledged(peer, ack(older), now);
  EXPECT_EQ(contact.lastContact(peer), now);
}

TEST_F(PeerLivenessTest, AHeartbeatIsAcknowledgedAfterAWholeRoundOfTheEventLoop)
{
  contact.heartbeatReceived(peer, 7, now);
  EXPECT_FALSE(contact.takeDueAcknowledgement(peer, now));
  tick();
  EXPECT_FALSE(contact.takeDueAcknowledgement(peer, now));
  tick();
  contact.heartbeatReceived(peer, 8, now);
  EXPECT_EQ(contact.takeDueAcknowledgement(peer, now),
            (PeerHeartbeatAck{ 7, 8 }));
  EXPECT_EQ(contact.acknowledgement(peer), (PeerHeartbeatAck{ 7, 8 }));
  EXPECT_FALSE(contact.takeDueAcknowledgement(peer, now))
    << "each heartbeat is acknowledged once";
}

TEST_F(PeerLivenessTest, APeerKnowsWhatTheNewestAcknowledgedHeartbeatSays)
{
  const TimePoint settled = now;
  now += milliseconds(30);
  contact.acknowledged(
    peer,
    { PeerLiveness::toSentAt(settled), PeerLiveness::toSentAt(now) },
    now);
  EXPECT_EQ(contact.lastContact(peer), settled);
  EXPECT_EQ(contact.advertisedUntil(peer), now);
}

TEST_F(PeerLivenessTest, FrequentHeartbeatsAreAcknowledgedAtIntervals)
{
  unsigned acknowledged = 0;
  for (int i = 1; i <= 50; ++i) {
    contact.heartbeatReceived(peer, i, now);
    tick();
    acknowledged += contact.takeDueAcknowledgement(peer, now) ? 1 : 0;
  }
  EXPECT_LE(acknowledged, 9u) << "acknowledgements in a second";
  EXPECT_GE(acknowledged, 7u);
}

TEST_F(PeerLivenessTest, ALostConnectionResetsTheContact)
{
  contact.acknowledged(peer, ack(now), now);
  contact.heartbeatReceived(peer, 7, now);
  contact.peerLost(peer);
  tick();
  tick();
  EXPECT_EQ(contact.lastContact(peer), TimePoint{});
  EXPECT_FALSE(contact.takeDueAcknowledgement(peer, now));
}

TEST_F(PeerLivenessTest, ATimestampFromBeforeARebootIsIgnored)
{
  const TimePoint later = now + std::chrono::hours(1);
  contact.acknowledged(peer, ack(later), now);
  EXPECT_EQ(contact.lastContact(peer), TimePoint{});
}

/// Guards against a request that gets too much time. It was delayed on its way,
/// and its time is counted from when it is read.
TEST_F(PeerLivenessTest, TheSendTimeFollowsFromTheAcknowledgedHeartbeat)
{
  const TimePoint beatAt = now;
  now += milliseconds(900);
  EXPECT_EQ(PeerLiveness::sentAfter(ack(beatAt), milliseconds(200), now),
            beatAt + milliseconds(200));
}

/// Guards against an invented send time where no acknowledgement tells it.
TEST_F(PeerLivenessTest, WithoutAnAcknowledgementTheSendTimeIsUnknown)
{
  EXPECT_FALSE(PeerLiveness::sentAfter({}, Duration::zero(), now));
}

/// Guards against a job that gets all of its time again, because the message
/// carries a timestamp from before a reboot of the machine.
TEST_F(PeerLivenessTest, ASendTimeInTheFutureIsRejected)
{
  EXPECT_FALSE(PeerLiveness::sentAfter(ack(now), milliseconds(11), now))
    << "further in the future than clocks differ";
  EXPECT_EQ(PeerLiveness::sentAfter(ack(now), milliseconds(10), now), now);
}

/// Guards against an age that an older, delayed heartbeat resets. The message
/// would count as sent earlier or later than it was.
TEST_F(PeerLivenessTest, TheAgeOfAnAcknowledgementIsThatOfItsNewestHeartbeat)
{
  EXPECT_EQ(contact.acknowledgementAge(peer, now), Duration::zero());
  contact.heartbeatReceived(peer, 8, now);
  now += milliseconds(100);
  contact.heartbeatReceived(peer, 7, now);
  contact.heartbeatReceived(peer, 8, now);
  now += milliseconds(30);
  EXPECT_EQ(contact.acknowledgement(peer).newestReceived, 8);
  EXPECT_EQ(contact.acknowledgementAge(peer, now), milliseconds(130));
  contact.heartbeatReceived(peer, 9, now);
  EXPECT_EQ(contact.acknowledgementAge(peer, now), Duration::zero());
}

/// Guards against an age without the heartbeat that it belongs to.
TEST_F(PeerLivenessTest, ALostConnectionResetsTheAgeOfTheAcknowledgement)
{
  contact.heartbeatReceived(peer, 8, now);
  contact.peerLost(peer);
  now += milliseconds(100);
  EXPECT_EQ(contact.acknowledgementAge(peer, now), Duration::zero());
}

TEST_F(PeerLivenessTest, OwnContactIsTheTickBeforeTheLast)
{
  tick();
  const TimePoint previous = now;
  now += milliseconds(600);
  contact.tick(now);
  EXPECT_EQ(contact.ownCallersKnownUntil(), previous)
    << "the daemon handles its input late";
}

/// Guards against an acknowledgement that depends on how often the peer was
/// looked at: peers are brought up to date when they are used, not at each
/// tick.
TEST(PeerLivenessTicks, CountForPeersThatAreNotLookedAt)
{
  constexpr int steps = 2000;
  std::mt19937_64 random(20261204);
  TimePoint now{ std::chrono::seconds(1000) };
  PeerLiveness liveness(now);
  const VmId vm("vm-1");
  // What was read at the last ticks, updated at each of them.
  PeerLiveness::SentAt newest = 0;
  PeerLiveness::SentAt newestAtTick = 0;
  PeerLiveness::SentAt settled = 0;
  for (int step = 0; step < steps; ++step) {
    now += std::chrono::milliseconds(1);
    switch (random() % 4) {
      case 0:
        newest = PeerLiveness::toSentAt(now);
        liveness.heartbeatReceived(vm, newest, now);
        break;
      case 1:
        EXPECT_EQ(liveness.acknowledgement(vm),
                  (PeerHeartbeatAck{ settled, newest }));
        break;
      default:
        liveness.tick(now);
        settled = newestAtTick;
        newestAtTick = newest;
    }
  }
}

} // namespace
} // namespace cowslippin::testing
