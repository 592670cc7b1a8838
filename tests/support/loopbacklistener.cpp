#include "loopbacklistener.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>

namespace cowslippin::testing {

int
listenOnLoopback(int backlog)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (bind(socket, generic, sizeof(address)) != 0 ||
      listen(socket, backlog) != 0) {
    throw std::system_error(errno, std::generic_category(), "listen");
  }
  return socket;
}

Address
boundAddress(int socket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return Address("127.0.0.1", ntohs(address.sin_port));
}

} // namespace cowslippin::testing
