#pragma once

#include "handshakerequest.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

namespace cowslippin {

/// How websocketpp is set up for both roles: over Asio, without TLS, without
/// compression, without logs of its own, and without locks, as one thread does
/// all the work. The names in it are websocketpp's.
// NOLINTBEGIN(readability-identifier-naming)
struct WebSocketConfig : public websocketpp::config::core_client
{
  using type = WebSocketConfig;
  using base = websocketpp::config::core_client;
  using concurrency_type = websocketpp::concurrency::none;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using request_type = HandshakeRequest;
  using rng_type =
    websocketpp::random::random_device::int_generator<std::uint32_t,
                                                      concurrency_type>;

  struct transport_config : public base::transport_config
  {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    using request_type = type::request_type;
    using response_type = type::response_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static const bool enable_multithreading = false;
  };
  using transport_type =
    websocketpp::transport::asio::endpoint<transport_config>;
};
// NOLINTEND(readability-identifier-naming)

using WebSocketClient = websocketpp::client<WebSocketConfig>;
using WebSocketServer = websocketpp::server<WebSocketConfig>;
using WebSocketConnection = websocketpp::connection<WebSocketConfig>;

} // namespace cowslippin
