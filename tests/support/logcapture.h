#pragma once

#include "libobserve/observe.h"

#include <nlohmann/json.hpp>

#include <sstream>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// Collects the lines that are logged while it lives.
class LogCapture
{
public:
  LogCapture()
  {
    LogSettings settings;
    settings.delivery = LogDelivery::Synchronous;
    settings.stream = &m_stream;
    settings.eventsPerSecond = unlimited;
    settings.decisionsPerSecond = unlimited;
    initialiseLogging(settings);
  }
  ~LogCapture() { stopLogging(); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  std::vector<nlohmann::json> of(const std::string& event) const
  {
    std::vector<nlohmann::json> records;
    std::istringstream lines(m_stream.str());
    for (std::string line; std::getline(lines, line);) {
      auto record = nlohmann::json::parse(line);
      if (record["event"] == event)
        records.push_back(std::move(record));
    }
    return records;
  }

private:
  static constexpr unsigned unlimited = 1000000;

  std::ostringstream m_stream;
};

} // namespace cowslippin::testing
