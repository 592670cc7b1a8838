#pragma once

namespace cowslippin {

/// Keeps retries a small part of all starts, so that they never amplify an
/// overload: each start earns a fraction of a retry, up to a burst.
class RetryBudget
{
public:
  RetryBudget(double ratio, double burst)
    : m_ratio(ratio)
    , m_burst(burst)
    , m_tokens(burst)
  {
  }

  /// A task was started for the first time.
  void earn();

  /// Takes one retry, or says that there is none.
  bool take();

private:
  double m_ratio;
  double m_burst;
  double m_tokens;
};

} // namespace cowslippin
