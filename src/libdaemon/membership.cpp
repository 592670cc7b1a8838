#include "membership.h"

#include "libobserve/observe.h"

#include <utility>

namespace cowslippin {

Membership::Membership(Settings settings, Changed changed)
  : m_settings(std::move(settings))
  , m_changed(std::move(changed))
  , m_current(std::make_shared<const VmList>())
  , m_client(m_settings.platform, m_settings.identity)
{
}

Membership::~Membership()
{
  stop();
}

void
Membership::start()
{
  m_thread = std::thread([this] { run(); });
}

void
Membership::stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_stopRequested.notify_all();
  }
  m_client.cancel();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
Membership::run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    lock.unlock();
    runGuarded("VM list", [this] { fetch(); });
    lock.lock();
    m_stopRequested.wait_for(
      lock, m_settings.interval, [this] { return m_stopping; });
  }
}

void
Membership::fetch()
{
  const auto known = m_current.get();
  const Result<std::optional<VmList>> list =
    m_loaded ? m_client.fetchUnless(known->version(), m_settings.fetchTimeout)
             : m_client.fetch(m_settings.fetchTimeout);
  if (!list) {
    if (m_isReachable) {
      logEvent(LogLevel::Warning,
               "vm-list-unavailable",
               { { "detail", list.error().detail() } });
    }
    m_isReachable = false;
    return;
  }
  m_isReachable = true;
  if (!*list) {
    return;
  }
  const VmList& read = **list;
  const bool isOlder = read.version() < known->version();
  if (isOlder || (m_loaded && read == *known)) {
    return;
  }
  const auto next = std::make_shared<const VmList>(read);
  // Whoever sees the list shown may rely on its being acted on.
  m_changed(*next);
  m_current.set(next);
  m_loaded = true;
}

} // namespace cowslippin
