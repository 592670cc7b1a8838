#include "ticket.h"

#include <charconv>

namespace cowslippin {

namespace {

constexpr char prefix[] = "ticket:";
constexpr std::size_t prefixSize = sizeof prefix - 1;
constexpr char allowedTicket[] =
  "a ticket as issued, ticket:<incarnation>:<number>";

/// A positive decimal number without leading zeros; 0 if it is not one.
std::uint64_t
parseNumber(const std::string& text)
{
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  const bool isNumber = error == std::errc() && end == last;
  return isNumber && text.front() != '0' ? number : 0;
}

} // namespace

Ticket::Ticket(Incarnation issuer, std::uint64_t number)
  : m_issuer(std::move(issuer))
  , m_number(number)
{
}

std::string
Ticket::toString() const
{
  return prefix + m_issuer.value() + ":" + std::to_string(m_number);
}

bool
looksLikeTicket(const std::string& text)
{
  return text.compare(0, prefixSize, prefix) == 0;
}

Result<Ticket>
parseTicket(const std::string& text)
{
  const auto invalid = [&] {
    return failure(Problem::invalidField("ticket", text, allowedTicket));
  };
  const std::size_t colon = text.rfind(':');
  if (!looksLikeTicket(text) || colon <= prefixSize) {
    return invalid();
  }
  const std::uint64_t number = parseNumber(text.substr(colon + 1));
  if (number == 0) {
    return invalid();
  }
  const std::string issuer = text.substr(prefixSize, colon - prefixSize);
  return Ticket(Incarnation(issuer), number);
}

} // namespace cowslippin
