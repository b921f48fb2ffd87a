#include "bamboostile/control/job_service.h"

#include <nlohmann/json.hpp>

namespace bamboostile::control {

std::optional<std::string>
JobService::AdmissionJson()
{
  if (!EnsureLeading()) {
    return std::nullopt;
  }
  return nlohmann::json{ { "queues", nlohmann::json::array() } }.dump();
}

} // namespace bamboostile::control
