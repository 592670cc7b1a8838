#pragma once

#include "claimentry.h"

#include <vector>

namespace cowslippin {

/// One record of the claim stream: the keys that a daemon claims in a group
/// commit.
class ClaimBatch
{
public:
  struct Fields
  {
    /// The daemon process that claims.
    Incarnation owner;
    /// Counts the owner's batches from 1.
    std::uint64_t batchNumber = 0;
    /// The offset up to which the owner had read the stream when it made the
    /// batch; 0 for nothing. A claim in this batch wins only if no claim of
    /// its key lies between that offset and the batch.
    Offset readUpTo = 0;
    std::vector<ClaimEntry> entries;
  };

  explicit ClaimBatch(Fields fields)
    : m_fields(std::move(fields))
  {
  }

  const Incarnation& owner() const { return m_fields.owner; }
  std::uint64_t batchNumber() const { return m_fields.batchNumber; }
  Offset readUpTo() const { return m_fields.readUpTo; }
  const std::vector<ClaimEntry>& entries() const { return m_fields.entries; }

  friend bool operator==(const ClaimBatch& a, const ClaimBatch& b);
  friend bool operator!=(const ClaimBatch& a, const ClaimBatch& b)
  {
    return !(a == b);
  }

private:
  Fields m_fields;
};

/// The batch as JSON text:
/// `{"claims":1,"owner":"..","batch":1,"readUpTo":0,
///   "entries":[{"key":".."},{"key":"..","supersedes":7}]}`.
std::string
encode(const ClaimBatch& batch);

/// Reads what `encode` wrote. Anything else, also an unknown member or an
/// empty list of entries, is a problem that names what is wrong.
Result<ClaimBatch>
parseClaimBatch(const std::string& text);

} // namespace cowslippin
