#include "processusage.h"

#include <ctime>
#include <fstream>
#include <stdexcept>
#include <string>

namespace {

constexpr double nanosecondsASecond = 1e9;

double
residentKb(pid_t pid)
{
  const std::string name = "VmRSS:";
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind(name, 0) == 0) {
      return std::stod(line.substr(name.size()));
    }
  }
  throw std::runtime_error("no resident memory of " + std::to_string(pid));
}

double
cpuSeconds(pid_t pid)
{
  clockid_t clock{};
  timespec time{};
  if (clock_getcpuclockid(pid, &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    throw std::runtime_error("no processor time of " + std::to_string(pid));
  }
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / nanosecondsASecond;
}

} // namespace

ProcessUsage
operator-(const ProcessUsage& a, const ProcessUsage& b)
{
  ProcessUsage difference;
  difference.residentKb = a.residentKb - b.residentKb;
  difference.cpuSeconds = a.cpuSeconds - b.cpuSeconds;
  difference.bytesIn = a.bytesIn - b.bytesIn;
  difference.bytesOut = a.bytesOut - b.bytesOut;
  difference.segmentsIn = a.segmentsIn - b.segmentsIn;
  difference.segmentsOut = a.segmentsOut - b.segmentsOut;
  return difference;
}

ProcessUsage
processUsage(pid_t pid)
{
  ProcessUsage usage;
  usage.residentKb = residentKb(pid);
  usage.cpuSeconds = cpuSeconds(pid);
  return usage;
}
