#pragma once

#include "libcore/ids.h"

#include <cstdint>
#include <string>
#include <utility>

namespace cowslippin {

/// What the called VM knows of the claim it was asked about.
enum class OwnerResult
{
  /// It holds the submission.
  Found,
  /// It never started the submission for this claim and never will.
  Declined,
  /// It holds nothing under this claim.
  Unknown,
};

/// The owner's reply to an `OwnerCall`: what it holds of the claim, and the
/// HTTP answer to hand on to the caller.
class OwnerReply
{
public:
  struct Fields
  {
    /// The id of the call that is answered.
    std::uint64_t requestId = 0;
    OwnerResult result = OwnerResult::Unknown;
    /// HTTP status for the caller; 0 unless the submission was found.
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    /// When to come back, in milliseconds; 0 when there is no need to.
    std::uint32_t retryAfterMs = 0;
    /// The headers `Cowslippin-Ran` and `Location`; empty for none.
    std::string ran;
    std::string location;
  };

  OwnerReply() = default;
  explicit OwnerReply(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  std::uint64_t requestId() const { return m_fields.requestId; }
  OwnerResult result() const { return m_fields.result; }
  std::uint16_t status() const { return m_fields.status; }
  const std::string& contentType() const { return m_fields.contentType; }
  const std::string& body() const { return m_fields.body; }
  std::uint32_t retryAfterMs() const { return m_fields.retryAfterMs; }
  const std::string& ran() const { return m_fields.ran; }
  const std::string& location() const { return m_fields.location; }

  friend bool operator==(const OwnerReply& a, const OwnerReply& b)
  {
    return a.m_fields.requestId == b.m_fields.requestId &&
           a.m_fields.result == b.m_fields.result &&
           a.m_fields.status == b.m_fields.status &&
           a.m_fields.contentType == b.m_fields.contentType &&
           a.m_fields.body == b.m_fields.body &&
           a.m_fields.retryAfterMs == b.m_fields.retryAfterMs &&
           a.m_fields.ran == b.m_fields.ran &&
           a.m_fields.location == b.m_fields.location;
  }
  friend bool operator!=(const OwnerReply& a, const OwnerReply& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
