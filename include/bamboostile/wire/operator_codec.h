#pragma once

#include "bamboostile/fleet/commands.h"

#include "operators.capnp.h"

#include <optional>
#include <string>

namespace bamboostile::wire {

struct CallError
{
  std::string m_field;
  std::string m_message;
};

/** Reads a call and checks what the schema cannot express: that ids are present
 * and well-formed. On failure aError names the field. */
std::optional<fleet::OperatorCall> Read(schema::OperatorCall::Reader aFrom,
                                        CallError& aError);
void Write(const fleet::CallReply& aReply, schema::CallReply::Builder aTo);

} // namespace bamboostile::wire
