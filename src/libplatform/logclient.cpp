#include "logclient.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;

constexpr int statusOk = 200;
constexpr ParseLimits answerLimits{ 4096, 4, 100 };
constexpr int statusServiceUnavailable = 503;

std::string
recordsPath(const StreamName& stream)
{
  return "/streams/" + stream.value() + "/records";
}

std::string
readQuery(Offset from, std::size_t limit, Duration wait)
{
  const auto waitMs = std::chrono::duration_cast<milliseconds>(wait).count();
  return "from=" + std::to_string(from) + "&limit=" + std::to_string(limit) +
         "&waitMs=" + std::to_string(waitMs);
}

bool
isRefusal(int status)
{
  return (status >= 400 && status < 500) || status == statusServiceUnavailable;
}

Problem
badStatus(int status, RunState ran)
{
  return Problem(ProblemKind::PlatformUnavailable,
                 ran,
                 "the platform answered with status " + std::to_string(status));
}

AppendResult
unknown(const std::string& detail)
{
  return AppendUnknown{ Problem(
    ProblemKind::PlatformUnavailable, RunState::MayHaveRun, detail) };
}

AppendResult
parseAppended(const std::string& body)
{
  const auto json = parseJson(body, "answer", answerLimits);
  const nlohmann::json* member = json ? findMember(*json, "offset") : nullptr;
  const bool hasOffset = member && member->is_number_unsigned();
  const Offset offset = hasOffset ? member->get<Offset>() : 0;
  if (offset == 0) {
    return unknown("the platform's answer to an append has no valid offset");
  }
  return Appended{ offset };
}

AppendResult
fromFailure(const PlatformCallFailure& failed)
{
  if (failed.maybeSent) {
    return AppendUnknown{ failed.problem };
  }
  return NotAppended{ failed.problem };
}

AppendResult
fromReply(const PlatformReply& reply)
{
  if (reply.status == statusOk) {
    return parseAppended(reply.body);
  }
  if (isRefusal(reply.status)) {
    return NotAppended{ badStatus(reply.status, RunState::NotRun) };
  }
  return AppendUnknown{ badStatus(reply.status, RunState::MayHaveRun) };
}

} // namespace

LogClient::LogClient(Address platform, ClientIdentity identity)
  : m_connection(std::move(platform), std::move(identity))
{
}

AppendResult
LogClient::append(const StreamName& stream,
                  const std::string& body,
                  Duration timeout)
{
  const PlatformRequest request{ "POST", recordsPath(stream), "", body };
  const PlatformCallResult result = m_connection.call(request, timeout);
  return result ? fromReply(*result) : fromFailure(result.error());
}

Result<LogPage>
LogClient::read(const StreamName& stream,
                Offset from,
                std::size_t limit,
                Duration wait,
                Duration timeout)
{
  const PlatformRequest request{
    "GET", recordsPath(stream), readQuery(from, limit, wait), ""
  };
  const PlatformCallResult result = m_connection.call(request, wait + timeout);
  if (!result) {
    return failure(result.error().problem.withRan(RunState::NotRun));
  }
  if (result->status != statusOk) {
    return failure(badStatus(result->status, RunState::NotRun));
  }
  return LogPage::parse(result->body, from);
}

void
LogClient::cancel()
{
  m_connection.cancel();
}

} // namespace cowslippin
