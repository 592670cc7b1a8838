#pragma once

#include "callend.h"
#include "connection.h"
#include "endpointcall.h"
#include "endpointprobe.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>

namespace cowslippin {

/// One call of an endpoint on one connection, from its start to its end. All
/// of it runs on the connection's strand.
class EndpointExchange : public std::enable_shared_from_this<EndpointExchange>
{
public:
  struct Settings
  {
    std::size_t maxAnswerBytes;
    Duration connectTimeout;
    Duration silenceProbeAfter;
    Connection::SilenceLimits silenceLimits;
  };

  struct Hooks
  {
    /// Asks for a health check of the endpoint on a new connection.
    std::function<void(const Endpoint&, EndpointProbe::Done)> probe;
    /// Told first that the call has ended, so that the connection is free.
    std::function<void(bool isConnectionReusable)> ended;
    /// Told then how it ended.
    std::function<void(const CallEnd&)> done;
  };

  EndpointExchange(const EndpointCall& call,
                   std::shared_ptr<Connection> connection,
                   const Settings& settings,
                   Hooks hooks);

  /// Starts the call. `startedAt` is when the caller made it.
  void start(TimePoint startedAt);

  /// Ends the call early. Safe from any thread.
  void cancel();

private:
  enum class Phase
  {
    NotStarted,
    Connecting,
    Sending,
    Waiting,
    Ended,
  };

  void begin();
  void connect();
  void connected(boost::system::error_code error);
  void send();
  void sent(boost::system::error_code error, std::size_t bytes);
  void receive();
  void received(boost::system::error_code error);
  void receiveFailed(boost::system::error_code error);

  void armTimer();
  TimePoint nextTimeout() const;
  void timedOut();
  void probe();
  void probed(ProbeResult result);

  void endWithAnswer();
  void endNotSent(NotSentReason reason, const std::string& detail);
  void endWithoutAnswer(CallOutcome outcome, const std::string& detail);
  void end(CallEnd::Fields fields, bool isConnectionReusable);
  bool isBeforeSending() const;

  const Endpoint m_endpoint;
  const Duration m_timeout;
  const std::shared_ptr<Connection> m_connection;
  const Settings m_settings;
  Hooks m_hooks;

  Phase m_phase = Phase::NotStarted;
  TimePoint m_startedAt{};
  TimePoint m_nextProbe{};
  std::optional<bool> m_endpointReachable;
  boost::asio::steady_timer m_timer;
  boost::beast::http::request<boost::beast::http::string_body> m_request;
  boost::beast::http::response_parser<boost::beast::http::string_body> m_answer;
};

} // namespace cowslippin
