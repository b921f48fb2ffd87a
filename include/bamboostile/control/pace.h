#pragma once

#include "bamboostile/units/time.h"

#include <array>
#include <cstddef>
#include <mutex>

namespace bamboostile::control {

/** Where a leader's time goes, and where others wait for it. */
enum class Stage
{
  /** From the arrival of a report to the event loop's turn for it. */
  kReportQueued,
  /** From the arrival of a report to its answer. */
  kReportAnswered,
  /** From a proposed batch to its commit. */
  kBatchCommitted,
  kPassOfPlacing,
  kInstancesFollowed,
  /** By how much the regular look came later than planned. */
  kTickLate,
  /** From the decision on an order for an instance to its first byte. */
  kOrderSent,
  /** From that decision to the moment at which its answer counts. */
  kOrderAnswered,
  /** From an answer on the event loop to the HTTP thread's turn for it. */
  kAnswerWritten,
};

/**
 * @brief The longest wait at each stage, logged once in a second.
 *
 * What stands still shows as one stage growing while the others do not, which
 * sums and means hide. Stages end on several threads.
 */
class Pace
{
public:
  void Observe(Stage aStage, Duration aTook);
  /** Writes a line where a second has passed since the last one. */
  void Log(TimePoint aNow, std::size_t aOrdersUnderWay);

private:
  struct Seen
  {
    std::size_t m_count = 0;
    Duration m_longest{};
  };

  static constexpr std::size_t kStages = 9;
  std::mutex m_mutex;
  std::array<Seen, kStages> m_seen{};
  TimePoint m_nextLine;
};

} // namespace bamboostile::control
