#include "peersubmission.h"

namespace cowslippin {

namespace {

Problem
behindPeer(const std::string& what)
{
  return Problem(ProblemKind::NotCaughtUp,
                 RunState::NotRun,
                 what + " is not known yet to the daemon that issued the "
                        "ticket")
    .withRetryAfter(std::chrono::seconds(1));
}

} // namespace

Result<SubmissionRequest>
requestFromPeer(const SubmitCall& call,
                const Configuration& configuration,
                TimePoint now)
{
  SubmissionRequest::Fields fields;
  fields.organisation = configuration.findOrganisation(call.organisation());
  if (!fields.organisation) {
    return failure(behindPeer("The organisation"));
  }
  fields.jobTemplate = configuration.findTemplate(call.templateName());
  if (!fields.jobTemplate) {
    return failure(behindPeer("The template"));
  }
  fields.key = call.key();
  fields.ownership = Ownership::Ticket;
  fields.kind = call.isJob() ? SubmissionKind::Job : SubmissionKind::Request;
  fields.payloads = call.payloads();
  fields.contentType = call.contentType();
  fields.repeatable = call.isRepeatable();
  fields.deadline = now + std::chrono::milliseconds(call.waitMs());
  fields.fingerprint = call.fingerprint();
  return SubmissionRequest(std::move(fields));
}

} // namespace cowslippin
