#include "libclaims/claims.h"

#include "support/mutatedbytes.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

TEST(ForeignBatch, OfAnyDepthIsAProblem)
{
  const std::string deep =
    std::string(200'000, '[') + std::string(200'000, ']');
  EXPECT_FALSE(parseClaimBatch(deep));
  EXPECT_FALSE(parseClaimBatch("{\"claims\":1,\"entries\":" + deep + "}"));
}

TEST(ForeignBatch, ChangedBytesAreABatchOrAProblem)
{
  const std::string batch =
    R"({"claims":1,"owner":"17","batch":3,"readUpTo":9,"entries":[
    {"key":"0123456789abcdef0123456789abcdef"},
    {"key":"0123456789abcdef0123456789abcdee","supersedes":4}]})";
  ASSERT_TRUE(parseClaimBatch(batch))
    << parseClaimBatch(batch).error().detail();
  MutatedBytes inputs({ batch }, jsonFragments(), 20261204);
  for (int i = 0; i < 20'000; ++i) {
    const auto parsed = parseClaimBatch(inputs.next());
    if (parsed) {
      EXPECT_EQ(parseClaimBatch(encode(*parsed)), parsed);
    } else {
      EXPECT_LE(parsed.error().detail().size(), Problem::maxDetailBytes);
    }
  }
}

} // namespace
} // namespace cowslippin::testing
