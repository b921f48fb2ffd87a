#pragma once

#include "bamboostile/jobs/model.h"

namespace bamboostile::jobs {

/**
 * @file
 * @brief Tells a task that crashes the workers that start it from those that
 * were beside it, and bounds how many workers it can take.
 *
 * A task that had just been started when its worker was lost is a suspect. Its
 * next run is a trial: on a worker to which nothing else is started. Two
 * workers that crash in trials, alone, prove it. Evidence in doubt does not, up
 * to a bound that no sound task reaches.
 */

/** The losses of a task; of all members, one for each run, for a gang. */
std::vector<WorkerLoss> LossesOf(const StepSpec& aSpec,
                                 const StepRun& aStep,
                                 std::uint32_t aIndex);

/** The next run is a trial. */
bool IsSuspect(const std::vector<WorkerLoss>& aLosses);

/** No loss has singled the task out yet: it may be on trial beside others of
 * which the same is true. */
bool MayBeTriedTogether(const std::vector<WorkerLoss>& aLosses);

/** The trial lasts for the whole run, not only until the run is reported. */
bool IsTriedThroughout(const std::vector<WorkerLoss>& aLosses);

/** The next trial waits until no other worker is being lost. */
bool NeedsCalm(const std::vector<WorkerLoss>& aLosses);

/** Whether a worker of the instance is among those lost. */
bool WasLostOn(const std::vector<WorkerLoss>& aLosses,
               const InstanceId& aInstance);

/** On how many instances workers were lost. */
std::size_t CountInstances(const std::vector<WorkerLoss>& aLosses);

/** The task must not start again. */
bool IsProven(const std::vector<WorkerLoss>& aLosses);

/** Between the end of the last run and the next trial; grows with each loss,
 * the same on all replicas. */
Duration RetryDelay(const TaskRef& aTask,
                    const std::vector<WorkerLoss>& aLosses);

/** "crashed 2 workers: w1 (run 1), w2 (run 2)". */
std::string DescribeLosses(const std::vector<WorkerLoss>& aLosses);

} // namespace bamboostile::jobs
