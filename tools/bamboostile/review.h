#pragma once

#include "operators.capnp.h"

#include <nlohmann/json.hpp>

#include <string>

namespace bamboostile::cli {

/** How one call relates to the state as it is. */
struct Review
{
  /** Such as "service overdrafts". */
  std::string m_object;
  /** Zero where the object does not exist. */
  std::uint64_t m_revision = 0;
  /** The state is already as the call wants it. */
  bool m_holds = false;
  /** Field by field, "name: old -> new". */
  std::vector<std::string> m_changes;
};

Review ReviewCall(schema::OperatorCall::Reader aCall,
                  const nlohmann::json& aStatus);

} // namespace bamboostile::cli
