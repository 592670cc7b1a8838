#pragma once

#include "claimkey.h"
#include "claimowners.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

namespace cowslippin {

/// What a daemon knows of a key's current owner.
enum class ClaimStanding : std::uint8_t
{
  /// Another daemon owns it.
  Elsewhere,
  /// Owned here and not started yet.
  Held,
  /// Owned here, started.
  Started,
  /// Owned here, never to be started.
  Declined,
};

/// A key's current owner.
struct WindowEntry
{
  ClaimKey key;
  Offset claim = 0;
  TimePoint readAt;
  ClaimOwners::Index owner = 0;
  ClaimStanding standing = ClaimStanding::Elsewhere;
  /// Whether the key's true owner may be another, hidden by a gap or forgotten.
  bool isUncertain = false;
};

/// The owners of the keys whose claims were read within the window, oldest
/// first. Every operation is O(1).
class ClaimWindow
{
public:
  std::size_t size() const { return m_entries.size(); }

  /// The key's entry, or null.
  const WindowEntry* find(const ClaimKey& key) const;

  /// The entry read longest ago, or null.
  const WindowEntry* oldest() const;

  const Incarnation& owner(const WindowEntry& entry) const;

  /// Sets the key's owner; the entry is now the latest read.
  void put(const ClaimKey& key,
           const Incarnation& owner,
           Offset claim,
           ClaimStanding standing,
           bool isUncertain,
           TimePoint readAt);

  /// Marks the owner of a key that has an entry as uncertain; the entry is now
  /// the latest read.
  void renewUncertain(const ClaimKey& key, TimePoint readAt);

  /// Changes the standing of a key that has an entry.
  void setStanding(const ClaimKey& key, ClaimStanding standing);

  /// Forgets the oldest entry; there must be one.
  void removeOldest();

  /// Counts all claims up to this offset as forgotten, read or not.
  void skipUpTo(Offset offset);

  /// The highest offset of a claim that was forgotten; 0 for none.
  Offset forgottenUpTo() const { return m_forgottenUpTo; }

private:
  template<class Change>
  void modify(const ClaimKey& key, Change change);
  void moveToBack(const ClaimKey& key);

  using Entries = boost::multi_index_container<
    WindowEntry,
    boost::multi_index::indexed_by<
      boost::multi_index::sequenced<>,
      boost::multi_index::hashed_unique<
        boost::multi_index::member<WindowEntry, ClaimKey, &WindowEntry::key>,
        std::hash<ClaimKey>>>>;

  Entries m_entries;
  ClaimOwners m_owners;
  Offset m_forgottenUpTo = 0;
};

} // namespace cowslippin
