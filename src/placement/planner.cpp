#include "bamboostile/placement/planner.h"

#include "bamboostile/jobs/crash_loop.h"

#include <algorithm>
#include <tuple>

namespace bamboostile::placement {

namespace {

/** One worker in so many is kept free for large tasks that find no room; none
 * in a pool of less than four. What is kept stands idle beside a queue. */
constexpr std::size_t kKeptShare = 16;
constexpr std::size_t kLeastPoolToKeep = 4;
/** A task is large if it needs more than one part in so many of a worker:
 * pieces that smaller ones leave, or run in, add up to that often enough. */
constexpr std::int64_t kLargeShare = 4;

/** What a job that is just in time must have left: its longest task takes so
 * much longer than the mean of its image, */
constexpr std::int64_t kSlowerPercent = 30;
/** and from placing a task to noting its end so long passes beside its work. */
constexpr Millis kStepOverhead{ 250 };

/** A lost worker takes at most one task in so many of a long-running step, as
 * far as there is room elsewhere. */
constexpr std::uint32_t kSpreadShare = 8;

std::uint32_t
SpreadLimit(const jobs::StepSpec& aStep)
{
  return (aStep.m_count + kSpreadShare - 1) / kSpreadShare;
}

} // namespace

bool
Planner::Room::Fits(const jobs::StepSpec& aStep) const
{
  return !m_isInDoubt && aStep.CountedCpu() <= m_cpu &&
         aStep.m_needs.m_memoryMb <= m_memory &&
         aStep.m_needs.m_accelerators <= m_accelerators;
}

void
Planner::Room::Take(const jobs::StepSpec& aStep)
{
  m_cpu -= aStep.CountedCpu();
  m_memory -= aStep.m_needs.m_memoryMb;
  m_accelerators -= aStep.m_needs.m_accelerators;
  m_serves = m_serves || aStep.m_latencyTarget > Millis::zero();
  m_hostsLongRunning = m_hostsLongRunning || aStep.m_longRunning;
  m_hostsGang = m_hostsGang || aStep.m_gang;
  ++m_runs;
}

Millis
Planner::LongestChain(const jobs::Job& aJob,
                      const jobs::Occurrence* aProgress) const
{
  std::vector<Millis> ends;
  Millis longest{};
  for (std::size_t s = 0; s < aJob.m_spec.m_steps.size(); ++s) {
    const jobs::StepSpec& step = aJob.m_spec.m_steps[s];
    Millis end{};
    for (const std::uint32_t earlier : step.m_dependsOn) {
      end = std::max(end, ends[earlier]);
    }
    if (aProgress == nullptr || !aProgress->m_steps[s].IsDone()) {
      end += m_durations.Estimate(step);
    }
    ends.push_back(end);
    longest = std::max(longest, end);
  }
  return longest;
}

Planner::Pools
Planner::FindRoom(const fleet::State& aState,
                  const WorkerTable& aWorkers,
                  const std::set<WorkerLife>& aCordoned,
                  TimePoint aNow) const
{
  Pools pools;
  const jobs::Book& book = aState.Jobs();
  const bool hasSuspects = book.HasSuspects();
  for (const auto& [id, worker] : aWorkers.Workers()) {
    if (!worker.IsUsable(aNow) || aCordoned.contains(id) ||
        worker.m_strayUse.m_isUnknown || aWorkers.HasLaterLife(worker)) {
      continue;
    }
    const jobs::Resources& all = worker.m_last.m_capacity;
    const RoomUse& stray = worker.m_strayUse;
    Room room{ &worker,
               all.m_cpuMillis - stray.m_cpuMillis,
               all.m_memoryMb - stray.m_memoryMb,
               all.m_accelerators - stray.m_accelerators };
    room.m_isInDoubt = aWorkers.IsInDoubt(worker, aNow);
    const auto placed = book.Placed().find(id);
    if (placed != book.Placed().end()) {
      for (const jobs::TaskRef& ref : placed->second) {
        const jobs::StepSpec& step =
          book.Find(ref.m_job)->m_spec.m_steps[ref.m_step];
        room.Take(step);
      }
      if (hasSuspects) {
        FindTrials(worker, placed->second, book, room);
      }
    }
    pools[worker.m_last.m_service].push_back(room);
  }
  return pools;
}

void
Planner::AddCandidates(const jobs::Job& aJob,
                       const fleet::QueueRoute& aRoute,
                       std::uint32_t aOccurrence,
                       WallTime aBegan,
                       WallTime aWall,
                       std::vector<Candidate>& aTo) const
{
  const auto found = aJob.m_occurrences.find(aOccurrence);
  const jobs::Occurrence* progress =
    found == aJob.m_occurrences.end() ? nullptr : &found->second;
  const auto chain = static_cast<double>(LongestChain(aJob, nullptr).count());
  const std::int64_t due = aBegan.Get() +
                           static_cast<std::int64_t>(chain * aRoute.m_stretch) +
                           aRoute.m_objective.count();
  const Millis left = LongestChain(aJob, progress);
  const std::int64_t ends = aWall.Get() +
                            left.count() * (100 + kSlowerPercent) / 100 +
                            kStepOverhead.count();
  const bool late = ends > due && m_mechanisms.Has(Mechanism::kLateLast);
  for (std::uint32_t s = 0; s < aJob.m_spec.m_steps.size(); ++s) {
    const jobs::StepSpec& step = aJob.m_spec.m_steps[s];
    const bool isTurn = progress == nullptr
                          ? step.m_dependsOn.empty()
                          : progress->m_steps[s].Waiting() > 0 &&
                              jobs::Book::IsTurn(*progress, step);
    if (isTurn) {
      aTo.push_back({ &aJob,
                      &aRoute,
                      aOccurrence,
                      s,
                      step.m_longRunning,
                      late && !step.m_longRunning,
                      WallTime{ due } });
    }
  }
}

std::vector<Planner::Candidate>
Planner::FindCandidates(const fleet::State& aState, WallTime aWall) const
{
  std::vector<Candidate> candidates;
  const jobs::Book& book = aState.Jobs();
  const fleet::RouteTable& routes = aState.Routes();
  for (const auto& [order, id] : book.Open()) {
    const jobs::Job& job = *book.Find(id);
    const auto route = aState.RouteLookup().Find(job.m_queue);
    // Where only one service's advice says which workers may run a step,
    // nothing may start without it.
    if (job.m_state != jobs::JobState::kActive || !route ||
        routes.m_routes[*route].m_advice) {
      continue;
    }
    const fleet::QueueRoute& queue = routes.m_routes[*route];
    if (job.m_spec.m_repeatCount == 0) {
      AddCandidates(job, queue, 0, job.m_acceptedAt, aWall, candidates);
      continue;
    }
    const std::int64_t passed = aWall.Get() - job.m_spec.m_startAt.Get();
    const std::int64_t interval =
      std::max<std::int64_t>(1, job.m_spec.m_interval.count());
    for (std::uint32_t k = 0;
         k < job.m_spec.m_repeatCount && k * interval <= passed;
         ++k) {
      const WallTime due{ job.m_spec.m_startAt.Get() + k * interval };
      AddCandidates(job, queue, k, due, aWall, candidates);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              const auto key = [](const Candidate& aOne) {
                return std::make_tuple(!aOne.m_isLongRunning,
                                       aOne.m_late,
                                       aOne.m_route->m_priority,
                                       aOne.m_due,
                                       aOne.m_job->m_order,
                                       aOne.m_occurrence,
                                       aOne.m_step);
              };
              return key(aLeft) < key(aRight);
            });
  return candidates;
}

std::uint32_t
Planner::CountOn(const WorkerLife& aWorker, const OnWorkers& aOnWorkers)
{
  const auto here = aOnWorkers.find(aWorker);
  return here == aOnWorkers.end() ? 0 : here->second;
}

bool
Planner::IsAllowed(const jobs::StepSpec& aStep,
                   std::uint32_t aOnWorker,
                   const Room& aRoom)
{
  const auto& labels = aRoom.m_worker->m_last.m_labels;
  return (aStep.m_requiredLabel.empty() ||
          labels.contains(aStep.m_requiredLabel)) &&
         (aStep.m_maxPerWorker == 0 || aOnWorker < aStep.m_maxPerWorker);
}

Planner::Room*
Planner::Choose(const jobs::StepSpec& aStep,
                const OnWorkers& aOnWorker,
                Pool& aPool) const
{
  Room* best = nullptr;
  auto bestRank = std::make_tuple(true, true, true, true, true, std::int64_t{});
  for (Room& room : aPool) {
    const WorkerReport& report = room.m_worker->m_last;
    if (room.m_kept || room.m_trialOf != nullptr || !room.Fits(aStep)) {
      continue;
    }
    const std::uint32_t onWorker = CountOn(report.m_worker, aOnWorker);
    if (!IsAllowed(aStep, onWorker, room)) {
      continue;
    }
    const bool farFromData = !aStep.m_preferredRack.Get().empty() &&
                             aStep.m_preferredRack != report.m_rack;
    // Filler and serving tasks disturb each other on one worker.
    const bool disturbs = aStep.m_fills && room.m_serves;
    // Long-running tasks are spread, so that one lost worker takes few of them,
    // but over workers that have some already, or else run something: one on
    // each worker would keep the whole pool from ever being idle. The others
    // are packed, so that room for large ones stays in one piece.
    const bool isSpread = aStep.m_longRunning || aStep.m_fills;
    const bool isCrowded = isSpread && onWorker >= SpreadLimit(aStep);
    const bool isEmpty = isSpread && m_mechanisms.Has(Mechanism::kSharing) &&
                         room.m_cpu == report.m_capacity.m_cpuMillis;
    const bool isNewHost = isSpread && m_mechanisms.Has(Mechanism::kSharing) &&
                           !room.m_hostsLongRunning;
    const bool isPacked = !isSpread && m_mechanisms.Has(Mechanism::kPacking);
    const std::int64_t left = room.m_cpu - aStep.CountedCpu();
    const auto rank = std::make_tuple(farFromData,
                                      disturbs,
                                      isCrowded,
                                      isNewHost,
                                      isEmpty,
                                      isPacked ? left : -left);
    if (best == nullptr || rank < bestRank) {
      best = &room;
      bestRank = rank;
    }
  }
  return best;
}

// A large task that finds no room would wait for ever while small ones take
// each piece that becomes free; so it gets the emptiest worker to itself.
void
Planner::KeepEmptiest(const jobs::StepSpec& aStep, Pool& aPool) const
{
  if (!m_mechanisms.Has(Mechanism::kRoomForLarge)) {
    return;
  }
  const auto kept = static_cast<std::size_t>(
    std::count_if(aPool.begin(), aPool.end(), [](const Room& aRoom) {
      return aRoom.m_kept;
    }));
  const std::size_t most = std::max<std::size_t>(1, aPool.size() / kKeptShare);
  if (aPool.size() < kLeastPoolToKeep || kept >= most) {
    return;
  }
  const auto rank = [](const Room& aRoom) {
    return std::make_pair(!aRoom.m_kept, aRoom.m_cpu);
  };
  Room& emptiest = *std::max_element(
    aPool.begin(), aPool.end(), [&](const Room& aLeft, const Room& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  const jobs::Resources& all = emptiest.m_worker->m_last.m_capacity;
  const jobs::Resources& needs = aStep.m_needs;
  // One whose room has shrunk may be too small even when it is empty.
  if (!RoomUse{}.Leaves(all, aStep)) {
    return;
  }
  emptiest.m_kept = aStep.CountedCpu() * kLargeShare > all.m_cpuMillis ||
                    needs.m_memoryMb * kLargeShare > all.m_memoryMb ||
                    needs.m_accelerators > 0;
}

void
Planner::Place(const Candidate& aCandidate, Pool& aPool, Plan& aPlan) const
{
  const jobs::StepSpec& step =
    aCandidate.m_job->m_spec.m_steps[aCandidate.m_step];
  if (step.m_gang) {
    PlaceGang(aCandidate, std::nullopt, aPool, aPlan);
    return;
  }
  const auto found =
    aCandidate.m_job->m_occurrences.find(aCandidate.m_occurrence);
  static const jobs::Task kUntouched;
  OnWorkers onWorker;
  const bool isNew = found == aCandidate.m_job->m_occurrences.end();
  const std::vector<jobs::Task>* tasks =
    isNew ? nullptr : &found->second.m_steps[aCandidate.m_step].m_tasks;
  if ((step.m_maxPerWorker > 0 || step.m_longRunning) && tasks != nullptr) {
    onWorker = CountOnWorkers(*tasks);
  }
  for (std::uint32_t i = 0; i < step.m_count; ++i) {
    const jobs::Task& task = tasks == nullptr ? kUntouched : (*tasks)[i];
    if (task.m_phase != jobs::TaskPhase::kWaiting ||
        jobs::IsSuspect(task.m_losses)) {
      continue;
    }
    Room* room = Choose(step, onWorker, aPool);
    if (room == nullptr) {
      if (!aCandidate.m_late) {
        KeepEmptiest(step, aPool);
      }
      return;
    }
    room->Take(step);
    ++room->m_unshown;
    const WorkerLife& worker = room->m_worker->m_last.m_worker;
    ++onWorker[worker];
    aPlan.m_changes.emplace_back(jobs::StartRun{
      { aCandidate.m_job->m_id, aCandidate.m_occurrence, aCandidate.m_step, i },
      RunNumber{ task.m_lastRun.Get() + 1 },
      worker });
  }
}

// All members at once or none: a member that waits for the others holds its
// room for nothing.
void
Planner::PlaceGang(const Candidate& aCandidate,
                   std::optional<Millis> aWaited,
                   Pool& aPool,
                   Plan& aPlan) const
{
  const jobs::StepSpec& step =
    aCandidate.m_job->m_spec.m_steps[aCandidate.m_step];
  const auto found =
    aCandidate.m_job->m_occurrences.find(aCandidate.m_occurrence);
  RunNumber last;
  std::vector<jobs::WorkerLoss> losses;
  if (found != aCandidate.m_job->m_occurrences.end()) {
    const jobs::StepRun& state = found->second.m_steps[aCandidate.m_step];
    losses = jobs::LossesOf(step, state, 0);
    if (state.m_running > 0 || jobs::IsSuspect(losses) != aWaited.has_value()) {
      return;
    }
    for (const jobs::Task& task : state.m_tasks) {
      last = std::max(last, task.m_lastRun);
    }
  }
  Pool trial = aPool;
  OnWorkers onWorker;
  std::vector<jobs::Change> starts;
  for (std::uint32_t i = 0; i < step.m_count; ++i) {
    Room* room =
      aWaited
        ? ChooseForTrial(
            *aCandidate.m_job, step, losses, onWorker, *aWaited, false, trial)
        : Choose(step, onWorker, trial);
    if (room == nullptr) {
      return;
    }
    room->Take(step);
    ++room->m_unshown;
    if (aWaited) {
      room->AddTrialOf(*aCandidate.m_job, false);
    }
    const WorkerLife& worker = room->m_worker->m_last.m_worker;
    ++onWorker[worker];
    starts.emplace_back(jobs::StartRun{
      { aCandidate.m_job->m_id, aCandidate.m_occurrence, aCandidate.m_step, i },
      RunNumber{ last.Get() + 1 },
      worker });
  }
  aPool = std::move(trial);
  std::move(starts.begin(), starts.end(), std::back_inserter(aPlan.m_changes));
}

bool
Planner::MayLeave(const jobs::TaskRef& aTask,
                  const fleet::State& aState,
                  const WorkerTable& aWorkers,
                  const Worker& aFrom,
                  TimePoint aNow,
                  const Plan& aPlan)
{
  const jobs::Job& job = *aState.Jobs().Find(aTask.m_job);
  const jobs::Task& task = *aState.Jobs().FindTask(aTask);
  const bool isMovable = job.m_spec.m_steps[aTask.m_step].m_longRunning &&
                         job.m_state == jobs::JobState::kActive &&
                         aWorkers.FindRun(aTask, task) != nullptr &&
                         !aFrom.m_toStop.contains({ aTask, task.m_lastRun });
  const bool isFirstOfStep = std::none_of(
    aPlan.m_stops.begin(), aPlan.m_stops.end(), [&](const StopOrder& aStop) {
      return aStop.m_task.m_job == aTask.m_job &&
             aStop.m_task.m_step == aTask.m_step;
    });
  if (!isMovable || !isFirstOfStep) {
    return false;
  }
  // The worker of one that drains goes anyway; but where another task of
  // the step is under orders to stop, both would be away at once.
  return aFrom.m_last.m_draining ? !aWorkers.IsAnyStopping(job, aTask)
                                 : aWorkers.MayDisrupt(job, aTask, aNow);
}

Planner::OnWorkers
Planner::CountOnWorkers(const std::vector<jobs::Task>& aTasks)
{
  OnWorkers onWorkers;
  for (const jobs::Task& task : aTasks) {
    if (task.m_phase == jobs::TaskPhase::kRunning) {
      ++onWorkers[task.m_worker];
    }
  }
  return onWorkers;
}

// A long-running task leaves a worker that goes away before it goes: the stop
// is ordered only where another worker may take it, so that the task is back
// within about a second.
void
Planner::MoveLongRunning(const fleet::State& aState,
                         const WorkerTable& aWorkers,
                         const std::set<WorkerLife>& aCordoned,
                         TimePoint aNow,
                         Pools& aPools,
                         Plan& aPlan) const
{
  const jobs::Book& book = aState.Jobs();
  for (const auto& [worker, tasks] : book.Placed()) {
    const Worker* from = aWorkers.Find(worker);
    const bool leaves = from != nullptr &&
                        (from->m_last.m_draining || aCordoned.contains(worker));
    if (!leaves) {
      continue;
    }
    for (const jobs::TaskRef& ref : tasks) {
      if (!MayLeave(ref, aState, aWorkers, *from, aNow, aPlan)) {
        continue;
      }
      const jobs::Job& job = *book.Find(ref.m_job);
      const jobs::StepSpec& step = job.m_spec.m_steps[ref.m_step];
      const auto& tasksOfStep =
        job.m_occurrences.at(ref.m_occurrence).m_steps[ref.m_step].m_tasks;
      Room* room = Choose(
        step, CountOnWorkers(tasksOfStep), aPools[from->m_last.m_service]);
      if (room != nullptr) {
        room->Take(step);
        aPlan.m_stops.push_back({ ref, book.FindTask(ref)->m_lastRun });
      }
    }
  }
}

Plan
Planner::Next(const fleet::State& aState,
              const WorkerTable& aWorkers,
              const std::set<WorkerLife>& aCordoned,
              TimePoint aNow,
              WallTime aWall)
{
  Plan plan;
  Pools pools = FindRoom(aState, aWorkers, aCordoned, aNow);
  const std::vector<Candidate> candidates = FindCandidates(aState, aWall);
  const auto lasting =
    std::find_if(candidates.cbegin(),
                 candidates.cend(),
                 [](const Candidate& aOne) { return !aOne.m_isLongRunning; });
  const bool isCalm = !aState.Jobs().LostWithWorkers().empty() &&
                      aWorkers.IsCalm(aState.Jobs(), aNow);
  const auto placeAll = [&](auto aFrom, auto aTo) {
    for (auto it = aFrom; it != aTo; ++it) {
      Place(*it, pools[it->m_route->m_service], plan);
    }
    for (const Candidate& one : OrderForTrials(aFrom, aTo, aState.Jobs())) {
      PlaceTrial(one, isCalm, aWall, pools[one.m_route->m_service], plan);
    }
  };
  placeAll(candidates.cbegin(), lasting);
  MoveLongRunning(aState, aWorkers, aCordoned, aNow, pools, plan);
  placeAll(lasting, candidates.cend());
  return plan;
}

} // namespace bamboostile::placement
