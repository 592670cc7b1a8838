#include "libdaemon/workersizes.h"

#include <gtest/gtest.h>

namespace cowslippin {
namespace {

VirtualMachine
worker(const std::string& zone, int cores, int memoryMb)
{
  VirtualMachine::Fields fields;
  fields.id = VmId("w");
  fields.role = VmRole::Worker;
  fields.zone = ZoneName(zone);
  fields.cores = cores;
  fields.memoryMb = memoryMb;
  return VirtualMachine(fields);
}

struct SizeCase
{
  std::string name;
  std::vector<VirtualMachine> workers;
  std::vector<ZoneName> allowedZones;
  bool fits;
};

TEST(WorkerSizes, refuseWhatIsOverEveryAllowedWorker)
{
  const std::vector<SizeCase> cases = {
    { "no workers listed", {}, {}, true },
    { "fits", { worker("a", 4, 4096) }, {}, true },
    { "too few cores", { worker("a", 3, 9000) }, {}, false },
    { "too little memory", { worker("a", 9, 4095) }, {}, false },
    { "no single worker has both",
      { worker("a", 9, 1000), worker("a", 1, 9000) },
      {},
      false },
    { "a larger one comes later",
      { worker("a", 1, 1), worker("a", 8, 8192) },
      {},
      true },
    { "size not told", { worker("a", 0, 0) }, {}, true },
    { "only in a zone that is not allowed",
      { worker("a", 8, 8192), worker("b", 1, 1) },
      { ZoneName("b") },
      false },
  };
  Template::Fields wanted;
  wanted.name = TemplateName("t");
  wanted.cores = 4;
  wanted.memoryMb = 4096;
  for (const SizeCase& size : cases) {
    SCOPED_TRACE(size.name);
    OrganisationParameters::Fields organisation;
    organisation.allowedZones = size.allowedZones;
    const WorkerSizes sizes(VmList(1, size.workers, {}));
    const auto problem =
      sizes.check(Template(wanted), OrganisationParameters(organisation));
    EXPECT_EQ(!problem, size.fits);
    if (problem) {
      EXPECT_EQ(problem->kind(), ProblemKind::CanNeverRun);
      EXPECT_EQ(problem->ran(), RunState::NotRun);
    }
  }
}

} // namespace
} // namespace cowslippin
