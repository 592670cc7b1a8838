#include "libcore/core.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

struct Word
{
  RunState state;
  const char* text;
};

TEST(RunState, HasOneWordEachThatMapsBack)
{
  const Word table[] = {
    { RunState::NotRun, "not run" },
    { RunState::MayHaveRun, "may have run" },
    { RunState::Failed, "failed" },
    { RunState::Completed, "completed" },
  };
  for (const Word& word : table) {
    EXPECT_EQ(toString(word.state), word.text);
    EXPECT_EQ(runStateFromString(word.text), word.state);
  }
}

TEST(RunState, OtherWordsNameNone)
{
  for (const char* text : { "", "ran", "Not run", "not run ", "not-run" }) {
    EXPECT_EQ(runStateFromString(text), std::nullopt) << text;
  }
}

} // namespace
} // namespace cowslippin
