#pragma once

#include "libcore/ids.h"

#include <cstdint>
#include <utility>

namespace cowslippin {

/// What the owner of a submission is asked to do.
enum class OwnerOperation
{
  /// Reply with the whole answer as soon as there is one.
  Attach,
  /// Reply with the state of the job.
  Status,
  /// Reply with the answer if there is one, else with the state.
  Answer,
  /// Cancel the submission.
  Cancel,
  /// Reply as to a caller who submits it again and does not wait.
  Resubmit,
  /// Reply whether anything is known of the key, by whatever claim.
  Know,
};

/// Asks the owner of a submission about it.
class OwnerCall
{
public:
  struct Fields
  {
    /// Chosen by the caller; the reply repeats it.
    std::uint64_t requestId = 0;
    OwnerOperation operation = OwnerOperation::Status;
    SubmissionKey key;
    /// The log position of the claim that made the called VM the owner.
    Offset claimOffset = 0;
    /// How long the owner may wait for the submission to end, in milliseconds.
    std::uint32_t waitMs = 0;
  };

  OwnerCall() = default;
  explicit OwnerCall(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  std::uint64_t requestId() const { return m_fields.requestId; }
  OwnerOperation operation() const { return m_fields.operation; }
  const SubmissionKey& key() const { return m_fields.key; }
  Offset claimOffset() const { return m_fields.claimOffset; }
  std::uint32_t waitMs() const { return m_fields.waitMs; }

  friend bool operator==(const OwnerCall& a, const OwnerCall& b)
  {
    return a.m_fields.requestId == b.m_fields.requestId &&
           a.m_fields.operation == b.m_fields.operation &&
           a.m_fields.key == b.m_fields.key &&
           a.m_fields.claimOffset == b.m_fields.claimOffset &&
           a.m_fields.waitMs == b.m_fields.waitMs;
  }
  friend bool operator!=(const OwnerCall& a, const OwnerCall& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
