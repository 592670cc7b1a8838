#include "ownercalls.h"

#include <utility>

namespace cowslippin {

OwnerCalls::OwnerCalls(Send send)
  : m_send(std::move(send))
{
}

OwnerCallEnd
OwnerCalls::call(const VmId& vm, OwnerCall::Fields fields, TimePoint until)
{
  const auto pending = expect(vm, fields.requestId);
  const bool isSent = m_send(vm, OwnerCall(fields));
  return await(fields.requestId, *pending, isSent, until);
}

OwnerCallEnd
OwnerCalls::submit(const VmId& vm, SubmitCall::Fields fields, TimePoint until)
{
  const auto pending = expect(vm, fields.requestId);
  const std::uint64_t requestId = fields.requestId;
  const bool isSent = m_send(vm, SubmitCall(std::move(fields)));
  return await(requestId, *pending, isSent, until);
}

std::shared_ptr<OwnerCalls::Pending>
OwnerCalls::expect(const VmId& vm, std::uint64_t& requestId)
{
  auto pending = std::make_shared<Pending>();
  pending->vm = vm;
  const std::lock_guard lock(m_mutex);
  requestId = m_nextRequestId++;
  m_pending.emplace(requestId, pending);
  return pending;
}

OwnerCallEnd
OwnerCalls::await(std::uint64_t requestId,
                  Pending& pending,
                  bool isSent,
                  TimePoint until)
{
  std::unique_lock lock(m_mutex);
  if (isSent) {
    pending.ended.wait_until(
      lock, until, [&] { return pending.end.has_value(); });
  }
  m_pending.erase(requestId);
  if (pending.end) {
    return *pending.end;
  }
  if (isSent) {
    return OwnerSilent();
  }
  return OwnerUnreachable();
}

void
OwnerCalls::replied(const VmId& vm, const OwnerReply& reply)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_pending.find(reply.requestId());
  if (found == m_pending.end() || found->second->vm != vm ||
      found->second->end) {
    return;
  }
  found->second->end = reply;
  found->second->ended.notify_all();
}

void
OwnerCalls::connectionLost(const VmId& vm)
{
  const std::lock_guard lock(m_mutex);
  for (auto& [requestId, pending] : m_pending) {
    if (pending->vm == vm && !pending->end) {
      pending->end = OwnerUnreachable();
      pending->ended.notify_all();
    }
  }
}

std::size_t
OwnerCalls::pending() const
{
  const std::lock_guard lock(m_mutex);
  return m_pending.size();
}

} // namespace cowslippin
