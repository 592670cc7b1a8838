#pragma once

#include <string>
#include <utility>

namespace cowslippin {

/// Asks a peer to append claims to the claim stream together with its own. It
/// is not answered: the sender reads its claims back from the stream, or
/// appends them itself when they do not turn up.
class ClaimAppend
{
public:
  struct Fields
  {
    /// The batch as the stream holds it: one line of text.
    std::string batch;
  };

  ClaimAppend() = default;
  explicit ClaimAppend(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const std::string& batch() const { return m_fields.batch; }

  friend bool operator==(const ClaimAppend& a, const ClaimAppend& b)
  {
    return a.m_fields.batch == b.m_fields.batch;
  }
  friend bool operator!=(const ClaimAppend& a, const ClaimAppend& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
