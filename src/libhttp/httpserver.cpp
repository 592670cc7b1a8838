#include "httpserver.h"

#include "httpresponder.h"
#include "listeningsockets.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>

#include <sys/socket.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>

namespace cowslippin {

namespace {

constexpr char anyUrl[] = ".*";

cxxtools::Milliseconds
toCxxtools(Duration duration)
{
  const auto whole = std::chrono::ceil<std::chrono::milliseconds>(duration);
  return cxxtools::Milliseconds(static_cast<double>(whole.count()));
}

bool
contains(const std::vector<ListeningSocket>& sockets,
         const ListeningSocket& socket)
{
  return std::find(sockets.begin(), sockets.end(), socket) != sockets.end();
}

/// The socket that began to listen since `before` was taken.
ListeningSocket
findNewSocket(const std::vector<ListeningSocket>& before, const Address& listen)
{
  std::vector<ListeningSocket> found;
  for (const ListeningSocket& socket : listeningSockets()) {
    const Address& address = socket.address();
    const bool isPortRight =
      listen.port() == 0 || listen.port() == address.port();
    if (isPortRight && address.host() == listen.host() &&
        !contains(before, socket)) {
      found.push_back(socket);
    }
  }
  if (found.size() != 1) {
    throw std::runtime_error("cannot tell the listening socket of " +
                             listen.toString());
  }
  return found.front();
}

} // namespace

/// The cxxtools server, the thread of its event loop and its end.
class HttpServer::Core : public std::enable_shared_from_this<Core>
{
public:
  Core(Settings settings, Handler handler)
    : m_settings(std::move(settings))
    , m_service({ std::move(handler),
                  m_settings.maxBodyBytes,
                  m_settings.handlerThrew })
  {
    m_server = std::make_unique<cxxtools::http::Server>(m_loop);
    configure();
    listen();
    m_thread = std::thread([this] { m_loop.run(); });
  }

  const Address& address() const { return m_address; }
  std::size_t requestsInFlight() const { return m_service.inFlight(); }

  void stop()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!m_isStopping) {
      m_isStopping = true;
      std::thread([self = shared_from_this()] { self->shutDown(); }).detach();
    }
    m_stopped.wait_for(
      lock, m_settings.stopGrace, [this] { return m_hasStopped; });
  }

private:
  void configure()
  {
    m_server->minThreads(m_settings.minThreads);
    m_server->maxThreads(m_settings.maxThreads);
    m_server->readTimeout(toCxxtools(m_settings.readTimeout));
    m_server->keepAliveTimeout(toCxxtools(m_settings.keepAliveTimeout));
    m_server->addService(cxxtools::Regex(anyUrl), m_service);
  }

  void listen()
  {
    // Sockets are told apart by comparing before and after, so servers of one
    // process must begin to listen one by one.
    static std::mutex mutex;
    const std::lock_guard<std::mutex> lock(mutex);
    const auto before = listeningSockets();
    m_server->listen(m_settings.listen.host(), m_settings.listen.port());
    const ListeningSocket socket = findNewSocket(before, m_settings.listen);
    m_address = socket.address();
    // cxxtools listens with a backlog of 64 and has no setting for it.
    if (::listen(socket.descriptor(), m_settings.backlog) != 0) {
      throw std::runtime_error("cannot raise the backlog of " +
                               m_address.toString());
    }
  }

  /// Destroying the server ends its accepting first and then waits for every
  /// thread that is with a request, until its reply is written.
  void shutDown()
  {
    m_loop.exit();
    m_thread.join();
    m_server.reset();
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_hasStopped = true;
    m_stopped.notify_all();
  }

  const Settings m_settings;
  cxxtools::EventLoop m_loop;
  HttpService m_service;
  std::unique_ptr<cxxtools::http::Server> m_server;
  Address m_address;
  std::thread m_thread;

  std::mutex m_mutex;
  std::condition_variable m_stopped;
  bool m_isStopping = false;
  bool m_hasStopped = false;
};

HttpServer::HttpServer(Settings settings, Handler handler)
  : m_core(std::make_shared<Core>(std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
  stop();
}

const Address&
HttpServer::address() const
{
  return m_core->address();
}

std::size_t
HttpServer::requestsInFlight() const
{
  return m_core->requestsInFlight();
}

void
HttpServer::stop()
{
  m_core->stop();
}

} // namespace cowslippin
