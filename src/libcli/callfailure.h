#pragma once

#include <string>
#include <utility>

namespace cowslippin {

/// Why a call has no reply.
class CallFailure
{
public:
  enum class Kind
  {
    /// No connection came about; the daemon never saw the call.
    Unreachable,
    /// The call may have reached the daemon, but no whole reply came back.
    NoReply,
  };

  CallFailure(Kind kind, std::string detail)
    : m_kind(kind)
    , m_detail(std::move(detail))
  {
  }

  Kind kind() const { return m_kind; }
  const std::string& detail() const { return m_detail; }

  friend bool operator==(const CallFailure& a, const CallFailure& b)
  {
    return a.m_kind == b.m_kind && a.m_detail == b.m_detail;
  }
  friend bool operator!=(const CallFailure& a, const CallFailure& b)
  {
    return !(a == b);
  }

private:
  Kind m_kind;
  std::string m_detail;
};

} // namespace cowslippin
