#pragma once

#include "bamboostile/units/hash.h"
#include "bamboostile/units/strong.h"

#include <cstdint>
#include <string>

namespace bamboostile {

/** What a worker calls itself; it may start again under the same id. */
using WorkerId = Strong<struct WorkerIdTag, std::string>;
/** Time of day, in ms since 1970. It may jump: only for due times, records
 * and what must survive a restart, never for leases. */
using WallTime = Strong<struct WallTimeTag, std::int64_t>;

/**
 * @brief One life of a worker process, from its start to its end.
 *
 * Whatever a worker was given, or has said, belongs to the life and not to the
 * id: a process that starts again holds and knows nothing of before.
 */
struct WorkerLife
{
  WorkerId m_id;
  /** By the worker's own time of day; 0 where it does not say. It tells lives
   * of one id apart. Which of them is later does not follow from it alone, as
   * that clock may have been set back between them. */
  WallTime m_startedAt{};

  bool SaysStart() const { return m_startedAt != WallTime{}; }

  auto operator<=>(const WorkerLife&) const = default;
};

} // namespace bamboostile

template<>
struct std::hash<bamboostile::WorkerLife>
{
  std::size_t operator()(const bamboostile::WorkerLife& aLife) const
  {
    const auto startedAt = static_cast<std::uint64_t>(aLife.m_startedAt.Get());
    return bamboostile::StableHash{}.Add(aLife.m_id.Get()).Add(startedAt).Get();
  }
};
