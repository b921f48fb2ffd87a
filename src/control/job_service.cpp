#include "bamboostile/control/job_service.h"

#include "batch_reply.h"
#include "worker_log.h"

#include "bamboostile/placement/workspace_accounts.h"
#include "bamboostile/telemetry/log.h"
#include "bamboostile/units/visit.h"

#include <algorithm>
#include <cmath>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

constexpr kj::Duration kTickInterval = 50 * kj::MILLISECONDS;
/** Maximum time between placement passes when no event triggers one: due times
 * pass, and excluded workers become available again. */
constexpr Duration kPlanInterval = Millis{ 250 };
constexpr Duration kInstanceTickInterval = Millis{ 100 };
constexpr Duration kLostCheckInterval = Millis{ 50 };
constexpr Duration kRemoveEndedInterval = std::chrono::seconds{ 5 };
constexpr Duration kStableCheckInterval = std::chrono::seconds{ 1 };
/** The platform keeps an instance down for longer than this. A report that
 * arrives earlier after an order is from an incarnation that the order ended.
 */
constexpr Duration kMinInstanceDowntime = Millis{ 1000 };

} // namespace

WallTime
WallNow()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return WallTime{ std::chrono::duration_cast<Millis>(since).count() };
}

JobService::JobService(Node& aNode,
                       kj::Timer& aTimer,
                       JobServiceOptions aOptions)
  : m_node(aNode)
  , m_timer(aTimer)
  , m_options(std::move(aOptions))
  , m_planner(m_options.m_mechanisms,
              placement::Search::kIndexed,
              m_options.m_memory)
  , m_tickDueAt(MonotonicNow())
  , m_tasks(*this)
{
  m_tasks.add(TickLoop());
}

void
JobService::taskFailed(kj::Exception&& aException)
{
  LogLine(Level::kWarning, "job task failed")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

bool
JobService::EnsureLeading()
{
  if (!m_node.IsServing()) {
    return false;
  }
  const Term term = m_node.Replica().CurrentTerm();
  if (!m_workers || term != m_term) {
    AnswerAllAsFollower();
    m_term = term;
    m_workers.emplace(m_options.m_lease, MonotonicNow());
    m_instances = std::make_unique<InstanceService>(
      m_node,
      m_options.m_calls,
      m_options.m_maintenance,
      m_options.m_capacity,
      term,
      m_latencies,
      [this](const WorkerIncarnation& aWorker, TimePoint aOrderedAt) {
        OnOrderAccepted(aWorker, aOrderedAt);
      },
      [this](const placement::InstanceList& aList) {
        m_workers->OnListed(aList, m_node.State().Jobs());
      });
    m_workers->SetOrderEffects(m_instances->Effects());
    m_queuedChanges.clear();
    m_startedAt.clear();
    m_workspaces = WorkspaceMonitor{};
    m_waiting = WaitingMonitor{};
    m_pendingJobs.clear();
    m_nextPendingCount = TimePoint{};
    RebuildShares();
    m_openProposals.clear();
    m_openProposalBytes = 0;
    m_intake = intake::Intake{};
    m_fullServices.clear();
    m_needsPlan = true;
  }
  return true;
}

void
JobService::RebuildShares()
{
  const TimePoint now = MonotonicNow();
  m_shares = placement::RebuildShares(m_node.State(), WallNow(), now);
  LogLine(Level::kInfo, "shares of workspaces rebuilt")
    .With("jobs", m_node.State().Jobs().Jobs().size())
    .With("version", m_node.State().Routes().m_version)
    .With("tookUs", (MonotonicNow() - now).count())
    .Write();
}

WorkerAnswer
JobService::NotLeaderAnswer() const
{
  WorkerAnswer answer;
  answer.m_leaderAddress = m_node.LeaderAddress();
  answer.m_refusal = "this replica does not lead";
  return answer;
}

void
JobService::StopStuckRuns(TimePoint aNow)
{
  for (const placement::StopOrder& stop :
       m_workers->FindStuckRuns(m_node.State().Jobs(), aNow)) {
    LogLine(Level::kWarning, "stopping a stuck run")
      .With("job", stop.m_task.m_job.Get())
      .With("step", stop.m_task.m_step)
      .With("task", stop.m_task.m_index)
      .With("run", stop.m_run.Get())
      .Write();
  }
}

void
JobService::OnIncarnationEnded(const WorkerIncarnation& aWorker)
{
  QueueEnds(m_workers->Retire(aWorker, m_node.State().Jobs(), WallNow()));
  m_needsPlan = true;
  ScheduleCycle();
}

void
JobService::OnOrderAccepted(const WorkerIncarnation& aWorker,
                            TimePoint aOrderedAt)
{
  QueueEnds(m_workers->RetireInstance(aWorker,
                                      aOrderedAt + kMinInstanceDowntime,
                                      m_node.State().Jobs(),
                                      WallNow()));
  m_needsPlan = true;
  ScheduleCycle();
}

std::string
JobService::RenderMetrics()
{
  const jobs::JobTable& jobTable = m_node.State().Jobs();
  m_metrics.Set("leader", EnsureLeading() ? 1 : 0);
  m_metrics.Set("term",
                static_cast<double>(m_node.Replica().CurrentTerm().Get()));
  m_metrics.Set("routes_version",
                static_cast<double>(m_node.State().Routes().m_version));
  m_metrics.Set("jobs_open", static_cast<double>(jobTable.OpenJobs().size()));
  m_metrics.Set("jobs_memory_bytes", static_cast<double>(jobTable.Bytes()));
  m_metrics.Set("tasks_lost_with_workers",
                static_cast<double>(jobTable.TasksWithLosses().size()));
  m_metrics.Set("workers_with_runs",
                static_cast<double>(jobTable.TasksByWorker().size()));
  m_node.ExportMetrics(m_metrics);
  if (m_workers) {
    m_workspaces.Export(m_node.State(), *m_workers, MonotonicNow(), m_metrics);
    m_waiting.Export(MonotonicNow(),
                     m_metrics,
                     EnsureLeading()
                       ? m_workers->LongestWithoutRun(jobTable, WallNow())
                       : Millis{});
  }
  return m_metrics.Render();
}

std::optional<std::string>
JobService::WorkspacesJson()
{
  if (!EnsureLeading()) {
    return std::nullopt;
  }
  return m_workspaces.Report(m_node.State(), *m_workers, MonotonicNow());
}

void
JobService::QueueEnds(std::vector<jobs::EndRun> aEnds)
{
  for (const placement::LostWorker& lost : m_workers->TakeLostWorkers()) {
    m_metrics.Count(std::string{ "workers_lost_total{cause=\"" } +
                    placement::Describe(lost.m_cause) + "\"}");
    LogLine line = WorkerLogLine(Level::kWarning, "worker lost", lost.m_worker);
    line.With("ofInstance", lost.m_instance.Get())
      .With("cause", placement::Describe(lost.m_cause))
      .With("silentMs", ToMillis(lost.m_unresponsiveFor).count())
      .With("runs", lost.m_runs)
      .With("starting", lost.m_unconfirmedStarts)
      .With("unsent", lost.m_unsentStarts)
      .With("lostBeside", lost.m_concurrentLosses)
      .With("withSameJob", lost.m_isLostWithSameJob)
      .With("exempt", placement::Describe(lost.m_exemption));
    if (const Cordon* cordon = m_instances->FindCordon(lost.m_worker)) {
      line.With("cordonedFor", Describe(cordon->m_cause))
        .With("cordonedMs", ToMillis(MonotonicNow() - cordon->m_since).count());
    }
    line.Write();
  }
  for (jobs::EndRun& end : aEnds) {
    m_metrics.Count(std::string{ "runs_ended_total{how=\"" } +
                    jobs::Describe(end.m_endReason) + "\"}");
    const jobs::Task* task = m_node.State().Jobs().FindTask(end.m_task);
    if (end.m_endReason != jobs::RunEnd::kDone || end.m_isLate) {
      LogLine line =
        WorkerLogLine(Level::kInfo,
                      "run ended",
                      task == nullptr ? WorkerIncarnation{} : task->m_worker);
      line.With("job", end.m_task.m_job.Get())
        .With("occurrence", end.m_task.m_occurrence)
        .With("step", end.m_task.m_step)
        .With("task", end.m_task.m_index)
        .With("run", end.m_run.Get())
        .With("how", jobs::Describe(end.m_endReason))
        .With("late", end.m_isLate)
        .With("evidence", jobs::Describe(end.m_evidence));
      if (end.m_ranUntil) {
        line.With("shownMsAgo", end.m_at.Get() - end.m_ranUntil->Get());
      }
      line.Write();
    }
    m_queuedChanges.emplace_back(std::move(end));
  }
}

void
JobService::ScheduleCycle()
{
  if (m_isCycleActive) {
    return;
  }
  m_isCycleActive = true;
  // Deferred, since a cycle may find a new term and replace the object that
  // called this function.
  m_tasks.add(kj::evalLater([this]() { return RunCycle(); }));
}

// Only one batch is in progress at a time: a plan made while starts are being
// committed would start the same tasks twice. Queued ends and the starts of a
// placement pass share a batch, so the pass works from the ends of the previous
// batch. A report is answered once a pass has taken its ends into account, as
// the answer carries the worker's next start. Leases must not depend on that: a
// disk that hangs during a batch would end the leases of all workers at about
// the same moment. So a report that has waited for its maximum delay is
// answered with the state committed by then.
kj::Promise<void>
JobService::RunCycle()
{
  if (!EnsureLeading()) {
    AnswerAllAsFollower();
    m_isCycleActive = false;
    return kj::READY_NOW;
  }
  const TimePoint now = MonotonicNow();
  AnswerOverdue(now);
  QueueLostRuns(now);
  TickInstances(now);
  std::vector<jobs::Change> changes = std::exchange(m_queuedChanges, {});
  std::vector<placement::Receipt> receipts = m_workers->TakeReceipts();
  if (!m_needsPlan && changes.empty()) {
    for (PendingReport& report : m_pendingReports) {
      report.m_isPlanned = true;
    }
    m_workers->Acknowledge(receipts);
    AnswerPlanned();
    m_isCycleActive = false;
    return kj::READY_NOW;
  }
  if (m_needsPlan && m_pacer.IsDue(!changes.empty(), now)) {
    Plan(now, changes);
  }
  for (PendingReport& report : m_pendingReports) {
    report.m_endsInBatch = true;
  }
  if (changes.empty()) {
    m_workers->Acknowledge(receipts);
    AnswerPlanned();
    return RunCycle();
  }
  return Commit(std::move(changes), std::move(receipts)).then([this]() {
    AnswerPlanned();
    return RunCycle();
  });
}

void
JobService::Plan(TimePoint aNow, std::vector<jobs::Change>& aChanges)
{
  m_needsPlan = false;
  m_nextPlan = aNow + kPlanInterval;
  for (PendingReport& report : m_pendingReports) {
    report.m_isPlanned = report.m_isPlanned || report.m_endsInBatch;
  }
  placement::Plan plan = m_planner.ComputePlan(
    m_node.State(), *m_workers, m_instances->Cordoned(), aNow, WallNow());
  m_workers->RecordPlannedStarts(plan.m_changes);
  m_workers->SetAccounts(std::move(plan.m_accounts));
  m_fullServices = std::move(plan.m_fullServices);
  UpdateIntake(std::move(plan.m_loads), aNow);
  m_waiting.OnPlanned(plan.m_waiting, aNow);
  m_instances->OnPlanned(plan.m_unplaced, aNow);
  WaitingMonitor::OnRestarted(plan.m_restarts);
  m_workspaces.OnPlanned(plan.m_atCap, m_node.State().Routes().m_version, aNow);
  for (const placement::StopOrder& stop : plan.m_stops) {
    LogLine(Level::kInfo, "moving a long-running task")
      .With("job", stop.m_task.m_job.Get())
      .With("step", stop.m_task.m_step)
      .With("task", stop.m_task.m_index)
      .With("run", stop.m_run.Get())
      .Write();
    m_workers->RequestStop(stop.m_task, stop.m_run);
  }
  std::move(
    plan.m_changes.begin(), plan.m_changes.end(), std::back_inserter(aChanges));
  const TimePoint ended = MonotonicNow();
  m_latencies.Observe(Stage::kPlanPass, ended - aNow);
  m_pacer.OnPassEnded(aNow, ended, m_sheddingLevel);
}

void
JobService::UpdateIntake(placement::PoolLoads aLoads, TimePoint aNow)
{
  // Workers report to a new leader one by one: until all have, a pool looks
  // smaller than it is, and jobs would be refused beside free capacity.
  const TimePoint allHaveReportedAt =
    m_workers->LeaderSince() + m_options.m_lease.m_unresponsiveAfter;
  if (!RefusesLate() || aNow < allHaveReportedAt) {
    return;
  }
  intake::PassResult pass{ std::move(aLoads), m_fullServices, {} };
  for (const placement::PoolCapacity& pool : m_instances->Pools()) {
    if (pool.m_arrivingCpu > 0) {
      pass.m_arriving[pool.m_service] = { pool.m_arrivingCpu,
                                          aNow + pool.m_arrivesAfter };
    }
  }
  m_intake.OnPlanned(std::move(pass), aNow);
}

void
JobService::RecordInIntake(const jobs::Job& aJob, TimePoint aNow)
{
  if (aJob.m_state != jobs::JobState::kCompleted) {
    m_intake.OnAbandoned(aJob.m_id);
    return;
  }
  if (const auto error = m_intake.OnCompleted(aJob.m_id, aNow)) {
    m_metrics.Observe("admission_estimate_error_seconds",
                      std::abs(std::chrono::duration<double>(*error).count()));
  }
}

// Called only between batches, as a batch in progress may contain the same
// ends. Under load, batches follow each other for seconds, so every cycle calls
// this; otherwise the long-running tasks of a crashed worker would stay down
// until the end of a peak.
void
JobService::QueueLostRuns(TimePoint aNow)
{
  if (aNow < m_nextLostCheck) {
    return;
  }
  m_nextLostCheck = aNow + kLostCheckInterval;
  auto lost =
    m_workers->CollectLostRuns(m_node.State().Jobs(), aNow, WallNow());
  if (lost.empty()) {
    return;
  }
  LogLine(Level::kWarning, "runs lost with their workers")
    .With("runs", lost.size())
    .Write();
  QueueEnds(std::move(lost));
  ScheduleCycle();
}

// Called only between batches: an instance whose start is still being committed
// is not idle, though the state does not show the start yet. Under load,
// batches follow each other for seconds, so every cycle calls this; otherwise
// no instance would be moved until the end of a peak.
void
JobService::TickInstances(TimePoint aNow)
{
  if (aNow < m_nextInstanceTick) {
    return;
  }
  m_nextInstanceTick = aNow + kInstanceTickInterval;
  m_instances->Tick(*m_workers,
                    m_planner.EstimatedDurations(),
                    m_sheddingLevel == placement::SheddingLevel::kNone,
                    aNow,
                    WallNow());
  m_latencies.Observe(Stage::kInstanceTick, MonotonicNow() - aNow);
}

kj::Promise<void>
JobService::Commit(std::vector<jobs::Change> aChanges,
                   std::vector<placement::Receipt> aReceipts)
{
  jobs::Batch batch{ aChanges };
  const TimePoint proposedAt = MonotonicNow();
  return m_node.Propose(batch).then(
    [this,
     proposedAt,
     term = m_term,
     changes = std::move(aChanges),
     receipts = std::move(aReceipts)](const ProposalResult& aResult) {
      const bool isSameTerm = term == m_term;
      const Duration took = MonotonicNow() - proposedAt;
      m_latencies.Observe(Stage::kBatchCommitted, took);
      m_metrics.Observe("batch_commit_seconds",
                        std::chrono::duration<double>(took).count());
      if (ReplyOf(aResult) == nullptr) {
        // The next leader finds out whether the changes are committed. Workers
        // repeat their ends, and starts are planned again.
        LogLine(Level::kWarning, "commit of a batch of runs undecided")
          .With("changes", changes.size())
          .Write();
        if (isSameTerm) {
          m_workers->Rollback(receipts);
        }
        return;
      }
      if (isSameTerm) {
        m_workers->Acknowledge(receipts);
      }
      RecordCommitted(changes, MonotonicNow());
      m_needsPlan = true;
    });
}

void
JobService::RecordCommitted(const std::vector<jobs::Change>& aChanges,
                            TimePoint aNow)
{
  const jobs::JobTable& jobTable = m_node.State().Jobs();
  for (const jobs::Change& change : aChanges) {
    if (const auto* start = std::get_if<jobs::StartRun>(&change)) {
      m_startedAt[start->m_task] = aNow;
      m_metrics.Count("runs_started_total");
      continue;
    }
    if (const auto* failed = std::get_if<jobs::FailJob>(&change)) {
      RecordIfEnded(failed->m_job, failed->m_at, true, aNow);
      continue;
    }
    const auto* end = std::get_if<jobs::EndRun>(&change);
    if (end == nullptr) {
      continue;
    }
    const auto started = m_startedAt.find(end->m_task);
    const jobs::Job* job = jobTable.Find(end->m_task.m_job);
    if (started != m_startedAt.end() && job != nullptr &&
        end->m_endReason == jobs::RunEnd::kDone) {
      m_planner.RecordDuration(job->m_spec.m_steps[end->m_task.m_step],
                               aNow - started->second);
    }
    if (started != m_startedAt.end()) {
      m_startedAt.erase(started);
    }
    RecordIfEnded(end->m_task.m_job,
                  end->m_at,
                  end->m_endReason == jobs::RunEnd::kWorkerLost,
                  aNow);
  }
}

void
JobService::RecordIfEnded(const JobId& aJob,
                          WallTime aAt,
                          bool aIsWorkerLost,
                          TimePoint aNow)
{
  const jobs::Job* job = m_node.State().Jobs().Find(aJob);
  if (job == nullptr || job->m_state == jobs::JobState::kActive ||
      job->m_endedAt != aAt) {
    return;
  }
  const std::int64_t tookMs = job->m_endedAt.Get() - job->m_acceptedAt.Get();
  m_metrics.Observe("job_seconds", static_cast<double>(tookMs) / 1000);
  LogLine(Level::kInfo, "job ended")
    .With("job", job->m_id.Get())
    .With("queue", job->m_queue.Get())
    .With("state", jobs::Describe(job->m_state))
    .With("reason", job->m_reason)
    .With("afterMs", tookMs)
    .Write();
  RecordInIntake(*job, aNow);
  if (aIsWorkerLost && job->m_state == jobs::JobState::kFailed) {
    RecordCrashLoop(*job);
  }
}

// Jobs that crash workers are given up one by one. The metric and the log line
// show operators that a queue keeps sending such jobs.
void
JobService::RecordCrashLoop(const jobs::Job& aJob)
{
  m_metrics.Count("jobs_crashing_workers_total{queue=\"" + aJob.m_queue.Get() +
                  "\"}");
  LogLine(Level::kWarning, "a job crashes its workers")
    .With("queue", aJob.m_queue.Get())
    .With("job", aJob.m_id.Get())
    .With("reason", aJob.m_reason)
    .Write();
}

void
JobService::UpdateShedding(TimePoint aNow)
{
  const placement::SheddingLevel level = m_shedder.Level(aNow);
  if (level != m_sheddingLevel) {
    LogLine(Level::kInfo, "load shedding level changed")
      .With("leavesUndone", placement::Describe(level))
      .With("before", placement::Describe(m_sheddingLevel))
      .Write();
  }
  m_sheddingLevel = level;
  m_workers->SetReportIntervalFactor(placement::ReportIntervalFactor(level));
}

kj::Promise<void>
JobService::TickLoop()
{
  const TimePoint now = MonotonicNow();
  if (EnsureLeading()) {
    m_latencies.Observe(Stage::kTickLate, now - std::min(now, m_tickDueAt));
    m_latencies.Log(now, m_instances->PendingOrders());
    UpdateShedding(now);
    if (!m_isCycleActive) {
      QueueLostRuns(now);
    }
    if (now >= m_nextRemoveEnded) {
      m_nextRemoveEnded = now + kRemoveEndedInterval;
      const WallTime before{ WallNow().Get() -
                             ToMillis(m_options.m_endedJobRetention).count() };
      m_queuedChanges.emplace_back(jobs::RemoveEndedJobs{ before });
    }
    if (now >= m_nextStableCheck) {
      m_nextStableCheck = now + kStableCheckInterval;
      const auto stable = m_workers->FindStableRuns(m_node.State().Jobs(), now);
      m_queuedChanges.insert(
        m_queuedChanges.end(), stable.begin(), stable.end());
    }
    if (!m_isCycleActive) {
      TickInstances(now);
    }
    StopStuckRuns(now);
    AnswerOverdue(now);
    AnswerHeld(true, now);
    if (now >= m_nextPlan) {
      m_needsPlan = true;
      ScheduleCycle();
    }
  } else {
    AnswerAllAsFollower();
  }
  m_tickDueAt = MonotonicNow() + Millis{ kTickInterval / kj::MILLISECONDS };
  return m_timer.afterDelay(kTickInterval).then([this]() {
    return TickLoop();
  });
}

kj::Promise<ChangeOutcome>
JobService::ReplaceRoutes(fleet::RouteTable aTable)
{
  if (!EnsureLeading()) {
    return ChangeOutcome::kNotLeader;
  }
  if (aTable.m_version <= m_node.State().Routes().m_version) {
    LogLine(Level::kInfo, "routes are no newer than those in force")
      .With("version", aTable.m_version)
      .With("inForce", m_node.State().Routes().m_version)
      .Write();
    return ChangeOutcome::kInForce;
  }
  if (m_node.IsStalled()) {
    return ChangeOutcome::kStalled;
  }
  const std::uint64_t version = aTable.m_version;
  return m_node.Propose(fleet::ReplaceRoutes{ std::move(aTable) })
    .then([this, version](const ProposalResult& aResult) {
      const bool decided = aResult.m_effect.has_value();
      LogLine(Level::kInfo, "routes replaced")
        .With("version", version)
        .With("decided", decided)
        .With("inForce", m_node.State().Routes().m_version)
        .Write();
      m_needsPlan = true;
      return decided ? ChangeOutcome::kInForce : ChangeOutcome::kUndecided;
    });
}

RoutesReadResult
JobService::ReadRoutes()
{
  if (!EnsureLeading()) {
    return {};
  }
  const fleet::RouteTable& routes = m_node.State().Routes();
  if (routes.m_version == 0) {
    return { ReadOutcome::kNoRoutes, "" };
  }
  return { ReadOutcome::kDone, routes.m_document };
}

kj::Promise<ChangeOutcome>
JobService::StartMaintenance(fleet::MaintenanceWave aWave)
{
  if (!EnsureLeading()) {
    return ChangeOutcome::kNotLeader;
  }
  if (m_node.IsStalled()) {
    return ChangeOutcome::kStalled;
  }
  aWave.m_startedAt = WallNow();
  LogLine(Level::kInfo, "maintenance wave requested")
    .With("wave", aWave.m_number)
    .With("instances", aWave.m_instances.size())
    .With("cap", aWave.m_cap)
    .With("withinMs", aWave.m_within.count())
    .Write();
  return m_node.Propose(fleet::StartMaintenance{ std::move(aWave) })
    .then([](const ProposalResult& aResult) {
      return aResult.m_effect ? ChangeOutcome::kInForce
                              : ChangeOutcome::kUndecided;
    });
}

WaveStatus
JobService::GetWaveStatus(std::uint64_t aWave)
{
  if (!EnsureLeading()) {
    return WaveStatus::kNotLeader;
  }
  const auto& waves = m_node.State().Maintenance();
  const auto found = waves.find(aWave);
  if (found == waves.end()) {
    return WaveStatus::kUnknown;
  }
  return found->second.IsDone() ? WaveStatus::kCompleted : WaveStatus::kRunning;
}

} // namespace bamboostile::control
