#pragma once

#include "libsettings/settings.h"
#include "submissionservice.h"

#include <nlohmann/json_fwd.hpp>

namespace cowslippin {

/// The sections of the daemon's state dump as JSON.

nlohmann::json
daemonSection(const DaemonSettings& settings,
              const Incarnation& incarnation,
              const std::string& notReady);

nlohmann::json
claimsSection(const ClaimTableStats& stats);

nlohmann::json
dispatchSection(const DispatchStats& stats);

nlohmann::json
peersSection(const std::vector<PeerStatus>& peers);

nlohmann::json
submissionsSection(const SubmissionService& submissions,
                   std::size_t pendingOwnerCalls);

} // namespace cowslippin
