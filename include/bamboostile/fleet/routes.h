#pragma once

#include "bamboostile/jobs/model.h"
#include "bamboostile/workspaces/model.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboostile::fleet {

/** Cost of a request for advice on a queue's steps, and how long the advice is
 * valid. */
struct AdvicePolicy
{
  Millis m_decision{};
  Millis m_perWorker{};
  Millis m_valid{};
};

/** A queue of jobs: the host and path at which callers reach it, and the
 * service that runs its tasks. */
struct QueueRoute
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix;
  ServiceId m_service;
  /** Timeout of one call to the queue. */
  Millis m_timeout{};
  /** A job is due after its longest chain of steps times m_stretch, plus this
   * time. */
  Millis m_objective{};
  double m_stretch = 1;
  /** 0 is the highest priority. */
  std::uint32_t m_priority = 0;
  /** Number of failures of one task after which its job fails. */
  std::uint32_t m_maxAttempts = 1;
  std::optional<AdvicePolicy> m_advice;
  /** Callers need no key. */
  bool m_isPublic = false;

  /** Independent of the route's other settings, so it is stable when they
   * change. */
  QueueId Queue() const { return QueueId{ m_host + m_pathPrefix }; }
};

/** Properties of a service's pool that placement uses. */
struct ServicePolicy
{
  ServiceId m_id;
  /** Workers refuse tasks that exceed their capacity. */
  bool m_enforcesCapacity = true;
  /** Its instances are powered off and may be moved to other pools. */
  bool m_standby = false;
};

/** Routes and services; replaced as a whole by a table of a higher version. */
struct RouteTable
{
  std::uint64_t m_version = 0;
  std::vector<QueueRoute> m_routes;
  std::vector<ServicePolicy> m_services;
  /** Unset in tables without workspaces: no call needs a key then. */
  std::optional<std::vector<workspaces::Workspace>> m_workspaces;
  /** The table as the operator sent it, returned when it is read. */
  std::string m_document;

  bool HasService(const ServiceId& aService) const;
  /** The pool whose instances are powered off; null if there is none. */
  const ServiceId* StandbyPool() const;
};

enum class RouteProblem
{
  kNone,
  kNoVersion,
  kUnknownService,
  kDuplicateRoute,
  kDuplicateService,
  kNoTimeout,
  kInvalidWorkspace,
};

const char* Describe(RouteProblem aProblem) noexcept;

/** Why a table is invalid, and the route, service or field that makes it so. */
struct RouteValidation
{
  RouteProblem m_problem = RouteProblem::kNone;
  std::string m_name;
  /** Set for kInvalidWorkspace only. */
  workspaces::WorkspaceProblem m_workspaceProblem =
    workspaces::WorkspaceProblem::kNone;

  bool IsValid() const { return m_problem == RouteProblem::kNone; }
  const char* Reason() const noexcept;
};

RouteValidation ValidateRoutes(const RouteTable& aTable);

/**
 * @brief Finds a route by host and longest path prefix.
 *
 * A lookup takes one hash per distinct prefix length of the host, rather than
 * one comparison per route.
 */
class RouteIndex
{
public:
  RouteIndex() = default;
  explicit RouteIndex(const RouteTable& aTable);

  /** Returns a position in the table's list of routes. */
  std::optional<std::size_t> Find(const std::string& aHost,
                                  std::string_view aPath) const;
  std::optional<std::size_t> Find(const QueueId& aQueue) const;

private:
  std::unordered_map<std::string, std::size_t> m_byHostAndPrefix;
  /** Distinct prefix lengths of each host, longest first. */
  std::unordered_map<std::string, std::vector<std::size_t>> m_prefixLengths;
};

} // namespace bamboostile::fleet
