#pragma once

#include "libobserve/observe.h"
#include "libplatform/platform.h"
#include "published.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cowslippin {

/// Follows the platform's list of VMs and endpoints by polling. A list with a
/// lower version than one already seen is left aside. `current` never waits.
class Membership
{
public:
  struct Settings
  {
    Address platform;
    ClientIdentity identity;
    Duration interval = std::chrono::milliseconds(500);
    Duration fetchTimeout = std::chrono::seconds(1);
  };

  /// Told of every list that differs from the one before.
  using Changed = std::function<void(const VmList&)>;

  Membership(Settings settings, Changed changed);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void start();
  void stop();

  std::shared_ptr<const VmList> current() const { return m_current.get(); }

  /// Whether a list has been read at all.
  bool isLoaded() const { return m_loaded.load(); }

private:
  void run();
  void fetch();

  const Settings m_settings;
  const Changed m_changed;
  Published<VmList> m_current;
  std::atomic<bool> m_loaded{ false };
  VmListClient m_client;
  bool m_isReachable = true;
  std::mutex m_mutex;
  std::condition_variable m_stopRequested;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace cowslippin
