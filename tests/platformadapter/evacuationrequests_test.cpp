#include "platform/evacuationrequests.h"

#include <gtest/gtest.h>

namespace cowslippin::platform {
namespace {

using Zones = std::set<ZoneName>;

TEST(EvacuationEntries, HoldUntilTheRecordIsRemoved)
{
  EvacuationEntries entries;
  entries.read("evacuate/z1", "{}");
  entries.read("evacuate/z2", "{}");
  entries.read("evacuate/z1", R"({"note":"again"})");
  EXPECT_EQ(entries.zones(), (Zones{ ZoneName("z1"), ZoneName("z2") }));
  entries.read("evacuate/z1", std::nullopt);
  EXPECT_EQ(entries.zones(), (Zones{ ZoneName("z2") }));
}

TEST(EvacuationEntries, OfAWholeReadReplaceWhatWasKnown)
{
  EvacuationEntries entries;
  entries.read("evacuate/z1", "{}");
  entries.readAll({ { "config", "{}" }, { "evacuate/z2", "{}" } });
  EXPECT_EQ(entries.zones(), (Zones{ ZoneName("z2") }));
  entries.readAll({ { "config", "{}" } });
  EXPECT_TRUE(entries.zones().empty());
}

TEST(EvacuationEntries, OtherKeysAndThoseWithoutAZoneAreIgnored)
{
  EvacuationEntries entries;
  for (const char* key : { "config", "wave/1", "evacuate", "evacuate/" })
    entries.read(key, "{}");
  EXPECT_TRUE(entries.zones().empty());
}

} // namespace
} // namespace cowslippin::platform
