#include "libhttp/http.h"

#include "rawserver.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <stdexcept>

namespace cowslippin {

namespace {

constexpr std::size_t maxBodyBytes = 100;
constexpr char closeField[] = "Connection: close\r\n\r\n";

HttpServer::Settings
testSettings()
{
  HttpServer::Settings settings;
  settings.minThreads = 2;
  settings.maxThreads = 10;
  settings.maxBodyBytes = maxBodyBytes;
  return settings;
}

std::string
post(const std::string& body)
{
  return "POST /echo HTTP/1.1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + closeField + body;
}

HttpReply
echo(const HttpRequest& request)
{
  return HttpReply::json(200, request.body());
}

bool
contains(const std::string& text, const std::string& part)
{
  return text.find(part) != std::string::npos;
}

TEST(HttpServer, GivesTheRequestToTheHandlerAndSendsItsReply)
{
  std::optional<HttpRequest> seen;
  HttpServer server(testSettings(), [&](const HttpRequest& request) {
    seen = request;
    return HttpReply::json(202, "{}").withHeader("Location", "/there");
  });
  const std::string answer =
    talk(server.address(),
         "PUT /a%20b%2Bc?n=1&empty&t=x%26+y HTTP/1.1\r\nx-name: Value\r\n"
         "Content-Length: 4\r\nConnection: close\r\n\r\nbody");
  EXPECT_EQ(answer.rfind("HTTP/1.1 202 Accepted\r\n", 0), 0U) << answer;
  EXPECT_TRUE(contains(answer, "Location: /there\r\n"));
  EXPECT_TRUE(contains(answer, "Content-Type: application/json\r\n"));
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->method(), "PUT");
  EXPECT_EQ(seen->path(), "/a b+c");
  EXPECT_EQ(seen->queryParameter("n"), "1");
  EXPECT_EQ(seen->queryParameter("empty"), "");
  EXPECT_EQ(seen->queryParameter("t"), "x& y");
  EXPECT_EQ(seen->queryParameter("none"), std::nullopt);
  EXPECT_EQ(seen->header("X-Name"), "Value");
  EXPECT_EQ(seen->body(), "body");
}

struct RefusalCase
{
  const char* name;
  std::string request;
  const char* answer;
};

const RefusalCase refusalCases[] = {
  { "LongestBody", post(std::string(maxBodyBytes, 'x')), "HTTP/1.1 200 " },
  { "BodyTooLarge", post(std::string(maxBodyBytes + 1, 'x')), "HTTP/1.1 413 " },
  { "BodyFarTooLarge", post(std::string(3'000'000, 'x')), "HTTP/1.1 413 " },
  { "Chunked",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 400 " },
  { "NegativeLength",
    "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\nhello",
    "HTTP/1.1 400 " },
  { "NotHttp", "garbage\r\n\r\n", "HTTP/1.1 500 " },
  { "HeaderTooLong",
    "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
    "" },
};

class Refusal : public testing::TestWithParam<RefusalCase>
{};

TEST_P(Refusal, AnswersAndClosesAndServesOn)
{
  HttpServer server(testSettings(), echo);
  const std::string answer = talk(server.address(), GetParam().request);
  EXPECT_EQ(answer.rfind(GetParam().answer, 0), 0U) << answer;
  EXPECT_FALSE(contains(answer.substr(std::min<std::size_t>(answer.size(), 1)),
                        "HTTP/1.1"))
    << answer;
  EXPECT_TRUE(contains(talk(server.address(), post("again")), "again"));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Refusal,
                         testing::ValuesIn(refusalCases),
                         [](const auto& info) { return info.param.name; });

TEST(HttpServer, ExceptionOfTheHandlerIsAProblem)
{
  HttpServer::Settings settings = testSettings();
  std::string reported;
  settings.handlerThrew = [&](const std::string& what) { reported = what; };
  HttpServer server(settings, [](const HttpRequest&) -> HttpReply {
    throw std::runtime_error("broken");
  });
  const std::string answer = talk(server.address(), post(""));
  EXPECT_EQ(answer.rfind("HTTP/1.1 500 ", 0), 0U);
  EXPECT_TRUE(contains(answer, problemContentType));
  EXPECT_FALSE(contains(answer, "broken"));
  EXPECT_EQ(reported, "broken");
}

TEST(HttpServer, TwoServersOfOneProcessHaveTheirOwnPorts)
{
  HttpServer first(testSettings(), echo);
  HttpServer second(testSettings(), echo);
  EXPECT_NE(first.address().port(), 0);
  EXPECT_NE(first.address(), second.address());
  HttpServer::Settings taken = testSettings();
  taken.listen = first.address();
  EXPECT_THROW(HttpServer(taken, echo), std::exception);
}

TEST(HttpServer, StopSendsTheWholeReplyInFlight)
{
  constexpr std::size_t replyBytes = 8'000'000;
  Gate entered;
  Gate leave;
  HttpServer server(testSettings(), [&](const HttpRequest&) {
    entered.open();
    leave.wait();
    return HttpReply::json(200, std::string(replyBytes, 'x'));
  });
  auto answer = std::async(std::launch::async, [&] {
    return talk(server.address(), post("")).size();
  });
  ASSERT_TRUE(entered.wait());
  EXPECT_EQ(server.requestsInFlight(), 1U);
  auto stopped = std::async(std::launch::async, [&] { server.stop(); });
  leave.open();
  stopped.get();
  EXPECT_GT(answer.get(), replyBytes);
  EXPECT_ANY_THROW(talk(server.address(), post("")));
}

TEST(HttpServer, StopReturnsThoughAHandlerHangs)
{
  Gate entered;
  Gate leave;
  HttpServer::Settings settings = testSettings();
  settings.stopGrace = std::chrono::milliseconds(20);
  HttpServer server(settings, [&](const HttpRequest&) {
    entered.open();
    leave.wait();
    return HttpReply::json(200, "late");
  });
  auto answer = std::async(std::launch::async,
                           [&] { return talk(server.address(), post("")); });
  ASSERT_TRUE(entered.wait());
  server.stop();
  EXPECT_EQ(server.requestsInFlight(), 1U);
  leave.open();
  EXPECT_TRUE(contains(answer.get(), "late"));
}

struct RouteCase
{
  const char* method;
  const char* path;
  int status;
  const char* body;
};

TEST(Router, FindsTheRouteOrSaysWhatIsWrong)
{
  Router router;
  router.add(
    "GET", "/jobs/{id}", [](const HttpRequest&, const PathParameters& path) {
      return HttpReply::json(200, path.get("id"));
    });
  router.add("GET",
             "/jobs/{id}/parts/{part}",
             [](const HttpRequest&, const PathParameters& path) {
               return HttpReply::json(200,
                                      path.get("id") + "-" + path.get("part"));
             });
  router.add(
    "DELETE", "/jobs/{id}", [](const HttpRequest&, const PathParameters&) {
      return HttpReply::json(200, "deleted");
    });
  const RouteCase cases[] = {
    { "GET", "/jobs/a b%41", 200, "a b%41" },
    { "GET", "/jobs/7/parts/8", 200, "7-8" },
    { "DELETE", "/jobs/7", 200, "deleted" },
    { "GET", "/jobs/", 404, nullptr },
    { "GET", "/jobs", 404, nullptr },
    { "GET", "/jobs/7/", 404, nullptr },
    { "GET", "/", 404, nullptr },
    { "GET", "", 404, nullptr },
    { "POST", "/jobs/7", 405, nullptr },
  };
  for (const RouteCase& test : cases) {
    HttpRequest::Fields fields;
    fields.method = test.method;
    fields.path = test.path;
    const HttpReply reply = router.reply(HttpRequest(fields));
    EXPECT_EQ(reply.status(), test.status) << test.path;
    if (test.body) {
      EXPECT_EQ(reply.body(), test.body);
    } else {
      EXPECT_EQ(reply.contentType(), problemContentType);
    }
    if (test.status == 405) {
      EXPECT_EQ(reply.header("allow"), "GET, DELETE");
    }
  }
}

TEST(ProblemReply, SaysWhenToComeBackInWholeSeconds)
{
  const Problem problem(ProblemKind::Overloaded, RunState::NotRun, "busy \xff");
  EXPECT_EQ(problemReply(problem).header("Retry-After"), std::nullopt);
  const HttpReply reply =
    problemReply(problem.withRetryAfter(std::chrono::milliseconds(1001)));
  EXPECT_EQ(reply.header("Retry-After"), "2");
  EXPECT_EQ(reply.header("Cowslippin-Ran"), "not run");
  EXPECT_EQ(reply.status(), 503);
  EXPECT_EQ(nlohmann::json::parse(reply.body()).at("status"), 503);
}

TEST(UrlEncoding, RoundTripsAndRefusesBrokenEscapes)
{
  const std::string text = "a/b +%&=\xc3\xb1~";
  EXPECT_EQ(percentEncode(text), "a%2Fb%20%2B%25%26%3D%C3%B1~");
  EXPECT_EQ(decodeQueryText(percentEncode(text)), text);
  EXPECT_EQ(decodeQueryText("%4"), std::nullopt);
  EXPECT_EQ(decodeQueryText("%-1"), std::nullopt);
  EXPECT_EQ(decodeQueryText("%zz"), std::nullopt);
}

} // namespace

} // namespace cowslippin
