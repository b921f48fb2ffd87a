#pragma once

#include "bamboostile/fleet/routes.h"
#include "bamboostile/jobs/calls.h"

#include "internal.capnp.h"

namespace bamboostile::wire {

void Write(const jobs::QueueCall& aCall, schema::QueueCall::Builder aTo);
jobs::QueueCall Read(schema::QueueCall::Reader aFrom);

void Write(const jobs::QueueReply& aReply, schema::QueueReply::Builder aTo);
jobs::QueueReply Read(schema::QueueReply::Reader aFrom);

fleet::RouteTable Read(schema::QueueTable::Reader aFrom);
void Write(const fleet::RouteTable& aTable, schema::QueueTable::Builder aTo);

} // namespace bamboostile::wire
