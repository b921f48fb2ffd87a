#include "bamboostile/control/job_service.h"

#include <nlohmann/json.hpp>

namespace bamboostile::control {

namespace {

constexpr std::int64_t kMilliPerCoreSecond = 1000 * 1000;
constexpr std::int64_t kMilliPerCore = 1000;

void
AddEstimate(const intake::Estimate& aEstimate,
            TimePoint aNow,
            nlohmann::json& aRow)
{
  aRow["estimatedAgoMs"] = ToMillis(aNow - aEstimate.m_at).count();
  aRow["figuresAgeMs"] = ToMillis(aEstimate.m_age).count();
  aRow["startsAfterMs"] = aEstimate.m_start.count();
  aRow["endsAfterMs"] = aEstimate.m_end.count();
  aRow["limitMs"] = aEstimate.m_limit.count();
  aRow["criticalPathMs"] = aEstimate.m_criticalPath.count();
  aRow["aheadCoreSeconds"] =
    aEstimate.m_workAheadWithLate / kMilliPerCoreSecond;
  aRow["aheadOnTimeCoreSeconds"] = aEstimate.m_workAhead / kMilliPerCoreSecond;
  aRow["cores"] = aEstimate.m_cpu / kMilliPerCore;
  aRow["arrivingCores"] = aEstimate.m_arrivingCpu / kMilliPerCore;
  aRow["arriveAfterMs"] = aEstimate.m_arrivesAfter.count();
  aRow["rate"] = aEstimate.m_rate;
}

nlohmann::json
ToRow(const std::string& aName,
      const intake::QueueRecord& aRecord,
      TimePoint aNow)
{
  nlohmann::json row{
    { "name", aName },
    { "accepted", aRecord.m_accepted },
    { "refused", aRecord.m_refused },
    { "lastDecision",
      aRecord.m_isLastRefused ? "refused" : Describe(aRecord.m_lastReason) },
    { "endsObserved", aRecord.m_observed },
    { "meanErrorMs", static_cast<std::int64_t>(aRecord.m_meanErrorMs) },
    { "correction", aRecord.Correction() }
  };
  if (aRecord.m_last) {
    AddEstimate(*aRecord.m_last, aNow, row);
  }
  return row;
}

} // namespace

std::optional<std::string>
JobService::AdmissionJson()
{
  if (!EnsureLeading()) {
    return std::nullopt;
  }
  const TimePoint now = MonotonicNow();
  nlohmann::json report{ { "enabled", RefusesLate() },
                         { "estimatesAvailable", m_intake.HasEstimates(now) },
                         { "queues", nlohmann::json::array() } };
  if (const auto age = m_intake.EstimateAge(now)) {
    report["estimatesAgeMs"] = ToMillis(*age).count();
  }
  for (const fleet::QueueRoute& route : m_node.State().Routes().m_routes) {
    const auto found = m_intake.Queues().find(route.Queue());
    report["queues"].push_back(ToRow(
      route.m_name,
      found == m_intake.Queues().end() ? intake::QueueRecord{} : found->second,
      now));
  }
  return report.dump();
}

} // namespace bamboostile::control
