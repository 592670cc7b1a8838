#include "libjson/json.h"

#include "libcore/core.h"

#include "support/mutatedbytes.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <limits>

namespace cowslippin::testing {
namespace {

using nlohmann::json;

constexpr ParseLimits limits{ 4096, 8, 200 };
constexpr int mutations = 20'000;

std::string
cborOf(const json& value)
{
  const auto bytes = json::to_cbor(value);
  return { bytes.begin(), bytes.end() };
}

CborReader
readerOf(const std::string& bytes)
{
  return CborReader::open(bytes, "x", limits).value();
}

/// What a reading function returns, or the text of what it throws.
json
outcomeOf(const std::function<json()>& read)
{
  try {
    return json::array({ "read", read() });
  } catch (const std::exception& error) {
    return json::array({ "refused", error.what() });
  }
}

/// A way to read a value without a tree, and the same by the tree.
struct Reading
{
  const char* name;
  std::function<json(CborReader&)> byReader;
  std::function<json(const json&)> byTree;
};

std::vector<Reading>
readings()
{
  constexpr std::int64_t most = std::int64_t(1) << 40;
  return {
    { "text",
      [](CborReader& reader) { return reader.text(20); },
      [](const json& value) { return textFrom(value, 20); } },
    { "flag",
      [](CborReader& reader) { return reader.flag(); },
      [](const json& value) { return flagFrom(value); } },
    { "number",
      [](CborReader& reader) { return reader.number(-1, 1e9); },
      [](const json& value) { return numberFrom(value, -1, 1e9); } },
    { "signed",
      [](CborReader& reader) {
        return reader.integer<std::int64_t>(-most, most);
      },
      [](const json& value) {
        return integerFrom<std::int64_t>(value, -most, most);
      } },
    { "unsigned",
      [](CborReader& reader) { return reader.integer<std::uint64_t>(); },
      [](const json& value) { return integerFrom<std::uint64_t>(value); } },
    { "list",
      [](CborReader& reader) {
        const std::size_t size = reader.beginList(5);
        reader.end();
        return size;
      },
      [](const json& value) { return listFrom(value, 5).size(); } },
    { "second element",
      [](CborReader& reader) {
        reader.beginMembers();
        reader.skip();
        const auto second = reader.integer<std::uint64_t>();
        reader.end();
        return second;
      },
      [](const json& value) {
        elementOf(value, 0);
        return integerFrom<std::uint64_t>(elementOf(value, 1));
      } },
    { "null",
      [](CborReader& reader) {
        const bool isNull = reader.skipNull();
        if (!isNull)
          reader.skip();
        return isNull;
      },
      [](const json& value) { return value.is_null(); } },
  };
}

/// Values of each type, at the ends of their ranges too.
std::vector<std::string>
samples()
{
  std::vector<std::string> samples;
  for (const json& value :
       { json(0),
         json(23),
         json(24),
         json(-1),
         json(65536),
         json(std::numeric_limits<std::int64_t>::min()),
         json(std::numeric_limits<std::uint64_t>::max()),
         json(1.5),
         json(1e300),
         json(0.1),
         json(std::nan("")),
         json(true),
         json(nullptr),
         json("text"),
         json("caf\xe9"),
         json(std::string(21, 'n')),
         json::binary({ 1, 2 }),
         json::object({ { "a", 1 } }),
         json({ 1, 2 }),
         json({ 1, 2, { 3, "four", { { "five", 6 } } }, 7, 8, 9 }) })
    samples.push_back(cborOf(value));
  return samples;
}

/// Guards against a value that is read as another one, or that is accepted
/// although the functions for trees refuse it, and against a refusal whose text
/// shows something else.
TEST(CborReader, ReadsAndRefusesWhatTheTreeDoes)
{
  MutatedBytes changed(samples(), cborFragments(), 20261204);
  int comparedCount = 0;
  for (int i = 0; i < mutations; ++i) {
    const std::string bytes = changed.next();
    const auto tree = parseCbor(bytes, "x", limits);
    const auto reader = CborReader::open(bytes, "x", limits);
    // Only a map with other names than texts has a structure that can be read
    // without being a document.
    ASSERT_TRUE(reader || !tree);
    if (!tree) {
      if (!reader) {
        EXPECT_EQ(reader.error().detail(), tree.error().detail());
      }
      continue;
    }
    for (const Reading& reading : readings()) {
      CborReader copy = *reader;
      EXPECT_EQ(outcomeOf([&] {
                  return reading.byReader(copy);
                }).dump(-1, ' ', false, json::error_handler_t::replace),
                outcomeOf([&] {
                  return reading.byTree(*tree);
                }).dump(-1, ' ', false, json::error_handler_t::replace))
        << reading.name;
    }
    ++comparedCount;
  }
  EXPECT_GT(comparedCount, mutations / 100);
}

/// Guards against a value of a later version, after those that are known, that
/// is taken for the next element of the list around it.
TEST(CborReader, SkipsWhatALaterVersionAddsToAList)
{
  const std::string bytes = cborOf(
    { { 1, { 2, "three", { { "a", { 4 } } } }, json::binary({ 5 }) }, 6 });
  CborReader reader = readerOf(bytes);
  reader.beginMembers();
  reader.beginMembers();
  EXPECT_EQ(reader.integer<int>(), 1);
  reader.end();
  EXPECT_EQ(reader.integer<int>(), 6);
  reader.end();
}

TEST(CborReader, RefusesToReadPastTheEndOfAList)
{
  const std::string bytes = cborOf({ { 1 }, 2 });
  CborReader reader = readerOf(bytes);
  reader.beginMembers();
  reader.beginMembers();
  EXPECT_EQ(reader.integer<int>(), 1);
  EXPECT_THROW(reader.integer<int>(), InvalidJsonValue);
  EXPECT_THROW(reader.text(9), InvalidJsonValue);
  EXPECT_THROW(reader.skipNull(), InvalidJsonValue);
  EXPECT_THROW(reader.beginList(9), InvalidJsonValue);
}

/// Guards against a daemon of an earlier version that reads something else:
/// the bytes stay those that the tree was written as.
TEST(CborWriter, WritesTheBytesThatTheTreeIsWrittenAs)
{
  const std::vector<std::uint64_t> unsignedValues{
    0, 23, 24, 255, 256, 65535, 65536, 4294967295, 4294967296, ~std::uint64_t(0)
  };
  const std::vector<std::int64_t> signedValues{
    -1, -24, -25, -256, -257, -65537, std::numeric_limits<std::int64_t>::min()
  };
  const std::vector<double> numbers{ 0, 1.5, 1.6, 1e300, -3 };
  const std::vector<std::size_t> sizes{ 0, 23, 24, 255, 256, 70000 };
  for (const auto value : unsignedValues) {
    CborWriter writer;
    writer.integer(value);
    EXPECT_EQ(writer.takeBytes(), json::to_cbor(value)) << value;
  }
  for (const auto value : signedValues) {
    CborWriter writer;
    writer.integer(value);
    EXPECT_EQ(writer.takeBytes(), json::to_cbor(value)) << value;
  }
  for (const double value : numbers) {
    CborWriter writer;
    writer.number(value);
    EXPECT_EQ(writer.takeBytes(), json::to_cbor(value)) << value;
  }
  for (const std::size_t size : sizes) {
    const std::string text(size, 't');
    CborWriter writer;
    writer.list(4);
    writer.text(text);
    writer.binary(text);
    writer.flag(true);
    writer.null();
    const json tree = json::array(
      { text, json::binary({ text.begin(), text.end() }), true, nullptr });
    EXPECT_EQ(writer.takeBytes(), json::to_cbor(tree)) << size;
  }
}

} // namespace
} // namespace cowslippin::testing
