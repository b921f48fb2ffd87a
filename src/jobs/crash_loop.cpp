#include "bamboostile/jobs/crash_loop.h"

#include "bamboostile/units/hash.h"

#include <algorithm>
#include <set>

namespace bamboostile::jobs {

namespace {

/** A worker takes all that it runs with it, so one such loss says nothing, */
constexpr std::size_t kRunningLossesOfSuspect = 2;
/** and one that others share says even less; but tasks that crash their workers
 * at the same time hide behind each other. */
constexpr std::size_t kLossesOfSuspect = 3;
/** So many suspects may still be tried beside each other. */
constexpr std::size_t kMostLossesTogether = 3;
/** A worker may also crash by itself in a trial of a sound task. */
constexpr std::size_t kProofs = 2;
/** From so many losses on, a trial waits until its evidence can be certain. */
constexpr std::size_t kLossesUntilCalm = 3;
/** With so many losses of any kind, one proof is enough. */
constexpr std::size_t kLossesBesideOneProof = 5;
/** And with so many at the start, the proof among them. */
constexpr std::size_t kLossesAtStartBesideOneProof = 4;
/** So many losses at the start need no proof: the last ones came although no
 * other worker was being lost when the trial began. */
constexpr std::size_t kMostLossesAtStart = 5;
constexpr std::size_t kMostDoublings = 3;
constexpr Millis kFirstDelay{ 250 };

std::size_t
Count(const std::vector<WorkerLoss>& aLosses, CrashEvidence aEvidence)
{
  return static_cast<std::size_t>(
    std::count_if(aLosses.begin(), aLosses.end(), [&](const WorkerLoss& aOne) {
      return aOne.m_evidence == aEvidence;
    }));
}

/** Of losses that single no task out. */
std::size_t
CountAtWork(const std::vector<WorkerLoss>& aLosses)
{
  return Count(aLosses, CrashEvidence::kRunning) +
         Count(aLosses, CrashEvidence::kShared);
}

int
WeightOf(CrashEvidence aEvidence)
{
  return aEvidence == CrashEvidence::kShared ? 0 : static_cast<int>(aEvidence);
}

std::size_t
CountAtStart(const std::vector<WorkerLoss>& aLosses)
{
  return Count(aLosses, CrashEvidence::kStarting) +
         Count(aLosses, CrashEvidence::kAlone);
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
    case CrashEvidence::kAlone:
      return "had just started, alone";
    case CrashEvidence::kShared:
      return "was running, other workers were lost as well";
  }
  return "unknown";
}

// A gang starts as a whole, so the workers that one start of it takes are one
// loss; counted singly, its first start might give it up.
std::vector<WorkerLoss>
LossesOf(const StepSpec& aSpec, const StepRun& aStep, std::uint32_t aIndex)
{
  if (!aSpec.m_gang) {
    return aStep.m_tasks[aIndex].m_losses;
  }
  std::vector<WorkerLoss> losses;
  for (const Task& member : aStep.m_tasks) {
    for (const WorkerLoss& loss : member.m_losses) {
      const auto same =
        std::find_if(losses.begin(), losses.end(), [&](const WorkerLoss& aOne) {
          return aOne.m_run == loss.m_run;
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
  return CountAtStart(aLosses) > 0 ||
         Count(aLosses, CrashEvidence::kRunning) >= kRunningLossesOfSuspect ||
         aLosses.size() >= kLossesOfSuspect;
}

// Every crash makes suspects of all that ran there for the second time. One
// after the other they would wait for minutes beside idle workers. With four
// losses the next one, in a trial by itself, is the proof.
bool
MayBeTriedTogether(const std::vector<WorkerLoss>& aLosses)
{
  return IsSuspect(aLosses) && aLosses.size() <= kMostLossesTogether &&
         CountAtWork(aLosses) == aLosses.size();
}

// One that had just been started when a worker was lost may also have been
// beside a task that crashes its workers later, or be such a task itself.
bool
IsTriedThroughout(const std::vector<WorkerLoss>& aLosses)
{
  return IsSuspect(aLosses) && (Count(aLosses, CrashEvidence::kStarting) == 0 ||
                                aLosses.size() >= kLossesOfSuspect);
}

bool
NeedsCalm(const std::vector<WorkerLoss>& aLosses)
{
  return aLosses.size() >= kLossesUntilCalm;
}

bool
WasLostOn(const std::vector<WorkerLoss>& aLosses, const InstanceId& aInstance)
{
  return std::any_of(
    aLosses.begin(), aLosses.end(), [&](const WorkerLoss& aOne) {
      return aOne.m_instance == aInstance;
    });
}

bool
IsProven(const std::vector<WorkerLoss>& aLosses)
{
  const std::size_t proofs = Count(aLosses, CrashEvidence::kAlone);
  return proofs >= kProofs ||
         (proofs > 0 &&
          (aLosses.size() >= kLossesBesideOneProof ||
           CountAtStart(aLosses) >= kLossesAtStartBesideOneProof)) ||
         CountAtStart(aLosses) >= kMostLossesAtStart;
}

// Jitter keeps the tasks that one crash made suspects from coming back at the
// same moment.
Duration
RetryDelay(const TaskRef& aTask, const std::vector<WorkerLoss>& aLosses)
{
  if (aLosses.empty()) {
    return Duration::zero();
  }
  const std::size_t doublings = std::min(aLosses.size() - 1, kMostDoublings);
  const Millis longest = kFirstDelay * (1 << doublings);
  const std::uint64_t seed = StableHash{}
                               .Add(aTask.m_job.Get())
                               .Add(std::uint64_t{ aTask.m_occurrence })
                               .Add(std::uint64_t{ aTask.m_step })
                               .Add(std::uint64_t{ aTask.m_index })
                               .Add(std::uint64_t{ aLosses.size() })
                               .Get();
  const auto half = static_cast<std::uint64_t>(longest.count() / 2);
  return longest / 2 + Millis{ static_cast<std::int64_t>(seed % half) };
}

std::string
DescribeLosses(const std::vector<WorkerLoss>& aLosses)
{
  std::string text = "crashed " + std::to_string(aLosses.size()) + " workers: ";
  const char* separator = "";
  for (const WorkerLoss& loss : aLosses) {
    text += separator + loss.m_worker.m_id.Get() + " (run " +
            std::to_string(loss.m_run.Get()) + ")";
    separator = ", ";
  }
  return text;
}

} // namespace bamboostile::jobs
