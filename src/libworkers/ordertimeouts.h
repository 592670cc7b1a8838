#pragma once

#include "libcore/clock.h"

namespace cowslippin {

/// Derives from the workers' answers how long to wait for an answer and for a
/// report.
///
/// An order may get no answer and still be carried out seconds later. An answer
/// takes 1 to 3 ms. With a fixed wait of 90 ms for a missing answer, and up to
/// 200 ms more for the next report, two of five jobs of eight tasks missed
/// their ideal time when one order in twenty was lost. The timeout therefore
/// follows the answer times, so that a daemon short of processor time doesn't
/// give up orders that are still in transit. While orders are being lost,
/// reports are requested with a shorter wait, so that a lost report is replaced
/// sooner; otherwise a short wait would only cost messages.
class OrderTimeouts
{
public:
  struct Settings
  {
    /// Upper bound of the answer timeout, and its value until `minAnswers`
    /// answers were received.
    Duration maxAnswerTimeout = std::chrono::milliseconds(90);
    /// Lower bound of the answer timeout: ten times the usual answer time, plus
    /// a tick.
    Duration minAnswerTimeout = std::chrono::milliseconds(30);
    /// Number of answers after which their times determine the timeout.
    unsigned minAnswers = 20;
    /// The timeout is the mean plus this many mean deviations.
    double deviationFactor = 8;
    /// How long a worker may hold back its report until a run ends. After three
    /// consecutive unanswered reports, a lease of 750 ms has still not expired.
    Duration reportWait = std::chrono::milliseconds(200);
    /// Used instead of `reportWait` while orders are being lost.
    Duration shortReportWait = std::chrono::milliseconds(50);
    /// Orders count as being lost if an exponentially decaying count of
    /// unanswered orders reaches this value.
    double lossThreshold = 3;
    /// Time constant of that decay.
    Duration lossTimeConstant = std::chrono::seconds(1);
    /// Upper bound of the event loop's lag that is added to a timeout. A report
    /// request that gets no answer is then repeated after at most 200 + 90 +
    /// 150 ms and the lag until that is noticed, 590 ms in total, while the
    /// lease of 750 ms has not expired.
    Duration maxLagAllowance = std::chrono::milliseconds(150);
  };

  explicit OrderTimeouts(Settings settings)
    : m_settings(settings)
  {
  }

  /// Records that a start was answered after this time.
  void addAnswerTime(Duration time);
  /// Records that an order was not answered before its timeout.
  void addUnanswered(TimePoint now);

  /// Sets how late the event loop reads what has arrived.
  void setLoopLag(Duration lag) { m_loopLag = lag; }

  /// Timeout of an order that is answered at once, with the lag of the event
  /// loop.
  Duration answerTimeout() const;
  /// The same without the lag: how soon an answer has to be read to show the
  /// present state of its worker.
  Duration promptAnswerTime() const;
  Duration reportWait(TimePoint now) const;

private:
  double losses(TimePoint now) const;

  const Settings m_settings;
  unsigned m_answers = 0;
  double m_mean = 0;
  double m_deviation = 0;
  double m_losses = 0;
  TimePoint m_lossAt{};
  Duration m_loopLag = Duration::zero();
};

} // namespace cowslippin
