#pragma once

#include "endpointfaults.h"
#include "slotqueue.h"
#include "startcounter.h"

#include "support/standinexchange.h"

#include <chrono>
#include <mutex>

namespace cowslippin::standins {

/// The stand-in endpoint: runs tasks by waiting and echoes their body, with
/// faults that can be switched on. Safe for use by several threads.
class EndpointStandin
{
public:
  struct Settings
  {
    std::uint64_t slots = 8;
    std::uint64_t connections = 64;
    std::chrono::milliseconds runTime{ 50 };
  };

  explicit EndpointStandin(Settings settings);

  /// Answers one request.
  void handle(StandinExchange& exchange);

private:
  bool handleControl(StandinExchange& exchange);
  void handleFaults(StandinExchange& exchange);
  void handleHealth(StandinExchange& exchange);
  void handleTask(StandinExchange& exchange);
  void start(StandinExchange& exchange, EndpointMode mode);
  void run(StandinExchange& exchange, EndpointMode mode);
  void finish(StandinExchange& exchange, EndpointMode mode);
  void refuse(StandinExchange& exchange);
  void hang(StandinExchange& exchange);
  EndpointMode takeMode();
  EndpointFaults faults() const;

  Settings m_settings;
  SlotQueue m_slots;
  StartCounter m_starts;
  mutable std::mutex m_mutex;
  EndpointFaults m_faults;
};

} // namespace cowslippin::standins
