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

/// A page of the newest records has at most this many, or bytes.
constexpr std::size_t maxPageRecords = 500;
constexpr std::size_t maxPageBytes = 1'000'000;

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
LeasedPlatform::setOrderFaults(double lost, double late)
{
  m_lost = lost;
  m_late = late;
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
LeasedPlatform::crashWorker(std::size_t index)
{
  Worker& worker = m_workers[index];
  if (!worker.id.empty())
    put("keyed.servers", worker.id, "");
  worker.id = "w" + std::to_string(++m_lastWorker);
  beginLife(worker);
}

void
LeasedPlatform::restartWorker(std::size_t index)
{
  beginLife(m_workers[index]);
}

/// The worker's clock, its count of ends and its tokens begin anew.
void
LeasedPlatform::beginLife(Worker& worker)
{
  ++worker.life;
  worker.bornMs = firstBirthMs + clockMs();
  worker.fake =
    std::make_unique<FakeWorker>(-clockMs(), WorkerBootTime(worker.bornMs));
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
    for (std::size_t i = read.from; i < records.size(); ++i) {
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
  const double fate = chance();
  if (fate < m_lost)
    return;
  if (fate < m_lost + m_late) {
    // Carried out seconds later and never answered.
    after(milliseconds(2000 + m_random() % 3000),
          [this, index, request] { carryOut(index, request, nullptr); });
    return;
  }
  carryOut(index, request, transaction);
}

void
LeasedPlatform::carryOut(std::size_t index,
                         const HttpRequest& request,
                         const Transaction& transaction)
{
  Worker& worker = m_workers[index];
  if (request.header("X-Cowslippin-Target-Instance") != worker.id) {
    if (transaction)
      transaction->answer(HttpReply::json(421, "{}"));
    return;
  }
  if (request.path() == "/v1/hold") {
    hold(worker, request, transaction);
    return;
  }
  if (request.path() == "/v1/run-start") {
    start(worker, request, transaction);
    return;
  }
  const json body = json::parse(request.body());
  const OrderAnswer answer =
    worker.fake->stop({ body.at("fencing_token").get<FencingToken>(),
                        RunKey(body.at("task"), body.at("run")) },
                      steadyNow());
  if (transaction)
    transaction->answer(orderReply(answer, clockMs()));
}

void
LeasedPlatform::hold(Worker& worker,
                     const HttpRequest& request,
                     const Transaction& transaction)
{
  const json body = json::parse(request.body());
  WaitingHold hold;
  hold.order.token = body.at("fencing_token").get<FencingToken>();
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
                      const Transaction& transaction)
{
  const json body = json::parse(request.body());
  const RunKey key(body.at("task"), body.at("run"));
  const bool wasRunning = worker.fake->isRunning(key);
  const OrderAnswer answer =
    worker.fake->start({ body.at("fencing_token").get<FencingToken>(),
                         key,
                         body.at("spec"),
                         body.at("deadline_ms").get<std::int64_t>() },
                       steadyNow());
  if (transaction)
    transaction->answer(orderReply(answer, clockMs()));
  if (answer || wasRunning)
    return;
  ++m_starts;
  // The specification of a task is its run time and its size.
  const std::string spec = body.at("spec");
  worker.sizes[key] = std::stoll(spec.substr(spec.find(',') + 1));
  check(worker, key);
  after(milliseconds(std::stoi(spec)),
        [this, id = worker.id, life = worker.life, key] {
          for (Worker& candidate : m_workers) {
            if (candidate.id != id || candidate.life != life)
              continue;
            candidate.fake->expireLease(steadyNow());
            if (candidate.fake->isRunning(key))
              candidate.fake->end(key, RunEnd::Done);
            answerHolds(candidate, steadyNow());
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
    hold.transaction->answer(orderReply(*failure, clockMs()));
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
  hold.transaction->answer(
    HttpReply::json(200,
                    json{ { "clock_ms", report.clockMs },
                          { "born", worker.bornMs },
                          { "running", std::move(running) },
                          { "finished", std::move(finished) } }
                      .dump()));
}

void
LeasedPlatform::check(const Worker& worker, const RunKey& started)
{
  std::int64_t used = 0;
  for (const RunKey& key : worker.fake->runs())
    used += worker.sizes.at(key);
  if (used > worker.cpu)
    m_violations.push_back("over capacity: " + worker.id);
  unsigned runs = 0;
  for (const Worker& other : m_workers) {
    other.fake->expireLease(steadyNow());
    runs += other.fake->isTaskRunning(started.task()) ? 1 : 0;
  }
  if (runs > 1) {
    ++m_doubleRuns;
    m_violations.push_back("two runs of " + started.task());
  }
  const std::string job = started.task().substr(0, started.task().find('.'));
  m_started.insert(job);
  if (m_refused.count(job) > 0)
    m_violations.push_back("a start of the refused " + job);
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
  put("keyed.servers",
      worker.id,
      json{ { "backend", "booking" },
            { "address",
              Address(m_settings.listedWorkerHost, worker.address.port())
                .toString() },
            { "zone", worker.zone },
            { "state", "ready" },
            { "capacity", { { "cpu", worker.cpu }, { "mem_mb", 32768 } } },
            { "labels", { "a" } },
            { "born", worker.bornMs } }
        .dump());
}

} // namespace cowslippin::testing
