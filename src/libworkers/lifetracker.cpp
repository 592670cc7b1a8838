#include "lifetracker.h"

namespace cowslippin {

LifeTracker::LifeTracker(WorkerBirth birth, TimePoint now)
  : m_present(birth)
  , m_knownSince(now)
{
}

WorkerLife
LifeTracker::seenInList(const WorkerBirth& birth, TimePoint now)
{
  if (tellsNothingNew(birth, now))
    return WorkerLife::Present;
  if (m_over.count(birth) > 0 || birth < m_present)
    return WorkerLife::Earlier;
  begin(birth, now);
  return WorkerLife::Next;
}

WorkerLife
LifeTracker::seenInAnswer(const WorkerBirth& birth,
                          TimePoint sent,
                          TimePoint now)
{
  if (tellsNothingNew(birth, now))
    return WorkerLife::Present;
  const bool mayBeEarlier = birth < m_present && sent < m_knownSince;
  if (m_over.count(birth) > 0 || mayBeEarlier)
    return WorkerLife::Earlier;
  begin(birth, now);
  return WorkerLife::Next;
}

/// Whether no other life than the present one is named. The first birth that a
/// worker tells is that of the present life.
bool
LifeTracker::tellsNothingNew(const WorkerBirth& birth, TimePoint now)
{
  if (birth.isKnown() && !m_present.isKnown())
    begin(birth, now);
  return !birth.isKnown() || birth == m_present;
}

void
LifeTracker::begin(const WorkerBirth& birth, TimePoint now)
{
  if (m_present.isKnown())
    m_over.insert(m_present);
  m_present = birth;
  m_knownSince = now;
}

} // namespace cowslippin
