#pragma once

#include "callfailure.h"
#include "callreply.h"
#include "httpcall.h"
#include "libcore/core.h"

#include <functional>

namespace cowslippin {

/// How a call ended: the daemon's reply, or why there is none.
using CallEnd = tl::expected<CallReply, CallFailure>;

/// Makes a call to the daemon at an address and waits for its end, at most
/// for the given time. A call is sent once at most.
using Transport =
  std::function<CallEnd(const Address&, const HttpCall&, Duration timeout)>;

/// The transport over HTTP. Each call has a connection of its own, because
/// the HTTP client sends a call again when a connection it kept turns out to
/// be closed.
CallEnd
callOverHttp(const Address& daemon, const HttpCall& call, Duration timeout);

} // namespace cowslippin
