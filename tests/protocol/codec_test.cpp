#include "libprotocol/protocol.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace cowslippin {
namespace {

using nlohmann::json;

Result<Message>
decodeBytes(const std::vector<std::uint8_t>& bytes)
{
  return decode(bytes.data(), bytes.size());
}

Result<Message>
decodeJson(const json& document)
{
  return decodeBytes(json::to_cbor(document));
}

/// One of every type, each member with a value of its own.
std::vector<Message>
samples()
{
  return {
    Hello({ VmId("vm-1"), Incarnation("i-7"), ZoneName("a"), 42 }),
    Heartbeat({ 1, 2, 3 }),
    HeartbeatReply({ 4, 5, 6 }),
    OwnerCall({ 7, OwnerOperation::Cancel, SubmissionKey("o/k"), 8, 9 }),
    OwnerReply({ 10,
                 OwnerResult::Declined,
                 503,
                 "text/plain",
                 std::string("\0\xff", 2),
                 11,
                 "not run",
                 "/v1/jobs/1" }),
    ConfigRequest({ 12 }),
    ConfigTransfer({ 13, "{}" }),
    SubmitCall({ 18,
                 SubmissionKey("ticket:vm-1.0:19"),
                 OrganisationName("o"),
                 TemplateName("t"),
                 true,
                 false,
                 true,
                 20,
                 21,
                 "application/json",
                 { std::string("\0\xff", 2), "{}" } }),
    ClaimAppend({ "{}" }),
  };
}

json
document(const Message& message)
{
  return json::from_cbor(encode(message));
}

TEST(Codec, readsEveryMessageBack)
{
  ASSERT_EQ(samples().size(), std::variant_size_v<Message>);
  for (const Message& message : samples()) {
    const Result<Message> read = decodeBytes(encode(message));
    ASSERT_TRUE(read) << message.index() << ": " << read.error().detail();
    EXPECT_EQ(*read, message) << message.index();
  }
}

TEST(Codec, refusesEveryPrefix)
{
  for (const Message& message : samples()) {
    const std::vector<std::uint8_t> bytes = encode(message);
    for (std::size_t size = 0; size < bytes.size(); ++size)
      EXPECT_FALSE(decode(bytes.data(), size))
        << message.index() << " cut to " << size;
  }
}

TEST(Codec, refusesTrailingBytes)
{
  for (const Message& message : samples()) {
    std::vector<std::uint8_t> bytes = encode(message);
    bytes.push_back(0);
    EXPECT_FALSE(decodeBytes(bytes)) << message.index();
  }
}

TEST(Codec, namesAMemberThatIsMissing)
{
  for (const Message& message : samples()) {
    const json whole = document(message);
    for (const auto& member : whole.items()) {
      json part = whole;
      part.erase(member.key());
      const Result<Message> read = decodeJson(part);
      ASSERT_FALSE(read) << message.index() << " " << member.key();
      EXPECT_EQ(read.error().field(), member.key()) << message.index();
    }
  }
}

/// Every type but the member's own has to be refused.
TEST(Codec, namesAMemberOfAWrongType)
{
  const std::vector<json> oneOfEachType{
    nullptr,
    true,
    -1,
    1U,
    1.5,
    "x",
    json::binary({ 1 }),
    json::array({ nullptr }),
    json::object(),
  };
  for (const Message& message : samples()) {
    const json whole = document(message);
    for (const auto& member : whole.items()) {
      for (const json& value : oneOfEachType) {
        if (value.type() == member.value().type())
          continue;
        json changed = whole;
        changed[member.key()] = value;
        const Result<Message> read = decodeJson(changed);
        ASSERT_FALSE(read) << message.index() << " " << changed;
        EXPECT_EQ(read.error().field(), member.key()) << changed;
      }
    }
  }
}

TEST(Codec, ignoresMembersItDoesNotKnow)
{
  for (const Message& message : samples()) {
    json extended = document(message);
    extended["later"] = json{ { "list", { 1, "two" } } };
    const Result<Message> read = decodeJson(extended);
    ASSERT_TRUE(read) << message.index() << ": " << read.error().detail();
    EXPECT_EQ(*read, message);
  }
}

struct OutOfRange
{
  std::size_t sample;
  const char* member;
  json value;
};

TEST(Codec, namesAMemberThatIsOutOfRange)
{
  const std::string overLong(maxIdentifierBytes + 1, 'x');
  const std::vector<OutOfRange> table{
    { 0, "type", std::variant_size_v<Message> },
    { 0, "version", protocolVersion + 1 },
    { 0, "vm", "" },
    { 0, "vm", overLong },
    { 0, "incarnation", "" },
    { 0, "zone", overLong },
    { 1, "load", std::uint64_t(1) << 32U },
    { 3, "operation", 6 },
    { 3, "key", "" },
    { 3, "key", overLong },
    { 4, "result", 3 },
    { 4, "status", 65536 },
    { 4, "body", "text in place of bytes" },
  };
  for (const OutOfRange& row : table) {
    json changed = document(samples()[row.sample]);
    changed[row.member] = row.value;
    const Result<Message> read = decodeJson(changed);
    ASSERT_FALSE(read) << changed;
    EXPECT_EQ(read.error().field(), row.member);
    EXPECT_EQ(read.error().ran(), RunState::NotRun);
  }
}

TEST(Codec, tellsBothVersionsWhenTheyDiffer)
{
  json hello = document(samples()[0]);
  hello["version"] = 9;
  const Result<Message> read = decodeJson(hello);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().value(), "9");
  EXPECT_EQ(read.error().allowed(), std::to_string(protocolVersion));
}

TEST(Codec, survivesHostileNestingAndLengths)
{
  constexpr std::uint8_t arrayOfOne = 0x81;
  constexpr std::uint8_t openArray = 0x9f;
  constexpr std::size_t deep = 1000000;
  const std::vector<std::vector<std::uint8_t>> table{
    std::vector<std::uint8_t>(deep, arrayOfOne),
    std::vector<std::uint8_t>(deep, openArray),
    { 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xfe, 0x00 },
    { 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x00 },
    { 0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x00 },
    { 0xc1, 0x00 },
    {},
  };
  for (const std::vector<std::uint8_t>& bytes : table)
    EXPECT_FALSE(decodeBytes(bytes));
}

TEST(Codec, neverThrowsOnAlteredBytes)
{
  rc::detail::TestParams params;
  params.seed = 4711;
  params.maxSuccess = 2000;
  const auto result = rc::detail::checkTestable(
    [] {
      const std::vector<Message> messages = samples();
      const auto index = *rc::gen::inRange<std::size_t>(0, messages.size());
      std::vector<std::uint8_t> bytes = encode(messages[index]);
      const auto changes = *rc::gen::inRange(1, 4);
      for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
      }
      const Result<Message> read = decodeBytes(bytes);
      if (read)
        RC_ASSERT((decodeBytes(encode(*read)) == read));
    },
    rc::detail::TestMetadata(),
    params);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << result;
}

TEST(Codec, readsArbitraryRepliesBack)
{
  rc::detail::TestParams params;
  params.seed = 4712;
  const auto result = rc::detail::checkTestable(
    [] {
      OwnerReply::Fields fields;
      fields.requestId = *rc::gen::arbitrary<std::uint64_t>();
      fields.status = *rc::gen::arbitrary<std::uint16_t>();
      fields.contentType = *rc::gen::arbitrary<std::string>();
      fields.body = *rc::gen::arbitrary<std::string>();
      const Message message = OwnerReply(fields);
      const Result<Message> read = decodeBytes(encode(message));
      RC_ASSERT(read.has_value());
      RC_ASSERT((*read == message));
    },
    rc::detail::TestMetadata(),
    params);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << result;
}

} // namespace
} // namespace cowslippin
