#include "endpointexchange.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cowslippin {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using Answer = http::response<http::string_body>;

constexpr char ranHeader[] = "Cowslippin-Ran";
constexpr char slotsFreeHeader[] = "Cowslippin-Slots-Free";
constexpr unsigned httpVersion = 11;

http::request<http::string_body>
makeRequest(const EndpointCall& call)
{
  http::request<http::string_body> request(
    http::verb::post, call.path(), httpVersion, call.body());
  request.set(http::field::host, call.endpoint().address().toString());
  request.set(http::field::content_type, call.contentType());
  for (const HttpHeader& header : call.headers()) {
    request.set(header.name(), header.value());
  }
  request.prepare_payload();
  return request;
}

std::string
valueOf(const Answer& answer, const char* name)
{
  const auto value = answer[name];
  return std::string(value.data(), value.size());
}

std::optional<int>
slotsFreeOf(const Answer& answer)
{
  const std::string text = valueOf(answer, slotsFreeHeader);
  const char* last = text.data() + text.size();
  int slots = 0;
  const auto [end, error] = std::from_chars(text.data(), last, slots);
  const bool isNumber = error == std::errc() && end == last && slots >= 0;
  return isNumber ? std::optional<int>(slots) : std::nullopt;
}

CallOutcome
outcomeOf(const Answer& answer)
{
  if (answer.result() == http::status::ok) {
    return CallOutcome::Answered;
  }
  const bool saysNotRun =
    runStateFromString(valueOf(answer, ranHeader)) == RunState::NotRun;
  return answer.result() == http::status::service_unavailable && saysNotRun
           ? CallOutcome::ExplicitlyNotRun
           : CallOutcome::FailedStatus;
}

bool
isHttpError(error_code error)
{
  return error.category() ==
         http::make_error_code(http::error::partial_message).category();
}

} // namespace

EndpointExchange::EndpointExchange(const EndpointCall& call,
                                   std::shared_ptr<Connection> connection,
                                   const Settings& settings,
                                   Hooks hooks)
  : m_endpoint(call.endpoint())
  , m_timeout(call.timeout())
  , m_connection(std::move(connection))
  , m_settings(settings)
  , m_hooks(std::move(hooks))
  , m_timer(m_connection->strand())
  , m_request(makeRequest(call))
{
  m_answer.body_limit(m_settings.maxAnswerBytes);
}

void
EndpointExchange::start(TimePoint startedAt)
{
  m_startedAt = startedAt;
  boost::asio::dispatch(m_connection->strand(),
                        [self = shared_from_this()] { self->begin(); });
}

void
EndpointExchange::cancel()
{
  boost::asio::post(m_connection->strand(), [self = shared_from_this()] {
    if (self->isBeforeSending()) {
      self->endNotSent(NotSentReason::Cancelled,
                       "cancelled before it was sent");
    } else {
      self->endWithoutAnswer(CallOutcome::SentNoAnswer,
                             "cancelled after it was sent");
    }
  });
}

void
EndpointExchange::begin()
{
  if (m_phase == Phase::Ended) {
    return;
  }
  if (m_connection->socket().is_open()) {
    send();
  } else {
    connect();
  }
}

void
EndpointExchange::connect()
{
  m_phase = Phase::Connecting;
  armTimer();
  m_connection->connect(
    m_settings.silenceLimits,
    [self = shared_from_this()](error_code error) { self->connected(error); });
}

void
EndpointExchange::connected(error_code error)
{
  if (m_phase != Phase::Connecting) {
    return;
  }
  if (error) {
    endNotSent(NotSentReason::ConnectFailed, error.message());
    return;
  }
  send();
}

void
EndpointExchange::send()
{
  m_phase = Phase::Sending;
  m_nextProbe = steadyNow() + m_settings.silenceProbeAfter;
  armTimer();
  const auto handler = [self = shared_from_this()](error_code error,
                                                   std::size_t bytes) {
    self->sent(error, bytes);
  };
  http::async_write(m_connection->socket(), m_request, handler);
}

void
EndpointExchange::sent(error_code error, std::size_t bytes)
{
  if (m_phase != Phase::Sending) {
    return;
  }
  if (!error) {
    m_phase = Phase::Waiting;
    receive();
    return;
  }
  if (bytes == 0) {
    endNotSent(NotSentReason::ConnectionLost, error.message());
    return;
  }
  endWithoutAnswer(CallOutcome::SentNoAnswer, error.message());
}

void
EndpointExchange::receive()
{
  // Beast 1.74 misses that a body is over its limit when it parses the first
  // bytes of it along with the header.
  m_answer.eager(m_answer.is_header_done());
  const auto handler = [self = shared_from_this()](error_code error,
                                                   std::size_t) {
    self->received(error);
  };
  http::async_read_some(
    m_connection->socket(), m_connection->buffer(), m_answer, handler);
}

void
EndpointExchange::received(error_code error)
{
  if (m_phase != Phase::Waiting) {
    return;
  }
  if (error) {
    receiveFailed(error);
  } else if (m_answer.is_done()) {
    endWithAnswer();
  } else if (m_answer.need_eof()) {
    // Without a length the end of such an answer cannot be told from a cut.
    endWithoutAnswer(CallOutcome::InvalidAnswer, "the answer has no length");
  } else {
    receive();
  }
}

void
EndpointExchange::receiveFailed(error_code error)
{
  const bool isCutShort = m_answer.got_some();
  const bool isWrong =
    isHttpError(error) && error != http::error::end_of_stream;
  const bool isInvalid = isCutShort || isWrong;
  endWithoutAnswer(isInvalid ? CallOutcome::InvalidAnswer
                             : CallOutcome::SentNoAnswer,
                   error.message());
}

void
EndpointExchange::armTimer()
{
  m_timer.expires_at(nextTimeout());
  m_timer.async_wait([self = shared_from_this()](error_code error) {
    if (!error) {
      self->timedOut();
    }
  });
}

TimePoint
EndpointExchange::nextTimeout() const
{
  const TimePoint deadline = m_startedAt + m_timeout;
  if (m_phase == Phase::Connecting) {
    return std::min(deadline, steadyNow() + m_settings.connectTimeout);
  }
  return std::min(deadline, m_nextProbe);
}

void
EndpointExchange::timedOut()
{
  // A wait that was re-armed may still be told of its old time.
  if (m_phase == Phase::Ended || steadyNow() < m_timer.expiry()) {
    return;
  }
  if (m_phase == Phase::Connecting) {
    endNotSent(NotSentReason::ConnectTimeout, "no connection in time");
    return;
  }
  if (steadyNow() >= m_startedAt + m_timeout) {
    endWithoutAnswer(CallOutcome::SentNoAnswer, "no answer in time");
    return;
  }
  probe();
}

void
EndpointExchange::probe()
{
  m_nextProbe = steadyNow() + m_settings.silenceProbeAfter;
  armTimer();
  m_hooks.probe(m_endpoint, [self = shared_from_this()](ProbeResult result) {
    boost::asio::dispatch(self->m_connection->strand(),
                          [self, result] { self->probed(result); });
  });
}

void
EndpointExchange::probed(ProbeResult result)
{
  if (m_phase == Phase::Ended || result == ProbeResult::NotTried) {
    return;
  }
  m_endpointReachable = result == ProbeResult::Answered;
  if (result == ProbeResult::Unreachable) {
    endWithoutAnswer(CallOutcome::SentNoAnswer,
                     "no answer, and a new connection cannot be made");
  }
}

void
EndpointExchange::endWithAnswer()
{
  const Answer& answer = m_answer.get();
  CallEnd::Fields fields;
  fields.outcome = outcomeOf(answer);
  fields.status = static_cast<int>(answer.result_int());
  fields.contentType =
    valueOf(answer, http::to_string(http::field::content_type).data());
  fields.slotsFree = slotsFreeOf(answer);
  const bool isReusable =
    answer.keep_alive() && m_connection->buffer().size() == 0;
  fields.body = std::move(m_answer.get().body());
  end(std::move(fields), isReusable);
}

void
EndpointExchange::endNotSent(NotSentReason reason, const std::string& detail)
{
  CallEnd::Fields fields;
  fields.outcome = CallOutcome::NotSent;
  fields.notSentReason = reason;
  fields.detail = detail;
  end(std::move(fields), false);
}

void
EndpointExchange::endWithoutAnswer(CallOutcome outcome,
                                   const std::string& detail)
{
  CallEnd::Fields fields;
  fields.outcome = outcome;
  fields.detail = detail;
  end(std::move(fields), false);
}

void
EndpointExchange::end(CallEnd::Fields fields, bool isConnectionReusable)
{
  if (m_phase == Phase::Ended) {
    return;
  }
  m_phase = Phase::Ended;
  m_timer.cancel();
  fields.endpointReachable = m_endpointReachable;
  fields.elapsed = steadyNow() - m_startedAt;
  const Hooks hooks = std::move(m_hooks);
  hooks.ended(isConnectionReusable);
  hooks.done(CallEnd(std::move(fields)));
}

bool
EndpointExchange::isBeforeSending() const
{
  return m_phase == Phase::NotStarted || m_phase == Phase::Connecting;
}

} // namespace cowslippin
