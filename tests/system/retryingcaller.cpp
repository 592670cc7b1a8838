#include "retryingcaller.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace cowslippin::testing {

namespace {

constexpr int tasksPerJob = 3;
constexpr Duration pauseBetweenAttempts = std::chrono::milliseconds(20);
constexpr char target[] = "/v1/organisations/notaries/templates/";

nlohmann::json
parsed(const HttpAnswer& answer)
{
  return nlohmann::json::parse(answer.body, nullptr, false);
}

std::string
ranOf(const HttpAnswer& answer)
{
  const nlohmann::json json = parsed(answer);
  return json.is_object() ? json.value("ran", "") : "";
}

bool
mayBeRetried(const HttpAnswer& answer)
{
  return answer.status == 0 || ranOf(answer) == "not run" ||
         !answer.header("Retry-After").empty();
}

bool
echoes(const nlohmann::json& answer, const std::string& id)
{
  return answer.is_object() && answer.contains("echo") &&
         answer["echo"]["id"] == id;
}

std::string
payload(const std::string& id)
{
  return nlohmann::json{ { "id", id } }.dump();
}

} // namespace

RetryingCaller::RetryingCaller(const DaemonAddresses& addresses,
                               int number,
                               std::atomic<int>& answered)
  : m_addresses(addresses)
  , m_number(number)
  , m_answered(answered)
  , m_turn(static_cast<std::size_t>(number))
{
}

CallerTally
RetryingCaller::runUntil(const std::function<bool()>& isOver)
{
  while (!isOver()) {
    submitNext();
  }
  return m_tally;
}

void
RetryingCaller::submitNext()
{
  const std::string id =
    std::to_string(m_number) + "-" + std::to_string(++m_submitted);
  switch (m_submitted % 3) {
    case 0:
      return submitJob(id);
    case 1:
      return submitTicketed(id);
    default:
      return submitRepeatable(id);
  }
}

void
RetryingCaller::submitJob(const std::string& id)
{
  nlohmann::json tasks = nlohmann::json::array();
  for (int i = 0; i < tasksPerJob; ++i) {
    tasks.push_back({ { "id", id + "-" + std::to_string(i) } });
  }
  const std::string body = nlohmann::json{ { "tasks", tasks } }.dump();
  const HttpAnswer answer = retry([&](const Address& daemon) {
    return httpCall(daemon,
                    "POST",
                    std::string(target) + "confirm/jobs",
                    body,
                    { { "Idempotency-Key", id }, { "Prefer", "wait" } });
  });
  const nlohmann::json json = parsed(answer);
  bool isWhole = answer.status == 200 && json["answers"].size() == tasksPerJob;
  for (int i = 0; isWhole && i < tasksPerJob; ++i) {
    isWhole = echoes(json["answers"][static_cast<std::size_t>(i)],
                     id + "-" + std::to_string(i));
  }
  tally(id, tasksPerJob, isWhole, answer);
}

void
RetryingCaller::submitTicketed(const std::string& id)
{
  std::string ticket;
  const HttpAnswer answer = retry([&](const Address& daemon) {
    if (ticket.empty()) {
      HttpAnswer issued = httpCall(daemon, "POST", "/v1/tickets");
      if (issued.status != 200) {
        return issued;
      }
      ticket = parsed(issued)["tickets"][0];
    }
    HttpAnswer got = httpCall(daemon,
                              "POST",
                              std::string(target) + "confirm/requests",
                              payload(id),
                              { { "Idempotency-Key", ticket } });
    if (ranOf(got) == "not run") {
      ticket.clear();
    }
    return got;
  });
  tally(id, 1, answer.status == 200 && echoes(parsed(answer), id), answer);
}

void
RetryingCaller::submitRepeatable(const std::string& id)
{
  const HttpAnswer answer = retry([&](const Address& daemon) {
    return httpCall(
      daemon, "POST", std::string(target) + "look-up/requests", payload(id));
  });
  tally(id, 1, answer.status == 200 && echoes(parsed(answer), id), answer);
}

HttpAnswer
RetryingCaller::retry(const Attempt& attempt)
{
  const TimePoint until = steadyNow() + hangLimit;
  HttpAnswer answer = attempt(m_addresses.pick(m_turn));
  while (answer.status != 200 && mayBeRetried(answer) && steadyNow() < until) {
    std::this_thread::sleep_for(pauseBetweenAttempts);
    answer = attempt(m_addresses.pick(++m_turn));
  }
  ++m_turn;
  return answer;
}

void
RetryingCaller::tally(const std::string& id,
                      int tasks,
                      bool isWhole,
                      const HttpAnswer& answer)
{
  if (isWhole) {
    ++m_answered;
    m_tally.tasks += tasks;
  } else {
    m_tally.failures.push_back(id + ": " + std::to_string(answer.status) + " " +
                               answer.body);
  }
}

} // namespace cowslippin::testing
