#include "bamboostile/control/job_service.h"

#include <nlohmann/json.hpp>

namespace bamboostile::control {

std::optional<std::string>
JobService::PoolsJson()
{
  if (!EnsureLeading()) {
    return std::nullopt;
  }
  return nlohmann::json{ { "pools", nlohmann::json::array() } }.dump();
}

} // namespace bamboostile::control
