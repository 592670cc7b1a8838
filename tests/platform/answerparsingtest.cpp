#include "libplatform/platform.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cowslippin {

namespace {

struct PageCase
{
  const char* body;
  Offset from;
  bool isValid;
};

TEST(LogPage, OnlyAConsistentPageIsAccepted)
{
  const std::vector<PageCase> cases = {
    { R"({"first":1,"end":1,"records":[]})", 1, true },
    { R"({"first":1,"end":3,"records":[{"offset":2,"body":"b"}]})", 2, true },
    { R"({"first":5,"end":6,"records":[{"offset":5,"body":"b"}]})", 2, true },
    { R"({"first":9,"end":9,"records":[]})", 2, true },
    { "", 1, false },
    { "[]", 1, false },
    { "null", 1, false },
    { R"({"first":1,"end":1})", 1, false },
    { R"({"first":"1","end":1,"records":[]})", 1, false },
    { R"({"first":1,"end":1,"records":{"offset":1}})", 1, false },
    { R"({"first":1,"end":2,"records":[{"offset":1}]})", 1, false },
    { R"({"first":1,"end":2,"records":[{"offset":1,"body":2}]})", 1, false },
    { R"({"first":0,"end":1,"records":[]})", 1, false },
    { R"({"first":3,"end":2,"records":[]})", 1, false },
    { R"({"first":1,"end":5,"records":[]})", 6, false },
    { R"({"first":1,"end":3,"records":[]})", 2, false },
    { R"({"first":1,"end":3,"records":[{"offset":1,"body":""}]})", 2, false },
    { R"({"first":1,"end":3,"records":[{"offset":3,"body":""}]})", 3, false },
    { R"({"first":1,"end":4,"records":[{"offset":1,"body":""},
         {"offset":3,"body":""}]})",
      1,
      false },
  };
  for (const PageCase& row : cases) {
    EXPECT_EQ(LogPage::parse(row.body, row.from).has_value(), row.isValid)
      << row.body << " from " << row.from;
  }
}

nlohmann::json
validList()
{
  return { { "version", 4 },
           { "vms",
             { { { "id", "vm1" },
                 { "role", "entry" },
                 { "zone", "z1" },
                 { "peerAddress", "127.0.0.1:1" },
                 { "httpAddress", "127.0.0.1:2" },
                 { "state", "live" } },
               { { "id", "w1" },
                 { "role", "worker" },
                 { "zone", "z2" },
                 { "state", "leaving" } } } },
           { "endpoints",
             { { { "id", "e1" },
                 { "service", "booking" },
                 { "zone", "z1" },
                 { "address", "127.0.0.1:3" },
                 { "slots", 8 },
                 { "connections", 64 },
                 { "state", "leaving" } } } } };
}

TEST(ParseVmList, ReadsVmsAndEndpoints)
{
  const Result<VmList> list = parseVmList(validList().dump());
  ASSERT_TRUE(list);
  EXPECT_EQ(list->version(), 4u);
  ASSERT_EQ(list->vms().size(), 2u);
  EXPECT_EQ(list->vms()[0].httpAddress(), Address("127.0.0.1", 2));
  EXPECT_EQ(list->vms()[0].peerAddress(), Address("127.0.0.1", 1));
  EXPECT_FALSE(list->vms()[0].isLeaving());
  EXPECT_EQ(list->vms()[1].role(), VmRole::Worker);
  EXPECT_TRUE(list->vms()[1].isLeaving());
  ASSERT_EQ(list->endpoints().size(), 1u);
  EXPECT_EQ(list->endpoints()[0].slots(), 8);
  EXPECT_EQ(list->endpoints()[0].connections(), 64);
  EXPECT_TRUE(list->endpoints()[0].isLeaving());
}

struct BadMember
{
  const char* pointer;
  nlohmann::json value;
  const char* field;
};

TEST(ParseVmList, NamesTheBadMember)
{
  const std::vector<BadMember> cases = {
    { "/version", -1, "version" },
    { "/vms", 3, "vms" },
    { "/endpoints", nullptr, "endpoints" },
    { "/vms/1", "vm", "vms[1]" },
    { "/vms/0/id", "", "vms[0].id" },
    { "/vms/0/id", 7, "vms[0].id" },
    { "/vms/0/role", "boss", "vms[0].role" },
    { "/vms/1/state", "gone", "vms[1].state" },
    { "/vms/0/peerAddress", "nowhere", "vms[0].peerAddress" },
    { "/vms/0/httpAddress", nullptr, "vms[0].httpAddress" },
    { "/endpoints/0/slots", 0, "endpoints[0].slots" },
    { "/endpoints/0/slots", 1.5, "endpoints[0].slots" },
    { "/endpoints/0/connections", 4294967296, "endpoints[0].connections" },
  };
  for (const BadMember& row : cases) {
    nlohmann::json list = validList();
    list[nlohmann::json::json_pointer(row.pointer)] = row.value;
    const Result<VmList> parsed = parseVmList(list.dump());
    ASSERT_FALSE(parsed) << row.pointer;
    EXPECT_EQ(parsed.error().field(), row.field);
  }
  for (const char* body : { "", "[]", "{", "null" }) {
    EXPECT_FALSE(parseVmList(body)) << body;
  }
}

} // namespace

} // namespace cowslippin
