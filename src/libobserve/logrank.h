#pragma once

namespace cowslippin {

/// Which share of the log's volume a record counts against.
enum class LogRank
{
  /// May come with every task or job.
  Frequent,
  /// A rare decision that an incident is reconstructed from. Frequent records
  /// can't use up its share.
  Decisive,
};

} // namespace cowslippin
