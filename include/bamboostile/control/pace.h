#pragma once

#include "bamboostile/units/time.h"

#include <array>
#include <cstddef>
#include <mutex>

namespace bamboostile::control {

/** Stages of the leader's work whose latency is measured. */
enum class Stage
{
  /** From the arrival of a report until the event loop handles it. */
  kReportQueued,
  /** From the arrival of a report to its answer. */
  kReportAnswered,
  /** From the proposal of a batch to its commit. */
  kBatchCommitted,
  kPlanPass,
  kInstanceTick,
  /** Delay of a tick behind its due time. */
  kTickLate,
  /** From the decision on an order for an instance to its first byte sent. */
  kOrderSent,
  /** From the decision on an order until its answer is handled. */
  kOrderAnswered,
  /** From an answer on the event loop until the HTTP thread writes it. */
  kAnswerWritten,
};

/**
 * @brief Keeps the maximum latency of each stage and logs it once per second.
 *
 * If one stage stalls, its maximum grows while the others do not, which sums
 * and means would hide. Thread-safe, as stages end on several threads.
 */
class StageLatencies
{
public:
  void Observe(Stage aStage, Duration aTook);
  /** Writes a log line if a second has passed since the last one. */
  void Log(TimePoint aNow, std::size_t aPendingOrders);

private:
  struct StageMax
  {
    std::size_t m_count = 0;
    Duration m_max{};
  };

  static constexpr std::size_t kStageCount = 9;
  std::mutex m_mutex;
  std::array<StageMax, kStageCount> m_stages{};
  TimePoint m_nextLogAt;
};

} // namespace bamboostile::control
