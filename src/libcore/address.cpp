#include "address.h"

#include <arpa/inet.h>

#include <charconv>
#include <utility>

namespace cowslippin {

namespace {

constexpr char allowedAddress[] =
  "an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080";

bool
isIpV4(const std::string& host)
{
  in_addr address{};
  return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

bool
isIpV6(const std::string& host)
{
  in6_addr address{};
  return inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

bool
isBracketed(const std::string& host)
{
  return host.size() > 2 && host.front() == '[' && host.back() == ']';
}

} // namespace

Address::Address(std::string host, std::uint16_t port)
  : m_host(std::move(host))
  , m_port(port)
{
}

Result<Address>
Address::parse(const std::string& text, const std::string& field)
{
  const auto invalid = [&] {
    return failure(Problem::invalidField(field, text, allowedAddress));
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return invalid();
  }
  std::string host = text.substr(0, colon);
  if (isBracketed(host)) {
    host = host.substr(1, host.size() - 2);
    if (!isIpV6(host)) {
      return invalid();
    }
  } else if (!isIpV4(host)) {
    return invalid();
  }
  std::uint16_t port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (first == last || error != std::errc() || end != last) {
    return invalid();
  }
  return Address(std::move(host), port);
}

std::string
Address::toString() const
{
  const bool isV6 = m_host.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + m_host + "]" : m_host;
  return host + ":" + std::to_string(m_port);
}

} // namespace cowslippin
