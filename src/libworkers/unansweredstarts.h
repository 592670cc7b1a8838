#pragma once

#include "resources.h"
#include "runkey.h"

#include "libcore/clock.h"

#include <map>

namespace cowslippin {

/// Start orders that were sent to a worker and have not been answered. Each may
/// still be carried out until it expires, even by a later life of the worker,
/// which has no record of earlier fencing tokens and stops. It reads no clock.
class UnansweredStarts
{
public:
  /// Adds a start that can no longer be carried out at `expiresAt`.
  void add(const RunKey& key, const Resources& resources, TimePoint expiresAt);
  /// Removes a start that has been answered or could not be sent.
  void remove(const RunKey& key);
  /// Removes the starts that can no longer be carried out.
  void expire(TimePoint now);

  bool isEmpty() const { return m_starts.empty(); }
  bool contains(const RunKey& key) const { return m_starts.count(key) > 0; }
  /// The resources of all the starts together.
  Resources total() const;

private:
  struct Start
  {
    Resources resources;
    TimePoint expiresAt{};
  };

  std::map<RunKey, Start> m_starts;
};

} // namespace cowslippin
