#include "leasedplatform.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace cowslippin::testing {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration tickInterval = milliseconds(5);
/// A worker renews its entry this often.
constexpr int beatEveryTicks = 300;
/// The time of day at the beginning of the steady clock.
constexpr std::int64_t firstBirthMs = 1800000000000;

std::string
base64(const std::string& bytes)
{
  namespace codec = boost::beast::detail::base64;
  std::string text(codec::encoded_size(bytes.size()), '\0');
  text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string
bigEndian(std::uint64_t value, std::size_t bytes)
{
  std::string text;
  for (std::size_t i = bytes; i-- > 0;)
    text += static_cast<char>(value >> (8 * i));
  return text;
}

/// The entry of a worker that is gone stays in the store for so long.
constexpr Duration staleEntryTime = milliseconds(4500);
constexpr double slowestClock = 0.98;
constexpr int maxStopMs = 50;
constexpr std::size_t tracedOrders = 60;

std::int64_t
systemMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::int64_t
clockMs()
{
  return std::chrono::duration_cast<milliseconds>(
           steadyNow().time_since_epoch())
    .count();
}

const char*
reasonOf(OrderFailure failure)
{
  switch (failure) {
    case OrderFailure::Fenced:
      return "fence";
    case OrderFailure::StaleRun:
      return "old";
    case OrderFailure::Late:
      return "late";
    default:
      return "room";
  }
}

HttpReply
orderReply(const OrderAnswer& answer, std::int64_t clock)
{
  if (!answer)
    return HttpReply::json(200, json{ { "clock_ms", clock } }.dump());
  return HttpReply::json(
    409, json{ { "clock_ms", clock }, { "reason", reasonOf(*answer) } }.dump());
}

/// How many runs of a task are in progress there.
std::size_t
runsOf(const std::string& task, const FakeWorker& worker)
{
  if (!worker.isTaskRunning(task))
    return 0;
  const std::vector<RunKey> runs = worker.runs();
  return static_cast<std::size_t>(
    std::count_if(runs.begin(), runs.end(), [&](const RunKey& key) {
      return key.task() == task;
    }));
}

/// A page of the newest records has at most this many, or bytes.
constexpr std::size_t maxPageRecords = 500;
constexpr std::size_t maxPageBytes = 1'000'000;
/// A response with appended records ends with the record that exceeds this.
constexpr std::size_t maxReadBytes = std::size_t(1) << 20;

std::string
configuration()
{
  return R"({"version":3,"routes":[{"name":"r1","host":"jobs.example",
    "path_prefix":"/jobs/","timeout_ms":1500,"target_duration_ms":60,
    "priority":0,"backend":"booking","max_attempts":3,"stretch":1.6}],
    "backends":[]})";
}

} // namespace

LeasedPlatform::LeasedPlatform(boost::asio::io_context& context,
                               const Settings& settings,
                               std::uint64_t seed)
  : m_context(context)
  , m_settings(settings)
  , m_random(seed)
  , m_timer(context)
  , m_startBound(settings.zones,
                 std::size_t(settings.zones) * settings.workersPerZone)
{
  m_store = std::make_unique<AsyncHttpServer>(
    context,
    AsyncHttpServer::Settings(),
    [this](const HttpRequest& request, const Transaction& transaction) {
      serveStore(request, transaction);
    });
  if (const auto problem =
        m_store->listen(Address("127.0.0.1", settings.storePort)))
    throw std::runtime_error(problem->detail());
  put("keyed.op", "config", configuration());
  for (unsigned i = 0; i < settings.zones * settings.workersPerZone; ++i) {
    m_workers.emplace_back();
    Worker& worker = m_workers.back();
    worker.zone = "z" + std::to_string(i % settings.zones);
    worker.cpu = i % 3 == 2 ? 24000 : 16000;
    worker.address = Address(
      "127.0.0.1", static_cast<std::uint16_t>(settings.firstWorkerPort + i));
    worker.server = std::make_unique<AsyncHttpServer>(
      context,
      AsyncHttpServer::Settings(),
      [this, i](const HttpRequest& request, const Transaction& transaction) {
        serveWorker(i, request, transaction);
      });
    if (const auto problem = worker.server->listen(worker.address))
      throw std::runtime_error(problem->detail());
    crashWorker(i);
  }
  tickLater();
}

void
LeasedPlatform::lapseEntries(double share)
{
  for (const Worker& worker : m_workers) {
    if (chance() < share)
      put("keyed.servers", worker.id, "");
  }
}

void
LeasedPlatform::forgetEntry(std::size_t index, Duration time)
{
  const Worker& worker = m_workers[index];
  put("keyed.servers", worker.id, "");
  afterInLife(
    worker, time, [this](const Worker& same) { publishWorker(same); });
}

void
LeasedPlatform::crashWorker(std::size_t index)
{
  Worker& worker = m_workers[index];
  if (!worker.id.empty() && m_settings.reportsBirths)
    put("keyed.servers", worker.id, "");
  if (!worker.id.empty() && !m_settings.reportsBirths)
    after(staleEntryTime,
          [this, id = worker.id] { put("keyed.servers", id, ""); });
  worker.id = "w" + std::to_string(++m_lastWorker);
  beginLife(worker);
}

void
LeasedPlatform::restartWorker(std::size_t index)
{
  if (m_settings.reportsBirths)
    beginLife(m_workers[index]);
  else
    crashWorker(index);
}

/// The worker's clock, its count of ends and its tokens begin anew.
void
LeasedPlatform::beginLife(Worker& worker)
{
  ++worker.life;
  worker.token = 0;
  worker.bornMs = firstBirthMs + clockMs();
  const double clockRate =
    m_settings.reportsBirths ? 1 : 1 - (1 - slowestClock) * chance();
  worker.fake = std::make_unique<FakeWorker>(
    -clockMs(), WorkerBootTime(worker.bornMs), clockRate);
  worker.fake->setOnEnd([this, id = worker.id](const RunKey& key, RunEnd end) {
    noteEnd(id, key, end);
  });
  noteOrder(worker, "life " + std::to_string(worker.life) + " as " + worker.id);
  worker.sizes.clear();
  worker.holds.clear();
  publishWorker(worker);
}

void
LeasedPlatform::refused(const std::string& job)
{
  m_refused.insert(job);
  if (m_started.count(job) > 0)
    m_violations.push_back("refused though it had run: " + job);
}

void
LeasedPlatform::tickLater()
{
  m_timer.expires_after(tickInterval);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    tick();
    tickLater();
  });
}

void
LeasedPlatform::tick()
{
  const TimePoint now = steadyNow();
  answerReads(now);
  static thread_local int ticks = 0;
  const bool isBeat = ++ticks % beatEveryTicks == 0;
  for (Worker& worker : m_workers) {
    worker.fake->expireLease(now);
    answerHolds(worker, now);
    if (isBeat && m_isRenewing)
      publishWorker(worker);
  }
}

void
LeasedPlatform::serveStore(const HttpRequest& request,
                           const Transaction& transaction)
{
  if (m_storeDelay > Duration::zero())
    after(m_storeDelay,
          [this, request, transaction] { answerStore(request, transaction); });
  else
    answerStore(request, transaction);
}

void
LeasedPlatform::answerStore(const HttpRequest& request,
                            const Transaction& transaction)
{
  if (m_isStoreDown)
    transaction->answer(HttpReply::json(503, "{}"));
  else if (request.path() == "/v1/log-newest")
    newest(request, transaction);
  else if (request.path() == "/v1/log-read")
    read(request, transaction);
  else if (request.path() == "/v1/log-append")
    append(request, transaction);
  else
    transaction->answer(HttpReply::json(404, "{}"));
}

void
LeasedPlatform::newest(const HttpRequest& request,
                       const Transaction& transaction)
{
  const Topic& topic = m_topics[*request.queryParameter("topic")];
  std::map<std::string, std::string> newest;
  for (const auto& [key, value] : topic.records) {
    if (value.empty())
      newest.erase(key);
    else
      newest[key] = value;
  }
  json items = json::array();
  std::size_t bytes = 0;
  auto record =
    newest.upper_bound(request.queryParameter("after").value_or(""));
  for (; record != newest.end(); ++record) {
    const auto& [key, value] = *record;
    bytes += value.size();
    if (items.size() >= maxPageRecords ||
        (bytes > maxPageBytes && !items.empty()))
      break;
    items.push_back(
      { { "key", key }, { "value", base64(value) }, { "offset", 0 } });
  }
  const json page = { { "items", std::move(items) },
                      { "has_more", record != newest.end() },
                      { "end", topic.records.size() } };
  transaction->answer(HttpReply::json(
    200, page.dump(-1, ' ', false, json::error_handler_t::replace)));
}

void
LeasedPlatform::read(const HttpRequest& request, const Transaction& transaction)
{
  WaitingRead read;
  read.topic = *request.queryParameter("topic");
  read.from = std::stoull(*request.queryParameter("from"));
  read.until =
    steadyNow() +
    milliseconds(std::stoi(request.queryParameter("wait_ms").value_or("0")));
  read.transaction = transaction;
  m_reads.push_back(read);
}

void
LeasedPlatform::append(const HttpRequest& request,
                       const Transaction& transaction)
{
  const std::string& body = request.body();
  const auto length = boost::endian::load_big_u32(
    reinterpret_cast<const unsigned char*>(body.data()));
  const std::string content = body.substr(4, length);
  const auto keyLength = static_cast<unsigned char>(content[0]);
  put(*request.queryParameter("topic"),
      content.substr(1, keyLength),
      content.substr(1 + keyLength));
  transaction->answer(HttpReply::json(200, R"({"offset":0,"end":1})"));
}

void
LeasedPlatform::put(const std::string& topic,
                    const std::string& key,
                    const std::string& value)
{
  m_topics[topic].records.emplace_back(key, value);
}

void
LeasedPlatform::answerReads(TimePoint now)
{
  std::vector<WaitingRead> waiting;
  for (const WaitingRead& read : std::exchange(m_reads, {})) {
    const auto& records = m_topics[read.topic].records;
    if (records.size() <= read.from && now < read.until) {
      waiting.push_back(read);
      continue;
    }
    HttpReply::Fields reply;
    reply.contentType = "application/octet-stream";
    reply.body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = read.from;
         i < records.size() && reply.body.size() < maxReadBytes;
         ++i) {
      const auto& [key, value] = records[i];
      reply.body += bigEndian(1 + key.size() + value.size(), 4);
      reply.body += static_cast<char>(key.size());
      reply.body += key;
      reply.body += value;
    }
    read.transaction->answer(HttpReply(reply));
  }
  m_reads.insert(m_reads.end(), waiting.begin(), waiting.end());
}

void
LeasedPlatform::serveWorker(std::size_t index,
                            const HttpRequest& request,
                            const Transaction& transaction)
{
  if (request.path() == "/v1/run-start")
    checkArrival(m_workers[index], request);
  double fate = chance();
  const auto isFate = [&fate](double share) {
    const bool isThis = fate < share;
    fate -= share;
    return isThis;
  };
  if (isFate(m_faults.lost)) {
    noteOrder(m_workers[index], "lost " + request.path());
  } else if (isFate(m_faults.late)) {
    const Duration range = m_faults.maxDelay - m_faults.minDelay;
    const Duration delay =
      m_faults.minDelay + milliseconds(m_random() % static_cast<std::uint64_t>(
                                                      range / milliseconds(1)));
    after(delay,
          [this, index, request] { carryOut(index, request, nullptr, true); });
  } else if (isFate(m_faults.unanswered)) {
    carryOut(index, request, nullptr);
  } else if (isFate(m_faults.unhealthy)) {
    noteOrder(m_workers[index], "503 to " + request.path());
    transaction->answer(HttpReply::json(503, "{}"));
  } else {
    carryOut(index, request, transaction);
  }
}

void
LeasedPlatform::carryOut(std::size_t index,
                         const HttpRequest& request,
                         const Transaction& transaction,
                         bool isLate)
{
  Worker& worker = m_workers[index];
  noteOrder(worker,
            request.path() + ' ' + request.body() + (isLate ? " late" : "") +
              (transaction ? "" : " unanswered"));
  if (request.header("X-Cowslippin-Target-Instance") != worker.id) {
    noteOrder(worker, "421, for another id");
    if (transaction)
      transaction->answer(HttpReply::json(421, "{}"));
    return;
  }
  if (request.path() == "/v1/hold") {
    hold(worker, request, transaction);
    return;
  }
  if (request.path() == "/v1/run-start") {
    start(worker, request, transaction, isLate);
    return;
  }
  stop(worker, request, transaction);
}

void
LeasedPlatform::stop(Worker& worker,
                     const HttpRequest& request,
                     const Transaction& transaction)
{
  const json body = json::parse(request.body());
  const StopOrder order{ body.at("fencing_token").get<FencingToken>(),
                         RunKey(body.at("task"), body.at("run")) };
  for (RunTrace& run : m_runs[order.key.task()]) {
    if (run.key == order.key && run.stopMs == 0)
      run.stopMs = systemMs();
  }
  const OrderAnswer answer = m_settings.reportsBirths
                               ? worker.fake->stop(order, steadyNow())
                               : worker.fake->beginStop(order, steadyNow());
  if (transaction)
    transaction->answer(orderReply(answer, worker.fake->clockMs(steadyNow())));
  if (answer || !worker.fake->isRunning(order.key))
    return;
  afterInLife(worker,
              milliseconds(m_random() % maxStopMs),
              [this, key = order.key](Worker& same) {
                if (same.fake->isRunning(key))
                  same.fake->end(key, RunEnd::Stopped);
                answerHolds(same, steadyNow());
              });
}

void
LeasedPlatform::hold(Worker& worker,
                     const HttpRequest& request,
                     const Transaction& transaction)
{
  const json body = json::parse(request.body());
  WaitingHold hold;
  hold.order.token = body.at("fencing_token").get<FencingToken>();
  noteToken(worker, hold.order.token);
  hold.order.acknowledgedEnd = body.at("ack_cursor").get<std::uint64_t>();
  if (body.contains("deadline_ms"))
    hold.order.deadlineMs = body.at("deadline_ms").get<std::int64_t>();
  hold.order.maxWait = milliseconds(body.value("wait_ms", 0));
  hold.until = steadyNow() + hold.order.maxWait;
  hold.transaction = transaction;
  if (!transaction) {
    worker.fake->hold(hold.order, steadyNow());
    return;
  }
  worker.holds.push_back(hold);
  answerHolds(worker, steadyNow());
}

void
LeasedPlatform::start(Worker& worker,
                      const HttpRequest& request,
                      const Transaction& transaction,
                      bool isLate)
{
  const json body = json::parse(request.body());
  const StartOrder order{ body.at("fencing_token").get<FencingToken>(),
                          RunKey(body.at("task"), body.at("run")),
                          body.at("spec"),
                          body.at("deadline_ms").get<std::int64_t>() };
  noteToken(worker, order.token);
  if (const OrderAnswer refusal = worker.fake->accept(order, steadyNow())) {
    if (refusal == OrderFailure::StaleRun)
      m_startBound.refusedAsStale(order.key.task());
    answerStart(worker, refusal, transaction);
    return;
  }
  if (m_settings.maxListingDelay == Duration::zero()) {
    list(worker, order, transaction, isLate);
    return;
  }
  afterInLife(worker,
              chooseListingDelay(),
              [this, order, transaction, isLate](Worker& same) {
                same.fake->expireLease(steadyNow());
                noteOrder(same,
                          "lists " + order.key.task() + ' ' +
                            std::to_string(order.key.run()));
                list(same, order, transaction, isLate);
              });
}

void
LeasedPlatform::list(Worker& worker,
                     const StartOrder& order,
                     const Transaction& transaction,
                     bool isLate)
{
  const RunKey& key = order.key;
  const bool wasRunning = worker.fake->isRunning(key);
  if (!wasRunning && worker.fake->isStale(key)) {
    m_startBound.refusedAsStale(key.task());
    answerStart(worker, OrderFailure::StaleRun, transaction);
    return;
  }
  worker.fake->list(key);
  answerStart(worker, std::nullopt, transaction);
  if (wasRunning)
    return;
  m_runs[key.task()].push_back(
    { key, order.token, worker.id, isLate, systemMs() });
  ++m_starts;
  m_startBound.began(key.task());
  // The specification of a task is its run time and its size.
  const std::string& spec = order.spec;
  worker.sizes[key] = std::stoll(spec.substr(spec.find(',') + 1));
  check(worker, key);
  afterInLife(worker, milliseconds(std::stoi(spec)), [this, key](Worker& same) {
    same.fake->expireLease(steadyNow());
    if (same.fake->isRunning(key))
      same.fake->end(key, RunEnd::Done);
    answerHolds(same, steadyNow());
  });
}

void
LeasedPlatform::answerStart(Worker& worker,
                            const OrderAnswer& answer,
                            const Transaction& transaction)
{
  if (answer)
    noteOrder(worker, std::string("refused: ") + reasonOf(*answer));
  if (transaction)
    transaction->answer(orderReply(answer, worker.fake->clockMs(steadyNow())));
}

Duration
LeasedPlatform::chooseListingDelay()
{
  return Duration(std::uniform_int_distribution<Duration::rep>(
    0, m_settings.maxListingDelay.count())(m_random));
}

void
LeasedPlatform::afterInLife(const Worker& worker,
                            Duration delay,
                            const std::function<void(Worker&)>& action)
{
  after(delay, [this, id = worker.id, life = worker.life, action] {
    for (Worker& candidate : m_workers) {
      if (candidate.id == id && candidate.life == life)
        action(candidate);
    }
  });
}

void
LeasedPlatform::answerHolds(Worker& worker, TimePoint now)
{
  for (const WaitingHold& hold : std::exchange(worker.holds, {}))
    answerHold(worker, hold, now);
}

void
LeasedPlatform::answerHold(Worker& worker,
                           const WaitingHold& hold,
                           TimePoint now)
{
  const LeaseOrderAnswer answer = worker.fake->hold(hold.order, now);
  if (const auto* failure = std::get_if<OrderFailure>(&answer)) {
    hold.transaction->answer(orderReply(*failure, worker.fake->clockMs(now)));
    return;
  }
  const auto& report = std::get<WorkerReport>(answer);
  if (report.ended.empty() && now < hold.until) {
    worker.holds.push_back(hold);
    return;
  }
  json running = json::array();
  for (const ActiveRun& run : report.active)
    running.push_back(
      json::array({ run.key.task(), run.key.run(), "", run.percent }));
  json finished = json::array();
  for (const EndedRun& run : report.ended)
    finished.push_back(json::array(
      { run.sequence, run.key.task(), run.key.run(), toString(run.end), "" }));
  json reply{ { "clock_ms", report.clockMs },
              { "running", std::move(running) },
              { "finished", std::move(finished) } };
  if (m_settings.reportsBirths)
    reply["born"] = worker.bornMs;
  hold.transaction->answer(HttpReply::json(200, reply.dump()));
}

void
LeasedPlatform::noteToken(Worker& worker, FencingToken token)
{
  if (token <= worker.token)
    return;
  worker.token = token;
  m_startBound.claimed(static_cast<std::size_t>(&worker - m_workers.data()));
}

void
LeasedPlatform::checkArrival(const Worker& worker, const HttpRequest& request)
{
  const json body = json::parse(request.body());
  const RunKey key(body.at("task"), body.at("run"));
  if (const auto problem = m_startBound.arrived(key, steadyNow()))
    violated(*problem, worker, { key.task() });
}

void
LeasedPlatform::check(const Worker& worker, const RunKey& started)
{
  std::int64_t used = 0;
  std::set<std::string> tasks;
  for (const RunKey& key : worker.fake->runs()) {
    used += worker.sizes.at(key);
    tasks.insert(key.task());
  }
  if (used > worker.cpu)
    violated("over capacity: " + worker.id, worker, tasks);
  std::size_t runs = 0;
  for (const Worker& other : m_workers) {
    other.fake->expireLease(steadyNow());
    runs += runsOf(started.task(), *other.fake);
  }
  if (runs > 1) {
    ++m_doubleRuns;
    violated("two runs of " + started.task(), worker, { started.task() });
  }
  const std::string job = started.task().substr(0, started.task().find('.'));
  m_started.insert(job);
  if (m_refused.count(job) > 0)
    m_violations.push_back("a start of the refused " + job);
}

void
LeasedPlatform::violated(const std::string& what,
                         const Worker& worker,
                         const std::set<std::string>& tasks)
{
  m_violations.push_back(what);
  m_traces.push_back({ what, systemMs(), tasks, worker.orders });
}

void
LeasedPlatform::noteOrder(Worker& worker, const std::string& order)
{
  worker.orders.push_back(std::to_string(systemMs()) + ' ' + order);
  if (worker.orders.size() > tracedOrders)
    worker.orders.pop_front();
}

void
LeasedPlatform::noteEnd(const std::string& worker,
                        const RunKey& key,
                        RunEnd end)
{
  for (RunTrace& run : m_runs[key.task()]) {
    if (run.key == key && run.worker == worker && run.endMs == 0) {
      run.endMs = systemMs();
      run.end = end;
    }
  }
}

std::string
LeasedPlatform::describe(const RunTrace& run) const
{
  const auto timeOf = [](std::int64_t ms) {
    return ms == 0 ? "-" : std::to_string(ms);
  };
  std::string text = "run " + run.key.task() + ' ' +
                     std::to_string(run.key.run()) + " on " + run.worker +
                     ", token " + std::to_string(run.token);
  if (m_settings.describeStart)
    text += m_settings.describeStart(run.token, run.key);
  text += std::string(", late ") + (run.isLate ? "true" : "false") +
          ", start " + timeOf(run.startMs) + ", stop " + timeOf(run.stopMs) +
          ", end " + timeOf(run.endMs);
  return run.endMs == 0 ? text : text + ' ' + toString(run.end);
}

std::vector<std::string>
LeasedPlatform::traces() const
{
  std::vector<std::string> lines;
  for (const ViolationTrace& trace : m_traces) {
    lines.push_back(std::to_string(trace.timeMs) + ' ' + trace.violation);
    for (const std::string& task : trace.tasks) {
      const auto runs = m_runs.find(task);
      if (runs == m_runs.end())
        continue;
      for (const RunTrace& run : runs->second)
        lines.push_back("  " + describe(run));
    }
    for (const std::string& order : trace.orders)
      lines.push_back("  order " + order);
  }
  return lines;
}

void
LeasedPlatform::after(Duration delay, const std::function<void()>& action)
{
  const auto timer =
    std::make_shared<boost::asio::steady_timer>(m_context, delay);
  timer->async_wait([timer, action](boost::system::error_code error) {
    if (!error)
      action();
  });
}

void
LeasedPlatform::publishWorker(const Worker& worker)
{
  json entry{
    { "backend", "booking" },
    { "address",
      Address(m_settings.listedWorkerHost, worker.address.port()).toString() },
    { "zone", worker.zone },
    { "state", "ready" },
    { "capacity", { { "cpu", worker.cpu }, { "mem_mb", 32768 } } },
    { "labels", { "a" } }
  };
  if (m_settings.reportsBirths)
    entry["born"] = worker.bornMs;
  put("keyed.servers", worker.id, entry.dump());
}

} // namespace cowslippin::testing
