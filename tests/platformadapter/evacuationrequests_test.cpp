#include "platform/evacuationrequests.h"

#include <gtest/gtest.h>

namespace cowslippin::platform {
namespace {

using Zones = std::set<ZoneName>;

TEST(EvacuationRequests, AreKeptUntilTheRecordIsRemoved)
{
  EvacuationRequests requests;
  requests.apply("evacuate/z1", "{}");
  requests.apply("evacuate/z2", "{}");
  requests.apply("evacuate/z1", R"({"note":"again"})");
  EXPECT_EQ(requests.zones(), (Zones{ ZoneName("z1"), ZoneName("z2") }));
  requests.apply("evacuate/z1", std::nullopt);
  EXPECT_EQ(requests.zones(), (Zones{ ZoneName("z2") }));
}

TEST(EvacuationRequests, AFullReadReplacesAllRequests)
{
  EvacuationRequests requests;
  requests.apply("evacuate/z1", "{}");
  requests.replaceAll({ { "config", "{}" }, { "evacuate/z2", "{}" } });
  EXPECT_EQ(requests.zones(), (Zones{ ZoneName("z2") }));
  requests.replaceAll({ { "config", "{}" } });
  EXPECT_TRUE(requests.zones().empty());
}

TEST(EvacuationRequests, RecordsWithOtherKeysOrWithoutAZoneAreIgnored)
{
  EvacuationRequests requests;
  for (const char* key : { "config", "wave/1", "evacuate", "evacuate/" })
    requests.apply(key, "{}");
  EXPECT_TRUE(requests.zones().empty());
}

} // namespace
} // namespace cowslippin::platform
