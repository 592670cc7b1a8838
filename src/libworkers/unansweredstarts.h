#pragma once

#include "resources.h"
#include "runkey.h"

#include "libcore/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace cowslippin {

/// A start that the worker may still carry out before `until`.
struct UnansweredStart
{
  RunKey key;
  TimePoint until{};

  friend bool operator==(const UnansweredStart& a, const UnansweredStart& b)
  {
    return a.key == b.key && a.until == b.until;
  }
  friend bool operator!=(const UnansweredStart& a, const UnansweredStart& b)
  {
    return !(a == b);
  }
};

/// Start orders that were sent to a worker and have not been answered. A start
/// that was sent more than once has several copies on their way. Each may
/// still be carried out until it expires, even by a later life of the worker,
/// which has no record of earlier fencing tokens and stops. It reads no clock.
class UnansweredStarts
{
public:
  /// Adds a start, or another copy of one, that can no longer be carried out at
  /// `expiresAt`.
  void add(const RunKey& key, const Resources& resources, TimePoint expiresAt);
  /// Removes a copy of a start that has been answered or could not be sent.
  void remove(const RunKey& key);
  /// A report has shown the run: a copy was carried out, perhaps one that was
  /// answered.
  void noteRun(const RunKey& key);
  /// Removes the starts that can no longer be carried out.
  void expire(TimePoint now);

  bool isEmpty() const { return m_starts.empty(); }
  bool contains(const RunKey& key) const { return m_starts.count(key) > 0; }
  /// When a start can no longer be carried out; nothing if it isn't here.
  std::optional<TimePoint> expiry(const RunKey& key) const;
  std::vector<UnansweredStart> all() const;
  /// The resources of all the starts together.
  Resources total() const;

private:
  struct Start
  {
    Resources resources;
    TimePoint expiresAt{};
    unsigned sent = 0;
    unsigned answered = 0;
    bool isRunSeen = false;
  };
  using Starts = std::map<RunKey, Start>;

  void removeIfSettled(Starts::iterator start);

  Starts m_starts;
};

} // namespace cowslippin
