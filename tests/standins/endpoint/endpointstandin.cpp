#include "endpointstandin.h"

#include <cstdlib>
#include <exception>
#include <thread>

namespace cowslippin::standins {

namespace {

using std::chrono::milliseconds;

constexpr char faultsPath[] = "/faults";
constexpr char startsPath[] = "/starts";
constexpr char healthPath[] = "/health";
constexpr char slotsFreeHeader[] = "Cowslippin-Slots-Free";

/// The request's body as JSON, or as a string if it is none.
nlohmann::json
echoOf(const std::string& body)
{
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  return parsed.is_discarded() ? nlohmann::json(body) : parsed;
}

milliseconds
runTimeOf(const StandinExchange& exchange, milliseconds otherwise)
{
  const std::string text = exchange.header("Standin-Run-Ms");
  return text.empty() ? otherwise
                      : milliseconds(std::strtoul(text.c_str(), nullptr, 10));
}

/// An answer whose header promises twice the bytes that follow.
std::string
truncatedAnswer()
{
  const std::string body = "{\"echo\":";
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(2 * body.size()) + "\r\n\r\n" + body;
}

} // namespace

EndpointStandin::EndpointStandin(Settings settings)
  : m_settings(settings)
  , m_slots(settings.slots, settings.connections)
{
}

void
EndpointStandin::handle(StandinExchange& exchange)
{
  if (handleControl(exchange)) {
    return;
  }
  if (exchange.method() == "POST") {
    handleTask(exchange);
  } else {
    exchange.answer(405, { { "error", "a task is a POST" } });
  }
}

bool
EndpointStandin::handleControl(StandinExchange& exchange)
{
  if (exchange.path() == faultsPath) {
    handleFaults(exchange);
  } else if (exchange.path() == healthPath) {
    handleHealth(exchange);
  } else if (exchange.path() == startsPath) {
    exchange.answer(200, m_starts.report());
  } else {
    return false;
  }
  return true;
}

void
EndpointStandin::handleFaults(StandinExchange& exchange)
{
  if (exchange.method() != "PUT") {
    exchange.answer(200, faults());
    return;
  }
  try {
    const nlohmann::json json = nlohmann::json::parse(exchange.body());
    const std::lock_guard lock(m_mutex);
    EndpointFaults next = m_faults;
    from_json(json, next);
    m_faults = next;
    exchange.answer(200, m_faults);
  } catch (const std::exception& error) {
    exchange.answer(400, { { "error", error.what() } });
  }
}

void
EndpointStandin::handleHealth(StandinExchange& exchange)
{
  const EndpointFaults current = faults();
  if (current.mode == EndpointMode::Hang) {
    hang(exchange);
  } else if (current.leaving) {
    exchange.answer(503, { { "state", "leaving" } });
  } else {
    exchange.answer(200, { { "state", "live" } });
  }
}

void
EndpointStandin::handleTask(StandinExchange& exchange)
{
  const EndpointMode mode = takeMode();
  if (mode == EndpointMode::Refuse || !m_slots.enter()) {
    refuse(exchange);
    return;
  }
  start(exchange, mode);
  m_slots.leave();
}

void
EndpointStandin::start(StandinExchange& exchange, EndpointMode mode)
{
  m_starts.add(exchange.header("Cowslippin-Task"));
  switch (mode) {
    case EndpointMode::Fail:
      exchange.answer(500, { { "error", "failed" } });
      return;
    case EndpointMode::Close:
      exchange.drop();
      return;
    case EndpointMode::Hang:
      hang(exchange);
      return;
    default:
      run(exchange, mode);
  }
}

void
EndpointStandin::run(StandinExchange& exchange, EndpointMode mode)
{
  const milliseconds runTime = runTimeOf(exchange, m_settings.runTime);
  std::this_thread::sleep_for(runTime * faults().slowFactor);
  finish(exchange, mode);
}

void
EndpointStandin::finish(StandinExchange& exchange, EndpointMode mode)
{
  if (mode == EndpointMode::Truncate) {
    exchange.sendRawAndDrop(truncatedAnswer());
    return;
  }
  nlohmann::json answer = { { "echo", echoOf(exchange.body()) },
                            { "task", exchange.header("Cowslippin-Task") } };
  if (mode == EndpointMode::Overlong) {
    answer["padding"] = std::string(faults().overlongBytes, 'x');
  }
  exchange.setHeader(slotsFreeHeader,
                     std::to_string(m_slots.freeWithoutMine()));
  exchange.answer(200, answer);
}

void
EndpointStandin::refuse(StandinExchange& exchange)
{
  exchange.setHeader("Cowslippin-Ran", "not run");
  exchange.answer(503, { { "error", "not started" } });
}

void
EndpointStandin::hang(StandinExchange& exchange)
{
  exchange.holdUntil([] { return false; });
  exchange.drop();
}

EndpointMode
EndpointStandin::takeMode()
{
  const std::lock_guard lock(m_mutex);
  return m_faults.leaving ? EndpointMode::Refuse : m_faults.takeMode();
}

EndpointFaults
EndpointStandin::faults() const
{
  const std::lock_guard lock(m_mutex);
  return m_faults;
}

} // namespace cowslippin::standins
