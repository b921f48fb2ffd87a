#pragma once

#include "bamboostile/rpc/channel.h"

#include <functional>
#include <string>

namespace bamboostile::control {

/** RPC address of the leader; empty while none is known. */
using LeaderAddress = std::function<std::string()>;

enum class RelayKind
{
  /** Its instance has no disk: it never becomes a replica. */
  kWithoutDisk,
  /** Its disk refuses for now; it becomes a replica once it can be opened. */
  kAwaitsDisk,
};

/**
 * @brief The RPC face of a control process that keeps no log: it takes no part
 * in the group and names the leader to whoever asks.
 */
schema::Control::Client MakeRelayServer(RelayKind aKind, LeaderAddress aLeader);

} // namespace bamboostile::control
