#include "commandrunner.h"

#include "callbuilder.h"
#include "renderer.h"

#include <algorithm>
#include <random>

namespace cowslippin {

namespace {

/// One daemon that does not answer must not hold up the others.
constexpr Duration maxOffsetTime = std::chrono::seconds(2);

constexpr int firstErrorStatus = 400;
constexpr int keyWords = 4;
constexpr int hexDigitsPerWord = 8;

Command
withOwnKey(const Command& command, const RunHooks& hooks, std::ostream& err)
{
  if (!isSubmission(command.kind()) || !command.key().empty()) {
    return command;
  }
  Command keyed = command.withKey(hooks.makeKey());
  err << "key: " << keyed.key() << " (submit again with --key)" << std::endl;
  return keyed;
}

Report
reportOffsets(const Command& command,
              const CallReply& vmsReply,
              const RunHooks& hooks)
{
  const Duration timeout = std::min(command.replyTimeout(), maxOffsetTime);
  const auto offsets = askOffsets(vmsReply, hooks.transport, timeout);
  if (!offsets) {
    return { "", renderProblem(offsets.error()), ExitCode::Failed };
  }
  return renderOffsets(command, *offsets);
}

Report
carryOut(const Command& command, const RunHooks& hooks)
{
  const CallEnd end = hooks.transport(
    command.daemon(), buildCall(command), command.replyTimeout());
  const bool isList = end && end->status() < firstErrorStatus;
  if (command.kind() == CommandKind::ShowOffsets && isList) {
    return reportOffsets(command, *end, hooks);
  }
  return renderEnd(command, end);
}

} // namespace

ExitCode
runCommand(const Command& command,
           const RunHooks& hooks,
           std::ostream& out,
           std::ostream& err)
{
  const Report report = carryOut(withOwnKey(command, hooks, err), hooks);
  out << report.out << std::flush;
  err << report.err << std::flush;
  return report.exitCode;
}

std::string
randomKey()
{
  constexpr char hexDigits[] = "0123456789abcdef";
  std::random_device random;
  std::string key;
  for (int word = 0; word < keyWords; ++word) {
    std::uint32_t bits = random();
    for (int digit = 0; digit < hexDigitsPerWord; ++digit) {
      key += hexDigits[bits & 0xf];
      bits >>= 4;
    }
  }
  return key;
}

} // namespace cowslippin
