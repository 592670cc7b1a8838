#pragma once

#include "taskid.h"

#include <vector>

namespace cowslippin {

/// A task as it is handed to the dispatcher.
class TaskSpec
{
public:
  struct Fields
  {
    TaskId id;
    OrganisationName organisation;
    TemplateName templateName;
    ServiceName service;
    /// The zones it may run in; empty stands for all.
    std::vector<ZoneName> allowedZones;
    /// Whether a second start is harmless.
    bool repeatable = false;
    /// What the template says a run takes; often far off.
    Duration declaredRunTime = std::chrono::milliseconds(100);
    /// When the answer is no longer wanted.
    std::optional<TimePoint> deadline;
    /// How often it may be sent to an endpoint, the first time included.
    int maxAttempts = 3;
    /// From 0 to 9, more urgent first; that of its organisation when unset.
    std::optional<int> urgency;
  };

  explicit TaskSpec(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const TaskId& id() const { return m_fields.id; }
  const OrganisationName& organisation() const { return m_fields.organisation; }
  const TemplateName& templateName() const { return m_fields.templateName; }
  const ServiceName& service() const { return m_fields.service; }
  const std::vector<ZoneName>& allowedZones() const
  {
    return m_fields.allowedZones;
  }
  bool isRepeatable() const { return m_fields.repeatable; }
  Duration declaredRunTime() const { return m_fields.declaredRunTime; }
  const std::optional<TimePoint>& deadline() const { return m_fields.deadline; }
  int maxAttempts() const { return m_fields.maxAttempts; }
  const std::optional<int>& urgency() const { return m_fields.urgency; }

  friend bool operator==(const TaskSpec& a, const TaskSpec& b);
  friend bool operator!=(const TaskSpec& a, const TaskSpec& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
