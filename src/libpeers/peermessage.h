#pragma once

#include "libjobs/jobs.h"

#include "libcore/core.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace cowslippin {

/// How a connection to another daemon ended.
enum class PeerLoss
{
  /// It was closed or reset, so that the loss is known at once.
  Closed,
  /// Nothing came over it for the silence limit.
  Silent,
};

/// The first message on a connection, both ways.
struct PeerHello
{
  VmId vm;
  Incarnation incarnation;
  ZoneName zone;
  /// Where the daemon accepts connections.
  Address address;
  /// Other daemons that it knows of.
  std::vector<Address> known;
};

/// Daemons that the sender has come to know since it greeted.
struct PeerKnown
{
  std::vector<Address> known;
};

/// A shard that a daemon holds.
struct HeldShard
{
  std::uint64_t token = 0;
  /// Places that are free on its workers.
  unsigned places = 0;
  /// Which workers its holder knows of.
  ShardDigest workers = 0;

  friend bool operator==(const HeldShard& a, const HeldShard& b)
  {
    return a.token == b.token && a.places == b.places && a.workers == b.workers;
  }
};

/// A job of a daemon's caller that has been under way for a while.
struct LongJob
{
  JobId job;
  /// Since its caller's request arrived; zero if it was given up and its runs
  /// may still be stopping.
  Duration age = Duration::zero();

  friend bool operator==(const LongJob& a, const LongJob& b)
  {
    return a.job == b.job && a.age == b.age;
  }
  friend bool operator!=(const LongJob& a, const LongJob& b)
  {
    return !(a == b);
  }
};

/// Sent at short intervals, and at once when the shards or `isLeaving` change.
struct PeerBeat
{
  bool isLeaving = false;
  bool isReady = false;
  /// The daemon has too little processor time for what it does.
  bool isStrained = false;
  /// How slow its machine is: the logarithm of what a fixed work takes.
  int slowness = 0;
  /// It has started only just now.
  bool isNew = false;
  /// How many workers it can hold.
  std::size_t carried = 1;
  std::map<ShardId, HeldShard> shards;
  /// The highest token that it knows of.
  std::uint64_t highestToken = 0;
  /// The version of the configuration in force there.
  std::uint64_t configVersion = 0;
  Evacuations evacuations;
  /// Within what time the next one follows.
  Duration nextWithin = Duration::zero();
  /// By the sender's steady clock, which others only send back.
  std::int64_t sentAt = 0;
  /// All of the sender's.
  std::vector<LongJob> longJobs;
  /// Whether this is to be acknowledged at once, for the sake of `longJobs`.
  bool asksAck = false;
};

/// Sent to daemons that have jobs of this one. Both times are as in the
/// heartbeat; 0 if there was none.
struct PeerBeatAck
{
  /// The newest that was read before a whole round of the event loop.
  std::int64_t settled = 0;
  /// The newest that was read.
  std::int64_t newest = 0;

  friend bool operator==(const PeerBeatAck& a, const PeerBeatAck& b)
  {
    return a.settled == b.settled && a.newest == b.newest;
  }
  friend bool operator!=(const PeerBeatAck& a, const PeerBeatAck& b)
  {
    return !(a == b);
  }
};

/// Asks a holder to get a job, or a part of one, done.
struct PeerSubmit
{
  JobRequest request;
  PeerBeatAck ack = {};
  /// How long before this was sent the newest heartbeat in `ack` was read.
  Duration ackAge = Duration::zero();
};

/// What has become of a job that was submitted.
struct PeerJobEnd
{
  JobKey key;
  JobEnd end;
};

/// Tasks that a holder has no room for.
struct PeerTasksReturned
{
  JobKey key;
  TasksReturned returned;
};

/// The caller of a job is gone.
struct PeerCancel
{
  JobKey key;
};

/// Other daemons have been told of a job: see `JobRequest::exclusiveFor`.
struct PeerKeep
{
  JobKey key;
};

/// The caller of a job has submitted it to the sender again: asks a daemon that
/// has told of the job to stop it.
struct PeerRecall
{
  JobId job;
  /// Of the sender's submission. One that is younger isn't stopped for it.
  Duration age = Duration::zero();
};

/// What was recalled is being stopped, or was not there any more.
struct PeerRecalled
{
  JobId job;
  /// After this all that ran of it is surely over.
  Duration overIn = Duration::zero();
};

/// Asks a daemon that told of a newer configuration for a part of it.
struct PeerConfigRequest
{
  /// The version of which parts have come; 0 if there are none.
  std::uint64_t version = 0;
  /// How many bytes of it have come.
  std::uint64_t offset = 0;
  /// How long the next part may be, in bytes.
  std::uint64_t maxBytes = 0;
};

/// Bytes of a configuration as the platform has it: of the version that was
/// asked for or, from the first byte on, of another.
struct PeerConfigPart
{
  std::uint64_t version = 0;
  /// Of the whole configuration, in bytes.
  std::uint64_t size = 0;
  std::uint64_t offset = 0;
  std::string bytes;
};

/// The daemon that was asked sends its configuration to others just now.
struct PeerConfigBusy
{
  friend bool operator==(const PeerConfigBusy&, const PeerConfigBusy&)
  {
    return true;
  }
};

/// Changes of the platform's list of workers, as a daemon that reads it passes
/// them on to others of its zone.
struct PeerWorkerNews
{
  /// The part of the platform's log that they were read from.
  std::uint64_t from = 0;
  std::uint64_t end = 0;
  /// By id, the entries that tell something new as the platform has them; an
  /// empty one was removed.
  std::map<std::string, std::string> entries;

  friend bool operator==(const PeerWorkerNews& a, const PeerWorkerNews& b)
  {
    return a.from == b.from && a.end == b.end && a.entries == b.entries;
  }
};

/// Starts that workers didn't answer. Sent to all daemons, as a caller may
/// submit a job again at any of them.
struct PeerUnresolvedStarts
{
  struct Start
  {
    RunKey key;
    WorkerId worker;
    /// For how long the worker may still carry it out.
    Duration remaining = Duration::zero();

    friend bool operator==(const Start& a, const Start& b)
    {
      return a.key == b.key && a.worker == b.worker &&
             a.remaining == b.remaining;
    }
    friend bool operator!=(const Start& a, const Start& b) { return !(a == b); }
  };

  std::vector<Start> starts;
};

using PeerMessage = std::variant<PeerHello,
                                 PeerBeat,
                                 PeerSubmit,
                                 PeerJobEnd,
                                 PeerCancel,
                                 PeerConfigPart,
                                 PeerTasksReturned,
                                 PeerKnown,
                                 PeerConfigRequest,
                                 PeerConfigBusy,
                                 PeerWorkerNews,
                                 PeerBeatAck,
                                 PeerUnresolvedStarts,
                                 PeerKeep,
                                 PeerRecall,
                                 PeerRecalled>;

} // namespace cowslippin
