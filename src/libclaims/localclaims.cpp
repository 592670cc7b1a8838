#include "localclaims.h"

namespace cowslippin {

const LocalClaim*
LocalClaims::find(const ClaimKey& key) const
{
  const auto& byKey = m_claims.get<1>();
  const auto found = byKey.find(key);
  return found == byKey.end() ? nullptr : &*found;
}

const LocalClaim*
LocalClaims::oldest() const
{
  return m_claims.empty() ? nullptr : &m_claims.front();
}

void
LocalClaims::add(const ClaimKey& key,
                 std::optional<Offset> supersedes,
                 std::uint64_t firstBatch,
                 TimePoint now)
{
  LocalClaim claim;
  claim.key = key;
  claim.supersedes = supersedes;
  claim.submittedAt = now;
  claim.firstBatch = firstBatch;
  claim.place = m_nextPlace++;
  m_queue.emplace(claim.place, key);
  m_claims.push_back(claim);
}

void
LocalClaims::requeue(const ClaimKey& key)
{
  modify(key, [this](LocalClaim& claim) {
    leaveQueue(claim);
    claim.stage = LocalStage::Queued;
    claim.place = m_nextPlace++;
    m_queue.emplace(claim.place, claim.key);
  });
}

void
LocalClaims::requeueToSupersede(const ClaimKey& key, Offset claim)
{
  modify(key, [claim](LocalClaim& local) { local.supersedes = claim; });
  requeue(key);
}

std::vector<ClaimEntry>
LocalClaims::send(std::size_t limit, std::uint64_t batchNumber)
{
  std::vector<ClaimEntry> entries;
  while (!m_queue.empty() && entries.size() < limit) {
    const ClaimKey key = m_queue.begin()->second;
    m_queue.erase(m_queue.begin());
    modify(key, [&](LocalClaim& claim) {
      claim.stage = LocalStage::Sent;
      claim.sentIn = batchNumber;
      entries.push_back({ key, claim.supersedes });
    });
  }
  return entries;
}

void
LocalClaims::hold(const ClaimKey& key)
{
  modify(key, [this](LocalClaim& claim) {
    leaveQueue(claim);
    claim.stage = LocalStage::Held;
  });
}

void
LocalClaims::remove(const ClaimKey& key)
{
  auto& byKey = m_claims.get<1>();
  const auto found = byKey.find(key);
  leaveQueue(*found);
  byKey.erase(found);
}

std::vector<ClaimKey>
LocalClaims::unsettled() const
{
  std::vector<ClaimKey> keys;
  for (const LocalClaim& claim : m_claims) {
    if (claim.stage != LocalStage::Held) {
      keys.push_back(claim.key);
    }
  }
  return keys;
}

template<class Change>
void
LocalClaims::modify(const ClaimKey& key, Change change)
{
  auto& byKey = m_claims.get<1>();
  byKey.modify(byKey.find(key), change);
}

void
LocalClaims::leaveQueue(const LocalClaim& claim)
{
  if (claim.stage == LocalStage::Queued) {
    m_queue.erase(claim.place);
  }
}

} // namespace cowslippin
