#include "libplatform/platform.h"

#include "support/loopbacklistener.h"
#include "support/scriptedserver.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;
using testing::httpBytes;
using testing::ScriptedAnswer;
using testing::ScriptedServer;
using Then = ScriptedAnswer::Then;

const StreamName stream("claims");

/// For calls that must end by an answer or a closed connection.
constexpr Duration longTimeout = testing::hangLimit;

/// For calls that end by the timeout alone.
constexpr Duration shortTimeout = milliseconds(150);

enum class End
{
  Appended,
  NotAppended,
  Unknown,
};

End
endOf(const AppendResult& result)
{
  return static_cast<End>(result.index());
}

struct AnswerCase
{
  const char* name;
  ScriptedAnswer answer;
  Duration timeout;
  End end;
};

const std::vector<AnswerCase> answerCases = {
  { "appended",
    { httpBytes(200, R"({"offset":7})") },
    longTimeout,
    End::Appended },
  { "bad request", { httpBytes(400, "{}") }, longTimeout, End::NotAppended },
  { "not found", { httpBytes(404, "") }, longTimeout, End::NotAppended },
  { "conflict", { httpBytes(409, "{}") }, longTimeout, End::NotAppended },
  { "unavailable", { httpBytes(503, "{}") }, longTimeout, End::NotAppended },
  { "redirected", { httpBytes(302, "") }, longTimeout, End::Unknown },
  { "server error", { httpBytes(500, "{}") }, longTimeout, End::Unknown },
  { "bad gateway", { httpBytes(502, "{}") }, longTimeout, End::Unknown },
  { "gateway timeout", { httpBytes(504, "{}") }, longTimeout, End::Unknown },
  { "offset 0",
    { httpBytes(200, R"({"offset":0})") },
    longTimeout,
    End::Unknown },
  { "negative offset",
    { httpBytes(200, R"({"offset":-1})") },
    longTimeout,
    End::Unknown },
  { "no offset", { httpBytes(200, "{}") }, longTimeout, End::Unknown },
  { "no JSON", { httpBytes(200, "{\"off") }, longTimeout, End::Unknown },
  { "no body", { httpBytes(200, "") }, longTimeout, End::Unknown },
  { "closed", { "", Then::Close }, longTimeout, End::Unknown },
  { "no HTTP", { "offset 7\r\n\r\n", Then::Close }, longTimeout, End::Unknown },
  { "header cut short",
    { "HTTP/1.1 200 OK\r\nConte", Then::Close },
    longTimeout,
    End::Unknown },
  { "body cut short",
    { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"offset\":7}",
      Then::Close },
    longTimeout,
    End::Unknown },
  { "bad length",
    { "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n{\"offset\":7}",
      Then::Close },
    longTimeout,
    End::Unknown },
  { "silent", { "" }, shortTimeout, End::Unknown },
  { "silent after the header",
    { "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" },
    shortTimeout,
    End::Unknown },
  { "never complete",
    { "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", Then::Drip },
    shortTimeout,
    End::Unknown },
};

TEST(LogClient, ClassifiesEveryEndOfAnAppend)
{
  for (const AnswerCase& row : answerCases) {
    ScriptedServer server({ row.answer });
    LogClient client(server.address());
    const AppendResult result = client.append(stream, "record", row.timeout);
    EXPECT_EQ(endOf(result), row.end) << row.name;
    EXPECT_EQ(server.requests(), 1u) << row.name;
  }
}

TEST(LogClient, NoBadAnswerIsAPage)
{
  for (const AnswerCase& row : answerCases) {
    ScriptedServer server({ row.answer });
    LogClient client(server.address());
    const Result<LogPage> page =
      client.read(stream, 1, 10, Duration::zero(), row.timeout);
    EXPECT_FALSE(page) << row.name;
  }
}

TEST(LogClient, ARefusedConnectionIsNotAppended)
{
  const int listener = testing::listenOnLoopback(1);
  const Address address = testing::boundAddress(listener);
  close(listener);
  LogClient client(address);
  const AppendResult result = client.append(stream, "record", longTimeout);
  EXPECT_EQ(endOf(result), End::NotAppended);
}

TEST(LogClient, AConnectionThatNeverOpensIsNotAppended)
{
  const int listener = testing::listenOnLoopback(0);
  const Address address = testing::boundAddress(listener);
  // The first two fill the queue of a backlog of 0; nobody accepts them.
  std::vector<std::unique_ptr<LogClient>> clients;
  AppendResult last = Appended{ 1 };
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_unique<LogClient>(address));
    last = clients.back()->append(stream, "record", shortTimeout);
  }
  EXPECT_EQ(endOf(last), End::NotAppended);
  close(listener);
}

TEST(LogClient, ALostAnswerOnAKeptConnectionIsUnknownAndNotSentAgain)
{
  ScriptedServer server({ { httpBytes(200, R"({"offset":1})") },
                          { "", Then::Close },
                          { httpBytes(200, R"({"offset":2})") } });
  LogClient client(server.address());
  EXPECT_EQ(endOf(client.append(stream, "a", longTimeout)), End::Appended);
  EXPECT_EQ(endOf(client.append(stream, "b", longTimeout)), End::Unknown);
  EXPECT_EQ(server.requests(), 2u);
  EXPECT_EQ(endOf(client.append(stream, "c", longTimeout)), End::Appended);
}

TEST(LogClient, AClosedIdleConnectionIsReplacedBeforeSending)
{
  ScriptedServer server({ { httpBytes(200, R"({"offset":1})"), Then::Close },
                          { httpBytes(200, R"({"offset":2})") } });
  LogClient client(server.address());
  EXPECT_EQ(endOf(client.append(stream, "a", longTimeout)), End::Appended);
  server.waitForClosed(1);
  EXPECT_EQ(endOf(client.append(stream, "b", longTimeout)), End::Appended);
  EXPECT_EQ(server.requests(), 2u);
}

TEST(LogClient, ASilentConnectionIsReplaced)
{
  ScriptedServer server({ { httpBytes(200, R"({"offset":1})") },
                          { "" },
                          { httpBytes(200, R"({"offset":3})") } });
  LogClient client(server.address());
  EXPECT_EQ(endOf(client.append(stream, "a", longTimeout)), End::Appended);
  EXPECT_EQ(endOf(client.append(stream, "b", shortTimeout)), End::Unknown);
  EXPECT_EQ(endOf(client.append(stream, "c", longTimeout)), End::Appended);
}

TEST(LogClient, NothingIsSentAfterCancel)
{
  ScriptedServer server({ { httpBytes(200, R"({"offset":1})") } });
  LogClient client(server.address());
  client.cancel();
  EXPECT_EQ(endOf(client.append(stream, "a", longTimeout)), End::NotAppended);
  EXPECT_EQ(server.requests(), 0u);
}

} // namespace

} // namespace cowslippin
