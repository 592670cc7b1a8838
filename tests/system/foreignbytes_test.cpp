#include "region.h"

#include "libprotocol/protocol.h"
#include "libprotocol/websockettransport.h"

#include <gtest/gtest.h>

#include <csignal>
#include <sys/wait.h>

namespace cowslippin::testing {
namespace {

const std::string jobs = "/v1/organisations/notaries/templates/confirm/jobs";
constexpr std::size_t depth = 200'000;

std::string
nestedLists()
{
  return std::string(depth, '[') + std::string(depth, ']');
}

void
expectServing(Region& region)
{
  for (std::size_t i = 0; i < region.daemonCount(); ++i) {
    siginfo_t info{};
    waitid(P_PID,
           static_cast<id_t>(region.daemon(i).process->pid()),
           &info,
           WEXITED | WNOHANG | WNOWAIT);
    EXPECT_EQ(info.si_pid, 0) << "daemon " << i << " has ended";
    EXPECT_EQ(region.submitJob(i, 2, { waitForAnswer }).status, 200);
  }
}

/// Guards against the end of a daemon by a body with lists in lists, or by
/// bytes in a call that aren't UTF-8.
TEST(ForeignBytes, inCallsAreAnswered)
{
  Region region;
  const std::vector<std::string> bodies{ "{\"tasks\":" + nestedLists() + "}",
                                         nestedLists(),
                                         "{\"tasks\":[\"caf\xe9\"]}",
                                         "{\"tasks\":[1e999]}" };
  for (const std::string& body : bodies) {
    const HttpAnswer answer = region.call(0, "POST", jobs, body);
    EXPECT_EQ(answer.status, 400);
    EXPECT_EQ(problemType(answer), problemUrn("malformed-body"));
    EXPECT_LT(answer.body.size(), 2000u);
  }
  const HttpAnswer published = region.call(
    0, "PUT", "/v1/config/templates/t", "{\"service\":" + nestedLists() + "}");
  EXPECT_EQ(problemType(published), problemUrn("malformed-body"));
  region.call(0, "GET", "/v1/jobs/caf%e9%00");
  region.call(0, "POST", jobs, jobBody(1), { key("caf\xe9") });
  expectServing(region);
}

/// Guards against the end of a daemon by a message that the CBOR reader calls
/// itself for.
TEST(ForeignBytes, onThePortForDaemonsAreDropped)
{
  Region region;
  boost::asio::io_context context;
  bool isClosed = false;
  WebSocketTransport::Hooks hooks;
  hooks.accepted = [](LinkId) {};
  hooks.closed = [&](LinkId, LinkEnd) { isClosed = true; };
  hooks.received = [](LinkId, const std::string&) {};
  WebSocketTransport::Settings settings;
  settings.maxMessageBytes = 1 << 20;
  settings.maxBufferedBytes = 8 << 20;
  settings.handshakeTimeout = std::chrono::seconds(1);
  WebSocketTransport transport(context, settings, hooks);
  for (const unsigned char item : { 0x81, 0x9f, 0x5f, 0x7f, 0xa1 }) {
    const LinkId link = transport.dial(region.daemon(0).peer);
    context.run_for(std::chrono::milliseconds(300));
    context.restart();
    EXPECT_FALSE(isClosed);
    transport.send(link, std::vector<std::uint8_t>(1'000'000, item));
    context.run_for(std::chrono::milliseconds(300));
    context.restart();
    isClosed = false;
  }
  expectServing(region);
}

/// Guards against the end of a daemon by SIGHUP, whose default this program has
/// no use for.
TEST(ForeignBytes, sighupDoesNotEndADaemon)
{
  Region region;
  region.daemon(0).process->signal(SIGHUP);
  expectServing(region);
}

} // namespace
} // namespace cowslippin::testing
