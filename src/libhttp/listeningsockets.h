#pragma once

#include "libcore/core.h"

#include <vector>

namespace cowslippin {

/// A socket of this process that accepts connections.
class ListeningSocket
{
public:
  ListeningSocket(int descriptor, Address address);

  int descriptor() const { return m_descriptor; }
  const Address& address() const { return m_address; }

  friend bool operator==(const ListeningSocket& a, const ListeningSocket& b)
  {
    return a.m_descriptor == b.m_descriptor && a.m_address == b.m_address;
  }
  friend bool operator!=(const ListeningSocket& a, const ListeningSocket& b)
  {
    return !(a == b);
  }

private:
  int m_descriptor;
  Address m_address;
};

/// Every TCP socket of this process that is listening.
std::vector<ListeningSocket>
listeningSockets();

} // namespace cowslippin
