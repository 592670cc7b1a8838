#include "endpointprobe.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace cowslippin {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr char healthPath[] = "/health";
constexpr unsigned httpVersion = 11;

} // namespace

EndpointProbe::EndpointProbe(std::shared_ptr<Connection> connection, Done done)
  : m_connection(std::move(connection))
  , m_done(std::move(done))
  , m_timer(m_connection->strand())
  , m_request(http::verb::get, healthPath, httpVersion)
{
  m_request.set(http::field::host, m_connection->address().toString());
  m_request.keep_alive(false);
}

void
EndpointProbe::start(const Connection::SilenceLimits& limits, Duration timeout)
{
  const auto begin = [self = shared_from_this(), limits, timeout] {
    self->m_timer.expires_after(timeout);
    self->m_timer.async_wait([self](error_code error) {
      if (!error) {
        self->end(self->m_resultSoFar);
      }
    });
    self->m_connection->connect(
      limits, [self](error_code error) { self->connected(error); });
  };
  boost::asio::post(m_connection->strand(), begin);
}

void
EndpointProbe::connected(error_code error)
{
  if (error) {
    end(m_resultSoFar);
    return;
  }
  m_resultSoFar = ProbeResult::Connected;
  http::async_write(m_connection->socket(),
                    m_request,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error) {
                        self->end(self->m_resultSoFar);
                        return;
                      }
                      self->readAnswer();
                    });
}

void
EndpointProbe::readAnswer()
{
  const auto read = [self = shared_from_this()](error_code error, std::size_t) {
    if (error) {
      self->end(self->m_resultSoFar);
    } else if (self->m_answer.is_header_done()) {
      self->end(ProbeResult::Answered);
    } else {
      self->readAnswer();
    }
  };
  http::async_read_some(
    m_connection->socket(), m_connection->buffer(), m_answer, read);
}

void
EndpointProbe::end(ProbeResult result)
{
  if (!m_done) {
    return;
  }
  m_timer.cancel();
  const Done done = std::move(m_done);
  m_done = nullptr;
  done(result);
}

} // namespace cowslippin
