#pragma once

#include "claimentry.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <map>
#include <vector>

namespace cowslippin {

/// How far a submission at this daemon has come.
enum class LocalStage : std::uint8_t
{
  /// It waits for a batch.
  Queued,
  /// Its batch was handed out and not read back yet.
  Sent,
  /// Its claim won and has not started.
  Held,
};

/// A submission at this daemon that is neither started nor over.
struct LocalClaim
{
  ClaimKey key;
  /// The declined claim that it is to supersede, if any.
  std::optional<Offset> supersedes;
  TimePoint submittedAt;
  /// The first batch that can hold a claim of this submission. Claims in
  /// earlier batches belong to submissions that were given up.
  std::uint64_t firstBatch = 0;
  /// The last batch that held it, while `Sent`.
  std::uint64_t sentIn = 0;
  /// Its place in the queue, while `Queued`.
  std::uint64_t place = 0;
  LocalStage stage = LocalStage::Queued;
};

/// The submissions at this daemon that are neither started nor over, in order
/// of arrival, and the queue of those that wait for a batch.
class LocalClaims
{
public:
  std::size_t size() const { return m_claims.size(); }
  std::size_t queued() const { return m_queue.size(); }

  /// The key's submission, or null.
  const LocalClaim* find(const ClaimKey& key) const;

  /// The submission that arrived first, or null.
  const LocalClaim* oldest() const;

  /// Adds a submission and queues it; the key must be new.
  void add(const ClaimKey& key,
           std::optional<Offset> supersedes,
           std::uint64_t firstBatch,
           TimePoint now);

  /// Queues the key's claim again.
  void requeue(const ClaimKey& key);

  /// Queues the key's claim again, to supersede a claim of this daemon.
  void requeueToSupersede(const ClaimKey& key, Offset claim);

  /// Takes up to `limit` claims from the queue into this batch.
  std::vector<ClaimEntry> send(std::size_t limit, std::uint64_t batchNumber);

  /// The key's claim won.
  void hold(const ClaimKey& key);

  void remove(const ClaimKey& key);

  /// The keys of all submissions that are not held, in order of arrival.
  std::vector<ClaimKey> unsettled() const;

private:
  using Claims = boost::multi_index_container<
    LocalClaim,
    boost::multi_index::indexed_by<
      boost::multi_index::sequenced<>,
      boost::multi_index::hashed_unique<
        boost::multi_index::member<LocalClaim, ClaimKey, &LocalClaim::key>,
        std::hash<ClaimKey>>>>;

  template<class Change>
  void modify(const ClaimKey& key, Change change);
  void leaveQueue(const LocalClaim& claim);

  Claims m_claims;
  std::map<std::uint64_t, ClaimKey> m_queue;
  std::uint64_t m_nextPlace = 0;
};

} // namespace cowslippin
