#pragma once

#include "libhttp/httpheader.h"

#include "libcore/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cowslippin {

/// A request that an `AsyncHttpConnection` sends.
struct HttpCallRequest
{
  std::string method = "GET";
  /// The path with the query.
  std::string target = "/";
  HttpHeaders headers;
  std::string contentType;
  std::string body;
  /// A call with a longer response body ends as `Unanswered`.
  std::uint64_t maxResponseBytes = std::uint64_t(8) << 20;
  /// Once the response has begun, the longest pause in it; each received part
  /// extends the deadline of the call accordingly. If empty, the deadline
  /// applies to the whole response.
  std::optional<Duration> idleTimeout;
};

/// A request as the bytes that are sent, for owners that send many similar
/// requests.
struct EncodedHttpCall
{
  std::string bytes;
  /// As in `HttpCallRequest`.
  std::uint64_t maxResponseBytes = std::uint64_t(8) << 20;
  std::optional<Duration> idleTimeout;
};

/// The result of a call over an `AsyncHttpConnection`.
struct HttpCallResult
{
  enum class Kind
  {
    /// A whole response was received.
    Answered,
    /// No connection could be established, so nothing was sent.
    NotSent,
    /// The request may have been sent, but no whole response was received. The
    /// server may have carried it out.
    Unanswered,
  };

  Kind kind = Kind::Unanswered;
  int status = 0;
  std::string body;
  /// The received bytes of the response, also if it is incomplete.
  std::size_t receivedBytes = 0;
};

/// A client connection that carries one call at a time and is kept open for the
/// next one. The owner calls `expire` at short intervals to check the deadline,
/// which costs less than a timer for each call.
class AsyncHttpConnection
  : public std::enable_shared_from_this<AsyncHttpConnection>
{
public:
  using Done = std::function<void(const HttpCallResult&)>;

  /// Received parts of a response extend the deadline of its call by this at
  /// most, in which 5 MB are received over a link of 2 Mbit/s.
  static constexpr Duration maxDeadlineExtension = std::chrono::seconds(20);
  /// An idle connection is checked for having been closed by the server before
  /// it is used again, unless its last call ended within this time: the check
  /// is a system call, and a server that has just responded rarely closes the
  /// connection. If it does, the call ends as `Unanswered`.
  static constexpr Duration uncheckedIdleTime = std::chrono::milliseconds(5);

  /// `host` is the value of the header field `Host`; if empty, the address.
  AsyncHttpConnection(boost::asio::io_context& context,
                      Address address,
                      std::string host = {});

  /// Sends a request. Must only be called while `isBusy` is false. `done` is
  /// called once, never from within `call`.
  void call(const HttpCallRequest& order, TimePoint deadline, Done done);
  void send(EncodedHttpCall order, TimePoint deadline, Done done);

  /// Whether a call is in progress.
  bool isBusy() const { return static_cast<bool>(m_done); }
  bool isOpen() const { return m_isConnected; }
  /// Whether a part of the response to the call in progress has been received.
  bool isReceiving() const { return isBusy() && m_receivedBytes > 0; }
  /// When the last call ended.
  TimePoint idleSince() const { return m_idleSince; }

  /// Ends the call in progress if its deadline has passed, and then closes the
  /// connection. The call ends one complete turn of the event loop later,
  /// unless a part of the response is read in that turn: when the loop is late,
  /// the response may be waiting in the socket.
  void expire(TimePoint now);
  /// Closes the connection; a call in progress ends.
  void close();
  /// Ends the call in progress, if there is one, and closes the connection.
  void endNow();
  /// Closes the connection; the callback of a call in progress is dropped.
  void abandon();

private:
  void extendDeadline(TimePoint now);
  void endIfStillOverdue(std::size_t receivedBefore);
  bool hasUnreadBytes() const;

  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void connect();
  void write();
  void writeRest(std::size_t sent);
  void read();
  void readMore();
  void bytesRead(boost::system::error_code error, std::size_t bytes);
  boost::system::error_code parse();
  boost::system::error_code parseEndOfStream();
  void endCall(HttpCallResult::Kind kind);
  std::string encode(const HttpCallRequest& order) const;
  bool mayBeClosedByPeer() const;
  bool wasClosedByPeer();

  boost::asio::ip::tcp::socket m_socket;
  const Address m_address;
  const std::string m_host;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::string m_output;
  Done m_done;
  TimePoint m_deadline{};
  std::optional<Duration> m_idleTimeout;
  std::uint64_t m_maxResponseBytes = 0;
  /// The deadline is never extended beyond this.
  TimePoint m_latestDeadline{};
  TimePoint m_idleSince{};
  /// Whether the deadline has passed and the turn of the event loop after it is
  /// in progress.
  bool m_isOverdue = false;
  /// How often the call went on after its deadline because something was read.
  unsigned m_reprieves = 0;
  bool m_isConnected = false;
  bool m_isSent = false;
  /// The size of the next read.
  std::size_t m_readBytes = 0;
  std::size_t m_receivedBytes = 0;
  /// `m_receivedBytes` when the deadline was last extended.
  std::size_t m_bytesAtExtension = 0;
  /// Rises at the start and end of each call, so that completions of operations
  /// of an ended call are ignored.
  std::uint64_t m_generation = 0;
};

} // namespace cowslippin
