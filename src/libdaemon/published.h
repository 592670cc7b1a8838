#pragma once

#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace cowslippin {

/// Holds the newest version of an immutable value. Readers never wait: they
/// take a reference to the version in force under read-copy-update. Writers
/// wait for each other and for readers that may still see the old version.
template<class T>
class Published
{
public:
  explicit Published(std::shared_ptr<const T> initial)
    : m_current(new Version{ std::move(initial) })
  {
  }

  ~Published() { delete m_current.load(); }
  Published(const Published&) = delete;
  Published& operator=(const Published&) = delete;

  /// The version in force.
  std::shared_ptr<const T> get() const
  {
    urcu_bp_read_lock();
    std::shared_ptr<const T> value =
      m_current.load(std::memory_order_acquire)->value;
    urcu_bp_read_unlock();
    return value;
  }

  /// Puts `next` in force.
  void set(std::shared_ptr<const T> next)
  {
    const std::lock_guard lock(m_writers);
    auto* version = new Version{ std::move(next) };
    const Version* old = m_current.exchange(version, std::memory_order_acq_rel);
    urcu_bp_synchronize_rcu();
    delete old;
  }

private:
  struct Version
  {
    std::shared_ptr<const T> value;
  };

  std::atomic<Version*> m_current;
  std::mutex m_writers;
};

} // namespace cowslippin
