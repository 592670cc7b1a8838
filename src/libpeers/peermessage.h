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
  /// The connection was closed or reset, so that the loss is known at once.
  Closed,
  /// Nothing was received for the silence limit.
  Silent,
};

/// The first message on a connection, sent by both sides.
struct PeerHello
{
  VmId vm;
  Incarnation incarnation;
  ZoneName zone;
  /// Address at which the daemon accepts connections.
  Address address;
  /// Addresses of other daemons that the sender knows.
  std::vector<Address> knownAddresses;
};

/// Addresses of daemons that the receiver doesn't know yet.
struct PeerAddresses
{
  std::vector<Address> addresses;
};

/// A shard that a daemon holds.
struct HeldShard
{
  std::uint64_t token = 0;
  /// Free slots on the shard's workers.
  unsigned freeSlots = 0;
  /// Digest of the workers that the holder knows.
  ShardDigest workersDigest = 0;

  friend bool operator==(const HeldShard& a, const HeldShard& b)
  {
    return a.token == b.token && a.freeSlots == b.freeSlots &&
           a.workersDigest == b.workersDigest;
  }
};

/// A job that a daemon's caller submitted and that has been in progress for a
/// while.
struct LongRunningJob
{
  JobId job;
  /// Time since the caller's request arrived; zero if the caller gave the job
  /// up and its runs may still be stopping.
  Duration age = Duration::zero();

  friend bool operator==(const LongRunningJob& a, const LongRunningJob& b)
  {
    return a.job == b.job && a.age == b.age;
  }
  friend bool operator!=(const LongRunningJob& a, const LongRunningJob& b)
  {
    return !(a == b);
  }
};

/// Heartbeat. Sent at short intervals, and at once when the shards or
/// `isLeaving` change.
struct PeerHeartbeat
{
  bool isLeaving = false;
  bool isReady = false;
  /// The sender gets too little processor time for its work.
  bool isCpuStarved = false;
  /// How slow the sender's machine is: the logarithm of the time that a fixed
  /// amount of work takes.
  int slowness = 0;
  /// The sender has started only shortly before.
  bool hasJustStarted = false;
  /// How many workers the sender can hold.
  std::size_t workerCapacity = 1;
  /// How many tasks a second the sender can start and follow.
  std::size_t taskRate = 1;
  std::map<ShardId, HeldShard> shards;
  /// The highest fencing token that the sender knows.
  std::uint64_t highestToken = 0;
  /// Version of the configuration in force at the sender.
  std::uint64_t configVersion = 0;
  EvacuatedZones evacuations;
  /// Time within which the next heartbeat follows.
  Duration nextHeartbeatWithin = Duration::zero();
  /// Send time by the sender's steady clock, which receivers only send back.
  std::int64_t sentAt = 0;
  /// All long-running jobs of the sender's callers.
  std::vector<LongRunningJob> longRunningJobs;
  /// Whether the receiver has to acknowledge the heartbeat at once, for the
  /// sake of `longRunningJobs`.
  bool isAckRequested = false;
};

/// Acknowledges heartbeats; sent to daemons that hold jobs of the sender. Both
/// times are `sentAt` of a heartbeat, or 0 if there was none.
struct PeerHeartbeatAck
{
  /// Of the newest heartbeat that was received before a complete iteration of
  /// the event loop.
  std::int64_t newestProcessed = 0;
  /// Of the newest heartbeat that was received.
  std::int64_t newestReceived = 0;

  friend bool operator==(const PeerHeartbeatAck& a, const PeerHeartbeatAck& b)
  {
    return a.newestProcessed == b.newestProcessed &&
           a.newestReceived == b.newestReceived;
  }
  friend bool operator!=(const PeerHeartbeatAck& a, const PeerHeartbeatAck& b)
  {
    return !(a == b);
  }
};

/// Submits a job, or a part of one, to a holder.
struct PeerSubmit
{
  JobRequest request;
  PeerHeartbeatAck ack = {};
  /// Time between the receipt of the newest heartbeat in `ack` and the sending
  /// of this message.
  Duration ackAge = Duration::zero();
};

/// Outcome of a submitted job.
struct PeerJobEnd
{
  JobKey key;
  JobEnd end;
};

/// Returns tasks that a holder has no capacity for.
struct PeerTasksReturned
{
  JobKey key;
  TasksReturned returned;
};

/// Cancels a job whose caller is gone.
struct PeerCancel
{
  JobKey key;
};

/// Reports that other daemons have been informed of a job: see
/// `JobRequest::exclusiveFor`.
struct PeerJobAdvertised
{
  JobKey key;
};

/// Asks a daemon that has a job in progress to stop it, because the sender has
/// received the job too.
struct PeerRecall
{
  JobId job;
  /// Age of the sender's submission. A younger submission isn't stopped.
  Duration age = Duration::zero();
  /// Whether the sender has started nothing of the job and waits for the
  /// answer.
  bool isWaiting = false;
};

/// Answers a recall: the job is being stopped or was not there any more.
struct PeerRecallAck
{
  JobId job;
  /// Time after which all runs of the job have ended.
  Duration endedWithin = Duration::zero();
};

/// Requests a part of a configuration from a daemon that has advertised a newer
/// version.
struct PeerConfigRequest
{
  /// Version of which parts were received; 0 if there are none.
  std::uint64_t version = 0;
  /// Number of bytes of this version that were received.
  std::uint64_t offset = 0;
  /// Size limit of the next part, in bytes.
  std::uint64_t maxBytes = 0;
};

/// Bytes of a configuration in the form in which the platform stores it: of the
/// requested version or, starting at the first byte, of another version.
struct PeerConfigPart
{
  std::uint64_t version = 0;
  /// Size of the whole configuration, in bytes.
  std::uint64_t size = 0;
  std::uint64_t offset = 0;
  std::string bytes;
};

/// Refuses a configuration request, because the sender is sending its
/// configuration to others.
struct PeerConfigBusy
{
  friend bool operator==(const PeerConfigBusy&, const PeerConfigBusy&)
  {
    return true;
  }
};

/// Changes of the platform's list of workers, forwarded by a daemon that reads
/// the list to others of its zone.
struct PeerWorkerChanges
{
  /// Range of the platform's log that the changes were read from.
  std::uint64_t from = 0;
  std::uint64_t end = 0;
  /// Changed entries by worker id, in the form in which the platform stores
  /// them; an empty entry was removed.
  std::map<std::string, std::string> entries;

  friend bool operator==(const PeerWorkerChanges& a, const PeerWorkerChanges& b)
  {
    return a.from == b.from && a.end == b.end && a.entries == b.entries;
  }
};

/// Starts that workers didn't answer. Sent to all daemons, because a caller may
/// submit a job again at any of them.
struct PeerUnresolvedStarts
{
  struct Start
  {
    RunKey key;
    WorkerId worker;
    /// How much longer the worker may still carry out the start.
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

/// Registers a job as in progress at the sender, and asks whether another
/// daemon has registered it.
struct PeerJobRegistration
{
  JobId job;
  /// Sent back with the answer, as the same job may be registered again.
  std::uint64_t number = 0;
  /// Daemons that have reported that their runs of the job have ended.
  std::vector<VmId> endedAt = {};
  /// False if the sender only renews the registration.
  bool isAnswerRequested = true;
};

/// Answers a registration.
struct PeerJobRegistrationAck
{
  JobId job;
  std::uint64_t number = 0;
  /// The daemon that had registered the job before and may have runs of it.
  /// Empty if the job is registered for the receiver now.
  VmId gateway = {};
  /// How much longer that earlier registration is valid.
  Duration expiresIn = Duration::zero();
  /// Whether the sender is the registrar of the job and knows all valid
  /// registrations of it. Otherwise every daemon has to be asked.
  bool isComplete = false;
  /// Daemons that were lost and have just connected again. They may have
  /// registered the job elsewhere and have to be asked too.
  std::vector<VmId> alsoAsk = {};
};

/// Tells the next holder of a shard which starts may still be carried out late.
/// Sent when a shard is released, after the last start.
struct PeerShardReleased
{
  ShardId shard;
  /// The fencing token with which the sender held the shard.
  std::uint64_t token = 0;
  /// How much longer a start of the sender, or of a holder before it, may still
  /// be carried out by a later incarnation of the worker; zero if there is no
  /// such start. Lists only workers that the sender held to the end.
  std::map<WorkerId, Duration> lateStarts;

  friend bool operator==(const PeerShardReleased& a, const PeerShardReleased& b)
  {
    return a.shard == b.shard && a.token == b.token &&
           a.lateStarts == b.lateStarts;
  }
  friend bool operator!=(const PeerShardReleased& a, const PeerShardReleased& b)
  {
    return !(a == b);
  }
};

using PeerMessage = std::variant<PeerHello,
                                 PeerHeartbeat,
                                 PeerSubmit,
                                 PeerJobEnd,
                                 PeerCancel,
                                 PeerConfigPart,
                                 PeerTasksReturned,
                                 PeerAddresses,
                                 PeerConfigRequest,
                                 PeerConfigBusy,
                                 PeerWorkerChanges,
                                 PeerHeartbeatAck,
                                 PeerUnresolvedStarts,
                                 PeerJobAdvertised,
                                 PeerRecall,
                                 PeerRecallAck,
                                 PeerJobRegistration,
                                 PeerJobRegistrationAck,
                                 PeerShardReleased>;

} // namespace cowslippin
