#pragma once

#include "libcore/core.h"

#include <string>
#include <vector>

namespace cowslippin::testing {

/// A kind of job of one step.
struct RequestKind
{
  unsigned tasks = 0;
  /// Run time of each task.
  unsigned taskMs = 0;
  /// How common the kind is, beside the others.
  double share = 0;

  friend bool operator==(const RequestKind& a, const RequestKind& b)
  {
    return a.tasks == b.tasks && a.taskMs == b.taskMs && a.share == b.share;
  }
  friend bool operator!=(const RequestKind& a, const RequestKind& b)
  {
    return !(a == b);
  }
};

/// Kinds of jobs and how common each is.
class RequestMix
{
public:
  /// Of a text such as `8x60:206,4x900:37.5`: tasks, ms and share of each kind.
  static Result<RequestMix> parse(const std::string& text,
                                  const std::string& field);

  RequestMix() = default;
  explicit RequestMix(std::vector<RequestKind> kinds);

  bool isEmpty() const { return m_kinds.empty(); }
  const std::vector<RequestKind>& kinds() const { return m_kinds; }
  /// The kind that `place`, from 0 to below 1, falls on.
  const RequestKind& at(double place) const;

private:
  std::vector<RequestKind> m_kinds;
};

} // namespace cowslippin::testing
