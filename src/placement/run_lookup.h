#pragma once

#include "bamboostile/placement/workers.h"

#include <algorithm>

namespace bamboostile::placement {

/** Progress at which a long-running task is ready; other tasks are done at
 * this. */
constexpr std::uint32_t kReadyPercent = 100;

/** Whether a list of a report contains the run. */
template<typename Row>
bool
Contains(const std::vector<Row>& aRows,
         const jobs::TaskRef& aTask,
         RunNumber aRun)
{
  return std::any_of(aRows.begin(), aRows.end(), [&](const Row& aRow) {
    return aRow.m_task == aTask && aRow.m_run == aRun;
  });
}

inline const jobs::StepSpec&
StepOf(const jobs::Job& aJob, const jobs::TaskRef& aTask)
{
  return aJob.m_spec.m_steps[aTask.m_step];
}

/** Null if the job table has no such job or step, since reports may come from
 * programs other than this project's worker. */
inline const jobs::StepSpec*
FindStep(const jobs::JobTable& aBook, const jobs::TaskRef& aTask)
{
  const jobs::Job* job = aBook.Find(aTask.m_job);
  const bool isKnown =
    job != nullptr && aTask.m_step < job->m_spec.m_steps.size();
  return isKnown ? &job->m_spec.m_steps[aTask.m_step] : nullptr;
}

} // namespace bamboostile::placement
