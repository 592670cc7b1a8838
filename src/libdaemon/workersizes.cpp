#include "workersizes.h"

#include <algorithm>
#include <limits>

namespace cowslippin {

namespace {

constexpr int unlimited = std::numeric_limits<int>::max();

int
orUnlimited(int amount)
{
  return amount == 0 ? unlimited : amount;
}

} // namespace

WorkerSizes::WorkerSizes(const VmList& list)
{
  for (const VirtualMachine& vm : list.vms()) {
    if (vm.role() == VmRole::Worker) {
      add(m_largest[vm.zone()],
          { orUnlimited(vm.cores()), orUnlimited(vm.memoryMb()) });
    }
  }
}

std::optional<Problem>
WorkerSizes::check(const Template& jobTemplate,
                   const OrganisationParameters& organisation) const
{
  const Size wanted = { jobTemplate.cores(), jobTemplate.memoryMb() };
  const bool fitsAny =
    std::any_of(m_largest.begin(), m_largest.end(), [&](const auto& zone) {
      return organisation.allowsZone(zone.first) && fits(zone.second, wanted);
    });
  if (m_largest.empty() || fitsAny) {
    return std::nullopt;
  }
  const std::string size = std::to_string(wanted.cores) + " cores and " +
                           std::to_string(wanted.memoryMb) + " MB";
  return Problem(ProblemKind::CanNeverRun,
                 RunState::NotRun,
                 "The template declares " + size +
                   ", more than any worker has in the allowed zones")
    .withField("template",
               jobTemplate.name().value(),
               "a template whose declared size fits a worker");
}

void
WorkerSizes::add(Sizes& sizes, const Size& size)
{
  if (fits(sizes, size)) {
    return;
  }
  sizes.erase(
    std::remove_if(sizes.begin(),
                   sizes.end(),
                   [&](const Size& other) { return size.covers(other); }),
    sizes.end());
  sizes.push_back(size);
}

bool
WorkerSizes::fits(const Sizes& sizes, const Size& wanted)
{
  return std::any_of(sizes.begin(), sizes.end(), [&](const Size& size) {
    return size.covers(wanted);
  });
}

} // namespace cowslippin
