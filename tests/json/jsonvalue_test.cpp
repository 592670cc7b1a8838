#include "libjson/json.h"

#include "libcore/core.h"

#include <gtest/gtest.h>

#include <cmath>

namespace cowslippin::testing {
namespace {

using nlohmann::json;

TEST(JsonValue, IntegersHaveTheRangeOfTheirType)
{
  EXPECT_EQ(integerFrom<std::uint16_t>(json(65535)), 65535);
  EXPECT_THROW(integerFrom<std::uint16_t>(json(65536)), InvalidJsonValue);
  EXPECT_THROW(integerFrom<unsigned>(json(-1)), InvalidJsonValue);
  EXPECT_THROW(integerFrom<unsigned>(json(4294967296u + 1)), InvalidJsonValue);
  EXPECT_EQ(integerFrom<std::int64_t>(json(-5)), -5);
  EXPECT_THROW(integerFrom<std::int64_t>(json(std::uint64_t(1) << 63)),
               InvalidJsonValue);
  EXPECT_EQ(integerFrom<std::uint64_t>(json(~std::uint64_t(0))),
            ~std::uint64_t(0));
  EXPECT_THROW(integerFrom<int>(json(7), 0, 6), InvalidJsonValue);
}

/// Guards against a conversion whose result C++ doesn't define.
TEST(JsonValue, AFractionIsCutOffIfTheNumberIsExact)
{
  EXPECT_EQ(integerFrom<int>(json(41.7)), 41);
  EXPECT_EQ(integerFrom<unsigned>(json(0.5)), 0u);
  for (const double number : { 1e300, -1e300, std::nan(""), HUGE_VAL, 1e16 }) {
    EXPECT_THROW(integerFrom<std::int64_t>(json(number)), InvalidJsonValue);
    EXPECT_THROW(integerFrom<std::uint64_t>(json(number)), InvalidJsonValue);
  }
  EXPECT_THROW(integerFrom<unsigned>(json(-0.5)), InvalidJsonValue);
}

TEST(JsonValue, OtherTypesAreNoNumbers)
{
  for (const json& value :
       { json(true), json("1"), json(nullptr), json({ 1 }) }) {
    EXPECT_THROW(integerFrom<int>(value), InvalidJsonValue) << value;
    EXPECT_THROW(numberFrom(value, 0, 2), InvalidJsonValue) << value;
  }
}

TEST(JsonValue, NumbersAreFiniteAndInTheirRange)
{
  EXPECT_EQ(numberFrom(json(1.5), 0, 2), 1.5);
  EXPECT_THROW(numberFrom(json(2.5), 0, 2), InvalidJsonValue);
  EXPECT_THROW(numberFrom(json(std::nan("")), 0, 2), InvalidJsonValue);
}

TEST(JsonValue, TextsAreUtf8OfLimitedLength)
{
  EXPECT_EQ(textFrom(json("caf\xc3\xa9"), 5), "caf\xc3\xa9");
  EXPECT_THROW(textFrom(json("caf\xc3\xa9"), 4), InvalidJsonValue);
  EXPECT_THROW(textFrom(json("caf\xe9"), 5), InvalidJsonValue);
  EXPECT_THROW(textFrom(json(7), 5), InvalidJsonValue);
}

TEST(JsonValue, MissingElementsAndMembersAreProblems)
{
  const json list = { 1, 2 };
  EXPECT_EQ(elementOf(list, 1), 2);
  EXPECT_THROW(elementOf(list, 2), InvalidJsonValue);
  EXPECT_THROW(elementOf(json(7), 0), InvalidJsonValue);
  EXPECT_THROW(listFrom(list, 1), InvalidJsonValue);
  EXPECT_THROW(memberOf(list, "a"), InvalidJsonValue);
  EXPECT_EQ(findMember(list, "a"), nullptr);
  EXPECT_EQ(memberOf(json{ { "a", 3 } }, "a"), 3);
}

/// Guards against a text of an exception that contains a whole foreign value.
TEST(JsonValue, TheTextOfAProblemIsShortAndUtf8)
{
  const std::string large(100'000, '\xff');
  const json values[] = { json(large),
                          json::array({ large }),
                          json{ { large, large } },
                          json::binary(std::vector<std::uint8_t>(100'000)),
                          json(std::vector<int>(100'000)) };
  for (const json& value : values) {
    EXPECT_LE(displayJson(value).size(), maxDisplayBytes);
    EXPECT_TRUE(isUtf8(displayJson(value)));
    try {
      integerFrom<int>(value);
      ADD_FAILURE();
    } catch (const InvalidJsonValue& error) {
      EXPECT_LT(std::string(error.what()).size(), 200u);
    }
  }
  EXPECT_EQ(displayJson(json({ 1, "a" })), "[1,\"a\"]");
  EXPECT_EQ(displayJson(json(std::vector<int>(9))), "a list of 9");
  EXPECT_EQ(displayJson(json("a")), "a");
}

/// Guards against an exception from writing a text that isn't UTF-8.
TEST(JsonText, ReplacesBytesThatAreNotUtf8)
{
  EXPECT_EQ(writeJson({ { "a", "caf\xe9" } }), "{\"a\":\"caf\xef\xbf\xbd\"}");
  EXPECT_EQ(writeJson({ 1, 2 }, 1), "[\n 1,\n 2\n]");
}

/// Guards against composed texts that differ from those of a document.
TEST(AppendJson, WritesWhatADocumentWrites)
{
  const std::string texts[] = { "",
                                "plain",
                                "quote\" back\\slash",
                                "two\nlines\tand\x01\x1f\x7f",
                                std::string("nul\0in", 6),
                                "caf\xc3\xa9 \xf0\x9f\x98\x80",
                                "lone \xff byte",
                                "cut \xe2\x82",
                                "\xed\xa0\x80 surrogate" };
  for (const std::string& text : texts) {
    std::string written = "[";
    appendJson(written, text);
    EXPECT_EQ(written, "[" + writeJson(nlohmann::json(text)));
  }
}

TEST(AppendJson, WritesNumbers)
{
  std::string text;
  appendJson(text, std::numeric_limits<std::int64_t>::min());
  text += ' ';
  appendJson(text, std::numeric_limits<std::uint64_t>::max());
  text += ' ';
  appendJson(text, 0.5);
  text += ' ';
  appendJson(text, std::numeric_limits<double>::infinity());
  EXPECT_EQ(text, "-9223372036854775808 18446744073709551615 0.5 null");
}

} // namespace
} // namespace cowslippin::testing
