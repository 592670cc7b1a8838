#include "libhttp/http.h"

#include "rawserver.h"

#include <cxxtools/http/client.h>
#include <gtest/gtest.h>

#include <future>

namespace cowslippin {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t maxAnswerBytes = 1000;
constexpr Duration longTimeout = seconds(60);
constexpr Duration shortTimeout = milliseconds(50);

EndpointClient::Settings
testSettings()
{
  EndpointClient::Settings settings;
  settings.maxAnswerBytes = maxAnswerBytes;
  settings.maxIdleAge = seconds(60);
  settings.silenceProbeAfter = seconds(60);
  return settings;
}

EndpointCall
callOf(const Address& address, Duration timeout, int connections = 4)
{
  Endpoint::Fields endpoint;
  endpoint.address = address;
  endpoint.connections = connections;
  EndpointCall::Fields fields{ Endpoint(endpoint) };
  fields.path = "/tasks";
  fields.body = "work";
  fields.headers.emplace_back("Cowslippin-Task", "key/0");
  fields.timeout = timeout;
  return EndpointCall(std::move(fields));
}

/// A call under way, whose end can be waited for.
struct Pending
{
  CallId id;
  std::future<CallEnd> end;
};

Pending
begin(EndpointClient& client, const EndpointCall& call)
{
  auto promise = std::make_shared<std::promise<CallEnd>>();
  auto end = promise->get_future();
  const CallId id = client.call(
    call, [promise](const CallEnd& told) { promise->set_value(told); });
  return { id, std::move(end) };
}

CallEnd
run(EndpointClient& client, const EndpointCall& call)
{
  return begin(client, call).end.get();
}

bool
drop(RawConnection& connection, const std::string&, int)
{
  connection.waitForClose();
  return false;
}

/// Answers every request with `bytes` and closes.
RawServer::Script
answerAndClose(const std::string& bytes)
{
  return [bytes](RawConnection& connection, const std::string&, int) {
    connection.write(bytes);
    return false;
  };
}

bool
answerNumber(RawConnection& connection, const std::string&, int number)
{
  connection.write(okAnswer(std::to_string(number)));
  return true;
}

struct FaultCase
{
  const char* name;
  RawServer::Script script;
  Duration timeout;
  CallOutcome outcome;
  int status;
};

const FaultCase faultCases[] = {
  { "WholeAnswer",
    answerAndClose(okAnswer("done")),
    longTimeout,
    CallOutcome::Answered,
    200 },
  { "CloseAfterRequest",
    answerAndClose(""),
    longTimeout,
    CallOutcome::SentNoAnswer,
    0 },
  { "CloseInHeader",
    answerAndClose("HTTP/1.1 200 OK\r\nContent-Le"),
    longTimeout,
    CallOutcome::InvalidAnswer,
    0 },
  { "CloseInBody",
    answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
    longTimeout,
    CallOutcome::InvalidAnswer,
    0 },
  { "CloseInChunk",
    answerAndClose(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"),
    longTimeout,
    CallOutcome::InvalidAnswer,
    0 },
  { "NoLength",
    answerAndClose("HTTP/1.1 200 OK\r\n\r\nperhaps half"),
    longTimeout,
    CallOutcome::InvalidAnswer,
    0 },
  { "TooLong",
    answerAndClose(okAnswer(std::string(maxAnswerBytes + 1, 'x'))),
    longTimeout,
    CallOutcome::InvalidAnswer,
    0 },
  { "TooLongInChunks",
    answerAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3e9\r\n" +
                   std::string(maxAnswerBytes + 1, 'x') + "\r\n0\r\n\r\n"),
    longTimeout,
    CallOutcome::InvalidAnswer,
    0 },
  { "LongestAllowed",
    answerAndClose(okAnswer(std::string(maxAnswerBytes, 'x'))),
    longTimeout,
    CallOutcome::Answered,
    200 },
  { "EndlessHeader",
    answerAndClose("HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x')),
    longTimeout,
    CallOutcome::InvalidAnswer,
    0 },
  { "NotHttp",
    answerAndClose("220 mail ready\r\n\r\n"),
    longTimeout,
    CallOutcome::InvalidAnswer,
    0 },
  { "SaysNotRun",
    answerAndClose("HTTP/1.1 503 Busy\r\nCowslippin-Ran: not run\r\n"
                   "Content-Length: 0\r\n\r\n"),
    longTimeout,
    CallOutcome::ExplicitlyNotRun,
    503 },
  { "UnavailableWithoutWord",
    answerAndClose("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
    longTimeout,
    CallOutcome::FailedStatus,
    503 },
  { "SaysNotRunWithAnotherStatus",
    answerAndClose("HTTP/1.1 500 Broken\r\nCowslippin-Ran: not run\r\n"
                   "Content-Length: 0\r\n\r\n"),
    longTimeout,
    CallOutcome::FailedStatus,
    500 },
  { "Hang", drop, shortTimeout, CallOutcome::SentNoAnswer, 0 },
};

class EndpointFault : public testing::TestWithParam<FaultCase>
{};

TEST_P(EndpointFault, EndsAsTheCaseSaysAfterOneRequest)
{
  RawServer server(GetParam().script);
  EndpointClient client(testSettings());
  const CallEnd end = run(client, callOf(server.address(), GetParam().timeout));
  client.stop();
  EXPECT_EQ(end.outcome(), GetParam().outcome) << end.detail();
  EXPECT_EQ(end.status(), GetParam().status);
  EXPECT_EQ(server.requests(), 1);
  EXPECT_EQ(end.notSentReason(), std::nullopt);
}

// The same faults on a connection that has carried a whole exchange before,
// where other clients send the request again.
TEST_P(EndpointFault, IsNotSentAgainOnReusedConnection)
{
  RawServer server(
    [](RawConnection& connection, const std::string& request, int number) {
      return number == 1 ? answerNumber(connection, request, number)
                         : GetParam().script(connection, request, number);
    });
  EndpointClient client(testSettings());
  run(client, callOf(server.address(), longTimeout));
  const CallEnd end = run(client, callOf(server.address(), GetParam().timeout));
  client.stop();
  EXPECT_EQ(end.outcome(), GetParam().outcome) << end.detail();
  EXPECT_EQ(server.requests(), 2);
  EXPECT_EQ(server.connections(), 1);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EndpointFault,
                         testing::ValuesIn(faultCases),
                         [](const auto& info) { return info.param.name; });

TEST(EndpointClient, ReadsTheAnswerAndItsHeaders)
{
  std::string seen;
  RawServer server(
    [&](RawConnection& connection, const std::string& request, int) {
      seen = request;
      connection.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"
        "Cowslippin-Slots-Free: 7\r\nContent-Length: 2\r\n\r\nok");
      return true;
    });
  EndpointClient client(testSettings());
  const CallEnd end = run(client, callOf(server.address(), longTimeout));
  EXPECT_EQ(end.body(), "ok");
  EXPECT_EQ(end.contentType(), "text/x");
  EXPECT_EQ(end.slotsFree(), 7);
  EXPECT_EQ(seen.rfind("POST /tasks HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(seen.find("Cowslippin-Task: key/0\r\n"), std::string::npos);
  EXPECT_EQ(seen.substr(seen.size() - 4), "work");
}

TEST(EndpointClient, RefusedConnectionIsNotSent)
{
  Address address;
  {
    const RawServer server(drop);
    address = server.address();
  }
  EndpointClient client(testSettings());
  const CallEnd end = run(client, callOf(address, longTimeout));
  EXPECT_EQ(end.outcome(), CallOutcome::NotSent);
  EXPECT_EQ(end.notSentReason(), NotSentReason::ConnectFailed);
}

TEST(EndpointClient, ControlCharactersAreNotSent)
{
  RawServer server(answerNumber);
  EndpointClient client(testSettings());
  EndpointCall::Fields fields{
    callOf(server.address(), longTimeout).endpoint()
  };
  fields.headers.emplace_back("Cowslippin-Task", "key\r\nInjected: yes");
  const CallEnd end = run(client, EndpointCall(fields));
  EXPECT_EQ(end.notSentReason(), NotSentReason::InvalidCall);
  EXPECT_EQ(server.connections(), 0);
}

TEST(EndpointClient, IdleConnectionClosedByTheEndpointIsReplaced)
{
  Gate closed;
  RawServer server(
    [&](RawConnection& connection, const std::string& request, int number) {
      answerNumber(connection, request, number);
      if (number == 1) {
        connection.shutDown();
        closed.open();
      }
      return number != 1;
    });
  EndpointClient client(testSettings());
  EXPECT_EQ(run(client, callOf(server.address(), longTimeout)).body(), "1");
  ASSERT_TRUE(closed.wait());
  EXPECT_EQ(run(client, callOf(server.address(), longTimeout)).body(), "2");
  EXPECT_EQ(server.connections(), 2);
  EXPECT_EQ(server.requests(), 2);
}

TEST(EndpointClient, OldIdleConnectionIsNotTrusted)
{
  RawServer server(answerNumber);
  EndpointClient::Settings settings = testSettings();
  settings.maxIdleAge = milliseconds(1);
  EndpointClient client(settings);
  run(client, callOf(server.address(), longTimeout));
  std::this_thread::sleep_for(milliseconds(5));
  const CallEnd end = run(client, callOf(server.address(), longTimeout));
  EXPECT_EQ(end.outcome(), CallOutcome::Answered);
  EXPECT_EQ(server.connections(), 2);
}

TEST(EndpointClient, SilentConnectionIsNotBlamedOnReachableEndpoint)
{
  RawServer server(
    [&](RawConnection& connection, const std::string& request, int number) {
      return number == 1 ? answerNumber(connection, request, number)
                         : drop(connection, request, number);
    });
  EndpointClient::Settings settings = testSettings();
  settings.silenceProbeAfter = milliseconds(5);
  EndpointClient client(settings);
  run(client, callOf(server.address(), longTimeout));
  Pending pending = begin(client, callOf(server.address(), longTimeout));
  // Health checks of an endpoint follow one another, so that the result of the
  // first has come when the third is seen.
  while (server.healthChecks() < 3) {
    std::this_thread::yield();
  }
  client.cancel(pending.id);
  const CallEnd end = pending.end.get();
  EXPECT_EQ(end.outcome(), CallOutcome::SentNoAnswer);
  EXPECT_EQ(end.endpointReachable(), true);
  EXPECT_EQ(server.requests(), 2);
}

TEST(EndpointClient, UnreachableEndpointEndsTheWaitEarly)
{
  RawServer* running = nullptr;
  RawServer server(
    [&](RawConnection& connection, const std::string& request, int number) {
      running->stopListening();
      return drop(connection, request, number);
    });
  running = &server;
  EndpointClient::Settings settings = testSettings();
  settings.silenceProbeAfter = milliseconds(200);
  EndpointClient client(settings);
  const CallEnd end = run(client, callOf(server.address(), longTimeout));
  EXPECT_EQ(end.outcome(), CallOutcome::SentNoAnswer);
  EXPECT_EQ(end.endpointReachable(), false);
  EXPECT_LT(end.elapsed(), longTimeout);
  EXPECT_EQ(server.requests(), 1);
}

TEST(EndpointClient, LateAnswerIsNotGivenToTheNextCall)
{
  Gate timedOut;
  RawServer server(
    [&](RawConnection& connection, const std::string& request, int number) {
      if (number == 1) {
        timedOut.wait();
      }
      return answerNumber(connection, request, number);
    });
  EndpointClient client(testSettings());
  const CallEnd first = run(client, callOf(server.address(), shortTimeout));
  timedOut.open();
  const CallEnd second = run(client, callOf(server.address(), longTimeout));
  EXPECT_EQ(first.outcome(), CallOutcome::SentNoAnswer);
  EXPECT_EQ(second.body(), "2");
  EXPECT_EQ(server.connections(), 2);
}

TEST(EndpointClient, UnaskedBytesOnIdleConnectionAreNotTakenForAnAnswer)
{
  RawServer server(answerAndClose(okAnswer("one") + okAnswer("stray")));
  EndpointClient client(testSettings());
  EXPECT_EQ(run(client, callOf(server.address(), longTimeout)).body(), "one");
  EXPECT_EQ(run(client, callOf(server.address(), longTimeout)).body(), "one");
  EXPECT_EQ(server.connections(), 2);
}

TEST(EndpointClient, UsesNoMoreConnectionsThanTheEndpointAllows)
{
  Gate answer;
  RawServer server(
    [&](RawConnection& connection, const std::string& request, int number) {
      answer.wait();
      return answerNumber(connection, request, number);
    });
  constexpr int limit = 2;
  const EndpointCall call = callOf(server.address(), longTimeout, limit);
  EndpointClient client(testSettings());
  Pending first = begin(client, call);
  Pending second = begin(client, call);
  const CallEnd third = run(client, call);
  EXPECT_EQ(third.outcome(), CallOutcome::NotSent);
  EXPECT_EQ(third.notSentReason(), NotSentReason::NoConnection);
  answer.open();
  EXPECT_EQ(first.end.get().outcome(), CallOutcome::Answered);
  EXPECT_EQ(second.end.get().outcome(), CallOutcome::Answered);
  EXPECT_EQ(run(client, call).outcome(), CallOutcome::Answered);
  EXPECT_EQ(server.connections(), limit);
}

TEST(EndpointClient, StopEndsEveryCall)
{
  Gate received;
  RawServer server(
    [&](RawConnection& connection, const std::string& request, int number) {
      received.open();
      return drop(connection, request, number);
    });
  EndpointClient client(testSettings());
  Pending pending = begin(client, callOf(server.address(), longTimeout));
  ASSERT_TRUE(received.wait());
  client.stop();
  EXPECT_EQ(pending.end.get().outcome(), CallOutcome::SentNoAnswer);
  EXPECT_EQ(client.callsInFlight(), 0U);
  const CallEnd late = run(client, callOf(server.address(), longTimeout));
  EXPECT_EQ(late.notSentReason(), NotSentReason::Cancelled);
}

// Why endpoints are not called with the HTTP client of cxxtools: on a reused
// connection that is closed after the request was read, it sends the request
// again without telling.
TEST(CxxtoolsClient, ResendsOnReusedConnection)
{
  RawServer server(
    [](RawConnection& connection, const std::string& request, int number) {
      return number == 1 && answerNumber(connection, request, number);
    });
  cxxtools::http::Client client(server.address().host(),
                                server.address().port());
  client.get("/first");
  EXPECT_ANY_THROW(client.get("/second"));
  EXPECT_EQ(server.requests(), 3);
}

} // namespace

} // namespace cowslippin
