#pragma once

#include "libconfig/config.h"
#include "libcore/core.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cowslippin {

/// The sizes of the workers that a VM list names, and whether a task fits any
/// of them. A worker whose size is not told fits everything, and so does an
/// empty list. Immutable.
class WorkerSizes
{
public:
  WorkerSizes() = default;
  explicit WorkerSizes(const VmList& list);

  /// A `can-never-run` problem if what the template declares is over every
  /// worker of the zones that the organisation may use.
  std::optional<Problem> check(
    const Template& jobTemplate,
    const OrganisationParameters& organisation) const;

  friend bool operator==(const WorkerSizes& a, const WorkerSizes& b)
  {
    return a.m_largest == b.m_largest;
  }
  friend bool operator!=(const WorkerSizes& a, const WorkerSizes& b)
  {
    return !(a == b);
  }

private:
  struct Size
  {
    int cores = 0;
    int memoryMb = 0;

    /// Whether whatever fits `other` fits this as well.
    bool covers(const Size& other) const
    {
      return cores >= other.cores && memoryMb >= other.memoryMb;
    }

    friend bool operator==(const Size& a, const Size& b)
    {
      return a.cores == b.cores && a.memoryMb == b.memoryMb;
    }
  };

  /// Sizes of which none covers another.
  using Sizes = std::vector<Size>;

  static void add(Sizes& sizes, const Size& size);
  static bool fits(const Sizes& sizes, const Size& wanted);

  std::unordered_map<ZoneName, Sizes> m_largest;
};

} // namespace cowslippin
