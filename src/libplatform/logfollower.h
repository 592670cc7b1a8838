#pragma once

#include "logclient.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cowslippin {

/// Follows one stream of the platform's log in a thread of its own, by long
/// polling. A read that fails is tried once more on a new connection before
/// the platform is reported unavailable; after that it is tried again after
/// growing pauses.
class LogFollower
{
public:
  struct Settings
  {
    Address platform;
    ClientIdentity identity;
    StreamName stream;
    /// The first offset to read.
    Offset from = 1;
    std::size_t pageLimit = 500;
    /// How long the platform may hold a read back for lack of records.
    Duration pollWait = std::chrono::seconds(2);
    /// How long an answer may take beyond that before the connection is
    /// given up.
    Duration timeout = std::chrono::seconds(1);
    /// The first pause after a failure; it doubles up to `maxPause`.
    Duration minPause = std::chrono::milliseconds(50);
    Duration maxPause = std::chrono::seconds(1);
  };

  /// Called from the follower's thread, one at a time. They may be empty.
  struct Hooks
  {
    /// A page with at least one record.
    std::function<void(const LogPage&)> records;
    /// Nothing before `end` is left unread. Called after every read for
    /// which this holds, so also when a poll ends without a record.
    std::function<void(Offset end)> caughtUp;
    /// Records before `first` were dropped unread by retention; reading goes
    /// on at `first`.
    std::function<void(Offset first)> gap;
    /// The platform cannot be read. Called once per outage.
    std::function<void(const Problem&)> unavailable;
    /// The first read after an outage succeeded; its page follows.
    std::function<void()> recovered;
  };

  LogFollower(Settings settings, Hooks hooks);
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  /// Starts the thread. To be called once.
  void start();

  /// Ends the thread, also while a poll is in flight; no hook is called after
  /// it returns. Must not be called from a hook.
  void stop();

private:
  void run();
  void handle(const LogPage& page);
  void skipGap(Offset first);
  void readFailed(const Problem& problem);
  void readSucceeded();
  void pauseFor(Duration duration);
  bool isStopping() const;

  Settings m_settings;
  Hooks m_hooks;
  LogClient m_client;
  Offset m_next;
  /// Whether the last read reached the stream's end.
  bool m_knowsEnd = false;
  unsigned m_failures = 0;
  Duration m_pause;
  mutable std::mutex m_mutex;
  std::condition_variable m_stopRequested;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace cowslippin
