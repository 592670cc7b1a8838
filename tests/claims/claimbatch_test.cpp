#include "libclaims/claims.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

constexpr char keyText[] = "00112233445566778899aabbccddeeff";

ClaimKey
claimKey(const std::string& text)
{
  return ClaimKey::parse(SubmissionKey(text)).value();
}

TEST(ClaimKeyTest, KeepsItsText)
{
  EXPECT_EQ(claimKey(keyText).toSubmissionKey(), SubmissionKey(keyText));
}

TEST(ClaimBatchTest, ReadsWhatItWrote)
{
  const ClaimBatch batch({ Incarnation("a-1"),
                           7,
                           41,
                           { { claimKey(keyText), std::nullopt },
                             { claimKey(std::string(32, 'f')), 12 } } });
  const auto parsed = parseClaimBatch(encode(batch));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(*parsed, batch);
}

TEST(ClaimBatchTest, RefusesWhatIsNotABatch)
{
  const std::string key = keyText;
  const std::string head = R"({"claims":1,"owner":"a","batch":1,"readUpTo":0)";
  const std::vector<std::string> texts = {
    "",
    "\xff\xfe",
    "7",
    "[]",
    "{}",
    R"({"claims":1,"owner":"a","batch":1,"entries":[{"key":")" + key +
      R"("}]})",
    head + "}",
    head + R"(,"entries":[]})",
    head + R"(,"entries":{}})",
    head + R"(,"entries":[7]})",
    head + R"(,"entries":[{}]})",
    head + R"(,"entries":[{"key":"short"}]})",
    head + R"(,"entries":[{"key":"00112233445566778899AABBCCDDEEFF"}]})",
    head + R"(,"entries":[{"key":")" + key + R"(","supersedes":0}]})",
    head + R"(,"entries":[{"key":")" + key + R"(","supersedes":-1}]})",
    head + R"(,"entries":[{"key":")" + key + R"(","other":1}]})",
    head + R"(,"entries":[{"key":")" + key + R"("}],"other":1})",
    head + R"(,"entries":[{"key":")" + key + R"("}])",
    R"({"claims":2,"owner":"a","batch":1,"readUpTo":0,"entries":[{"key":")" +
      key + R"("}]})",
    R"({"claims":1,"owner":"","batch":1,"readUpTo":0,"entries":[{"key":")" +
      key + R"("}]})",
    R"({"claims":1,"owner":"a","batch":0,"readUpTo":0,"entries":[{"key":")" +
      key + R"("}]})",
  };
  for (const std::string& text : texts) {
    EXPECT_FALSE(parseClaimBatch(text)) << text;
  }
}

} // namespace
} // namespace cowslippin
