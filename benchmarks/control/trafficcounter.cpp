#include "trafficcounter.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <functional>
#include <string>
#include <system_error>
#include <unordered_set>

namespace {

constexpr std::size_t bufferSize = 65536;
constexpr std::uint32_t allStates = 0xffffffff;

struct DumpRequest
{
  nlmsghdr header;
  inet_diag_req_v2 body;
};

[[noreturn]] void
throwSystemError(const char* what)
{
  throw std::system_error(errno, std::generic_category(), what);
}

/// A netlink socket, closed at the end of its scope.
class DiagSocket
{
public:
  DiagSocket()
    : m_descriptor(
        socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
  {
    if (m_descriptor < 0) {
      throwSystemError("sock_diag");
    }
  }
  ~DiagSocket() { close(m_descriptor); }
  DiagSocket(const DiagSocket&) = delete;
  DiagSocket& operator=(const DiagSocket&) = delete;

  int descriptor() const { return m_descriptor; }

private:
  int m_descriptor;
};

void
requestDump(const DiagSocket& socket)
{
  DumpRequest request{};
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_ext = 1U << (INET_DIAG_INFO - 1);
  request.body.idiag_states = allStates;
  if (send(socket.descriptor(), &request, sizeof(request), 0) < 0) {
    throwSystemError("sock_diag request");
  }
}

ProcessUsage
usageOf(const tcp_info& info)
{
  ProcessUsage usage;
  usage.bytesIn = static_cast<double>(info.tcpi_bytes_received);
  usage.bytesOut = static_cast<double>(info.tcpi_bytes_acked);
  usage.segmentsIn = static_cast<double>(info.tcpi_segs_in);
  usage.segmentsOut = static_cast<double>(info.tcpi_segs_out);
  return usage;
}

using Found = std::function<void(std::uint64_t inode, const ProcessUsage&)>;

void
readSocket(const nlmsghdr& header, const Found& found)
{
  inet_diag_msg message{};
  std::memcpy(&message, NLMSG_DATA(&header), sizeof(message));
  const auto* bytes = static_cast<const char*>(NLMSG_DATA(&header));
  std::size_t at = NLMSG_ALIGN(sizeof(message));
  const std::size_t end = header.nlmsg_len - NLMSG_HDRLEN;
  while (at + sizeof(nlattr) <= end) {
    nlattr attribute{};
    std::memcpy(&attribute, bytes + at, sizeof(attribute));
    if (attribute.nla_len < sizeof(attribute)) {
      return;
    }
    if (attribute.nla_type == INET_DIAG_INFO) {
      tcp_info info{};
      const std::size_t size = attribute.nla_len - sizeof(attribute);
      std::memcpy(
        &info, bytes + at + sizeof(attribute), std::min(size, sizeof(info)));
      found(message.idiag_inode, usageOf(info));
    }
    at += NLA_ALIGN(attribute.nla_len);
  }
}

/// Reads one part of the dump. False when it was the last.
bool
readPart(const DiagSocket& socket, const Found& found)
{
  alignas(nlmsghdr) std::array<char, bufferSize> buffer{};
  const ssize_t size =
    recv(socket.descriptor(), buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    throwSystemError("sock_diag answer");
  }
  auto left = static_cast<unsigned>(size);
  const auto* header = reinterpret_cast<const nlmsghdr*>(buffer.data());
  while (NLMSG_OK(header, left)) {
    if (header->nlmsg_type == NLMSG_DONE) {
      return false;
    }
    if (header->nlmsg_type == NLMSG_ERROR) {
      throw std::system_error(
        std::make_error_code(std::errc::operation_not_permitted), "sock_diag");
    }
    readSocket(*header, found);
    header = NLMSG_NEXT(header, left);
  }
  return true;
}

/// The inodes of the sockets that the process has open.
std::unordered_set<std::uint64_t>
openSockets(pid_t pid)
{
  const std::string prefix = "socket:[";
  std::unordered_set<std::uint64_t> inodes;
  const std::filesystem::path directory =
    "/proc/" + std::to_string(pid) + "/fd";
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    std::error_code ignored;
    const std::string target =
      std::filesystem::read_symlink(entry.path(), ignored).string();
    if (target.rfind(prefix, 0) == 0) {
      inodes.insert(std::stoull(target.substr(prefix.size())));
    }
  }
  return inodes;
}

void
addDifference(ProcessUsage& sum,
              const ProcessUsage& now,
              const ProcessUsage& before)
{
  const ProcessUsage difference = now - before;
  sum.bytesIn += difference.bytesIn;
  sum.bytesOut += difference.bytesOut;
  sum.segmentsIn += difference.segmentsIn;
  sum.segmentsOut += difference.segmentsOut;
}

} // namespace

TrafficCounter::TrafficCounter(pid_t pid)
  : m_pid(pid)
  , m_last(read())
{
}

void
TrafficCounter::look()
{
  Sockets now = read();
  for (const auto& [inode, usage] : now) {
    addDifference(m_traffic, usage, m_last[inode]);
  }
  m_last = std::move(now);
}

TrafficCounter::Sockets
TrafficCounter::read() const
{
  const auto open = openSockets(m_pid);
  Sockets sockets;
  const DiagSocket socket;
  requestDump(socket);
  const Found keepOwn = [&](std::uint64_t inode, const ProcessUsage& usage) {
    if (open.count(inode) != 0) {
      sockets[inode] = usage;
    }
  };
  while (readPart(socket, keepOwn)) {
  }
  return sockets;
}
