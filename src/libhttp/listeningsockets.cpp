#include "listeningsockets.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstring>
#include <memory>
#include <optional>
#include <utility>

namespace cowslippin {

namespace {

constexpr char descriptorDirectory[] = "/proc/self/fd";

struct DirectoryCloser
{
  void operator()(DIR* directory) const { closedir(directory); }
};

std::vector<int>
openDescriptors()
{
  std::vector<int> descriptors;
  const std::unique_ptr<DIR, DirectoryCloser> directory(
    opendir(descriptorDirectory));
  if (!directory) {
    return descriptors;
  }
  while (const dirent* entry = readdir(directory.get())) {
    const char* last = entry->d_name + std::strlen(entry->d_name);
    int descriptor = 0;
    if (std::from_chars(entry->d_name, last, descriptor).ec == std::errc()) {
      descriptors.push_back(descriptor);
    }
  }
  return descriptors;
}

bool
isListening(int descriptor)
{
  int accepts = 0;
  socklen_t size = sizeof(accepts);
  const int status =
    getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &accepts, &size);
  return status == 0 && accepts != 0;
}

Address
readIpV4(const sockaddr_storage& storage)
{
  sockaddr_in address{};
  std::memcpy(&address, &storage, sizeof(address));
  std::array<char, INET_ADDRSTRLEN> host{};
  inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
  return Address(host.data(), ntohs(address.sin_port));
}

Address
readIpV6(const sockaddr_storage& storage)
{
  sockaddr_in6 address{};
  std::memcpy(&address, &storage, sizeof(address));
  std::array<char, INET6_ADDRSTRLEN> host{};
  inet_ntop(AF_INET6, &address.sin6_addr, host.data(), host.size());
  return Address(host.data(), ntohs(address.sin6_port));
}

std::optional<Address>
localAddress(int descriptor)
{
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  auto* generic = reinterpret_cast<sockaddr*>(&storage);
  if (getsockname(descriptor, generic, &size) != 0) {
    return std::nullopt;
  }
  switch (storage.ss_family) {
    case AF_INET:
      return readIpV4(storage);
    case AF_INET6:
      return readIpV6(storage);
    default:
      return std::nullopt;
  }
}

} // namespace

ListeningSocket::ListeningSocket(int descriptor, Address address)
  : m_descriptor(descriptor)
  , m_address(std::move(address))
{
}

std::vector<ListeningSocket>
listeningSockets()
{
  std::vector<ListeningSocket> sockets;
  for (const int descriptor : openDescriptors()) {
    if (!isListening(descriptor)) {
      continue;
    }
    if (auto address = localAddress(descriptor)) {
      sockets.emplace_back(descriptor, std::move(*address));
    }
  }
  return sockets;
}

} // namespace cowslippin
