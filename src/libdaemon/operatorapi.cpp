#include "operatorapi.h"

#include "incarnations.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <unordered_map>
#include <utility>

namespace cowslippin {

namespace {

Result<Offset>
expectedRevision(const HttpRequest& request)
{
  const auto text = request.header("If-Match");
  if (!text) {
    return Offset{ 0 };
  }
  Offset revision = 0;
  const char* last = text->data() + text->size();
  const auto [end, error] = std::from_chars(text->data(), last, revision);
  if (text->empty() || error != std::errc() || end != last) {
    return failure(Problem::invalidField(
      "If-Match", *text, "the revision in force, or 0 if there is none"));
  }
  return revision;
}

std::string
stateOf(bool isLeaving)
{
  return isLeaving ? "leaving" : "live";
}

nlohmann::json
vmToJson(const VirtualMachine& vm)
{
  return { { "id", vm.id().value() },
           { "role", vm.role() == VmRole::Entry ? "entry" : "worker" },
           { "zone", vm.zone().value() },
           { "peerAddress", vm.peerAddress().toString() },
           { "httpAddress", vm.httpAddress().toString() },
           { "state", stateOf(vm.isLeaving()) } };
}

nlohmann::json
endpointToJson(const Endpoint& endpoint)
{
  return { { "id", endpoint.id().value() },
           { "service", endpoint.service().value() },
           { "zone", endpoint.zone().value() },
           { "address", endpoint.address().toString() },
           { "slots", endpoint.slots() },
           { "connections", endpoint.connections() },
           { "state", stateOf(endpoint.isLeaving()) } };
}

} // namespace

OperatorApi::OperatorApi(ConfigService& config,
                         Membership& membership,
                         const StateDump& dump,
                         const Metrics& metrics,
                         Views views)
  : m_config(config)
  , m_membership(membership)
  , m_dump(dump)
  , m_metrics(metrics)
  , m_views(std::move(views))
{
}

void
OperatorApi::addRoutes(Router& router)
{
  router.add("PUT",
             "/v1/config/templates/{name}",
             [this](const HttpRequest& request, const PathParameters& path) {
               return putTemplate(request, path);
             });
  router.add("PUT",
             "/v1/config/organisations/{name}",
             [this](const HttpRequest& request, const PathParameters& path) {
               return putOrganisation(request, path);
             });
  router.add(
    "GET", "/v1/config", [this](const HttpRequest&, const PathParameters&) {
      return showConfig();
    });
  router.add(
    "GET", "/v1/vms", [this](const HttpRequest&, const PathParameters&) {
      return showVms();
    });
  router.add(
    "GET", "/v1/dump", [this](const HttpRequest&, const PathParameters&) {
      return HttpReply::json(200, writeJson(m_dump.render(), 2));
    });
  router.add(
    "GET", "/v1/metrics", [this](const HttpRequest&, const PathParameters&) {
      return HttpReply::json(200, writeJson(m_metrics.toJson(), 2));
    });
  router.add(
    "GET", "/health", [this](const HttpRequest&, const PathParameters&) {
      return showHealth();
    });
}

HttpReply
OperatorApi::putTemplate(const HttpRequest& request, const PathParameters& path)
{
  auto parsed = parseTemplate(request.body(), TemplateName(path.get("name")));
  if (!parsed) {
    return problemReply(parsed.error());
  }
  return publish(request, std::move(*parsed));
}

HttpReply
OperatorApi::putOrganisation(const HttpRequest& request,
                             const PathParameters& path)
{
  auto parsed =
    parseOrganisation(request.body(), OrganisationName(path.get("name")));
  if (!parsed) {
    return problemReply(parsed.error());
  }
  return publish(request, std::move(*parsed));
}

HttpReply
OperatorApi::publish(const HttpRequest& request, ConfigRecord::Content content)
{
  const auto expected = expectedRevision(request);
  if (!expected) {
    return problemReply(expected.error());
  }
  const ConfigRecord record(
    RecordId(randomHex128()), *expected, std::move(content));
  const auto revision = m_config.publish(record);
  if (!revision) {
    return problemReply(revision.error());
  }
  return HttpReply::json(200, writeJson({ { "revision", *revision } }));
}

HttpReply
OperatorApi::showConfig() const
{
  return HttpReply::json(200, writeJson(m_config.current()->published()));
}

HttpReply
OperatorApi::showVms() const
{
  std::unordered_map<VmId, PeerStatus> peers;
  for (PeerStatus& peer : m_views.peers()) {
    peers.emplace(peer.vm(), std::move(peer));
  }
  const auto list = m_membership.current();
  nlohmann::json vms = nlohmann::json::array();
  for (const VirtualMachine& vm : list->vms()) {
    nlohmann::json json = vmToJson(vm);
    const auto peer = peers.find(vm.id());
    if (peer != peers.end()) {
      json["connected"] = peer->second.connected();
      json["configOffset"] = peer->second.configOffset();
    }
    vms.push_back(std::move(json));
  }
  nlohmann::json endpoints = nlohmann::json::array();
  for (const Endpoint& endpoint : list->endpoints()) {
    endpoints.push_back(endpointToJson(endpoint));
  }
  const nlohmann::json json = { { "version", list->version() },
                                { "vms", std::move(vms) },
                                { "endpoints", std::move(endpoints) } };
  return HttpReply::json(200, writeJson(json));
}

HttpReply
OperatorApi::showHealth() const
{
  const std::string reason = m_views.notReady();
  const nlohmann::json json = { { "ready", reason.empty() },
                                { "reason", reason } };
  return HttpReply::json(reason.empty() ? 200 : 503, writeJson(json));
}

} // namespace cowslippin
