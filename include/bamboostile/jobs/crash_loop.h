#pragma once

#include "bamboostile/jobs/model.h"

namespace bamboostile::jobs {

/**
 * @file
 * @brief Distinguishes a task that crashes its workers from tasks that were
 * running on the same workers, and bounds how many workers it can crash.
 *
 * A task that had just been started when its worker was lost is a suspect. Its
 * next run is an isolated run: nothing else is started on its worker. A task is
 * a proven crasher once two workers have crashed in its isolated runs with no
 * other explanation. Ambiguous losses do not prove it until their number
 * reaches a limit that no healthy task reaches.
 */

/** Returns the losses of a task; for a gang, those of all members, reduced to
 * one loss for each run. */
std::vector<WorkerLoss> LossesOf(const StepSpec& aSpec,
                                 const StepRun& aStep,
                                 std::uint32_t aIndex);

/** Whether the task's next run must be an isolated run. */
bool IsSuspect(const std::vector<WorkerLoss>& aLosses);

/** Whether the task has so few losses that it cannot be given up for the next
 * one, unless that is a proof. */
bool HasFewLosses(const std::vector<WorkerLoss>& aLosses);

/** Whether no loss points to this task in particular yet. Such a suspect may
 * share its isolated run's worker with other suspects of this kind. */
bool CanBeIsolatedTogether(const std::vector<WorkerLoss>& aLosses);

/** Whether isolation lasts for the whole run and not only until a report
 * confirms the run. */
bool IsIsolatedForWholeRun(const std::vector<WorkerLoss>& aLosses);

/** Whether the next isolated run waits, for a limited time, until hardly any
 * other worker is being lost. */
bool NeedsQuietPeriod(const std::vector<WorkerLoss>& aLosses);

/** Whether one of the lost workers ran on the instance. */
bool HasLossOn(const std::vector<WorkerLoss>& aLosses,
               const InstanceId& aInstance);

/** Returns the number of distinct instances on which workers were lost. */
std::size_t CountInstances(const std::vector<WorkerLoss>& aLosses);

/** Whether a worker has crashed in one of the task's isolated runs with no
 * other explanation, so that one more such loss may make it a proven crasher.
 */
bool HasProof(const std::vector<WorkerLoss>& aLosses);

/** Whether the task must not be started again. Every replica fails its job when
 * it applies the last loss. */
bool IsProvenCrasher(const std::vector<WorkerLoss>& aLosses);

/** Whether the leader must fail the task's job in place of starting it again:
 * it has as many losses as the service allows, and mass losses alone hardly
 * explain them. */
bool IsLikelyCrasher(const std::vector<WorkerLoss>& aLosses);

/** Returns the delay between the end of the last run and the next isolated run.
 * It grows with each loss and is the same on all replicas. */
Duration RetryDelay(const TaskRef& aTask,
                    const std::vector<WorkerLoss>& aLosses);

/** Formats a task's name as "step 0 task 1", for the reason of a failed job. */
std::string NameOf(const TaskRef& aTask);

/** Formats losses as "step 0 task 1 crashed 2 workers: w1 (run 1), w2 (run 2)".
 */
std::string DescribeCrashes(const TaskRef& aTask,
                            const std::vector<WorkerLoss>& aLosses);

} // namespace bamboostile::jobs
