#pragma once

#include "libcore/core.h"

#include <variant>

namespace cowslippin {

/// The ticket is used now: its work may start, this once.
struct FirstUse
{};

/// The ticket was used before: attach to that submission.
struct UsedBefore
{};

/// Another incarnation issued the ticket: hand the submission to that one.
struct OtherIssuer
{
  Incarnation issuer;
};

/// This incarnation never issued this number: refuse it, nothing ran.
struct NotIssued
{};

/// Issued so long ago that nobody remembers whether it was used: it may have
/// run, and does not start.
struct TooOld
{};

inline bool
operator==(FirstUse /*a*/, FirstUse /*b*/)
{
  return true;
}
inline bool
operator==(UsedBefore /*a*/, UsedBefore /*b*/)
{
  return true;
}
inline bool
operator==(const OtherIssuer& a, const OtherIssuer& b)
{
  return a.issuer == b.issuer;
}
inline bool
operator==(NotIssued /*a*/, NotIssued /*b*/)
{
  return true;
}
inline bool
operator==(TooOld /*a*/, TooOld /*b*/)
{
  return true;
}

/// What comes of presenting a ticket. Comparable by `==` and `!=`.
using TicketUse =
  std::variant<FirstUse, UsedBefore, OtherIssuer, NotIssued, TooOld>;

} // namespace cowslippin
