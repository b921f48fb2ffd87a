// The calls of JobService by which callers submit, query and cancel jobs.

#include "bamboostile/control/job_service.h"

#include "batch_reply.h"

#include "bamboostile/intake/job_demand.h"
#include "bamboostile/placement/unbegun_jobs.h"
#include "bamboostile/telemetry/log.h"
#include "bamboostile/units/id_text.h"
#include "bamboostile/workspaces/directory.h"

#include <algorithm>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

/** Retry delay sent to a caller whose job was not accepted. */
constexpr Millis kRetryAfter{ 1000 };
/** The same for a job that was refused for lack of memory: ended jobs are
 * removed at this interval. */
constexpr Millis kRetryAfterFull{ 5000 };
/** Callers of all queues poll, and a count visits each run: minimum time from
 * one to the next, absolute and as a multiple of the time that it takes. */
constexpr Duration kPendingCountInterval = Millis{ 500 };
constexpr int kPendingCountShare = 100;
/** Thousandths of a core times ms, in a core-second. */
constexpr std::int64_t kMilliPerCoreSecond = 1000 * 1000;
constexpr std::int64_t kMilliPerCore = 1000;

jobs::QueueReply
ReplyWith(jobs::QueueOutcome aOutcome)
{
  jobs::QueueReply reply;
  reply.m_outcome = aOutcome;
  return reply;
}

} // namespace

kj::Promise<jobs::QueueReply>
JobService::Call(jobs::QueueCall aCall)
{
  if (!EnsureLeading()) {
    jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kNotLeader);
    reply.m_leaderAddress = m_node.LeaderAddress();
    return reply;
  }
  const fleet::State& state = m_node.State();
  if (state.Routes().m_version == 0) {
    return ReplyWith(jobs::QueueOutcome::kNoRoutes);
  }
  const auto found = state.RouteLookup().Find(aCall.m_host, aCall.m_path);
  if (!found) {
    return ReplyWith(jobs::QueueOutcome::kNoQueue);
  }
  const fleet::QueueRoute& route = state.Routes().m_routes[*found];
  const auto workspace = state.Authenticate(route, aCall.m_key);
  if (!workspace) {
    return RefuseUnauthorized(aCall, route);
  }
  const JobId id{ aCall.m_path.substr(route.m_pathPrefix.size()) };
  if (aCall.m_kind == jobs::CallKind::kSubmit) {
    return Submit(route, id, *workspace, std::move(aCall.m_spec));
  }
  if (id.Get().empty() && aCall.m_kind == jobs::CallKind::kQuery) {
    jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kOk);
    reply.m_pending = CountPendingJobs(route.Queue());
    return reply;
  }
  const jobs::Job* job = state.Jobs().Find(id);
  const bool isVisible =
    job != nullptr && job->m_queue == route.Queue() &&
    (route.m_isPublic || workspaces::MayAccess(*workspace, job->m_workspace));
  if (!isVisible) {
    return ReplyWith(jobs::QueueOutcome::kNoJob);
  }
  if (aCall.m_kind == jobs::CallKind::kCancel) {
    return Cancel(id);
  }
  jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kOk);
  reply.m_state = jobs::ViewOf(*job);
  reply.m_detail = job->m_reason;
  return reply;
}

// Both parts of the sum are of the same moment: between two counts a job that
// is placed would be in neither.
std::uint64_t
JobService::CountPendingJobs(const QueueId& aQueue)
{
  const jobs::JobTable& book = m_node.State().Jobs();
  const TimePoint now = MonotonicNow();
  if (now >= m_nextPendingCount) {
    m_pendingJobs = placement::CountUnbegunJobs(book, *m_workers);
    for (const fleet::QueueRoute& route : m_node.State().Routes().m_routes) {
      m_pendingJobs[route.Queue()] += book.PendingJobs(route.Queue());
    }
    const TimePoint end = MonotonicNow();
    m_nextPendingCount =
      end + std::max(kPendingCountInterval, kPendingCountShare * (end - now));
  }
  const auto counted = m_pendingJobs.find(aQueue);
  return std::max(book.PendingJobs(aQueue),
                  counted == m_pendingJobs.end() ? 0 : counted->second);
}

jobs::QueueReply
JobService::RefuseUnauthorized(const jobs::QueueCall& aCall,
                               const fleet::QueueRoute& aRoute)
{
  m_metrics.Count("calls_unauthorized_total");
  if (const auto suppressed = m_unauthorizedLog.Admit(MonotonicNow())) {
    LogLine(Level::kInfo, "call without a valid key refused")
      .With("kind", jobs::Describe(aCall.m_kind))
      .With("queue", aRoute.m_name)
      .With("hasKey", !aCall.m_key.Get().empty())
      .With("version", m_node.State().Routes().m_version)
      .With("unloggedBefore", *suppressed)
      .Write();
  }
  return ReplyWith(jobs::QueueOutcome::kUnauthorized);
}

jobs::QueueReply
JobService::RefuseBeyondShare(const WorkspaceId& aWorkspace, Millis aRetryAfter)
{
  m_metrics.Count("jobs_refused_beyond_share_total");
  m_workspaces.OnRefused(aWorkspace);
  if (const auto suppressed = m_beyondShareLog.Admit(MonotonicNow())) {
    LogLine(Level::kInfo, "job beyond the share of its workspace refused")
      .With("workspace", aWorkspace.Get())
      .With("version", m_node.State().Routes().m_version)
      .With("retryAfterMs", aRetryAfter.count())
      .With("unloggedBefore", *suppressed)
      .Write();
  }
  jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kRefused);
  reply.m_retryAfter = aRetryAfter;
  return reply;
}

jobs::QueueReply
JobService::RefuseLate(const intake::Submission& aSubmission,
                       const intake::Refused& aRefused,
                       const WorkspaceId& aWorkspace)
{
  m_metrics.Count("jobs_refused_late_total");
  m_workspaces.OnRefused(aWorkspace);
  if (const auto suppressed = m_lateLog.Admit(MonotonicNow())) {
    const intake::Estimate& estimate = aRefused.m_estimate;
    LogLine(Level::kInfo, "job refused: cannot end in time")
      .With("job", aSubmission.m_job.Get())
      .With("queue", aSubmission.m_queue.Get())
      .With("service", aSubmission.m_service.Get())
      .With("workspace", aWorkspace.Get())
      .With("startsAfterMs", estimate.m_start.count())
      .With("endsAfterMs", estimate.m_end.count())
      .With("limitMs", estimate.m_limit.count())
      .With("criticalPathMs", estimate.m_criticalPath.count())
      .With("aheadCoreSeconds",
            estimate.m_workAheadWithLate / kMilliPerCoreSecond)
      .With("cores", estimate.m_cpu / kMilliPerCore)
      .With("arrivingCores", estimate.m_arrivingCpu / kMilliPerCore)
      .With("rate", estimate.m_rate)
      .With("correction", estimate.m_correction)
      .With("estimateAgeMs", ToMillis(estimate.m_age).count())
      .With("retryAfterMs", aRefused.m_retryAfter.count())
      .With("unloggedBefore", *suppressed)
      .Write();
  }
  jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kRefused);
  reply.m_retryAfter = aRefused.m_retryAfter;
  return reply;
}

// The id of a job of another workspace cannot be used. The reply is the same as
// for any other unusable id, and shows nothing of that job.
jobs::QueueReply
JobService::ReplyToRepeatedSubmit(const JobId& aJob,
                                  const QueueId& aQueue,
                                  const WorkspaceId& aWorkspace) const
{
  const jobs::Job* job = m_node.State().Jobs().Find(aJob);
  if (job == nullptr || (job->m_queue == aQueue &&
                         workspaces::MayAccess(aWorkspace, job->m_workspace))) {
    return ReplyWith(jobs::QueueOutcome::kOk);
  }
  jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kBadJob);
  reply.m_detail = "id: cannot be used";
  return reply;
}

// A step or an occurrence costs little until it begins, so the number of tasks
// is no measure: what counts is the sum over all jobs, also of those that have
// ended and are still kept.
std::optional<jobs::QueueReply>
JobService::RefuseIfTooLarge(const JobId& aJob,
                             const jobs::JobSpec& aSpec,
                             const WorkspaceId& aWorkspace)
{
  const std::size_t bytes = jobs::JobTable::BytesOf(aJob, aSpec);
  const std::size_t used = m_node.State().Jobs().Bytes() + m_openProposalBytes;
  const jobs::MemoryVerdict verdict = m_options.m_memory.Assess(used, bytes);
  if (verdict == jobs::MemoryVerdict::kFits) {
    return std::nullopt;
  }
  m_metrics.Count("jobs_refused_for_memory_total");
  m_workspaces.OnRefused(aWorkspace);
  const std::size_t limit = m_options.m_memory.MaxAcceptedBytes();
  if (const auto suppressed = m_memoryLog.Admit(MonotonicNow())) {
    LogLine(Level::kWarning, "job refused: no memory for it")
      .With("job", aJob.Get())
      .With("bytes", bytes)
      .With("usedBytes", used)
      .With("limitBytes", limit)
      .With("unloggedBefore", *suppressed)
      .Write();
  }
  if (verdict == jobs::MemoryVerdict::kNeverFits) {
    jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kBadJob);
    reply.m_detail = "steps: they take " + std::to_string(bytes) +
                     " bytes, of which no more than " + std::to_string(limit) +
                     " are accepted";
    return reply;
  }
  jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kRefused);
  reply.m_retryAfter = kRetryAfterFull;
  return reply;
}

// Decided by the leader before anything is proposed, so that a refused job
// never runs.
std::optional<jobs::QueueReply>
JobService::RefuseIfLate(const fleet::QueueRoute& aRoute,
                         const JobId& aJob,
                         const WorkspaceId& aWorkspace,
                         const jobs::JobSpec& aSpec,
                         bool aIsBeyondShare)
{
  if (!RefusesLate()) {
    return std::nullopt;
  }
  const intake::Submission submission{
    aJob,
    aRoute.Queue(),
    aRoute.m_service,
    aRoute.m_priority,
    aRoute.m_objective,
    aRoute.m_stretch,
    aIsBeyondShare,
    intake::DemandOf(aSpec, m_planner.EstimatedDurations())
  };
  const TimePoint now = MonotonicNow();
  const intake::Decision decision = m_intake.Decide(submission, now);
  if (const auto* refused = std::get_if<intake::Refused>(&decision)) {
    return RefuseLate(submission, *refused, aWorkspace);
  }
  m_intake.OnProposed(submission, std::get<intake::Admitted>(decision), now);
  return std::nullopt;
}

void
JobService::RecordProposal(const JobId& aJob,
                           std::size_t aBytes,
                           Term aTerm,
                           const ProposalResult& aResult)
{
  if (aTerm != m_term) {
    return;
  }
  using intake::ProposalOutcome;
  const bool isNotProposed = aResult.m_error == consensus::Error::kNotReady;
  const auto open = m_openProposals.find(aJob);
  const bool isDecided = ReplyOf(aResult) != nullptr || isNotProposed;
  if (open != m_openProposals.end() && isDecided) {
    m_openProposalBytes -= aBytes;
    if (--open->second == 0) {
      m_openProposals.erase(open);
    }
  }
  m_intake.OnDecided(aJob,
                     ReplyOf(aResult) != nullptr ? ProposalOutcome::kAccepted
                     : isNotProposed             ? ProposalOutcome::kNotProposed
                                                 : ProposalOutcome::kUndecided);
}

kj::Promise<jobs::QueueReply>
JobService::Submit(const fleet::QueueRoute& aRoute,
                   const JobId& aJob,
                   const WorkspaceId& aWorkspace,
                   jobs::JobSpec aSpec)
{
  if (!IsIdText(aJob.Get())) {
    jobs::QueueReply reply = ReplyWith(jobs::QueueOutcome::kBadJob);
    reply.m_detail =
      std::string{ "id: " } + kIdTextAllowed + ", after the queue's prefix";
    return reply;
  }
  if (m_node.State().Jobs().Find(aJob) != nullptr) {
    return ReplyToRepeatedSubmit(aJob, aRoute.Queue(), aWorkspace);
  }
  // A refusal says that no part of the job ever runs.
  const bool mayBeAccepted = m_openProposals.contains(aJob);
  if (m_node.IsStalled()) {
    jobs::QueueReply stalled =
      ReplyWith(mayBeAccepted ? jobs::QueueOutcome::kUndecided
                              : jobs::QueueOutcome::kRefused);
    stalled.m_retryAfter = kRetryAfter;
    return stalled;
  }
  if (!mayBeAccepted) {
    if (auto refused = RefuseIfTooLarge(aJob, aSpec, aWorkspace)) {
      return std::move(*refused);
    }
  }
  const auto weight = m_node.State().Workspaces().WeightOf(aWorkspace);
  workspaces::ShareUse share;
  if (weight) {
    share = m_shares.Assess(aWorkspace, *weight, MonotonicNow());
    // Work beyond the share may use capacity that is free.
    if (share.m_retryAfter && !mayBeAccepted &&
        m_fullServices.contains(aRoute.m_service)) {
      return RefuseBeyondShare(aWorkspace, *share.m_retryAfter);
    }
  }
  if (auto refused =
        RefuseIfLate(aRoute, aJob, aWorkspace, aSpec, share.m_isBeyond)) {
    return std::move(*refused);
  }
  if (weight) {
    m_shares.Charge(aWorkspace, *weight, MonotonicNow());
  }
  const std::size_t bytes = jobs::JobTable::BytesOf(aJob, aSpec);
  ++m_openProposals[aJob];
  m_openProposalBytes += bytes;
  jobs::Batch batch;
  batch.m_changes.emplace_back(jobs::Submit{ aJob,
                                             aRoute.Queue(),
                                             std::move(aSpec),
                                             WallNow(),
                                             aWorkspace,
                                             share.m_isBeyond });
  return m_node.Propose(batch).then(
    [this, aJob, aWorkspace, bytes, queue = aRoute.Queue(), term = m_term](
      const ProposalResult& aResult) {
      RecordProposal(aJob, bytes, term, aResult);
      const jobs::BatchReply* reply = ReplyOf(aResult);
      if (reply == nullptr) {
        // The job was never proposed, so no part of it can ever run.
        const bool isNotProposed =
          aResult.m_error == consensus::Error::kNotReady &&
          !m_openProposals.contains(aJob);
        jobs::QueueReply answer =
          ReplyWith(isNotProposed ? jobs::QueueOutcome::kRefused
                                  : jobs::QueueOutcome::kUndecided);
        answer.m_retryAfter = kRetryAfter;
        return answer;
      }
      m_metrics.Count("jobs_accepted_total");
      m_workspaces.OnAccepted(aWorkspace);
      LogLine(Level::kInfo, "job accepted")
        .With("job", aJob.Get())
        .With("queue", queue.Get())
        .With("workspace", aWorkspace.Get())
        .With("repeated", reply->m_outcome == jobs::CallOutcome::kDuplicate)
        .With("index", aResult.m_index.Get())
        .Write();
      m_needsPlan = true;
      ScheduleCycle();
      return ReplyToRepeatedSubmit(aJob, queue, aWorkspace);
    });
}

kj::Promise<jobs::QueueReply>
JobService::Cancel(const JobId& aJob)
{
  jobs::Batch batch;
  batch.m_changes.emplace_back(jobs::Cancel{ aJob, WallNow() });
  return m_node.Propose(batch).then(
    [this, aJob](const ProposalResult& aResult) {
      if (ReplyOf(aResult) == nullptr) {
        return ReplyWith(jobs::QueueOutcome::kUndecided);
      }
      m_intake.OnAbandoned(aJob);
      LogLine(Level::kInfo, "job cancelled")
        .With("job", aJob.Get())
        .With("index", aResult.m_index.Get())
        .Write();
      m_needsPlan = true;
      return ReplyWith(jobs::QueueOutcome::kOk);
    });
}

} // namespace bamboostile::control
