#pragma once

#include "libcore/core.h"

#include <cstddef>

namespace cowslippin {

/// A job template that an operator published: which service runs the tasks,
/// whether they may be tried again, and what each of them is declared to need.
class Template
{
public:
  struct Fields
  {
    TemplateName name;
    ServiceName service;
    /// The path of the endpoint that tasks are posted to.
    std::string path = "/";
    /// Whether a task that failed may be started again.
    bool repeatable = false;
    Duration declaredRunTime = std::chrono::milliseconds(200);
    /// How long an endpoint may take before its answer is given up.
    Duration taskTimeout = std::chrono::seconds(10);
    int cores = 1;
    int memoryMb = 512;
    std::size_t maxBodyBytes = std::size_t{ 1 } << 20;
    /// The offset of the record that published this revision; 0 when it has
    /// not been published.
    Offset revision = 0;
  };

  explicit Template(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const TemplateName& name() const { return m_fields.name; }
  const ServiceName& service() const { return m_fields.service; }
  const std::string& path() const { return m_fields.path; }
  bool isRepeatable() const { return m_fields.repeatable; }
  Duration declaredRunTime() const { return m_fields.declaredRunTime; }
  Duration taskTimeout() const { return m_fields.taskTimeout; }
  int cores() const { return m_fields.cores; }
  int memoryMb() const { return m_fields.memoryMb; }
  std::size_t maxBodyBytes() const { return m_fields.maxBodyBytes; }
  Offset revision() const { return m_fields.revision; }

  /// The same template as published at `revision`.
  Template withRevision(Offset revision) const;

  friend bool operator==(const Template& a, const Template& b);
  friend bool operator!=(const Template& a, const Template& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
