#pragma once

#include "bamboostile/jobs/model.h"

#include "jobs.capnp.h"

namespace bamboostile::jobs {

void Write(const JobSpec& aSpec, schema::JobSpec::Builder aTo);
JobSpec Read(schema::JobSpec::Reader aFrom);

} // namespace bamboostile::jobs
