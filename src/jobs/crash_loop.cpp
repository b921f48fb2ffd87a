#include "bamboostile/jobs/crash_loop.h"

#include "bamboostile/units/hash.h"

#include <algorithm>
#include <set>

namespace bamboostile::jobs {

namespace {

/** Number of kRunning losses that make a task a suspect. One says nothing: a
 * lost worker ends all tasks that it runs. */
constexpr std::size_t kMinRunningLossesOfSuspect = 2;
/** Number of losses of any kind that make a task a suspect. A concurrent loss
 * says even less than one kRunning loss, but tasks that crash their workers at
 * the same time hide each other. */
constexpr std::size_t kMinLossesOfSuspect = 3;
/** Maximum number of losses with which suspects may still share a worker. */
constexpr std::size_t kMaxLossesIsolatedTogether = 3;
/** Number of isolated losses that prove a crasher. One is not enough: a worker
 * may crash by itself in an isolated run of a healthy task. */
constexpr std::size_t kProofs = 2;
/** Number of losses from which an isolated run waits, for a limited time, for a
 * quiet period, so that its evidence can be certain. */
constexpr std::size_t kMinLossesForQuietPeriod = 3;
/** Number of losses of any kind with which one proof is enough. */
constexpr std::size_t kMinLossesWithOneProof = 5;
/** Number of losses that point to the task, including the proof, with which one
 * proof is enough. */
constexpr std::size_t kMinDistinctLossesWithOneProof = 4;
/** Number of losses of any kind with which no proof is needed, and how many of
 * them must point to the task: at the end the isolated runs have waited for a
 * quiet period. The others may have been noticed by a leader that does not know
 * when the run was started. */
constexpr std::size_t kMinLossesWithoutProof = 5;
constexpr std::size_t kMinDistinctLossesWithoutProof = 3;
/** Number of losses of any kind with which a likely crasher is given up, and
 * what they must weigh together. */
constexpr std::size_t kMinLossesOfLikelyCrasher = 5;
constexpr std::size_t kMinWeightOfLikelyCrasher = 10;
constexpr std::size_t kWeightOfDistinctLoss = 4;
constexpr std::size_t kWeightOfMassLoss = 2;
constexpr std::size_t kWeightOfRunningLoss = 1;
constexpr std::size_t kMaxDoublings = 3;
constexpr Millis kFirstDelay{ 250 };

std::size_t
Count(const std::vector<WorkerLoss>& aLosses, CrashEvidence aEvidence)
{
  return static_cast<std::size_t>(
    std::count_if(aLosses.begin(), aLosses.end(), [&](const WorkerLoss& aLoss) {
      return aLoss.m_evidence == aEvidence;
    }));
}

/** Counts the losses that do not point to one task. */
std::size_t
CountRunningOrConcurrent(const std::vector<WorkerLoss>& aLosses)
{
  return Count(aLosses, CrashEvidence::kRunning) +
         Count(aLosses, CrashEvidence::kConcurrent);
}

int
WeightOf(CrashEvidence aEvidence)
{
  switch (aEvidence) {
    case CrashEvidence::kNone:
    case CrashEvidence::kConcurrent:
      return 0;
    case CrashEvidence::kRunning:
    case CrashEvidence::kStartingInMassLoss:
      return 1;
    case CrashEvidence::kStarting:
    case CrashEvidence::kRunningIsolated:
      return 2;
    case CrashEvidence::kIsolated:
      return 3;
  }
  return 0;
}

std::size_t
CountStarting(const std::vector<WorkerLoss>& aLosses)
{
  return Count(aLosses, CrashEvidence::kStarting) +
         Count(aLosses, CrashEvidence::kStartingInMassLoss);
}

/** Counts the losses that point to the task more than to others. */
std::size_t
CountDistinct(const std::vector<WorkerLoss>& aLosses)
{
  return Count(aLosses, CrashEvidence::kStarting) +
         Count(aLosses, CrashEvidence::kRunningIsolated) +
         Count(aLosses, CrashEvidence::kIsolated);
}

} // namespace

const char*
Describe(CrashEvidence aEvidence) noexcept
{
  switch (aEvidence) {
    case CrashEvidence::kNone:
      return "none";
    case CrashEvidence::kRunning:
      return "was running";
    case CrashEvidence::kStarting:
      return "had just started";
    case CrashEvidence::kIsolated:
      return "had just started, alone";
    case CrashEvidence::kConcurrent:
      return "was running, other workers were lost as well";
    case CrashEvidence::kRunningIsolated:
      return "was running, alone";
    case CrashEvidence::kStartingInMassLoss:
      return "had just started, many workers were lost as well";
  }
  return "unknown";
}

// A gang starts as a whole, so all workers lost in one of its runs count as one
// loss. Counted separately, the losses of its first run could fail the job.
std::vector<WorkerLoss>
LossesOf(const StepSpec& aSpec, const StepRun& aStep, std::uint32_t aIndex)
{
  if (!aSpec.m_gang) {
    return aStep.TaskAt(aIndex).m_losses;
  }
  std::vector<WorkerLoss> losses;
  for (const Task& member : aStep.m_tasks) {
    for (const WorkerLoss& loss : member.m_losses) {
      const auto same = std::find_if(
        losses.begin(), losses.end(), [&](const WorkerLoss& aLoss) {
          return aLoss.m_run == loss.m_run;
        });
      if (same == losses.end()) {
        losses.push_back(loss);
      } else if (WeightOf(loss.m_evidence) > WeightOf(same->m_evidence)) {
        *same = loss;
      }
    }
  }
  return losses;
}

std::size_t
CountInstances(const std::vector<WorkerLoss>& aLosses)
{
  std::set<InstanceId> instances;
  for (const WorkerLoss& loss : aLosses) {
    instances.insert(loss.m_instance);
  }
  return instances.size();
}

bool
IsSuspect(const std::vector<WorkerLoss>& aLosses)
{
  return CountDistinct(aLosses) > 0 || CountStarting(aLosses) > 0 ||
         Count(aLosses, CrashEvidence::kRunning) >=
           kMinRunningLossesOfSuspect ||
         aLosses.size() >= kMinLossesOfSuspect;
}

bool
HasFewLosses(const std::vector<WorkerLoss>& aLosses)
{
  return aLosses.size() <= kMaxLossesIsolatedTogether;
}

// Every crash makes a suspect of each task that loses a worker for the second
// time. Isolated one after the other, the suspects would wait for minutes while
// workers are idle. With four losses a task runs by itself, and the next loss
// in that isolated run is the proof.
bool
CanBeIsolatedTogether(const std::vector<WorkerLoss>& aLosses)
{
  return IsSuspect(aLosses) && HasFewLosses(aLosses) &&
         CountRunningOrConcurrent(aLosses) == aLosses.size();
}

// A task that had just been started when its worker was lost may have shared
// the worker with a task that crashes its workers later in the run, or may be
// such a task itself.
bool
IsIsolatedForWholeRun(const std::vector<WorkerLoss>& aLosses)
{
  return IsSuspect(aLosses) &&
         (CountStarting(aLosses) == 0 || aLosses.size() >= kMinLossesOfSuspect);
}

bool
NeedsQuietPeriod(const std::vector<WorkerLoss>& aLosses)
{
  return aLosses.size() >= kMinLossesForQuietPeriod;
}

bool
HasLossOn(const std::vector<WorkerLoss>& aLosses, const InstanceId& aInstance)
{
  return std::any_of(
    aLosses.begin(), aLosses.end(), [&](const WorkerLoss& aLoss) {
      return aLoss.m_instance == aInstance;
    });
}

bool
HasProof(const std::vector<WorkerLoss>& aLosses)
{
  return Count(aLosses, CrashEvidence::kIsolated) > 0;
}

bool
IsProvenCrasher(const std::vector<WorkerLoss>& aLosses)
{
  const std::size_t proofs = Count(aLosses, CrashEvidence::kIsolated);
  return proofs >= kProofs ||
         (proofs > 0 &&
          (aLosses.size() >= kMinLossesWithOneProof ||
           CountDistinct(aLosses) >= kMinDistinctLossesWithOneProof)) ||
         (aLosses.size() >= kMinLossesWithoutProof &&
          CountDistinct(aLosses) >= kMinDistinctLossesWithoutProof);
}

// Not part of IsProvenCrasher: replicas of earlier versions, which do not know
// mass losses, would apply it differently.
bool
IsLikelyCrasher(const std::vector<WorkerLoss>& aLosses)
{
  const std::size_t weight =
    kWeightOfDistinctLoss * CountDistinct(aLosses) +
    kWeightOfMassLoss * Count(aLosses, CrashEvidence::kStartingInMassLoss) +
    kWeightOfRunningLoss * Count(aLosses, CrashEvidence::kRunning);
  return aLosses.size() >= kMinLossesOfLikelyCrasher &&
         weight >= kMinWeightOfLikelyCrasher;
}

// Jitter prevents the tasks that became suspects in one crash from restarting
// at the same moment.
Duration
RetryDelay(const TaskRef& aTask, const std::vector<WorkerLoss>& aLosses)
{
  if (aLosses.empty()) {
    return Duration::zero();
  }
  const std::size_t doublings = std::min(aLosses.size() - 1, kMaxDoublings);
  const Millis maxDelay = kFirstDelay * (1 << doublings);
  const std::uint64_t seed = StableHash{}
                               .Add(aTask.m_job.Get())
                               .Add(std::uint64_t{ aTask.m_occurrence })
                               .Add(std::uint64_t{ aTask.m_step })
                               .Add(std::uint64_t{ aTask.m_index })
                               .Add(std::uint64_t{ aLosses.size() })
                               .Get();
  const auto half = static_cast<std::uint64_t>(maxDelay.count() / 2);
  return maxDelay / 2 + Millis{ static_cast<std::int64_t>(seed % half) };
}

std::string
NameOf(const TaskRef& aTask)
{
  return "step " + std::to_string(aTask.m_step) + " task " +
         std::to_string(aTask.m_index);
}

std::string
DescribeCrashes(const TaskRef& aTask, const std::vector<WorkerLoss>& aLosses)
{
  std::string text =
    NameOf(aTask) + " crashed " + std::to_string(aLosses.size()) + " workers: ";
  const char* separator = "";
  for (const WorkerLoss& loss : aLosses) {
    text += separator + loss.m_worker.m_id.Get() + " (run " +
            std::to_string(loss.m_run.Get()) + ")";
    separator = ", ";
  }
  return text;
}

} // namespace bamboostile::jobs
