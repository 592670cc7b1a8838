#pragma once

#include "libcore/ids.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

namespace cowslippin {

/// Identifies a job, or a part of its tasks, that one daemon has submitted to
/// another. A caller may send one job to two daemons; their keys differ.
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

  /// The daemon that waits for the end of the job.
  const VmId& submitter() const { return m_submitter; }
  const JobId& job() const { return m_job; }
  /// The number of the submission, unique among all that the submitter's
  /// process has made. Numbers of an earlier process are far apart from them.
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
