#include "platformstandin.h"

#include "support/standinoptions.h"
#include "support/standinserver.h"

/// A stand-in for the platform: `standin_platform --listen 127.0.0.1:0`.
int
main(int argc, char** argv)
{
  using namespace cowslippin::standins;
  const StandinOptions options("standin_platform");
  const cowslippin::Address listen = options.parse(argc, argv);
  PlatformStandin platform;
  serveStandin(listen,
               [&](StandinExchange& exchange) { platform.handle(exchange); });
  return 0;
}
