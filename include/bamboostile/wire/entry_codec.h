#pragma once

#include "bamboostile/fleet/commands.h"

#include "internal.capnp.h"

namespace bamboostile::wire {

void Write(const fleet::Announcement& aFrom, schema::Announcement::Builder aTo);
fleet::Announcement Read(schema::Announcement::Reader aFrom);

void Write(const outcome::EntryId& aFrom, schema::EntryId::Builder aTo);
outcome::EntryId Read(schema::EntryId::Reader aFrom);

void Write(const outcome::Begin& aFrom, schema::Begin::Builder aTo);
outcome::Begin Read(schema::Begin::Reader aFrom);

void Write(const outcome::Resolve& aFrom, schema::Resolve::Builder aTo);
outcome::Resolve Read(schema::Resolve::Reader aFrom);

} // namespace bamboostile::wire
