#pragma once

#include "logstream.h"
#include "platformfaults.h"
#include "vmlisthistory.h"

#include "support/standinexchange.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace cowslippin::standins {

/// The stand-in platform: log streams and a VM list in memory, with faults
/// that can be switched on. Safe for use by several threads.
class PlatformStandin
{
public:
  /// Answers one request.
  void handle(StandinExchange& exchange);

private:
  bool handleControl(StandinExchange& exchange);
  void setFaults(StandinExchange& exchange);
  void setVms(StandinExchange& exchange);
  bool handleOutage(StandinExchange& exchange);
  void handleStream(StandinExchange& exchange, const std::string& name);
  void append(StandinExchange& exchange, const std::string& name);
  std::uint64_t write(const std::string& name, const std::string& body);
  bool takeLostAnswer();
  void read(StandinExchange& exchange, const std::string& name);
  void waitForRecord(const StandinExchange& exchange,
                     const std::string& name,
                     std::uint64_t from);
  void listVms(StandinExchange& exchange);
  PlatformFaults faults() const;
  LogStream& retainedStream(const std::string& name);

  mutable std::mutex m_mutex;
  std::mutex m_writer;
  std::condition_variable m_changed;
  PlatformFaults m_faults;
  std::map<std::string, LogStream> m_streams;
  VmListHistory m_vms;
};

} // namespace cowslippin::standins
