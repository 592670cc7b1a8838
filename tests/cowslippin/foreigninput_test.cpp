#include "libcli/cli.h"
#include "libcli/jsontext.h"

#include "support/mutatedbytes.h"

#include <gtest/gtest.h>

#include <sstream>

namespace cowslippin::testing {
namespace {

/// Guards against the end of the command line by a log line of another program,
/// or by an answer that isn't a daemon's.
TEST(ForeignInput, ChangedLogLinesAndAnswersAreReadOrLeftOut)
{
  MutatedBytes inputs(
    { R"({"time":"t","level":"info","event":"start","job":"j","task":"j.0.0.1",
      "tasks":"j.0.0.1 j.0.0.2","run":3})",
      R"({"daemons":[{"offset":3}],"vms":[{"id":"a","httpAddress":"10.0.0.1:1"}],
      "state":"running","job":"j","tasks":3,"finished":1})" },
    jsonFragments(),
    20261204);
  for (int i = 0; i < 5'000; ++i) {
    const std::string bytes = inputs.next();
    std::istringstream log(bytes);
    readTrace(log, "log", "j");
    const auto json = jsonOrNull(bytes);
    textMember(json, "state");
    listMember(json, "vms");
  }
  EXPECT_TRUE(jsonOrNull(std::string(1'000'000, '[')).is_null());
}

} // namespace
} // namespace cowslippin::testing
