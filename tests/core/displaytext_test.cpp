#include "libcore/core.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

TEST(Utf8, IsToldFromOtherBytes)
{
  for (const char* text : { "",
                            "plain",
                            "caf\xc3\xa9",
                            "\xe2\x82\xac",
                            "\xf0\x9f\x90\x84",
                            "\xed\x9f\xbf",
                            "\xf4\x8f\xbf\xbf" })
    EXPECT_TRUE(isUtf8(text)) << text;
  for (const char* bytes : { "caf\xe9",
                             "\xc3",
                             "\xe2\x82",
                             "\x80",
                             "\xc0\xaf",
                             "\xe0\x80\xaf",
                             "\xed\xa0\x80",
                             "\xf0\x80\x80\xaf",
                             "\xf4\x90\x80\x80",
                             "\xff" })
    EXPECT_FALSE(isUtf8(bytes)) << bytes;
}

TEST(DisplayText, KeepsShortTexts)
{
  EXPECT_EQ(displayText("caf\xc3\xa9"), "caf\xc3\xa9");
  EXPECT_EQ(displayText(std::string(80, 'x')), std::string(80, 'x'));
}

TEST(DisplayText, CutsBetweenCharacters)
{
  EXPECT_EQ(displayText("abcdefgh", 7), "abcd...");
  EXPECT_EQ(displayText("abc\xc3\xa9ghi", 7), "abc...");
  EXPECT_EQ(displayText("ab\xc3\xa9gh12", 7), "ab\xc3\xa9...");
}

TEST(DisplayText, ReplacesWhatIsNoCharacter)
{
  EXPECT_EQ(displayText("caf\xe9!"), "caf\xef\xbf\xbd!");
  EXPECT_EQ(displayText(std::string(100, '\xff')).size(), 78u);
}

TEST(DisplayText, IsUtf8OfLimitedLengthAndStaysTheSame)
{
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::string bytes;
    for (unsigned i = 0; i < seed % 200; ++i)
      bytes += static_cast<char>((seed * 2654435761u + i * i * 40503u) >> 7);
    const std::string text = displayText(bytes, 40);
    EXPECT_LE(text.size(), 40u);
    EXPECT_TRUE(isUtf8(text));
    EXPECT_EQ(displayText(text, 40), text);
    EXPECT_EQ(boundedText(bytes, 40), text);
  }
}

TEST(NameText, HasNoControlCharactersAndALimit)
{
  EXPECT_TRUE(isNameText("i-1"));
  EXPECT_TRUE(isNameText("quadros/s\xc3\xa3o"));
  EXPECT_TRUE(isNameText(std::string(maxNameBytes, 'x')));
  EXPECT_FALSE(isNameText(""));
  EXPECT_FALSE(isNameText(std::string(maxNameBytes + 1, 'x')));
  EXPECT_FALSE(isNameText("a\r\nX-Header: 1"));
  EXPECT_FALSE(isNameText("caf\xe9"));
  EXPECT_FALSE(isNameText(std::string("a\0b", 3)));
}

/// Guards against a reply or a log line of any length, and against bytes in it
/// that aren't UTF-8, where a problem shows what another program wrote.
TEST(Problem, HasShortTextsInUtf8)
{
  const std::string large(100'000, '\xe9');
  const Problem problem = Problem::invalidField(large, large, large);
  EXPECT_LE(problem.detail().size(), Problem::maxDetailBytes);
  EXPECT_LE(problem.field().size(), maxDisplayBytes);
  EXPECT_LE(problem.value().size(), maxDisplayBytes);
  EXPECT_LE(problem.allowed().size(), Problem::maxAllowedBytes);
  for (const std::string& text : { problem.detail(),
                                   problem.field(),
                                   problem.value(),
                                   problem.allowed() })
    EXPECT_TRUE(isUtf8(text));
  const Problem other(ProblemKind::MalformedBody, RunState::NotRun, large);
  EXPECT_LE(other.detail().size(), Problem::maxDetailBytes);
}

} // namespace
} // namespace cowslippin
