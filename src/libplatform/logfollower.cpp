#include "logfollower.h"

#include "libobserve/observe.h"

#include <algorithm>
#include <utility>

namespace cowslippin {

namespace {

/// The first failure may be the fault of the kept connection alone; the next
/// read opens a new one, and only when that fails too is the platform blamed.
constexpr unsigned failuresUntilUnavailable = 2;

} // namespace

LogFollower::LogFollower(Settings settings, Hooks hooks)
  : m_settings(std::move(settings))
  , m_hooks(std::move(hooks))
  , m_client(m_settings.platform, m_settings.identity)
  , m_next(m_settings.from)
  , m_pause(m_settings.minPause)
{
}

LogFollower::~LogFollower()
{
  stop();
}

void
LogFollower::start()
{
  m_thread = std::thread([this] { run(); });
}

void
LogFollower::stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_stopRequested.notify_all();
  m_client.cancel();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
LogFollower::run()
{
  while (!isStopping()) {
    // Until the end is known the platform must not hold an empty page back.
    const Duration wait = m_knowsEnd ? m_settings.pollWait : Duration::zero();
    const Result<LogPage> page = m_client.read(m_settings.stream,
                                               m_next,
                                               m_settings.pageLimit,
                                               wait,
                                               m_settings.timeout);
    if (isStopping()) {
      return;
    }
    if (page) {
      readSucceeded();
      handle(*page);
    } else {
      readFailed(page.error());
    }
  }
}

void
LogFollower::handle(const LogPage& page)
{
  if (page.first() > m_next) {
    skipGap(page.first());
  }
  if (!page.records().empty()) {
    m_next = page.records().back().offset() + 1;
    // Records that weren't processed count as missed.
    if (m_hooks.records &&
        !runGuarded("log records", [&] { m_hooks.records(page); })) {
      skipGap(m_next);
    }
  }
  m_knowsEnd = m_next == page.end();
  if (m_knowsEnd && m_hooks.caughtUp) {
    m_hooks.caughtUp(page.end());
  }
}

void
LogFollower::skipGap(Offset first)
{
  m_next = first;
  if (m_hooks.gap) {
    m_hooks.gap(first);
  }
}

void
LogFollower::readFailed(const Problem& problem)
{
  ++m_failures;
  m_knowsEnd = false;
  if (m_failures < failuresUntilUnavailable) {
    return;
  }
  if (m_failures == failuresUntilUnavailable && m_hooks.unavailable) {
    m_hooks.unavailable(problem);
  }
  pauseFor(m_pause);
  m_pause = std::min(2 * m_pause, m_settings.maxPause);
}

void
LogFollower::readSucceeded()
{
  const bool wasUnavailable = m_failures >= failuresUntilUnavailable;
  m_failures = 0;
  m_pause = m_settings.minPause;
  if (wasUnavailable && m_hooks.recovered) {
    m_hooks.recovered();
  }
}

void
LogFollower::pauseFor(Duration duration)
{
  std::unique_lock lock(m_mutex);
  m_stopRequested.wait_for(lock, duration, [this] { return m_stopping; });
}

bool
LogFollower::isStopping() const
{
  const std::lock_guard lock(m_mutex);
  return m_stopping;
}

} // namespace cowslippin
