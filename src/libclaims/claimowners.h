#pragma once

#include "libcore/core.h"

#include <unordered_map>
#include <vector>

namespace cowslippin {

/// Numbers the incarnations that own claims, so that a claim stores four bytes
/// for its owner. An incarnation is forgotten with its last claim.
class ClaimOwners
{
public:
  using Index = std::uint32_t;

  /// The owner's number, for one more claim.
  Index acquire(const Incarnation& owner);

  /// One claim of this owner less.
  void release(Index index);

  const Incarnation& at(Index index) const { return m_slots[index].owner; }

private:
  struct Slot
  {
    Incarnation owner;
    std::size_t claims = 0;
  };

  std::vector<Slot> m_slots;
  std::vector<Index> m_free;
  std::unordered_map<Incarnation, Index> m_indexes;
};

} // namespace cowslippin
