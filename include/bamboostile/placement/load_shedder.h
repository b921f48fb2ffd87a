#pragma once

#include "bamboostile/units/time.h"

namespace bamboostile::placement {

/** What an overloaded leader skips. Each level includes those before it. */
enum class SheddingLevel
{
  kNone,
  /** No new orders for instances, and workers report half as often. */
  kInstances,
  /** Placement passes get half as much time, and workers report a quarter as
   * often. */
  kPlacement,
};

const char* Describe(SheddingLevel aLevel) noexcept;

/**
 * @brief Decides what an overloaded leader skips so that it keeps renewing
 * leases in time.
 *
 * The measure is how long reports wait for the event loop. Everything else
 * that a leader does can wait, but a renewal that is a second late ends what
 * its worker runs.
 */
class LoadShedder
{
public:
  /** Records how long a report has waited for the event loop. */
  void RecordWait(Duration aWaited, TimePoint aNow);
  SheddingLevel Level(TimePoint aNow) const;

private:
  /** The longest wait in a window that began at m_since. */
  struct Window
  {
    TimePoint m_since;
    Duration m_maxWait{};
  };

  void AdvanceWindow(TimePoint aNow);

  Window m_current;
  Window m_previous;
};

/** Factor by which the report intervals of workers grow. */
int ReportIntervalFactor(SheddingLevel aLevel) noexcept;

} // namespace bamboostile::placement
