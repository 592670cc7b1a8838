#include "configurationsync.h"

#include "libobserve/observe.h"

#include <utility>

namespace cowslippin {

namespace {

constexpr const char* platformSource = "platform";
/// Invalid routes beyond this are counted, and not logged one by one.
constexpr std::size_t maxLoggedRoutes = 20;

void
logInvalidRoutes(const RoutingTable& table)
{
  std::size_t left = maxLoggedRoutes;
  for (const Route& route : table.routes()) {
    if (!route.invalidField)
      continue;
    if (left-- == 0)
      return;
    logEvent(LogLevel::Error,
             "route-refused",
             { { "version", table.version() },
               { "host", route.host },
               { "pathPrefix", route.pathPrefix },
               { "queue", route.policy.queue },
               { "field", route.invalidField->field() },
               { "value", route.invalidField->value() },
               { "allowed", route.invalidField->allowed() } });
  }
}

} // namespace

ConfigurationSync::ConfigurationSync(Settings settings, Hooks hooks)
  : m_hooks(std::move(hooks))
  , m_fetch(std::move(settings.fetch))
  , m_source(settings.source)
  , m_routing(std::make_shared<RoutingTable>())
{
}

void
ConfigurationSync::platformRead(const std::string& body, TimePoint now)
{
  const Result<RoutingTable> table = read(body, platformSource);
  m_refusal = table ? std::nullopt : std::optional(table.error());
  if (!table || !apply(*table, body, platformSource))
    return;
  m_fetch.setInForce(version(), true);
  tick(now);
}

void
ConfigurationSync::versionAdvertised(const VmId& vm,
                                     const ZoneName& zone,
                                     std::uint64_t version)
{
  m_fetch.versionAdvertised(vm, zone, version);
}

void
ConfigurationSync::peerLost(const VmId& vm)
{
  m_fetch.peerLost(vm);
  m_source.peerLost(vm);
}

void
ConfigurationSync::received(const VmId& vm,
                            const PeerMessage& message,
                            TimePoint now)
{
  if (const auto* request = std::get_if<PeerConfigRequest>(&message))
    m_hooks.send(vm, m_source.answer(vm, *request, now));
  else if (const auto* part = std::get_if<PeerConfigPart>(&message))
    partReceived(vm, *part, now);
  else if (std::holds_alternative<PeerConfigBusy>(message))
    m_fetch.peerBusy(vm, now);
}

void
ConfigurationSync::tick(TimePoint now)
{
  const auto request = m_fetch.nextRequest(now, m_hooks.isArriving());
  if (request && !m_hooks.send(request->vm, request->message))
    m_fetch.peerLost(request->vm);
}

Result<RoutingTable>
ConfigurationSync::read(const std::string& body,
                        const std::string& source) const
{
  Result<RoutingTable> table = m_hooks.read(body);
  if (!table)
    logEvent(LogLevel::Error,
             "configuration-refused",
             { { "source", source }, { "reason", table.error().detail() } });
  return table;
}

/// Puts a configuration in force if it is newer. Returns whether it was.
bool
ConfigurationSync::apply(const RoutingTable& table,
                         const std::string& body,
                         const std::string& source)
{
  const std::uint64_t before = version();
  if (table.version() <= before) {
    logEvent(LogLevel::Info,
             "configuration-known",
             { { "source", source },
               { "version", table.version() },
               { "inForce", before },
               { "bytes", body.size() } });
    return false;
  }
  m_routing = std::make_shared<RoutingTable>(table);
  m_source.setInForce(version(), body);
  logEvent(LogLevel::Info,
           "configuration-in-force",
           { { "source", source },
             { "version", version() },
             { "before", before },
             { "routes", m_routing->routes().size() },
             { "invalidRoutes", m_routing->invalidRoutes() },
             { "bytes", body.size() } });
  logInvalidRoutes(*m_routing);
  m_hooks.changed();
  return true;
}

void
ConfigurationSync::partReceived(const VmId& vm,
                                const PeerConfigPart& part,
                                TimePoint now)
{
  const auto body = m_fetch.partReceived(vm, part, now);
  const auto table =
    body ? std::optional(read(*body, vm.value())) : std::nullopt;
  if (table && *table && apply(**table, *body, vm.value()))
    m_fetch.setInForce(version(), false);
  else if (table)
    m_fetch.parseFailed(now);
  // Requests the next part at once: waiting for a tick before each part would
  // take as long again as the parts themselves.
  tick(now);
}

} // namespace cowslippin
