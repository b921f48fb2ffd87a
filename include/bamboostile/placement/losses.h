#pragma once

#include "bamboostile/jobs/model.h"

#include <vector>

namespace bamboostile::placement {

/** What shows that a worker is lost. */
enum class LossCause
{
  /** A later life of its instance reports. */
  kLaterLife,
  /** Its lease ended without a report. */
  kLeaseEnded,
  /** An earlier leader placed runs there; this one has never heard of it. */
  kNeverHeard,
};

const char* Describe(LossCause aCause) noexcept;

/** A worker that was lost with runs on it, for no reason the leader knows. */
struct LostWorker
{
  WorkerLife m_worker;
  /** Empty where the worker was never heard. */
  InstanceId m_instance;
  LossCause m_cause = LossCause::kLeaseEnded;
  /** Since its last report. */
  Duration m_silentFor{};
  std::size_t m_runs = 0;
  /** Of the runs: sent to the worker, and shown by no report. */
  std::size_t m_starting = 0;
  /** Other workers that fell silent at about the same moment, with no suspect
   * on trial there. */
  std::size_t m_lostBeside = 0;
};

/** Workers that went silent within this of each other may share a cause: even
 * an idle one reports more often. */
constexpr Duration kLostTogether = Millis{ 1000 };

/**
 * @brief When workers that are forgotten by now fell silent.
 *
 * Losses at the same moment may have one cause: a rack, a zone, a link.
 */
class RecentLosses
{
public:
  void Add(TimePoint aHeardAt);
  /** Those within kLostTogether of a moment. */
  std::size_t CountAround(TimePoint aMoment) const;

private:
  std::vector<TimePoint> m_heardAt;
};

} // namespace bamboostile::placement
