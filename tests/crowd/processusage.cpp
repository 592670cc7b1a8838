#include "processusage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/wait.h>

namespace cowslippin::testing {

namespace {

constexpr std::size_t bytesPerKilobyte = 1024;
constexpr int hexadecimal = 16;

/// An address as /proc/net/tcp has it.
std::string
tableText(const Address& address)
{
  char text[16];
  std::snprintf(text,
                sizeof text,
                "%08X:%04X",
                unsigned(inet_addr(address.host().c_str())),
                unsigned(address.port()));
  return text;
}

} // namespace

bool
hasEnded(pid_t process)
{
  siginfo_t info{};
  waitid(P_PID, static_cast<id_t>(process), &info, WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid == process;
}

std::size_t
residentBytes(pid_t process)
{
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string word; status >> word;) {
    std::size_t value = 0;
    if (word == "VmRSS:" && status >> value)
      return value * bytesPerKilobyte;
  }
  return 0;
}

std::size_t
openDescriptors(pid_t process)
{
  std::error_code ignored;
  const std::filesystem::directory_iterator entries(
    "/proc/" + std::to_string(process) + "/fd", ignored);
  return std::size_t(std::distance(begin(entries), end(entries)));
}

std::size_t
unreadBytes(const std::vector<Address>& localAddresses)
{
  std::vector<std::string> wanted;
  wanted.reserve(localAddresses.size());
  for (const Address& address : localAddresses)
    wanted.push_back(tableText(address));
  std::ifstream table("/proc/net/tcp");
  std::size_t sum = 0;
  for (std::string line; std::getline(table, line);) {
    std::istringstream words(line);
    std::string number, local, remote, state, queues;
    words >> number >> local >> remote >> state >> queues;
    const std::size_t colon = queues.find(':');
    // The queue of a listening socket counts connections.
    if (state == "0A" || colon == std::string::npos ||
        std::find(wanted.begin(), wanted.end(), local) == wanted.end())
      continue;
    sum += std::stoul(queues.substr(colon + 1), nullptr, hexadecimal);
  }
  return sum;
}

} // namespace cowslippin::testing
