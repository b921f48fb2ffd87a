#include "bamboostile/control/job_service.h"

#include "worker_log.h"

#include "bamboostile/telemetry/log.h"
#include "bamboostile/units/visit.h"

#include <algorithm>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

constexpr kj::Duration kTick = 50 * kj::MILLISECONDS;
/** Without any event, placing still looks this often: due times pass, and
 * workers that were set aside come back. */
constexpr Duration kPassInterval = Millis{ 250 };
constexpr Duration kInstancesInterval = Millis{ 100 };
constexpr Duration kLostInterval = Millis{ 50 };
constexpr Duration kForgetInterval = std::chrono::seconds{ 5 };
constexpr Duration kSettleInterval = std::chrono::seconds{ 1 };
/** The platform keeps an instance down for longer than this: what is heard of
 * it earlier after an order is a life that the order ended. */
constexpr Duration kSoonestNextLife = Millis{ 1000 };
/** What a caller whose job was not taken is told to wait. */
constexpr Millis kRetryAfter{ 1000 };

jobs::QueueReply
Plain(jobs::QueueOutcome aOutcome)
{
  jobs::QueueReply reply;
  reply.m_outcome = aOutcome;
  return reply;
}

const jobs::BatchReply*
ReplyOf(const Decided& aDecided)
{
  return aDecided.m_effect ? std::get_if<jobs::BatchReply>(&*aDecided.m_effect)
                           : nullptr;
}

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
  , m_planner(m_options.m_mechanisms)
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

// ----------------------------------------------------------------- leadership

bool
JobService::Leads()
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
      m_pace,
      [this](const WorkerLife& aWorker, TimePoint aOrderedAt) {
        OnOrderTaken(aWorker, aOrderedAt);
      });
    m_gathered.clear();
    m_startedAt.clear();
    m_isDirty = true;
  }
  return true;
}

WorkerAnswer
JobService::NotLeading() const
{
  WorkerAnswer answer;
  answer.m_leaderAddress = m_node.LeaderAddress();
  answer.m_refusal = "this replica does not lead";
  return answer;
}

// ---------------------------------------------------------------------- runs

void
JobService::StopStuckRuns(TimePoint aNow)
{
  for (const placement::StopOrder& stop :
       m_workers->FindStuck(m_node.State().Jobs(), aNow)) {
    LogLine(Level::kWarning, "stopping a stuck run")
      .With("job", stop.m_task.m_job.Get())
      .With("step", stop.m_task.m_step)
      .With("task", stop.m_task.m_index)
      .With("run", stop.m_run.Get())
      .Write();
  }
}

void
JobService::OnLifeEnded(const WorkerLife& aWorker)
{
  Gather(m_workers->Retire(aWorker, m_node.State().Jobs(), WallNow()));
  m_isDirty = true;
  Kick();
}

void
JobService::OnOrderTaken(const WorkerLife& aWorker, TimePoint aOrderedAt)
{
  Gather(m_workers->RetireInstance(
    aWorker, aOrderedAt + kSoonestNextLife, m_node.State().Jobs(), WallNow()));
  m_isDirty = true;
  Kick();
}

std::string
JobService::RenderMetrics()
{
  const jobs::Book& book = m_node.State().Jobs();
  m_metrics.Set("leader", Leads() ? 1 : 0);
  m_metrics.Set("term",
                static_cast<double>(m_node.Replica().CurrentTerm().Get()));
  m_metrics.Set("routes_version",
                static_cast<double>(m_node.State().Routes().m_version));
  m_metrics.Set("jobs_open", static_cast<double>(book.Open().size()));
  m_metrics.Set("tasks_lost_with_workers",
                static_cast<double>(book.LostWithWorkers().size()));
  m_metrics.Set("workers_with_runs", static_cast<double>(book.Placed().size()));
  return m_metrics.Render();
}

void
JobService::Gather(std::vector<jobs::EndRun> aEnds)
{
  for (const placement::LostWorker& lost : m_workers->TakeLost()) {
    m_metrics.Count(std::string{ "workers_lost_total{cause=\"" } +
                    placement::Describe(lost.m_cause) + "\"}");
    LineOf(Level::kWarning, "worker lost", lost.m_worker)
      .With("ofInstance", lost.m_instance.Get())
      .With("cause", placement::Describe(lost.m_cause))
      .With("silentMs", ToMillis(lost.m_silentFor).count())
      .With("runs", lost.m_runs)
      .With("starting", lost.m_starting)
      .With("lostBeside", lost.m_lostBeside)
      .Write();
  }
  for (jobs::EndRun& end : aEnds) {
    m_metrics.Count(std::string{ "runs_ended_total{how=\"" } +
                    jobs::Describe(end.m_how) + "\"}");
    const jobs::Task* task = m_node.State().Jobs().FindTask(end.m_task);
    if (end.m_how != jobs::RunEnd::kDone || end.m_isLate) {
      LineOf(Level::kInfo,
             "run ended",
             task == nullptr ? WorkerLife{} : task->m_worker)
        .With("job", end.m_task.m_job.Get())
        .With("occurrence", end.m_task.m_occurrence)
        .With("step", end.m_task.m_step)
        .With("task", end.m_task.m_index)
        .With("run", end.m_run.Get())
        .With("how", jobs::Describe(end.m_how))
        .With("late", end.m_isLate)
        .With("evidence", jobs::Describe(end.m_evidence))
        .Write();
    }
    m_gathered.emplace_back(std::move(end));
  }
}

void
JobService::Kick()
{
  if (m_isCycling) {
    return;
  }
  m_isCycling = true;
  // Later, as a cycle may find a new term and make anew what called this.
  m_tasks.add(kj::evalLater([this]() { return Cycle(); }));
}

// One batch at a time: a plan made while starts are on their way would start
// the same tasks twice. Ends that wait and the starts of a pass share a batch,
// so the pass works from the ends of the batch before; a report is answered
// once a pass has seen its ends, as its worker gets its next start with the
// answer. A lease must not hang on that: a disk that hangs under a batch would
// end the leases of all workers at about the same moment, so what has waited
// its time is answered with what is committed by then.
kj::Promise<void>
JobService::Cycle()
{
  if (!Leads()) {
    AnswerAllAsFollower();
    m_isCycling = false;
    return kj::READY_NOW;
  }
  const TimePoint now = MonotonicNow();
  AnswerOverdue(now);
  GatherLost(now);
  FollowInstances(now);
  std::vector<jobs::Change> changes = std::exchange(m_gathered, {});
  std::vector<placement::Receipt> receipts = m_workers->TakeReceipts();
  if (!m_isDirty && changes.empty()) {
    for (Waiting& one : m_waiting) {
      one.m_planned = true;
    }
    m_workers->Acknowledge(receipts);
    AnswerPlanned();
    m_isCycling = false;
    return kj::READY_NOW;
  }
  if (m_isDirty && m_pacer.IsDue(!changes.empty(), now)) {
    Plan(now, changes);
  }
  for (Waiting& one : m_waiting) {
    one.m_taken = true;
  }
  if (changes.empty()) {
    m_workers->Acknowledge(receipts);
    AnswerPlanned();
    return Cycle();
  }
  return Commit(std::move(changes), std::move(receipts)).then([this]() {
    AnswerPlanned();
    return Cycle();
  });
}

void
JobService::Plan(TimePoint aNow, std::vector<jobs::Change>& aChanges)
{
  m_isDirty = false;
  m_nextPass = aNow + kPassInterval;
  for (Waiting& one : m_waiting) {
    one.m_planned = one.m_planned || one.m_taken;
  }
  placement::Plan plan = m_planner.Next(
    m_node.State(), *m_workers, m_instances->Cordoned(), aNow, WallNow());
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
  m_pace.Observe(Stage::kPassOfPlacing, ended - aNow);
  m_pacer.OnPlanned(aNow, ended, m_shedding);
}

// Only between batches: while one is under way the same ends may be in it.
// Under load one follows the other for seconds, so each cycle asks; without
// that, long-running tasks of a crashed worker would stand still until a peak
// is over.
void
JobService::GatherLost(TimePoint aNow)
{
  if (aNow < m_nextLost) {
    return;
  }
  m_nextLost = aNow + kLostInterval;
  auto lost = m_workers->FindLost(m_node.State().Jobs(), aNow, WallNow());
  if (lost.empty()) {
    return;
  }
  LogLine(Level::kWarning, "runs lost with their workers")
    .With("runs", lost.size())
    .Write();
  Gather(std::move(lost));
  Kick();
}

// Only between batches: an instance on which a start is on its way is not idle,
// though the state does not show it yet. Under load one batch follows the other
// for seconds, so each cycle asks; without that no instance would be moved
// before a peak is over.
void
JobService::FollowInstances(TimePoint aNow)
{
  if (aNow < m_nextInstances) {
    return;
  }
  m_nextInstances = aNow + kInstancesInterval;
  m_instances->Tick(*m_workers,
                    m_planner.EstimatedDurations(),
                    m_shedding == placement::Shedding::kNothing,
                    aNow,
                    WallNow());
  m_workers->SetCordoned(m_instances->Cordoned());
  m_pace.Observe(Stage::kInstancesFollowed, MonotonicNow() - aNow);
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
     receipts = std::move(aReceipts)](const Decided& aDecided) {
      const bool isSameTerm = term == m_term;
      const Duration took = MonotonicNow() - proposedAt;
      m_pace.Observe(Stage::kBatchCommitted, took);
      m_metrics.Observe("batch_commit_seconds",
                        std::chrono::duration<double>(took).count());
      if (ReplyOf(aDecided) == nullptr) {
        // Whether they are committed is for the next leader to find out; the
        // workers repeat their ends, and starts are planned anew.
        LogLine(Level::kWarning, "a batch of runs was not decided")
          .With("changes", changes.size())
          .Write();
        if (isSameTerm) {
          m_workers->TakeBack(receipts);
        }
        return;
      }
      if (isSameTerm) {
        m_workers->Acknowledge(receipts);
      }
      LearnFrom(changes, MonotonicNow());
      m_isDirty = true;
    });
}

void
JobService::LearnFrom(const std::vector<jobs::Change>& aChanges, TimePoint aNow)
{
  const jobs::Book& book = m_node.State().Jobs();
  for (const jobs::Change& change : aChanges) {
    if (const auto* start = std::get_if<jobs::StartRun>(&change)) {
      m_startedAt[start->m_task] = aNow;
      m_metrics.Count("runs_started_total");
      continue;
    }
    const auto* end = std::get_if<jobs::EndRun>(&change);
    if (end == nullptr) {
      continue;
    }
    const auto started = m_startedAt.find(end->m_task);
    const jobs::Job* job = book.Find(end->m_task.m_job);
    if (started != m_startedAt.end() && job != nullptr &&
        end->m_how == jobs::RunEnd::kDone) {
      m_planner.Learn(job->m_spec.m_steps[end->m_task.m_step],
                      aNow - started->second);
    }
    if (started != m_startedAt.end()) {
      m_startedAt.erase(started);
    }
    if (job != nullptr && job->m_state != jobs::JobState::kActive &&
        job->m_endedAt == end->m_at) {
      const std::int64_t tookMs =
        job->m_endedAt.Get() - job->m_acceptedAt.Get();
      m_metrics.Observe("job_seconds", static_cast<double>(tookMs) / 1000);
      LogLine(Level::kInfo, "job ended")
        .With("job", job->m_id.Get())
        .With("queue", job->m_queue.Get())
        .With("state", jobs::Describe(job->m_state))
        .With("reason", job->m_reason)
        .With("afterMs", tookMs)
        .Write();
      NoteIfCrashLoop(*job, *end);
    }
  }
}

// Single jobs of a queue that crash workers are given up one by one; that the
// queue keeps sending them is for an operator to see.
void
JobService::NoteIfCrashLoop(const jobs::Job& aJob, const jobs::EndRun& aEnd)
{
  if (aEnd.m_how != jobs::RunEnd::kWorkerLost ||
      aJob.m_state != jobs::JobState::kFailed) {
    return;
  }
  m_metrics.Count("jobs_crashing_workers_total{queue=\"" + aJob.m_queue.Get() +
                  "\"}");
  LogLine(Level::kWarning, "a job crashes its workers")
    .With("queue", aJob.m_queue.Get())
    .With("job", aJob.m_id.Get())
    .With("reason", aJob.m_reason)
    .Write();
}

void
JobService::FollowLoad(TimePoint aNow)
{
  const placement::Shedding level = m_shedder.Level(aNow);
  if (level != m_shedding) {
    LogLine(Level::kInfo, "the leader is more or less full")
      .With("leavesUndone", placement::Describe(level))
      .With("before", placement::Describe(m_shedding))
      .Write();
  }
  m_shedding = level;
  m_workers->StretchReports(placement::ReportStretch(level));
}

kj::Promise<void>
JobService::TickLoop()
{
  const TimePoint now = MonotonicNow();
  if (Leads()) {
    m_pace.Observe(Stage::kTickLate, now - std::min(now, m_tickDueAt));
    m_pace.Log(now, m_instances->OrdersUnderWay());
    FollowLoad(now);
    if (!m_isCycling) {
      GatherLost(now);
    }
    if (now >= m_nextForget) {
      m_nextForget = now + kForgetInterval;
      const WallTime before{ WallNow().Get() -
                             ToMillis(m_options.m_keepEnded).count() };
      m_gathered.emplace_back(jobs::ForgetEnded{ before });
    }
    if (now >= m_nextSettle) {
      m_nextSettle = now + kSettleInterval;
      const auto settled = m_workers->FindSettled(m_node.State().Jobs(), now);
      m_gathered.insert(m_gathered.end(), settled.begin(), settled.end());
    }
    if (!m_isCycling) {
      FollowInstances(now);
    }
    StopStuckRuns(now);
    AnswerOverdue(now);
    AnswerHeld(true, now);
    if (now >= m_nextPass) {
      m_isDirty = true;
      Kick();
    }
  } else {
    AnswerAllAsFollower();
  }
  m_tickDueAt = MonotonicNow() + Millis{ kTick / kj::MILLISECONDS };
  return m_timer.afterDelay(kTick).then([this]() { return TickLoop(); });
}

// ------------------------------------------------------------------- callers

kj::Promise<jobs::QueueReply>
JobService::Call(jobs::QueueCall aCall)
{
  if (!Leads()) {
    jobs::QueueReply reply = Plain(jobs::QueueOutcome::kNotLeader);
    reply.m_leaderAddress = m_node.LeaderAddress();
    return reply;
  }
  const fleet::State& state = m_node.State();
  if (state.Routes().m_version == 0) {
    return Plain(jobs::QueueOutcome::kNoRoutes);
  }
  const auto found = state.RouteLookup().Find(aCall.m_host, aCall.m_path);
  if (!found) {
    return Plain(jobs::QueueOutcome::kNoQueue);
  }
  const fleet::QueueRoute& route = state.Routes().m_routes[*found];
  const JobId id{ aCall.m_path.substr(route.m_pathPrefix.size()) };
  if (aCall.m_kind == jobs::CallKind::kSubmit) {
    return Submit(route, id, std::move(aCall.m_spec));
  }
  if (id.Get().empty() && aCall.m_kind == jobs::CallKind::kLook) {
    jobs::QueueReply reply = Plain(jobs::QueueOutcome::kOk);
    reply.m_pending = state.Jobs().Pending(route.Queue());
    return reply;
  }
  const jobs::Job* job = state.Jobs().Find(id);
  if (job == nullptr || job->m_queue != route.Queue()) {
    return Plain(jobs::QueueOutcome::kNoJob);
  }
  if (aCall.m_kind == jobs::CallKind::kCancel) {
    return Cancel(id);
  }
  jobs::QueueReply reply = Plain(jobs::QueueOutcome::kOk);
  reply.m_state = jobs::ViewOf(*job);
  reply.m_detail = job->m_reason;
  return reply;
}

kj::Promise<jobs::QueueReply>
JobService::Submit(const fleet::QueueRoute& aRoute,
                   const JobId& aJob,
                   jobs::JobSpec aSpec)
{
  if (aJob.Get().empty() || aJob.Get().find('/') != std::string::npos) {
    jobs::QueueReply reply = Plain(jobs::QueueOutcome::kBadJob);
    reply.m_detail = "id: the path must be the queue's prefix and an id";
    return reply;
  }
  if (m_node.State().Jobs().Find(aJob) != nullptr) {
    return Plain(jobs::QueueOutcome::kOk);
  }
  if (m_node.IsStalled()) {
    jobs::QueueReply refused = Plain(jobs::QueueOutcome::kRefused);
    refused.m_retryAfter = kRetryAfter;
    return refused;
  }
  jobs::Batch batch;
  batch.m_changes.emplace_back(
    jobs::Submit{ aJob, aRoute.Queue(), std::move(aSpec), WallNow() });
  return m_node.Propose(batch).then(
    [this, aJob, queue = aRoute.Queue()](const Decided& aDecided) {
      const jobs::BatchReply* reply = ReplyOf(aDecided);
      if (reply == nullptr) {
        // Not proposed at all: nothing of it can ever run.
        const bool never = aDecided.m_error == consensus::Error::kNotReady;
        jobs::QueueReply answer = Plain(never ? jobs::QueueOutcome::kRefused
                                              : jobs::QueueOutcome::kUndecided);
        answer.m_retryAfter = kRetryAfter;
        return answer;
      }
      m_metrics.Count("jobs_accepted_total");
      LogLine(Level::kInfo, "job accepted")
        .With("job", aJob.Get())
        .With("queue", queue.Get())
        .With("repeated", reply->m_outcome == jobs::CallOutcome::kRepeated)
        .With("index", aDecided.m_index.Get())
        .Write();
      m_isDirty = true;
      Kick();
      return Plain(jobs::QueueOutcome::kOk);
    });
}

kj::Promise<jobs::QueueReply>
JobService::Cancel(const JobId& aJob)
{
  jobs::Batch batch;
  batch.m_changes.emplace_back(jobs::Cancel{ aJob, WallNow() });
  return m_node.Propose(batch).then([this, aJob](const Decided& aDecided) {
    if (ReplyOf(aDecided) == nullptr) {
      return Plain(jobs::QueueOutcome::kUndecided);
    }
    LogLine(Level::kInfo, "job cancelled")
      .With("job", aJob.Get())
      .With("index", aDecided.m_index.Get())
      .Write();
    m_isDirty = true;
    return Plain(jobs::QueueOutcome::kOk);
  });
}

// ------------------------------------------------------------------ operators

kj::Promise<RoutesOutcome>
JobService::ReplaceRoutes(fleet::RouteTable aTable)
{
  if (!Leads()) {
    return RoutesOutcome::kNotLeader;
  }
  if (aTable.m_version <= m_node.State().Routes().m_version) {
    LogLine(Level::kInfo, "routes are no newer than those in force")
      .With("version", aTable.m_version)
      .With("inForce", m_node.State().Routes().m_version)
      .Write();
    return RoutesOutcome::kInForce;
  }
  if (m_node.IsStalled()) {
    return RoutesOutcome::kStalled;
  }
  const std::uint64_t version = aTable.m_version;
  return m_node.Propose(fleet::ReplaceRoutes{ std::move(aTable) })
    .then([this, version](const Decided& aDecided) {
      const bool decided = aDecided.m_effect.has_value();
      LogLine(Level::kInfo, "routes replaced")
        .With("version", version)
        .With("decided", decided)
        .With("inForce", m_node.State().Routes().m_version)
        .Write();
      m_isDirty = true;
      return decided ? RoutesOutcome::kInForce : RoutesOutcome::kUndecided;
    });
}

RoutesRead
JobService::ReadRoutes()
{
  if (!Leads()) {
    return {};
  }
  const fleet::RouteTable& routes = m_node.State().Routes();
  if (routes.m_version == 0) {
    return { ReadOutcome::kNothing, "" };
  }
  return { ReadOutcome::kDone, routes.m_document };
}

kj::Promise<RoutesOutcome>
JobService::StartMaintenance(fleet::MaintenanceWave aWave)
{
  if (!Leads()) {
    return RoutesOutcome::kNotLeader;
  }
  if (m_node.IsStalled()) {
    return RoutesOutcome::kStalled;
  }
  aWave.m_startedAt = WallNow();
  LogLine(Level::kInfo, "maintenance wave asked for")
    .With("wave", aWave.m_number)
    .With("instances", aWave.m_instances.size())
    .With("cap", aWave.m_cap)
    .With("withinMs", aWave.m_within.count())
    .Write();
  return m_node.Propose(fleet::StartMaintenance{ std::move(aWave) })
    .then([](const Decided& aDecided) {
      return aDecided.m_effect ? RoutesOutcome::kInForce
                               : RoutesOutcome::kUndecided;
    });
}

WaveView
JobService::LookAtMaintenance(std::uint64_t aWave)
{
  if (!Leads()) {
    return WaveView::kNotLeader;
  }
  const auto& waves = m_node.State().Maintenance();
  const auto found = waves.find(aWave);
  if (found == waves.end()) {
    return WaveView::kUnknown;
  }
  return found->second.IsDone() ? WaveView::kCompleted : WaveView::kRunning;
}

} // namespace bamboostile::control
