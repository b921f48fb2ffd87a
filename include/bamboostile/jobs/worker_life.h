#pragma once

#include "bamboostile/units/hash.h"
#include "bamboostile/units/strong.h"

#include <cstdint>
#include <string>

namespace bamboostile {

/** Id that a worker reports; a restarted worker may reuse it. */
using WorkerId = Strong<struct WorkerIdTag, std::string>;
/** Wall-clock time in ms since 1970. It may jump, so it is used only for due
 * times, records and values that must survive a restart, never for leases. */
using WallTime = Strong<struct WallTimeTag, std::int64_t>;

/**
 * @brief One incarnation of a worker process, from its start to its end.
 *
 * Tasks assigned to a worker and reports from it belong to the incarnation and
 * not to the id: a restarted process keeps neither tasks nor state.
 */
struct WorkerIncarnation
{
  WorkerId m_id;
  /** Start time by the worker's own wall clock; 0 if not reported. It
   * distinguishes incarnations of one id but does not order them, since that
   * clock may have been set back between two starts. */
  WallTime m_startedAt{};

  bool HasStartTime() const { return m_startedAt != WallTime{}; }

  auto operator<=>(const WorkerIncarnation&) const = default;
};

} // namespace bamboostile

template<>
struct std::hash<bamboostile::WorkerIncarnation>
{
  std::size_t operator()(
    const bamboostile::WorkerIncarnation& aIncarnation) const
  {
    const auto startedAt =
      static_cast<std::uint64_t>(aIncarnation.m_startedAt.Get());
    return bamboostile::StableHash{}
      .Add(aIncarnation.m_id.Get())
      .Add(startedAt)
      .Get();
  }
};
