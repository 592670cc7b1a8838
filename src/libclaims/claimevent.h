#pragma once

#include "libcore/core.h"

#include <variant>

namespace cowslippin {

/// A pending submission's claim won: this daemon may start the key's work.
struct ClaimWon
{
  SubmissionKey key;
  Offset claim = 0;
};

/// A pending submission's key belongs to another daemon's claim.
struct ClaimLost
{
  SubmissionKey key;
  Incarnation owner;
  Offset claim = 0;
};

/// This daemon will never start what was submitted; the problem is the answer
/// for its caller.
struct ClaimDropped
{
  SubmissionKey key;
  Problem problem;
};

inline bool
operator==(const ClaimWon& a, const ClaimWon& b)
{
  return a.key == b.key && a.claim == b.claim;
}
inline bool
operator==(const ClaimLost& a, const ClaimLost& b)
{
  return a.key == b.key && a.owner == b.owner && a.claim == b.claim;
}
inline bool
operator==(const ClaimDropped& a, const ClaimDropped& b)
{
  return a.key == b.key && a.problem == b.problem;
}

/// The end of a pending submission. Comparable by `==` and `!=`.
using ClaimEvent = std::variant<ClaimWon, ClaimLost, ClaimDropped>;

} // namespace cowslippin
