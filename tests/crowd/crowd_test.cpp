#include "crowddaemon.h"

#include <algorithm>

namespace cowslippin::testing {
namespace {

/// So many connections don't reach the limit of descriptors.
constexpr unsigned crowdSize = 200;
constexpr unsigned smallCrowdSize = 40;
constexpr unsigned unreadingCrowdSize = 450;
constexpr std::size_t maxBodyBytes = std::size_t(256) * 1024;
/// Bodies stop so many bytes short of their end.
constexpr std::size_t missingBytes = 8;
constexpr std::size_t endlessBytes = std::size_t(2) << 20;
constexpr std::size_t pieceBytes = std::size_t(16) << 10;

const std::string requestBegin = "POST /jobs/0123456789abcdef HTTP/1.1\r\n"
                                 "Host: jobs.example\r\n";
const std::string chunkedBegin =
  requestBegin + "Transfer-Encoding: chunked\r\n\r\n";

/// `head`, followed by `unit` again and again, `size` bytes in all.
std::function<std::string(std::size_t)>
repeated(const std::string& head, const std::string& unit, std::size_t size)
{
  std::string block;
  while (block.size() < pieceBytes)
    block += unit;
  return [head, block, period = unit.size(), size](std::size_t sent) {
    if (sent >= size)
      return std::string();
    if (sent < head.size())
      return head.substr(sent);
    const std::size_t phase = (sent - head.size()) % period;
    return block.substr(phase, std::min(size - sent, pieceBytes / 2));
  };
}

/// Guards against memory that the trailers of a chunked body take.
TEST_F(CrowdDaemon, TrailersWithoutEndStayWithinMemory)
{
  addClients(smallCrowdSize,
             { callerAddress(),
               repeated(chunkedBegin + "1\r\nx\r\n0\r\n",
                        "Trailer: value\r\n",
                        endlessBytes) });
  checkServiceBesideCrowd();
}

/// Guards against memory that many unfinished bodies take in all.
TEST_F(CrowdDaemon, UnfinishedBodiesInOneChunkStayWithinMemory)
{
  const std::string head = chunkedBegin + "40000\r\n";
  addClients(
    crowdSize,
    { callerAddress(),
      repeated(head, "x", head.size() + maxBodyBytes - missingBytes) });
  checkServiceBesideCrowd();
}

/// Guards against memory that many unfinished bodies take in all, in chunks
/// that are smaller than their framing.
TEST_F(CrowdDaemon, UnfinishedBodiesInSmallChunksStayWithinMemory)
{
  const std::string unit = "1\r\nx\r\n";
  addClients(crowdSize,
             { callerAddress(),
               repeated(chunkedBegin,
                        unit,
                        chunkedBegin.size() +
                          (maxBodyBytes - missingBytes) * unit.size()) });
  checkServiceBesideCrowd();
}

/// Guards against memory that many unfinished bodies take in all, whose length
/// was announced.
TEST_F(CrowdDaemon, UnfinishedBodiesOfAnnouncedLengthStayWithinMemory)
{
  const std::string head = requestBegin +
                           "Content-Length: " + std::to_string(maxBodyBytes) +
                           "\r\n\r\n";
  addClients(
    crowdSize,
    { callerAddress(),
      repeated(head, "x", head.size() + maxBodyBytes - missingBytes) });
  checkServiceBesideCrowd();
}

/// Guards against memory that the extensions of a chunk take.
TEST_F(CrowdDaemon, ChunkExtensionsWithoutEndStayWithinMemory)
{
  addClients(smallCrowdSize,
             { callerAddress(),
               repeated(chunkedBegin + "1", ";name=value", endlessBytes) });
  checkServiceBesideCrowd();
}

/// Guards against memory that headers without end take.
TEST_F(CrowdDaemon, HeadersWithoutEndStayWithinMemory)
{
  addClients(smallCrowdSize,
             { callerAddress(),
               repeated(requestBegin, "Name: value\r\n", endlessBytes) });
  checkServiceBesideCrowd();
}

/// Guards against memory that the fields of a header within its limit take,
/// which is many times their length, while its body isn't whole.
TEST_F(CrowdDaemon, ManyHeaderFieldsBeforeUnfinishedBodiesStayWithinMemory)
{
  std::string head = requestBegin + "Content-Length: 2\r\n";
  while (head.size() < std::size_t(16'000))
    head += "a:\r\n";
  addClients(
    crowdSize,
    { callerAddress(), repeated(head + "\r\n", "x", head.size() + 3) });
  checkServiceBesideCrowd();
}

/// Guards against memory and time that empty lines in front of a request take.
TEST_F(CrowdDaemon, EmptyLinesWithoutEndStayWithinMemory)
{
  addClients(smallCrowdSize,
             { callerAddress(), repeated("\r\n", "\r\n", endlessBytes) });
  checkServiceBesideCrowd();
}

/// Guards against descriptors that idle connections take from the daemon's own
/// connections to workers, other daemons and the store.
TEST_F(CrowdDaemon, IdleConnectionsLeaveDescriptors)
{
  addClients(maxDescriptors + 50,
             { callerAddress(), [](std::size_t) { return std::string(); } });
  checkServiceBesideCrowd();
}

/// The same of connections to the port for readiness checks.
TEST_F(CrowdDaemon, IdleConnectionsOfReadinessChecksLeaveDescriptors)
{
  addClients(maxDescriptors + 50,
             { readinessAddress(), [](std::size_t) { return std::string(); } });
  checkServiceBesideCrowd();
}

/// The same of connections to the port for operators.
TEST_F(CrowdDaemon, IdleConnectionsOfOperatorsLeaveDescriptors)
{
  addClients(maxDescriptors + 50,
             { operatorAddress(), [](std::size_t) { return std::string(); } });
  checkServiceBesideCrowd();
}

CrowdClient::Settings
unreadingClient(const Address& address, const std::string& request)
{
  return { address, repeated("", request, endlessBytes), false };
}

/// Guards against memory that requests and answers take while callers send
/// many and read no answer.
TEST_F(CrowdDaemon, UnreadAnswersToCallersStayWithinMemory)
{
  addClients(unreadingCrowdSize,
             unreadingClient(callerAddress(),
                             "GET /jobs/ HTTP/1.1\r\n"
                             "Host: jobs.example\r\n\r\n"));
  checkServiceBesideCrowd();
}

/// The same of readiness checks.
TEST_F(CrowdDaemon, UnreadAnswersToReadinessChecksStayWithinMemory)
{
  addClients(unreadingCrowdSize,
             unreadingClient(readinessAddress(),
                             "GET /v1/readyz HTTP/1.1\r\n"
                             "Host: jobs.example\r\n\r\n"));
  checkServiceBesideCrowd();
}

/// The same of operators.
TEST_F(CrowdDaemon, UnreadAnswersToOperatorsStayWithinMemory)
{
  addClients(unreadingCrowdSize,
             unreadingClient(operatorAddress(),
                             "GET /metrics HTTP/1.1\r\n"
                             "Host: jobs.example\r\n\r\n"));
  checkServiceBesideCrowd();
}

} // namespace
} // namespace cowslippin::testing
