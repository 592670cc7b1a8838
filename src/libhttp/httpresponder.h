#pragma once

#include "httpservice.h"

#include <cxxtools/http/responder.h>

namespace cowslippin {

/// Reads one request of a cxxtools server and writes its reply.
class HttpResponder : public cxxtools::http::Responder
{
public:
  explicit HttpResponder(HttpService& service);

  void beginRequest(cxxtools::net::TcpSocket& socket,
                    std::istream& in,
                    cxxtools::http::Request& request) override;
  std::size_t readBody(std::istream& in) override;
  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override;

private:
  bool isBodyTooLarge() const;
  HttpReply makeReply(const cxxtools::http::Request& request);

  HttpService& m_service;
  std::string m_body;
  std::size_t m_bodyBytes = 0;
  /// Whether the header says how long the body is, in a way that holds.
  bool m_isLengthValid = true;
};

} // namespace cowslippin
