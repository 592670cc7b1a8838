#include "ticketissuer.h"

namespace cowslippin {

TicketIssuer::TicketIssuer(Incarnation self)
  : m_self(std::move(self))
{
}

std::vector<Ticket>
TicketIssuer::issue(std::size_t count)
{
  std::vector<Ticket> tickets;
  tickets.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    tickets.emplace_back(m_self, ++m_lastIssued);
  }
  return tickets;
}

} // namespace cowslippin
