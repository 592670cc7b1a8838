#include "platformstandin.h"

#include <algorithm>
#include <exception>
#include <thread>

namespace cowslippin::standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char zoneHeader[] = "Cowslippin-Zone";
constexpr char vmHeader[] = "Cowslippin-Vm";
constexpr char faultsPath[] = "/faults";
constexpr char vmsPath[] = "/vms";
constexpr char streamsPrefix[] = "/streams/";
constexpr char recordsSuffix[] = "/records";
constexpr std::uint64_t defaultLimit = 1000;
constexpr std::uint64_t maxWaitMs = 60000;

/// The stream that the path names, or an empty string.
std::string
streamName(const std::string& path)
{
  const std::string prefix = streamsPrefix;
  const std::string suffix = recordsSuffix;
  const std::size_t around = prefix.size() + suffix.size();
  const bool matches =
    path.size() > around && path.compare(0, prefix.size(), prefix) == 0 &&
    path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
  return matches ? path.substr(prefix.size(), path.size() - around)
                 : std::string();
}

bool
isUtf8(const std::string& text)
{
  try {
    nlohmann::json(text).dump();
    return true;
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

nlohmann::json
errorBody(const std::string& text)
{
  return { { "error", text } };
}

} // namespace

void
PlatformStandin::handle(StandinExchange& exchange)
{
  if (handleControl(exchange)) {
    return;
  }
  std::this_thread::sleep_for(milliseconds(faults().slowMs));
  if (handleOutage(exchange)) {
    return;
  }
  const std::string name = streamName(exchange.path());
  if (!name.empty()) {
    handleStream(exchange, name);
  } else if (exchange.path() == vmsPath && exchange.method() == "GET") {
    listVms(exchange);
  } else {
    exchange.answer(404, errorBody("no such path or method"));
  }
}

bool
PlatformStandin::handleControl(StandinExchange& exchange)
{
  const bool isPut = exchange.method() == "PUT";
  if (exchange.path() == faultsPath) {
    isPut ? setFaults(exchange) : exchange.answer(200, faults());
    return true;
  }
  if (exchange.path() == vmsPath && isPut) {
    setVms(exchange);
    return true;
  }
  return false;
}

void
PlatformStandin::setFaults(StandinExchange& exchange)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(exchange.body());
    const std::lock_guard lock(m_mutex);
    PlatformFaults next = m_faults;
    from_json(json, next);
    m_faults = next;
    m_changed.notify_all();
    exchange.answer(200, m_faults);
  } catch (const std::exception& error) {
    exchange.answer(400, errorBody(error.what()));
  }
}

void
PlatformStandin::setVms(StandinExchange& exchange)
{
  const nlohmann::json list =
    nlohmann::json::parse(exchange.body(), nullptr, false);
  if (!list.is_object()) {
    exchange.answer(400, errorBody("the VM list is a JSON object"));
    return;
  }
  const std::lock_guard lock(m_mutex);
  const std::uint64_t version = m_vms.replace(list, steady_clock::now());
  exchange.answer(200, { { "version", version } });
}

bool
PlatformStandin::handleOutage(StandinExchange& exchange)
{
  const std::string zone = exchange.header(zoneHeader);
  const std::string vm = exchange.header(vmHeader);
  const PlatformFaults current = faults();
  if (current.isCut(zone, vm)) {
    exchange.holdUntil([&] { return !faults().isCut(zone, vm); });
    exchange.drop();
    return true;
  }
  if (!current.down) {
    return false;
  }
  if (current.downMode == DownMode::Refuse) {
    exchange.answer(503, errorBody("down"));
    return true;
  }
  if (current.downMode == DownMode::Hang) {
    exchange.holdUntil([&] { return !faults().down; });
  }
  exchange.drop();
  return true;
}

void
PlatformStandin::handleStream(StandinExchange& exchange,
                              const std::string& name)
{
  if (exchange.method() == "POST") {
    append(exchange, name);
  } else if (exchange.method() == "GET") {
    read(exchange, name);
  } else {
    exchange.answer(405, errorBody("GET or POST"));
  }
}

void
PlatformStandin::append(StandinExchange& exchange, const std::string& name)
{
  if (!isUtf8(exchange.body())) {
    exchange.answer(400, errorBody("a record is UTF-8 text"));
    return;
  }
  if (!takeLostAnswer()) {
    const std::uint64_t offset = write(name, exchange.body());
    exchange.answer(200, { { "offset", offset } });
    return;
  }
  const milliseconds landLate(faults().landLateMs);
  if (landLate > milliseconds::zero()) {
    exchange.drop();
    std::this_thread::sleep_for(landLate);
  }
  write(name, exchange.body());
  exchange.drop();
}

std::uint64_t
PlatformStandin::write(const std::string& name, const std::string& body)
{
  const std::lock_guard writer(m_writer);
  std::this_thread::sleep_for(milliseconds(faults().appendDelayMs));
  const std::lock_guard lock(m_mutex);
  const std::uint64_t offset =
    m_streams[name].append(body, steady_clock::now());
  m_changed.notify_all();
  return offset;
}

bool
PlatformStandin::takeLostAnswer()
{
  const std::lock_guard lock(m_mutex);
  if (m_faults.loseAppendAnswers == 0) {
    return false;
  }
  --m_faults.loseAppendAnswers;
  return true;
}

void
PlatformStandin::read(StandinExchange& exchange, const std::string& name)
{
  const std::uint64_t from =
    std::max<std::uint64_t>(1, exchange.queryNumber("from", 1));
  waitForRecord(exchange, name, from);
  if (handleOutage(exchange)) {
    return;
  }
  const std::uint64_t limit = exchange.queryNumber("limit", defaultLimit);
  const std::lock_guard lock(m_mutex);
  exchange.answer(200, retainedStream(name).page(from, limit));
}

void
PlatformStandin::waitForRecord(const StandinExchange& exchange,
                               const std::string& name,
                               std::uint64_t from)
{
  const milliseconds wait(
    std::min(maxWaitMs, exchange.queryNumber("waitMs", 0)));
  const std::string zone = exchange.header(zoneHeader);
  const std::string vm = exchange.header(vmHeader);
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, wait, [&] {
    const bool isOut = m_faults.down || m_faults.isCut(zone, vm);
    return isOut || m_streams[name].end() > from;
  });
}

void
PlatformStandin::listVms(StandinExchange& exchange)
{
  const std::lock_guard lock(m_mutex);
  const milliseconds lag(m_faults.vmListLagMs);
  const nlohmann::json list = m_vms.at(steady_clock::now() - lag);
  const std::uint64_t version = list["version"];
  // No list has the version 0 that stands for an absent parameter here.
  if (version != 0 && exchange.queryNumber("version", 0) == version) {
    exchange.answer(200, { { "version", version }, { "unchanged", true } });
    return;
  }
  exchange.answer(200, list);
}

PlatformFaults
PlatformStandin::faults() const
{
  const std::lock_guard lock(m_mutex);
  return m_faults;
}

LogStream&
PlatformStandin::retainedStream(const std::string& name)
{
  LogStream& stream = m_streams[name];
  const Instant oldest =
    m_faults.retainMs == 0
      ? Instant::min()
      : steady_clock::now() - milliseconds(m_faults.retainMs);
  stream.retain(m_faults.retainRecords, oldest);
  return stream;
}

} // namespace cowslippin::standins
