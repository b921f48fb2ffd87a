#pragma once

#include "bamboostile/jobs/calls.h"

#include "internal.capnp.h"

namespace bamboostile::wire {

void Write(const jobs::QueueCall& aCall, schema::QueueCall::Builder aTo);
/** Empty where the job's description is damaged. */
std::optional<jobs::QueueCall> Read(schema::QueueCall::Reader aFrom);

void Write(const jobs::QueueReply& aReply, schema::QueueReply::Builder aTo);
jobs::QueueReply Read(schema::QueueReply::Reader aFrom);

} // namespace bamboostile::wire
