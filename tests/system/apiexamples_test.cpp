#include "apiexample.h"
#include "region.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <regex>
#include <sstream>

namespace cowslippin::testing {
namespace {

std::string
readFile(const std::string& path)
{
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

void
run(Region& region, Placeholders& placeholders, const ApiExample& example)
{
  SCOPED_TRACE(example.method + " " + example.path + "\n" + example.body);
  std::vector<HttpField> headers = example.headers;
  for (HttpField& header : headers) {
    header.value = placeholders.fill(header.value);
  }
  const HttpAnswer answer = region.call(
    0, example.method, placeholders.fill(example.path), example.body, headers);
  EXPECT_EQ(answer.status, example.answer.status);
  const auto promised = nlohmann::json::parse(example.answer.body);
  EXPECT_TRUE(placeholders.match(promised, jsonOf(answer))) << answer.body;
  for (const HttpField& header : example.answer.headers) {
    EXPECT_EQ(answer.header(header.name), placeholders.fill(header.value))
      << header.name;
  }
}

TEST(ApiExamples, areWhatTheDaemonAnswers)
{
  RegionSpec spec;
  spec.zones = { "zone-a" };
  Region region(spec);
  Placeholders placeholders;
  for (const ApiExample& example : parseApiExamples(readFile(API_PAGE))) {
    if (!example.endpointMode.empty()) {
      region.setEndpointFaults(0, { { "mode", example.endpointMode } });
    }
    run(region, placeholders, example);
  }
}

/// Whether an example calls the route, a method and path such as
/// `GET /v1/jobs/{id}`.
bool
isExampleOf(const ApiExample& example, const std::string& route)
{
  const std::string pattern =
    std::regex_replace(route, std::regex(R"(\{[a-z]+\})"), "[^/?]+");
  return std::regex_match(example.method + " " + example.path,
                          std::regex(pattern + R"((\?.*)?)"));
}

TEST(ApiExamples, coverEveryRoute)
{
  const auto examples = parseApiExamples(readFile(API_PAGE));
  const std::string source =
    readFile(CALLER_API_SOURCE) + readFile(OPERATOR_API_SOURCE);
  const std::regex route(
    R"re(router\.add\(\s*"([A-Z]+)",\s*(target \+ )?"([^"]+)")re");
  const std::string target =
    "/v1/organisations/{organisation}/templates/{template}";
  std::ptrdiff_t routes = 0;
  for (std::sregex_iterator found(source.begin(), source.end(), route), end;
       found != end;
       ++found, ++routes) {
    const std::string name = (*found)[1].str() + " " +
                             ((*found)[2].matched ? target : "") +
                             (*found)[3].str();
    EXPECT_TRUE(std::any_of(
      examples.begin(),
      examples.end(),
      [&](const ApiExample& example) { return isExampleOf(example, name); }))
      << "no example of " << name;
  }
  const std::regex call(R"(router\.add\()");
  const std::sregex_iterator calls(source.begin(), source.end(), call);
  EXPECT_EQ(routes, std::distance(calls, std::sregex_iterator()));
  EXPECT_GT(routes, 0);
}

TEST(ApiExamples, pageListsEveryProblemWithItsStatus)
{
  const std::string page = readFile(API_PAGE);
  for (int i = 0; i <= static_cast<int>(ProblemKind::DeadlineExceeded); ++i) {
    const auto kind = static_cast<ProblemKind>(i);
    const std::string row = "| `" + std::string(slug(kind)) + "` | " +
                            std::to_string(httpStatus(kind)) + " |";
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

} // namespace
} // namespace cowslippin::testing
