#include "commandkind.h"

namespace cowslippin {

bool
mayHaveEffect(CommandKind kind)
{
  return isSubmission(kind) || kind == CommandKind::PutTemplate ||
         kind == CommandKind::PutOrganisation || kind == CommandKind::CancelJob;
}

bool
isSubmission(CommandKind kind)
{
  return kind == CommandKind::SendRequest || kind == CommandKind::SubmitJob;
}

} // namespace cowslippin
