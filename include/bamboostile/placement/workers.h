#pragma once

#include "bamboostile/jobs/book.h"
#include "bamboostile/placement/ended_lives.h"
#include "bamboostile/placement/listed_instance.h"
#include "bamboostile/placement/losses.h"
#include "bamboostile/placement/mechanisms.h"
#include "bamboostile/placement/order_effects.h"
#include "bamboostile/workspaces/accounts.h"

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <variant>

namespace bamboostile::placement {

/** A run as its worker reports it. */
struct RunReport
{
  jobs::TaskRef m_task;
  RunNumber m_run;
  std::string m_checkpoint;
  std::uint32_t m_percent = 0;
  /** For a task with a latency target the tail latency in ms, for any other
   * the CPU in use in thousandths of a core. */
  std::uint32_t m_load = 0;
};

/** A run that ended. The worker repeats it in its reports until its number is
 * acknowledged. */
struct EndReport
{
  std::uint64_t m_number = 0;
  jobs::TaskRef m_task;
  RunNumber m_run;
  jobs::RunEnd m_endReason = jobs::RunEnd::kDone;
  std::string m_checkpoint;
};

struct WorkerReport
{
  WorkerIncarnation m_worker;
  /** The instance that the worker runs on; empty where the worker does not
   * report it. */
  InstanceId m_instance;
  ServiceId m_service;
  ZoneId m_zone;
  RackId m_rack;
  std::set<std::string> m_labels;
  jobs::Resources m_capacity;
  bool m_draining = false;
  /** Minimum time that a draining worker has left. */
  std::optional<Millis> m_remaining;
  /** Increases with each report of one incarnation. */
  std::uint64_t m_sequence = 0;
  /** When the report was sent, by the worker's own steady clock; unset where it
   * does not report that. */
  std::optional<Millis> m_sentAt;
  std::vector<RunReport> m_active;
  std::vector<EndReport> m_ended;
};

struct StartOrder
{
  jobs::TaskRef m_task;
  RunNumber m_run;
  std::string m_payload;
  std::string m_checkpoint;
};

struct StopOrder
{
  jobs::TaskRef m_task;
  RunNumber m_run;
};

/** Limits a task to this percentage of its full rate. */
struct RateOrder
{
  jobs::TaskRef m_task;
  RunNumber m_run;
  std::uint32_t m_percent = 100;
};

struct Orders
{
  std::vector<StartOrder> m_starts;
  std::vector<StopOrder> m_stops;
  std::vector<RateOrder> m_rates;
  /** Ends up to this number are committed, and the worker may forget them. */
  std::uint64_t m_ackedUpTo = 0;
  Duration m_lease{};
  Duration m_nextReport{};
};

/** A worker drops an answer that takes longer, and reports again. */
constexpr Duration kAnswerTimeout = Millis{ 1000 };

struct LeaseOptions
{
  Mechanisms m_mechanisms;
  /** Lease duration: how long a worker keeps its runs without an answer. It
   * must exceed the time to elect a leader and to answer every worker once. */
  Duration m_lease = Millis{ 4500 };
  /** How much slower than the leader's a worker's clock may run. */
  int m_driftPercent = 2;
  /** Time between the end of a lease and the point at which its runs count as
   * ended. It covers the time to kill them. */
  Duration m_killMargin = Millis{ 150 };
  /** Report interval of a worker with free capacity. A start waits half of it
   * on average. */
  Duration m_reportInterval = Millis{ 200 };
  /** Report interval of a worker without free capacity. Such a worker gets its
   * next start after an end, and it reports an end at once. */
  Duration m_fullReportInterval = Millis{ 500 };
  /** The report of a steady worker is answered after this time, or as soon as
   * there is an order for it. A worker drops an answer that takes longer than
   * 1 s, and with it its lease; the remaining time covers the network and a
   * busy leader. */
  Duration m_steadyAnswerDelay = Millis{ 400 };
  /** Time from the answer to the delayed report of a steady worker to its next
   * report. */
  Duration m_steadyReportDelay = Millis{ 50 };
  /** Maximum delay of a report. A run missing from a report proves nothing
   * until this long after the start was sent or the leader was elected. */
  Duration m_maxReportDelay = Millis{ 3000 };
  /** A new incarnation on an instance proves the end of the previous one only
   * after it has reported for this long without a report from the previous
   * one. A single report may be a delayed one of an incarnation that ended
   * long ago. */
  Duration m_confirmIncarnationAfter = Millis{ 1000 };
  /** A worker that refused a start gets no other start for this long. Its free
   * capacity differs from what the leader assumes, and only its next report
   * shows the difference. */
  Duration m_pauseAfterRefusal = Millis{ 300 };
  /** A start that was sent with several answers over this long, and that no
   * report shows as active or ended, counts as ignored by its worker if the
   * answers were received. A worker shows a start with its next report. */
  Duration m_startTimeout = Millis{ 1500 };
  /** A run without progress for this long counts as stuck, unless its estimate
   * implies that one percent of it takes longer than a third of this. */
  Duration m_stuckAfter = Millis{ 3000 };
  /** After a loss that no isolated run explains, further losses with the same
   * cause are expected within this time. */
  Duration m_quietPeriod = Millis{ 3000 };
  /** A long-running task that has been ready for this long did not crash its
   * worker by starting. */
  Duration m_stableAfter = Millis{ 3000 };
  /** A worker without a report for this long has missed two reports in a row
   * and may be lost together with its tasks. */
  Duration m_unresponsiveAfter = Millis{ 1500 };
  /** Time that a report may take beyond the interval that its worker was asked
   * for. */
  Duration m_reportTolerance = Millis{ 200 };
  /** Most tasks that crash their worker do so within this time from the report
   * that first shows them. */
  Duration m_recentRunPeriod = Millis{ 1000 };
};

/** The ends accepted from the reports of a worker, up to this number. */
struct Receipt
{
  WorkerIncarnation m_worker;
  std::uint64_t m_upTo = 0;
};

/** Resources of a worker that its runs reserve. */
struct ReservedCapacity
{
  std::int64_t m_cpuMillis = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;
  /** The needs of at least one run are unknown; it may reserve the whole
   * worker. */
  bool m_isUnknown = false;

  void Add(const jobs::StepSpec& aStep);
  bool LeavesCapacityFor(const jobs::Resources& aCapacity,
                         const jobs::StepSpec& aStep) const;
};

/** Recent failures of an instance. The next incarnation on the instance
 * inherits them, since it is no more reliable. */
struct HealthRecord
{
  /** Failures since the last run that ended as done. */
  std::uint32_t m_consecutiveFailures = 0;
  TimePoint m_excludedUntil;
};

/** Starts that one incarnation of a worker has ignored since it last carried
 * out or refused one. */
struct IgnoredStarts
{
  /** Number of exclusions for them. */
  std::uint32_t m_exclusions = 0;
  TimePoint m_excludedUntil;
};

/** The last reported progress of a run, since when it is unchanged, and since
 * when reports show the run. */
struct RunProgress
{
  RunNumber m_run;
  std::uint32_t m_percent = 0;
  TimePoint m_since;
  TimePoint m_shownSince;
};

/** A start that this leader has placed and not sent, or has given up. */
struct UnsentStart
{
  RunNumber m_run;
  /** Its end is proposed, so it must not be sent any more. */
  bool m_isWithdrawn = false;
};

/** A start that was sent, and that no report since shows as active or ended. */
struct UnshownStart
{
  RunNumber m_run;
  TimePoint m_firstSentAt;
  /** Number of answers with the start, and of those among them that the worker
   * has received. */
  std::uint32_t m_answers = 0;
  std::uint32_t m_answersReceived = 0;
  bool m_isInLastAnswer = false;
  /** Its worker has ignored it: it is not sent again. */
  bool m_isGivenUp = false;
};

/** State of one incarnation of a worker. It ends with the incarnation, except
 * for m_health, which the next incarnation on the instance inherits. */
struct Worker
{
  WorkerReport m_lastReport;
  TimePoint m_lastReportAt;
  WallTime m_lastReportWall;
  TimePoint m_firstReportAt;
  /** When the first report after the last loss of the worker arrived, or its
   * first one. */
  TimePoint m_reportsSince;
  /** When the next report is due at the latest, if the worker is alive. */
  TimePoint m_reportDueAt;
  /** When everything that the worker runs has ended, unless a new lease is
   * granted. */
  TimePoint m_leaseEnd;
  /** The worker's lease has ended without a report, or its end is proven. */
  bool m_isLost = false;
  /** When the list was requested that shows the worker as ended. */
  std::optional<TimePoint> m_listedEndAt;
  /** Whether its loss is distinct from those of others; assessed once its end
   * is proven. */
  std::optional<bool> m_isDistinctLoss;
  /** For a lost worker: the suspects that had isolated runs on it. */
  std::vector<jobs::TaskRef> m_lostIsolatedRuns;
  /** For a lost worker: what its loss implies about each of its tasks. */
  std::map<jobs::TaskRef, jobs::CrashEvidence> m_evidence;
  /** Resources of all runs that the last report shows as active, and of those
   * among them that the state does not have on this worker. */
  ReservedCapacity m_reservedByActive;
  ReservedCapacity m_reservedByUntracked;
  /** Runs on this worker whose task was completed by the late end of an earlier
   * run, and until when a report may still show them for the first time. */
  std::map<std::pair<jobs::TaskRef, RunNumber>, TimePoint> m_superseded;
  /** Number of runs that the state has on this worker and its last report
   * shows, active or ended. */
  std::size_t m_reportedRuns = 0;
  /** Ends that were accepted. Those up to m_ackedUpTo are committed as well. */
  std::uint64_t m_acceptedUpTo = 0;
  std::uint64_t m_ackedUpTo = 0;
  std::map<jobs::TaskRef, UnsentStart> m_unsent;
  /** When each unconfirmed start was last sent. */
  std::map<jobs::TaskRef, TimePoint> m_sentAt;
  std::map<jobs::TaskRef, UnshownStart> m_unshownStarts;
  std::set<std::pair<jobs::TaskRef, RunNumber>> m_toStop;
  /** When the stop of a run in m_toStop was last sent. */
  std::map<std::pair<jobs::TaskRef, RunNumber>, TimePoint> m_stopSentAt;
  std::map<jobs::TaskRef, std::uint32_t> m_rates;
  std::map<jobs::TaskRef, RunProgress> m_progress;
  HealthRecord m_health;
  IgnoredStarts m_ignored;
  /** When a report last proved that the worker had received an answer. */
  TimePoint m_answerReceivedAt;
  /** Starts were given up because no answer reached the worker, and none has
   * reached it since. */
  bool m_isUnreachable = false;

  bool IsUsable(TimePoint aNow) const
  {
    return !m_isLost && !m_listedEndAt && !m_lastReport.m_draining &&
           !m_isUnreachable && aNow >= m_health.m_excludedUntil &&
           aNow >= m_ignored.m_excludedUntil;
  }
  /** The worker gets no starts: it has ignored some, or its answers do not
   * reach it. */
  bool IsIgnoringStarts(TimePoint aNow) const
  {
    return m_isUnreachable || aNow < m_ignored.m_excludedUntil;
  }
  /** The worker has ignored starts, and one has yet to show that it no longer
   * does. */
  bool IsOnProbation() const { return m_ignored.m_exclusions > 0; }
};

/** What is known about the other tasks of a task's step. */
struct StepAvailability
{
  std::uint32_t m_others = 0;
  std::uint32_t m_unavailable = 0;
  /** How many may be unavailable at a time; none means any number. */
  std::optional<std::uint32_t> m_budget;
  /** Age of the oldest report that shows one of the others as ready. */
  Duration m_oldestReport{};

  bool AllowsDisruption() const
  {
    return !m_budget || m_unavailable < *m_budget;
  }
};

/** Why a report is ignored and its worker gets no lease for it. */
enum class IgnoreReason
{
  /** Its sequence is not above that of the last report. */
  kStale,
  /** The worker has ended. */
  kWorkerEnded,
  /** It may be a delayed report of an incarnation that ended before the
   * current one began. */
  kUnconfirmed,
  /** No route table has had its service: it is from another fleet. */
  kUnknownService,
  /** The worker that it names reports for another service. */
  kOtherService,
};

const char* Describe(IgnoreReason aReason) noexcept;

/** The result of processing one report. */
struct ReportResult
{
  std::optional<IgnoreReason> m_ignored;
  /** The previous incarnation, which has ended because this one follows it. */
  std::optional<WorkerIncarnation> m_superseded;
  /** Number of reported ends with already acknowledged numbers, whose runs the
   * state still has on this worker. */
  std::size_t m_skippedEnds = 0;
  /** The worker is excluded from now on because it has ignored starts. */
  bool m_isIgnoringStarts = false;
  /** The worker gets no more starts until an answer reaches it. */
  bool m_hasBecomeUnreachable = false;
  /** An answer has reached a worker that was unreachable. */
  bool m_isReachableAgain = false;
  /** Capacity or ends have changed, so that a placement pass may have
   * something to do. */
  bool m_changed = false;
  std::vector<jobs::EndRun> m_ends;
  /** Runs that the report shows and the state has under the worker's id only,
   * without an incarnation. */
  std::vector<jobs::SetRunIncarnation> m_adopted;
  /** Losses of this worker that it has survived. */
  std::vector<jobs::RetractLoss> m_retractions;
};

/** Identifies what runs one incarnation of a worker at a time: its instance,
 * or the worker's id where it names no instance. */
using Host = std::variant<InstanceId, WorkerId>;

/**
 * @brief The leader's knowledge of the workers: their last reports and the end
 * of their leases.
 *
 * It is not replicated. A new leader starts with an empty table and learns
 * from the reports. Runs on workers that have not reported to it count as
 * running until the longest lease that an earlier leader can have granted has
 * ended.
 */
class WorkerTable
{
public:
  WorkerTable(LeaseOptions aOptions, TimePoint aLeaderSince);

  ReportResult OnReport(const WorkerReport& aReport,
                        const jobs::JobTable& aBook,
                        TimePoint aNow,
                        WallTime aWall);

  /** Returns the ends accepted since the last call, to be acknowledged once
   * they are committed. */
  std::vector<Receipt> TakeReceipts();
  void Acknowledge(const std::vector<Receipt>& aReceipts);
  /** The ends were not committed: they are accepted again when their workers
   * repeat them. */
  void Rollback(const std::vector<Receipt>& aReceipts);

  /** Called with each plan before its changes are committed. */
  void RecordPlannedStarts(const std::vector<jobs::Change>& aChanges);

  /** A worker with a long-running task may have ended. The platform's list
   * would show it before the lease is over. */
  bool NeedsList(const jobs::JobTable& aBook, TimePoint aNow) const;
  /** Records which workers the platform's list shows as ended. */
  void OnListed(const InstanceList& aList, const jobs::JobTable& aBook);

  /** Returns the runs that ended because their worker's lease ended or its end
   * is proven, and the starts of long-running tasks that were never sent to a
   * worker that is unresponsive. */
  std::vector<jobs::EndRun> CollectLostRuns(const jobs::JobTable& aBook,
                                            TimePoint aNow,
                                            WallTime aWall);

  /** What the losses of workers in the last LeaseOptions::m_quietPeriod, except
   * for those with an isolated run, say about the next one in the service. */
  LossActivity AssessLosses(const ServiceId& aService,
                            const jobs::JobTable& aBook,
                            TimePoint aNow) const;
  /** Returns the workers that were lost with runs since the last call. */
  std::vector<LostWorker> TakeLostWorkers()
  {
    return std::exchange(m_lost, {});
  }

  /** Returns runs of long-running tasks that have been ready for long enough
   * that a later loss of their worker is not caused by their start. */
  std::vector<jobs::MarkRunStable> FindStableRuns(const jobs::JobTable& aBook,
                                                  TimePoint aNow) const;

  /** Sets the orders whose effects are no evidence against any task. */
  void SetOrderEffects(std::shared_ptr<const OrderEffects> aEffects)
  {
    m_orderEffects = std::move(aEffects);
  }

  /** Sets what the workspaces use. A start that was placed before a cap was
   * lowered, and has not been sent to its worker, is withheld. */
  void SetAccounts(workspaces::Accounts aAccounts)
  {
    m_accounts = std::move(aAccounts);
  }

  /** Returns runs without progress whose worker keeps reporting. Each counts
   * as a failure of the worker. */
  std::vector<StopOrder> FindStuckRuns(const jobs::JobTable& aBook,
                                       TimePoint aNow);

  /** Called when the platform has accepted an order that ends the incarnation
   * on an instance. The addressed worker has ended, and so have other
   * incarnations on the instance that first reported before
   * aFirstReportBefore. */
  std::vector<jobs::EndRun> RetireInstance(const WorkerIncarnation& aWorker,
                                           TimePoint aFirstReportBefore,
                                           const jobs::JobTable& aBook,
                                           WallTime aWall);

  /** Called when the worker has certainly ended. Its reports are ignored from
   * then on. */
  std::vector<jobs::EndRun> Retire(const WorkerIncarnation& aWorker,
                                   const jobs::JobTable& aBook,
                                   WallTime aWall);

  /** Returns the answer to a worker that first has to prove that it is the
   * current incarnation. It asks for another report and grants neither a lease
   * nor work. */
  Orders AnswerUnconfirmed() const;
  /** Returns the answer to a worker's last report and grants a new lease. */
  Orders Answer(const WorkerIncarnation& aWorker,
                const jobs::JobTable& aBook,
                TimePoint aNow);

  /** The worker runs only long-running tasks, and nothing is under way to it
   * or from it: its report need not be answered at once. */
  bool IsSteady(const WorkerIncarnation& aWorker,
                const jobs::JobTable& aBook) const;

  /** Whether enough tasks of a long-running step stay ready when this one is
   * stopped. */
  bool MayDisrupt(const jobs::Job& aJob,
                  const jobs::TaskRef& aTask,
                  TimePoint aNow) const;
  StepAvailability AvailabilityOfOthers(const jobs::Job& aJob,
                                        const jobs::TaskRef& aTask,
                                        TimePoint aNow) const;
  /** Another task of the step has been ordered to stop on a worker that is not
   * draining. */
  bool IsAnyStopping(const jobs::Job& aJob, const jobs::TaskRef& aTask) const;

  void RequestStop(const jobs::TaskRef& aTask, RunNumber aRun);
  /** Multiplies the report intervals that answers ask for. */
  void SetReportIntervalFactor(int aTimes) { m_reportIntervalFactor = aTimes; }

  const std::map<WorkerIncarnation, Worker>& Workers() const
  {
    return m_workers;
  }
  const Worker* Find(const WorkerIncarnation& aWorker) const;
  /** Returns runs that may be active on the worker although the state does not
   * have them there. */
  std::vector<jobs::TaskRef> FindUntracked(const Worker& aWorker,
                                           const jobs::JobTable& aBook,
                                           TimePoint aNow) const;
  /** Returns the incarnation with this id if exactly one is known. */
  std::optional<WorkerIncarnation> FindOnlyIncarnation(
    const WorkerId& aWorker) const;
  /** Returns the incarnation that the instance runs, as far as is known; null
   * if it has none. */
  const Worker* FindByInstance(const InstanceId& aInstance) const;
  /** Incarnations on the instance that are not known to have ended. */
  const std::vector<WorkerIncarnation>& IncarnationsOf(
    const InstanceId& aInstance) const;
  /** Two incarnations on the instance may be running, so that it is unknown
   * which of them an order would end. */
  bool IsAmbiguous(const InstanceId& aInstance) const;
  /** The worker has not reported for so long that it may be lost. */
  bool IsUnresponsive(const Worker& aWorker, TimePoint aNow) const
  {
    return aNow >= aWorker.m_lastReportAt + m_options.m_unresponsiveAfter;
  }
  /** The strongest sign that the worker may be lost. */
  LossRisk AssessRisk(const Worker& aWorker,
                      const jobs::JobTable& aBook,
                      TimePoint aNow) const;
  /** A long-running task is placed there to restart, and no report has shown
   * its run yet. */
  bool AwaitsRestart(const Worker& aWorker, const jobs::JobTable& aBook) const;
  /** For the long-running task that has been without a run for longest since
   * its last one, that time; also of tasks whose start no report has shown. */
  Millis LongestWithoutRun(const jobs::JobTable& aBook, WallTime aWall) const;
  /** A suspect has an isolated run on the worker. */
  bool HasIsolatedRun(const Worker& aWorker, const jobs::JobTable& aBook) const;
  /** An order may take effect on the worker after aTime. */
  bool MayBeOrderedAfter(const Worker& aWorker, TimePoint aTime) const;
  /** Another incarnation on its instance first reported after the worker's
   * last report. */
  bool HasLaterIncarnation(const Worker& aWorker) const;
  /** The same, unless the other incarnation has yet to prove that it is the
   * later one. */
  bool HasConfirmedSuccessor(const Worker& aWorker) const;
  /** Returns the run if its worker's last report shows it, or null. */
  const RunReport* FindRun(const jobs::TaskRef& aTask,
                           const jobs::Task& aState) const;
  /** Every worker that may still hold a lease of an earlier leader has
   * reported. */
  bool KnowsAllLeases(TimePoint aNow) const;
  const LeaseOptions& Options() const { return m_options; }
  TimePoint LeaderSince() const { return m_leaderSince; }

private:
  /** A run that the state has on a worker and the worker's report does not
   * show. */
  struct PendingStart
  {
    jobs::TaskRef m_task;
    RunNumber m_run;
    const jobs::Job* m_job = nullptr;
    /** The run fits into the last reported capacity, together with the pending
     * starts before it, and into the cap of its workspace. */
    bool m_fits = false;
  };

  /** The incarnation that currently has a host, as far as is known. */
  struct CurrentIncarnation
  {
    WorkerIncarnation m_incarnation;
    /** Since when incarnations on the host have been tracked. */
    TimePoint m_trackedSince;
  };

  /** Another incarnation that reports from a host that already has a current
   * one. */
  struct Candidate
  {
    TimePoint m_since;
    TimePoint m_lastReportAt;
    std::uint64_t m_sequence = 0;
  };

  /** The decision on a report that may come from another incarnation than the
   * current one. */
  struct Admission
  {
    std::optional<IgnoreReason> m_ignored;
    /** Inherited from the incarnation that it supersedes. */
    HealthRecord m_health;
  };

  class ListIndex;

  bool IsReady(const jobs::TaskRef& aTask,
               const jobs::Task& aState,
               TimePoint aNow) const;
  Duration MaxLeaseDuration() const;
  Admission Admit(const WorkerReport& aReport,
                  const jobs::JobTable& aBook,
                  TimePoint aNow,
                  WallTime aWall,
                  ReportResult& aResult);
  CurrentIncarnation& FindCurrent(const WorkerReport& aReport,
                                  const jobs::JobTable& aBook,
                                  TimePoint aNow);
  bool IsSuccessor(const WorkerReport& aReport,
                   const CurrentIncarnation& aCurrent,
                   TimePoint aNow);
  HealthRecord Supersede(WorkerIncarnation aPrevious,
                         const WorkerReport& aReport,
                         const jobs::JobTable& aBook,
                         TimePoint aNow,
                         WallTime aWall,
                         ReportResult& aResult);
  void KeepEvidence(const WorkerIncarnation& aWorker,
                    const std::vector<jobs::EndRun>& aEnds);
  void ForgetCandidates(TimePoint aNow);
  /** Whether a list that was requested at aAskedAt names most of the workers
   * that reported just before. */
  bool NamesMostWorkers(const ListIndex& aIndex, TimePoint aAskedAt) const;
  /** Whether the runs of the worker are over because its end is proven. */
  bool HasListedEnd(Worker& aWorker,
                    const jobs::JobTable& aBook,
                    TimePoint aNow) const;
  /** The same for a worker that has not reported to this leader. */
  bool HasListedEnd(const WorkerIncarnation& aUnseen, TimePoint aNow) const;
  void Forget(const WorkerIncarnation& aWorker);
  bool HasEnded(const WorkerIncarnation& aWorker) const
  {
    return m_retired.Contains(aWorker) || m_superseded.Contains(aWorker);
  }
  void TrackInstance(Worker& aWorker,
                     const WorkerReport& aReport,
                     const jobs::JobTable& aBook,
                     TimePoint aNow,
                     WallTime aWall,
                     ReportResult& aResult);
  void TrackProgress(Worker& aWorker, TimePoint aNow);
  /** Returns the losses that the worker's last report disproves. */
  std::vector<jobs::RetractLoss> FindDisprovedLosses(
    const Worker& aWorker,
    const jobs::JobTable& aBook,
    TimePoint aNow) const;
  void AcceptEnds(Worker& aWorker,
                  const WorkerReport& aReport,
                  const jobs::JobTable& aBook,
                  TimePoint aNow,
                  WallTime aWall,
                  ReportResult& aResult);
  /** Called with each report before it replaces the last one. */
  static void TrackReceipt(Worker& aWorker,
                           const WorkerReport& aReport,
                           TimePoint aNow,
                           ReportResult& aResult);
  /** Removes the starts that the last report shows or that have ended. */
  static void TrackUnshownStarts(Worker& aWorker,
                                 const jobs::JobTable& aBook,
                                 TimePoint aNow);
  /** Excludes a worker that ignores starts, for longer each time, or that no
   * answer reaches, until one does. */
  void ExcludeIfIgnoringStarts(Worker& aWorker,
                               TimePoint aNow,
                               ReportResult& aResult) const;
  void Exclude(Worker& aWorker, TimePoint aNow) const;
  static bool IsGivenUp(const Worker& aWorker, const jobs::TaskRef& aTask);
  void EndLostStarts(Worker& aWorker,
                     const jobs::JobTable& aBook,
                     TimePoint aNow,
                     WallTime aWall,
                     ReportResult& aResult);
  void MarkSupersededRun(const jobs::TaskRef& aTask,
                         const jobs::JobTable& aBook,
                         TimePoint aNow);
  void CountOutcome(Worker& aWorker, jobs::RunEnd aEnd, TimePoint aNow);
  /** Whether few enough workers of its service are excluded for failures that
   * the failures are likely to be the worker's own. */
  bool MayExcludeForFailures(const Worker& aWorker, TimePoint aNow) const;
  std::vector<jobs::EndRun> EndAllRuns(const WorkerIncarnation& aWorker,
                                       const InstanceId& aInstance,
                                       const jobs::JobTable& aBook,
                                       WallTime aWall);
  /** Ends the starts of long-running tasks that were never sent to the worker,
   * if it is unresponsive or was when their end was first proposed. */
  void WithdrawUnsent(Worker& aWorker,
                      const jobs::JobTable& aBook,
                      TimePoint aNow,
                      WallTime aWall,
                      std::vector<jobs::EndRun>& aEnds) const;
  void CountActive(Worker& aWorker, const jobs::JobTable& aBook) const;
  bool IsWithinCap(const jobs::Job& aJob, const jobs::StepSpec& aStep) const;
  std::vector<PendingStart> FindPending(const Worker& aWorker,
                                        const jobs::JobTable& aBook) const;
  /** aUnconfirmed: the unconfirmed starts of the same worker. */
  std::vector<jobs::TaskRef> FindIsolatedRuns(
    const Worker& aWorker,
    const jobs::JobTable& aBook) const;
  bool IsLostWithSameJob(const Worker& aWorker,
                         const jobs::JobTable& aBook,
                         TimePoint aNow) const;
  static bool IsIsolatedRun(const jobs::TaskRef& aTask,
                            const std::vector<jobs::TaskRef>& aUnconfirmed,
                            const jobs::JobTable& aBook);
  jobs::CrashEvidence AssessEvidence(
    const jobs::TaskRef& aTask,
    const Worker& aWorker,
    const LostWorker& aLost,
    const std::vector<jobs::TaskRef>& aUnconfirmed,
    const jobs::JobTable& aBook) const;
  jobs::CrashEvidence EvidenceOf(const jobs::TaskRef& aTask,
                                 const WorkerIncarnation& aWorker,
                                 const jobs::JobTable& aBook) const;
  /** Returns starts that were sent and that no report has shown. */
  std::vector<jobs::TaskRef> FindUnconfirmed(const Worker& aWorker,
                                             const jobs::JobTable& aBook) const;
  /** Counts the other workers without an isolated run whose last report is at
   * least aSilentFor ago and within aWindow of this one's. */
  LossCount CountLossesAround(const Worker& aWorker,
                              Duration aWindow,
                              Duration aSilentFor,
                              const jobs::JobTable& aBook,
                              TimePoint aNow) const;
  /** Updates m_mostUnseen. */
  void CountUnseen(const jobs::JobTable& aBook, TimePoint aNow);
  /** Workers of the service that are not lost. */
  std::size_t CountWorkers(const ServiceId& aService) const;
  LossExemption ExemptionOf(const Worker& aWorker) const;
  /** Records how the worker was lost, before it is removed from the table. */
  void RecordLoss(Worker& aWorker,
                  LossCause aCause,
                  const jobs::JobTable& aBook,
                  TimePoint aNow);
  /** Returns whether the run's stop is to be sent; withdraws a stop that the
   * disruption budget does not allow any more. */
  bool ConfirmStop(Worker& aWorker,
                   const jobs::Job& aJob,
                   const jobs::TaskRef& aTask,
                   RunNumber aRun,
                   TimePoint aNow);
  static void ForgetStop(Worker& aWorker,
                         const jobs::TaskRef& aTask,
                         RunNumber aRun);
  Duration BaseReportInterval(const Worker& aWorker,
                              const jobs::JobTable& aBook) const;
  Duration ReportInterval(const Worker& aWorker,
                          const jobs::JobTable& aBook) const;
  void AddRates(Worker& aWorker, const jobs::JobTable& aBook, Orders& aOrders);
  static void RecordSent(Worker& aWorker,
                         const PendingStart& aStart,
                         TimePoint aNow);

  LeaseOptions m_options;
  int m_reportIntervalFactor = 1;
  TimePoint m_leaderSince;
  std::map<WorkerIncarnation, Worker> m_workers;
  std::map<Host, CurrentIncarnation> m_currentIncarnations;
  std::map<Host, std::map<WorkerIncarnation, Candidate>> m_candidates;
  /** Incarnations with runs in the state, until a worker with their id
   * reports. */
  std::optional<std::map<WorkerId, WorkerIncarnation>> m_recordedIncarnations;
  std::map<InstanceId, std::vector<WorkerIncarnation>> m_incarnations;
  /** Incarnations that have certainly ended. */
  EndedIncarnations m_retired;
  /** Incarnations followed by another one, as far as reports can prove it. */
  EndedIncarnations m_superseded;
  /** What the losses of ended incarnations imply, until the ends of their runs
   * are committed. */
  std::map<std::pair<WorkerIncarnation, jobs::TaskRef>, jobs::CrashEvidence>
    m_evidenceOfEnded;
  /** The most workers that earlier leaders had placed runs on and that had not
   * reported to this leader by the time at which live workers have. */
  std::size_t m_mostUnseen = 0;
  /** Workers that have not reported to this leader and are missing in the last
   * list, and those that were missing in the list before it as well. */
  std::set<WorkerIncarnation> m_missingOnce;
  std::set<WorkerIncarnation> m_missingTwice;
  /** When runs of workers ended because they were missing. Their reports are
   * delayed ones until LeaseOptions::m_maxReportDelay later. */
  std::map<WorkerIncarnation, TimePoint> m_endedUnseen;
  std::shared_ptr<const OrderEffects> m_orderEffects;
  /** Workers with accepted ends that are not on a receipt yet. */
  std::set<WorkerIncarnation> m_withoutReceipt;
  std::vector<LostWorker> m_lost;
  /** Last report times of lost workers that are no longer in m_workers. */
  RecentLosses m_recentLosses;
  workspaces::Accounts m_accounts;
  /** Latest checkpoints that workers reported for active runs. */
  std::map<jobs::TaskRef, std::string> m_checkpoints;
};

/** The job table has the run on this incarnation of the worker. */
bool IsPlaced(const jobs::JobTable& aBook,
              const WorkerIncarnation& aWorker,
              const jobs::TaskRef& aTask,
              RunNumber aRun);

/** Whether a reported run is the one that the job table has on the worker.
 * Where the job table names no incarnation, the one that reports the run is
 * accepted. */
bool IsExpected(const jobs::JobTable& aBook,
                const WorkerIncarnation& aWorker,
                const jobs::TaskRef& aTask,
                RunNumber aRun);

} // namespace bamboostile::placement
