#include "libjson/json.h"

#include "libcore/core.h"

#include "support/mutatedbytes.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

using nlohmann::json;

constexpr ParseLimits limits{ 4096, 8, 200 };
constexpr ParseLimits largeLimits{ std::size_t(16) << 20, 8, 100'000'000 };
constexpr std::size_t deep = 1'000'000;

std::string
asText(const std::vector<std::uint8_t>& bytes)
{
  return { bytes.begin(), bytes.end() };
}

TEST(ParseJson, ReadsADocumentWithinItsLimits)
{
  const auto document =
    parseJson(R"({"a":[1,"b,[\"{"],"c":null})", "x", limits);
  ASSERT_TRUE(document) << document.error().detail();
  EXPECT_EQ(*document, (json{ { "a", { 1, "b,[\"{" } }, { "c", nullptr } }));
}

TEST(ParseJson, KeepsTheOrderOfMembersIfAsked)
{
  const auto document = parseOrderedJson(R"({"b":1,"a":2})", "x", limits);
  ASSERT_TRUE(document);
  EXPECT_EQ(writeOrderedJson(*document), R"({"b":1,"a":2})");
}

/// A document that must be refused, and a part of the problem's text.
struct RefusedCase
{
  const char* name;
  std::string text;
  const char* fault;
};

class RefusedJson : public ::testing::TestWithParam<RefusedCase>
{};

/// Guards against a problem that shows the bytes of the document, which may be
/// long and may not be UTF-8.
TEST_P(RefusedJson, IsAProblemThatNamesTheFieldAndTheFault)
{
  const auto document = parseJson(GetParam().text, "spot", limits);
  ASSERT_FALSE(document);
  const Problem& problem = document.error();
  EXPECT_EQ(problem.kind(), ProblemKind::MalformedBody);
  EXPECT_EQ(problem.ran(), RunState::NotRun);
  EXPECT_EQ(problem.detail().rfind("spot is ", 0), 0u);
  EXPECT_NE(problem.detail().find(GetParam().fault), std::string::npos)
    << problem.detail();
  EXPECT_LT(problem.detail().size(), 200u);
  EXPECT_TRUE(isUtf8(problem.detail()));
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  RefusedJson,
  ::testing::Values(
    RefusedCase{ "TooLong", '"' + std::string(4096, 'x') + '"', "too long" },
    RefusedCase{ "Lists",
                 std::string(9, '[') + std::string(9, ']'),
                 "too deep" },
    RefusedCase{ "Objects", std::string(2000, '{'), "too deep" },
    RefusedCase{ "Values",
                 '[' + std::string(400, ',') + ']',
                 "too many values" },
    RefusedCase{ "Latin1", "{\"a\":\"caf\xe9\"}", "not UTF-8" },
    RefusedCase{ "Surrogate", "\"\xed\xa0\x80\"", "not UTF-8" },
    RefusedCase{ "Overlong", "\"\xc0\xaf\"", "not UTF-8" },
    RefusedCase{ "Empty", "", "not JSON" },
    RefusedCase{ "Cut", "{\"a\":", "not JSON" },
    RefusedCase{ "Twice", "{}{}", "not JSON" },
    RefusedCase{ "HugeNumber", "1e999", "a number that is too large" }),
  [](const auto& info) { return std::string(info.param.name); });

TEST(ParseJson, IgnoresBracketsInStrings)
{
  const std::string brackets = '"' + std::string(100, '[') + "\\\"[" + '"';
  EXPECT_TRUE(parseJson('[' + brackets + ']', "x", limits));
}

TEST(ParseJson, SurvivesAnyDepth)
{
  EXPECT_FALSE(parseJson(std::string(deep, '['), "x", largeLimits));
  EXPECT_FALSE(parseJson(
    std::string(deep, '[') + std::string(deep, ']'), "x", largeLimits));
}

/// Guards against a check of the structure that refuses what the parser
/// accepts.
TEST(ParseJson, AcceptsWhatTheParserAcceptsWithinTheLimits)
{
  MutatedBytes inputs({ R"({"a":[1,2,{"b":"c"}],"d":-1.5e3,"e":[true,null]})",
                        R"(["x\"y\\",{"":{}},[],0])" },
                      jsonFragments(),
                      1);
  for (int i = 0; i < 20'000; ++i) {
    const std::string text = inputs.next();
    const auto document = parseJson(text, "x", limits);
    const bool isTooLarge =
      !document && (document.error().detail().rfind("x is too ", 0) == 0 ||
                    document.error().detail().rfind("x is nested", 0) == 0);
    EXPECT_TRUE(isTooLarge || document.has_value() == json::accept(text))
      << text;
  }
}

/// Makes a document of what it receives.
class DocumentBuilder : public JsonVisitor
{
public:
  void visitName(const std::string& name) override { m_name = name; }
  void visitText(std::string& value) override { add(json(value)); }
  void visitScalar(const json& value) override { add(value); }
  void beginArray() override { m_open.push_back(add(json::array())); }
  void endArray() override { m_open.pop_back(); }
  void beginObject() override { m_open.push_back(add(json::object())); }
  void endObject() override { m_open.pop_back(); }

  const json& document() const { return m_document; }

private:
  json* add(const json& value)
  {
    if (m_open.empty()) {
      m_document = value;
      return &m_document;
    }
    json& parent = *m_open.back();
    if (parent.is_object())
      return &(parent[m_name] = value);
    parent.push_back(value);
    return &parent.back();
  }

  json m_document;
  std::vector<json*> m_open;
  std::string m_name;
};

/// Guards against a visitor that is shown what a document would not contain, or
/// shown a document that is refused otherwise.
TEST(VisitJson, ShowsWhatADocumentContainsAndRefusesTheSame)
{
  MutatedBytes inputs({ R"({"a":[1,2,{"b":"c"}],"d":-1.5e3,"e":[true,null]})",
                        R"(["x\"y\\",{"":{}},[],0,1e300,"caf\u00e9"])" },
                      jsonFragments(),
                      2);
  for (int i = 0; i < 100'000; ++i) {
    const std::string text = inputs.next();
    const auto document = parseJson(text, "x", limits);
    DocumentBuilder builder;
    const auto problem = visitJson(text, "x", limits, builder);
    ASSERT_EQ(document.has_value(), !problem.has_value()) << text;
    if (problem)
      EXPECT_EQ(problem->detail(), document.error().detail()) << text;
    else
      EXPECT_EQ(builder.document(), *document) << text;
  }
}

TEST(VisitJson, ReadsEachFormOfAValueAsADocument)
{
  const std::string texts[] = { "0",
                                "-0",
                                "01",
                                "-",
                                "+1",
                                "1.",
                                ".5",
                                "1e5",
                                "1E+2",
                                "-1.25e-3",
                                "999999999999999999",
                                "-999999999999999999",
                                "9223372036854775808",
                                "-9223372036854775808",
                                "18446744073709551615",
                                "18446744073709551616",
                                "1e400",
                                "1-2",
                                "1 2",
                                "true",
                                "truex",
                                "tru",
                                "nul",
                                "false ",
                                "\xef\xbb\xbf[1]",
                                "\xef\xbb[1]",
                                "[1]\n\r\t ",
                                "[1,]",
                                "[,1]",
                                "[1 2]",
                                "{\"a\":1,}",
                                "{\"a\" : 1 , \"a\":2}",
                                "{\"a\"}",
                                "{a:1}",
                                "{1:1}",
                                "[1}",
                                "{\"a\":1]",
                                "\"\\u0041\\n\\\"\"",
                                "\"\\ud83d\\ude00\"",
                                "\"\\ud83d\"",
                                "\"\\x\"",
                                "\"\\",
                                "\"tab\there\"",
                                "\"\x7f\"",
                                "\"caf\xc3\xa9\"",
                                "\"caf\xe9\"",
                                "\"open",
                                "/**/1",
                                std::string("[1]\0x", 5),
                                std::string("[1\0]", 4),
                                std::string("\"a\0b\"", 5) };
  for (const std::string& text : texts) {
    const auto document = parseJson(text, "x", limits);
    DocumentBuilder builder;
    const auto problem = visitJson(text, "x", limits, builder);
    ASSERT_EQ(document.has_value(), !problem.has_value()) << text;
    if (problem) {
      EXPECT_EQ(problem->detail(), document.error().detail()) << text;
    } else {
      EXPECT_EQ(builder.document(), *document) << text;
      EXPECT_EQ(builder.document().type(), document->type()) << text;
    }
  }
}

TEST(VisitJson, SurvivesAnyDepth)
{
  DocumentBuilder builder;
  EXPECT_TRUE(visitJson(std::string(deep, '['), "x", largeLimits, builder));
}

TEST_P(RefusedJson, IsTheSameProblemForAVisitor)
{
  DocumentBuilder builder;
  const auto problem = visitJson(GetParam().text, "spot", limits, builder);
  ASSERT_TRUE(problem);
  EXPECT_EQ(problem->detail(),
            parseJson(GetParam().text, "spot", limits).error().detail());
}

TEST(ParseCbor, ReadsADocumentWithinItsLimits)
{
  json value = { { "a", { 1, -2, 1.5, "text", true, nullptr } },
                 { "b", json::binary({ 0xff, 0x00 }) },
                 { "c", std::uint64_t(1) << 60 } };
  const auto document = parseCbor(asText(writeCbor(value)), "x", limits);
  ASSERT_TRUE(document) << document.error().detail();
  EXPECT_EQ(*document, value);
}

/// Guards against the stack that the library's reader takes for each level,
/// also of strings in strings, which have no level in the document.
TEST(ParseCbor, SurvivesAnyDepth)
{
  for (const unsigned char item :
       { 0x81, 0x9f, 0xa1, 0xbf, 0x5f, 0x7f, 0xc1 }) {
    const std::string bytes(deep, static_cast<char>(item));
    EXPECT_FALSE(parseCbor(bytes, "x", largeLimits)) << int(item);
  }
}

TEST(ParseCbor, RefusesLengthsBeyondTheEnd)
{
  const std::string huge = "\x7f\xff\xff\xff\xff\xff\xff\xff";
  for (const char* type : { "\x5b", "\x7b", "\x9b", "\xbb" })
    EXPECT_FALSE(parseCbor(type + huge + "x", "x", limits));
  EXPECT_FALSE(parseCbor("\xbb\xff\xff\xff\xff\xff\xff\xff\xff", "x", limits));
}

TEST(ParseCbor, RefusesAllButOneWholeItem)
{
  const std::string bytes = asText(writeCbor({ 1, { "a", 300 }, 1.5 }));
  ASSERT_TRUE(parseCbor(bytes, "x", limits));
  EXPECT_FALSE(parseCbor(bytes + '\0', "x", limits));
  for (std::size_t length = 0; length < bytes.size(); ++length)
    EXPECT_FALSE(parseCbor(bytes.substr(0, length), "x", limits)) << length;
}

TEST(ParseCbor, CountsDepthAndValues)
{
  EXPECT_TRUE(parseCbor(std::string(8, '\x81') + '\x01', "x", limits));
  EXPECT_FALSE(parseCbor(std::string(9, '\x81') + '\x01', "x", limits));
  EXPECT_TRUE(parseCbor("\x98\xc7" + std::string(199, '\x01'), "x", limits));
  EXPECT_FALSE(parseCbor("\x98\xc8" + std::string(200, '\x01'), "x", limits));
}

/// Guards against a check of the structure that disagrees with the reader.
TEST(ParseCbor, AcceptsWhatTheReaderAcceptsWithinTheLimits)
{
  const json sample = {
    1, { { "a", "b" } }, 2.5, json::binary({ 1, 2 }), true
  };
  MutatedBytes inputs({ asText(writeCbor(sample)) }, cborFragments(), 2);
  for (int i = 0; i < 20'000; ++i) {
    const std::string bytes = inputs.next();
    const auto document = parseCbor(bytes, "x", limits);
    if (document) {
      // By their encoding, as a NaN doesn't equal itself.
      EXPECT_EQ(writeCbor(*document),
                json::to_cbor(json::from_cbor(bytes, true, false)));
    } else if (document.error().detail().rfind("x is not CBOR", 0) == 0) {
      EXPECT_TRUE(json::from_cbor(bytes, true, false).is_discarded());
    }
  }
}

} // namespace
} // namespace cowslippin::testing
