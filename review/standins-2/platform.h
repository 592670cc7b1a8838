// Stand-ins of the second review: the platform's store, minions, callers, the
// load balancer's readiness checks, and the processes of the daemons. They
// follow the users' pages and run on one thread, on loopback addresses.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace net = boost::asio;
namespace http = boost::beast::http;
using net::ip::tcp;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using boost::system::error_code;

inline const Clock::time_point processStart = Clock::now();

inline std::int64_t
nowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               processStart)
    .count();
}

// What was sent, answered and run, one line each, with the time in
// milliseconds since the start of the case.
class Record
{
public:
  explicit Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
  {
  }
  ~Record() { std::fclose(m_file); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
  {
    std::fprintf(m_file, "%8lld ", static_cast<long long>(nowMs()));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

private:
  std::FILE* m_file;
};

struct Reply
{
  int status = 200;
  std::string body = "{}";
  std::string type = "application/json";
};

using Responder = std::function<void(const Reply&)>;
using Request = http::request<http::string_body>;
using Handler = std::function<void(const Request&, const Responder&)>;

// An HTTP/1.1 server whose answers may come later.
class Server
{
public:
  Server(net::io_context& context,
         const std::string& host,
         std::uint16_t port,
         Handler handler)
    : m_acceptor(context)
    , m_handler(std::move(handler))
  {
    const tcp::endpoint endpoint(net::ip::make_address(host), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(256);
    accept();
  }

  std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
  struct Session : std::enable_shared_from_this<Session>
  {
    Session(tcp::socket from, Handler& serve)
      : socket(std::move(from))
      , handler(serve)
    {
    }
    void read()
    {
      request = {};
      http::async_read(
        socket,
        buffer,
        request,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error)
            self->serve();
        });
    }
    void serve()
    {
      handler(request, [self = shared_from_this()](const Reply& reply) {
        auto response = std::make_shared<http::response<http::string_body>>(
          static_cast<http::status>(reply.status), 11);
        response->set(http::field::content_type, reply.type);
        response->body() = reply.body;
        response->prepare_payload();
        http::async_write(self->socket,
                          *response,
                          [self, response](error_code error, std::size_t) {
                            if (!error)
                              self->read();
                          });
      });
    }
    tcp::socket socket;
    Handler& handler;
    boost::beast::flat_buffer buffer;
    Request request;
  };

  void accept()
  {
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (!error) {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Session>(std::move(socket), m_handler)->read();
      }
      accept();
    });
  }

  tcp::acceptor m_acceptor;
  Handler m_handler;
};

inline void
after(net::io_context& context, int delayMs, std::function<void()> what)
{
  auto timer = std::make_shared<net::steady_timer>(
    context, std::chrono::milliseconds(delayMs));
  timer->async_wait([timer, what = std::move(what)](error_code error) {
    if (!error)
      what();
  });
}

// The value of a parameter of the query, without percent encoding.
inline std::string
queryValue(const std::string& target, const std::string& name)
{
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = std::min(target.find('&', at + 1), target.size());
    const std::string item = target.substr(at + 1, end - at - 1);
    if (item.rfind(name + '=', 0) == 0) {
      std::string value;
      const std::string text = item.substr(name.size() + 1);
      for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
          value +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += text[i];
        }
      }
      return value;
    }
    at = end < target.size() ? end : std::string::npos;
  }
  return "";
}

inline std::string
base64(const std::string& bytes)
{
  static const char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k)
      value =
        value << 8 |
        (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k > bytes.size() ? '=' : digits[value >> (18 - 6 * k) & 63];
  }
  return text;
}

inline std::string
bigEndian(std::uint64_t value, int bytes)
{
  std::string text;
  for (int i = bytes - 1; i >= 0; --i)
    text += static_cast<char>(value >> (8 * i));
  return text;
}

// The platform's store in the form of a log: newest records, reads that wait,
// and appends. It forgets nothing.
class Store
{
public:
  static constexpr int answerMs = 4;

  Store(net::io_context& context, const std::string& host)
    : m_context(context)
    , m_server(context,
               host,
               0,
               [this](const Request& request, const Responder& respond) {
                 serve(request, respond);
               })
  {
    answerReads();
  }

  std::uint16_t port() const { return m_server.port(); }

  void put(const std::string& topic,
           const std::string& key,
           const std::string& value)
  {
    m_topics[topic].emplace_back(key, value);
    if (onAppend)
      onAppend(topic, key, value);
  }

  std::function<void(const std::string& topic,
                     const std::string& key,
                     const std::string& value)>
    onAppend;

private:
  struct WaitingRead
  {
    std::string topic;
    std::size_t from;
    Clock::time_point until;
    Responder respond;
  };

  void serve(const Request& request, const Responder& respond)
  {
    const std::string target(request.target());
    const std::string topic = queryValue(target, "topic");
    if (target.rfind("/v1/log-newest", 0) == 0) {
      answer(respond, newest(topic, queryValue(target, "after")));
    } else if (target.rfind("/v1/log-read", 0) == 0) {
      const std::string wait = queryValue(target, "wait_ms");
      m_reads.push_back({ topic,
                          std::stoul(queryValue(target, "from")),
                          Clock::now() + std::chrono::milliseconds(
                                           wait.empty() ? 0 : std::stoi(wait)),
                          respond });
    } else if (target.rfind("/v1/log-append", 0) == 0) {
      answer(respond, append(topic, request.body()));
    } else {
      answer(respond, { 404, "{}" });
    }
  }

  void answer(const Responder& respond, const Reply& reply)
  {
    after(m_context, answerMs, [respond, reply] { respond(reply); });
  }

  Reply newest(const std::string& topic, const std::string& afterKey)
  {
    const auto& records = m_topics[topic];
    std::map<std::string, std::pair<std::string, std::size_t>> latest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      if (records[i].second.empty())
        latest.erase(records[i].first);
      else
        latest[records[i].first] = { records[i].second, i };
    }
    json items = json::array();
    auto item = latest.upper_bound(afterKey);
    for (; item != latest.end() && items.size() < 500; ++item)
      items.push_back({ { "key", item->first },
                        { "value", base64(item->second.first) },
                        { "offset", item->second.second } });
    return { 200,
             json{ { "items", items },
                   { "has_more", item != latest.end() },
                   { "end", records.size() } }
               .dump() };
  }

  Reply append(const std::string& topic, const std::string& body)
  {
    const std::size_t first = m_topics[topic].size();
    std::size_t at = 0;
    while (at + 4 < body.size()) {
      std::size_t length = 0;
      for (int i = 0; i < 4; ++i)
        length = length << 8 | static_cast<unsigned char>(body[at + i]);
      const std::string content = body.substr(at + 4, length);
      const auto keyLength = static_cast<unsigned char>(content[0]);
      put(topic, content.substr(1, keyLength), content.substr(1 + keyLength));
      at += 4 + length;
    }
    return {
      200, json{ { "offset", first }, { "end", m_topics[topic].size() } }.dump()
    };
  }

  void answerReads()
  {
    std::vector<WaitingRead> waiting;
    for (WaitingRead& read : std::exchange(m_reads, {})) {
      const auto& records = m_topics[read.topic];
      if (records.size() <= read.from && Clock::now() < read.until) {
        waiting.push_back(std::move(read));
        continue;
      }
      std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
      for (std::size_t i = read.from; i < records.size(); ++i) {
        const auto& [key, value] = records[i];
        body += bigEndian(1 + key.size() + value.size(), 4);
        body += static_cast<char>(key.size());
        body += key + value;
      }
      answer(read.respond, { 200, body, "application/octet-stream" });
    }
    m_reads.insert(m_reads.end(), waiting.begin(), waiting.end());
    after(m_context, 2, [this] { answerReads(); });
  }

  net::io_context& m_context;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>>
    m_topics;
  std::vector<WaitingRead> m_reads;
  Server m_server;
};

// What the minions have run, for the checks: the state of each task by name.
struct TaskHistory
{
  int starts = 0;
  int done = 0;
  std::set<std::string> runningOn;
};
using History = std::map<std::string, TaskHistory>;

// A minion that takes orders by request. A task's spec begins with the
// milliseconds that it takes.
class Minion
{
public:
  struct Settings
  {
    std::string id;
    std::string zone;
    std::string rack;
    std::string host;
    int cpu = 16000;
    int memoryMb = 32768;
    int beatMs = 1500;
  };

  Minion(net::io_context& context,
         Store& store,
         Record& record,
         History& history,
         Settings settings)
    : m_context(context)
    , m_store(store)
    , m_record(record)
    , m_history(history)
    , m_settings(std::move(settings))
    , m_server(context,
               m_settings.host,
               0,
               [this](const Request& request, const Responder& respond) {
                 serve(request, respond);
               })
  {
    beat();
    tick();
  }

private:
  struct Run
  {
    std::int64_t startedMs;
    std::int64_t endsMs;
  };
  using RunKey = std::pair<std::string, std::int64_t>;
  struct WaitingHold
  {
    std::int64_t until;
    std::int64_t cursor;
    Responder respond;
  };

  std::int64_t clock() const { return nowMs() + 100000; }

  void beat()
  {
    m_store.put(
      "keyed.servers",
      m_settings.id,
      json{
        { "backend", "booking" },
        { "address", m_settings.host + ':' + std::to_string(m_server.port()) },
        { "zone", m_settings.zone },
        { "version", "v1" },
        { "slots", 8 },
        { "state", "ready" },
        { "cold_remaining_ms", 0 },
        { "capacity",
          { { "cpu", m_settings.cpu },
            { "mem_mb", m_settings.memoryMb },
            { "gpu", 0 } } },
        { "labels", { "a", m_settings.rack } },
        { "clock_ms", clock() },
        { "seq", ++m_sequence } }
        .dump());
    after(m_context, m_settings.beatMs, [this] { beat(); });
  }

  void tick()
  {
    expire();
    for (WaitingHold& hold : std::exchange(m_holds, {})) {
      const bool hasEnd = !m_ends.empty() && m_ends.back()[0] > hold.cursor;
      if (hasEnd || nowMs() >= hold.until)
        hold.respond({ 200, report().dump() });
      else
        m_holds.push_back(std::move(hold));
    }
    after(m_context, 2, [this] { tick(); });
  }

  void expire()
  {
    std::vector<std::pair<RunKey, const char*>> over;
    for (const auto& [key, run] : m_runs) {
      if (nowMs() >= run.endsMs)
        over.emplace_back(key, "done");
      else if (clock() >= m_deadline)
        over.emplace_back(key, "lapsed");
    }
    for (const auto& [key, how] : over)
      end(key, how);
  }

  void end(const RunKey& key, const char* how)
  {
    m_runs.erase(key);
    m_last[key.first] = std::max(m_last[key.first], key.second);
    m_ends.push_back(
      json::array({ ++m_endNumber, key.first, key.second, how, "" }));
    TaskHistory& task = m_history[key.first];
    task.runningOn.erase(m_settings.id);
    task.done += std::string(how) == "done" ? 1 : 0;
    m_record.line("ended    %s run %lld on %s: %s",
                  key.first.c_str(),
                  static_cast<long long>(key.second),
                  m_settings.id.c_str(),
                  how);
  }

  json report() const
  {
    json running = json::array();
    for (const auto& [key, run] : m_runs) {
      const std::int64_t length =
        std::max<std::int64_t>(1, run.endsMs - run.startedMs);
      const std::int64_t percent =
        std::min<std::int64_t>(100, (nowMs() - run.startedMs) * 100 / length);
      running.push_back({ key.first, key.second, "", percent });
    }
    json finished = json::array();
    for (const json& row : m_ends) {
      if (finished.size() < 500)
        finished.push_back(row);
    }
    return { { "clock_ms", clock() },
             { "running", running },
             { "finished", finished } };
  }

  Reply conflict(const char* reason) const
  {
    return { 409,
             json{ { "clock_ms", clock() }, { "reason", reason } }.dump() };
  }

  Reply done() const { return { 200, json{ { "clock_ms", clock() } }.dump() }; }

  void extend(const json& body)
  {
    if (body.contains("deadline_ms"))
      m_deadline = std::max(
        m_deadline,
        std::min(body["deadline_ms"].get<std::int64_t>(), clock() + 1000));
  }

  void serve(const Request& request, const Responder& respond)
  {
    expire();
    const std::string target(request.target());
    const auto body = json::parse(request.body(), nullptr, false);
    if (request["X-Cowslippin-Target-Instance"] != m_settings.id) {
      respond({ 421, "{}" });
      return;
    }
    const auto token = body.value("fencing_token", std::int64_t(0));
    if (token < m_token) {
      respond(conflict("fence"));
      return;
    }
    m_token = token;
    if (target == "/v1/hold") {
      extend(body);
      const auto cursor = body.value("ack_cursor", std::int64_t(0));
      while (!m_ends.empty() && m_ends.front()[0] <= cursor)
        m_ends.erase(m_ends.begin());
      const auto wait = body.value("wait_ms", std::int64_t(0));
      if (wait > 0 && m_ends.empty())
        m_holds.push_back({ nowMs() + wait, cursor, respond });
      else
        respond({ 200, report().dump() });
      return;
    }
    const RunKey key(body.at("task").get<std::string>(),
                     body.at("run").get<std::int64_t>());
    respond(target == "/v1/run-start" ? start(key, body) : stop(key));
  }

  Reply start(const RunKey& key, const json& body)
  {
    extend(body);
    if (m_runs.count(key) > 0)
      return done();
    if (clock() >= body.at("deadline_ms").get<std::int64_t>())
      return conflict("late");
    const auto last = m_last.find(key.first);
    if (last != m_last.end() && key.second <= last->second)
      return conflict("old");
    const int workMs = std::stoi(body.at("spec").get<std::string>());
    m_runs[key] = { nowMs(), nowMs() + workMs };
    m_last[key.first] = key.second;
    TaskHistory& task = m_history[key.first];
    ++task.starts;
    m_record.line("started  %s run %lld on %s%s",
                  key.first.c_str(),
                  static_cast<long long>(key.second),
                  m_settings.id.c_str(),
                  task.runningOn.empty() ? "" : " WHILE IT RUNS ELSEWHERE");
    task.runningOn.insert(m_settings.id);
    return done();
  }

  Reply stop(const RunKey& key)
  {
    if (m_runs.count(key) > 0)
      end(key, "stopped");
    m_last[key.first] = std::max(m_last[key.first], key.second);
    return done();
  }

  net::io_context& m_context;
  Store& m_store;
  Record& m_record;
  History& m_history;
  const Settings m_settings;
  std::map<RunKey, Run> m_runs;
  std::map<std::string, std::int64_t> m_last;
  std::vector<json> m_ends;
  std::vector<WaitingHold> m_holds;
  std::int64_t m_endNumber = 0;
  std::int64_t m_deadline = 0;
  std::int64_t m_token = 0;
  std::int64_t m_sequence = 0;
  Server m_server;
};

// One call over a connection of its own. The answer's status is 0 if the
// connection could not be made, and -1 if it ended without an answer.
struct Answer
{
  int status = 0;
  std::string body;
};

class Call : public std::enable_shared_from_this<Call>
{
public:
  static std::shared_ptr<Call> send(net::io_context& context,
                                    const std::string& host,
                                    std::uint16_t port,
                                    Request request,
                                    int timeoutMs,
                                    std::function<void(const Answer&)> done)
  {
    auto call = std::shared_ptr<Call>(
      new Call(context, std::move(request), std::move(done)));
    call->begin(host, port, timeoutMs);
    return call;
  }

private:
  Call(net::io_context& context,
       Request request,
       std::function<void(const Answer&)> done)
    : m_socket(context)
    , m_timer(context)
    , m_request(std::move(request))
    , m_done(std::move(done))
  {
  }

  void begin(const std::string& host, std::uint16_t port, int timeoutMs)
  {
    m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
    m_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error)
        self->finish({ -1, "timeout" });
    });
    m_socket.async_connect(tcp::endpoint(net::ip::make_address(host), port),
                           [self = shared_from_this()](error_code error) {
                             if (error) {
                               self->finish({ 0, error.message() });
                               return;
                             }
                             http::async_write(
                               self->m_socket,
                               self->m_request,
                               [self](error_code failed, std::size_t) {
                                 if (failed)
                                   self->finish({ -1, failed.message() });
                                 else
                                   self->read();
                               });
                           });
  }

  void read()
  {
    http::async_read(
      m_socket,
      m_buffer,
      m_response,
      [self = shared_from_this()](error_code error, std::size_t) {
        if (error)
          self->finish({ -1, error.message() });
        else
          self->finish({ static_cast<int>(self->m_response.result_int()),
                         self->m_response.body() });
      });
  }

  void finish(const Answer& answer)
  {
    const auto done = std::exchange(m_done, nullptr);
    error_code ignored;
    m_timer.cancel(ignored);
    m_socket.close(ignored);
    if (done)
      done(answer);
  }

  tcp::socket m_socket;
  net::steady_timer m_timer;
  Request m_request;
  boost::beast::flat_buffer m_buffer;
  http::response<http::string_body> m_response;
  std::function<void(const Answer&)> m_done;
};

// A daemon's machine: its address, its settings file, and its process, which is
// started as the deploy file says.
class Machine
{
public:
  static constexpr std::uint16_t operatorPort = 9464;

  Machine(net::io_context& context,
          Record& record,
          std::string folder,
          std::string name,
          std::string zone,
          std::string ip)
    : m_context(context)
    , m_record(record)
    , m_folder(std::move(folder))
    , name(std::move(name))
    , zone(std::move(zone))
    , ip(std::move(ip))
  {
  }
  ~Machine() { kill(); }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void start()
  {
    const std::string file = m_folder + '/' + name + ".json";
    std::ofstream(file) << settings.dump(1);
    const std::string log = m_folder + '/' + name + ".log";
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      for (int fd = 3; fd < 256; ++fd)
        ::close(fd);
      // The daemon ends with this process, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent)
        ::_exit(127);
      const std::string boot = "COWSLIPPIN_BOOT=" + file;
      const std::string path = std::string("PATH=") + std::getenv("PATH");
      std::string lang = "LANG=C.UTF-8";
      char* environment[] = { const_cast<char*>(boot.c_str()),
                              const_cast<char*>(path.c_str()),
                              lang.data(),
                              nullptr };
      ::execle("target/bin/cowslippind-platform",
               "target/bin/cowslippind-platform",
               "--operator-port",
               "9464",
               nullptr,
               environment);
      ::_exit(127);
    }
    m_record.line("process  %s started", name.c_str());
  }

  void signal(int number, const char* what)
  {
    if (m_pid <= 0)
      return;
    ::kill(m_pid, number);
    m_record.line("process  %s: %s", name.c_str(), what);
  }

  void kill()
  {
    if (m_pid <= 0)
      return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = 0;
    m_record.line("process  %s killed", name.c_str());
  }

  // Whether the process is there; records its end if it has ended by itself.
  bool isRunning()
  {
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_record.line(
        "process  %s ended by itself, status %d", name.c_str(), status);
      m_pid = 0;
    }
    return m_pid > 0;
  }

private:
  net::io_context& m_context;
  Record& m_record;
  const std::string m_folder;
  pid_t m_pid = 0;

public:
  const std::string name;
  const std::string zone;
  const std::string ip;
  json settings;
  std::uint16_t frontend = 0;
  std::uint16_t readiness = 0;
  bool isReady = false;
  int readinessStatus = 0;
};

// A port of an address that nothing listens on.
inline std::uint16_t
freePort(const std::string& host)
{
  net::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(net::ip::make_address(host), 0));
  return acceptor.local_endpoint().port();
}

// A small deployment: a store, some minions in each zone, and daemons.
class Deployment
{
public:
  Deployment(const std::string& recordFile, const std::string& folder)
    : record(recordFile)
    , m_folder(folder)
    , m_net("127." + std::to_string(40 + ::getpid() / 250 % 150) + '.' +
            std::to_string(1 + ::getpid() % 250) + '.')
    , store(context, m_net + "1")
    , m_peerPort(freePort(m_net + "1"))
    , m_frontend(freePort(m_net + "1"))
    , m_readiness(freePort(m_net + "1"))
  {
    store.put("keyed.op",
              "config",
              json{ { "version", 3 },
                    { "routes",
                      { { { "name", "confirm" },
                          { "host", "jobs.example" },
                          { "path_prefix", "/confirm/" },
                          { "timeout_ms", 1500 },
                          { "target_duration_ms", 60 },
                          { "priority", 0 },
                          { "backend", "booking" },
                          { "max_attempts", 3 },
                          { "stretch", 1.6 } } } },
                    { "backends", { { { "name", "booking" } } } },
                    { "limits", json::object() } }
                .dump());
  }

  void addMinions(const std::string& zone, int count)
  {
    for (int i = 0; i < count; ++i) {
      Minion::Settings settings;
      settings.id = "s" + std::to_string(1000 + 7 * ++m_minionCount);
      settings.zone = zone;
      settings.rack = "r-" + zone;
      settings.host = m_net + "2";
      minions.push_back(
        std::make_unique<Minion>(context, store, record, history, settings));
    }
  }

  Machine& addMachine(const std::string& name, const std::string& zone)
  {
    const std::string ip = m_net + std::to_string(10 + machines.size());
    auto machine =
      std::make_unique<Machine>(context, record, m_folder, name, zone, ip);
    machine->frontend = m_frontend;
    machine->readiness = m_readiness;
    machines.push_back(std::move(machine));
    m_zones[zone] = "region";
    return *machines.back();
  }

  // Writes the settings of all machines.
  void writeSettings()
  {
    json seeds = json::array();
    for (const auto& machine : machines) {
      if (seeds.size() < 3)
        seeds.push_back(machine->ip + ':' + std::to_string(m_peerPort + 40));
    }
    for (const auto& machine : machines)
      machine->settings = settingsOf(*machine, seeds);
  }

  // Checks the readiness of all machines every second, as the platform does.
  void checkReadiness()
  {
    for (const auto& machine : machines) {
      Request request(http::verb::get, "/v1/readyz", 11);
      request.set(http::field::host, machine->ip);
      Call::send(context,
                 machine->ip,
                 machine->readiness,
                 request,
                 900,
                 [this, at = machine.get()](const Answer& answer) {
                   const bool isReady = answer.status == 200;
                   if (answer.status != at->readinessStatus)
                     record.line(
                       "ready    %s: %d", at->name.c_str(), answer.status);
                   at->isReady = isReady;
                   at->readinessStatus = answer.status;
                 });
    }
    after(context, 1000, [this] { checkReadiness(); });
  }

  // Submits a job that need not be kept: tasks of `workMs` each.
  std::shared_ptr<Call> submit(const Machine& machine,
                               const std::string& id,
                               int tasks,
                               int workMs,
                               int deadlineMs,
                               std::function<void(const Answer&)> done)
  {
    const json job = { { "spec", std::to_string(workMs) + " " + id },
                       { "best_effort", true },
                       { "steps",
                         { { { "count", tasks },
                             { "cpu", 2000 },
                             { "mem_mb", 64 },
                             { "estimate_ms", workMs } } } } };
    Request request(http::verb::post, "/confirm/" + id, 11);
    request.set(http::field::host, "jobs.example");
    request.set(http::field::content_type, "application/json");
    request.set("X-Cowslippin-Request-Deadline-Ms", std::to_string(deadlineMs));
    request.body() = job.dump();
    request.prepare_payload();
    record.line("sent     %s to %s: %d tasks of %d ms",
                id.c_str(),
                machine.name.c_str(),
                tasks,
                workMs);
    return Call::send(context,
                      machine.ip,
                      machine.frontend,
                      request,
                      deadlineMs,
                      [this, id, to = machine.name, done = std::move(done)](
                        const Answer& answer) {
                        record.line("answered %s by %s: %d %s",
                                    id.c_str(),
                                    to.c_str(),
                                    answer.status,
                                    answer.body.c_str());
                        done(answer);
                      });
  }

  // How many of the first `tasks` tasks of a job have ended `done`.
  int doneTasks(const std::string& id, int tasks)
  {
    int count = 0;
    for (int i = 0; i < tasks; ++i)
      count += history[id + ".0.0." + std::to_string(i)].done > 0 ? 1 : 0;
    return count;
  }

  std::string newId()
  {
    char text[32];
    std::snprintf(text,
                  sizeof text,
                  "%08x%08x",
                  static_cast<unsigned>(::getpid()) * 2654435761U,
                  ++m_jobCount * 40503U);
    return text;
  }

  net::io_context context{ 1 };
  Record record;

private:
  json settingsOf(const Machine& machine, const json& seeds) const
  {
    const auto at = [&](std::uint16_t port) {
      return machine.ip + ':' + std::to_string(port);
    };
    return { { "node_name", machine.name },
             { "role", "entry" },
             { "machine_class", "edge" },
             { "serves", { "edge", "control_plane" } },
             { "ip", machine.ip },
             { "zone", machine.zone },
             { "region", "region" },
             { "internal_ports", { m_peerPort, m_peerPort + 15 } },
             { "seeds", seeds },
             { "bootstrap", true },
             { "counts_as_loss", false },
             { "discovery", "platform" },
             { "entry", "vip" },
             { "heartbeat_ms", 1500 },
             { "contracts",
               { "base",
                 "drain",
                 "config",
                 "cost",
                 "recover",
                 "sched",
                 "platform",
                 "advice",
                 "upkeep",
                 "sharing" } },
             { "control_mode", "request" },
             { "zones", m_zones },
             { "listen_addrs",
               { { "frontend", at(machine.frontend) },
                 { "readiness", at(machine.readiness) },
                 { "control", at(m_peerPort + 40) } } },
             { "limits",
               { { "cpu_share", 0.25 },
                 { "cores", 1 },
                 { "memory_mb", 260 },
                 { "max_fds", 4100 },
                 { "link_mbps", 1000.0 },
                 { "disk_mb", 0 } } },
             { "fault_tolerance",
               { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } },
             { "bounds",
               { { "seed_lag_s", 3 },
                 { "addr_reuse_s", 2 },
                 { "contact_ms", 3000 },
                 { "grace_s", 6 },
                 { "recovery_s", 12 },
                 { "max_hold_ms", 1000 },
                 { "stop_timeout_ms", 50 },
                 { "retransmit_ms", 1300 } } },
             { "platform",
               { { "address", m_net + "1:" + std::to_string(store.port()) },
                 { "form", "log" },
                 { "writes_per_s", 800 },
                 { "reads_per_s", 2000 },
                 { "parts", 12 } } } };
  }

  const std::string m_folder;
  const std::string m_net;

public:
  Store store;
  History history;
  std::vector<std::unique_ptr<Minion>> minions;
  std::vector<std::unique_ptr<Machine>> machines;

private:
  const std::uint16_t m_peerPort;
  const std::uint16_t m_frontend;
  const std::uint16_t m_readiness;
  json m_zones = json::object();
  int m_minionCount = 0;
  unsigned m_jobCount = 0;
};

// Ends the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
[[noreturn]] inline void
finish(Deployment& deployment, int verdict, const std::string& text)
{
  deployment.record.line("verdict  %d: %s", verdict, text.c_str());
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
  for (const auto& machine : deployment.machines)
    machine->kill();
  ::_exit(verdict);
}

} // namespace review
