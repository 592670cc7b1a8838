#pragma once

#include "libentry/entrycore.h"
#include "libpeers/silencedetector.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace cowslippin::testing {

/// Simulates daemons of one zone whose machines have links of a limited rate,
/// on a virtual clock. Every connection has a queue at its sender, and the
/// links serve all queues in turn. A connection over which no complete message
/// arrives within the silence limit is closed, its queued messages are dropped,
/// and it is opened again.
class SlowNetwork
{
public:
  struct Settings
  {
    std::size_t daemons = 2;
    /// Of each machine's link in each direction.
    double bytesPerSecond = 25e6 / 8;
  };

  explicit SlowNetwork(Settings settings);
  ~SlowNetwork();

  /// A configuration of `bytes` bytes in the platform's form.
  static std::string configuration(std::uint64_t version, std::size_t bytes);

  /// A daemon receives the platform's answer with a configuration.
  void deliverFromPlatform(std::size_t daemon,
                           const std::string& configuration);
  /// Sets whether the platform's answer is on its way to a daemon.
  void setPlatformAnswerArriving(std::size_t daemon, bool isArriving);
  /// Cuts a daemon off from all other daemons until the end of the test.
  void isolate(std::size_t daemon);

  void runFor(Duration duration);

  std::uint64_t versionAt(std::size_t daemon) const;
  /// The oldest version in force at any daemon that isn't cut off.
  std::uint64_t oldestVersion() const;
  /// Bytes that a daemon has received over its link.
  std::size_t receivedBytes(std::size_t daemon) const;
  /// Connections that were closed for silence.
  unsigned lostConnections() const { return m_lostConnections; }

private:
  /// One direction of the connection between two daemons.
  struct Queue
  {
    std::deque<std::pair<std::size_t, PeerMessage>> messages;
    /// The receiver's watch for silence of the sender.
    SilenceDetector silence;
  };
  struct Node
  {
    VmId id;
    std::unique_ptr<EntryCore> core;
    bool isAnswerArriving = false;
    bool isIsolated = false;
    double sendBudgetBytes = 0;
    double receiveBudgetBytes = 0;
    std::size_t receivedBytes = 0;
    /// Messages in all send queues of the daemon.
    std::size_t queuedMessages = 0;
    /// The daemon to which it sent the last packet.
    std::size_t lastServed = 0;
    std::vector<std::function<void()>> posted;
  };
  using Direction = std::pair<std::size_t, std::size_t>;

  EntryCore::Ports ports(std::size_t node);
  EntryCore::Links links(std::size_t node);
  EntryCore::Clocks clocks(std::size_t node);
  std::size_t indexOf(const VmId& vm) const;
  bool isUp(std::size_t a, std::size_t b) const;
  bool send(std::size_t from, std::size_t to, const PeerMessage& message);
  void connect(std::size_t a, std::size_t b);
  void openDueConnections();
  void disconnect(std::size_t a, std::size_t b);
  void step();
  void transferBytes();
  bool sendPacket(std::size_t sender);
  bool movePacket(const Direction& direction, Queue& queue);
  void deliver(const Direction& direction, const PeerMessage& message);
  void closeSilentConnections();

  const Settings m_settings;
  TimePoint m_now{ std::chrono::seconds(1000) };
  std::vector<Node> m_nodes;
  std::map<Direction, Queue> m_queues;
  std::map<Direction, TimePoint> m_connectAt;
  std::size_t m_firstServed = 0;
  unsigned m_lostConnections = 0;
};

} // namespace cowslippin::testing
