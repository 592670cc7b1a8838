#pragma once

#include "libcore/clock.h"

namespace cowslippin {

/// How long workers take to answer orders, and whether orders are being lost.
///
/// It answers orders that get no answer and are carried out seconds later. An
/// answer takes 1 to 3 ms; waiting 90 ms for one that doesn't come, and up to
/// 200 ms more for the next report, cost a job of eight tasks its ideal time in
/// two of five cases when one order in twenty was lost. The wait follows what
/// answers take, so that a daemon short of processor time doesn't give up
/// orders that are on their way. Lost reports are replaced sooner while orders
/// are seen to be lost; else a short report wait would only cost messages.
class AnswerTimes
{
public:
  struct Settings
  {
    /// The wait is never longer; it is so long until enough answers were seen.
    Duration longestWait = std::chrono::milliseconds(90);
    /// It is never shorter: ten times what an answer takes, and a tick.
    Duration shortestWait = std::chrono::milliseconds(30);
    /// Answers after which their times are trusted.
    unsigned enoughAnswers = 20;
    /// The wait is the mean and so many mean deviations.
    double deviations = 8;
    /// How long a worker holds its report back for an end to report. Three
    /// unanswered reports in a row still leave a lease of 750 ms alive.
    Duration reportWait = std::chrono::milliseconds(200);
    /// The same while orders are being lost.
    Duration shortReportWait = std::chrono::milliseconds(50);
    /// Orders count as being lost from so many without an answer ...
    double lossLimit = 3;
    /// ... in a moving sum of this time constant.
    Duration lossWindow = std::chrono::seconds(1);
  };

  explicit AnswerTimes(Settings settings)
    : m_settings(settings)
  {
  }

  /// A start was answered after this time.
  void answered(Duration time);
  /// An order got no answer in time.
  void unanswered(TimePoint now);

  /// How long to wait for the answer to an order that is answered at once.
  Duration answerWait() const;
  Duration reportWait(TimePoint now) const;

private:
  double losses(TimePoint now) const;

  const Settings m_settings;
  unsigned m_answers = 0;
  double m_mean = 0;
  double m_deviation = 0;
  double m_losses = 0;
  TimePoint m_lossAt{};
};

} // namespace cowslippin
