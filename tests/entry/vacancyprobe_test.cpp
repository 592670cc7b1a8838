#include "libentry/vacancyprobe.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const ShardId shard(ZoneName("z2"), 0);

LeaseOrderAnswer
idleReport()
{
  return WorkerReport();
}

/// The worker lists a run's end that no holder has acknowledged.
LeaseOrderAnswer
reportOfEnd(std::uint64_t number)
{
  WorkerReport report;
  report.ended.push_back({ number, RunKey("a.0.0.1", 1), RunEnd::Expired });
  return report;
}

class VacancyProbeTest : public ::testing::Test
{
protected:
  VacancyProbeTest()
    : probe({},
            [this](const WorkerRecord&,
                   const LeaseOrder& order,
                   Duration,
                   VacancyProbe::Answer answer) {
              orders.push_back(order);
              answers.push_back(std::move(answer));
            })
  {
    for (const char* id : { "w1", "w2", "w3" }) {
      WorkerRecord::Fields fields;
      fields.id = WorkerId(id);
      workers.emplace_back(fields);
    }
  }

  /// Starts a round 150 ms after the last one and answers its orders.
  void answerRound(const std::vector<LeaseOrderAnswer>& round)
  {
    now += milliseconds(150);
    answers.clear();
    probe.probe(shard, 7, workers, now);
    ASSERT_EQ(answers.size(), round.size());
    for (std::size_t i = 0; i < round.size(); ++i)
      answers[i](round[i]);
  }

  TimePoint now{ std::chrono::seconds(100) };
  std::vector<LeaseOrder> orders;
  std::vector<VacancyProbe::Answer> answers;
  VacancyProbe probe;
  std::vector<WorkerRecord> workers;
};

TEST_F(VacancyProbeTest, AnEndThatStaysListedShowsThatNoHolderUsesTheWorkers)
{
  for (int round = 0; round < 4; ++round) {
    EXPECT_FALSE(probe.isVacant(shard));
    answerRound({ reportOfEnd(5), idleReport(), OrderFailure::Unanswered });
  }
  EXPECT_TRUE(probe.isVacant(shard));
  EXPECT_EQ(orders[0].token, 7u);
  EXPECT_FALSE(orders[0].deadlineMs) << "it must not renew the lease";
  EXPECT_EQ(orders[0].acknowledgedEnd, 0u) << "it must not acknowledge ends";
  probe.dropOthers({});
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, IdleWorkersMayHaveAHolder)
{
  for (int round = 0; round < 9; ++round)
    answerRound({ idleReport(), idleReport(), idleReport() });
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, AcknowledgedEndsShowThatThereIsAHolder)
{
  for (std::uint64_t round = 0; round < 9; ++round)
    answerRound({ reportOfEnd(round), idleReport(), reportOfEnd(round + 100) });
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, AWorkerThatRefusesTheTokenHasANewHolder)
{
  for (int round = 0; round < 9; ++round)
    answerRound({ reportOfEnd(5), OrderFailure::Fenced, idleReport() });
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, UnreachableWorkersShowNothing)
{
  for (int round = 0; round < 5; ++round)
    answerRound({ OrderFailure::Unanswered,
                  OrderFailure::NotSent,
                  OrderFailure::Unanswered });
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, NextRoundWaitsForTheAnswersOfTheLast)
{
  probe.probe(shard, 7, workers, now);
  now += milliseconds(500);
  probe.probe(shard, 7, workers, now);
  EXPECT_EQ(orders.size(), 3u);
}

} // namespace
} // namespace cowslippin::testing
