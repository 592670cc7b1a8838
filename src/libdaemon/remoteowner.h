#pragma once

#include "libhttp/http.h"
#include "ownercalls.h"
#include "submission.h"

#include <functional>
#include <variant>

namespace cowslippin {

/// The owner never started the claim and never will.
struct OwnerDeclined
{};

/// What a caller is to be told, as the owner said or as follows from its
/// silence.
struct OwnerSays
{
  HttpReply reply;
};

using OwnerAnswer = std::variant<OwnerSays, OwnerDeclined>;

/// Asks the daemons that own submissions on behalf of callers who came here.
/// Thread-safe.
class RemoteOwner
{
public:
  /// Whether this incarnation surely has ended: its VM has left the list or
  /// runs another one.
  using IsGone = std::function<bool(const Incarnation&)>;

  RemoteOwner(OwnerCalls& calls, IsGone isGone);

  /// Asks the owner, again while it has not read its own claim yet, until it
  /// answers, cannot be reached, or `until` has come.
  OwnerAnswer ask(const OwnerRef& owner,
                  const SubmissionKey& key,
                  OwnerOperation operation,
                  TimePoint until) const;

  /// Hands a submission to the daemon that issued its ticket, which starts it
  /// or attaches the caller to it. What the caller is to be told.
  HttpReply submit(const Incarnation& issuer,
                   const SubmissionRequest& request,
                   bool waitForEnd) const;

  /// Whether each of these daemons answers by `until` that it knows nothing of
  /// the key. The first that does not ends the asking.
  bool isUnknownToAll(const std::vector<VmId>& vms,
                      const SubmissionKey& key,
                      TimePoint until) const;

private:
  OwnerAnswer unreachable(const OwnerRef& owner) const;

  OwnerCalls& m_calls;
  const IsGone m_isGone;
};

/// The owner's reply as a caller is given it.
HttpReply
httpReplyOf(const OwnerReply& reply);

/// A reply to a caller as the owner hands it to a peer.
OwnerReply
ownerReplyOf(std::uint64_t requestId, const HttpReply& reply);

} // namespace cowslippin
