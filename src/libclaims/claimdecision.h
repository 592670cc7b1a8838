#pragma once

#include "libcore/core.h"

#include <variant>

namespace cowslippin {

/// The key waits for the next batch: a `ClaimEvent` will tell how it ends.
struct ClaimQueued
{};

/// An earlier submission of the key at this daemon is not settled yet; the
/// same `ClaimEvent` will end this one too.
struct ClaimPending
{};

/// This daemon owns the key by the claim at this offset.
struct OwnedHere
{
  Offset claim = 0;
};

/// Another daemon owns the key: ask it, never start the work here.
struct OwnedElsewhere
{
  Incarnation owner;
  Offset claim = 0;
};

/// Nothing was claimed for this submission. The problem says whether the key
/// may have run before and when to come back.
struct ClaimRefused
{
  Problem problem;
};

inline bool
operator==(ClaimQueued /*a*/, ClaimQueued /*b*/)
{
  return true;
}
inline bool
operator==(ClaimPending /*a*/, ClaimPending /*b*/)
{
  return true;
}
inline bool
operator==(OwnedHere a, OwnedHere b)
{
  return a.claim == b.claim;
}
inline bool
operator==(const OwnedElsewhere& a, const OwnedElsewhere& b)
{
  return a.owner == b.owner && a.claim == b.claim;
}
inline bool
operator==(const ClaimRefused& a, const ClaimRefused& b)
{
  return a.problem == b.problem;
}

/// What becomes of a submission at this daemon. Comparable by `==` and `!=`.
using ClaimDecision = std::
  variant<ClaimQueued, ClaimPending, OwnedHere, OwnedElsewhere, ClaimRefused>;

/// How an append of a batch ended, as far as its sender knows.
enum class AppendEnd
{
  /// The log acknowledged it. This settles nothing: reading does.
  Appended,
  /// It surely did not and will not take effect.
  NotAppended,
  /// It may have taken effect or may yet do so.
  Unknown,
};

/// Whether the caller may start a key's work now.
enum class StartPermit
{
  /// Yes; it now counts as started for ever.
  Granted,
  AlreadyStarted,
  /// No claim of this daemon holds the key, or it was declined.
  NotOwned,
  /// The window has passed since the submission; the claim is now declined.
  Expired,
};

/// What an owner tells a peer about one of its claims.
enum class AskReply
{
  /// It owns the key by this claim: it has started it or still may.
  Held,
  /// It has not started this claim and never will.
  Declined,
  /// It does not know the claim, or not yet, or not any more.
  Unknown,
};

} // namespace cowslippin
