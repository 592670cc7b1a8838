#include "load.h"

#include <utility>

using namespace cowslippin;

Load::Load(LoadSpec spec)
  : m_spec(std::move(spec))
  , m_client(EndpointClient::Settings{})
{
  for (int i = 0; i < m_spec.inFlight; ++i) {
    begin();
  }
}

int
Load::finish()
{
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return m_ended == m_spec.calls; });
  return m_failed;
}

Endpoint
Load::target() const
{
  Endpoint::Fields fields;
  fields.id = EndpointId("target");
  fields.address = m_spec.target;
  fields.connections = m_spec.inFlight;
  return Endpoint(fields);
}

void
Load::begin()
{
  EndpointCall::Fields fields(target());
  fields.headers = m_spec.headers;
  {
    const std::lock_guard lock(m_mutex);
    if (m_begun == m_spec.calls) {
      return;
    }
    const int call = m_begun++;
    const std::string key = m_spec.key ? m_spec.key(call) : std::string();
    if (!key.empty()) {
      fields.headers.emplace_back("Idempotency-Key", key);
    }
  }
  fields.path = m_spec.path;
  fields.body = m_spec.body;
  m_client.call(EndpointCall(fields), [this](const CallEnd& end) {
    ended(end);
    begin();
  });
}

void
Load::ended(const CallEnd& end)
{
  const std::lock_guard lock(m_mutex);
  m_failed += end.outcome() == CallOutcome::Answered ? 0 : 1;
  ++m_ended;
  m_changed.notify_all();
}
