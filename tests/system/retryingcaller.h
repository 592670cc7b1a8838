#pragma once

#include "daemonaddresses.h"
#include "support/httpcall.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// What became of one caller's submissions.
struct CallerTally
{
  /// Of all submissions that were answered.
  int tasks = 0;
  /// Those that were not answered whole, and why.
  std::vector<std::string> failures;
};

/// A caller that submits jobs under keys of its own, requests under tickets
/// and repeatable requests in turn, one at a time. It goes by the interface's
/// rules: what was refused as "not run", what got no answer and what may be
/// asked again it submits to the next daemon; any other problem is final.
class RetryingCaller
{
public:
  /// Counts every submission that was answered whole in `answered` as well.
  RetryingCaller(const DaemonAddresses& addresses,
                 int number,
                 std::atomic<int>& answered);

  /// Submits until `isOver` holds.
  CallerTally runUntil(const std::function<bool()>& isOver);

private:
  using Attempt = std::function<HttpAnswer(const Address&)>;

  void submitNext();
  void submitJob(const std::string& id);
  void submitTicketed(const std::string& id);
  void submitRepeatable(const std::string& id);
  HttpAnswer retry(const Attempt& attempt);
  void tally(const std::string& id,
             int tasks,
             bool isWhole,
             const HttpAnswer& answer);

  const DaemonAddresses& m_addresses;
  const int m_number;
  std::atomic<int>& m_answered;
  std::size_t m_turn;
  int m_submitted = 0;
  CallerTally m_tally;
};

} // namespace cowslippin::testing
