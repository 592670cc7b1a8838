#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace cowslippin::standins {

/// What an endpoint does with a task in place of a proper answer.
enum class EndpointMode
{
  /// Runs it and answers.
  Normal,
  /// Starts it and answers 500 at once.
  Fail,
  /// Answers 503 and that it did not start.
  Refuse,
  /// Starts it, then closes the connection without an answer.
  Close,
  /// Runs it, then sends half of the answer and closes the connection.
  Truncate,
  /// Runs it, then sends an answer of `overlongBytes`.
  Overlong,
  /// Starts it and never answers.
  Hang,
};

/// The stand-in endpoint's fault switches.
struct EndpointFaults
{
  EndpointMode mode = EndpointMode::Normal;
  /// How many of the next tasks `mode` applies to; 0 for all.
  std::uint64_t times = 0;
  /// Multiplies every run time.
  double slowFactor = 1.0;
  std::uint64_t overlongBytes = 16777216;
  /// Refuses every task and reports itself unhealthy.
  bool leaving = false;

  /// The mode for the next task; counts `times` down and ends the mode with
  /// the last of them.
  EndpointMode takeMode();
};

void
to_json(nlohmann::json& json, const EndpointFaults& faults);

/// Sets the members that `json` has and leaves the others. An unknown member
/// or a value of a wrong type throws.
void
from_json(const nlohmann::json& json, EndpointFaults& faults);

} // namespace cowslippin::standins
