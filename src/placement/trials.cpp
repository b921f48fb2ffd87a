#include "run_lookup.h"

#include "bamboostile/jobs/crash_loop.h"
#include "bamboostile/placement/planner.h"

#include <algorithm>
#include <tuple>

namespace bamboostile::placement {

namespace {

/** Of a pool's workers, one in so many at most may be lost to trials of a kind
 * at a time: the others go on with sound work. */
constexpr std::size_t kTrialShare = 2;
/** After that, longer than an instance takes to be moved in, a trial also takes
 * a worker with long-running tasks or a gang; pools that have no other worker
 * would never try. */
constexpr Millis kFragilePatience{ 3000 };
/** After that a trial of a long-running task also goes where the task was lost
 * before; */
constexpr Millis kTrialPatience{ 1000 };
/** and of any other: all other workers may be taken for good. */
constexpr Millis kElsewherePatience{ 5000 };

} // namespace

bool
Planner::Room::IsOpenToTrialOf(const jobs::Job& aJob, bool aIsJoint) const
{
  if (m_trialOf == nullptr) {
    return m_unshown == 0;
  }
  return aIsJoint ? m_isJoint : !m_isJoint && m_trialOf == &aJob;
}

void
Planner::Room::AddTrialOf(const jobs::Job& aJob, bool aIsJoint)
{
  m_isJoint = aIsJoint && (m_trialOf == nullptr || m_isJoint);
  m_trialOf = &aJob;
}

void
Planner::FindTrials(const Worker& aWorker,
                    const std::vector<jobs::TaskRef>& aPlaced,
                    const jobs::Book& aBook,
                    Room& aRoom) const
{
  for (const jobs::TaskRef& ref : aPlaced) {
    const jobs::Task& task = *aBook.FindTask(ref);
    const auto losses = aBook.LossesOf(ref);
    const bool isShown = Contains(aWorker.m_last.m_active, ref, task.m_lastRun);
    aRoom.m_unshown += isShown ? 0 : 1;
    const bool isOnTrial =
      isShown ? jobs::IsTriedThroughout(losses) : jobs::IsSuspect(losses);
    if (isOnTrial) {
      const jobs::Job& job = *aBook.Find(ref.m_job);
      const bool isJoint =
        jobs::MayBeTriedTogether(losses) && !StepOf(job, ref).m_gang;
      aRoom.AddTrialOf(job, isJoint);
    }
  }
}

// A trial that ends its worker should take little with it, and prove something:
// nothing else is started there until a report shows the run. An instance that
// crashes under whatever it starts is always the emptiest, so a trial goes
// where the task has not been lost yet, as long as the pool has such instances
// that may run it.
Planner::Room*
Planner::ChooseForTrial(const jobs::Job& aJob,
                        const jobs::StepSpec& aStep,
                        const std::vector<jobs::WorkerLoss>& aLosses,
                        const OnWorkers& aOnWorker,
                        Millis aWaited,
                        bool aIsJoint,
                        Pool& aPool) const
{
  const auto isKnown = [&](const Room& aRoom) {
    return jobs::WasLostOn(aLosses, aRoom.m_worker->m_last.m_instance);
  };
  const auto isFragile = [](const Room& aRoom) {
    return aRoom.m_hostsLongRunning || aRoom.m_hostsGang;
  };
  const auto rank = [&](const Room& aRoom) {
    return std::make_tuple(
      !aRoom.m_isJoint, isKnown(aRoom), isFragile(aRoom), aRoom.m_runs);
  };
  const bool takesFragile = aStep.m_longRunning || aWaited >= kFragilePatience;
  const bool takesKnown =
    aWaited >= (aStep.m_longRunning ? kTrialPatience : kElsewherePatience) ||
    std::none_of(aPool.begin(), aPool.end(), [&](const Room& aRoom) {
      return !isKnown(aRoom) && MayEverRun(aStep, aOnWorker, aRoom);
    });
  const bool mayOpen =
    !aIsJoint || CountTrials(aPool, true) < MostTrials(aPool);
  Room* best = nullptr;
  for (Room& room : aPool) {
    const bool isSpared = room.m_trialOf == nullptr &&
                          (!mayOpen || (isFragile(room) && !takesFragile) ||
                           (isKnown(room) && !takesKnown));
    if (isSpared || !room.IsOpenToTrialOf(aJob, aIsJoint) ||
        !room.Fits(aStep) || !MayEverRun(aStep, aOnWorker, room)) {
      continue;
    }
    if (best == nullptr || rank(room) < rank(*best)) {
      best = &room;
    }
  }
  return best;
}

bool
Planner::MayEverRun(const jobs::StepSpec& aStep,
                    const OnWorkers& aOnWorker,
                    const Room& aRoom)
{
  const WorkerReport& report = aRoom.m_worker->m_last;
  return IsAllowed(aStep, CountOn(report.m_worker, aOnWorker), aRoom) &&
         RoomUse{}.Leaves(report.m_capacity, aStep);
}

std::size_t
Planner::CountTrials(const Pool& aPool, bool aIsJoint)
{
  return static_cast<std::size_t>(
    std::count_if(aPool.begin(), aPool.end(), [&](const Room& aRoom) {
      return aRoom.m_trialOf != nullptr && aRoom.m_isJoint == aIsJoint;
    }));
}

std::size_t
Planner::MostTrials(const Pool& aPool)
{
  return std::max<std::size_t>(1, aPool.size() / kTrialShare);
}

bool
Planner::MayTry(const jobs::Job& aJob, bool aIsJoint, const Pool& aPool)
{
  if (aIsJoint) {
    return true;
  }
  return CountTrials(aPool, false) < MostTrials(aPool) &&
         std::none_of(aPool.begin(), aPool.end(), [&](const Room& aRoom) {
           return aRoom.m_trialOf == &aJob && !aRoom.m_isJoint;
         });
}

// A time of day that jumps back must not hold a task for long.
std::optional<Millis>
Planner::WaitedForTrial(const jobs::TaskRef& aTask,
                        const std::vector<jobs::WorkerLoss>& aLosses,
                        WallTime aWall)
{
  const Millis since{ aWall.Get() - aLosses.back().m_at.Get() };
  const Millis delay = ToMillis(jobs::RetryDelay(aTask, aLosses));
  if (since < Millis::zero()) {
    return Millis::zero();
  }
  return since < delay ? std::nullopt : std::optional{ since - delay };
}

std::vector<Planner::Suspect>
Planner::FindSuspects(const Candidate& aCandidate)
{
  std::vector<Suspect> suspects;
  const jobs::Job& job = *aCandidate.m_job;
  const auto found = job.m_occurrences.find(aCandidate.m_occurrence);
  if (found == job.m_occurrences.end()) {
    return suspects;
  }
  const jobs::StepSpec& step = job.m_spec.m_steps[aCandidate.m_step];
  const jobs::StepRun& run = found->second.m_steps[aCandidate.m_step];
  for (std::uint32_t i = 0; i < run.m_tasks.size(); ++i) {
    auto losses = jobs::LossesOf(step, run, i);
    if (run.m_tasks[i].m_phase == jobs::TaskPhase::kWaiting &&
        jobs::IsSuspect(losses)) {
      suspects.push_back({ i, std::move(losses) });
    }
  }
  std::stable_sort(suspects.begin(),
                   suspects.end(),
                   [](const Suspect& aLeft, const Suspect& aRight) {
                     return aLeft.m_losses.size() < aRight.m_losses.size();
                   });
  return suspects;
}

// A task that was only beside a crash passes its trial at once; one that
// crashes its workers takes each for seconds. Those with the fewest losses go
// first, or the others would be tried again and again before them.
std::vector<Planner::Candidate>
Planner::OrderForTrials(std::vector<Candidate>::const_iterator aFrom,
                        std::vector<Candidate>::const_iterator aTo,
                        const jobs::Book& aBook)
{
  std::multimap<std::size_t, Candidate> ordered;
  for (auto it = aFrom; it != aTo; ++it) {
    if (!aBook.HasLosses(it->m_job->m_id)) {
      continue;
    }
    const auto suspects = FindSuspects(*it);
    if (!suspects.empty()) {
      ordered.emplace(suspects.front().m_losses.size(), *it);
    }
  }
  std::vector<Candidate> candidates;
  for (const auto& [losses, candidate] : ordered) {
    candidates.push_back(candidate);
  }
  return candidates;
}

void
Planner::PlaceTrial(const Candidate& aCandidate,
                    bool aIsCalm,
                    WallTime aWall,
                    Pool& aPool,
                    Plan& aPlan) const
{
  const jobs::Job& job = *aCandidate.m_job;
  const jobs::StepSpec& step = job.m_spec.m_steps[aCandidate.m_step];
  const auto found = job.m_occurrences.find(aCandidate.m_occurrence);
  if (found == job.m_occurrences.end()) {
    return;
  }
  const jobs::StepRun& run = found->second.m_steps[aCandidate.m_step];
  OnWorkers onWorker = CountOnWorkers(run.m_tasks);
  for (const auto& [index, losses] : FindSuspects(aCandidate)) {
    const jobs::TaskRef ref{
      job.m_id, aCandidate.m_occurrence, aCandidate.m_step, index
    };
    if (jobs::NeedsCalm(losses) && !aIsCalm) {
      continue;
    }
    const auto waited = WaitedForTrial(ref, losses, aWall);
    const bool isJoint = jobs::MayBeTriedTogether(losses) && !step.m_gang;
    if (!waited || !MayTry(job, isJoint, aPool)) {
      continue;
    }
    if (step.m_gang) {
      PlaceGang(aCandidate, waited, aPool, aPlan);
      return;
    }
    Room* room =
      ChooseForTrial(job, step, losses, onWorker, *waited, isJoint, aPool);
    if (room == nullptr) {
      return;
    }
    const WorkerLife& worker = room->m_worker->m_last.m_worker;
    room->Take(step);
    room->AddTrialOf(job, isJoint);
    ++onWorker[worker];
    aPlan.m_changes.emplace_back(jobs::StartRun{
      ref, RunNumber{ run.m_tasks[index].m_lastRun.Get() + 1 }, worker });
    if (!isJoint) {
      return;
    }
  }
}

} // namespace bamboostile::placement
