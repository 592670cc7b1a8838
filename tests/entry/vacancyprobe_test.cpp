#include "libentry/vacancyprobe.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::milliseconds;

const ShardId shard(ZoneName("z2"), 0);

HoldAnswer
idle()
{
  return HoldReport();
}

/// The worker lists an end that nobody has taken note of.
HoldAnswer
listing(std::uint64_t number)
{
  HoldReport report;
  report.ended.push_back({ number, RunKey("a.0.0.1", 1), RunEnd::Lapsed });
  return report;
}

class VacancyProbeTest : public ::testing::Test
{
protected:
  VacancyProbeTest()
    : probe({},
            [this](const WorkerRecord&,
                   const HoldOrder& order,
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

  void play(const std::vector<HoldAnswer>& round)
  {
    now += milliseconds(150);
    answers.clear();
    probe.probe(shard, 7, workers, now);
    ASSERT_EQ(answers.size(), round.size());
    for (std::size_t i = 0; i < round.size(); ++i)
      answers[i](round[i]);
  }

  TimePoint now{ std::chrono::seconds(100) };
  std::vector<HoldOrder> orders;
  std::vector<VacancyProbe::Answer> answers;
  VacancyProbe probe;
  std::vector<WorkerRecord> workers;
};

TEST_F(VacancyProbeTest, AnEndThatStaysListedHasNobodyWhoWaitsForIt)
{
  for (int round = 0; round < 4; ++round) {
    EXPECT_FALSE(probe.isVacant(shard));
    play({ listing(5), idle(), OrderFailure::Unanswered });
  }
  EXPECT_TRUE(probe.isVacant(shard));
  EXPECT_EQ(orders[0].token, 7u);
  EXPECT_FALSE(orders[0].deadlineMs) << "it must not renew the lease";
  EXPECT_EQ(orders[0].acknowledged, 0u) << "it must not take note of ends";
  probe.keepOnly({});
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, WorkersThatAreIdleMayHaveAHolder)
{
  for (int round = 0; round < 9; ++round)
    play({ idle(), idle(), idle() });
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, EndsThatAreTakenNoteOfHaveAHolder)
{
  for (std::uint64_t round = 0; round < 9; ++round)
    play({ listing(round), idle(), listing(round + 100) });
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, AWorkerThatRefusesTheTokenHasBeenTaken)
{
  for (int round = 0; round < 9; ++round)
    play({ listing(5), OrderFailure::Fenced, idle() });
  EXPECT_FALSE(probe.isVacant(shard));
}

TEST_F(VacancyProbeTest, WorkersThatCannotBeReachedShowNothing)
{
  for (int round = 0; round < 5; ++round)
    play({ OrderFailure::Unanswered,
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
