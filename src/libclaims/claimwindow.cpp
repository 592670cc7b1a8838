#include "claimwindow.h"

#include <algorithm>

namespace cowslippin {

const WindowEntry*
ClaimWindow::find(const ClaimKey& key) const
{
  const auto& byKey = m_entries.get<1>();
  const auto found = byKey.find(key);
  return found == byKey.end() ? nullptr : &*found;
}

const WindowEntry*
ClaimWindow::oldest() const
{
  return m_entries.empty() ? nullptr : &m_entries.front();
}

const Incarnation&
ClaimWindow::owner(const WindowEntry& entry) const
{
  return m_owners.at(entry.owner);
}

void
ClaimWindow::put(const ClaimKey& key,
                 const Incarnation& owner,
                 Offset claim,
                 ClaimStanding standing,
                 bool isUncertain,
                 TimePoint readAt)
{
  const WindowEntry entry{ key,      claim,
                           readAt,   m_owners.acquire(owner),
                           standing, isUncertain };
  auto& byKey = m_entries.get<1>();
  const auto found = byKey.find(key);
  if (found == byKey.end()) {
    m_entries.push_back(entry);
    return;
  }
  m_owners.release(found->owner);
  byKey.replace(found, entry);
  moveToBack(key);
}

void
ClaimWindow::renewUncertain(const ClaimKey& key, TimePoint readAt)
{
  modify(key, [readAt](WindowEntry& entry) {
    entry.readAt = readAt;
    entry.isUncertain = true;
  });
  moveToBack(key);
}

void
ClaimWindow::setStanding(const ClaimKey& key, ClaimStanding standing)
{
  modify(key, [standing](WindowEntry& entry) { entry.standing = standing; });
}

void
ClaimWindow::removeOldest()
{
  const WindowEntry& oldest = m_entries.front();
  skipUpTo(oldest.claim);
  m_owners.release(oldest.owner);
  m_entries.pop_front();
}

void
ClaimWindow::skipUpTo(Offset offset)
{
  m_forgottenUpTo = std::max(m_forgottenUpTo, offset);
}

template<class Change>
void
ClaimWindow::modify(const ClaimKey& key, Change change)
{
  auto& byKey = m_entries.get<1>();
  byKey.modify(byKey.find(key), change);
}

void
ClaimWindow::moveToBack(const ClaimKey& key)
{
  const auto found = m_entries.get<1>().find(key);
  m_entries.relocate(m_entries.end(), m_entries.project<0>(found));
}

} // namespace cowslippin
