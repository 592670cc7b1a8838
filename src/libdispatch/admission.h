#pragma once

#include "dispatchsettings.h"
#include "servicerecord.h"

namespace cowslippin {

/// Decides at once whether a task that cannot be served in time is refused,
/// so that its caller need not wait to learn it.
class Admission
{
public:
  struct State
  {
    /// Whether the list of endpoints was ever read.
    bool listKnown;
    /// How many tasks of all services wait.
    std::size_t queued;
  };

  explicit Admission(const DispatchSettings& settings)
    : m_settings(settings)
  {
  }

  /// Why the task, which would wait in `lane`, is refused, or nothing.
  std::optional<Problem> refusal(const TaskRecord& task,
                                 const ServiceRecord& service,
                                 const Lane& lane,
                                 const State& state,
                                 TimePoint now) const;

  /// How long a new task of this urgency would wait for its start.
  Duration expectedWait(const TaskRecord& task,
                        const ServiceRecord& service,
                        const Lane& lane) const;

  /// A refusal's `Retry-After`, within the settings' limits.
  Duration boundedRetryAfter(Duration wait) const;

private:
  std::optional<Problem> noEndpoint(const ServiceRecord& service,
                                    const Lane& lane,
                                    bool listKnown,
                                    TimePoint now) const;
  std::optional<Problem> fullQueue(const ServiceRecord& service,
                                   const Lane& lane,
                                   std::size_t queued) const;
  std::optional<Problem> deadlineTooShort(const TaskRecord& task,
                                          const ServiceRecord& service,
                                          const Lane& lane,
                                          TimePoint now) const;
  double startsPerSecond(const ServiceRecord& service, const Lane& lane) const;
  Duration timeToDrain(double tasks,
                       const ServiceRecord& service,
                       const Lane& lane) const;

  const DispatchSettings& m_settings;
};

} // namespace cowslippin
