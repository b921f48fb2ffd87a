#pragma once

#include "bamboostile/jobs/worker_life.h"
#include "bamboostile/telemetry/log.h"

#include <string>

namespace bamboostile::control {

/** Returns the beginning of a text that a worker sent: reports may hold texts
 * of any length. */
inline std::string
Excerpt(const std::string& aText)
{
  constexpr std::size_t kMaxBytes = 128;
  return aText.substr(0, kMaxBytes);
}

/** Returns a log line that names an incarnation of a worker. */
inline telemetry::LogLine
WorkerLogLine(telemetry::Level aLevel,
              const char* aEvent,
              const WorkerIncarnation& aWorker)
{
  telemetry::LogLine line(aLevel, aEvent);
  line.With("worker", Excerpt(aWorker.m_id.Get()))
    .With("startedAtMs", aWorker.m_startedAt.Get());
  return line;
}

} // namespace bamboostile::control
