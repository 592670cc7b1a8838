#include "libcore/core.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <set>

namespace cowslippin {
namespace {

constexpr ProblemKind lastKind = ProblemKind::DeadlineExceeded;

std::vector<ProblemKind>
allKinds()
{
  std::vector<ProblemKind> kinds;
  for (int i = 0; i <= static_cast<int>(lastKind); ++i) {
    kinds.push_back(static_cast<ProblemKind>(i));
  }
  return kinds;
}

TEST(ProblemKinds, EverySlugIsUniqueAndMapsBackToItsKind)
{
  std::set<std::string_view> slugs;
  for (const ProblemKind kind : allKinds()) {
    EXPECT_TRUE(slugs.insert(slug(kind)).second) << slug(kind);
    EXPECT_EQ(problemKindFromSlug(slug(kind)), kind) << slug(kind);
  }
}

TEST(ProblemKinds, EveryOneHasATitleAndAnErrorStatus)
{
  for (const ProblemKind kind : allKinds()) {
    EXPECT_FALSE(title(kind).empty()) << slug(kind);
    EXPECT_GE(httpStatus(kind), 400) << slug(kind);
    EXPECT_LT(httpStatus(kind), 600) << slug(kind);
  }
}

TEST(ProblemKinds, AnUnknownSlugNamesNone)
{
  for (const char* text : { "", "unknown", "Overloaded", "overloaded " }) {
    EXPECT_EQ(problemKindFromSlug(text), std::nullopt) << text;
  }
}

/// What a problem may carry besides its kind and its detail.
struct Extras
{
  const char* name;
  Problem (*add)(const Problem&);
};

class ProblemJson : public testing::TestWithParam<Extras>
{};

TEST_P(ProblemJson, IsReadBackAsItWas)
{
  for (const ProblemKind kind : allKinds()) {
    for (const RunState ran : { RunState::NotRun,
                                RunState::MayHaveRun,
                                RunState::Failed,
                                RunState::Completed }) {
      const Problem problem =
        GetParam().add(Problem(kind, ran, "A \"detail\""));
      EXPECT_EQ(problemFromJson(problemToJson(problem)), problem)
        << slug(kind) << ' ' << toString(ran);
    }
  }
}

const Extras extras[] = {
  { "None", [](const Problem& problem) { return problem; } },
  { "Field",
    [](const Problem& problem) {
      return problem.withField("weight", "-1", "1 to 100");
    } },
  { "FieldWithoutValue",
    [](const Problem& problem) { return problem.withField("body", "", ""); } },
  { "RetryAfter",
    [](const Problem& problem) {
      return problem.withRetryAfter(std::chrono::milliseconds(1500));
    } },
  { "RetryAtOnce",
    [](const Problem& problem) {
      return problem.withRetryAfter(Duration(0));
    } },
};

INSTANTIATE_TEST_SUITE_P(Table,
                         ProblemJson,
                         testing::ValuesIn(extras),
                         [](const auto& info) { return info.param.name; });

TEST(ProblemJson, HasTheMembersOfProblemDetails)
{
  const Problem problem = Problem::invalidField("weight", "-1", "1 to 100")
                            .withRetryAfter(std::chrono::milliseconds(250));
  const nlohmann::json expected = {
    { "type", "urn:cowslippin:problem:invalid-field" },
    { "title", "A field has a value that is not allowed" },
    { "status", 422 },
    { "detail", "weight is '-1'; allowed is 1 to 100" },
    { "ran", "not run" },
    { "field", "weight" },
    { "value", "-1" },
    { "allowed", "1 to 100" },
    { "retryAfterMs", 250 },
  };
  EXPECT_EQ(problemToJson(problem), expected);
}

TEST(ProblemJson, NeverTellsACallerToComeBackTooEarly)
{
  const Problem problem =
    Problem(ProblemKind::Overloaded, RunState::NotRun, "full")
      .withRetryAfter(Duration(500));
  EXPECT_EQ(problemToJson(problem)["retryAfterMs"], 1);
}

TEST(ProblemJson, OtherJsonIsNoProblem)
{
  const char* const others[] = {
    "null",
    "[]",
    "{}",
    R"({"type":"urn:cowslippin:problem:overloaded"})",
    R"({"type":"urn:cowslippin:problem:overloaded","ran":"maybe"})",
    R"({"type":"urn:cowslippin:problem:overloaded","ran":7})",
    R"({"type":"about:blank","ran":"not run"})",
    R"({"type":"urn:cowslippin:problem:","ran":"not run"})",
    R"({"type":7,"ran":"not run"})",
  };
  for (const char* text : others) {
    EXPECT_EQ(problemFromJson(nlohmann::json::parse(text)), std::nullopt)
      << text;
  }
}

TEST(Problem, ComparesEveryPart)
{
  const Problem problem(ProblemKind::Overloaded, RunState::NotRun, "full");
  EXPECT_NE(problem, Problem(ProblemKind::Draining, RunState::NotRun, "full"));
  EXPECT_NE(problem, problem.withRan(RunState::Failed));
  EXPECT_NE(problem, problem.withField("a", "", ""));
  EXPECT_NE(problem.withField("a", "b", ""), problem.withField("a", "", ""));
  EXPECT_NE(problem.withField("a", "", "c"), problem.withField("a", "", ""));
  EXPECT_NE(problem, problem.withRetryAfter(Duration(0)));
}

} // namespace
} // namespace cowslippin
