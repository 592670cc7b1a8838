#pragma once

#include "resources.h"
#include "workerboottime.h"

#include "libcore/address.h"
#include "libcore/ids.h"

#include <algorithm>
#include <string>
#include <vector>

namespace cowslippin {

/// A worker's entry in the platform's worker list.
class WorkerRecord
{
public:
  struct Fields
  {
    WorkerId id;
    WorkerBootTime bootTime;
    ServiceName service;
    Address address;
    ZoneName zone;
    Resources capacity;
    /// The worker's kind and its rack.
    std::vector<std::string> labels;
    /// The worker is being removed and must be given no new runs.
    bool isDraining = false;
  };

  WorkerRecord() = default;
  explicit WorkerRecord(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const WorkerId& id() const { return m_fields.id; }
  const WorkerBootTime& bootTime() const { return m_fields.bootTime; }
  const ServiceName& service() const { return m_fields.service; }
  const Address& address() const { return m_fields.address; }
  const ZoneName& zone() const { return m_fields.zone; }
  const Resources& capacity() const { return m_fields.capacity; }
  const std::vector<std::string>& labels() const { return m_fields.labels; }
  bool hasLabel(const std::string& label) const
  {
    return std::find(labels().begin(), labels().end(), label) != labels().end();
  }
  bool isDraining() const { return m_fields.isDraining; }

  friend bool operator==(const WorkerRecord& a, const WorkerRecord& b)
  {
    return a.id() == b.id() && a.bootTime() == b.bootTime() &&
           a.service() == b.service() && a.address() == b.address() &&
           a.zone() == b.zone() && a.capacity() == b.capacity() &&
           a.labels() == b.labels() && a.isDraining() == b.isDraining();
  }
  friend bool operator!=(const WorkerRecord& a, const WorkerRecord& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

} // namespace cowslippin
