#include "endpointstandin.h"

#include "support/standinoptions.h"
#include "support/standinserver.h"

namespace po = boost::program_options;

/// A stand-in for an endpoint: `standin_endpoint --listen 127.0.0.1:0`.
int
main(int argc, char** argv)
{
  using namespace cowslippin::standins;
  EndpointStandin::Settings settings;
  std::uint64_t runTimeMs = 0;
  StandinOptions options("standin_endpoint");
  options.description().add_options()(
    "run-time-ms",
    po::value(&runTimeMs)->default_value(50),
    "how long a task runs unless its request says otherwise")(
    "slots",
    po::value(&settings.slots)->default_value(8),
    "how many tasks run at once")(
    "connections",
    po::value(&settings.connections)->default_value(64),
    "how many tasks run or wait; any more are refused");
  const cowslippin::Address listen = options.parse(argc, argv);
  settings.runTime = std::chrono::milliseconds(runTimeMs);
  EndpointStandin endpoint(settings);
  serveStandin(listen,
               [&](StandinExchange& exchange) { endpoint.handle(exchange); });
  return 0;
}
