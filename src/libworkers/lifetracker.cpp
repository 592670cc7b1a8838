#include "lifetracker.h"

namespace cowslippin {

IncarnationTracker::IncarnationTracker(WorkerBirth birth, TimePoint now)
  : m_current(birth)
  , m_knownSince(now)
{
}

WorkerIncarnation
IncarnationTracker::observeListEntry(const WorkerBirth& birth, TimePoint now)
{
  if (matchesCurrent(birth, now))
    return WorkerIncarnation::Current;
  if (m_ended.count(birth) > 0 || birth < m_current)
    return WorkerIncarnation::Earlier;
  begin(birth, now);
  return WorkerIncarnation::Next;
}

WorkerIncarnation
IncarnationTracker::observeAnswer(const WorkerBirth& birth,
                                  TimePoint sent,
                                  TimePoint now)
{
  if (matchesCurrent(birth, now))
    return WorkerIncarnation::Current;
  const bool mayBeEarlier = birth < m_current && sent < m_knownSince;
  if (m_ended.count(birth) > 0 || mayBeEarlier)
    return WorkerIncarnation::Earlier;
  begin(birth, now);
  return WorkerIncarnation::Next;
}

/// Whether the boot time names no incarnation other than the current one. The
/// first boot time that a worker reports is that of the current incarnation.
bool
IncarnationTracker::matchesCurrent(const WorkerBirth& birth, TimePoint now)
{
  if (birth.isKnown() && !m_current.isKnown())
    begin(birth, now);
  return !birth.isKnown() || birth == m_current;
}

void
IncarnationTracker::begin(const WorkerBirth& birth, TimePoint now)
{
  if (m_current.isKnown())
    m_ended.insert(m_current);
  m_current = birth;
  m_knownSince = now;
}

} // namespace cowslippin
