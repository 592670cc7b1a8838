#include "logging.h"

#include "eventratelimiter.h"
#include "queueshare.h"

#include "libcore/clock.h"
#include "libcore/displaytext.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <functional>
#include <memory>
#include <mutex>

namespace cowslippin {

namespace {

namespace sinks = boost::log::sinks;

constexpr std::size_t maxQueuedRecords = 8192;
/// Of these.
constexpr std::size_t reservedForDecisive = 2048;
constexpr int nothingIsLogged = static_cast<int>(LogLevel::Error) + 1;

/// Gives a record's place in the queue back once it is written.
class Backend : public sinks::text_ostream_backend
{
public:
  explicit Backend(std::shared_ptr<QueueShare> share)
    : m_share(std::move(share))
  {
  }

  void consume(const boost::log::record_view& record,
               const string_type& message)
  {
    m_share->leave();
    sinks::text_ostream_backend::consume(record, message);
  }

private:
  const std::shared_ptr<QueueShare> m_share;
};

using SynchronousSink = sinks::synchronous_sink<Backend>;
using AsynchronousSink = sinks::asynchronous_sink<
  Backend,
  sinks::bounded_fifo_queue<maxQueuedRecords, sinks::drop_on_overflow>>;

/// The logger of the process. Threads that log share it; only set-up and the
/// end replace its parts, under a mutex that logging does not take.
class ProcessLogger
{
public:
  void start(const LogSettings& settings);
  void stop();
  void log(LogRank rank,
           LogLevel level,
           const char* event,
           std::initializer_list<LogField> fields);
  void reportSuppressed();
  std::map<std::string, std::uint64_t> counts() const;

private:
  void stopLocked();
  bool write(LogRank rank, const std::string& line);
  void writeSuppressed(const std::vector<SuppressedEvents>& suppressed);

  std::mutex m_setUpMutex;
  std::atomic<int> m_threshold{ nothingIsLogged };
  std::shared_ptr<EventRateLimiter> m_limiter;
  std::shared_ptr<QueueShare> m_share;
  std::function<void()> m_removeSink;
  boost::log::sources::logger_mt m_source;
};

ProcessLogger&
processLogger()
{
  static ProcessLogger logger;
  return logger;
}

std::string
timeText(std::chrono::system_clock::time_point time)
{
  using namespace std::chrono;
  const auto sinceEpoch = duration_cast<milliseconds>(time.time_since_epoch());
  const std::time_t wholeSeconds = system_clock::to_time_t(time);
  const int millisecond = static_cast<int>(sinceEpoch.count() % 1000);
  std::tm utc{};
  gmtime_r(&wholeSeconds, &utc);
  std::array<char, 40> text{};
  const std::size_t length =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(
    text.data() + length, text.size() - length, ".%03dZ", millisecond);
  return text.data();
}

/// A text may contain what another program wrote, so a line has a bound only if
/// each text has one.
std::string
boundedValue(const std::string& text)
{
  return boundedText(text, maxLogTextBytes);
}

template<class T>
T
boundedValue(T value)
{
  return value;
}

std::string
jsonLine(LogLevel level,
         const char* event,
         std::initializer_list<LogField> fields)
{
  nlohmann::ordered_json json;
  json["time"] = timeText(std::chrono::system_clock::now());
  json["level"] = std::string(toString(level));
  json["event"] = event;
  for (const LogField& field : fields) {
    std::visit(
      [&](const auto& value) {
        json.emplace(field.name(), boundedValue(value));
      },
      field.value());
  }
  return json.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

boost::shared_ptr<Backend>
makeBackend(std::ostream& stream, std::shared_ptr<QueueShare> share)
{
  auto backend = boost::make_shared<Backend>(std::move(share));
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
  backend->auto_flush(true);
  // Messages end their line themselves, so that a line is one write.
  backend->set_auto_newline_mode(sinks::disabled_auto_newline);
  return backend;
}

template<class Sink>
boost::shared_ptr<Sink>
addSink(std::ostream& stream, std::shared_ptr<QueueShare> share)
{
  auto sink = boost::make_shared<Sink>(makeBackend(stream, std::move(share)));
  boost::log::core::get()->add_sink(sink);
  return sink;
}

std::function<void()>
addSynchronousSink(std::ostream& stream, std::shared_ptr<QueueShare> share)
{
  auto sink = addSink<SynchronousSink>(stream, std::move(share));
  return [sink] {
    boost::log::core::get()->remove_sink(sink);
    sink->flush();
  };
}

std::function<void()>
addAsynchronousSink(std::ostream& stream, std::shared_ptr<QueueShare> share)
{
  auto sink = addSink<AsynchronousSink>(stream, std::move(share));
  return [sink] {
    boost::log::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
  };
}

void
ProcessLogger::start(const LogSettings& settings)
{
  const std::lock_guard lock(m_setUpMutex);
  stopLocked();
  std::atomic_store(&m_limiter,
                    std::make_shared<EventRateLimiter>(
                      settings.eventsPerSecond, settings.decisionsPerSecond));
  auto share =
    std::make_shared<QueueShare>(maxQueuedRecords, reservedForDecisive);
  std::atomic_store(&m_share, share);
  m_removeSink = settings.delivery == LogDelivery::Synchronous
                   ? addSynchronousSink(*settings.stream, share)
                   : addAsynchronousSink(*settings.stream, share);
  boost::log::core::get()->set_logging_enabled(true);
  m_threshold = static_cast<int>(settings.level);
}

void
ProcessLogger::stop()
{
  const std::lock_guard lock(m_setUpMutex);
  stopLocked();
}

void
ProcessLogger::stopLocked()
{
  if (!m_removeSink) {
    return;
  }
  m_threshold = nothingIsLogged;
  writeSuppressed(std::atomic_load(&m_limiter)->takeAll());
  // Without a sink Boost.Log writes to the console.
  boost::log::core::get()->set_logging_enabled(false);
  m_removeSink();
  m_removeSink = nullptr;
}

void
ProcessLogger::log(LogRank rank,
                   LogLevel level,
                   const char* event,
                   std::initializer_list<LogField> fields)
{
  if (static_cast<int>(level) < m_threshold.load(std::memory_order_acquire)) {
    return;
  }
  const auto limiter = std::atomic_load(&m_limiter);
  const TimePoint now = steadyNow();
  const bool isAdmitted = limiter->admit(event, now, rank);
  writeSuppressed(limiter->takeEnded(now));
  if (isAdmitted && !write(rank, jsonLine(level, event, fields)))
    limiter->notWritten(event);
}

void
ProcessLogger::reportSuppressed()
{
  const auto limiter = std::atomic_load(&m_limiter);
  if (limiter) {
    writeSuppressed(limiter->takeEnded(steadyNow()));
  }
}

std::map<std::string, std::uint64_t>
ProcessLogger::counts() const
{
  const auto limiter = std::atomic_load(&m_limiter);
  return limiter ? limiter->totals() : std::map<std::string, std::uint64_t>();
}

/// False if the queue has no place for it.
bool
ProcessLogger::write(LogRank rank, const std::string& line)
{
  const auto share = std::atomic_load(&m_share);
  if (!share->enter(rank))
    return false;
  boost::log::record record = m_source.open_record();
  if (!record) {
    share->leave();
    return true;
  }
  boost::log::record_ostream stream(record);
  stream << line << '\n';
  stream.flush();
  m_source.push_record(std::move(record));
  return true;
}

void
ProcessLogger::writeSuppressed(const std::vector<SuppressedEvents>& suppressed)
{
  for (const SuppressedEvents& events : suppressed) {
    write(LogRank::Decisive,
          jsonLine(LogLevel::Warning,
                   "log-suppressed",
                   { { "suppressedEvent", events.event() },
                     { "count", events.count() } }));
  }
}

} // namespace

void
initialiseLogging(const LogSettings& settings)
{
  processLogger().start(settings);
}

void
stopLogging()
{
  processLogger().stop();
}

void
logEvent(LogLevel level,
         const char* event,
         std::initializer_list<LogField> fields)
{
  processLogger().log(LogRank::Frequent, level, event, fields);
}

void
logDecision(LogLevel level,
            const char* event,
            std::initializer_list<LogField> fields)
{
  processLogger().log(LogRank::Decisive, level, event, fields);
}

std::map<std::string, std::uint64_t>
eventCounts()
{
  return processLogger().counts();
}

void
reportSuppressedEvents()
{
  processLogger().reportSuppressed();
}

} // namespace cowslippin
