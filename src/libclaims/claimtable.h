#pragma once

#include "claimbatch.h"
#include "claimdecision.h"
#include "claimevent.h"
#include "claimlimits.h"
#include "claimwindow.h"
#include "localclaims.h"

namespace cowslippin {

/// Figures of a claim table, for dumps and metrics.
struct ClaimTableStats
{
  /// Claims remembered within the window.
  std::size_t remembered = 0;
  /// Submissions at this daemon that are not started, declined or lost yet.
  std::size_t local = 0;
  /// Those of them that wait for a batch.
  std::size_t queued = 0;
  Offset readUpTo = 0;
  /// Records of the stream that could not be parsed.
  std::uint64_t unreadable = 0;
  /// Gaps, and records that found no room.
  std::uint64_t gaps = 0;
  bool caughtUp = false;
  bool inDoubt = false;
};

/// Decides which daemon may start a submission, so that each key starts at most
/// once. It is a fold over the region's claim stream, the same in every daemon:
///
/// - A claim wins if its key has no owner, or if its batch had read the current
///   owner's claim (`ClaimBatch::readUpTo`). A daemon that knows an owner
///   claims the key only after the owner declined or after its own window for
///   that claim passed, so a claim that had read the owner's is entitled to
///   replace it, and one that had not raced it and loses. The first in log
///   order wins, within a batch the first entry.
/// - Only reading the stream settles a claim; an acknowledged append does not.
/// - A claim whose submission was given up is declined when it turns up,
///   however late: batch numbers tell it from those of a later submission.
/// - Started and declined are final for a claim, which is an offset and a key.
///
/// Window: a claim is forgotten `ClaimLimits::window` after this daemon read
/// it, and may not start later than that after its submission. Of two
/// submissions of a key that arrive less than a window apart, at most one is
/// started. This needs a monotonic clock that counts while the process is
/// stopped. A claim takes 83 to 88 bytes of the heap (`benchmark_claims`).
///
/// Gap: if records were dropped by retention before this daemon read them, or
/// found no room in the table, any key may have got an owner unseen, and any
/// declined claim a successor. For a window from then on the daemon is in
/// doubt: it claims nothing, its pending submissions are dropped, and its own
/// claims that turn up are declined. Owners read before the end of the doubt
/// are never superseded by this daemon. They are remembered for a window after
/// the last claim of their key, since any of these may be the true owner's.
/// What it holds or has started remains
/// its own, since no other daemon may replace what was not declined.
///
/// A claim that lands so late that its daemon had not read some claim which is
/// forgotten by now may have lost to a forgotten owner of its key. If the key
/// has no owner here, it becomes the owner, uncertain in the same way.
///
/// Room: at `maxEntries` new submissions are refused; a quarter more is kept
/// for the claims of others. Nothing is forgotten early.
///
/// Not safe for concurrent use: one thread, or a lock around it. Time must not
/// run backwards between calls.
class ClaimTable
{
public:
  ClaimTable(Incarnation self, ClaimLimits limits);

  /// A submission of `key`, which has 32 lower-case hexadecimal digits. Refused
  /// as `NotCaughtUp` before `caughtUp`, as `Overloaded` when full (both not
  /// run), and as `OutcomeUnknown` (may have run) while in doubt.
  ClaimDecision submit(const SubmissionKey& key, TimePoint now);

  /// The next group commit, if something is queued and no batch is in flight.
  /// The caller appends it and then calls `appendEnded`.
  std::optional<ClaimBatch> takeBatch(TimePoint now);

  /// Whether a batch was handed out that is neither ended nor read back.
  bool isInFlight() const { return m_inFlight.has_value(); }

  /// The append of this batch ended; if the batch was read back before, this
  /// changes nothing. Unless it was acknowledged, its unsettled
  /// claims are queued again.
  void appendEnded(std::uint64_t batchNumber, AppendEnd end, TimePoint now);

  /// The stream's record at `offset` was read. Records come in order; one read
  /// before is ignored, and an offset left out counts as a gap.
  std::vector<ClaimEvent> recordRead(Offset offset,
                                     const ClaimBatch& batch,
                                     TimePoint now);

  /// The same from the record's text, which holds a batch a line, of any
  /// daemons. A line that does not parse is counted and claims nothing, in
  /// every daemon alike. Of claims in one record the first line's come first.
  std::vector<ClaimEvent> recordRead(Offset offset,
                                     const std::string& text,
                                     TimePoint now);

  /// Records before `first` were dropped by retention. A daemon that has read
  /// nothing yet may begin there, if retention covers the window; any other
  /// gap puts the daemon in doubt for a window.
  std::vector<ClaimEvent> skippedTo(Offset first, TimePoint now);

  /// The stream was read to its end.
  void caughtUp(TimePoint now);
  bool isCaughtUp() const { return m_caughtUp; }

  /// Whether the daemon may claim nothing because of a gap.
  bool isInDoubt(TimePoint now) const;

  /// Whether `start` would be granted.
  bool mayStart(const SubmissionKey& key, TimePoint now) const;

  /// Asks to start the key's work. Granted at most once a claim.
  StartPermit start(const SubmissionKey& key, TimePoint now);

  /// Gives up what was submitted here. True if its claims have not started and
  /// never will, so that the caller can be told "not run". False if nothing can
  /// be given up: the work has started, the submission ended before, or the
  /// key belongs to another daemon.
  bool giveUp(const SubmissionKey& key);

  /// What this daemon tells a peer about its own claim of `key` at `claim`.
  AskReply ask(const SubmissionKey& key, Offset claim) const;

  /// Who owns the key, this daemon included, as far as the stream was read.
  std::optional<OwnedElsewhere> owner(const SubmissionKey& key) const;

  /// The owner answered that it declined its claim at `claim`. If that is
  /// still the owner, the key is queued to supersede it. Otherwise the same as
  /// `submit`.
  ClaimDecision ownerDeclined(const SubmissionKey& key,
                              const Incarnation& owner,
                              Offset claim,
                              TimePoint now);

  /// Forgets the claims whose window has passed and drops submissions that are
  /// still not started a window after they arrived. O(1) a claim.
  std::vector<ClaimEvent> expire(TimePoint now);

  ClaimTableStats stats(TimePoint now) const;

private:
  /// Offsets that retention dropped unread: from `begin`, before `end`.
  struct Gap
  {
    Offset begin = 0;
    Offset end = 0;
  };

  struct InFlight
  {
    std::uint64_t batchNumber = 0;
    std::vector<ClaimKey> keys;
  };

  using Events = std::vector<ClaimEvent>;

  ClaimDecision submitUnowned(const ClaimKey& key, TimePoint now);
  ClaimDecision submitOwned(const WindowEntry& owner, TimePoint now);
  ClaimDecision enqueue(const ClaimKey& key,
                        std::optional<Offset> supersedes,
                        TimePoint now);
  ClaimRefused refuseInDoubt(TimePoint until, TimePoint now) const;
  bool isEntryInDoubt(const WindowEntry& entry) const;
  bool isFull() const;
  void enterDoubt(TimePoint now, Events& events);
  void skipTo(Offset first, TimePoint now, Events& events);
  bool beginRecord(Offset offset, TimePoint now, Events& events);
  void applyBatch(Offset offset,
                  const ClaimBatch& batch,
                  TimePoint now,
                  Events& events);
  void applyEntry(Offset offset,
                  const ClaimBatch& batch,
                  const ClaimKey& key,
                  TimePoint now,
                  Events& events);
  bool replaceOwner(Offset offset,
                    const ClaimBatch& batch,
                    const ClaimKey& key,
                    TimePoint now,
                    Events& events);
  void settleOwn(Offset offset,
                 const ClaimBatch& batch,
                 const ClaimKey& key,
                 TimePoint now,
                 Events& events);
  void settleOther(Offset offset,
                   const ClaimBatch& batch,
                   const ClaimKey& key,
                   Events& events);
  bool isStartable(const LocalClaim& local, TimePoint now) const;
  void decline(const LocalClaim& local);

  Incarnation m_self;
  ClaimLimits m_limits;
  ClaimWindow m_window;
  LocalClaims m_local;
  std::optional<InFlight> m_inFlight;
  std::uint64_t m_nextBatch = 1;
  Offset m_readUpTo = 0;
  Gap m_lastGap;
  std::optional<TimePoint> m_doubtEnd;
  std::uint64_t m_unreadable = 0;
  std::uint64_t m_gaps = 0;
  bool m_caughtUp = false;
};

} // namespace cowslippin
