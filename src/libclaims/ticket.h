#pragma once

#include "libcore/core.h"

namespace cowslippin {

/// A submission key that a daemon issued and that only this daemon may start.
class Ticket
{
public:
  /// `number` counts the issuer's tickets from 1.
  Ticket(Incarnation issuer, std::uint64_t number);

  const Incarnation& issuer() const { return m_issuer; }
  std::uint64_t number() const { return m_number; }

  /// `ticket:<issuer>:<number>`.
  std::string toString() const;

  friend bool operator==(const Ticket& a, const Ticket& b)
  {
    return a.m_number == b.m_number && a.m_issuer == b.m_issuer;
  }
  friend bool operator!=(const Ticket& a, const Ticket& b) { return !(a == b); }

private:
  Incarnation m_issuer;
  std::uint64_t m_number;
};

/// Whether a caller's key is meant as a ticket, be it a valid one or not.
bool
looksLikeTicket(const std::string& text);

/// Reads what `Ticket::toString` wrote; anything else is an `InvalidField`
/// problem.
Result<Ticket>
parseTicket(const std::string& text);

} // namespace cowslippin
