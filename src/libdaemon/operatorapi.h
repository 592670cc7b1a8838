#pragma once

#include "configservice.h"
#include "libhttp/http.h"
#include "libobserve/observe.h"
#include "libprotocol/protocol.h"
#include "membership.h"

#include <functional>

namespace cowslippin {

/// The HTTP interface for operators: configuration, VMs, dump, metrics and
/// health. docs/API.md describes it.
class OperatorApi
{
public:
  /// What the interface shows of the rest of the daemon.
  struct Views
  {
    std::function<std::vector<PeerStatus>()> peers;
    /// The reason why the daemon should get no callers; empty when it may.
    std::function<std::string()> notReady;
  };

  OperatorApi(ConfigService& config,
              Membership& membership,
              const StateDump& dump,
              const Metrics& metrics,
              Views views);

  void addRoutes(Router& router);

private:
  HttpReply putTemplate(const HttpRequest& request, const PathParameters& path);
  HttpReply putOrganisation(const HttpRequest& request,
                            const PathParameters& path);
  HttpReply publish(const HttpRequest& request, ConfigRecord::Content content);
  HttpReply showConfig() const;
  HttpReply showVms() const;
  HttpReply showHealth() const;

  ConfigService& m_config;
  Membership& m_membership;
  const StateDump& m_dump;
  const Metrics& m_metrics;
  const Views m_views;
};

} // namespace cowslippin
