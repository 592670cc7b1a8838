#pragma once

#include "support/childprocess.h"
#include "support/httpcall.h"

#include <stdexcept>
#include <string>

namespace cowslippin::testing {

/// A running stand-in platform.
class PlatformStandinProcess
{
public:
  PlatformStandinProcess()
    : m_process({ STANDIN_PLATFORM, "--listen", "127.0.0.1:0" })
    , m_address(m_process.waitForAddress())
  {
  }

  const Address& address() const { return m_address; }

  void setFaults(const std::string& json) const { put("/faults", json); }
  void setVms(const std::string& json) const { put("/vms", json); }

private:
  void put(const std::string& path, const std::string& json) const
  {
    if (httpCall(m_address, "PUT", path, json).status != 200) {
      throw std::runtime_error("the stand-in refused " + json);
    }
  }

  ChildProcess m_process;
  Address m_address;
};

} // namespace cowslippin::testing
