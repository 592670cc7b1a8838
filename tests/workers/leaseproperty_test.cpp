#include "leasefixture.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

namespace cowslippin::testing {
namespace {

/// Drives a lease through random faults. After each step it checks that the
/// worker never runs more than its capacity, and that a run that was reported
/// as ended or rejected is not in progress.
class RandomLease
{
public:
  RandomLease() { m_fixture.claim(m_token); }

  void step()
  {
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
      case 1:
        startIfPossible();
        break;
      case 2:
      case 3:
        m_fixture.deliver(randomDelivery(), 1);
        break;
      case 4:
        endOne();
        break;
      case 5:
        stopOne();
        break;
      case 6:
        m_fixture.advance(*rc::gen::inRange(1, 150));
        break;
      default:
        injectFault();
    }
    check();
  }

private:
  static Delivery randomDelivery()
  {
    return *rc::gen::element(Delivery::Normal,
                             Delivery::Normal,
                             Delivery::Normal,
                             Delivery::Lost,
                             Delivery::AnswerLost,
                             Delivery::Late);
  }

  void startIfPossible()
  {
    const Resources size(*rc::gen::inRange(3000, 9000), 1, 0);
    if (!m_fixture.lease.canStart(size))
      return;
    const RunKey key("task" + std::to_string(++m_lastTask), 1);
    m_sizes[key] = size.cpuMillis();
    m_fixture.lease.start(key, size, "", m_fixture.now);
  }

  void endOne()
  {
    const auto runs = m_fixture.worker.runs();
    if (!runs.empty())
      m_fixture.worker.end(*rc::gen::elementOf(runs), RunEnd::Done);
  }

  void stopOne()
  {
    const auto runs = m_fixture.worker.runs();
    if (!runs.empty())
      m_fixture.lease.stop(*rc::gen::elementOf(runs), m_fixture.now);
  }

  /// A late order arrives, the worker restarts, another daemon claims the
  /// worker, or this daemon claims it again.
  void injectFault()
  {
    if (!m_fixture.lateOrders.empty() && *rc::gen::arbitrary<bool>()) {
      m_fixture.lateOrders.back()();
      m_fixture.lateOrders.pop_back();
      return;
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      m_fixture.restart(++m_lastBirth);
      return;
    }
    if (*rc::gen::inRange(0, 4) == 0)
      m_fixture.worker.hold({ m_token + 5, std::nullopt, 0, {} },
                            m_fixture.now);
    const LeaseState state = m_fixture.lease.state();
    if (state == LeaseState::Fenced || state == LeaseState::Restarted) {
      m_token += 10;
      m_fixture.lease.claim(m_token, m_fixture.now);
    }
  }

  void check()
  {
    m_fixture.worker.expireLease(m_fixture.now);
    std::int64_t used = 0;
    for (const RunKey& key : m_fixture.worker.runs())
      used += m_sizes[key];
    RC_ASSERT(used <= 16000);
    for (const auto& [key, end] : m_fixture.ended)
      RC_ASSERT(!m_fixture.worker.isRunning(key));
    for (const auto& [key, failure] : m_fixture.rejected)
      RC_ASSERT(!m_fixture.worker.isRunning(key));
  }

  LeaseFixture m_fixture;
  FencingToken m_token = 10;
  unsigned m_lastTask = 0;
  std::int64_t m_lastBirth = 1;
  std::map<RunKey, std::int64_t> m_sizes;
};

void
runRandomSteps()
{
  RandomLease lease;
  const int steps = *rc::gen::inRange(20, 250);
  for (int i = 0; i < steps; ++i)
    lease.step();
}

TEST(WorkerLease, NeverExceedsCapacityNorReportsTheEndOfARunInProgress)
{
  EXPECT_TRUE(rc::check(runRandomSteps));
}

/// Whether the property holds with this seed.
bool
holdsWithSeed(std::uint64_t seed)
{
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.seed = seed;
  const auto result = rc::detail::checkTestable(
    runRandomSteps, rc::detail::TestMetadata(), params);
  return result.is<rc::detail::SuccessResult>();
}

class EndReportedBeforeALateStart
  : public ::testing::TestWithParam<std::uint64_t>
{};

/// Guards against reporting the end of a run whose start may still be carried
/// out.
TEST_P(EndReportedBeforeALateStart, DoesNotOccur)
{
  EXPECT_TRUE(holdsWithSeed(GetParam()));
}

/// Seeds with which the property above has failed.
INSTANTIATE_TEST_SUITE_P(Seeds,
                         EndReportedBeforeALateStart,
                         ::testing::Values(13,
                                           15,
                                           44,
                                           82,
                                           109,
                                           140,
                                           162,
                                           174,
                                           183,
                                           185,
                                           230,
                                           243,
                                           247,
                                           250,
                                           264,
                                           266,
                                           289));

class OverfilledByALateStart : public ::testing::TestWithParam<std::uint64_t>
{};

/// Guards against an incarnation that carries out a late start in addition to
/// starts that were sent without asking `isSafeToStart`.
TEST_P(OverfilledByALateStart, DoesNotOccurToAnyWorker)
{
  EXPECT_TRUE(holdsWithSeed(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         OverfilledByALateStart,
                         ::testing::Values(1769, 2781));

} // namespace
} // namespace cowslippin::testing
