#include "configservice.h"

#include "incarnations.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslippin {

namespace {

constexpr Duration outageRetry = std::chrono::seconds(2);
constexpr ParseLimits transferLimits{ std::size_t(64) << 20, 16, 4'000'000 };

std::string
nameOf(const ConfigRecord& record)
{
  if (const auto* value = std::get_if<Template>(&record.content())) {
    return value->name().value();
  }
  if (const auto* value =
        std::get_if<OrganisationParameters>(&record.content())) {
    return value->name().value();
  }
  return "snapshot";
}

} // namespace

ConfigService::ConfigService(Settings settings, Changed changed)
  : m_settings(std::move(settings))
  , m_changed(std::move(changed))
  , m_current(std::make_shared<const Configuration>())
  , m_client(m_settings.log.platform, m_settings.log.identity)
  , m_follower(m_settings.log.followerSettings(), makeHooks())
{
}

ConfigService::~ConfigService()
{
  stop();
}

void
ConfigService::start()
{
  m_follower.start();
  m_snapshots = std::thread([this] { runSnapshots(); });
}

void
ConfigService::stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_appliedOrStopping.notify_all();
  }
  m_client.cancel();
  m_follower.stop();
  if (m_snapshots.joinable()) {
    m_snapshots.join();
  }
}

Result<Offset>
ConfigService::publish(const ConfigRecord& record)
{
  {
    const std::lock_guard lock(m_mutex);
    m_awaited.emplace(record.recordId(), std::nullopt);
  }
  AppendResult result = [&] {
    const std::lock_guard lock(m_appendMutex);
    return m_client.append(
      m_settings.log.stream, encode(record), m_settings.appendTimeout);
  }();
  if (const auto* refused = std::get_if<NotAppended>(&result)) {
    const std::lock_guard lock(m_mutex);
    m_awaited.erase(record.recordId());
    return failure(Problem(ProblemKind::PlatformUnavailable,
                           RunState::NotRun,
                           "Nothing was changed: " + refused->problem.detail())
                     .withRetryAfter(outageRetry));
  }
  return awaitOutcome(record);
}

Result<Offset>
ConfigService::awaitOutcome(const ConfigRecord& record)
{
  std::unique_lock lock(m_mutex);
  const TimePoint until = steadyNow() + m_settings.publishTimeout;
  m_appliedOrStopping.wait_until(lock, until, [&] {
    return m_stopping || m_awaited[record.recordId()].has_value();
  });
  const std::optional<Applied> applied = m_awaited[record.recordId()];
  m_awaited.erase(record.recordId());
  if (!applied) {
    return failure(Problem(ProblemKind::OutcomeUnknown,
                           RunState::MayHaveRun,
                           "The change was sent but not read back in time; "
                           "look at the configuration in force")
                     .withRetryAfter(outageRetry));
  }
  if (applied->outcome == ApplyOutcome::Accepted ||
      applied->outcome == ApplyOutcome::Duplicate) {
    return applied->revision;
  }
  return failure(revisionConflict(
    nameOf(record), record.expectedRevision(), applied->revision));
}

void
ConfigService::takeOver(const std::string& encoded)
{
  const auto other =
    parseJson(encoded, "configuration", transferLimits)
      .and_then([](const auto& json) { return Configuration::fromJson(json); });
  if (!other) {
    logEvent(LogLevel::Warning,
             "config-transfer-unreadable",
             { { "detail", other.error().detail() } });
    return;
  }
  const std::lock_guard lock(m_mutex);
  const auto mine = m_current.get();
  if (other->offset() > mine->offset()) {
    putInForce(mine->newest(*other));
  }
}

LogFollower::Hooks
ConfigService::makeHooks()
{
  LogFollower::Hooks hooks;
  hooks.records = [this](const LogPage& page) { recordsRead(page); };
  hooks.caughtUp = [this](Offset /*end*/) {
    if (!m_current.get()->needsSnapshot()) {
      m_loaded = true;
    }
  };
  hooks.gap = [this](Offset first) {
    logEvent(LogLevel::Warning, "config-stream-gap", { { "first", first } });
    const std::lock_guard lock(m_mutex);
    putInForce(m_current.get()->skippedTo(first));
  };
  hooks.unavailable = [](const Problem& problem) {
    logEvent(LogLevel::Warning,
             "config-stream-unavailable",
             { { "detail", problem.detail() } });
  };
  hooks.recovered = [] { logEvent(LogLevel::Info, "config-stream-recovered"); };
  return hooks;
}

void
ConfigService::recordsRead(const LogPage& page)
{
  for (const LogRecord& record : page.records()) {
    apply(record);
  }
}

void
ConfigService::apply(const LogRecord& record)
{
  const std::lock_guard lock(m_mutex);
  const ApplyResult result =
    m_current.get()->applyText(record.offset(), record.body());
  if (result.problem()) {
    logEvent(LogLevel::Warning,
             "config-record-ignored",
             { { "offset", record.offset() },
               { "detail", result.problem()->detail() } });
  }
  putInForce(result.next());
  const auto parsed = parseConfigRecord(record.body());
  if (!parsed) {
    return;
  }
  const auto awaited = m_awaited.find(parsed->recordId());
  if (awaited == m_awaited.end() || awaited->second) {
    return;
  }
  // A peer's configuration may have brought the record in before it was read.
  const auto accepted = result.next().revisionOf(parsed->recordId());
  awaited->second = accepted ? Applied{ ApplyOutcome::Accepted, *accepted }
                             : Applied{ result.outcome(), result.revision() };
  m_appliedOrStopping.notify_all();
}

void
ConfigService::putInForce(Configuration next)
{
  const auto shared = std::make_shared<const Configuration>(std::move(next));
  m_current.set(shared);
  if (shared->offset() > 0 && !shared->needsSnapshot()) {
    m_loaded = true;
  }
  m_changed(*shared);
}

void
ConfigService::runSnapshots()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    m_appliedOrStopping.wait_for(
      lock, m_settings.snapshotInterval, [this] { return m_stopping; });
    if (m_stopping || !m_snapshotDuty) {
      continue;
    }
    lock.unlock();
    appendSnapshot();
    lock.lock();
  }
}

void
ConfigService::appendSnapshot()
{
  const auto configuration = m_current.get();
  if (configuration->offset() == 0 || configuration->needsSnapshot()) {
    return;
  }
  const ConfigRecord record(
    RecordId(randomHex128()), 0, ConfigSnapshot(*configuration));
  const std::lock_guard lock(m_appendMutex);
  const AppendResult result = m_client.append(
    m_settings.log.stream, encode(record), m_settings.appendTimeout);
  logEvent(LogLevel::Info,
           "config-snapshot",
           { { "offset", configuration->offset() },
             { "acknowledged", std::holds_alternative<Appended>(result) } });
}

} // namespace cowslippin
