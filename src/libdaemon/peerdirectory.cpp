#include "peerdirectory.h"

#include "incarnations.h"

namespace cowslippin {

namespace {

/// The list lags, so a VM that was never on it may just have come.
constexpr Duration longestListLag = std::chrono::seconds(30);

} // namespace

void
PeerDirectory::listed(const VmList& list)
{
  const std::lock_guard lock(m_mutex);
  m_listed.clear();
  for (const VirtualMachine& vm : list.vms()) {
    m_listed.insert(vm.id());
    m_everListed.insert(vm.id());
    m_missingSince.erase(vm.id());
  }
}

void
PeerDirectory::heard(const VmId& vm, const Incarnation& incarnation)
{
  const std::lock_guard lock(m_mutex);
  m_incarnations[vm] = incarnation;
}

Incarnation
PeerDirectory::incarnationOn(const VmId& vm) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_incarnations.find(vm);
  return found == m_incarnations.end() ? Incarnation() : found->second;
}

bool
PeerDirectory::isGone(const Incarnation& incarnation, TimePoint now)
{
  const std::lock_guard lock(m_mutex);
  const VmId vm = vmOf(incarnation);
  const auto running = m_incarnations.find(vm);
  if (running != m_incarnations.end() && running->second != incarnation) {
    return true;
  }
  if (m_listed.count(vm) != 0) {
    return false;
  }
  if (m_everListed.count(vm) != 0) {
    return true;
  }
  const TimePoint since = m_missingSince.emplace(vm, now).first->second;
  return now - since >= longestListLag;
}

} // namespace cowslippin
