#include "libconfig/config.h"

#include "support/mutatedbytes.h"

#include <gtest/gtest.h>

namespace cowslippin::testing {
namespace {

const std::string templateBody =
  R"({"service":"booking","path":"/run","repeatable":true,
  "declaredRunTimeMs":200,"taskTimeoutMs":900,"cores":2,"memoryMb":64,
  "maxBodyBytes":1000})";
const std::string organisationBody =
  R"({"urgency":3,"weight":7,"maxTasksPerJob":200,"maxBodyBytes":1000,
  "maxInFlight":50,"allowedZones":["z1","z2"]})";
const std::string record =
  R"({"recordId":"r1","expectedRevision":0,"organisation":{"name":"o",
  "urgency":3,"weight":7,"revision":4}})";

template<class T>
void
expectShortProblem(const Result<T>& result)
{
  if (result)
    return;
  EXPECT_LE(result.error().detail().size(), Problem::maxDetailBytes);
  EXPECT_TRUE(isUtf8(result.error().detail()));
}

/// Guards against the stack that writing a value takes for each level, where a
/// problem shows the value.
TEST(ForeignRecord, OfAnyDepthIsAProblem)
{
  const std::string deep =
    std::string(200'000, '[') + std::string(200'000, ']');
  EXPECT_FALSE(parseTemplate("{\"service\":" + deep + "}", TemplateName("t")));
  EXPECT_FALSE(
    parseOrganisation("{\"weight\":" + deep + "}", OrganisationName("o")));
  EXPECT_FALSE(parseConfigRecord("{\"recordId\":" + deep + "}"));
}

/// Guards against a reply or log line that lists what another program wrote.
TEST(ForeignRecord, ManyUnknownMembersAreAShortProblem)
{
  std::string body = "{\"service\":\"booking\"";
  for (int i = 0; i < 5000; ++i)
    body += ",\"m" + std::to_string(i) + "\":\"" + std::string(50, 'x') + '"';
  const auto parsed = parseTemplate(body + "}", TemplateName("t"));
  ASSERT_FALSE(parsed);
  expectShortProblem(parsed);
}

TEST(ForeignRecord, ChangedBytesAreARecordOrAProblem)
{
  MutatedBytes inputs(
    { templateBody, organisationBody, record }, jsonFragments(), 20261204);
  for (int i = 0; i < 20'000; ++i) {
    const std::string bytes = inputs.next();
    expectShortProblem(parseTemplate(bytes, TemplateName("t")));
    expectShortProblem(parseOrganisation(bytes, OrganisationName("o")));
    expectShortProblem(parseConfigRecord(bytes));
  }
}

} // namespace
} // namespace cowslippin::testing
