#include "configexchange.h"

#include "libjson/json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslippin {

namespace {

/// How long a configuration may take from a peer before another one is asked: 1
/// MB passes a link of 25 Mbit/s in 0.3 s.
constexpr Duration transferTime = std::chrono::seconds(2);

} // namespace

ConfigExchange::ConfigExchange(ConfigService& config, Send send, Clock clock)
  : m_config(config)
  , m_send(std::move(send))
  , m_clock(std::move(clock))
{
}

void
ConfigExchange::peerHas(const VmId& vm, Offset offset)
{
  if (!mayAsk(vm, offset)) {
    return;
  }
  ConfigRequest::Fields fields;
  fields.haveOffset = m_config.current()->offset();
  if (!m_send(vm, ConfigRequest(fields))) {
    answered();
  }
}

bool
ConfigExchange::mayAsk(const VmId& vm, Offset offset)
{
  const Offset mine = m_config.current()->offset();
  const TimePoint now = m_clock();
  const std::lock_guard lock(m_mutex);
  const Offset before = std::exchange(m_lastOffsets[vm], offset);
  const bool stillBehind = before > mine;
  const bool knowsNothing = offset > 0 && !m_config.isLoaded();
  if (!stillBehind && !knowsNothing) {
    return false;
  }
  if (m_askedAt && now - *m_askedAt < transferTime) {
    return false;
  }
  m_askedAt = now;
  return true;
}

void
ConfigExchange::answered()
{
  const std::lock_guard lock(m_mutex);
  m_askedAt.reset();
}

void
ConfigExchange::requested(const VmId& vm, const ConfigRequest& request)
{
  const auto current = m_config.current();
  if (current->offset() <= request.haveOffset()) {
    return;
  }
  ConfigTransfer::Fields fields;
  fields.offset = current->offset();
  fields.body = writeJson(current->toJson());
  m_send(vm, ConfigTransfer(std::move(fields)));
}

void
ConfigExchange::transferred(const ConfigTransfer& transfer)
{
  m_config.takeOver(transfer.body());
  answered();
}

} // namespace cowslippin
