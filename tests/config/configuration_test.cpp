#include "configbuilder.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cowslippin {
namespace {

/// Offers a record at every configuration and expects its outcome.
struct Step
{
  Offset at;
  ConfigRecord record;
  ApplyOutcome outcome;
  Offset revision;
};

Configuration
expectSteps(Configuration configuration, const std::vector<Step>& steps)
{
  for (const Step& step : steps) {
    const ApplyResult result = configuration.apply(step.at, step.record);
    EXPECT_EQ(result.outcome(), step.outcome) << "at " << step.at;
    EXPECT_EQ(result.revision(), step.revision) << "at " << step.at;
    EXPECT_GE(result.next().offset(), configuration.offset());
    configuration = result.next();
  }
  return configuration;
}

TEST(ConfigurationTest, RacingOperatorsGetOneWinnerAndConflicts)
{
  const Configuration end =
    expectSteps(Configuration(),
                { { 1,
                    makeRecord("a", 0, makeTemplate("t", 1)),
                    ApplyOutcome::Accepted,
                    1 },
                  { 2,
                    makeRecord("b", 0, makeTemplate("t", 2)),
                    ApplyOutcome::Conflict,
                    1 },
                  { 3,
                    makeRecord("c", 1, makeTemplate("t", 3)),
                    ApplyOutcome::Accepted,
                    3 },
                  { 4,
                    makeRecord("d", 1, makeTemplate("t", 4)),
                    ApplyOutcome::Conflict,
                    3 },
                  { 5,
                    makeRecord("e", 9, makeTemplate("u", 5)),
                    ApplyOutcome::Conflict,
                    0 },
                  { 6,
                    makeRecord("f", 0, makeOrganisation("t")),
                    ApplyOutcome::Accepted,
                    6 } });
  EXPECT_EQ(end.offset(), 6U);
  EXPECT_EQ(*end.findTemplate(TemplateName("t")),
            makeTemplate("t", 3).withRevision(3));
  EXPECT_EQ(end.findTemplate(TemplateName("u")), nullptr);
  EXPECT_EQ(end.findOrganisation(OrganisationName("t"))->revision(), 6U);
}

TEST(ConfigurationTest, RecordAppendedAgainIsNoConflictAndChangesNothing)
{
  const ConfigRecord first = makeRecord("a", 0, makeTemplate("t", 1));
  const Configuration end =
    expectSteps(Configuration(),
                { { 1, first, ApplyOutcome::Accepted, 1 },
                  { 2, first, ApplyOutcome::Duplicate, 1 },
                  { 3,
                    makeRecord("b", 1, makeTemplate("t", 2)),
                    ApplyOutcome::Accepted,
                    3 },
                  { 4, first, ApplyOutcome::Duplicate, 1 },
                  { 3, first, ApplyOutcome::Ignored, 0 } });
  EXPECT_EQ(end.findTemplate(TemplateName("t"))->revision(), 3U);
}

TEST(ConfigurationTest, ForgottenRecordIsAConflictAndChangesNothing)
{
  const ConfigRecord first = makeRecord("a", 0, makeTemplate("t", 1));
  Configuration configuration = Configuration().apply(1, first).next();
  const std::size_t later = Configuration::maxRememberedRecords;
  for (Offset at = 2; at <= later + 1; ++at) {
    const std::string name = "u" + std::to_string(at);
    EXPECT_TRUE(configuration.revisionOf(RecordId("a")));
    configuration =
      configuration.apply(at, makeRecord(name, 0, makeTemplate(name))).next();
  }
  EXPECT_FALSE(configuration.revisionOf(RecordId("a")));
  EXPECT_EQ(configuration.acceptedRecords().size(), later);
  const Configuration end = expectSteps(
    configuration, { { later + 2, first, ApplyOutcome::Conflict, 1 } });
  EXPECT_EQ(end.templates(), configuration.templates());
}

struct SnapshotCase
{
  const char* description;
  Offset takenAt;
  Offset readAt;
  Offset readerAt;
  Offset offsetAfter;
  ApplyOutcome outcome;
  bool needsSnapshot;
};

const SnapshotCase snapshotCases[] = {
  { "next record, nothing missing", 4, 5, 4, 5, ApplyOutcome::Ignored, false },
  { "closes a gap", 4, 5, 2, 5, ApplyOutcome::Adopted, false },
  { "closes a gap at the start", 4, 5, 0, 5, ApplyOutcome::Adopted, false },
  { "lost a race, gap", 4, 6, 2, 2, ApplyOutcome::Ignored, true },
  { "lost a race, next record", 3, 5, 4, 5, ApplyOutcome::Ignored, false },
  { "claims the future", 4, 4, 2, 2, ApplyOutcome::Ignored, true },
  { "already read", 2, 3, 4, 4, ApplyOutcome::Ignored, false },
};

/// Folded from records that name themselves after their offsets.
Configuration
folded(Offset end)
{
  Configuration configuration;
  for (Offset at = 1; at <= end; ++at) {
    const std::string name = "t" + std::to_string(at);
    configuration =
      configuration.apply(at, makeRecord(name, 0, makeTemplate(name))).next();
  }
  return configuration;
}

TEST(ConfigurationTest, SnapshotCountsOnlyRightBehindItsLastRecord)
{
  for (const SnapshotCase& c : snapshotCases) {
    const Configuration before = folded(c.readerAt);
    const ApplyResult result =
      before.apply(c.readAt, makeSnapshot("s", folded(c.takenAt)));
    EXPECT_EQ(result.outcome(), c.outcome) << c.description;
    EXPECT_EQ(result.next().offset(), c.offsetAfter) << c.description;
    EXPECT_EQ(result.next().needsSnapshot(), c.needsSnapshot) << c.description;
    EXPECT_FALSE(result.problem()) << c.description;
    const Configuration& source =
      c.outcome == ApplyOutcome::Adopted ? folded(c.takenAt) : before;
    EXPECT_EQ(result.next().templates().size(), source.templates().size())
      << c.description;
  }
}

TEST(ConfigurationTest, ReportsASnapshotThatDiffers)
{
  Configuration other = folded(3);
  other = other.apply(4, makeRecord("x", 0, makeTemplate("x"))).next();
  const ApplyResult result = folded(4).apply(5, makeSnapshot("s", other));
  EXPECT_EQ(result.outcome(), ApplyOutcome::Ignored);
  EXPECT_TRUE(result.problem());
  EXPECT_EQ(result.next().findTemplate(TemplateName("x")), nullptr);
}

TEST(ConfigurationTest, KeepsServingTheOldConfigurationAcrossAGap)
{
  const Configuration before = folded(3);
  const Configuration gap = before.skippedTo(7);
  EXPECT_TRUE(gap.needsSnapshot());
  EXPECT_EQ(gap, before);
  const ApplyResult early = gap.apply(7, makeRecord("x", 0, makeTemplate("x")));
  EXPECT_EQ(early.outcome(), ApplyOutcome::Ignored);
  EXPECT_EQ(early.next(), before);
  const Configuration behind = early.next().newest(folded(5));
  EXPECT_EQ(behind, folded(5));
  EXPECT_TRUE(behind.needsSnapshot());
  const Configuration whole = behind.newest(folded(6));
  EXPECT_EQ(whole, folded(6));
  EXPECT_FALSE(whole.needsSnapshot());
  EXPECT_EQ(whole.newest(folded(5)), folded(6));
}

TEST(ConfigurationTest, StreamReadFromItsStartNeedsNoSnapshot)
{
  EXPECT_FALSE(Configuration().skippedTo(1).needsSnapshot());
  EXPECT_TRUE(Configuration().skippedTo(2).needsSnapshot());
}

TEST(ConfigurationTest, PassesOverUnreadableRecords)
{
  const ApplyResult next = folded(2).applyText(3, "not a record");
  EXPECT_EQ(next.outcome(), ApplyOutcome::Ignored);
  EXPECT_EQ(next.next().offset(), 3U);
  EXPECT_TRUE(next.problem());
  const ApplyResult early = folded(2).applyText(9, "not a record");
  EXPECT_EQ(early.next().offset(), 2U);
  EXPECT_TRUE(early.next().needsSnapshot());
  EXPECT_EQ(folded(2).applyText(1, "not a record").next(), folded(2));
}

TEST(ConfigurationTest, SharesWhatDidNotChange)
{
  const Configuration before = folded(3);
  const Configuration after =
    before.apply(4, makeRecord("o", 0, makeOrganisation("o"))).next();
  EXPECT_EQ(&after.templates(), &before.templates());
  EXPECT_EQ(before.findOrganisation(OrganisationName("o")), nullptr);
}

TEST(ConfigurationTest, ConflictTellsBothRevisions)
{
  const Problem problem = revisionConflict("t", 3, 8);
  EXPECT_EQ(problem.kind(), ProblemKind::RevisionConflict);
  EXPECT_EQ(problem.ran(), RunState::NotRun);
  EXPECT_EQ(problem.value(), "3");
  EXPECT_EQ(problem.allowed(), "8");
}

} // namespace
} // namespace cowslippin
