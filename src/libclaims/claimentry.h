#pragma once

#include "claimkey.h"

#include <optional>

namespace cowslippin {

/// One key claimed by a batch. `supersedes` is the offset of the declined claim
/// that it takes the place of; unset for a key that the claimer did not know.
struct ClaimEntry
{
  ClaimKey key;
  std::optional<Offset> supersedes;

  friend bool operator==(const ClaimEntry& a, const ClaimEntry& b)
  {
    return a.key == b.key && a.supersedes == b.supersedes;
  }
  friend bool operator!=(const ClaimEntry& a, const ClaimEntry& b)
  {
    return !(a == b);
  }
};

} // namespace cowslippin
