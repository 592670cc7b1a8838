#include "libprotocol/protocol.h"

#include "support/mutatedbytes.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

Result<Message>
decodeText(const std::string& bytes)
{
  return decode(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                bytes.size());
}

/// Guards against the recursion of the CBOR reader for strings in strings,
/// which a check of the document's depth doesn't see.
TEST(ForeignMessage, StringsInStringsAreAProblem)
{
  EXPECT_FALSE(decodeText(std::string(1'000'000, '\x5f')));
  EXPECT_FALSE(decodeText(std::string(1'000'000, '\x7f')));
}

TEST(ForeignMessage, ChangedBytesAreAMessageOrAProblem)
{
  SubmitCall::Fields fields;
  fields.key = SubmissionKey("k");
  fields.organisation = OrganisationName("o");
  fields.templateName = TemplateName("t");
  fields.payloads = { "one", "two" };
  const std::vector<std::uint8_t> bytes = encode(SubmitCall(fields));
  MutatedBytes inputs(
    { { bytes.begin(), bytes.end() } }, cborFragments(), 20261204);
  for (int i = 0; i < 20'000; ++i) {
    const auto message = decodeText(inputs.next());
    if (!message) {
      EXPECT_LE(message.error().detail().size(), Problem::maxDetailBytes);
    }
  }
}

} // namespace
} // namespace cowslippin::testing
