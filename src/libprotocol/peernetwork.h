#pragma once

#include "hello.h"
#include "message.h"
#include "peerstatus.h"

#include "libcore/result.h"
#include "libcore/virtualmachine.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cowslippin {

class PeerNetworkThread;

/// Keeps one WebSocket connection to every other entry VM and carries messages
/// over it. The VM with the lower id dials. A connection that is lost or has
/// gone silent is replaced by a new one; only when that can't be had is the
/// peer reported down.
///
/// One thread of its own does all the network work and calls all the hooks, so
/// hooks should return soon. Hooks may call every function but `start` and
/// `stop`.
class PeerNetwork
{
public:
  struct Settings
  {
    /// Where this VM accepts connections; port 0 lets the kernel choose.
    Address listen;
    /// How this VM names itself. The configuration offset is where
    /// `setConfigOffset` starts from.
    Hello self;
    Duration heartbeatInterval = std::chrono::seconds(1);
    /// A connection over which no message came for this long is given up.
    Duration silenceLimit = std::chrono::seconds(3);
    /// How long a new connection may take, its Hello included.
    Duration connectTimeout = std::chrono::seconds(1);
    /// The longest message that is sent or accepted, in bytes.
    std::size_t maxMessageBytes = std::size_t(16) * 1024 * 1024;
    /// A connection whose peer leaves more than this unread is given up.
    std::size_t maxBufferedBytes = std::size_t(32) * 1024 * 1024;
    /// The wait after the first failed connection; it doubles up to
    /// `reconnectMax` with every further one. Up to half is taken off at
    /// random.
    Duration reconnectMin = std::chrono::milliseconds(100);
    Duration reconnectMax = std::chrono::seconds(2);
    /// Seeds the randomness of those waits.
    std::uint64_t seed = 0;
  };

  /// Any of these may be left empty.
  struct Hooks
  {
    /// The peer can be reached, or is reached in a new incarnation.
    std::function<void(const VmId&, const Hello&)> peerUp;
    /// The peer can't be reached, also not by a new connection.
    std::function<void(const VmId&)> peerDown;
    /// A message came from a peer that is up. Heartbeats and their replies are
    /// passed on as well, for the offsets they carry.
    std::function<void(const VmId&, const Message&)> received;
    /// The connection to a peer that stayed up was replaced. What was sent or
    /// awaited on the old one may be lost.
    std::function<void(const VmId&)> reconnected;
    /// A message was refused: bytes that are none, a Hello of another version
    /// or of the wrong VM. The id is empty when the peer hasn't named itself.
    std::function<void(const VmId&, const Problem&)> refused;
  };

  PeerNetwork(Settings settings, Hooks hooks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// Listens and starts the thread. Returns the address with its real port, or
  /// a problem if the address can't be used.
  Result<Address> start();

  /// Replaces the list of VMs to be connected with. Workers and this VM itself
  /// are ignored; VMs that are leaving stay connected. A VM that is no longer
  /// listed is disconnected and reported down. Thread-safe.
  void setPeers(const std::vector<VirtualMachine>& vms);

  /// Queues a message. False, and nothing is sent, when there is no live
  /// connection, when the message is longer than allowed or when the peer has
  /// left too much unread. True doesn't mean that the peer gets it.
  /// Thread-safe.
  bool send(const VmId& vm, const Message& message);

  /// The configuration offset that Hello and heartbeats tell from now on.
  /// Thread-safe.
  void setConfigOffset(Offset offset);

  /// The load that heartbeats tell from now on. Thread-safe.
  void setLoad(std::uint32_t tasks);

  /// All known peers by id, as of a fraction of a heartbeat ago. Thread-safe.
  std::vector<PeerStatus> status() const;

  /// Closes every connection after what was queued, within a second, and ends
  /// the thread. No hook is called after it. Not restartable.
  void stop();

private:
  std::unique_ptr<PeerNetworkThread> m_thread;
};

} // namespace cowslippin
