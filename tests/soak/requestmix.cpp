#include "requestmix.h"

#include <cmath>
#include <optional>
#include <sstream>

namespace cowslippin::testing {

namespace {

constexpr unsigned maxTasks = 100;
constexpr unsigned maxTaskMs = 10000;

/// Nothing if `text` isn't a kind or exceeds its limits.
std::optional<RequestKind>
parseKind(const std::string& text)
{
  RequestKind kind;
  char times = 0;
  char colon = 0;
  std::istringstream stream(text);
  stream >> kind.tasks >> times >> kind.taskMs >> colon >> kind.share;
  const bool isRead = stream && stream.peek() == EOF;
  if (!isRead || times != 'x' || colon != ':')
    return std::nullopt;
  const bool isInRange = kind.tasks >= 1 && kind.tasks <= maxTasks &&
                         kind.taskMs >= 1 && kind.taskMs <= maxTaskMs &&
                         kind.share > 0 && std::isfinite(kind.share);
  return isInRange ? std::optional(kind) : std::nullopt;
}

} // namespace

RequestMix::RequestMix(std::vector<RequestKind> kinds)
  : m_kinds(std::move(kinds))
{
}

Result<RequestMix>
RequestMix::parse(const std::string& text, const std::string& field)
{
  std::vector<RequestKind> kinds;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const auto kind = parseKind(part);
    if (!kind)
      return failure(Problem::invalidField(
        field,
        text,
        "TASKSxMS:SHARE,... with 1 to " + std::to_string(maxTasks) +
          " tasks, 1 to " + std::to_string(maxTaskMs) +
          " ms and shares above 0"));
    kinds.push_back(*kind);
  }
  return RequestMix(std::move(kinds));
}

const RequestKind&
RequestMix::at(double place) const
{
  double all = 0;
  for (const RequestKind& kind : m_kinds)
    all += kind.share;
  double left = place * all;
  for (const RequestKind& kind : m_kinds) {
    if (left < kind.share)
      return kind;
    left -= kind.share;
  }
  return m_kinds.back();
}

} // namespace cowslippin::testing
