#include "libclaims/claims.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

using std::chrono::seconds;

const SubmissionKey key(std::string(32, 'a'));
const SubmissionKey otherKey(std::string(32, 'b'));
const SubmissionKey thirdKey(std::string(32, 'c'));

SubmissionKey
numberedKey(char digit)
{
  return SubmissionKey(std::string(31, '0') + digit);
}

/// Daemons a, b and c over one stream, on a virtual clock.
class ClaimTableTest : public testing::Test
{
protected:
  struct Daemon
  {
    explicit Daemon(const char* name, ClaimLimits limits = {})
      : name(name)
      , table(this->name, limits)
    {
      table.caughtUp(TimePoint());
    }

    Incarnation name;
    ClaimTable table;
    Offset readUpTo = 0;
  };

  /// The batch enters the log.
  Offset land(const ClaimBatch& batch)
  {
    m_log.push_back(encode(batch));
    return m_log.size();
  }

  ClaimBatch take(Daemon& daemon)
  {
    return daemon.table.takeBatch(m_now).value();
  }

  /// The daemon appends what it has queued.
  Offset append(Daemon& daemon, AppendEnd end = AppendEnd::Appended)
  {
    const ClaimBatch batch = take(daemon);
    const Offset offset = land(batch);
    daemon.table.appendEnded(batch.batchNumber(), end, m_now);
    return offset;
  }

  /// The daemon reads to the end of the log.
  std::vector<ClaimEvent> read(Daemon& daemon)
  {
    std::vector<ClaimEvent> all;
    while (daemon.readUpTo < m_log.size()) {
      const std::string& text = m_log[daemon.readUpTo++];
      const auto events = daemon.table.recordRead(daemon.readUpTo, text, m_now);
      all.insert(all.end(), events.begin(), events.end());
    }
    return all;
  }

  ClaimDecision submit(Daemon& daemon, const SubmissionKey& k = key)
  {
    return daemon.table.submit(k, m_now);
  }

  StartPermit start(Daemon& daemon, const SubmissionKey& k = key)
  {
    return daemon.table.start(k, m_now);
  }

  static ProblemKind refusal(const ClaimDecision& decision)
  {
    return std::get<ClaimRefused>(decision).problem.kind();
  }

  /// The daemon owns the key and declined it; everyone has read that.
  Offset declinedClaim(Daemon& daemon)
  {
    submit(daemon);
    const Offset claim = append(daemon);
    readAll();
    EXPECT_TRUE(daemon.table.giveUp(key));
    return claim;
  }

  void readAll()
  {
    read(a);
    read(b);
    read(c);
  }

  TimePoint m_now{};
  std::vector<std::string> m_log;
  Daemon a{ "a" };
  Daemon b{ "b" };
  Daemon c{ "c" };
};

TEST_F(ClaimTableTest, AWinnerStartsOnce)
{
  EXPECT_EQ(submit(a), ClaimDecision(ClaimQueued{}));
  EXPECT_EQ(submit(a), ClaimDecision(ClaimPending{}));
  append(a);
  EXPECT_EQ(start(a), StartPermit::NotOwned) << "acknowledged, but not read";
  EXPECT_EQ(read(a), std::vector<ClaimEvent>{ (ClaimWon{ key, 1 }) });
  EXPECT_EQ(submit(a), ClaimDecision(OwnedHere{ 1 }));
  EXPECT_TRUE(a.table.mayStart(key, m_now));
  EXPECT_EQ(start(a), StartPermit::Granted);
  EXPECT_EQ(start(a), StartPermit::AlreadyStarted);
  EXPECT_FALSE(a.table.giveUp(key));
  EXPECT_EQ(a.table.ask(key, 1), AskReply::Held);
  EXPECT_EQ(submit(a), ClaimDecision(OwnedHere{ 1 }));
}

TEST_F(ClaimTableTest, ALostAcknowledgementIsSettledByReading)
{
  for (const AppendEnd end : { AppendEnd::Unknown, AppendEnd::NotAppended }) {
    Daemon daemon("d");
    read(daemon);
    const SubmissionKey k = end == AppendEnd::Unknown ? key : otherKey;
    submit(daemon, k);
    const Offset first = append(daemon, end);
    append(daemon);
    EXPECT_EQ(read(daemon), std::vector<ClaimEvent>{ (ClaimWon{ k, first }) });
    EXPECT_EQ(start(daemon, k), StartPermit::Granted);
  }
}

TEST_F(ClaimTableTest, OneBatchIsInFlightAtATime)
{
  submit(a);
  const ClaimBatch batch = take(a);
  submit(a, otherKey);
  EXPECT_FALSE(a.table.takeBatch(m_now));
  a.table.appendEnded(batch.batchNumber(), AppendEnd::Appended, m_now);
  EXPECT_EQ(take(a).entries().size(), 1U);
}

TEST_F(ClaimTableTest, OfTwoDaemonsTheFirstInTheLogWins)
{
  submit(a);
  submit(b);
  append(b);
  append(a);
  EXPECT_EQ(read(a), std::vector<ClaimEvent>{ (ClaimLost{ key, b.name, 1 }) });
  EXPECT_EQ(read(b), std::vector<ClaimEvent>{ (ClaimWon{ key, 1 }) });
  EXPECT_EQ(submit(a), ClaimDecision(OwnedElsewhere{ b.name, 1 }));
  EXPECT_EQ(submit(c), ClaimDecision(ClaimQueued{})) << "c has not read it";
  append(c);
  EXPECT_EQ(read(c), std::vector<ClaimEvent>{ (ClaimLost{ key, b.name, 1 }) });
  EXPECT_EQ(start(a), StartPermit::NotOwned);
  EXPECT_EQ(start(c), StartPermit::NotOwned);
}

TEST_F(ClaimTableTest, WhatWasNeverSentIsGivenUpWithoutATrace)
{
  submit(a);
  EXPECT_TRUE(a.table.giveUp(key));
  EXPECT_FALSE(a.table.takeBatch(m_now));
  EXPECT_EQ(submit(a), ClaimDecision(ClaimQueued{}));
}

TEST_F(ClaimTableTest, AClaimThatLandsAfterTheGiveUpIsDeclined)
{
  submit(a);
  const ClaimBatch late = take(a);
  a.table.appendEnded(late.batchNumber(), AppendEnd::Unknown, m_now);
  EXPECT_TRUE(a.table.giveUp(key));
  land(late);
  EXPECT_EQ(a.table.ask(key, 1), AskReply::Unknown) << "not read yet";
  EXPECT_TRUE(read(a).empty());
  EXPECT_EQ(start(a), StartPermit::NotOwned);
  EXPECT_EQ(a.table.ask(key, 1), AskReply::Declined);
  EXPECT_FALSE(a.table.giveUp(key)) << "nothing is left to give up";

  EXPECT_EQ(submit(a), ClaimDecision(ClaimQueued{}));
  EXPECT_EQ(take(a).entries().front().supersedes, std::optional<Offset>(1));
}

TEST_F(ClaimTableTest, ALateClaimDoesNotStartALaterSubmission)
{
  submit(a);
  const ClaimBatch late = take(a);
  a.table.appendEnded(late.batchNumber(), AppendEnd::Unknown, m_now);
  EXPECT_TRUE(a.table.giveUp(key));
  submit(a);
  const ClaimBatch second = take(a);
  a.table.appendEnded(second.batchNumber(), AppendEnd::Appended, m_now);
  land(late);
  land(second);
  EXPECT_TRUE(read(a).empty());
  EXPECT_EQ(a.table.ask(key, 1), AskReply::Declined);
  const Offset third = append(a);
  EXPECT_EQ(read(a), std::vector<ClaimEvent>{ (ClaimWon{ key, third }) });
}

TEST_F(ClaimTableTest, OfTwoSupersedesTheFirstWins)
{
  const Offset claim = declinedClaim(a);
  EXPECT_EQ(a.table.ask(key, claim), AskReply::Declined);
  EXPECT_EQ(b.table.ownerDeclined(key, a.name, claim, m_now),
            ClaimDecision(ClaimQueued{}));
  EXPECT_EQ(c.table.ownerDeclined(key, a.name, claim, m_now),
            ClaimDecision(ClaimQueued{}));
  EXPECT_EQ(submit(a), ClaimDecision(ClaimQueued{}));
  append(c);
  append(b);
  append(a);
  EXPECT_EQ(read(c), std::vector<ClaimEvent>{ (ClaimWon{ key, 2 }) });
  const std::vector<ClaimEvent> lost{ ClaimLost{ key, c.name, 2 } };
  EXPECT_EQ(read(b), lost);
  EXPECT_EQ(read(a), lost);
  EXPECT_EQ(start(a), StartPermit::NotOwned);
  EXPECT_EQ(start(b), StartPermit::NotOwned);
  EXPECT_EQ(start(c), StartPermit::Granted);
  EXPECT_EQ(a.table.ask(key, claim), AskReply::Unknown) << "replaced";
}

TEST_F(ClaimTableTest, ADeclineOfAnotherClaimQueuesNothing)
{
  const Offset claim = declinedClaim(a);
  for (const auto& [owner, offset] :
       { std::pair(b.name, claim), std::pair(a.name, claim + 1) }) {
    EXPECT_EQ(c.table.ownerDeclined(key, owner, offset, m_now),
              ClaimDecision(OwnedElsewhere{ a.name, claim }));
  }
  EXPECT_FALSE(c.table.takeBatch(m_now));
}

TEST_F(ClaimTableTest, AClaimOfACrashedDaemonIsNeverStartedByAnother)
{
  submit(a);
  append(a);
  Daemon restarted("a2");
  read(restarted);
  read(b);
  const ClaimDecision owned = OwnedElsewhere{ a.name, 1 };
  EXPECT_EQ(submit(restarted), owned);
  EXPECT_EQ(submit(b), owned);
  EXPECT_EQ(restarted.table.ask(key, 1), AskReply::Unknown);
}

TEST_F(ClaimTableTest, NothingIsClaimedBeforeTheStreamWasRead)
{
  ClaimTable table(Incarnation("d"), {});
  const Problem problem =
    std::get<ClaimRefused>(table.submit(key, m_now)).problem;
  EXPECT_EQ(problem.kind(), ProblemKind::NotCaughtUp);
  EXPECT_EQ(problem.ran(), RunState::NotRun);
  EXPECT_TRUE(problem.retryAfter());
  table.caughtUp(m_now);
  EXPECT_EQ(table.submit(key, m_now), ClaimDecision(ClaimQueued{}));
}

TEST_F(ClaimTableTest, AKeyOfAnotherFormIsRefused)
{
  EXPECT_EQ(refusal(submit(a, SubmissionKey("k"))), ProblemKind::InvalidField);
}

TEST_F(ClaimTableTest, OfTwoBatchesInOneRecordTheFirstLineWins)
{
  Daemon a("a");
  Daemon b("b");
  submit(a);
  submit(b);
  submit(b, otherKey);
  m_log.push_back(encode(take(b)) + "\nnot a batch\n" + encode(take(a)) + "\n");
  EXPECT_EQ(read(a),
            (std::vector<ClaimEvent>{ ClaimLost{ key, Incarnation("b"), 1 } }));
  EXPECT_EQ(
    read(b),
    (std::vector<ClaimEvent>{ ClaimWon{ key, 1 }, ClaimWon{ otherKey, 1 } }));
  EXPECT_EQ(a.table.stats(m_now).unreadable, 1U);
}

TEST_F(ClaimTableTest, ReadingABatchBackEndsItsFlight)
{
  Daemon a("a");
  submit(a);
  land(take(a));
  EXPECT_TRUE(a.table.isInFlight());
  read(a);
  EXPECT_FALSE(a.table.isInFlight());
}

TEST_F(ClaimTableTest, AnUnreadableRecordClaimsNothing)
{
  m_log.emplace_back("rubbish");
  submit(a);
  append(a);
  EXPECT_EQ(read(a), std::vector<ClaimEvent>{ (ClaimWon{ key, 2 }) });
  EXPECT_EQ(a.table.stats(m_now).unreadable, 1U);
  EXPECT_EQ(a.table.stats(m_now).gaps, 0U);
}

TEST_F(ClaimTableTest, ARecordReadTwiceCountsOnce)
{
  submit(a);
  append(a);
  read(a);
  EXPECT_TRUE(a.table.recordRead(1, m_log[0], m_now).empty());
}

TEST_F(ClaimTableTest, AfterAGapNothingIsClaimedForAWindow)
{
  const ClaimLimits limits;
  submit(a);
  submit(a, otherKey);
  append(a);
  read(a);
  EXPECT_TRUE(a.table.giveUp(otherKey));
  submit(b, thirdKey);
  append(b);
  read(a);
  submit(a, numberedKey('1'));
  append(a, AppendEnd::Unknown);

  const auto events = a.table.skippedTo(10, m_now);
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(std::get<ClaimDropped>(events[0]).problem.ran(),
            RunState::MayHaveRun);
  EXPECT_EQ(a.table.ask(numberedKey('1'), 3), AskReply::Declined) << "unread";
  EXPECT_EQ(a.table.ask(numberedKey('1'), 10), AskReply::Unknown);
  EXPECT_EQ(start(a), StartPermit::Granted) << "held before the gap";
  EXPECT_EQ(refusal(submit(a, otherKey)), ProblemKind::OutcomeUnknown)
    << "its declined claim may have a successor";
  EXPECT_EQ(refusal(submit(a, numberedKey('2'))), ProblemKind::OutcomeUnknown);
  EXPECT_EQ(refusal(a.table.ownerDeclined(thirdKey, b.name, 2, m_now)),
            ProblemKind::OutcomeUnknown);

  m_now += limits.window;
  EXPECT_EQ(refusal(submit(a, numberedKey('2'))), ProblemKind::OutcomeUnknown);
  m_now += seconds(1);
  a.table.expire(m_now);
  EXPECT_EQ(submit(a, numberedKey('2')), ClaimDecision(ClaimQueued{}));
}

TEST_F(ClaimTableTest, AnOwnerReadInDoubtIsNotSuperseded)
{
  const ClaimLimits limits;
  m_log.resize(9);
  a.table.skippedTo(10, m_now);
  a.readUpTo = 9;
  m_now += limits.window;
  submit(b);
  append(b);
  read(a);
  m_now += seconds(1);
  EXPECT_FALSE(a.table.isInDoubt(m_now));
  EXPECT_EQ(submit(a), ClaimDecision(OwnedElsewhere{ b.name, 10 }));
  EXPECT_EQ(refusal(a.table.ownerDeclined(key, b.name, 10, m_now)),
            ProblemKind::OutcomeUnknown);

  // A claim that seems to lose may be the owner's: it counts from its reading.
  submit(c);
  append(c);
  read(a);
  m_now += limits.window;
  m_now -= seconds(1);
  a.table.expire(m_now);
  EXPECT_EQ(submit(a), ClaimDecision(OwnedElsewhere{ b.name, 10 }));
  EXPECT_EQ(refusal(a.table.ownerDeclined(key, b.name, 10, m_now)),
            ProblemKind::OutcomeUnknown);
}

TEST_F(ClaimTableTest, ALeftOutOffsetIsAGap)
{
  submit(b);
  a.table.recordRead(7, encode(take(b)), m_now);
  EXPECT_TRUE(a.table.isInDoubt(m_now));
}

TEST_F(ClaimTableTest, AStartAfterDroppedRecordsNeedsTheirRetention)
{
  ClaimLimits limits;
  for (const bool isCovered : { true, false }) {
    limits.retention = isCovered ? limits.window : limits.window - seconds(1);
    ClaimTable table(Incarnation("d"), limits);
    table.skippedTo(10, m_now);
    table.caughtUp(m_now);
    EXPECT_EQ(table.isInDoubt(m_now), !isCovered);
  }
}

TEST_F(ClaimTableTest, AClaimIsForgottenAWindowAfterItsReading)
{
  const ClaimLimits limits;
  submit(a);
  append(a);
  m_now += seconds(5);
  readAll();
  EXPECT_EQ(start(a), StartPermit::Granted);
  m_now += limits.window - seconds(1);
  a.table.expire(m_now);
  EXPECT_EQ(submit(a), ClaimDecision(OwnedHere{ 1 }));
  m_now += seconds(1);
  a.table.expire(m_now);
  EXPECT_EQ(a.table.stats(m_now).remembered, 0U);
  EXPECT_EQ(submit(a), ClaimDecision(ClaimQueued{}));
}

TEST_F(ClaimTableTest, WhoeverStillRemembersAForgottenOwnerFollows)
{
  const ClaimLimits limits;
  declinedClaim(a);
  m_now += limits.window;
  b.table.expire(m_now);
  EXPECT_EQ(submit(b), ClaimDecision(ClaimQueued{}));
  EXPECT_EQ(c.table.ownerDeclined(key, a.name, 1, m_now),
            ClaimDecision(ClaimQueued{}));
  append(b);
  append(c);
  EXPECT_EQ(read(b), std::vector<ClaimEvent>{ (ClaimWon{ key, 2 }) });
  EXPECT_EQ(read(c), std::vector<ClaimEvent>{ (ClaimLost{ key, b.name, 2 }) });
}

TEST_F(ClaimTableTest, AClaimOlderThanAForgottenOneIsUncertain)
{
  const ClaimLimits limits;
  submit(a);
  const ClaimBatch first = take(a);
  a.table.appendEnded(first.batchNumber(), AppendEnd::Unknown, m_now);
  const ClaimBatch second = take(a);
  a.table.appendEnded(second.batchNumber(), AppendEnd::Unknown, m_now);
  land(first);
  read(a);
  EXPECT_TRUE(a.table.giveUp(key));
  m_now += seconds(5);
  read(b);

  m_now += limits.window - seconds(5);
  submit(a);
  a.table.expire(m_now);
  land(second);
  const auto events = read(a);
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(std::get<ClaimDropped>(events[0]).problem.ran(),
            RunState::MayHaveRun);
  EXPECT_EQ(refusal(submit(a)), ProblemKind::OutcomeUnknown);
  EXPECT_FALSE(a.table.takeBatch(m_now));

  EXPECT_EQ(b.table.ownerDeclined(key, a.name, 1, m_now),
            ClaimDecision(ClaimQueued{}));
  append(b);
  EXPECT_EQ(read(b), std::vector<ClaimEvent>{ (ClaimWon{ key, 3 }) });
}

TEST_F(ClaimTableTest, NothingStartsAWindowAfterItsSubmission)
{
  const ClaimLimits limits;
  submit(a);
  submit(a, otherKey);
  append(a);
  read(a);
  submit(a, thirdKey);
  const Offset late = append(a, AppendEnd::Unknown);
  m_now += limits.window;
  EXPECT_FALSE(a.table.mayStart(key, m_now));
  EXPECT_EQ(start(a), StartPermit::Expired);
  read(a);
  EXPECT_EQ(a.table.ask(thirdKey, late), AskReply::Declined);
  const auto events = a.table.expire(m_now);
  ASSERT_EQ(events.size(), 2U);
  for (const ClaimEvent& event : events) {
    EXPECT_EQ(std::get<ClaimDropped>(event).problem.ran(), RunState::NotRun);
  }
}

TEST_F(ClaimTableTest, AFullTableRefusesAndForgetsNothing)
{
  ClaimLimits limits;
  limits.maxEntries = 4;
  Daemon small("d", limits);
  for (const char digit : { '0', '1', '2', '3' }) {
    EXPECT_EQ(submit(small, numberedKey(digit)), ClaimDecision(ClaimQueued{}));
  }
  const Problem problem = std::get<ClaimRefused>(submit(small)).problem;
  EXPECT_EQ(problem.kind(), ProblemKind::Overloaded);
  EXPECT_EQ(problem.ran(), RunState::NotRun);
  append(small);
  read(small);
  m_now += seconds(1);
  EXPECT_EQ(std::get<ClaimRefused>(submit(small)).problem.retryAfter(),
            std::optional<Duration>(limits.window - seconds(1)));
  EXPECT_EQ(submit(small, numberedKey('0')), ClaimDecision(OwnedHere{ 1 }));

  submit(b, key);
  append(b);
  read(small);
  EXPECT_EQ(submit(small), ClaimDecision(OwnedElsewhere{ b.name, 2 }));
  submit(c, otherKey);
  append(c);
  read(small);
  EXPECT_TRUE(small.table.isInDoubt(m_now)) << "a claim found no room";
  EXPECT_EQ(small.table.stats(m_now).remembered, 5U);
}

TEST_F(ClaimTableTest, ABatchIsBounded)
{
  ClaimLimits limits;
  limits.maxBatchEntries = 2;
  Daemon daemon("d", limits);
  for (const char digit : { '0', '1', '2' }) {
    submit(daemon, numberedKey(digit));
  }
  append(daemon);
  append(daemon);
  EXPECT_EQ(read(daemon).size(), 3U);
  EXPECT_FALSE(daemon.table.takeBatch(m_now));
}

} // namespace
} // namespace cowslippin
