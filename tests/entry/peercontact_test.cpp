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
  contact.beatReceived(peer, 7);
  EXPECT_FALSE(contact.takeDue(peer, now));
  tick();
  EXPECT_FALSE(contact.takeDue(peer, now));
  tick();
  contact.beatReceived(peer, 8);
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
    contact.beatReceived(peer, i);
    tick();
    acknowledged += contact.takeDue(peer, now) ? 1 : 0;
  }
  EXPECT_LE(acknowledged, 9u) << "in a second";
  EXPECT_GE(acknowledged, 7u);
}

TEST_F(PeerContactTest, WhatWasToldOverALostConnectionNoLongerCounts)
{
  contact.acknowledged(peer, ack(now), now);
  contact.beatReceived(peer, 7);
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
