#pragma once

#include "bamboostile/fleet/model.h"
#include "bamboostile/http/client.h"

#include <map>
#include <mutex>
#include <string>

namespace bamboostile::daemon {

/** Requests restarts of instances from the platform. The caller repeats a
 * request until the instance is back. Each request names the incarnation, so
 * that a late one does not restart an instance that is back already. */
class RestartClient
{
public:
  explicit RestartClient(std::string aAddress);

  void Restart(const fleet::Instance& aInstance);

private:
  std::string m_address;
  std::map<InstanceId, TimePoint> m_requestedAt;
  http::Client m_client;
};

} // namespace bamboostile::daemon
