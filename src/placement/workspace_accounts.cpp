#include "bamboostile/placement/workspace_accounts.h"

#include "run_lookup.h"

namespace bamboostile::placement {

namespace {

void
AddRunning(const jobs::Job& aJob, workspaces::Account& aAccount)
{
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::size_t s = 0; s < occurrence.m_steps.size(); ++s) {
      aAccount.Add(ChargeOf(aJob.m_spec.m_steps[s]),
                   occurrence.m_steps[s].m_running);
    }
  }
}

} // namespace

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
  for (const auto& [order, id] : book.OpenJobs()) {
    const jobs::Job& job = *book.Find(id);
    if (auto* account = accounts.Find(job.m_workspace)) {
      AddRunning(job, *account);
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
