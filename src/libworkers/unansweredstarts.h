#pragma once

#include "resources.h"
#include "runkey.h"

#include "libcore/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippin {

/// A start that the worker may still carry out before `expiresAt`.
struct UnansweredStart
{
  RunKey key;
  TimePoint expiresAt{};

  friend bool operator==(const UnansweredStart& a, const UnansweredStart& b)
  {
    return a.key == b.key && a.expiresAt == b.expiresAt;
  }
  friend bool operator!=(const UnansweredStart& a, const UnansweredStart& b)
  {
    return !(a == b);
  }
};

/// The start orders that were sent to a worker and have not been answered. If a
/// start was sent more than once, several copies of it are in transit. Each
/// copy may still be carried out until it expires, even by a later incarnation
/// of the worker, which has no record of earlier fencing tokens and stops. The
/// class reads no clock.
class UnansweredStarts
{
public:
  /// Adds a start, or another copy of it, that can no longer be carried out at
  /// `expiresAt`.
  void add(const RunKey& key, const Resources& resources, TimePoint expiresAt);
  /// Removes a copy of a start that was answered or could not be sent.
  void remove(const RunKey& key);
  /// Records that a report lists the run: one copy was carried out, possibly
  /// one that was answered.
  void runReported(const RunKey& key);
  /// Removes the starts that can no longer be carried out.
  void expire(TimePoint now);

  bool isEmpty() const { return m_starts.empty(); }
  bool contains(const RunKey& key) const { return m_starts.count(key) > 0; }
  /// When the start can no longer be carried out; nothing if no start of this
  /// key is unanswered.
  std::optional<TimePoint> expiry(const RunKey& key) const;
  std::vector<UnansweredStart> all() const;
  /// Adds the tasks whose names begin with a prefix to a set.
  void addTasks(const std::string& prefix, std::set<std::string>& tasks) const;
  /// Total resources of all the starts.
  Resources total() const;

private:
  struct Start
  {
    Resources resources;
    TimePoint expiresAt{};
    unsigned copiesSent = 0;
    unsigned copiesAnswered = 0;
    bool isRunReported = false;
  };
  using Starts = std::map<RunKey, Start>;

  void removeIfAccountedFor(Starts::iterator start);

  Starts m_starts;
};

} // namespace cowslippin
