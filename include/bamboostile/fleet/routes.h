#pragma once

#include "bamboostile/jobs/model.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboostile::fleet {

/** What a call for advice on a queue's steps costs, and how long it holds. */
struct AdvicePolicy
{
  Millis m_decision{};
  Millis m_perWorker{};
  Millis m_valid{};
};

/** A queue of jobs: where callers reach it, and who runs its tasks. */
struct QueueRoute
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix;
  ServiceId m_service;
  /** For one call of a caller. */
  Millis m_timeout{};
  /** Added to a job's stretched chain of work, this is when it should be
   * completed. */
  Millis m_objective{};
  double m_stretch = 1;
  /** 0 comes first. */
  std::uint32_t m_priority = 0;
  /** Failures of one task after which its job has failed. */
  std::uint32_t m_maxAttempts = 1;
  std::optional<AdvicePolicy> m_advice;

  /** Stays the same when the route's settings change. */
  QueueId Queue() const { return QueueId{ m_host + m_pathPrefix }; }
};

/** The pool of instances of a service, as far as placing needs to know. */
struct ServicePolicy
{
  ServiceId m_id;
  /** Workers refuse what does not fit. */
  bool m_enforcesCapacity = true;
  /** Its instances are off, and free to be moved where they are needed. */
  bool m_standby = false;
};

/** Routes and services in force; replaced as a whole, by version. */
struct RouteTable
{
  std::uint64_t m_version = 0;
  std::vector<QueueRoute> m_routes;
  std::vector<ServicePolicy> m_services;
  /** As the operator sent it, for reading it back. */
  std::string m_document;

  /** The pool whose instances are off; null where there is none. */
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
};

const char* Describe(RouteProblem aProblem) noexcept;

/** What makes a table invalid, and which route or service shows it. */
struct RouteFinding
{
  RouteProblem m_problem = RouteProblem::kNone;
  std::string m_name;
};

RouteFinding Check(const RouteTable& aTable);

/**
 * @brief Finds a route by host and longest path prefix.
 *
 * A lookup costs one hash for each distinct prefix length of the host, not one
 * comparison for each route.
 */
class RouteIndex
{
public:
  RouteIndex() = default;
  explicit RouteIndex(const RouteTable& aTable);

  /** Positions in the table's list of routes. */
  std::optional<std::size_t> Find(const std::string& aHost,
                                  std::string_view aPath) const;
  std::optional<std::size_t> Find(const QueueId& aQueue) const;

private:
  std::unordered_map<std::string, std::size_t> m_byPlace;
  /** Longest first. */
  std::unordered_map<std::string, std::vector<std::size_t>> m_lengths;
};

} // namespace bamboostile::fleet
