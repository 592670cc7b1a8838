#pragma once

#include "libcore/clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace cowslippin {

/// Limits the memory that the connections of a process's clients hold in all:
/// of requests that aren't whole and of answers that aren't read. Several
/// servers on one thread may share a budget. Connections may outlive them, so
/// that each keeps the budget alive.
class ConnectionBudget
{
public:
  /// What one connection holds. Returned when the share is destroyed.
  class Share
  {
  public:
    /// `close` is called if the connection has to make room. It must set the
    /// share to 0 bytes, or destroy it later.
    Share(std::shared_ptr<ConnectionBudget> budget,
          std::function<void()> close);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Sets how many bytes the connection holds, and since when it has waited
    /// for its client to send the rest of a request or to read an answer; none
    /// if it doesn't wait for the client. If the budget is exceeded, the
    /// connections that have waited longest are closed; this may be one of
    /// them. Connections that don't wait are never closed.
    void hold(std::size_t bytes, std::optional<TimePoint> waitingSince);

  private:
    friend class ConnectionBudget;

    const std::shared_ptr<ConnectionBudget> m_budget;
    const std::function<void()> m_close;
    std::size_t m_bytes = 0;
    std::optional<TimePoint> m_waitingSince;
  };

  explicit ConnectionBudget(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
  {
  }

  std::size_t heldBytes() const { return m_heldBytes; }
  std::size_t maxBytes() const { return m_maxBytes; }

private:
  /// Closes connections until the rest fits, as far as there are any that wait.
  void makeRoom();

  const std::size_t m_maxBytes;
  std::size_t m_heldBytes = 0;
  std::set<Share*> m_shares;
};

} // namespace cowslippin
