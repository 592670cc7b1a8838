#include "libdaemon/submission.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cowslippin::testing {
namespace {

/// The answers of a job whose endpoints answered with these bodies.
nlohmann::json
answersOf(const std::vector<std::string>& bodies)
{
  SubmissionRequest::Fields fields;
  fields.key = SubmissionKey("k");
  fields.kind = SubmissionKind::Job;
  fields.payloads.resize(bodies.size());
  Submission submission(SubmissionRequest(fields), {});
  submission.activate();
  for (TaskIndex i = 0; i < bodies.size(); ++i) {
    submission.startTask(i);
    submission.finishTask(
      i, TaskOutcome(TaskAnswer("application/json", bodies[i])));
  }
  const auto reply = submission.reply();
  return reply ? nlohmann::json::parse(reply->body())["answers"] : nullptr;
}

/// Guards against the end of a daemon by an endpoint's answer with lists in
/// lists. The caller still gets the whole answer.
TEST(ForeignAnswer, OfAnyDepthIsPassedOnAsText)
{
  const std::string deep =
    std::string(200'000, '[') + std::string(200'000, ']');
  const auto answers = answersOf({ "{\"a\":1}", deep, "[[1]]" });
  ASSERT_EQ(answers.size(), 3u);
  EXPECT_EQ(answers[0], (nlohmann::json{ { "a", 1 } }));
  EXPECT_EQ(answers[1], deep);
  EXPECT_EQ(answers[2][0][0], 1);
}

TEST(ForeignAnswer, ThatIsNotUtf8IsPassedOnAsText)
{
  EXPECT_EQ(answersOf({ "\"caf\xe9\"" })[0], "\"caf\xef\xbf\xbd\"");
}

} // namespace
} // namespace cowslippin::testing
