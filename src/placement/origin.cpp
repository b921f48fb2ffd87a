#include "bamboostile/placement/origin.h"

namespace bamboostile::placement {

// A program of another fleet may run on an instance of this one, or report
// under the id of one of its workers. Taken for a worker, it would prove that
// the runs on the instance have ended, and they would run twice.
std::optional<IgnoreReason>
CheckOrigin(const WorkerReport& aReport,
            const fleet::State& aState,
            const Worker* aKnown)
{
  // Without routes there are no jobs, so nothing can run twice.
  if (aState.Routes().m_version == 0) {
    return std::nullopt;
  }
  if (!aState.KnowsService(aReport.m_service)) {
    return IgnoreReason::kUnknownService;
  }
  // An incarnation ends when its instance moves to another service. A lost one
  // may have been another program's under the same id.
  const bool isOther = aKnown != nullptr && !aKnown->m_isLost &&
                       aKnown->m_lastReport.m_service != aReport.m_service;
  return isOther ? std::optional{ IgnoreReason::kOtherService } : std::nullopt;
}

void
RemoveForeignEntries(ListedInstances& aList, const fleet::State& aState)
{
  if (aState.Routes().m_version == 0) {
    return;
  }
  aList.m_unnamedWorkerCount +=
    std::erase_if(aList.m_readable, [&](const ListedInstance& aEntry) {
      return !aState.KnowsService(aEntry.m_pool);
    });
}

} // namespace bamboostile::placement
