#include "standinexchange.h"

#include <cxxtools/query_params.h>

#include <poll.h>
#include <sys/socket.h>

#include <charconv>
#include <chrono>
#include <thread>

namespace cowslippin::standins {

namespace {

constexpr std::chrono::milliseconds holdStep(20);
constexpr int sendWaitMs = 1000;

std::string
reasonPhrase(int status)
{
  return status == 200 ? "OK" : "Status " + std::to_string(status);
}

bool
waitWritable(int socket)
{
  pollfd waited{ socket, POLLOUT, 0 };
  return poll(&waited, 1, sendWaitMs) == 1;
}

void
sendAll(int socket, const std::string& bytes)
{
  std::size_t sent = 0;
  while (sent < bytes.size() && waitWritable(socket)) {
    const ssize_t count =
      ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(count);
  }
}

} // namespace

StandinExchange::StandinExchange(int socket,
                                 cxxtools::http::Request& request,
                                 cxxtools::http::Reply& reply)
  : m_socket(socket)
  , m_request(request)
  , m_reply(reply)
  , m_body(request.bodyStr())
{
}

const std::string&
StandinExchange::method() const
{
  return m_request.method();
}

const std::string&
StandinExchange::path() const
{
  return m_request.url();
}

std::string
StandinExchange::header(const char* name) const
{
  const char* value = m_request.getHeader(name);
  return value == nullptr ? std::string() : std::string(value);
}

std::uint64_t
StandinExchange::queryNumber(const std::string& name,
                             std::uint64_t otherwise) const
{
  const cxxtools::QueryParams params(m_request.qparams());
  const std::string& text = params.param(name);
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  const bool isNumber = !text.empty() && error == std::errc() && end == last;
  return isNumber ? number : otherwise;
}

void
StandinExchange::setHeader(const char* name, const std::string& value)
{
  m_reply.setHeader(name, value.c_str());
}

void
StandinExchange::answer(int status, const nlohmann::json& body)
{
  m_reply.httpReturn(static_cast<unsigned>(status), reasonPhrase(status));
  m_reply.setHeader("Content-Type", "application/json");
  m_reply.bodyStream() << body.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void
StandinExchange::drop()
{
  ::shutdown(m_socket, SHUT_RDWR);
}

void
StandinExchange::sendRawAndDrop(const std::string& bytes)
{
  sendAll(m_socket, bytes);
  drop();
}

void
StandinExchange::holdUntil(const std::function<bool()>& isOver) const
{
  while (!isOver() && !isCallerGone()) {
    std::this_thread::sleep_for(holdStep);
  }
}

bool
StandinExchange::isCallerGone() const
{
  pollfd waited{ m_socket, POLLRDHUP, 0 };
  return poll(&waited, 1, 0) == 1;
}

} // namespace cowslippin::standins
