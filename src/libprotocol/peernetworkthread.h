#pragma once

#include "peernetwork.h"
#include "peertable.h"
#include "websockettransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace cowslippin {

/// The thread behind `PeerNetwork`: it runs the transport, hands its events to
/// the table of peers and carries out what the table decides. Other threads
/// read copies that it replaces as a whole.
class PeerNetworkThread
{
public:
  PeerNetworkThread(PeerNetwork::Settings settings, PeerNetwork::Hooks hooks);
  ~PeerNetworkThread();
  PeerNetworkThread(const PeerNetworkThread&) = delete;
  PeerNetworkThread& operator=(const PeerNetworkThread&) = delete;

  Result<Address> start();
  void setPeers(const std::vector<VirtualMachine>& vms);
  bool send(const VmId& vm, const Message& message);
  void setConfigOffset(Offset offset) { m_configOffset = offset; }
  void setLoad(std::uint32_t tasks) { m_load = tasks; }
  std::vector<PeerStatus> status() const;
  void stop();

private:
  /// The connection of each peer that can be sent to.
  using Routes = std::map<VmId, LinkId>;
  using Statuses = std::vector<PeerStatus>;

  PeerTable::Actions tableActions();
  WebSocketTransport::Hooks transportHooks();
  void setRoute(const VmId& vm, std::optional<LinkId> link);
  void received(LinkId link, const std::string& bytes);
  Hello self() const;
  Heartbeat heartbeat(std::uint64_t sequence) const;
  void publishStatus();
  void tickLater();
  void tick();
  void closeDown();
  void awaitClosed(TimePoint limit);

  const PeerNetwork::Settings m_settings;
  const Duration m_tickInterval;
  std::atomic<Offset> m_configOffset;
  std::atomic<std::uint32_t> m_load{ 0 };
  /// Bytes that other threads have handed over and that are not yet sent.
  std::atomic<std::size_t> m_handedOver{ 0 };
  /// Read and replaced by `std::atomic_load` and `std::atomic_store` only.
  std::shared_ptr<const Routes> m_routes;
  std::shared_ptr<const Statuses> m_statuses;

  boost::asio::io_context m_context;
  boost::asio::steady_timer m_timer;
  WebSocketTransport m_transport;
  PeerTable m_table;
  bool m_isStopping = false;
  std::thread m_thread;
};

} // namespace cowslippin
