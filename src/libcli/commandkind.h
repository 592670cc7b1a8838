#pragma once

namespace cowslippin {

/// What the program can be told to do.
enum class CommandKind
{
  PutTemplate,
  PutOrganisation,
  ShowConfig,
  ShowOffsets,
  SendRequest,
  SubmitJob,
  ShowJob,
  ShowAnswer,
  CancelJob,
  DrawTickets,
  ShowVms,
  ShowEndpoints,
  ShowDump,
  ShowMetrics,
};

/// Whether a daemon that was sent this command may have acted on it although
/// its reply was lost.
bool
mayHaveEffect(CommandKind kind);

/// Whether the command submits work under an idempotency key.
bool
isSubmission(CommandKind kind);

} // namespace cowslippin
