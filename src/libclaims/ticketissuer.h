#pragma once

#include "ticket.h"

#include <vector>

namespace cowslippin {

/// Issues a daemon's tickets, none of them twice. Not safe for concurrent use.
class TicketIssuer
{
public:
  explicit TicketIssuer(Incarnation self);

  const Incarnation& self() const { return m_self; }

  /// The next `count` tickets.
  std::vector<Ticket> issue(std::size_t count);

  /// The highest number issued; 0 for none.
  std::uint64_t lastIssued() const { return m_lastIssued; }

private:
  Incarnation m_self;
  std::uint64_t m_lastIssued = 0;
};

} // namespace cowslippin
