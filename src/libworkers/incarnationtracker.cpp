#include "incarnationtracker.h"

namespace cowslippin {

IncarnationTracker::IncarnationTracker(WorkerBootTime bootTime, TimePoint now)
  : m_current(bootTime)
  , m_knownSince(now)
{
}

WorkerIncarnation
IncarnationTracker::observeListEntry(const WorkerBootTime& bootTime,
                                     TimePoint now)
{
  if (matchesCurrent(bootTime, now))
    return WorkerIncarnation::Current;
  if (m_ended.count(bootTime) > 0 || bootTime < m_current)
    return WorkerIncarnation::Earlier;
  begin(bootTime, now);
  return WorkerIncarnation::Next;
}

WorkerIncarnation
IncarnationTracker::observeAnswer(const WorkerBootTime& bootTime,
                                  TimePoint sent,
                                  TimePoint now)
{
  if (matchesCurrent(bootTime, now))
    return WorkerIncarnation::Current;
  const bool mayBeEarlier = bootTime < m_current && sent < m_knownSince;
  if (m_ended.count(bootTime) > 0 || mayBeEarlier)
    return WorkerIncarnation::Earlier;
  begin(bootTime, now);
  return WorkerIncarnation::Next;
}

/// Whether the boot time names no incarnation other than the current one. The
/// first boot time that a worker reports is that of the current incarnation.
bool
IncarnationTracker::matchesCurrent(const WorkerBootTime& bootTime,
                                   TimePoint now)
{
  if (bootTime.isKnown() && !m_current.isKnown())
    begin(bootTime, now);
  return !bootTime.isKnown() || bootTime == m_current;
}

void
IncarnationTracker::begin(const WorkerBootTime& bootTime, TimePoint now)
{
  if (m_current.isKnown())
    m_ended.insert(m_current);
  m_current = bootTime;
  m_knownSince = now;
}

} // namespace cowslippin
