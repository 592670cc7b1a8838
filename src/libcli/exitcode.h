#pragma once

namespace cowslippin {

/// How the program ended, for scripts.
enum class ExitCode
{
  Ok = 0,
  /// The work failed or may have run.
  Failed = 1,
  /// The command line is wrong; nothing was sent.
  Usage = 2,
  /// The daemon refused; nothing ran.
  Refused = 3,
  /// The daemon cannot be reached; this call changed nothing. An earlier one
  /// under the same key may have.
  Unreachable = 4,
  /// Another revision of the configuration came first.
  Conflict = 5,
  /// The job goes on; its answer is not there yet.
  Unfinished = 6,
};

/// The exit codes as `--help` lists them.
extern const char exitCodeHelp[];

} // namespace cowslippin
