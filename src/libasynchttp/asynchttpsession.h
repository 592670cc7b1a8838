#pragma once

#include "asynchttpserver.h"
#include "boundedbody.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>

namespace cowslippin {

/// A client's connection to a server, and its pending request if there is one.
class AsyncHttpServer::Session
  : public HttpTransaction
  , public std::enable_shared_from_this<Session>
{
public:
  Session(boost::asio::ip::tcp::socket socket,
          std::shared_ptr<ConnectionBudget> budget,
          std::weak_ptr<AsyncHttpServer*> server);
  ~Session() override;

  void readRequest();
  void answer(const HttpReply& reply) override;
  Duration maxRequestAge() const override { return m_requestAge; }
  void onClientDisconnected(std::function<void()> callback) override;
  void closeIfIdle();
  /// Closes the connection and returns what it holds.
  void close();
  /// Whether it is open and no request is being served: it waits for a request,
  /// for the rest of one, or for the client to read an answer.
  bool isWaitingForClient() const
  {
    return !m_isClosed && (!m_isPending || m_isAnswered);
  }
  /// Whether the rest of a request is missing, or an answer isn't sent yet.
  bool isWaitingForRest() const { return m_waitingSince.has_value(); }
  /// Whether that has taken longer than a client has for it.
  bool isLate(TimePoint now) const;
  /// Whether it is closed before another one that also waits, to make room for
  /// a new connection: slow clients first, then those without a request, each
  /// in the order of how long they have waited.
  bool closesBefore(const Session& other, TimePoint now) const;

private:
  using Parser = boost::beast::http::request_parser<BoundedBody>;
  using ErrorCode = boost::system::error_code;

  /// Parses what the buffer has. Reads more if that isn't a whole request.
  void parse();
  void readSome();
  /// The client has to send more, or to read, from now on if it didn't before.
  void waitForRest();
  /// How long the client has for the request in progress.
  Duration requestTimeout(const AsyncHttpServer& server);
  /// Tells the budget what the session holds. Returns false if the session had
  /// to close.
  bool account();
  std::size_t heldBytes() const;
  /// Whether the header, with the trailers if they have arrived, has more
  /// fields than allowed.
  bool hasTooManyFields(const AsyncHttpServer& server) const;
  void requestRead(AsyncHttpServer& server);
  void refuse(int status);
  /// Returns the memory of a large request.
  void shrinkBuffer();
  /// Waits for the client to disconnect. Ends without effect when bytes of a
  /// further request arrive.
  void watchForDisconnect();
  void checkForDisconnect();
  void replyWritten(ErrorCode error, bool isLast);
  void closeForBudget();
  bool isSlow(TimePoint now) const;
  void setPending(bool isPending);

  boost::asio::ip::tcp::socket m_socket;
  const std::weak_ptr<AsyncHttpServer*> m_server;
  /// Holds no more than the longest part of a request that is parsed as a
  /// whole: its header, the line before a chunk, or its trailers.
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::size_t m_readBytes;
  std::string m_output;
  ConnectionBudget::Share m_share;
  /// Since when the rest of a request is missing, or an answer is being
  /// written.
  std::optional<TimePoint> m_waitingSince;
  /// How long the client has from then on. It is set anew with the header.
  Duration m_clientTimeout;
  bool m_isRequestTimeoutKnown = false;
  TimePoint m_idleSince;
  Duration m_requestAge = Duration::zero();
  std::function<void()> m_onClientDisconnected;
  bool m_keepAlive = true;
  bool m_isPending = false;
  bool m_isAnswered = false;
  bool m_isWatchingForDisconnect = false;
  bool m_isClosed = false;
};

} // namespace cowslippin
