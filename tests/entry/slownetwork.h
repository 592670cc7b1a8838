#pragma once

#include "libentry/entrycore.h"
#include "libpeers/silencewatch.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace cowslippin::testing {

/// Daemons of one zone whose machines have links of a limited rate, on a
/// virtual clock. Every connection has a queue at its sender, and the links
/// serve all of them in turn. A connection over which no whole message came for
/// the silence limit is given up with what is queued, and made anew.
class SlowNetwork
{
public:
  struct Settings
  {
    std::size_t daemons = 2;
    /// Each way, of each machine.
    double bytesPerSecond = 25e6 / 8;
  };

  explicit SlowNetwork(Settings settings);
  ~SlowNetwork();

  /// A configuration of `bytes` bytes, as the platform would have it.
  static std::string configuration(std::uint64_t version, std::size_t bytes);

  /// The platform's answer reaches a daemon.
  void platformTells(std::size_t daemon, const std::string& configuration);
  /// Whether the platform's answer is on its way to a daemon.
  void setPlatformTelling(std::size_t daemon, bool isTelling);
  /// No daemon reaches this one any more.
  void cutOff(std::size_t daemon);

  void runFor(Duration duration);

  std::uint64_t versionAt(std::size_t daemon) const;
  /// The oldest version in force at any daemon that isn't cut off.
  std::uint64_t oldestVersion() const;
  /// What has come to a daemon over its link.
  std::size_t receivedBytes(std::size_t daemon) const;
  /// Connections that were given up.
  unsigned lostConnections() const { return m_lostConnections; }

private:
  /// One way of the connection between two daemons.
  struct Queue
  {
    std::deque<std::pair<std::size_t, PeerMessage>> messages;
    /// Of the receiver, on the sender.
    SilenceWatch silence;
  };
  struct Node
  {
    VmId id;
    std::unique_ptr<EntryCore> core;
    bool isTold = false;
    bool isCutOff = false;
    double canSend = 0;
    double canReceive = 0;
    std::size_t receivedBytes = 0;
    /// Messages in all its queues.
    std::size_t queued = 0;
    /// Whom it sent a packet to last.
    std::size_t lastServed = 0;
    std::vector<std::function<void()>> posted;
  };
  using Way = std::pair<std::size_t, std::size_t>;

  EntryCore::Ports ports(std::size_t node);
  EntryCore::Links links(std::size_t node);
  EntryCore::Clocks clocks(std::size_t node);
  std::size_t indexOf(const VmId& vm) const;
  bool isUp(std::size_t a, std::size_t b) const;
  bool send(std::size_t from, std::size_t to, const PeerMessage& message);
  void connect(std::size_t a, std::size_t b);
  void connectAll();
  void disconnect(std::size_t a, std::size_t b);
  void step();
  void moveBytes();
  bool sendSome(std::size_t sender);
  bool moveSome(const Way& way, Queue& queue);
  void deliver(const Way& way, const PeerMessage& message);
  void giveUpSilent();

  const Settings m_settings;
  TimePoint m_now{ std::chrono::seconds(1000) };
  std::vector<Node> m_nodes;
  std::map<Way, Queue> m_queues;
  std::map<Way, TimePoint> m_connectAt;
  std::size_t m_firstServed = 0;
  unsigned m_lostConnections = 0;
};

} // namespace cowslippin::testing
