#pragma once

#include "bamboostile/units/strong.h"

#include <cstdint>
#include <string>

namespace bamboostile {

using InstanceId = Strong<struct InstanceIdTag, std::string>;
using ServiceId = Strong<struct ServiceIdTag, std::string>;
using PoolId = Strong<struct PoolIdTag, std::string>;
using WaveId = Strong<struct WaveIdTag, std::string>;
using ZoneId = Strong<struct ZoneIdTag, std::string>;
using RackId = Strong<struct RackIdTag, std::string>;
using RequestId = Strong<struct RequestIdTag, std::string>;
using OperationId = Strong<struct OperationIdTag, std::string>;

/** Identifies one incarnation of an instance; a new process or an empty data
 * directory gets a new one. For upstreams, a larger value is a later
 * incarnation; replicas only compare for equality. */
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;

/** Position in the replicated log; also the revision of the objects that the
 * entry there changed. */
using Index = Strong<struct IndexTag, std::uint64_t>;
using Term = Strong<struct TermTag, std::uint64_t>;

inline Index
Next(Index aIndex)
{
  return Index{ aIndex.Get() + 1 };
}

inline Index
Previous(Index aIndex)
{
  return Index{ aIndex.Get() - 1 };
}

} // namespace bamboostile
