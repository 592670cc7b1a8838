#pragma once

#include "crowdclient.h"

#include "soak/daemonprocess.h"
#include "soak/freeports.h"
#include "soak/leasedplatform.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace cowslippin::testing {

/// A daemon of the platform as a process with small limits, with the platform's
/// store and workers, and a crowd of clients that don't behave.
class CrowdDaemon : public ::testing::Test
{
protected:
  static constexpr std::size_t memoryMegabytes = 40;
  static constexpr std::size_t maxDescriptors = 1000;
  /// Of the descriptors, those that are kept back for files.
  static constexpr std::size_t fileDescriptors = 200;

  CrowdDaemon();
  void SetUp() override;
  void TearDown() override;

  Address callerAddress() const { return address(1); }
  Address readinessAddress() const { return address(2); }
  Address peerAddress() const { return address(3); }
  Address operatorAddress() const { return address(4); }

  /// Adds clients to the crowd. Each gets its own copy of the settings.
  void addClients(unsigned count, const CrowdClient::Settings& settings);
  /// Waits until the crowd is there, submits a job while it stays and one after
  /// it has gone, and checks that both are served, that the process lives, and
  /// that it stays within its limits the whole time.
  void checkServiceBesideCrowd();

private:
  static constexpr std::uint16_t firstWorkerPort = 10;

  Address address(std::uint16_t offset) const;
  void startDaemon();
  /// Waits until one job is answered with 200; it is submitted again whenever
  /// it gets another answer or none.
  void checkThatAJobIsServed(const std::string& when);
  template<class Condition>
  bool await(Condition condition, Duration maxWait = hangLimit);
  void run();
  void measure();

  const std::string m_folder;
  const std::uint16_t m_firstPort = freePortRange(firstWorkerPort + 4);
  boost::asio::io_context m_context;
  std::unique_ptr<LeasedPlatform> m_platform;
  std::unique_ptr<DaemonProcess> m_daemon;
  std::vector<std::unique_ptr<CrowdClient>> m_crowd;
  unsigned m_jobs = 0;
  TimePoint m_nextMeasureAt{};
  std::size_t m_peakBytes = 0;
  std::size_t m_peakUnreadBytes = 0;
  std::size_t m_peakDescriptors = 0;
};

} // namespace cowslippin::testing
