#pragma once

#include "libcore/ids.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cowslippin {

/// Hands a submission to the VM that issued its ticket. Answered by an
/// `OwnerReply`.
class SubmitCall
{
public:
  struct Fields
  {
    /// Chosen by the caller; the reply repeats it.
    std::uint64_t requestId = 0;
    /// The ticket.
    SubmissionKey key;
    OrganisationName organisation;
    TemplateName templateName;
    /// Whether it is a job; else it is a request with one payload.
    bool isJob = false;
    /// Whether its tasks may be started again after they may have run.
    bool isRepeatable = false;
    /// Whether the reply is to be the final one, not the status.
    bool waitsForEnd = false;
    /// How long the caller waits for the final answer, in milliseconds.
    std::uint32_t waitMs = 0;
    /// Tells different submissions under one key apart.
    std::uint64_t fingerprint = 0;
    std::string contentType;
    /// The body of each task.
    std::vector<std::string> payloads;

    friend bool operator==(const Fields& a, const Fields& b)
    {
      return a.requestId == b.requestId && a.key == b.key &&
             a.organisation == b.organisation &&
             a.templateName == b.templateName && a.isJob == b.isJob &&
             a.isRepeatable == b.isRepeatable &&
             a.waitsForEnd == b.waitsForEnd && a.waitMs == b.waitMs &&
             a.fingerprint == b.fingerprint && a.contentType == b.contentType &&
             a.payloads == b.payloads;
    }
  };

  SubmitCall() = default;
  explicit SubmitCall(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  std::uint64_t requestId() const { return m_fields.requestId; }
  const SubmissionKey& key() const { return m_fields.key; }
  const OrganisationName& organisation() const { return m_fields.organisation; }
  const TemplateName& templateName() const { return m_fields.templateName; }
  bool isJob() const { return m_fields.isJob; }
  bool isRepeatable() const { return m_fields.isRepeatable; }
  bool waitsForEnd() const { return m_fields.waitsForEnd; }
  std::uint32_t waitMs() const { return m_fields.waitMs; }
  std::uint64_t fingerprint() const { return m_fields.fingerprint; }
  const std::string& contentType() const { return m_fields.contentType; }
  const std::vector<std::string>& payloads() const { return m_fields.payloads; }

  friend bool operator==(const SubmitCall& a, const SubmitCall& b)
  {
    return a.m_fields == b.m_fields;
  }
  friend bool operator!=(const SubmitCall& a, const SubmitCall& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
