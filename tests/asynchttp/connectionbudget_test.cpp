#include "libasynchttp/asynchttp.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using std::chrono::seconds;

const TimePoint start{};

/// Connections that share a budget of 100 bytes.
class ConnectionBudgetTest : public ::testing::Test
{
protected:
  struct Connection
  {
    explicit Connection(const std::shared_ptr<ConnectionBudget>& budget)
      : share(budget, [this] {
        isClosed = true;
        share.hold(0, std::nullopt);
      })
    {
    }

    bool isClosed = false;
    ConnectionBudget::Share share;
  };

  std::shared_ptr<ConnectionBudget> budget =
    std::make_shared<ConnectionBudget>(100);
  Connection first{ budget };
  Connection second{ budget };
  Connection third{ budget };
};

TEST_F(ConnectionBudgetTest, ClosesTheConnectionThatHasWaitedLongest)
{
  first.share.hold(40, start + seconds(2));
  second.share.hold(40, start + seconds(1));
  third.share.hold(20, start + seconds(3));
  EXPECT_FALSE(second.isClosed);
  third.share.hold(30, start + seconds(3));
  EXPECT_TRUE(second.isClosed);
  EXPECT_FALSE(first.isClosed);
  EXPECT_FALSE(third.isClosed);
  EXPECT_EQ(budget->heldBytes(), 70u);
}

/// Guards against the loss of a request that is being served.
TEST_F(ConnectionBudgetTest, ClosesNoConnectionThatDoesNotWaitForItsClient)
{
  first.share.hold(90, std::nullopt);
  second.share.hold(90, start);
  EXPECT_FALSE(first.isClosed);
  EXPECT_TRUE(second.isClosed);
  third.share.hold(90, std::nullopt);
  EXPECT_FALSE(third.isClosed);
  EXPECT_EQ(budget->heldBytes(), 180u);
}

TEST_F(ConnectionBudgetTest, ClosesAsManyConnectionsAsNeeded)
{
  first.share.hold(30, start);
  second.share.hold(30, start + seconds(1));
  third.share.hold(90, start + seconds(2));
  EXPECT_TRUE(first.isClosed);
  EXPECT_TRUE(second.isClosed);
  EXPECT_FALSE(third.isClosed);
}

/// Guards against a budget that fills up with what closed connections held.
TEST_F(ConnectionBudgetTest, ADestroyedConnectionReturnsWhatItHeld)
{
  {
    Connection other(budget);
    other.share.hold(80, start);
  }
  EXPECT_EQ(budget->heldBytes(), 0u);
  first.share.hold(80, start);
  EXPECT_FALSE(first.isClosed);
}

} // namespace
} // namespace cowslippin::testing
