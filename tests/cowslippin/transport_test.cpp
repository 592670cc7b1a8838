#include "scripteddaemon.h"

#include "libcli/cli.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

constexpr Duration generousTimeout = std::chrono::seconds(20);
constexpr Duration shortTimeout = std::chrono::milliseconds(200);

HttpCall
submission()
{
  HttpCall::Fields fields;
  fields.method = "POST";
  fields.path = "/v1/organisations/o/templates/t/requests";
  fields.query = "count=1";
  fields.headers = { { "Idempotency-Key", "k" } };
  fields.body = "payload";
  return HttpCall(fields);
}

TEST(TransportTest, SendsTheCallAndReturnsTheReply)
{
  ScriptedDaemon daemon("HTTP/1.1 422 Unprocessable\r\n"
                        "Content-Type: application/problem+json\r\n"
                        "Content-Length: 2\r\n\r\n{}");
  const CallEnd end =
    callOverHttp(daemon.address(), submission(), generousTimeout);
  ASSERT_TRUE(end) << end.error().detail();
  EXPECT_EQ(*end, CallReply(422, "application/problem+json", "{}"));
  const auto requests = daemon.finish();
  ASSERT_EQ(requests.size(), 1U);
  const std::string& request = requests.front();
  EXPECT_EQ(
    request.find(
      "POST /v1/organisations/o/templates/t/requests?count=1 HTTP/1.1\r\n"),
    0U)
    << request;
  EXPECT_NE(request.find("Idempotency-Key: k\r\n"), std::string::npos);
  EXPECT_NE(request.find("\r\n\r\npayload"), std::string::npos);
}

TEST(TransportTest, NobodyListening)
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor unheard(
    context, boost::asio::ip::tcp::endpoint(boost::asio::ip::tcp::v4(), 0));
  const Address closed("127.0.0.1", unheard.local_endpoint().port());
  unheard.close();
  const CallEnd end = callOverHttp(closed, submission(), generousTimeout);
  ASSERT_FALSE(end);
  EXPECT_EQ(end.error().kind(), CallFailure::Kind::Unreachable);
}

TEST(TransportTest, SendsTheQueryOfEveryMethod)
{
  for (const std::string method : { "GET", "POST", "PUT", "DELETE" }) {
    ScriptedDaemon daemon("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    HttpCall::Fields fields;
    fields.method = method;
    fields.path = "/a%20b";
    fields.query = "waitMs=5";
    EXPECT_TRUE(
      callOverHttp(daemon.address(), HttpCall(fields), generousTimeout));
    const auto requests = daemon.finish();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests.front().find(method + " /a%20b?waitMs=5 HTTP/1.1\r\n"),
              0U)
      << requests.front();
  }
}

/// Ends of a connection after which the daemon may have acted.
const std::string brokenReplies[] = {
  "",
  "HTTP/1.1 200",
  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
  "HTTP/1.1 200 OK\r\nContent-Length: ",
  "nonsense\r\n\r\n",
};

TEST(TransportTest, BrokenReplyIsNoReplyAndNothingIsSentAgain)
{
  for (const std::string& reply : brokenReplies) {
    ScriptedDaemon daemon(reply);
    const CallEnd end =
      callOverHttp(daemon.address(), submission(), generousTimeout);
    ASSERT_FALSE(end) << reply << end->body();
    EXPECT_EQ(end.error().kind(), CallFailure::Kind::NoReply) << reply;
    EXPECT_EQ(daemon.finish().size(), 1U) << reply;
  }
}

TEST(TransportTest, SilentConnectionTimesOutAndNothingIsSentAgain)
{
  ScriptedDaemon daemon("", true);
  const CallEnd end =
    callOverHttp(daemon.address(), submission(), shortTimeout);
  ASSERT_FALSE(end);
  EXPECT_EQ(end.error().kind(), CallFailure::Kind::NoReply);
  EXPECT_EQ(daemon.finish().size(), 1U);
}

} // namespace
} // namespace cowslippin
