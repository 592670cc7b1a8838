#pragma once

#include "httpheader.h"

#include "libcore/core.h"

namespace cowslippin {

/// One POST to an endpoint.
class EndpointCall
{
public:
  struct Fields
  {
    explicit Fields(Endpoint target)
      : endpoint(std::move(target))
    {
    }

    Endpoint endpoint;
    std::string path = "/";
    std::string contentType = "application/json";
    std::string body;
    HttpHeaders headers;
    /// From the call of the client to the last byte of the answer.
    Duration timeout = std::chrono::seconds(30);
  };

  explicit EndpointCall(Fields fields);

  const Endpoint& endpoint() const { return m_fields.endpoint; }
  const std::string& path() const { return m_fields.path; }
  const std::string& contentType() const { return m_fields.contentType; }
  const std::string& body() const { return m_fields.body; }
  const HttpHeaders& headers() const { return m_fields.headers; }
  Duration timeout() const { return m_fields.timeout; }

  friend bool operator==(const EndpointCall& a, const EndpointCall& b);
  friend bool operator!=(const EndpointCall& a, const EndpointCall& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
