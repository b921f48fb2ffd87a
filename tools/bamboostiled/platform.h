#pragma once

#include "bamboostile/fleet/model.h"
#include "bamboostile/http/client.h"

#include <map>
#include <mutex>
#include <string>

namespace bamboostile::daemon {

/** Asks the platform to restart instances, again and again while they have
 * not come back. The incarnation goes along, so that a request that arrives
 * late does not restart an instance that is back already. */
class Platform
{
public:
  explicit Platform(std::string aAddress);

  void Restart(const fleet::Instance& aInstance);

private:
  std::string m_address;
  std::map<InstanceId, TimePoint> m_askedAt;
  http::Client m_client;
};

} // namespace bamboostile::daemon
