#include "crowdclient.h"

#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace cowslippin::testing {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

constexpr Duration reconnectDelay = std::chrono::milliseconds(200);
/// A write that makes no progress for so long waits for the other side.
constexpr Duration stallLimit = std::chrono::seconds(2);
constexpr std::size_t readBytes = 4096;
/// Small, so that most bytes that were sent have reached the server.
constexpr int sendBufferBytes = 16 * 1024;

} // namespace

struct CrowdClient::State : public std::enable_shared_from_this<State>
{
  State(net::io_context& context, Settings given)
    : settings(std::move(given))
    , socket(context)
    , timer(context)
  {
  }

  /// Drops the ends of operations of earlier connections.
  template<class Handler>
  auto guarded(Handler handler)
  {
    return [weak = weak_from_this(), handler, number = connection](
             error_code error, std::size_t count = 0) {
      const auto self = weak.lock();
      if (self && self->connection == number && !self->isWaiting)
        handler(*self, error, count);
    };
  }

  void connect()
  {
    sent = 0;
    socket = tcp::socket(socket.get_executor(), tcp::v4());
    socket.set_option(net::socket_base::send_buffer_size(sendBufferBytes));
    const tcp::endpoint endpoint(net::ip::make_address(settings.server.host()),
                                 settings.server.port());
    socket.async_connect(
      endpoint, guarded([](State& self, error_code error, std::size_t) {
        if (error) {
          self.reconnect();
          return;
        }
        self.writeNext();
        self.read();
      }));
  }

  void writeNext()
  {
    output = settings.nextBytes(sent);
    if (output.empty()) {
      hasArrived = true;
      return;
    }
    lastProgress = steadyNow();
    net::async_write(
      socket,
      net::buffer(output),
      guarded([](State& self, error_code error, std::size_t count) {
        if (error) {
          self.reconnect();
          return;
        }
        self.sent += count;
        self.writeNext();
      }));
  }

  void read()
  {
    if (!settings.reads)
      return;
    socket.async_read_some(
      net::buffer(input),
      guarded([](State& self, error_code error, std::size_t) {
        if (error)
          self.reconnect();
        else
          self.read();
      }));
  }

  void reconnect()
  {
    hasArrived = true;
    if (std::exchange(isWaiting, true))
      return;
    error_code ignored;
    socket.close(ignored);
    timer.expires_after(reconnectDelay);
    timer.async_wait([weak = weak_from_this()](error_code error) {
      const auto self = weak.lock();
      if (!self || error)
        return;
      self->isWaiting = false;
      ++self->connection;
      self->connect();
    });
  }

  const Settings settings;
  tcp::socket socket;
  net::steady_timer timer;
  std::string output;
  std::array<char, readBytes> input{};
  std::size_t sent = 0;
  unsigned connection = 0;
  TimePoint lastProgress{};
  bool hasArrived = false;
  bool isWaiting = false;
};

CrowdClient::CrowdClient(net::io_context& context, Settings settings)
  : m_state(std::make_shared<State>(context, std::move(settings)))
{
  m_state->connect();
}

CrowdClient::~CrowdClient()
{
  error_code ignored;
  m_state->socket.close(ignored);
}

bool
CrowdClient::hasArrived() const
{
  return m_state->hasArrived ||
         (!m_state->output.empty() &&
          steadyNow() - m_state->lastProgress > stallLimit);
}

} // namespace cowslippin::testing
