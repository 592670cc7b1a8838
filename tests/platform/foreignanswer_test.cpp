#include "libplatform/platform.h"

#include "support/mutatedbytes.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const std::string list =
  R"({"version":3,"vms":[{"id":"e1","zone":"z1","state":"live","role":"entry",
  "peerAddress":"10.0.0.1:1","httpAddress":"10.0.0.1:2"},{"id":"w1","zone":"z1",
  "state":"leaving","role":"worker","cores":8,"memoryMb":1000}],"endpoints":[
  {"id":"p1","service":"s","zone":"z1","address":"10.0.0.2:3","slots":2,
  "connections":4,"state":"live"}]})";
const std::string page =
  R"({"first":1,"end":4,"records":[{"offset":2,"body":"a"},
  {"offset":3,"body":"b"}]})";

/// Guards against the stack that writing a value takes for each level, where a
/// problem shows the value.
TEST(ForeignAnswer, OfAnyDepthIsAProblem)
{
  const std::string deep =
    std::string(200'000, '[') + std::string(200'000, ']');
  EXPECT_FALSE(parseVmList(deep));
  EXPECT_FALSE(parseVmList("{\"version\":" + deep + "}"));
  EXPECT_FALSE(LogPage::parse("{\"first\":" + deep + "}", 1));
}

TEST(ForeignAnswer, ChangedBytesAreAnAnswerOrAProblem)
{
  ASSERT_TRUE(parseVmList(list)) << parseVmList(list).error().detail();
  ASSERT_TRUE(LogPage::parse(page, 2));
  MutatedBytes inputs({ list, page }, jsonFragments(), 20261204);
  for (int i = 0; i < 20'000; ++i) {
    const std::string bytes = inputs.next();
    const auto vms = parseVmList(bytes);
    if (!vms) {
      EXPECT_LE(vms.error().detail().size(), Problem::maxDetailBytes);
    }
    const auto records = LogPage::parse(bytes, 2);
    if (!records) {
      EXPECT_LE(records.error().detail().size(), Problem::maxDetailBytes);
    }
  }
}

} // namespace
} // namespace cowslippin::testing
