#pragma once

#include "result.h"

#include <cstdint>
#include <string>

namespace cowslippin {

/// An IP address and a port.
class Address
{
public:
  Address() = default;
  Address(std::string host, std::uint16_t port);

  /// Reads `127.0.0.1:8080` or `[::1]:8080`. `field` names the setting or
  /// member in the problem. Port 0 stands for one that the kernel chooses.
  static Result<Address> parse(const std::string& text,
                               const std::string& field);

  const std::string& host() const { return m_host; }
  std::uint16_t port() const { return m_port; }
  std::string toString() const;

  friend bool operator==(const Address& a, const Address& b)
  {
    return a.m_port == b.m_port && a.m_host == b.m_host;
  }
  friend bool operator!=(const Address& a, const Address& b)
  {
    return !(a == b);
  }
  friend bool operator<(const Address& a, const Address& b)
  {
    return a.m_host != b.m_host ? a.m_host < b.m_host : a.m_port < b.m_port;
  }

private:
  std::string m_host;
  std::uint16_t m_port = 0;
};

} // namespace cowslippin
