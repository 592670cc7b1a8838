#include "httpresponder.h"

#include "problemreply.h"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <cstring>
#include <istream>
#include <limits>
#include <stdexcept>
#include <utility>

namespace cowslippin {

namespace {

/// How much more than is allowed is read and dropped, so that the client sees
/// the reply rather than a reset connection.
constexpr std::size_t maxDroppedBytes = std::size_t{ 64 } * 1024 * 1024;

constexpr int maxLengthDigits = std::numeric_limits<std::size_t>::digits10;

bool
isLengthValid(const cxxtools::http::Request& request)
{
  if (request.hasHeader("Transfer-Encoding")) {
    return false;
  }
  const char* length = request.getHeader("Content-Length");
  if (!length) {
    return true;
  }
  const std::size_t size = std::strlen(length);
  const bool isShort = size > 0 && size <= maxLengthDigits;
  return isShort && std::strspn(length, "0123456789") == size;
}

HttpHeaders
copyHeaders(const cxxtools::http::Request& request)
{
  HttpHeaders headers;
  for (const auto& [name, value] : request.header()) {
    std::string trimmed = name;
    trimmed.erase(std::find(trimmed.begin(), trimmed.end(), ':'),
                  trimmed.end());
    headers.emplace_back(std::move(trimmed), value);
  }
  return headers;
}

HttpReply
bodyTooLarge(std::size_t maxBodyBytes)
{
  const std::string allowed = std::to_string(maxBodyBytes) + " bytes";
  return problemReply(Problem(ProblemKind::BodyTooLarge,
                              RunState::NotRun,
                              "the body is longer than " + allowed));
}

HttpReply
lengthMissing()
{
  return problemReply(Problem(ProblemKind::MalformedBody,
                              RunState::NotRun,
                              "the body needs a valid Content-Length"));
}

std::string
reasonOf(int status)
{
  const auto value = static_cast<unsigned>(status);
  return std::string(boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(value)));
}

void
write(const HttpReply& from, std::ostream& out, cxxtools::http::Reply& to)
{
  to.httpReturn(static_cast<unsigned>(from.status()), reasonOf(from.status()));
  if (!from.contentType().empty()) {
    to.setHeader("Content-Type", from.contentType().c_str());
  }
  for (const HttpHeader& header : from.headers()) {
    to.addHeader(header.name().c_str(), header.value().c_str());
  }
  out << from.body();
}

} // namespace

HttpResponder::HttpResponder(HttpService& service)
  : Responder(service)
  , m_service(service)
{
}

void
HttpResponder::beginRequest(cxxtools::net::TcpSocket& /*socket*/,
                            std::istream& /*in*/,
                            cxxtools::http::Request& request)
{
  m_isLengthValid = isLengthValid(request);
}

std::size_t
HttpResponder::readBody(std::istream& in)
{
  std::streambuf& buffer = *in.rdbuf();
  const std::streamsize available = buffer.in_avail();
  if (available <= 0) {
    return 0;
  }
  const std::size_t begin = m_body.size();
  m_body.resize(begin + static_cast<std::size_t>(available));
  const auto count =
    static_cast<std::size_t>(buffer.sgetn(m_body.data() + begin, available));
  m_body.resize(begin + count);
  m_bodyBytes += count;
  if (isBodyTooLarge()) {
    m_body.clear();
  }
  if (m_bodyBytes > m_service.settings().maxBodyBytes + maxDroppedBytes) {
    throw std::length_error("the body is too long");
  }
  return count;
}

bool
HttpResponder::isBodyTooLarge() const
{
  return m_bodyBytes > m_service.settings().maxBodyBytes;
}

HttpReply
HttpResponder::makeReply(const cxxtools::http::Request& request)
{
  if (!m_isLengthValid) {
    return lengthMissing().withHeader("Connection", "close");
  }
  if (isBodyTooLarge()) {
    return bodyTooLarge(m_service.settings().maxBodyBytes)
      .withHeader("Connection", "close");
  }
  HttpRequest::Fields fields;
  fields.method = request.method();
  fields.path = request.url();
  fields.query = request.qparams();
  fields.headers = copyHeaders(request);
  fields.body = std::move(m_body);
  return m_service.handle(HttpRequest(std::move(fields)));
}

void
HttpResponder::reply(std::ostream& out,
                     cxxtools::http::Request& request,
                     cxxtools::http::Reply& reply)
{
  write(makeReply(request), out, reply);
}

} // namespace cowslippin
