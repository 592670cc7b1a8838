#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

using Connect = int (*)(int, const sockaddr*, socklen_t);
using ClockGetTime = int (*)(clockid_t, timespec*);

constexpr long msPerSecond = 1000;
constexpr long nsPerMs = 1000000;
constexpr long nsPerSecond = msPerSecond * nsPerMs;

/// Lets the system choose the port when the connection is made, so that
/// connections to different targets may share one. False with errno set if
/// `text` is no IPv4 address or the socket can't be bound to it.
bool
bindTo(int socket, const char* text)
{
  sockaddr_in source{};
  source.sin_family = AF_INET;
  if (inet_pton(AF_INET, text, &source.sin_addr) != 1) {
    errno = EINVAL;
    return false;
  }
  const int on = 1;
  return setsockopt(
           socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on)) == 0 &&
         bind(socket,
              reinterpret_cast<const sockaddr*>(&source),
              sizeof(source)) == 0;
}

} // namespace

/// To be preloaded into a program: its IPv4 connections come from the address
/// that COWSLIPPIN_SOAK_SOURCE says. -1 with errno set if they can't, as
/// connect itself. Without that variable it is connect.
extern "C" int
connect(int socket, const sockaddr* target, socklen_t length)
{
  static const auto next =
    reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  const char* source = std::getenv("COWSLIPPIN_SOAK_SOURCE");
  if (source != nullptr && target->sa_family == AF_INET &&
      !bindTo(socket, source))
    return -1;
  return next(socket, target, length);
}

/// The time of day is wrong by what COWSLIPPIN_SOAK_CLOCK_MS says; other clocks
/// aren't.
extern "C" int
clock_gettime(clockid_t clock, timespec* time)
{
  static const auto next =
    reinterpret_cast<ClockGetTime>(dlsym(RTLD_NEXT, "clock_gettime"));
  static const char* text = std::getenv("COWSLIPPIN_SOAK_CLOCK_MS");
  const int result = next(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME || text == nullptr)
    return result;
  const long offsetMs = std::strtol(text, nullptr, 10);
  time->tv_sec += offsetMs / msPerSecond;
  time->tv_nsec += offsetMs % msPerSecond * nsPerMs;
  if (time->tv_nsec < 0) {
    time->tv_nsec += nsPerSecond;
    --time->tv_sec;
  } else if (time->tv_nsec >= nsPerSecond) {
    time->tv_nsec -= nsPerSecond;
    ++time->tv_sec;
  }
  return result;
}
