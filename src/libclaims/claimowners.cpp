#include "claimowners.h"

namespace cowslippin {

ClaimOwners::Index
ClaimOwners::acquire(const Incarnation& owner)
{
  const auto known = m_indexes.find(owner);
  if (known != m_indexes.end()) {
    ++m_slots[known->second].claims;
    return known->second;
  }
  Index index = static_cast<Index>(m_slots.size());
  if (m_free.empty()) {
    m_slots.emplace_back();
  } else {
    index = m_free.back();
    m_free.pop_back();
  }
  m_slots[index] = { owner, 1 };
  m_indexes.emplace(owner, index);
  return index;
}

void
ClaimOwners::release(Index index)
{
  Slot& slot = m_slots[index];
  --slot.claims;
  if (slot.claims > 0) {
    return;
  }
  m_indexes.erase(slot.owner);
  slot.owner = Incarnation();
  m_free.push_back(index);
}

} // namespace cowslippin
