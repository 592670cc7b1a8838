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

/// A call for `HttpChannel`.
struct HttpCallOrder
{
  std::string method = "GET";
  /// Path and query.
  std::string target = "/";
  HttpHeaders headers;
  std::string contentType;
  std::string body;
  /// How long an answer may pause once it has begun; then the deadline of the
  /// call no longer counts. Nothing: the whole answer must be there by then.
  std::optional<Duration> pauseLimit;
};

/// How a call over an `HttpChannel` ended.
struct HttpCallEnd
{
  enum class Kind
  {
    Answered,
    /// No connection could be had; nothing was sent.
    NotSent,
    /// It may have been carried out.
    Unanswered,
  };

  Kind kind = Kind::Unanswered;
  int status = 0;
  std::string body;
  /// How much of an answer came, whole or not.
  std::size_t receivedBytes = 0;
};

/// One client connection that carries one call at a time and is kept for the
/// next. Times are checked by `expire`, which the owner calls at short
/// intervals: that costs less than a timer for each call.
class HttpChannel : public std::enable_shared_from_this<HttpChannel>
{
public:
  using Done = std::function<void(const HttpCallEnd&)>;

  /// Answers longer than this are taken as none, in bytes.
  static constexpr std::uint64_t maxAnswerBytes = std::uint64_t(8) << 20;
  /// However steadily it comes, an answer is given up so long after the
  /// deadline of its call: on a link of 2 Mbit/s 5 MB have come by then.
  static constexpr Duration maxAnswerTime = std::chrono::seconds(20);

  /// `host` is what the calls name as their host; empty for the address.
  HttpChannel(boost::asio::io_context& context,
              Address address,
              std::string host = {});

  /// Only while `isBusy` is false. `done` is called once, never from within.
  void call(const HttpCallOrder& order, TimePoint deadline, Done done);

  bool isBusy() const { return static_cast<bool>(m_done); }
  bool isOpen() const { return m_isConnected; }
  /// Whether a part of an answer has come.
  bool isReceiving() const { return isBusy() && m_receivedBytes > 0; }
  TimePoint idleSince() const { return m_idleSince; }

  /// Ends a call whose time is over, and closes the connection with it.
  void expire(TimePoint now);
  /// Closes the connection; a call under way ends.
  void close();

private:
  void extendDeadline(TimePoint now);

  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void connect();
  void write();
  void read();
  void readOn();
  void partRead(boost::system::error_code error, std::size_t bytes);
  boost::system::error_code parse();
  boost::system::error_code parseEnd();
  void end(HttpCallEnd::Kind kind);
  std::string render(const HttpCallOrder& order) const;
  bool wasClosedByPeer();

  boost::asio::ip::tcp::socket m_socket;
  const Address m_address;
  const std::string m_host;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::string m_output;
  Done m_done;
  TimePoint m_deadline{};
  std::optional<Duration> m_pauseLimit;
  TimePoint m_lastDeadline{};
  TimePoint m_idleSince{};
  bool m_isConnected = false;
  bool m_isSent = false;
  /// How much is read at a time.
  std::size_t m_readBytes = 0;
  std::size_t m_receivedBytes = 0;
  /// What of it the deadline allows for already.
  std::size_t m_heededBytes = 0;
  /// Rises with each call, so that what belongs to an ended one is ignored.
  std::uint64_t m_generation = 0;
};

} // namespace cowslippin
