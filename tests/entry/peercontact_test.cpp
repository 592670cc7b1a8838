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

  TimePoint now{ std::chrono::seconds(1000) };
  PeerContact contact{ now };
};

TEST_F(PeerContactTest,
       CountsFromWhenTheHeartbeatWasSentNotFromWhenItsAnswerIsRead)
{
  const TimePoint sent = now;
  now += milliseconds(900);
  contact.acknowledged(peer, PeerContact::stamp(sent), now);
  EXPECT_EQ(contact.lastContact(peer), sent);
}

TEST_F(PeerContactTest, AnOlderAcknowledgementThatComesLaterChangesNothing)
{
  const TimePoint older = now;
  now += milliseconds(100);
  contact.acknowledged(peer, PeerContact::stamp(now), now);
  contact.acknowledged(peer, PeerContact::stamp(older), now);
  EXPECT_EQ(contact.lastContact(peer), now);
}

TEST_F(PeerContactTest, AHeartbeatIsAcknowledgedAfterAWholeRoundOfTheEventLoop)
{
  contact.beatReceived(peer, 7);
  EXPECT_FALSE(contact.takeDue(peer, now));
  tick();
  EXPECT_FALSE(contact.takeDue(peer, now));
  tick();
  EXPECT_EQ(contact.takeDue(peer, now), 7);
  EXPECT_EQ(contact.acknowledgement(peer), 7);
  EXPECT_FALSE(contact.takeDue(peer, now)) << "once each";
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
  contact.acknowledged(peer, PeerContact::stamp(now), now);
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
  contact.acknowledged(peer, PeerContact::stamp(later), now);
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
