#pragma once

#include "bamboostile/consensus/types.h"

#include "internal.capnp.h"

#include <optional>
#include <string>
#include <string_view>

namespace bamboostile::wire {

void Write(const consensus::ReplicaId& aId, schema::ReplicaId::Builder aTo);
consensus::ReplicaId Read(schema::ReplicaId::Reader aFrom);

void Write(const consensus::Message& aMessage, schema::Message::Builder aTo);
consensus::Message Read(schema::Message::Reader aFrom);

/** Encodes one synced write to disk: a Persist without its ticket. */
std::string EncodeFrame(const consensus::Persist& aPersist);
/** Returns nullopt if the bytes are not a valid frame. */
std::optional<consensus::Persist> DecodeFrame(std::string_view aBytes);

} // namespace bamboostile::wire
