#pragma once

#include "libcore/ids.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

namespace cowslippin {

/// A job, or a part of its tasks, as one daemon has handed it to another. Two
/// daemons that were sent the same job by its caller have different keys.
class JobKey
{
public:
  JobKey() = default;
  JobKey(VmId submitter, JobId job, std::uint64_t part)
    : m_submitter(std::move(submitter))
    , m_job(std::move(job))
    , m_part(part)
  {
  }

  /// The daemon that waits for the end.
  const VmId& submitter() const { return m_submitter; }
  const JobId& job() const { return m_job; }
  /// Unique among all that the submitter has handed over.
  std::uint64_t part() const { return m_part; }

  friend bool operator==(const JobKey& a, const JobKey& b)
  {
    return a.m_part == b.m_part && a.m_job == b.m_job &&
           a.m_submitter == b.m_submitter;
  }
  friend bool operator!=(const JobKey& a, const JobKey& b) { return !(a == b); }
  friend bool operator<(const JobKey& a, const JobKey& b)
  {
    return std::tie(a.m_submitter, a.m_part, a.m_job) <
           std::tie(b.m_submitter, b.m_part, b.m_job);
  }

private:
  VmId m_submitter;
  JobId m_job;
  std::uint64_t m_part = 0;
};

} // namespace cowslippin
