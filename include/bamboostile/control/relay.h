#pragma once

#include "bamboostile/rpc/channel.h"

#include <functional>
#include <string>

namespace bamboostile::control {

/** Returns the leader's RPC address; empty if no leader is known. */
using LeaderAddress = std::function<std::string()>;

enum class RelayKind
{
  /** The instance has no disk, so the process never becomes a replica. */
  kWithoutDisk,
  /** The disk cannot be opened at present; the process becomes a replica once
   * it can. */
  kAwaitsDisk,
};

/**
 * @brief Creates the RPC server of a control process that keeps no log. It
 * takes no part in the group and tells its callers the leader's address.
 */
schema::Control::Client MakeRelayServer(RelayKind aKind, LeaderAddress aLeader);

} // namespace bamboostile::control
