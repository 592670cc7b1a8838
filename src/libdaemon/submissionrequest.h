#pragma once

#include "libclaims/claims.h"
#include "libconfig/config.h"
#include "libcore/core.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cowslippin {

/// Whether a submission is one call or a set of tasks with one answer.
enum class SubmissionKind
{
  Request,
  Job,
};

/// What decides that a submission starts at most once.
enum class Ownership
{
  /// Nothing: it is repeatable, and each submission is its own.
  None,
  /// Its key is claimed in the log.
  Claim,
  /// Its key is a ticket, which names the only daemon that may start it.
  Ticket,
};

/// A submission as a caller made it, checked against the configuration.
class SubmissionRequest
{
public:
  struct Fields
  {
    SubmissionKey key;
    SubmissionKind kind = SubmissionKind::Request;
    Ownership ownership = Ownership::None;
    std::shared_ptr<const OrganisationParameters> organisation;
    std::shared_ptr<const Template> jobTemplate;
    /// One body for each task.
    std::vector<std::string> payloads;
    std::string contentType = "application/json";
    /// Whether a task may be started again after it may have run.
    bool repeatable = false;
    TimePoint deadline;
    /// Tells different submissions under one key apart.
    std::uint64_t fingerprint = 0;
  };

  explicit SubmissionRequest(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const SubmissionKey& key() const { return m_fields.key; }
  SubmissionKind kind() const { return m_fields.kind; }
  Ownership ownership() const { return m_fields.ownership; }
  const OrganisationParameters& organisation() const
  {
    return *m_fields.organisation;
  }
  const Template& jobTemplate() const { return *m_fields.jobTemplate; }
  const std::vector<std::string>& payloads() const { return m_fields.payloads; }
  const std::string& contentType() const { return m_fields.contentType; }
  bool isRepeatable() const { return m_fields.repeatable; }
  TimePoint deadline() const { return m_fields.deadline; }
  std::uint64_t fingerprint() const { return m_fields.fingerprint; }

  /// The same submission without its payloads, which are no longer needed
  /// once it has ended.
  SubmissionRequest withoutPayloads() const;

private:
  Fields m_fields;
};

/// The key of a submission that the caller named `idempotencyKey`: 32
/// hexadecimal digits, different for every organisation.
SubmissionKey
claimedKey(const OrganisationName& organisation,
           const std::string& idempotencyKey);

/// A hash of everything that makes two submissions the same.
std::uint64_t
fingerprintOf(const OrganisationName& organisation,
              const TemplateName& templateName,
              SubmissionKind kind,
              const std::string& body);

} // namespace cowslippin
