#include "slotqueue.h"

namespace cowslippin::standins {

SlotQueue::SlotQueue(std::uint64_t slots, std::uint64_t places)
  : m_slots(slots)
  , m_places(places)
{
}

bool
SlotQueue::enter()
{
  std::unique_lock lock(m_mutex);
  if (m_entered - m_finished >= m_places) {
    return false;
  }
  const std::uint64_t turn = m_entered++;
  m_left.wait(lock, [&] { return turn < m_finished + m_slots; });
  return true;
}

void
SlotQueue::leave()
{
  const std::lock_guard lock(m_mutex);
  ++m_finished;
  m_left.notify_all();
}

std::uint64_t
SlotQueue::freeWithoutMine() const
{
  const std::lock_guard lock(m_mutex);
  const std::uint64_t others = m_entered - m_finished - 1;
  return others >= m_slots ? 0 : m_slots - others;
}

} // namespace cowslippin::standins
