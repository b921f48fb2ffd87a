#pragma once

#include "bamboostile/units/time.h"

namespace bamboostile::placement {

/** What a full leader leaves undone. Each level includes those before it. */
enum class Shedding
{
  kNothing,
  /** No new orders for instances; workers report half as often. */
  kInstances,
  /** Half as much time for passes of placing; workers report a quarter as
   * often. */
  kPlacing,
};

const char* Describe(Shedding aLevel) noexcept;

/**
 * @brief Decides what a leader leaves undone so that it goes on renewing leases
 * in time.
 *
 * Goes by how long reports wait for the event loop: all else that a leader does
 * can wait, a renewal that comes after a second ends what its worker runs.
 */
class LoadShedder
{
public:
  /** A report has waited so long for its turn. */
  void OnWaited(Duration aWaited, TimePoint aNow);
  Shedding Level(TimePoint aNow) const;

private:
  /** The longest wait of a span that began then. */
  struct Span
  {
    TimePoint m_since;
    Duration m_longest{};
  };

  void Roll(TimePoint aNow);

  Span m_current;
  Span m_before;
};

/** Workers report so many times less often. */
int ReportStretch(Shedding aLevel) noexcept;

} // namespace bamboostile::placement
