#include "dumpsections.h"

#include <nlohmann/json.hpp>

namespace cowslippin {

namespace {

double
milliseconds(Duration duration)
{
  return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

nlohmann::json
daemonSection(const DaemonSettings& settings,
              const Incarnation& incarnation,
              const std::string& notReady)
{
  return {
    { "vm", settings.vmId().value() },
    { "zone", settings.zone().value() },
    { "region", settings.region().value() },
    { "incarnation", incarnation.value() },
    { "platform", settings.platform().toString() },
    { "advertisedHttpAddress", settings.advertisedHttpAddress().toString() },
    { "advertisedPeerAddress", settings.advertisedPeerAddress().toString() },
    { "notReady", notReady }
  };
}

nlohmann::json
claimsSection(const ClaimTableStats& stats)
{
  return { { "remembered", stats.remembered }, { "local", stats.local },
           { "queued", stats.queued },         { "readUpTo", stats.readUpTo },
           { "unreadable", stats.unreadable }, { "gaps", stats.gaps },
           { "caughtUp", stats.caughtUp },     { "inDoubt", stats.inDoubt } };
}

nlohmann::json
dispatchSection(const DispatchStats& stats)
{
  nlohmann::json endpoints = nlohmann::json::array();
  for (const EndpointStats& endpoint : stats.endpoints) {
    endpoints.push_back({ { "id", endpoint.id.value() },
                          { "inFlight", endpoint.inFlight },
                          { "limit", endpoint.limit },
                          { "ejected", endpoint.ejected },
                          { "slowness", endpoint.slowness },
                          { "failureRatio", endpoint.failureRatio } });
  }
  nlohmann::json organisations = nlohmann::json::array();
  for (const OrganisationStats& organisation : stats.organisations) {
    organisations.push_back({ { "name", organisation.name.value() },
                              { "queued", organisation.queued },
                              { "inFlight", organisation.inFlight } });
  }
  return { { "queued", stats.queued },
           { "inFlight", stats.inFlight },
           { "submitted", stats.submitted },
           { "refused", stats.refused },
           { "starts", stats.starts },
           { "retries", stats.retries },
           { "ended", stats.ended },
           { "endpoints", std::move(endpoints) },
           { "organisations", std::move(organisations) } };
}

nlohmann::json
peersSection(const std::vector<PeerStatus>& peers)
{
  nlohmann::json json = nlohmann::json::array();
  const TimePoint now = steadyNow();
  for (const PeerStatus& peer : peers) {
    nlohmann::json entry = { { "vm", peer.vm().value() },
                             { "zone", peer.zone().value() },
                             { "address", peer.address().toString() },
                             { "incarnation", peer.incarnation().value() },
                             { "connected", peer.connected() },
                             { "configOffset", peer.configOffset() },
                             { "load", peer.load() } };
    if (const auto age = peer.lastHeardAge(now)) {
      entry["lastHeardMs"] = milliseconds(*age);
    }
    if (peer.roundTrip()) {
      entry["roundTripMs"] = milliseconds(*peer.roundTrip());
    }
    json.push_back(std::move(entry));
  }
  return json;
}

nlohmann::json
submissionsSection(const SubmissionService& submissions,
                   std::size_t pendingOwnerCalls)
{
  return { { "held", submissions.store().size() },
           { "live", submissions.live() },
           { "unfetched", submissions.unfetched() },
           { "answerBytes", submissions.store().answerBytes() },
           { "draining", submissions.isDraining() },
           { "pendingOwnerCalls", pendingOwnerCalls } };
}

} // namespace cowslippin
