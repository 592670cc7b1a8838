#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// A token bucket that bounds how many appends this process makes. It does
/// no I/O and reads no clock.
class AppendBudget
{
public:
  /// Allows `perSecond` appends on average and `burst` at once; both must be
  /// positive. The bucket starts full.
  AppendBudget(double perSecond, unsigned burst, TimePoint now);

  /// Takes the right to make one append, or returns false.
  bool take(TimePoint now);

  /// How long until `take` would succeed; zero if it would now.
  Duration wait(TimePoint now) const;

private:
  double available(TimePoint now) const;

  double m_perSecond;
  double m_burst;
  double m_tokens;
  TimePoint m_updated;
};

} // namespace cowslippin
