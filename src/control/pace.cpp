#include "bamboostile/control/pace.h"

#include "bamboostile/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace bamboostile::control {

namespace {

/** Short compared with a lease, so that a log line shows the stage whose delay
 * made leases expire. */
constexpr Duration kLogInterval = Millis{ 1000 };

const char*
LogKeyOf(Stage aStage)
{
  switch (aStage) {
    case Stage::kReportQueued:
      return "reportQueuedMs";
    case Stage::kReportAnswered:
      return "reportAnsweredMs";
    case Stage::kBatchCommitted:
      return "batchCommittedMs";
    case Stage::kPlanPass:
      return "passMs";
    case Stage::kInstanceTick:
      return "instancesFollowMs";
    case Stage::kTickLate:
      return "tickLateMs";
    case Stage::kOrderSent:
      return "orderSentMs";
    case Stage::kOrderAnswered:
      return "orderAnsweredMs";
    case Stage::kAnswerWritten:
      return "answerWrittenMs";
  }
  return "otherMs";
}

} // namespace

void
StageLatencies::Observe(Stage aStage, Duration aTook)
{
  const std::lock_guard lock(m_mutex);
  StageMax& stage = m_stages[static_cast<std::size_t>(aStage)];
  ++stage.m_count;
  stage.m_max = std::max(stage.m_max, aTook);
}

void
StageLatencies::Log(TimePoint aNow, std::size_t aPendingOrders)
{
  if (aNow < m_nextLogAt) {
    return;
  }
  m_nextLogAt = aNow + kLogInterval;
  std::array<StageMax, kStageCount> all{};
  {
    const std::lock_guard lock(m_mutex);
    all = std::exchange(m_stages, {});
  }
  telemetry::LogLine line(telemetry::Level::kInfo,
                          "longest waits at the leader");
  for (std::size_t i = 0; i < kStageCount; ++i) {
    line.With(LogKeyOf(static_cast<Stage>(i)), ToMillis(all[i].m_max).count());
  }
  const auto countOf = [&](Stage aStage) {
    return all[static_cast<std::size_t>(aStage)].m_count;
  };
  line.With("reports", countOf(Stage::kReportQueued))
    .With("batches", countOf(Stage::kBatchCommitted))
    .With("passes", countOf(Stage::kPlanPass))
    .With("ordersUnderWay", aPendingOrders)
    .Write();
}

} // namespace bamboostile::control
