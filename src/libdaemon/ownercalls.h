#pragma once

#include "libprotocol/protocol.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace cowslippin {

/// The owner could not be asked, or the connection was lost before it replied.
struct OwnerUnreachable
{};

/// The owner did not reply within the time given.
struct OwnerSilent
{};

/// How a call of an owner ended.
using OwnerCallEnd = std::variant<OwnerReply, OwnerUnreachable, OwnerSilent>;

/// Matches the replies of owners to the calls that wait for them. A reply that
/// nobody waits for any more is dropped, so a late or doubled one does no
/// harm. Thread-safe.
class OwnerCalls
{
public:
  /// Sends a message to a peer; false when there is no connection.
  using Send = std::function<bool(const VmId&, const Message&)>;

  explicit OwnerCalls(Send send);

  /// Calls the owner on `vm` and waits for its reply. The request id of
  /// `fields` is chosen here.
  OwnerCallEnd call(const VmId& vm, OwnerCall::Fields fields, TimePoint until);

  /// Hands a submission to the issuer of its ticket on `vm`; like `call`.
  OwnerCallEnd submit(const VmId& vm,
                      SubmitCall::Fields fields,
                      TimePoint until);

  /// A reply came from `vm`.
  void replied(const VmId& vm, const OwnerReply& reply);

  /// Whatever was asked of `vm` will not be answered.
  void connectionLost(const VmId& vm);

  std::size_t pending() const;

private:
  struct Pending
  {
    VmId vm;
    std::optional<OwnerCallEnd> end;
    std::condition_variable ended;
  };

  std::shared_ptr<Pending> expect(const VmId& vm, std::uint64_t& requestId);
  OwnerCallEnd await(std::uint64_t requestId,
                     Pending& pending,
                     bool isSent,
                     TimePoint until);

  const Send m_send;
  mutable std::mutex m_mutex;
  std::uint64_t m_nextRequestId = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> m_pending;
};

} // namespace cowslippin
