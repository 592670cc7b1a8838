#include "transport.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/timespan.h>

#include <algorithm>
#include <optional>

namespace cowslippin {

namespace {

constexpr Duration maxConnectTime = std::chrono::seconds(3);

cxxtools::Milliseconds
toCxxtools(Duration duration)
{
  return cxxtools::Milliseconds(toMilliseconds(duration));
}

std::string
explain(const std::exception& error, const Address& daemon)
{
  const bool isTimeout =
    dynamic_cast<const cxxtools::IOTimeout*>(&error) != nullptr;
  const std::string what = isTimeout ? "timed out" : error.what();
  return daemon.toString() + ": " + what;
}

/// Connects and disconnects, since the client does not tell whether its
/// failure came before or after it sent something.
std::optional<CallFailure>
probe(const Address& daemon, Duration timeout)
{
  try {
    cxxtools::net::TcpSocket socket;
    socket.setTimeout(toCxxtools(std::min(timeout, maxConnectTime)));
    socket.connect(daemon.host(), daemon.port());
    return std::nullopt;
  } catch (const std::exception& error) {
    return CallFailure(CallFailure::Kind::Unreachable, explain(error, daemon));
  }
}

/// The query stands in the URL, because the client leaves out the request's
/// own query parameters unless the method is GET.
std::string
toUrl(const HttpCall& call)
{
  return call.query().empty() ? call.path() : call.path() + '?' + call.query();
}

cxxtools::http::Request
toRequest(const HttpCall& call)
{
  cxxtools::http::Request request(toUrl(call));
  request.method(call.method());
  for (const HttpCallHeader& header : call.headers()) {
    request.setHeader(header.name().c_str(), header.value().c_str());
  }
  request.body() << call.body();
  return request;
}

CallReply
toReply(const cxxtools::http::Client& client)
{
  const char* contentType = client.header().getHeader("Content-Type");
  return CallReply(static_cast<int>(client.header().httpReturnCode()),
                   contentType ? contentType : "",
                   client.body());
}

} // namespace

CallEnd
callOverHttp(const Address& daemon, const HttpCall& call, Duration timeout)
{
  if (auto unreachable = probe(daemon, timeout)) {
    return tl::unexpected<CallFailure>(std::move(*unreachable));
  }
  try {
    cxxtools::http::Client client(daemon.host(), daemon.port());
    client.execute(toRequest(call), toCxxtools(timeout));
    client.readBody();
    return toReply(client);
  } catch (const std::exception& error) {
    return tl::unexpected<CallFailure>(
      CallFailure(CallFailure::Kind::NoReply, explain(error, daemon)));
  }
}

} // namespace cowslippin
