#pragma once

#include <string>
#include <utility>

namespace cowslippin {

/// A daemon's reply to a call.
class CallReply
{
public:
  CallReply(int status, std::string contentType, std::string body)
    : m_status(status)
    , m_contentType(std::move(contentType))
    , m_body(std::move(body))
  {
  }

  int status() const { return m_status; }
  const std::string& contentType() const { return m_contentType; }
  const std::string& body() const { return m_body; }

  friend bool operator==(const CallReply& a, const CallReply& b)
  {
    return a.m_status == b.m_status && a.m_contentType == b.m_contentType &&
           a.m_body == b.m_body;
  }
  friend bool operator!=(const CallReply& a, const CallReply& b)
  {
    return !(a == b);
  }

private:
  int m_status;
  std::string m_contentType;
  std::string m_body;
};

} // namespace cowslippin
