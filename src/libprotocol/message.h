#pragma once

#include "claimappend.h"
#include "configrequest.h"
#include "configtransfer.h"
#include "heartbeat.h"
#include "heartbeatreply.h"
#include "hello.h"
#include "ownercall.h"
#include "ownerreply.h"
#include "submitcall.h"

#include <optional>
#include <variant>

namespace cowslippin {

/// Every message that daemons send each other. The codec numbers the types in
/// this order, so new ones go to the end.
using Message = std::variant<Hello,
                             Heartbeat,
                             HeartbeatReply,
                             OwnerCall,
                             OwnerReply,
                             ConfigRequest,
                             ConfigTransfer,
                             SubmitCall,
                             ClaimAppend>;

/// The sender's configuration offset, if the message tells it: Hello,
/// Heartbeat and HeartbeatReply do.
std::optional<Offset>
configOffsetOf(const Message& message);

} // namespace cowslippin
