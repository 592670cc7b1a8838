#include "remoteowner.h"

#include "incarnations.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace cowslippin {

namespace {

constexpr char ranHeader[] = "Cowslippin-Ran";
constexpr char locationHeader[] = "Location";
constexpr char retryHeader[] = "Retry-After";
constexpr Duration unreachableRetry = std::chrono::seconds(1);
constexpr Duration unknownClaimPause = std::chrono::milliseconds(20);
constexpr Duration silentRetry = std::chrono::milliseconds(500);
constexpr int attemptsOverLostConnections = 2;

std::uint32_t
millisecondsUntil(TimePoint until)
{
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(until - steadyNow());
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(left.count(), 0, UINT32_MAX));
}

OwnerAnswer
says(const Problem& problem)
{
  return OwnerSays{ problemReply(problem) };
}

Problem
silentProblem()
{
  return Problem(ProblemKind::DeadlineExceeded,
                 RunState::MayHaveRun,
                 "Its owner has not answered yet; ask again")
    .withRetryAfter(silentRetry);
}

std::uint32_t
retryAfterMsOf(const HttpReply& reply)
{
  const auto text = reply.header(retryHeader);
  if (!text) {
    return 0;
  }
  std::uint32_t seconds = 0;
  std::from_chars(text->data(), text->data() + text->size(), seconds);
  return seconds * 1000;
}

} // namespace

RemoteOwner::RemoteOwner(OwnerCalls& calls, IsGone isGone)
  : m_calls(calls)
  , m_isGone(std::move(isGone))
{
}

OwnerAnswer
RemoteOwner::ask(const OwnerRef& owner,
                 const SubmissionKey& key,
                 OwnerOperation operation,
                 TimePoint until) const
{
  int lostConnections = 0;
  while (lostConnections < attemptsOverLostConnections) {
    if (m_isGone(owner.owner)) {
      return unreachable(owner);
    }
    OwnerCall::Fields fields;
    fields.operation = operation;
    fields.key = key;
    fields.claimOffset = owner.claim;
    fields.waitMs = millisecondsUntil(until);
    const OwnerCallEnd end =
      m_calls.call(vmOf(owner.owner), std::move(fields), until);
    if (std::holds_alternative<OwnerSilent>(end)) {
      return says(silentProblem());
    }
    if (std::holds_alternative<OwnerUnreachable>(end)) {
      ++lostConnections;
      continue;
    }
    const auto& reply = std::get<OwnerReply>(end);
    if (reply.result() == OwnerResult::Found) {
      return OwnerSays{ httpReplyOf(reply) };
    }
    if (reply.result() == OwnerResult::Declined) {
      return OwnerDeclined();
    }
    if (steadyNow() + unknownClaimPause >= until) {
      return says(Problem(ProblemKind::OutcomeUnknown,
                          RunState::MayHaveRun,
                          "Its owner does not know the claim yet; ask again")
                    .withRetryAfter(silentRetry));
    }
    std::this_thread::sleep_for(unknownClaimPause);
  }
  return unreachable(owner);
}

HttpReply
RemoteOwner::submit(const Incarnation& issuer,
                    const SubmissionRequest& request,
                    bool waitForEnd) const
{
  SubmitCall::Fields fields;
  fields.key = request.key();
  fields.organisation = request.organisation().name();
  fields.templateName = request.jobTemplate().name();
  fields.isJob = request.kind() == SubmissionKind::Job;
  fields.isRepeatable = request.isRepeatable();
  fields.waitsForEnd = waitForEnd;
  fields.waitMs = millisecondsUntil(request.deadline());
  fields.fingerprint = request.fingerprint();
  fields.contentType = request.contentType();
  fields.payloads = request.payloads();
  const OwnerRef owner{ issuer, 0 };
  OwnerCallEnd end = OwnerUnreachable();
  if (!m_isGone(issuer)) {
    end = m_calls.submit(vmOf(issuer), std::move(fields), request.deadline());
  }
  if (const auto* reply = std::get_if<OwnerReply>(&end)) {
    return httpReplyOf(*reply);
  }
  if (std::holds_alternative<OwnerSilent>(end)) {
    return problemReply(silentProblem());
  }
  return std::get<OwnerSays>(unreachable(owner)).reply;
}

bool
RemoteOwner::isUnknownToAll(const std::vector<VmId>& vms,
                            const SubmissionKey& key,
                            TimePoint until) const
{
  return std::all_of(vms.begin(), vms.end(), [&](const VmId& vm) {
    OwnerCall::Fields fields;
    fields.operation = OwnerOperation::Know;
    fields.key = key;
    const OwnerCallEnd end = m_calls.call(vm, std::move(fields), until);
    const auto* reply = std::get_if<OwnerReply>(&end);
    return reply != nullptr && reply->result() == OwnerResult::Unknown;
  });
}

OwnerAnswer
RemoteOwner::unreachable(const OwnerRef& owner) const
{
  if (m_isGone(owner.owner)) {
    return says(Problem(ProblemKind::OwnerGone,
                        RunState::MayHaveRun,
                        "The daemon that owned it has ended; it was not "
                        "started again and will not be under this key"));
  }
  return says(Problem(ProblemKind::PeerUnreachable,
                      RunState::MayHaveRun,
                      "The daemon that owns it cannot be reached; it was not "
                      "started here")
                .withRetryAfter(unreachableRetry));
}

HttpReply
httpReplyOf(const OwnerReply& reply)
{
  HttpReply::Fields fields;
  fields.status = reply.status();
  fields.contentType = reply.contentType();
  fields.body = reply.body();
  HttpReply made(std::move(fields));
  if (!reply.ran().empty()) {
    made = made.withHeader(ranHeader, reply.ran());
  }
  if (!reply.location().empty()) {
    made = made.withHeader(locationHeader, reply.location());
  }
  if (reply.retryAfterMs() != 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(
      std::chrono::milliseconds(reply.retryAfterMs()));
    made = made.withHeader(retryHeader, std::to_string(seconds.count()));
  }
  return made;
}

OwnerReply
ownerReplyOf(std::uint64_t requestId, const HttpReply& reply)
{
  OwnerReply::Fields fields;
  fields.requestId = requestId;
  fields.result = OwnerResult::Found;
  fields.status = static_cast<std::uint16_t>(reply.status());
  fields.contentType = reply.contentType();
  fields.body = reply.body();
  fields.retryAfterMs = retryAfterMsOf(reply);
  fields.ran = reply.header(ranHeader).value_or("");
  fields.location = reply.header(locationHeader).value_or("");
  return OwnerReply(std::move(fields));
}

} // namespace cowslippin
