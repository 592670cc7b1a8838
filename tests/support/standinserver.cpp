#include "standinserver.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace cowslippin::standins {

namespace {

constexpr unsigned minServerThreads = 20;
constexpr unsigned maxServerThreads = 2000;
constexpr int listenBacklog = 4096;
constexpr int maxScannedSocket = 256;

class StandinResponder : public cxxtools::http::Responder
{
public:
  StandinResponder(cxxtools::http::Service& service,
                   const StandinHandler& handler)
    : Responder(service)
    , m_handler(handler)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& socket,
                    std::istream& in,
                    cxxtools::http::Request& request) override
  {
    m_socket = socket.getFd();
    Responder::beginRequest(socket, in, request);
  }

  void reply(std::ostream&,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override
  {
    StandinExchange exchange(m_socket, request, reply);
    m_handler(exchange);
  }

private:
  const StandinHandler& m_handler;
  int m_socket = -1;
};

class StandinService : public cxxtools::http::Service
{
public:
  explicit StandinService(const StandinHandler& handler)
    : m_handler(handler)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override
  {
    return new StandinResponder(*this, m_handler);
  }

  void releaseResponder(cxxtools::http::Responder* responder) override
  {
    delete responder;
  }

private:
  const StandinHandler& m_handler;
};

bool
isListening(int socket)
{
  int accepts = 0;
  socklen_t size = sizeof(accepts);
  const int result =
    getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &accepts, &size);
  return result == 0 && accepts != 0;
}

Address
localAddress(int socket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return Address(text, ntohs(address.sin_port));
}

/// The process's only listening socket.
int
findListeningSocket()
{
  for (int socket = 0; socket < maxScannedSocket; ++socket) {
    if (isListening(socket)) {
      return socket;
    }
  }
  std::cerr << "no listening socket found\n";
  std::exit(EXIT_FAILURE);
}

sigset_t
endingSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void
exitOnSignal()
{
  const sigset_t signals = endingSignals();
  int received = 0;
  sigwait(&signals, &received);
  std::_Exit(EXIT_SUCCESS);
}

void
blockSignals()
{
  const sigset_t signals = endingSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

void
serveStandin(const Address& listen, const StandinHandler& handler)
{
  blockSignals();
  std::thread(exitOnSignal).detach();
  cxxtools::EventLoop loop;
  cxxtools::http::Server server(loop, listen.host(), listen.port());
  server.minThreads(minServerThreads);
  server.maxThreads(maxServerThreads);
  StandinService service(handler);
  server.addService(cxxtools::Regex(".*"), service);
  const int socket = findListeningSocket();
  ::listen(socket, listenBacklog);
  std::cout << "listening " << localAddress(socket).toString() << std::endl;
  loop.run();
}

} // namespace cowslippin::standins
