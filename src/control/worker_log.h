#pragma once

#include "bamboostile/jobs/worker_life.h"
#include "bamboostile/telemetry/log.h"

namespace bamboostile::control {

/** A line that names a life of a worker. */
inline telemetry::LogLine
LineOf(telemetry::Level aLevel, const char* aEvent, const WorkerLife& aWorker)
{
  telemetry::LogLine line(aLevel, aEvent);
  line.With("worker", aWorker.m_id.Get())
    .With("startedAtMs", aWorker.m_startedAt.Get());
  return line;
}

} // namespace bamboostile::control
