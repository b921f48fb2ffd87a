#include "bamboostile/placement/workspace_accounts.h"

#include "run_lookup.h"

namespace bamboostile::placement {

workspaces::Resources
ChargeOf(const jobs::StepSpec& aStep)
{
  return { aStep.m_resources.m_cpuMillis,
           aStep.m_resources.m_memoryMb,
           aStep.m_resources.m_accelerators };
}

workspaces::Accounts
ComputeAccounts(const fleet::State& aState,
                const WorkerTable& aWorkers,
                TimePoint aNow)
{
  const auto& configured = aState.Routes().m_workspaces;
  workspaces::Accounts accounts(
    configured ? *configured : std::vector<workspaces::Workspace>{});
  if (accounts.IsEmpty()) {
    return accounts;
  }
  const jobs::JobTable& book = aState.Jobs();
  for (const auto& [workspace, use] : book.UseByWorkspace()) {
    if (auto* account = accounts.Find(workspace)) {
      account->Add(use.m_resources);
    }
  }
  for (const auto& [id, worker] : aWorkers.Workers()) {
    for (const jobs::TaskRef& run :
         aWorkers.FindUntracked(worker, book, aNow)) {
      const jobs::StepSpec* step = FindStep(book, run);
      auto* account = step == nullptr
                        ? nullptr
                        : accounts.Find(book.Find(run.m_job)->m_workspace);
      if (account != nullptr) {
        account->Add(ChargeOf(*step));
      }
    }
  }
  return accounts;
}

// The state has every job accepted within the retention of ended jobs, so a
// workspace whose bucket was full at some moment of that time is judged as by
// the previous leader.
workspaces::ShareLimiter
RebuildShares(const fleet::State& aState, WallTime aWall, TimePoint aNow)
{
  std::vector<workspaces::AcceptedJob> accepted;
  for (const auto& [id, job] : aState.Jobs().Jobs()) {
    if (!job.m_workspace.Get().empty()) {
      accepted.push_back(
        { job.m_workspace, job.m_order, Millis{ job.m_acceptedAt.Get() } });
    }
  }
  return workspaces::ShareLimiter::Rebuild(
    std::move(accepted), aState.Workspaces(), Millis{ aWall.Get() }, aNow);
}

} // namespace bamboostile::placement
