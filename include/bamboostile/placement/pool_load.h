#pragma once

#include "bamboostile/units/ids.h"

#include <cstdint>
#include <map>

namespace bamboostile::placement {

/** Work of the jobs of one priority that have tasks waiting for capacity: CPU
 * times expected duration of their waiting tasks and of those of later steps,
 * in thousandths of a core times ms. */
struct WaitingWork
{
  std::int64_t m_onTime = 0;
  /** Work of jobs that cannot be on time any more; placed after the others. */
  std::int64_t m_late = 0;
  /** Work of jobs beyond the share of their workspace; placed last. */
  std::int64_t m_beyondShare = 0;
};

/** What a placement pass left waiting in a pool, and the pool's capacity. CPU
 * is in thousandths of a core. Long-running tasks are left out: they never
 * free their capacity for others. */
struct PoolLoad
{
  /** By priority; 0 is the highest. */
  std::map<std::uint32_t, WaitingWork> m_waiting;
  /** CPU of the workers that take tasks, without that of long-running tasks. */
  std::int64_t m_cpu = 0;
  /** Whole free cores that new tasks may use, in all and on the worker with the
   * most. */
  std::int64_t m_freeCpu = 0;
  std::int64_t m_largestFreeCpu = 0;
  /** Work that the pass started, in the unit of WaitingWork. */
  std::int64_t m_startedWork = 0;
};

using PoolLoads = std::map<ServiceId, PoolLoad>;

} // namespace bamboostile::placement
