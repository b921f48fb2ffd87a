#pragma once

#include "bamboostile/jobs/worker_life.h"
#include "bamboostile/telemetry/log.h"

namespace bamboostile::control {

/** Returns a log line that names an incarnation of a worker. */
inline telemetry::LogLine
WorkerLogLine(telemetry::Level aLevel,
              const char* aEvent,
              const WorkerIncarnation& aWorker)
{
  telemetry::LogLine line(aLevel, aEvent);
  line.With("worker", aWorker.m_id.Get())
    .With("startedAtMs", aWorker.m_startedAt.Get());
  return line;
}

} // namespace bamboostile::control
