#pragma once

#include "callerapi.h"
#include "configexchange.h"
#include "libsettings/settings.h"
#include "operatorapi.h"
#include "peerdirectory.h"

#include <memory>
#include <thread>

namespace cowslippin {

/// One daemon with all its parts. It serves from `start` on and ends by
/// `drain`, which lets what it holds come to its end, or by its destructor,
/// which does not.
class Daemon
{
public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Listens and connects. A problem if an address cannot be listened on.
  std::optional<Problem> start();

  /// Where callers and peers are answered, with the ports the kernel chose.
  Address httpAddress() const;
  Address peerAddress() const { return m_peerAddress; }

  const Incarnation& incarnation() const { return m_incarnation; }

  /// Refuses new submissions, waits until those that are here have ended and
  /// their answers were fetched, for `drainGrace` at most, and stops. False if
  /// something was cut off.
  bool drain();

private:
  void stop();
  bool isIdle() const;
  std::string notReady() const;
  void runTicks();
  void tick();
  /// The connected daemon with the lowest VM id appends claims and snapshots
  /// for the region. Two that both think so do no harm.
  void updateRegionDuty();
  bool handOverClaims(const std::string& batch);
  void configChanged(const Configuration& configuration);
  void listChanged(const VmList& list);
  void peerUp(const VmId& vm, const Hello& hello);
  void messageReceived(const VmId& vm, const Message& message);
  void ownerCalled(const VmId& vm, const OwnerCall& call);
  void submitCalled(const VmId& vm, const SubmitCall& call);
  bool send(const VmId& vm, const Message& message);
  PeerNetwork::Hooks peerHooks();
  void addDumpSections();
  void addGauges();

  const DaemonSettings m_settings;
  const Incarnation m_incarnation;
  std::mutex m_dutyMutex;
  VmId m_regionAppender;
  Metrics m_metrics;
  StateDump m_dump;
  PeerDirectory m_directory;
  EndpointClient m_endpointClient;
  TaskRunner m_runner;
  std::unique_ptr<PeerNetwork> m_peers;
  OwnerCalls m_ownerCalls;
  RemoteOwner m_remoteOwner;
  ConfigService m_config;
  ConfigExchange m_configExchange;
  ClaimService m_claims;
  SubmissionService m_submissions;
  Membership m_membership;
  Published<WorkerSizes> m_workers;
  CallerApi m_callerApi;
  OperatorApi m_operatorApi;
  Router m_router;
  std::unique_ptr<HttpServer> m_server;
  Address m_peerAddress;
  /// The highest revision told to the dispatcher; only the config service's
  /// hook uses it.
  Offset m_toldRevision = 0;
  /// Whether a VM list has named this VM; only the list's hook uses it.
  bool m_wasListed = false;
  std::mutex m_tickMutex;
  std::condition_variable m_stopTicks;
  bool m_stopping = false;
  std::thread m_ticks;
};

} // namespace cowslippin
