#include "configexchange.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cowslippin {

ConfigExchange::ConfigExchange(ConfigService& config, Send send, Clock clock)
  : m_config(config)
  , m_send(std::move(send))
  , m_clock(std::move(clock))
{
}

void
ConfigExchange::peerHas(const VmId& vm, Offset offset)
{
  const Offset mine = m_config.current()->offset();
  Offset before = 0;
  {
    const std::lock_guard lock(m_mutex);
    before = std::exchange(m_lastOffsets[vm], offset);
  }
  const bool stillBehind = before > mine;
  const bool knowsNothing = offset > 0 && !m_config.isLoaded();
  if (!stillBehind && !knowsNothing) {
    return;
  }
  ConfigRequest::Fields fields;
  fields.haveOffset = mine;
  m_send(vm, ConfigRequest(fields));
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
  fields.body = current->toJson().dump();
  m_send(vm, ConfigTransfer(std::move(fields)));
}

void
ConfigExchange::transferred(const ConfigTransfer& transfer)
{
  m_config.takeOver(transfer.body());
}

} // namespace cowslippin
