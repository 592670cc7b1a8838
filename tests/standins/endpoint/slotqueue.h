#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace cowslippin::standins {

/// A number of slots that tasks take in the order in which they asked. Safe
/// for use by several threads.
class SlotQueue
{
public:
  /// `places` bounds how many hold a slot or wait for one.
  SlotQueue(std::uint64_t slots, std::uint64_t places);

  /// Waits for a slot. Returns false at once if every place is taken.
  bool enter();

  /// Gives the slot back.
  void leave();

  /// How many slots nobody holds or waits for once the calling task, which
  /// holds one, has given it back.
  std::uint64_t freeWithoutMine() const;

private:
  const std::uint64_t m_slots;
  const std::uint64_t m_places;
  mutable std::mutex m_mutex;
  std::condition_variable m_left;
  std::uint64_t m_entered = 0;
  std::uint64_t m_finished = 0;
};

} // namespace cowslippin::standins
