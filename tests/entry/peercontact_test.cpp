#include "libentry/peercontact.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const VmId peer("peer");

class PeerContactTest : public ::testing::Test
{
protected:
  void tick()
  {
    now += milliseconds(20);
    contact.tick(now);
  }

  static PeerBeatAck ack(TimePoint sentAt)
  {
    return { PeerContact::stamp(sentAt), PeerContact::stamp(sentAt) };
  }

  TimePoint now{ std::chrono::seconds(1000) };
  PeerContact contact{ now };
};

TEST_F(PeerContactTest, LastContactIsWhenTheAcknowledgedHeartbeatWasSent)
{
  const TimePoint sent = now;
  now += milliseconds(900);
  contact.acknowledged(peer, ack(sent), now);
  EXPECT_EQ(contact.lastContact(peer), sent);
}

TEST_F(PeerContactTest, AnOlderAcknowledgementThatArrivesLaterIsIgnored)
{
  const TimePoint older = now;
  now += milliseconds(100);
  contact.acknowledged(peer, ack(now), now);
  contact.acknowledged(peer, ack(older), now);
  EXPECT_EQ(contact.lastContact(peer), now);
}

TEST_F(PeerContactTest, AHeartbeatIsAcknowledgedAfterAWholeRoundOfTheEventLoop)
{
  contact.beatReceived(peer, 7, now);
  EXPECT_FALSE(contact.takeDue(peer, now));
  tick();
  EXPECT_FALSE(contact.takeDue(peer, now));
  tick();
  contact.beatReceived(peer, 8, now);
  EXPECT_EQ(contact.takeDue(peer, now), (PeerBeatAck{ 7, 8 }));
  EXPECT_EQ(contact.acknowledgement(peer), (PeerBeatAck{ 7, 8 }));
  EXPECT_FALSE(contact.takeDue(peer, now))
    << "each heartbeat is acknowledged once";
}

TEST_F(PeerContactTest, APeerKnowsWhatTheNewestAcknowledgedHeartbeatSays)
{
  const TimePoint settled = now;
  now += milliseconds(30);
  contact.acknowledged(
    peer, { PeerContact::stamp(settled), PeerContact::stamp(now) }, now);
  EXPECT_EQ(contact.lastContact(peer), settled);
  EXPECT_EQ(contact.toldUntil(peer), now);
}

TEST_F(PeerContactTest, FrequentHeartbeatsAreAcknowledgedAtIntervals)
{
  unsigned acknowledged = 0;
  for (int i = 1; i <= 50; ++i) {
    contact.beatReceived(peer, i, now);
    tick();
    acknowledged += contact.takeDue(peer, now) ? 1 : 0;
  }
  EXPECT_LE(acknowledged, 9u) << "acknowledgements in a second";
  EXPECT_GE(acknowledged, 7u);
}

TEST_F(PeerContactTest, ALostConnectionResetsTheContact)
{
  contact.acknowledged(peer, ack(now), now);
  contact.beatReceived(peer, 7, now);
  contact.lost(peer);
  tick();
  tick();
  EXPECT_EQ(contact.lastContact(peer), TimePoint{});
  EXPECT_FALSE(contact.takeDue(peer, now));
}

TEST_F(PeerContactTest, ATimestampFromBeforeARebootIsIgnored)
{
  const TimePoint later = now + std::chrono::hours(1);
  contact.acknowledged(peer, ack(later), now);
  EXPECT_EQ(contact.lastContact(peer), TimePoint{});
}

/// Guards against a request that gets too much time. It was delayed on its way,
/// and its time is counted from when it is read.
TEST_F(PeerContactTest, TheSendTimeFollowsFromTheAcknowledgedHeartbeat)
{
  const TimePoint beatAt = now;
  now += milliseconds(900);
  EXPECT_EQ(PeerContact::sentAfter(ack(beatAt), milliseconds(200), now),
            beatAt + milliseconds(200));
}

/// Guards against an invented send time where no acknowledgement tells it.
TEST_F(PeerContactTest, WithoutAnAcknowledgementTheSendTimeIsUnknown)
{
  EXPECT_FALSE(PeerContact::sentAfter({}, Duration::zero(), now));
}

/// Guards against a job that gets all of its time again, because the message
/// carries a timestamp from before a reboot of the machine.
TEST_F(PeerContactTest, ASendTimeInTheFutureIsRejected)
{
  EXPECT_FALSE(PeerContact::sentAfter(ack(now), milliseconds(11), now))
    << "further in the future than clocks differ";
  EXPECT_EQ(PeerContact::sentAfter(ack(now), milliseconds(10), now), now);
}

/// Guards against an age that an older, delayed heartbeat resets. The message
/// would count as sent earlier or later than it was.
TEST_F(PeerContactTest, TheAgeOfAnAcknowledgementIsThatOfItsNewestHeartbeat)
{
  EXPECT_EQ(contact.acknowledgementAge(peer, now), Duration::zero());
  contact.beatReceived(peer, 8, now);
  now += milliseconds(100);
  contact.beatReceived(peer, 7, now);
  contact.beatReceived(peer, 8, now);
  now += milliseconds(30);
  EXPECT_EQ(contact.acknowledgement(peer).newest, 8);
  EXPECT_EQ(contact.acknowledgementAge(peer, now), milliseconds(130));
  contact.beatReceived(peer, 9, now);
  EXPECT_EQ(contact.acknowledgementAge(peer, now), Duration::zero());
}

/// Guards against an age without the heartbeat that it belongs to.
TEST_F(PeerContactTest, ALostConnectionResetsTheAgeOfTheAcknowledgement)
{
  contact.beatReceived(peer, 8, now);
  contact.lost(peer);
  now += milliseconds(100);
  EXPECT_EQ(contact.acknowledgementAge(peer, now), Duration::zero());
}

TEST_F(PeerContactTest, OwnContactIsTheTickBeforeTheLast)
{
  tick();
  const TimePoint previous = now;
  now += milliseconds(600);
  contact.tick(now);
  EXPECT_EQ(contact.ownContact(), previous)
    << "the daemon handles its input late";
}

} // namespace
} // namespace cowslippin::testing
