#include "logging.h"

#include "eventratelimiter.h"
#include "logline.h"
#include "loglinebuffer.h"
#include "queueshare.h"

#include "libcore/clock.h"

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

#include <algorithm>
#include <atomic>
#include <chrono>
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

/// Gives the places of a record's lines in the queue back once it is written.
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
    m_share->leave(std::count(message.begin(), message.end(), '\n'));
    sinks::text_ostream_backend::consume(record, message);
  }

private:
  const std::shared_ptr<QueueShare> m_share;
};

using SynchronousSink = sinks::synchronous_sink<Backend>;
using AsynchronousSink = sinks::asynchronous_sink<
  Backend,
  sinks::bounded_fifo_queue<maxQueuedRecords, sinks::drop_on_overflow>>;

/// The logger of the process. Threads that log share it and its buffer of
/// lines; only set-up and the end replace its other parts, under a mutex that
/// logging does not take.
class ProcessLogger
{
public:
  void start(const LogSettings& settings);
  void stop();
  void log(LogRank rank,
           LogLevel level,
           const char* event,
           std::initializer_list<LogField> fields);
  void writeDue();
  std::map<std::string, std::uint64_t> counts() const;

private:
  void stopLocked();
  bool write(LogRank rank,
             LogLevel level,
             const std::string& line,
             TimePoint now);
  void writeSuppressed(const std::vector<SuppressedEvents>& suppressed,
                       TimePoint now);
  void setOutput(std::shared_ptr<QueueShare> share, LogDelivery delivery);
  void pushLines();

  std::mutex m_setUpMutex;
  std::atomic<int> m_threshold{ nothingIsLogged };
  std::shared_ptr<EventRateLimiter> m_limiter;
  std::function<void()> m_removeSink;

  /// Guards what follows. It is held while lines are handed to Boost.Log, so
  /// that lines of several threads stay in their order.
  std::mutex m_bufferMutex;
  LogLineBuffer m_buffer;
  /// Null while lines are dropped.
  std::shared_ptr<QueueShare> m_share;
  bool m_isSynchronous = false;
  boost::log::sources::logger m_source;
};

ProcessLogger&
processLogger()
{
  static ProcessLogger logger;
  return logger;
}

/// A line without its newline.
std::string
formatLine(LogLevel level,
           const char* event,
           std::initializer_list<LogField> fields)
{
  // More than most lines take.
  constexpr std::size_t usualBytes = 320;
  thread_local LogLineFormatter formatter;
  std::string line;
  line.reserve(usualBytes);
  formatter.append(
    line, std::chrono::system_clock::now(), level, event, fields);
  return line;
}

boost::shared_ptr<Backend>
makeBackend(std::ostream& stream, std::shared_ptr<QueueShare> share)
{
  auto backend = boost::make_shared<Backend>(std::move(share));
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
  backend->auto_flush(true);
  // Messages end their lines themselves, so that a message is one write.
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
  m_removeSink = settings.delivery == LogDelivery::Synchronous
                   ? addSynchronousSink(*settings.stream, share)
                   : addAsynchronousSink(*settings.stream, share);
  boost::log::core::get()->set_logging_enabled(true);
  setOutput(share, settings.delivery);
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
  writeSuppressed(std::atomic_load(&m_limiter)->takeAll(), steadyNow());
  setOutput(nullptr, LogDelivery::Synchronous);
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
  writeSuppressed(limiter->takeEnded(now), now);
  if (isAdmitted && !write(rank, level, formatLine(level, event, fields), now))
    limiter->notWritten(event);
}

void
ProcessLogger::writeDue()
{
  const auto limiter = std::atomic_load(&m_limiter);
  if (!limiter)
    return;
  const TimePoint now = steadyNow();
  writeSuppressed(limiter->takeEnded(now), now);
  const std::lock_guard lock(m_bufferMutex);
  if (m_buffer.isDue(now))
    pushLines();
}

std::map<std::string, std::uint64_t>
ProcessLogger::counts() const
{
  const auto limiter = std::atomic_load(&m_limiter);
  return limiter ? limiter->totals() : std::map<std::string, std::uint64_t>();
}

/// False if the queue has no place for it.
bool
ProcessLogger::write(LogRank rank,
                     LogLevel level,
                     const std::string& line,
                     TimePoint now)
{
  const std::lock_guard lock(m_bufferMutex);
  if (!m_share)
    return true;
  if (!m_share->enter(rank))
    return false;
  m_buffer.add(line, now);
  const bool isUrgent = level >= LogLevel::Warning || m_isSynchronous;
  if (isUrgent || m_buffer.isDue(now))
    pushLines();
  return true;
}

/// Hands the collected lines to Boost.Log as one record.
void
ProcessLogger::pushLines()
{
  boost::log::record record = m_source.open_record();
  if (record) {
    boost::log::record_ostream stream(record);
    stream << m_buffer.text();
    stream.flush();
    m_source.push_record(std::move(record));
  }
  m_buffer.clear();
}

/// Writes the lines that are collected; later ones count against this share of
/// the queue, or are dropped if it is null.
void
ProcessLogger::setOutput(std::shared_ptr<QueueShare> share,
                         LogDelivery delivery)
{
  const std::lock_guard lock(m_bufferMutex);
  if (!m_buffer.isEmpty())
    pushLines();
  m_share = std::move(share);
  m_isSynchronous = delivery == LogDelivery::Synchronous;
}

void
ProcessLogger::writeSuppressed(const std::vector<SuppressedEvents>& suppressed,
                               TimePoint now)
{
  for (const SuppressedEvents& events : suppressed) {
    write(LogRank::Decisive,
          LogLevel::Warning,
          formatLine(LogLevel::Warning,
                     "log-suppressed",
                     { { "suppressedEvent", events.event() },
                       { "count", events.count() } }),
          now);
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
writeDueLogRecords()
{
  processLogger().writeDue();
}

} // namespace cowslippin
