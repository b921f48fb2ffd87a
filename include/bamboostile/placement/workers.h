#pragma once

#include "bamboostile/jobs/book.h"
#include "bamboostile/placement/ended_lives.h"
#include "bamboostile/placement/losses.h"
#include "bamboostile/placement/mechanisms.h"

#include <map>
#include <set>
#include <utility>
#include <variant>

namespace bamboostile::placement {

/** A run as its worker sees it. */
struct RunReport
{
  jobs::TaskRef m_task;
  RunNumber m_run;
  std::string m_checkpoint;
  std::uint32_t m_percent = 0;
  /** Of a task with a latency target: the tail, in ms. Of any other: the CPU
   * in use, in thousandths of a core. */
  std::uint32_t m_load = 0;
};

/** A run that ended; repeated by the worker until its number is noted. */
struct EndReport
{
  std::uint64_t m_number = 0;
  jobs::TaskRef m_task;
  RunNumber m_run;
  jobs::RunEnd m_how = jobs::RunEnd::kDone;
  std::string m_checkpoint;
};

struct WorkerReport
{
  WorkerLife m_worker;
  /** What it is a life of; empty where the worker does not say. */
  InstanceId m_instance;
  ServiceId m_service;
  ZoneId m_zone;
  RackId m_rack;
  std::set<std::string> m_labels;
  jobs::Resources m_capacity;
  bool m_draining = false;
  /** Least time left to a draining worker. */
  std::optional<Millis> m_remaining;
  /** Rises with each report of one life. */
  std::uint64_t m_sequence = 0;
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

/** Lets a task use this share of what it would. */
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
  /** Ends up to here are committed; the worker forgets them. */
  std::uint64_t m_ackedUpTo = 0;
  Duration m_lease{};
  Duration m_nextReport{};
};

struct LeaseOptions
{
  Mechanisms m_mechanisms;
  /** How long a worker goes on without an answer. Longer than it takes to elect
   * a leader and to answer every worker once. */
  Duration m_lease = Millis{ 4500 };
  /** A worker's clock may run this much slow. */
  int m_driftPercent = 2;
  /** Between the end of a lease and belief in it: the kill itself. */
  Duration m_margin = Millis{ 150 };
  /** How often an idle worker reports; a start waits half of it on average. */
  Duration m_reportEvery = Millis{ 200 };
  /** How often one without room for more reports: it gets its next start after
   * an end, and reports that by itself at once. */
  Duration m_reportWhenFull = Millis{ 500 };
  /** The report of a quiet worker is answered after this, or once there is an
   * order for it. A worker drops an answer that takes longer than 1 s, and with
   * it its lease; the rest of that is for the way and for a busy leader. */
  Duration m_holdQuiet = Millis{ 400 };
  /** Until a quiet worker reports again, after its held report was answered. */
  Duration m_reportAgain = Millis{ 50 };
  /** Reports may be late by this: what one lacks proves nothing before the
   * start was sent, or this leader elected, so long ago. */
  Duration m_lateReports = Millis{ 3000 };
  /** A new life of an instance proves the end of the one before only when it
   * has reported for so long while that one was silent: a single report may
   * be a late one of a life that ended long ago. */
  Duration m_confirmLife = Millis{ 1000 };
  /** A worker that refused a start gets no other for so long: its room and
   * what is believed of it differ, and only its next report tells. */
  Duration m_pauseAfterRefusal = Millis{ 300 };
  /** A run that gets no further for so long is taken to stand still, unless its
   * estimate says that one percent of it takes a third of this. */
  Duration m_stuckAfter = Millis{ 3000 };
  /** After a loss that no trial explains, others of the same cause follow
   * within this, if any do. */
  Duration m_calmAfter = Millis{ 3000 };
  /** A long-running task that has been at work for so long did not crash its
   * worker by starting. */
  Duration m_settledAfter = Millis{ 3000 };
  /** A worker that has missed two reports in a row may be gone, and the tasks
   * with it. */
  Duration m_doubtAfter = Millis{ 1500 };
};

/** Ends of a worker that were taken from its reports, up to this number. */
struct Receipt
{
  WorkerLife m_worker;
  std::uint64_t m_upTo = 0;
};

/** What runs hold of a worker. */
struct RoomUse
{
  std::int64_t m_cpuMillis = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;
  /** There is a run whose needs are not known; it may hold all of it. */
  bool m_isUnknown = false;

  void Add(const jobs::StepSpec& aStep);
  bool Leaves(const jobs::Resources& aCapacity,
              const jobs::StepSpec& aStep) const;
};

/** How an instance has done of late; its next life is no better. */
struct Fitness
{
  /** Failures since the last run that was done. */
  std::uint32_t m_failuresInRow = 0;
  TimePoint m_setAsideUntil;
};

/** How far a run had come when it last got any further. */
struct Progress
{
  RunNumber m_run;
  std::uint32_t m_percent = 0;
  TimePoint m_since;
};

/** What belongs to one life of a worker, and ends with it; but for m_fitness,
 * which the next life of the instance inherits. */
struct Worker
{
  WorkerReport m_last;
  TimePoint m_heardAt;
  TimePoint m_firstHeardAt;
  /** By then all it runs has ended, unless a new lease is given. */
  TimePoint m_leaseEnd;
  /** Silent for longer than its lease. */
  bool m_silent = false;
  /** Of a lost one: a suspect was on trial there. */
  bool m_lostInTrial = false;
  /** Of a lost one: what its loss says about its tasks. */
  std::map<jobs::TaskRef, jobs::CrashEvidence> m_evidence;
  /** What its last report shows as active; of that, what the state does not
   * have there. */
  RoomUse m_activeUse;
  RoomUse m_strayUse;
  /** Of the runs that the state has there, those that its last report shows,
   * active or ended. */
  std::size_t m_shownRuns = 0;
  /** Ends that were taken; those up to m_ackedUpTo are committed as well. */
  std::uint64_t m_takenUpTo = 0;
  std::uint64_t m_ackedUpTo = 0;
  /** When each start that no report has shown yet was last sent. */
  std::map<jobs::TaskRef, TimePoint> m_sentAt;
  std::set<std::pair<jobs::TaskRef, RunNumber>> m_toStop;
  std::map<jobs::TaskRef, std::uint32_t> m_rates;
  std::map<jobs::TaskRef, Progress> m_progress;
  Fitness m_fitness;

  bool IsUsable(TimePoint aNow) const
  {
    return !m_silent && !m_last.m_draining && aNow >= m_fitness.m_setAsideUntil;
  }
};

/** Why a report changes nothing, and its worker gets no lease for it. */
enum class Ignored
{
  /** Its sequence is not above that of the last one. */
  kOvertaken,
  /** Its worker has ended. */
  kEnded,
  /** It may be a late one of a life that ended before the current one began. */
  kUnproven,
};

const char* Describe(Ignored aReason) noexcept;

/** What one report brought. */
struct Heard
{
  std::optional<Ignored> m_ignored;
  /** The life that has ended, as this one follows it. */
  std::optional<WorkerLife> m_superseded;
  /** Ends below those acknowledged, of runs that the state still has there. */
  std::size_t m_skippedEnds = 0;
  /** Capacity or ends: placing may have something to do. */
  bool m_changed = false;
  std::vector<jobs::EndRun> m_ends;
  /** Runs that it shows and that are on record under its id alone. */
  std::vector<jobs::AdoptRun> m_adopted;
};

/** What runs one life of a worker at a time: its instance or, where it names
 * none, its id. */
using Host = std::variant<InstanceId, WorkerId>;

/**
 * @brief What the leader knows of the workers: their last reports, and until
 * when each may hold what was given to it.
 *
 * Not replicated: a new leader starts empty and learns from the reports; what
 * it has not heard of it holds for running until the longest lease that an
 * earlier leader can have given has ended.
 */
class WorkerTable
{
public:
  WorkerTable(LeaseOptions aOptions, TimePoint aLeaderSince);

  Heard OnReport(const WorkerReport& aReport,
                 const jobs::Book& aBook,
                 TimePoint aNow,
                 WallTime aWall);

  /** Of the ends taken since the last call: what is to be acknowledged once
   * they are committed. */
  std::vector<Receipt> TakeReceipts();
  void Acknowledge(const std::vector<Receipt>& aReceipts);
  /** They were not committed: their workers' repetitions count again. */
  void TakeBack(const std::vector<Receipt>& aReceipts);

  /** Runs that ended because their worker's lease did. */
  std::vector<jobs::EndRun> FindLost(const jobs::Book& aBook,
                                     TimePoint aNow,
                                     WallTime aWall);

  /** No worker is in doubt, or was lost lately, but by a task on trial. */
  bool IsCalm(const jobs::Book& aBook, TimePoint aNow) const;
  /** Workers that were lost with runs since the last call. */
  std::vector<LostWorker> TakeLost() { return std::exchange(m_lost, {}); }

  /** Runs of long-running tasks that have been at work for so long that what
   * ends their worker is not their start. */
  std::vector<jobs::SettleRun> FindSettled(const jobs::Book& aBook,
                                           TimePoint aNow) const;

  /** Workers that are to leave; their loss says nothing about their tasks. */
  void SetCordoned(std::set<WorkerLife> aWorkers)
  {
    m_cordoned = std::move(aWorkers);
  }

  /** Runs that have got no further for long though their worker reports; the
   * worker counts each as a failure. */
  std::vector<StopOrder> FindStuck(const jobs::Book& aBook, TimePoint aNow);

  /** An order that ends an instance's life was taken: the worker that it was
   * aimed at is gone, and so are other lives of the instance that were heard
   * first before aHeardBefore. */
  std::vector<jobs::EndRun> RetireInstance(const WorkerLife& aWorker,
                                           TimePoint aHeardBefore,
                                           const jobs::Book& aBook,
                                           WallTime aWall);

  /** The worker is gone for certain; it is never listened to again. */
  std::vector<jobs::EndRun> Retire(const WorkerLife& aWorker,
                                   const jobs::Book& aBook,
                                   WallTime aWall);

  /** To a worker that has to prove first that it is the current life: it is to
   * report again, and gets neither a lease nor work. */
  Orders AnswerUnproven() const;
  /** The answer to the last report of a worker; gives a new lease. */
  Orders Answer(const WorkerLife& aWorker,
                const jobs::Book& aBook,
                TimePoint aNow);

  /** The worker runs nothing but long-running tasks, and nothing is on its way
   * to it or from it: its report need not be answered at once. */
  bool IsQuiet(const WorkerLife& aWorker, const jobs::Book& aBook) const;

  /** Whether taking one task of a long-running step away leaves enough of it at
   * work. */
  bool MayDisrupt(const jobs::Job& aJob,
                  const jobs::TaskRef& aTask,
                  TimePoint aNow) const;
  /** Another task of the step is under orders to stop on a worker that does
   * not drain. */
  bool IsAnyStopping(const jobs::Job& aJob, const jobs::TaskRef& aTask) const;

  void RequestStop(const jobs::TaskRef& aTask, RunNumber aRun);
  /** Answers ask for reports so many times less often. */
  void StretchReports(int aTimes) { m_reportStretch = aTimes; }

  const std::map<WorkerLife, Worker>& Workers() const { return m_workers; }
  const Worker* Find(const WorkerLife& aWorker) const;
  /** The life that goes by an id, where no other one has been heard of. */
  std::optional<WorkerLife> FindOnlyLife(const WorkerId& aWorker) const;
  const Worker* FindByInstance(const InstanceId& aInstance) const;
  /** Lives of the instance that are not known to have ended. */
  const std::vector<WorkerLife>& LivesOf(const InstanceId& aInstance) const;
  /** Two lives of the instance may be running: which one an order would end is
   * not known. */
  bool IsContested(const InstanceId& aInstance) const;
  /** Not heard for so long that it may be gone. */
  bool IsInDoubt(const Worker& aWorker, TimePoint aNow) const
  {
    return aNow >= aWorker.m_heardAt + m_options.m_doubtAfter;
  }
  /** A life of its instance was first heard after it fell silent. */
  bool HasLaterLife(const Worker& aWorker) const;
  /** The run, if its worker's last report has it. */
  const RunReport* FindRun(const jobs::TaskRef& aTask,
                           const jobs::Task& aState) const;
  /** Every worker that may still hold a lease of an earlier leader has been
   * heard. */
  bool KnowsAllLeases(TimePoint aNow) const;
  const LeaseOptions& Options() const { return m_options; }
  TimePoint LeaderSince() const { return m_leaderSince; }

private:
  /** A run that the state has on a worker, and its report does not show. */
  struct PendingStart
  {
    jobs::TaskRef m_task;
    RunNumber m_run;
    const jobs::Job* m_job = nullptr;
    /** Into what the worker last reported, beside those before it. */
    bool m_fits = false;
  };

  /** The life that has a host for itself, as far as is known. */
  struct Occupant
  {
    WorkerLife m_life;
    /** How long lives of the host have been followed. */
    TimePoint m_knownSince;
  };

  /** Another life that reports from an occupied host. */
  struct Contender
  {
    TimePoint m_since;
    TimePoint m_heardAt;
    std::uint64_t m_sequence = 0;
  };

  /** What became of a report that may be of another life than the occupant. */
  struct Admission
  {
    std::optional<Ignored> m_ignored;
    /** Of the life that it supersedes. */
    Fitness m_fitness;
  };

  bool IsAtWork(const jobs::TaskRef& aTask,
                const jobs::Task& aState,
                TimePoint aNow) const;
  Duration LongestHold() const;
  Admission Admit(const WorkerReport& aReport,
                  const jobs::Book& aBook,
                  TimePoint aNow,
                  WallTime aWall,
                  Heard& aHeard);
  Occupant& FindOccupant(const WorkerReport& aReport,
                         const jobs::Book& aBook,
                         TimePoint aNow);
  bool IsSuccessor(const WorkerReport& aReport,
                   const Occupant& aOccupant,
                   TimePoint aNow);
  Fitness Supersede(WorkerLife aPrevious,
                    const WorkerReport& aReport,
                    const jobs::Book& aBook,
                    TimePoint aNow,
                    WallTime aWall,
                    Heard& aHeard);
  void ForgetContenders(TimePoint aNow);
  void Forget(const WorkerLife& aWorker);
  bool IsGone(const WorkerLife& aWorker) const
  {
    return m_retired.Contains(aWorker) || m_superseded.Contains(aWorker);
  }
  void FollowInstance(Worker& aWorker,
                      const WorkerReport& aReport,
                      const jobs::Book& aBook,
                      TimePoint aNow,
                      WallTime aWall,
                      Heard& aHeard);
  void FollowProgress(Worker& aWorker, TimePoint aNow);
  void TakeEnds(Worker& aWorker,
                const WorkerReport& aReport,
                const jobs::Book& aBook,
                TimePoint aNow,
                WallTime aWall,
                Heard& aHeard);
  void FindUnstarted(Worker& aWorker,
                     const jobs::Book& aBook,
                     TimePoint aNow,
                     WallTime aWall,
                     Heard& aHeard);
  void CountOutcome(Worker& aWorker, jobs::RunEnd aEnd, TimePoint aNow);
  std::vector<jobs::EndRun> EndAll(const WorkerLife& aWorker,
                                   const InstanceId& aInstance,
                                   const jobs::Book& aBook,
                                   WallTime aWall);
  void CountActive(Worker& aWorker, const jobs::Book& aBook) const;
  std::vector<PendingStart> FindPending(const Worker& aWorker,
                                        const jobs::Book& aBook) const;
  /** aUnshown: of the same worker. */
  static bool IsOnTrial(const jobs::TaskRef& aTask,
                        const std::vector<jobs::TaskRef>& aUnshown,
                        const jobs::Book& aBook);
  bool HasTrial(const Worker& aWorker, const jobs::Book& aBook) const;
  jobs::CrashEvidence JudgeTask(const jobs::TaskRef& aTask,
                                const Worker& aWorker,
                                const LostWorker& aLost,
                                const std::vector<jobs::TaskRef>& aUnshown,
                                const jobs::Book& aBook) const;
  jobs::CrashEvidence EvidenceOf(const jobs::TaskRef& aTask,
                                 const WorkerLife& aWorker,
                                 const jobs::Book& aBook) const;
  /** Starts that were sent and that no report has shown. */
  std::vector<jobs::TaskRef> FindUnshown(const Worker& aWorker,
                                         const jobs::Book& aBook) const;
  std::size_t CountLostBeside(const Worker& aWorker,
                              const jobs::Book& aBook,
                              TimePoint aNow) const;
  /** Tells how it was lost, before it is forgotten. */
  void NoteLoss(Worker& aWorker,
                LossCause aCause,
                const jobs::Book& aBook,
                TimePoint aNow);
  Duration UsualNextReport(const Worker& aWorker,
                           const jobs::Book& aBook) const;
  Duration NextReport(const Worker& aWorker, const jobs::Book& aBook) const;
  void AddRates(Worker& aWorker, const jobs::Book& aBook, Orders& aOrders);

  LeaseOptions m_options;
  int m_reportStretch = 1;
  TimePoint m_leaderSince;
  std::map<WorkerLife, Worker> m_workers;
  std::map<Host, Occupant> m_occupants;
  std::map<Host, std::map<WorkerLife, Contender>> m_contenders;
  /** Lives that have runs on record, until their ids are heard. */
  std::optional<std::map<WorkerId, WorkerLife>> m_inherited;
  std::map<InstanceId, std::vector<WorkerLife>> m_lives;
  /** Gone for certain. */
  EndedLives m_retired;
  /** Followed by another life, as far as reports can prove it. */
  EndedLives m_superseded;
  std::set<WorkerLife> m_cordoned;
  /** Workers of whose ends some are taken and not yet on a receipt. */
  std::set<WorkerLife> m_takenFrom;
  std::vector<LostWorker> m_lost;
  TimePoint m_lastLossAt;
  RecentLosses m_recentLosses;
  /** Newest checkpoints that workers reported of runs under way. */
  std::map<jobs::TaskRef, std::string> m_checkpoints;
};

/** The book has the run on this life of a worker. */
bool IsPlaced(const jobs::Book& aBook,
              const WorkerLife& aWorker,
              const jobs::TaskRef& aTask,
              RunNumber aRun);

/** Whether a run that a worker reports is the one the book has there. Where the
 * book names no life, the one that shows the run is believed. */
bool IsExpected(const jobs::Book& aBook,
                const WorkerLife& aWorker,
                const jobs::TaskRef& aTask,
                RunNumber aRun);

} // namespace bamboostile::placement
