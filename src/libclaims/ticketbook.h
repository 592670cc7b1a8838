#pragma once

#include "ticketissuer.h"
#include "ticketuse.h"

namespace cowslippin {

/// Remembers which of a daemon's tickets were used: one bit for each of the
/// last `capacity` numbers issued. Not safe for concurrent use.
class TicketBook
{
public:
  static constexpr std::size_t defaultCapacity = std::size_t(1) << 20;

  /// The issuer must outlive the book.
  explicit TicketBook(const TicketIssuer& issuer,
                      std::size_t capacity = defaultCapacity);

  /// Presents a ticket; `FirstUse` is answered at most once a ticket.
  TicketUse use(const Ticket& ticket);

private:
  void coverIssued();
  std::size_t slot(std::uint64_t number) const;

  const TicketIssuer& m_issuer;
  /// Whether a number is used, at the number modulo the capacity.
  std::vector<bool> m_used;
  /// The highest number that has its bit.
  std::uint64_t m_covered = 0;
};

} // namespace cowslippin
