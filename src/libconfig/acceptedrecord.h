#pragma once

#include "recordid.h"

namespace cowslippin {

/// The id of an accepted record and the revision it made. Kept so that a
/// record which is appended again after a lost acknowledgement is recognised.
class AcceptedRecord
{
public:
  AcceptedRecord(RecordId recordId, Offset revision)
    : m_recordId(std::move(recordId))
    , m_revision(revision)
  {
  }

  const RecordId& recordId() const { return m_recordId; }
  Offset revision() const { return m_revision; }

  friend bool operator==(const AcceptedRecord& a, const AcceptedRecord& b)
  {
    return a.m_revision == b.m_revision && a.m_recordId == b.m_recordId;
  }
  friend bool operator!=(const AcceptedRecord& a, const AcceptedRecord& b)
  {
    return !(a == b);
  }

private:
  RecordId m_recordId;
  Offset m_revision;
};

} // namespace cowslippin
