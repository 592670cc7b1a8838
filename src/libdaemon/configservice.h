#pragma once

#include "libconfig/config.h"
#include "libobserve/observe.h"
#include "libplatform/platform.h"
#include "published.h"
#include "streamlocation.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace cowslippin {

/// Keeps the configuration in force: follows the config stream, takes newer
/// configurations from peers, publishes operators' changes, and appends
/// snapshots before retention drops what the configuration was made from.
/// Thread-safe; `current` never waits.
class ConfigService
{
public:
  struct Settings
  {
    StreamLocation log;
    Duration appendTimeout = std::chrono::seconds(2);
    /// How long an operator's change may take to be read back.
    Duration publishTimeout = std::chrono::seconds(5);
    /// How often a snapshot is appended. Must be well below the platform's
    /// retention.
    Duration snapshotInterval = std::chrono::minutes(10);
  };

  /// Told of every new configuration, one at a time.
  using Changed = std::function<void(const Configuration&)>;

  ConfigService(Settings settings, Changed changed);
  ~ConfigService();
  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  void start();
  void stop();

  /// The configuration in force.
  std::shared_ptr<const Configuration> current() const
  {
    return m_current.get();
  }

  /// Whether any configuration has been read or taken over.
  bool isLoaded() const { return m_loaded.load(); }

  /// Appends a change and waits until it is read back. The revision it made,
  /// or why it is not in force.
  Result<Offset> publish(const ConfigRecord& record);

  /// Takes over a peer's configuration if it is the newer one.
  void takeOver(const std::string& encoded);

  /// Whether this daemon is the one that appends snapshots.
  void setSnapshotDuty(bool hasDuty) { m_snapshotDuty = hasDuty; }

private:
  struct Applied
  {
    ApplyOutcome outcome;
    Offset revision = 0;
  };

  LogFollower::Hooks makeHooks();
  void recordsRead(const LogPage& page);
  void apply(const LogRecord& record);
  void putInForce(Configuration next);
  void runSnapshots();
  void appendSnapshot();
  Result<Offset> awaitOutcome(const ConfigRecord& record);

  const Settings m_settings;
  const Changed m_changed;
  Published<Configuration> m_current;
  std::atomic<bool> m_loaded{ false };
  std::atomic<bool> m_snapshotDuty{ false };
  std::mutex m_appendMutex;
  LogClient m_client;
  mutable std::mutex m_mutex;
  std::condition_variable m_appliedOrStopping;
  /// What became of the records that operators of this daemon wait for.
  std::map<RecordId, std::optional<Applied>> m_awaited;
  bool m_stopping = false;
  LogFollower m_follower;
  std::thread m_snapshots;
};

} // namespace cowslippin
