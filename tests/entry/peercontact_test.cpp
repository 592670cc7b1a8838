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

TEST_F(PeerContactTest,
       CountsFromWhenTheHeartbeatWasSentNotFromWhenItsAnswerIsRead)
{
  const TimePoint sent = now;
  now += milliseconds(900);
  contact.acknowledged(peer, ack(sent), now);
  EXPECT_EQ(contact.lastContact(peer), sent);
}

TEST_F(PeerContactTest, AnOlderAcknowledgementThatComesLaterChangesNothing)
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
  EXPECT_FALSE(contact.takeDue(peer, now)) << "once each";
}

TEST_F(PeerContactTest, ADaemonIsToldOfWhatItsNewestHeartbeatSays)
{
  const TimePoint settled = now;
  now += milliseconds(30);
  contact.acknowledged(
    peer, { PeerContact::stamp(settled), PeerContact::stamp(now) }, now);
  EXPECT_EQ(contact.lastContact(peer), settled);
  EXPECT_EQ(contact.toldUntil(peer), now);
}

TEST_F(PeerContactTest, ManyHeartbeatsAreAcknowledgedAtIntervals)
{
  unsigned acknowledged = 0;
  for (int i = 1; i <= 50; ++i) {
    contact.beatReceived(peer, i, now);
    tick();
    acknowledged += contact.takeDue(peer, now) ? 1 : 0;
  }
  EXPECT_LE(acknowledged, 9u) << "in a second";
  EXPECT_GE(acknowledged, 7u);
}

TEST_F(PeerContactTest, WhatWasToldOverALostConnectionNoLongerCounts)
{
  contact.acknowledged(peer, ack(now), now);
  contact.beatReceived(peer, 7, now);
  contact.lost(peer);
  tick();
  tick();
  EXPECT_EQ(contact.lastContact(peer), TimePoint{});
  EXPECT_FALSE(contact.takeDue(peer, now));
}

TEST_F(PeerContactTest, ATimeOfAnEarlierLifeOfTheMachineDoesNotCount)
{
  const TimePoint later = now + std::chrono::hours(1);
  contact.acknowledged(peer, ack(later), now);
  EXPECT_EQ(contact.lastContact(peer), TimePoint{});
}

/// Guards against a request that waited on its way and whose time is counted
/// from when it was read.
TEST_F(PeerContactTest, AMessageWasSentNoEarlierThanWhatItAcknowledges)
{
  const TimePoint beatAt = now;
  now += milliseconds(900);
  EXPECT_EQ(PeerContact::sentAfter(ack(beatAt), milliseconds(200), now),
            beatAt + milliseconds(200));
}

/// Guards against a time of sending that is made up where nothing tells it.
TEST_F(PeerContactTest, WithoutAnAcknowledgementNobodyKnowsWhenItWasSent)
{
  EXPECT_FALSE(PeerContact::sentAfter({}, Duration::zero(), now));
}

/// Guards against a job that is given all its time by a stamp of the machine's
/// earlier life.
TEST_F(PeerContactTest, AMessageSentInTheFutureTellsNothing)
{
  EXPECT_FALSE(PeerContact::sentAfter(ack(now), milliseconds(11), now))
    << "beyond what clocks differ by";
  EXPECT_EQ(PeerContact::sentAfter(ack(now), milliseconds(10), now), now);
}

/// Guards against an age that an older heartbeat that comes later makes short:
/// the message would count as sent earlier or later than it was.
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
TEST_F(PeerContactTest, ALostConnectionLeavesNoAgeOfAnAcknowledgement)
{
  contact.beatReceived(peer, 8, now);
  contact.lost(peer);
  now += milliseconds(100);
  EXPECT_EQ(contact.acknowledgementAge(peer, now), Duration::zero());
}

TEST_F(PeerContactTest, ADaemonKnowsOfItsOwnCallersAsOfTheTickBeforeTheLast)
{
  tick();
  const TimePoint previous = now;
  now += milliseconds(600);
  contact.tick(now);
  EXPECT_EQ(contact.ownContact(), previous) << "it is behind";
}

} // namespace
} // namespace cowslippin::testing
