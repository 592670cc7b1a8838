#pragma once

#include "dispatchsettings.h"

#include <optional>

namespace cowslippin {

/// What one endpoint's attempts tell of it: how often they fail, how slow it
/// is against other endpoints, and whether it is ejected.
class EndpointHealth
{
public:
  /// An answered attempt; `relativeTime` is its run time over the learned one.
  void answered(double relativeTime);

  /// A failed attempt counts as a slow one, so that an endpoint that fails
  /// fast does not look idle.
  void failed(double relativeTime);

  /// Whether an attempt that got no answer, although a new connection to the
  /// endpoint worked, is put down to its connection alone. So is each that had
  /// started when the first such end was noticed; a later one means that the
  /// endpoint itself does not answer.
  bool forgivesSilence(TimePoint startedAt, TimePoint now);

  /// An attempt was answered; what falls silent after one that had started
  /// since the silence was noticed is forgiven anew.
  void answeredSilence(TimePoint startedAt);

  /// Drifts back towards typical when there was no attempt since the last call.
  void forget();

  double failureRatio() const { return m_failureRatio; }
  double slowness() const { return m_slowness; }

  /// Whether its own failures would justify ejecting it, when `othersRatio`
  /// of the attempts at other endpoints fail.
  bool isSuspect(const EjectionSettings& settings, double othersRatio) const;

  bool isEjected() const { return m_ejected; }
  bool isProbing() const { return m_probing; }
  TimePoint probeAt() const { return m_probeAt; }

  void eject(const EjectionSettings& settings, TimePoint now);
  void probeStarted();
  /// The probe ended: back in service, or a longer wait.
  void probeEnded(bool answered,
                  const EjectionSettings& settings,
                  TimePoint now);

private:
  void recordSlowness(double relativeTime);

  static constexpr double failureSmoothing = 0.1;
  static constexpr double slownessSmoothing = 0.2;
  static constexpr double failureSlowness = 4.0;
  static constexpr double slowestCounted = 50.0;
  static constexpr double forgetting = 0.05;
  /// Failures in a row are held against it when another endpoint would have
  /// them with less than this probability.
  static constexpr double chanceTaken = 1e-4;

  double m_failureRatio = 0.0;
  double m_slowness = 1.0;
  int m_consecutiveFailures = 0;
  int m_attempts = 0;
  bool m_seenSinceForget = false;
  bool m_ejected = false;
  bool m_probing = false;
  Duration m_backoff = Duration::zero();
  TimePoint m_probeAt;
  std::optional<TimePoint> m_silenceNoticedAt;
};

} // namespace cowslippin
