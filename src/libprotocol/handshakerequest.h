#pragma once

#include <websocketpp/http/request.hpp>

#include <algorithm>
#include <cstddef>

namespace cowslippin {

/// The request of a WebSocket handshake as websocketpp reads it, which keeps it
/// as long as the connection. Bounds its size: short fields of a header take
/// many times their size.
class HandshakeRequest : public websocketpp::http::parser::request
{
public:
  /// Limit of all bytes. A daemon's handshake has some 200.
  static constexpr std::size_t maxBytes = 2048;

  /// Reads bytes and returns how many of them belong to the request. Throws
  /// `websocketpp::http::exception`, which websocketpp answers, if there are
  /// too many.
  std::size_t consume(const char* bytes, std::size_t size)
  {
    const std::size_t consumed =
      request::consume(bytes, std::min(size, maxBytes - m_bytes));
    m_bytes += consumed;
    if (!ready() && m_bytes == maxBytes)
      throw websocketpp::http::exception(
        "Handshake too large",
        websocketpp::http::status_code::request_header_fields_too_large);
    return consumed;
  }

private:
  std::size_t m_bytes = 0;
};

} // namespace cowslippin
