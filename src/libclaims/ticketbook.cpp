#include "ticketbook.h"

#include <algorithm>

namespace cowslippin {

TicketBook::TicketBook(const TicketIssuer& issuer, std::size_t capacity)
  : m_issuer(issuer)
  , m_used(std::max<std::size_t>(capacity, 1))
{
}

TicketUse
TicketBook::use(const Ticket& ticket)
{
  if (ticket.issuer() != m_issuer.self()) {
    return OtherIssuer{ ticket.issuer() };
  }
  if (ticket.number() == 0 || ticket.number() > m_issuer.lastIssued()) {
    return NotIssued{};
  }
  coverIssued();
  if (m_covered - ticket.number() >= m_used.size()) {
    return TooOld{};
  }
  if (m_used[slot(ticket.number())]) {
    return UsedBefore{};
  }
  m_used[slot(ticket.number())] = true;
  return FirstUse{};
}

/// Gives the numbers issued since the last call their bits, which numbers a
/// capacity below them lose.
void
TicketBook::coverIssued()
{
  const std::uint64_t last = m_issuer.lastIssued();
  const std::uint64_t size = m_used.size();
  std::uint64_t number = std::max(m_covered, last > size ? last - size : 0);
  while (number < last) {
    ++number;
    m_used[slot(number)] = false;
  }
  m_covered = last;
}

std::size_t
TicketBook::slot(std::uint64_t number) const
{
  return number % m_used.size();
}

} // namespace cowslippin
