#pragma once

#include "httpreply.h"

#include "libcore/core.h"

namespace cowslippin {

/// Renders a problem as a reply: its status, problem details as the body,
/// `Cowslippin-Ran`, and `Retry-After` in whole seconds, rounded up, if the
/// problem says when to come back.
HttpReply
problemReply(const Problem& problem);

/// The same with another status than the one of the problem's kind.
HttpReply
problemReply(const Problem& problem, int status);

} // namespace cowslippin
