#include "endpointclient.h"

#include "endpointclientcore.h"

#include <utility>

namespace cowslippin {

EndpointClient::EndpointClient(Settings settings)
  : m_core(std::make_unique<Core>(settings))
{
}

EndpointClient::~EndpointClient()
{
  stop();
}

CallId
EndpointClient::call(const EndpointCall& call, Done done)
{
  return m_core->call(call, std::move(done));
}

void
EndpointClient::cancel(CallId id)
{
  m_core->cancel(id);
}

std::size_t
EndpointClient::callsInFlight() const
{
  return m_core->callsInFlight();
}

void
EndpointClient::stop()
{
  m_core->stop();
}

} // namespace cowslippin
