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

/** Checks what the schema cannot: ids present and of a sound form. On failure
 * aError names the field. */
std::optional<fleet::OperatorCall> Read(schema::OperatorCall::Reader aFrom,
                                        CallError& aError);
void Write(const fleet::CallReply& aReply, schema::CallReply::Builder aTo);

} // namespace bamboostile::wire
