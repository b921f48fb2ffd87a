#include "bamboostile/fleet/routes.h"

#include <algorithm>
#include <unordered_set>

namespace bamboostile::fleet {

const char*
Describe(RouteProblem aProblem) noexcept
{
  switch (aProblem) {
    case RouteProblem::kNone:
      return "none";
    case RouteProblem::kNoVersion:
      return "version must be 1 or more";
    case RouteProblem::kUnknownService:
      return "the route names a service that is not in the table";
    case RouteProblem::kDuplicateRoute:
      return "two routes share one host and path prefix";
    case RouteProblem::kDuplicateService:
      return "two services share one name";
    case RouteProblem::kNoTimeout:
      return "the timeout must be more than 0 ms";
    case RouteProblem::kInvalidWorkspace:
      return "a workspace is invalid";
  }
  return "unknown";
}

const char*
RouteValidation::Reason() const noexcept
{
  return m_problem == RouteProblem::kInvalidWorkspace
           ? workspaces::Describe(m_workspaceProblem)
           : Describe(m_problem);
}

bool
RouteTable::HasService(const ServiceId& aService) const
{
  return std::any_of(
    m_services.begin(), m_services.end(), [&](const auto& aConfigured) {
      return aConfigured.m_id == aService;
    });
}

const ServiceId*
RouteTable::StandbyPool() const
{
  const auto found =
    std::find_if(m_services.begin(),
                 m_services.end(),
                 [](const auto& aService) { return aService.m_standby; });
  return found == m_services.end() ? nullptr : &found->m_id;
}

RouteValidation
ValidateRoutes(const RouteTable& aTable)
{
  if (aTable.m_version == 0) {
    return { RouteProblem::kNoVersion, "", {} };
  }
  std::unordered_set<std::string> services;
  for (const ServicePolicy& service : aTable.m_services) {
    if (!services.insert(service.m_id.Get()).second) {
      return { RouteProblem::kDuplicateService, service.m_id.Get(), {} };
    }
  }
  std::unordered_set<std::string> queues;
  for (const QueueRoute& route : aTable.m_routes) {
    if (!services.contains(route.m_service.Get())) {
      return { RouteProblem::kUnknownService, route.m_name, {} };
    }
    if (!queues.insert(route.Queue().Get()).second) {
      return { RouteProblem::kDuplicateRoute, route.m_name, {} };
    }
    if (route.m_timeout <= Millis::zero()) {
      return { RouteProblem::kNoTimeout, route.m_name, {} };
    }
  }
  if (aTable.m_workspaces) {
    const auto finding = workspaces::Validate(*aTable.m_workspaces);
    if (finding.m_problem != workspaces::WorkspaceProblem::kNone) {
      return { RouteProblem::kInvalidWorkspace,
               finding.m_field,
               finding.m_problem };
    }
  }
  return {};
}

RouteIndex::RouteIndex(const RouteTable& aTable)
{
  for (std::size_t i = 0; i < aTable.m_routes.size(); ++i) {
    const QueueRoute& route = aTable.m_routes[i];
    m_byHostAndPrefix.emplace(route.Queue().Get(), i);
    m_prefixLengths[route.m_host].push_back(route.m_pathPrefix.size());
  }
  for (auto& [host, lengths] : m_prefixLengths) {
    std::sort(lengths.rbegin(), lengths.rend());
    lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
  }
}

std::optional<std::size_t>
RouteIndex::Find(const std::string& aHost, std::string_view aPath) const
{
  const auto lengths = m_prefixLengths.find(aHost);
  if (lengths == m_prefixLengths.end()) {
    return std::nullopt;
  }
  for (const std::size_t length : lengths->second) {
    if (length > aPath.size()) {
      continue;
    }
    std::string hostAndPrefix = aHost;
    hostAndPrefix.append(aPath.substr(0, length));
    const auto found = m_byHostAndPrefix.find(hostAndPrefix);
    if (found != m_byHostAndPrefix.end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
RouteIndex::Find(const QueueId& aQueue) const
{
  const auto found = m_byHostAndPrefix.find(aQueue.Get());
  return found == m_byHostAndPrefix.end() ? std::nullopt
                                          : std::optional{ found->second };
}

} // namespace bamboostile::fleet
