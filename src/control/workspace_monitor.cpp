#include "bamboostile/control/workspace_monitor.h"

#include "bamboostile/placement/workspace_accounts.h"
#include "bamboostile/telemetry/log.h"
#include "bamboostile/units/json.h"

#include <algorithm>

namespace bamboostile::control {

namespace {

using Json = nlohmann::json;
using telemetry::Level;
using telemetry::LogLine;

/** Passes follow each other within milliseconds, and a task may wait for the
 * cap in every other one. */
constexpr Duration kBelowCapAfter = Millis{ 1000 };

Json
ToJson(const workspaces::Resources& aResources)
{
  return { { "cpuMillis", aResources.m_cpuMillis },
           { "memoryMb", aResources.m_memoryMb },
           { "accelerators", aResources.m_accelerators } };
}

double
TotalWeight(const std::vector<workspaces::Workspace>& aWorkspaces)
{
  double total = 0;
  for (const auto& workspace : aWorkspaces) {
    total += workspace.m_weight;
  }
  return total;
}

std::string
Labelled(const char* aMetric, const WorkspaceId& aWorkspace)
{
  // A JSON string is escaped like a label value in the text format.
  const Json name = aWorkspace.Get();
  return std::string{ aMetric } + "{workspace=" +
         name.dump(-1, ' ', true, Json::error_handler_t::replace) + "}";
}

} // namespace

void
WorkspaceMonitor::OnAccepted(const WorkspaceId& aWorkspace)
{
  if (!aWorkspace.Get().empty()) {
    ++m_counts[aWorkspace].m_accepted;
  }
}

void
WorkspaceMonitor::OnRefused(const WorkspaceId& aWorkspace)
{
  if (!aWorkspace.Get().empty()) {
    ++m_counts[aWorkspace].m_refused;
  }
}

void
WorkspaceMonitor::OnPlanned(
  const std::map<WorkspaceId, workspaces::Account>& aAtCap,
  std::uint64_t aVersion,
  TimePoint aNow)
{
  for (const auto& [id, account] : aAtCap) {
    const auto [found, isNew] = m_atCap.try_emplace(id, AtCap{ aNow, aNow });
    found->second.m_lastAt = aNow;
    if (isNew) {
      LogLine(Level::kInfo, "workspace reached its cap")
        .With("workspace", id.Get())
        .With("version", aVersion)
        .With("usedCpuMillis", account.Used().m_cpuMillis)
        .With("capCpuMillis", account.Cap().m_cpuMillis)
        .With("usedMemoryMb", account.Used().m_memoryMb)
        .With("capMemoryMb", account.Cap().m_memoryMb)
        .With("usedAccelerators", account.Used().m_accelerators)
        .With("capAccelerators", account.Cap().m_accelerators)
        .Write();
    }
  }
  std::erase_if(m_atCap, [&](const auto& aEntry) {
    const auto& [id, atCap] = aEntry;
    if (aNow < atCap.m_lastAt + kBelowCapAfter) {
      return false;
    }
    LogLine(Level::kInfo, "workspace is below its cap")
      .With("workspace", id.Get())
      .With("version", aVersion)
      .With("afterMs", ToMillis(atCap.m_lastAt - atCap.m_since).count())
      .Write();
    return true;
  });
}

WorkspaceMonitor::Counts
WorkspaceMonitor::CountsOf(const WorkspaceId& aWorkspace) const
{
  const auto found = m_counts.find(aWorkspace);
  return found == m_counts.end() ? Counts{} : found->second;
}

std::string
WorkspaceMonitor::Report(const fleet::State& aState,
                         const placement::WorkerTable& aWorkers,
                         TimePoint aNow) const
{
  const fleet::RouteTable& table = aState.Routes();
  Json rows = Json::array();
  if (table.m_workspaces) {
    auto accounts = placement::ComputeAccounts(aState, aWorkers, aNow);
    const double total = TotalWeight(*table.m_workspaces);
    for (const workspaces::Workspace& workspace : *table.m_workspaces) {
      const Counts counts = CountsOf(workspace.m_id);
      const auto atCap = m_atCap.find(workspace.m_id);
      Json row{ { "name", workspace.m_id },
                { "keys", workspace.m_keys.size() },
                { "weight", workspace.m_weight },
                { "share", total > 0 ? workspace.m_weight / total : 0 },
                { "cap", ToJson(workspace.m_cap) },
                { "running", ToJson(accounts.Find(workspace.m_id)->Used()) },
                { "accepted", counts.m_accepted },
                { "refused", counts.m_refused },
                { "waitsForCap", atCap != m_atCap.end() } };
      if (atCap != m_atCap.end()) {
        row["waitsForCapMs"] = ToMillis(aNow - atCap->second.m_since).count();
      }
      rows.push_back(std::move(row));
    }
  }
  const auto age = ToMillis(aNow - aWorkers.LeaderSince()).count();
  return Json{
    { "version", table.m_version },
    { "needsKeys", table.m_workspaces.has_value() },
    { "countedForMs", age },
    { "workspaces", std::move(rows) }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void
WorkspaceMonitor::Export(const fleet::State& aState,
                         const placement::WorkerTable& aWorkers,
                         TimePoint aNow,
                         telemetry::Metrics& aMetrics) const
{
  aMetrics.RemoveGauges("workspace_");
  const auto& workspaces = aState.Routes().m_workspaces;
  if (!workspaces) {
    return;
  }
  auto accounts = placement::ComputeAccounts(aState, aWorkers, aNow);
  const std::size_t count = std::min(workspaces->size(), kMaxWorkspaces);
  for (std::size_t i = 0; i < count; ++i) {
    const WorkspaceId& id = (*workspaces)[i].m_id;
    const workspaces::Resources& used = accounts.Find(id)->Used();
    const Counts counts = CountsOf(id);
    aMetrics.Set(Labelled("workspace_running_cpu_cores", id),
                 static_cast<double>(used.m_cpuMillis) / 1000);
    aMetrics.Set(Labelled("workspace_running_memory_mb", id),
                 static_cast<double>(used.m_memoryMb));
    aMetrics.Set(Labelled("workspace_waits_for_cap", id),
                 m_atCap.contains(id) ? 1 : 0);
    aMetrics.Set(Labelled("workspace_jobs_accepted", id),
                 static_cast<double>(counts.m_accepted));
    aMetrics.Set(Labelled("workspace_jobs_refused", id),
                 static_cast<double>(counts.m_refused));
  }
}

} // namespace bamboostile::control
