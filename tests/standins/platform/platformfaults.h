#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cowslippin::standins {

/// How requests are met while the platform is down, or cut off from them.
enum class DownMode
{
  /// Answered with 503 at once.
  Refuse,
  /// The connection is closed without an answer.
  Close,
  /// Never answered.
  Hang,
};

/// The stand-in platform's fault switches and limits.
struct PlatformFaults
{
  /// How long one append takes; appends of all streams go one at a time.
  std::uint64_t appendDelayMs = 5;
  bool down = false;
  DownMode downMode = DownMode::Refuse;
  /// Added to every answer.
  std::uint64_t slowMs = 0;
  /// How many of the next appends take effect but bring no answer: their
  /// connection is closed.
  std::uint64_t loseAppendAnswers = 0;
  /// If positive, an append whose answer is lost takes effect only after so
  /// long.
  std::uint64_t landLateMs = 0;
  /// The age of the VM list that readers see.
  std::uint64_t vmListLagMs = 0;
  /// How many records a stream keeps; 0 for all.
  std::uint64_t retainRecords = 0;
  /// How long a record is kept; 0 for ever.
  std::uint64_t retainMs = 0;
  /// Requests of these zones and VMs hang as if they never arrived.
  std::vector<std::string> cutZones;
  std::vector<std::string> cutVms;

  bool isCut(const std::string& zone, const std::string& vm) const;
};

void
to_json(nlohmann::json& json, const PlatformFaults& faults);

/// Sets the members that `json` has and leaves the others. An unknown member
/// or a value of a wrong type throws.
void
from_json(const nlohmann::json& json, PlatformFaults& faults);

} // namespace cowslippin::standins
