#include "target_pool.h"

#include "run_lookup.h"

#include <algorithm>

namespace bamboostile::placement {

bool
Planner::Target::Fits(const jobs::StepSpec& aStep) const
{
  return !m_isUnresponsive && aStep.ReservedCpu() <= m_freeCpuMillis &&
         aStep.m_resources.m_memoryMb <= m_freeMemoryMb &&
         aStep.m_resources.m_accelerators <= m_freeAccelerators;
}

// The next crash of a worker may come from any task that is started there. A
// long-running task that is away again before it has run adds another lease to
// its absence, so nothing else is started beside it until it has run.
bool
Planner::IsRestart(const jobs::StepSpec& aStep, RunNumber aRun)
{
  return aStep.m_longRunning && aRun > RunNumber{ 1 };
}

bool
Planner::Target::MayStart(const jobs::StepSpec& aStep) const
{
  const bool isReserved =
    m_isReserved && !(m_isReservedForRestart && aStep.m_longRunning);
  return !isReserved && !m_isolatedTask && !AwaitsProbe() &&
         (!m_awaitsRestart || aStep.m_longRunning) && Fits(aStep);
}

bool
Planner::Target::FitsBesideLongRunning(const jobs::StepSpec& aStep) const
{
  return m_longRunningUse.LeavesCapacityFor(m_worker->m_lastReport.m_capacity,
                                            aStep);
}

bool
Planner::Target::FitsByReport(const jobs::StepSpec& aStep,
                              const jobs::JobTable& aBook)
{
  const WorkerReport& report = m_worker->m_lastReport;
  if (!m_reportedUse) {
    m_reportedUse.emplace();
    for (const RunReport& run : report.m_active) {
      if (const jobs::StepSpec* step = FindStep(aBook, run.m_task)) {
        m_reportedUse->Add(*step);
      }
    }
  }
  return m_reportedUse->LeavesCapacityFor(report.m_capacity, aStep);
}

void
Planner::Target::Allocate(const jobs::StepSpec& aStep)
{
  m_freeCpuMillis -= aStep.ReservedCpu();
  m_freeMemoryMb -= aStep.m_resources.m_memoryMb;
  m_freeAccelerators -= aStep.m_resources.m_accelerators;
  m_hostsLatencySensitive =
    m_hostsLatencySensitive || aStep.m_latencyTarget > Millis::zero();
  m_hostsLongRunning = m_hostsLongRunning || aStep.m_longRunning;
  if (aStep.m_longRunning) {
    m_longRunningUse.Add(aStep);
  }
  m_hostsGang = m_hostsGang || aStep.m_gang;
  ++m_runs;
}

void
Planner::Target::Allocate(const jobs::WorkerUse& aUse)
{
  m_freeCpuMillis -= aUse.m_cpuMillis;
  m_freeMemoryMb -= aUse.m_memoryMb;
  m_freeAccelerators -= aUse.m_accelerators;
  m_hostsLatencySensitive = aUse.m_latencySensitive > 0;
  m_hostsLongRunning = aUse.m_longRunning > 0;
  m_longRunningUse = { aUse.m_longRunningCpuMillis,
                       aUse.m_longRunningMemoryMb,
                       aUse.m_longRunningAccelerators };
  m_hostsGang = aUse.m_inGang > 0;
  m_runs = aUse.m_runs;
}

void
Planner::Pool::Allocate(Target& aTarget, const jobs::StepSpec& aStep)
{
  BeforeChange(aTarget);
  aTarget.Allocate(aStep);
  AfterChange(PositionOf(aTarget));
}

void
Planner::Pool::Start(Target& aTarget,
                     const jobs::StepSpec& aStep,
                     RunNumber aRun)
{
  BeforeChange(aTarget);
  aTarget.Allocate(aStep);
  ++aTarget.m_unconfirmed;
  aTarget.m_awaitsRestart = aTarget.m_awaitsRestart || IsRestart(aStep, aRun);
  AfterChange(PositionOf(aTarget));
}

void
Planner::Pool::AddIsolatedRun(Target& aTarget, const IsolatedRun& aRun)
{
  BeforeChange(aTarget);
  aTarget.AddIsolatedRun(aRun);
  AfterChange(PositionOf(aTarget));
}

void
Planner::Pool::Reserve(Target& aTarget)
{
  BeforeChange(aTarget);
  aTarget.m_isReserved = true;
  ++m_reserved;
  AfterChange(PositionOf(aTarget));
}

// Several of the tasks may share the worker once its other runs have ended.
std::size_t
Planner::Target::CountFitting(const jobs::StepSpec& aStep,
                              std::uint32_t aLimit) const
{
  ReservedCapacity use = m_longRunningUse;
  std::size_t count = 0;
  while (count < aLimit &&
         use.LeavesCapacityFor(m_worker->m_lastReport.m_capacity, aStep)) {
    use.Add(aStep);
    ++count;
  }
  return count;
}

void
Planner::Pool::ReserveForRestart(Target& aTarget)
{
  Reserve(aTarget);
  aTarget.m_isReservedForRestart = true;
}

// The failure of a gang's later member may be due to the earlier ones, whose
// starts may be undone.
void
Planner::Pool::RecordFailure(const jobs::StepSpec& aStep)
{
  if (m_saved.empty()) {
    m_failed.Add(aStep);
  }
}

WorkerCensus
Planner::Pool::CountWorkers(const jobs::StepSpec& aStep,
                            const TasksPerWorker& aTasksPerWorker,
                            const jobs::JobTable& aBook)
{
  WorkerCensus census;
  census.m_excluded = m_excluded;
  for (Target& target : m_targets) {
    const std::uint32_t tasksOnWorker =
      TasksOnWorker(target.m_worker->m_lastReport.m_worker, aTasksPerWorker);
    if (target.m_isUnresponsive) {
      ++census.m_unresponsive;
    } else if (!IsAllowed(aStep, tasksOnWorker, target)) {
      ++census.m_disallowed;
    } else if (!target.Fits(aStep)) {
      ++census.m_full;
      census.m_fullOfLongRunning += target.FitsBesideLongRunning(aStep) ? 0 : 1;
      census.m_fullByReport += target.FitsByReport(aStep, aBook) ? 0 : 1;
    } else {
      ++census.m_withheld;
    }
  }
  return census;
}

std::uint32_t
Planner::Pool::CountWithoutRoom(const jobs::StepSpec& aStep,
                                std::uint32_t aCount,
                                const TasksPerWorker& aTasksPerWorker)
{
  for (Target& target : m_targets) {
    if (aCount == 0) {
      break;
    }
    const WorkerReport& report = target.m_worker->m_lastReport;
    ReservedCapacity use =
      target.m_expectedUse.value_or(target.m_longRunningUse);
    std::uint32_t tasks = TasksOnWorker(report.m_worker, aTasksPerWorker);
    while (aCount > 0 && IsAllowed(aStep, tasks, target) &&
           use.LeavesCapacityFor(report.m_capacity, aStep)) {
      use.Add(aStep);
      ++tasks;
      --aCount;
    }
    target.m_expectedUse = use;
  }
  return aCount;
}

// Free CPU only decreases while no trial is under way, so a top entry that
// still shows what its target has is the greatest of all.
Planner::Target*
Planner::Pool::FindEmptiest(const jobs::StepSpec& aStep,
                            const TasksPerWorker& aTasksPerWorker)
{
  const auto isLess = [](const FreeCpuIndex::Entry& aLeft,
                         const FreeCpuIndex::Entry& aRight) {
    return aLeft.m_freeCpuMillis != aRight.m_freeCpuMillis
             ? aLeft.m_freeCpuMillis < aRight.m_freeCpuMillis
             : aLeft.m_position > aRight.m_position;
  };
  const auto push = [&](FreeCpuIndex::Entry aEntry) {
    m_byEmptiest.push_back(aEntry);
    std::push_heap(m_byEmptiest.begin(), m_byEmptiest.end(), isLess);
  };
  if (!m_isSortedByEmptiest) {
    m_isSortedByEmptiest = true;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
      m_byEmptiest.push_back(EntryOf(i, m_targets[i].m_freeCpuMillis));
    }
    std::make_heap(m_byEmptiest.begin(), m_byEmptiest.end(), isLess);
  }
  Target* emptiest = nullptr;
  std::vector<FreeCpuIndex::Entry> examined;
  while (emptiest == nullptr && !m_byEmptiest.empty()) {
    std::pop_heap(m_byEmptiest.begin(), m_byEmptiest.end(), isLess);
    const FreeCpuIndex::Entry top = m_byEmptiest.back();
    m_byEmptiest.pop_back();
    Target& target = m_targets[top.m_position];
    if (target.m_isReserved || !target.IsOpen()) {
      continue;
    }
    if (target.m_freeCpuMillis != top.m_freeCpuMillis) {
      push(EntryOf(top.m_position, target.m_freeCpuMillis));
      continue;
    }
    examined.push_back(top);
    const std::uint32_t tasksOnWorker =
      TasksOnWorker(target.m_worker->m_lastReport.m_worker, aTasksPerWorker);
    if (IsAllowed(aStep, tasksOnWorker, target) &&
        target.FitsBesideLongRunning(aStep)) {
      emptiest = &target;
    }
  }
  std::for_each(examined.begin(), examined.end(), push);
  return emptiest;
}

void
Planner::Pool::Commit()
{
  m_isTrial = false;
  m_saved.clear();
}

void
Planner::Pool::Rollback()
{
  m_isTrial = false;
  for (; !m_saved.empty(); m_saved.pop_back()) {
    SavedTarget& saved = m_saved.back();
    m_targets[saved.m_position] = std::move(saved.m_target);
    AfterChange(saved.m_position);
  }
}

void
Planner::Pool::BeforeChange(const Target& aTarget)
{
  if (m_isTrial) {
    m_saved.push_back({ PositionOf(aTarget), aTarget });
  }
}

void
Planner::Pool::AfterChange(std::size_t aPosition)
{
  if (!m_isIndexed) {
    return;
  }
  const Target& target = m_targets[aPosition];
  const auto before = m_indexedCpu[aPosition];
  const auto after =
    target.IsOpen() ? std::optional{ target.m_freeCpuMillis } : std::nullopt;
  if (before == after) {
    return;
  }
  m_indexedCpu[aPosition] = after;
  for (FreeCpuIndex* index : { &m_all, &m_racks[m_rackOf[aPosition]] }) {
    if (before && after) {
      index->Replace(EntryOf(aPosition, *before), EntryOf(aPosition, *after));
    } else if (before) {
      index->Erase(EntryOf(aPosition, *before));
    } else {
      index->Insert(EntryOf(aPosition, *after));
    }
  }
}

void
Planner::Pool::BuildIndex()
{
  m_isIndexed = true;
  m_rackOf.resize(m_targets.size());
  m_indexedCpu.resize(m_targets.size());
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    const Target& target = m_targets[i];
    const auto [rack, isNew] = m_rackNumbers.try_emplace(
      target.m_worker->m_lastReport.m_rack, m_racks.size());
    if (isNew) {
      m_racks.emplace_back();
    }
    m_rackOf[i] = rack->second;
    if (target.IsOpen()) {
      m_indexedCpu[i] = target.m_freeCpuMillis;
      m_all.Append(EntryOf(i, target.m_freeCpuMillis));
      m_racks[rack->second].Append(EntryOf(i, target.m_freeCpuMillis));
    }
  }
  m_all.Sort();
  for (FreeCpuIndex& rack : m_racks) {
    rack.Sort();
  }
}

FreeCpuIndex*
Planner::Pool::FindRack(const RackId& aRack)
{
  const auto found = m_rackNumbers.find(aRack);
  return found == m_rackNumbers.end() ? nullptr : &m_racks[found->second];
}

Planner::Target*
Planner::Pool::FindTightest(const jobs::StepSpec& aStep,
                            const TasksPerWorker& aTasksPerWorker)
{
  if (!m_isIndexed) {
    BuildIndex();
  }
  if (!aStep.m_preferredRack.Get().empty()) {
    const FreeCpuIndex* rack = FindRack(aStep.m_preferredRack);
    Target* target =
      rack == nullptr ? nullptr : FindTightest(*rack, aStep, aTasksPerWorker);
    if (target != nullptr) {
      return target;
    }
  }
  return FindTightest(m_all, aStep, aTasksPerWorker);
}

Planner::Target*
Planner::Pool::FindTightest(const FreeCpuIndex& aIndex,
                            const jobs::StepSpec& aStep,
                            const TasksPerWorker& aTasksPerWorker)
{
  for (auto it = aIndex.FindFirst(aStep.ReservedCpu()); it != aIndex.End();
       ++it) {
    Target& target = m_targets[it->m_position];
    if (target.MayStart(aStep) &&
        IsAllowed(aStep,
                  TasksOnWorker(target.m_worker->m_lastReport.m_worker,
                                aTasksPerWorker),
                  target)) {
      return &target;
    }
  }
  return nullptr;
}

} // namespace bamboostile::placement
