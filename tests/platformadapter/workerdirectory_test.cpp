#include "platform/workerdirectory.h"

#include <gtest/gtest.h>

#include <string>

namespace cowslippin::testing {
namespace {

using platform::WorkerDirectory;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string
entry(std::int64_t born, const std::string& address = "10.1.0.9:8080")
{
  return R"({"backend":"booking","zone":"z1","state":"ready","address":")" +
         address + R"(","capacity":{"cpu":16000,"mem_mb":1000},"born":)" +
         std::to_string(born) + "}";
}

/// A directory whose store has been within reach for long.
class WorkerDirectoryTest : public ::testing::Test
{
protected:
  WorkerDirectoryTest() { directory.read("w1", entry(5), now); }

  const WorkerRecord& worker() const
  {
    return directory.workers().at(WorkerId("w1"));
  }

  TimePoint now{ seconds(1000) };
  WorkerDirectory directory;
};

TEST_F(WorkerDirectoryTest, TakesTheEntryOfTheNextLife)
{
  directory.read("w1", entry(6, "10.1.0.10:8080"), now);
  EXPECT_EQ(worker().birth(), WorkerBirth(6));
  EXPECT_EQ(worker().address(), Address("10.1.0.10", 8080));
}

TEST_F(WorkerDirectoryTest, IgnoresALateEntryOfAnEarlierLife)
{
  directory.read("w1", entry(4, "10.1.0.10:8080"), now + seconds(1));
  EXPECT_EQ(worker().birth(), WorkerBirth(5));
  EXPECT_EQ(worker().address(), Address("10.1.0.9", 8080));
}

TEST_F(WorkerDirectoryTest, TakesAnEarlierBirthWhenTheOtherLifeHasFallenSilent)
{
  for (int i = 0; i < 5; ++i)
    directory.read("w1", entry(4), now + milliseconds(1500 * i));
  EXPECT_EQ(worker().birth(), WorkerBirth(4))
    << "its clock of day was set back";
}

TEST_F(WorkerDirectoryTest, AnEntryThatIsRemovedNamesNoWorker)
{
  directory.read("w1", "", now);
  EXPECT_TRUE(directory.workers().empty());
}

TEST_F(WorkerDirectoryTest, KeepsWorkersThatLapsedWhileTheStoreWasAway)
{
  directory.read("w2", entry(5), now);
  directory.storeReached(now);
  directory.readAll({}, now + milliseconds(10));
  EXPECT_EQ(directory.workers().size(), 2u);
  directory.read("w1", entry(5), now + seconds(2));
  directory.takeChange();
  directory.tick(now + milliseconds(2400));
  EXPECT_FALSE(directory.takeChange());
  directory.tick(now + milliseconds(2600));
  EXPECT_TRUE(directory.takeChange());
  ASSERT_EQ(directory.workers().size(), 1u);
  EXPECT_EQ(worker().id(), WorkerId("w1"));
}

/// Three thousand workers renew their entries every second and a half.
TEST_F(WorkerDirectoryTest, ARenewalIsNoChange)
{
  const auto renewed = [](int sequence, const std::string& state) {
    std::string text = entry(5);
    text.insert(1,
                "\"seq\":" + std::to_string(sequence) + ",\"labels\":[\"" +
                  state + "\"],");
    return text;
  };
  directory.read("w1", renewed(9, "a"), now);
  EXPECT_TRUE(directory.takeChange());
  EXPECT_FALSE(directory.takeChange());
  for (int sequence = 10; sequence < 13; ++sequence)
    directory.read("w1", renewed(sequence, "a"), now);
  EXPECT_FALSE(directory.takeChange());
  directory.read("w1", renewed(13, "b"), now);
  EXPECT_TRUE(directory.takeChange());
  EXPECT_TRUE(worker().hasLabel("b"));
  directory.read("w1", "", now);
  EXPECT_TRUE(directory.takeChange());
}

TEST_F(WorkerDirectoryTest, ARenewalKeepsALifeFromBeingTakenForAnEarlierOne)
{
  for (int i = 1; i < 8; ++i)
    directory.read("w1", entry(5), now + seconds(i));
  directory.read("w1", entry(4), now + seconds(8));
  EXPECT_EQ(worker().birth(), WorkerBirth(5));
}

TEST_F(WorkerDirectoryTest, NewsAreWhatHasChanged)
{
  directory.takeNews();
  directory.read("w1", entry(5), now);
  EXPECT_TRUE(directory.takeNews().empty()) << "a renewal";
  directory.read("w1", entry(6), now);
  directory.read("w2", entry(1), now);
  directory.read("w2", "", now);
  const std::map<std::string, std::string> news = { { "w1", entry(6) },
                                                    { "w2", "" } };
  EXPECT_EQ(directory.takeNews(), news);
  EXPECT_TRUE(directory.takeNews().empty());
}

TEST_F(WorkerDirectoryTest, WhileAnotherReadsALifeThatItTellsNothingOfGoesOn)
{
  directory.relayed(now + seconds(9));
  directory.read("w1", entry(4), now + seconds(10));
  EXPECT_EQ(worker().birth(), WorkerBirth(5));
}

TEST_F(WorkerDirectoryTest, AForeignEntryNamesNoWorkerAndHarmsNoOther)
{
  directory.read("w2", entry(5), now);
  directory.read("w2", R"({"born":"yesterday"})", now);
  directory.read("w3", "no JSON", now);
  EXPECT_EQ(directory.workers().size(), 1u);
  EXPECT_EQ(worker().birth(), WorkerBirth(5));
}

} // namespace
} // namespace cowslippin::testing
