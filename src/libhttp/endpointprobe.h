#pragma once

#include "connection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>

namespace cowslippin {

/// What a health check on a new connection found.
enum class ProbeResult
{
  /// The endpoint answered, with whatever status.
  Answered,
  /// The connection was made; no answer came.
  Connected,
  /// The connection could not be made.
  Unreachable,
  /// As many connections as the endpoint allows are in use.
  NotTried,
};

/// One health check of an endpoint on a new connection. It lives until it has
/// told its result.
class EndpointProbe : public std::enable_shared_from_this<EndpointProbe>
{
public:
  using Done = std::function<void(ProbeResult)>;

  EndpointProbe(std::shared_ptr<Connection> connection, Done done);

  /// Starts it. `done` is told once, on an I/O thread.
  void start(const Connection::SilenceLimits& limits, Duration timeout);

private:
  void connected(boost::system::error_code error);
  void readAnswer();
  void end(ProbeResult result);

  const std::shared_ptr<Connection> m_connection;
  Done m_done;
  ProbeResult m_resultSoFar = ProbeResult::Unreachable;
  boost::asio::steady_timer m_timer;
  boost::beast::http::request<boost::beast::http::empty_body> m_request;
  boost::beast::http::response_parser<boost::beast::http::string_body> m_answer;
};

} // namespace cowslippin
