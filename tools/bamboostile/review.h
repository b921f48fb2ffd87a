#pragma once

#include "operators.capnp.h"

#include <nlohmann/json.hpp>

#include <string>

namespace bamboostile::cli {

/** The difference between the current state and the result of one call. */
struct CallDiff
{
  /** Kind and id of the object, such as "service overdrafts". */
  std::string m_object;
  /** Current revision of the object, or 0 if it does not exist. */
  std::uint64_t m_revision = 0;
  /** The state already matches the call. */
  bool m_isApplied = false;
  /** One "name: old -> new" line for each field that differs. */
  std::vector<std::string> m_changes;
};

CallDiff DiffCall(schema::OperatorCall::Reader aCall,
                  const nlohmann::json& aStatus);

} // namespace bamboostile::cli
