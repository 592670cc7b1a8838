#pragma once

#include "libcore/address.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace cowslippin::testing {

/// The daemons that callers may use at the moment, as a balancer would know
/// them. Safe for use by several threads.
class DaemonAddresses
{
public:
  void add(const Address& address)
  {
    const std::lock_guard lock(m_mutex);
    m_addresses.push_back(address);
  }

  void remove(const Address& address)
  {
    const std::lock_guard lock(m_mutex);
    m_addresses.erase(
      std::remove(m_addresses.begin(), m_addresses.end(), address),
      m_addresses.end());
  }

  /// One of them; a different one for the next number.
  Address pick(std::size_t number) const
  {
    const std::lock_guard lock(m_mutex);
    return m_addresses[number % m_addresses.size()];
  }

private:
  mutable std::mutex m_mutex;
  std::vector<Address> m_addresses;
};

} // namespace cowslippin::testing
