#include "configbuilder.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cowslippin {
namespace {

struct BadBody
{
  std::string text;
  std::vector<std::string> badFields;
};

std::vector<std::string>
fieldsOf(const std::vector<Problem>& problems)
{
  std::vector<std::string> fields;
  for (const Problem& problem : problems) {
    EXPECT_EQ(problem.ran(), RunState::NotRun);
    fields.push_back(problem.field());
  }
  return fields;
}

const BadBody badTemplates[] = {
  { "", { "" } },
  { "[]", { "" } },
  { "{\"service\":\"s\"", { "" } },
  { "{}", { "service" } },
  { R"({"service":""})", { "service" } },
  { R"({"service":7})", { "service" } },
  { R"({"service":"s","path":"lookup"})", { "path" } },
  { R"({"service":"s","path":"/a b"})", { "path" } },
  { R"({"service":"s","path":"/a\r\nX: y"})", { "path" } },
  { R"({"service":"s","repeatable":"yes"})", { "repeatable" } },
  { R"({"service":"s","declaredRunTimeMs":0})", { "declaredRunTimeMs" } },
  { R"({"service":"s","declaredRunTimeMs":1.5})", { "declaredRunTimeMs" } },
  { R"({"service":"s","declaredRunTimeMs":500,"taskTimeoutMs":499})",
    { "taskTimeoutMs" } },
  { R"({"service":"s","cores":-1})", { "cores" } },
  { R"({"service":"s","cores":18446744073709551615})", { "cores" } },
  { R"({"service":"s","memoryMb":null})", { "memoryMb" } },
  { R"({"service":"s","maxBodyBytes":67108865})", { "maxBodyBytes" } },
  { R"({"service":"s","revision":3})", { "revision" } },
  { R"({"service":"s","cores":0,"paht":"/","repeatable":1})",
    { "repeatable", "cores", "paht" } },
};

const BadBody badOrganisations[] = {
  { "null", { "" } },
  { R"({"urgency":10})", { "urgency" } },
  { R"({"urgency":-1})", { "urgency" } },
  { R"({"weight":0})", { "weight" } },
  { R"({"maxTasksPerJob":2001})", { "maxTasksPerJob" } },
  { R"({"maxBodyBytes":0})", { "maxBodyBytes" } },
  { R"({"maxInFlight":"many"})", { "maxInFlight" } },
  { R"({"allowedZones":"a"})", { "allowedZones" } },
  { R"({"allowedZones":["a","a"]})", { "allowedZones" } },
  { R"({"allowedZones":["a",1]})", { "allowedZones" } },
  { R"({"allowedZones":["a","-b"]})", { "allowedZones" } },
  { R"({"zones":["a"],"weight":0})", { "weight", "zones" } },
};

TEST(ConfigJsonTest, NamesEveryBadFieldOfATemplate)
{
  for (const BadBody& body : badTemplates) {
    const auto problems = validateTemplate(body.text, TemplateName("t"));
    EXPECT_EQ(fieldsOf(problems), body.badFields) << body.text;
    const auto parsed = parseTemplate(body.text, TemplateName("t"));
    ASSERT_FALSE(parsed) << body.text;
    for (const std::string& field : body.badFields) {
      EXPECT_NE(parsed.error().detail().find(field), std::string::npos)
        << body.text;
    }
  }
}

TEST(ConfigJsonTest, NamesEveryBadFieldOfAnOrganisation)
{
  for (const BadBody& body : badOrganisations) {
    const auto problems =
      validateOrganisation(body.text, OrganisationName("o"));
    EXPECT_EQ(fieldsOf(problems), body.badFields) << body.text;
    EXPECT_FALSE(parseOrganisation(body.text, OrganisationName("o")))
      << body.text;
  }
}

TEST(ConfigJsonTest, RefusesNamesThatCannotStandInAPath)
{
  const std::vector<std::string> badNames = {
    "", ".", "..", "a/b", "a b", "-a", "\xc3\xa4", std::string(65, 'a')
  };
  for (const std::string& name : badNames) {
    const auto problems =
      validateTemplate(R"({"service":"s"})", TemplateName(name));
    EXPECT_EQ(fieldsOf(problems), std::vector<std::string>{ "name" }) << name;
    EXPECT_FALSE(parseOrganisation("{}", OrganisationName(name))) << name;
  }
}

TEST(ConfigJsonTest, FillsInDefaults)
{
  const auto parsed =
    parseTemplate(R"({"service":"booking"})", TemplateName("t"));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(*parsed, makeTemplate("t"));
  EXPECT_FALSE(parsed->isRepeatable());
  const auto organisation = parseOrganisation("{}", OrganisationName("o"));
  ASSERT_TRUE(organisation);
  EXPECT_TRUE(organisation->allowsZone(ZoneName("anywhere")));
}

TEST(ConfigJsonTest, LongRunTimeRaisesTheDefaultTimeout)
{
  const auto parsed = parseTemplate(
    R"({"service":"s","declaredRunTimeMs":30000})", TemplateName("t"));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->taskTimeout(), std::chrono::seconds(30));
}

TEST(ConfigJsonTest, ReadsEveryMember)
{
  const auto parsed = parseOrganisation(
    R"({"urgency":9,"weight":7,"maxTasksPerJob":10,"maxBodyBytes":2048,
        "maxInFlight":40,"allowedZones":["b","a"]})",
    OrganisationName("o"));
  ASSERT_TRUE(parsed);
  OrganisationParameters::Fields fields;
  fields.name = OrganisationName("o");
  fields.urgency = 9;
  fields.weight = 7;
  fields.maxTasksPerJob = 10;
  fields.maxBodyBytes = 2048;
  fields.maxInFlight = 40;
  fields.allowedZones = { ZoneName("a"), ZoneName("b") };
  EXPECT_EQ(*parsed, OrganisationParameters(fields));
  EXPECT_FALSE(parsed->allowsZone(ZoneName("c")));
  EXPECT_EQ(*organisationFromJson(organisationToJson(*parsed)), *parsed);
}

TEST(ConfigJsonTest, RecordsSurviveEncoding)
{
  const Configuration configuration =
    Configuration()
      .apply(1, makeRecord("r1", 0, makeTemplate("t")))
      .next()
      .apply(2, makeRecord("r2", 0, makeOrganisation("o")))
      .next();
  const ConfigRecord records[] = {
    makeRecord("id", 7, makeTemplate("t", 90)),
    makeRecord("id", 0, makeOrganisation("o", 3)),
    makeSnapshot("id", configuration),
    makeSnapshot("id", Configuration()),
  };
  for (const ConfigRecord& record : records) {
    const auto parsed = parseConfigRecord(encode(record));
    ASSERT_TRUE(parsed) << encode(record);
    EXPECT_EQ(*parsed, record) << encode(record);
  }
}

TEST(ConfigJsonTest, RefusesBrokenRecords)
{
  const std::string whole = R"({"name":"t","service":"s"})";
  const std::string record = R"({"recordId":"a",)";
  const std::string snapshot = record + R"("snapshot":{"offset":2,)";
  const std::string noTemplates = snapshot + R"("templates":[],)";
  const std::vector<std::string> texts = {
    "",
    "7",
    R"({"recordId":"a"})",
    record + R"("template":{}})",
    record + R"("template":[]})",
    record + R"("template":{"service":"s"}})",
    record + R"("expectedRevision":-1,"template":)" + whole + "}",
    record + R"("organisation":{"name":"o"},"template":)" + whole + "}",
    R"({"recordId":"","template":)" + whole + "}",
    R"({"template":)" + whole + "}",
    snapshot + "}}",
    snapshot + R"("templates":{},"organisations":[],"acceptedRecords":[]}})",
    snapshot + R"("templates":[1],"organisations":[],"acceptedRecords":[]}})",
    noTemplates +
      R"("organisations":[],"acceptedRecords":[{"recordId":"x","revision":3}]}})",
    noTemplates +
      R"("organisations":[{"name":"b","revision":3}],"acceptedRecords":[]}})",
    noTemplates + R"("acceptedRecords":[],"organisations":)" +
      R"([{"name":"b","revision":1},{"name":"a","revision":2}]}})",
  };
  ASSERT_TRUE(parseConfigRecord(record + R"("template":)" + whole + "}"));
  ASSERT_TRUE(parseConfigRecord(
    noTemplates + R"("acceptedRecords":[],"organisations":)" +
    R"([{"name":"a","revision":1},{"name":"b","revision":2}]}})"));
  for (const std::string& text : texts) {
    EXPECT_FALSE(parseConfigRecord(text)) << text;
  }
}

} // namespace
} // namespace cowslippin
