#pragma once

#include "jobregistry.h"
#include "peerjobs.h"
#include "registrarchoice.h"

#include "libpeers/peermessage.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslippin {

/// Registers the jobs of this daemon's callers in the group, so that no other
/// gateway starts one of them meanwhile, and keeps the registrations of other
/// gateways.
///
/// A gateway can't tell how old a request is: it may have been held up on its
/// way while its caller submitted the job again elsewhere. So a job is
/// registered at its registrar before it starts. A registrar that may not know
/// all valid registrations says so, and every daemon is asked. The class does
/// no I/O and reads no clock.
class JobRegistrations
{
public:
  /// Functions of the daemon. None may be empty.
  struct Hooks
  {
    /// Returns false if the peer isn't connected.
    std::function<bool(const VmId&, const PeerMessage&)> send;
    std::function<std::set<VmId>()> connectedPeers;
    /// Whether a job is in progress at this daemon's gateway, or its runs may
    /// still be stopping.
    std::function<bool(const JobId&)> isInProgressHere;
    /// Whether the whole group has just started, so that there are no earlier
    /// registrations.
    std::function<bool()> haveAllJustStarted;
    /// A registration that was pending is complete.
    std::function<void(const JobId&,
                       const std::optional<PeerJobs::Location>& inProgressAt)>
      answered;
  };

  /// The outcome of a registration.
  struct Result
  {
    /// Other daemons were asked. `Hooks::answered` follows.
    bool isPending = false;
    /// Where the job is in progress. If it isn't, the job is registered.
    std::optional<PeerJobs::Location> inProgressAt;
  };

  /// `lastRound` is the number before that of the first round. Processes of one
  /// daemon need different ones, so that none takes an answer to an earlier one
  /// for its own.
  JobRegistrations(VmId self,
                   Hooks hooks,
                   TimePoint now,
                   std::uint64_t lastRound = 0);

  /// Registers a job of this daemon. `endedAt` are daemons that have reported
  /// that their runs of it have ended. A pending registration of the job is
  /// replaced.
  Result add(const JobId& job, const std::set<VmId>& endedAt, TimePoint now);
  /// Renews the registration of a job of this daemon.
  void renew(const JobId& job, TimePoint now);
  /// Gives up a pending registration.
  void cancel(const JobId& job);

  /// A peer registers a job.
  void registrationReceived(const VmId& from,
                            const PeerJobRegistration& registration,
                            TimePoint now);
  void ackReceived(const VmId& from,
                   const PeerJobRegistrationAck& ack,
                   TimePoint now);

  /// Connections to peers being made and lost. The jobs that this daemon has
  /// registered are renewed where their registrar changes. A pending
  /// registration that waits for a lost peer is answered with the present time
  /// as the time at which to register again: a loss may change whether the job
  /// may start.
  void peerUp(const PeerHello& peer,
              const std::vector<JobId>& registered,
              TimePoint now);
  void peerDown(const VmId& vm,
                const std::vector<JobId>& registered,
                TimePoint now);
  void paused(TimePoint now) { m_choice.paused(now); }
  void tick(TimePoint now) { m_registry.expire(now); }

  /// Jobs that gateways have registered at this daemon.
  std::size_t registeredHere() const { return m_registry.size(); }

private:
  /// A registration that waits for answers.
  struct Round
  {
    std::uint64_t number = 0;
    VmId registrar;
    std::set<VmId> endedAt;
    std::set<VmId> asked;
    std::set<VmId> awaited;
    bool asksAll = false;
    /// A daemon that has to be asked can't be reached, though its loss isn't
    /// known yet.
    bool hasFailed = false;
    std::optional<JobRegistry::Registration> found;
  };

  PeerJobRegistrationAck registerHere(const VmId& gateway,
                                      const PeerJobRegistration& registration,
                                      TimePoint now);
  void ask(const JobId& job, Round& round, const VmId& vm, TimePoint now);
  void askAll(const JobId& job, Round& round, TimePoint now);
  void take(const VmId& from,
            Round& round,
            const PeerJobRegistrationAck& ack,
            TimePoint now);
  Result conclude(const JobId& job, TimePoint now);
  void concludeIfAnswered(const JobId& job, TimePoint now);
  PeerJobs::Location locate(const JobRegistry::Registration& found) const;

  const VmId m_self;
  const Hooks m_hooks;
  JobRegistry m_registry;
  RegistrarChoice m_choice;
  std::map<JobId, Round> m_rounds;
  std::uint64_t m_lastRound;
};

} // namespace cowslippin
