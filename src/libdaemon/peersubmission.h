#pragma once

#include "libprotocol/protocol.h"
#include "submissionrequest.h"

namespace cowslippin {

/// The submission that a peer hands over, checked against the configuration
/// in force here. The problem says that nothing ran.
Result<SubmissionRequest>
requestFromPeer(const SubmitCall& call,
                const Configuration& configuration,
                TimePoint now);

} // namespace cowslippin
