#include "bamboostile/control/pace.h"

#include "bamboostile/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace bamboostile::control {

namespace {

/** Short beside a lease: a line shows the stage that ends one. */
constexpr Duration kLineInterval = Millis{ 1000 };

const char*
FieldOf(Stage aStage)
{
  switch (aStage) {
    case Stage::kReportQueued:
      return "reportQueuedMs";
    case Stage::kReportAnswered:
      return "reportAnsweredMs";
    case Stage::kBatchCommitted:
      return "batchCommittedMs";
    case Stage::kPassOfPlacing:
      return "passMs";
    case Stage::kInstancesFollowed:
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
Pace::Observe(Stage aStage, Duration aTook)
{
  const std::lock_guard lock(m_mutex);
  Seen& seen = m_seen[static_cast<std::size_t>(aStage)];
  ++seen.m_count;
  seen.m_longest = std::max(seen.m_longest, aTook);
}

void
Pace::Log(TimePoint aNow, std::size_t aOrdersUnderWay)
{
  if (aNow < m_nextLine) {
    return;
  }
  m_nextLine = aNow + kLineInterval;
  std::array<Seen, kStages> all{};
  {
    const std::lock_guard lock(m_mutex);
    all = std::exchange(m_seen, {});
  }
  telemetry::LogLine line(telemetry::Level::kInfo,
                          "longest waits at the leader");
  for (std::size_t i = 0; i < kStages; ++i) {
    line.With(FieldOf(static_cast<Stage>(i)),
              ToMillis(all[i].m_longest).count());
  }
  const auto countOf = [&](Stage aStage) {
    return all[static_cast<std::size_t>(aStage)].m_count;
  };
  line.With("reports", countOf(Stage::kReportQueued))
    .With("batches", countOf(Stage::kBatchCommitted))
    .With("passes", countOf(Stage::kPassOfPlacing))
    .With("ordersUnderWay", aOrdersUnderWay)
    .Write();
}

} // namespace bamboostile::control
