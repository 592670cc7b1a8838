#include "peernetwork.h"

#include "peernetworkthread.h"

namespace cowslippin {

PeerNetwork::PeerNetwork(Settings settings, Hooks hooks)
  : m_thread(std::make_unique<PeerNetworkThread>(std::move(settings),
                                                 std::move(hooks)))
{
}

PeerNetwork::~PeerNetwork() = default;

Result<Address>
PeerNetwork::start()
{
  return m_thread->start();
}

void
PeerNetwork::setPeers(const std::vector<VirtualMachine>& vms)
{
  m_thread->setPeers(vms);
}

bool
PeerNetwork::send(const VmId& vm, const Message& message)
{
  return m_thread->send(vm, message);
}

void
PeerNetwork::setConfigOffset(Offset offset)
{
  m_thread->setConfigOffset(offset);
}

void
PeerNetwork::setLoad(std::uint32_t tasks)
{
  m_thread->setLoad(tasks);
}

std::vector<PeerStatus>
PeerNetwork::status() const
{
  return m_thread->status();
}

void
PeerNetwork::stop()
{
  m_thread->stop();
}

} // namespace cowslippin
