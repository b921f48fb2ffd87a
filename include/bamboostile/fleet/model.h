#pragma once

#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::fleet {

/** The last change of an object and who made it; reported to an operator whose
 * call conflicts with it. */
struct Change
{
  Index m_revision;
  OperationId m_operation;
  std::string m_operator;
};

/** A set of instances that serve one service from one location. */
struct Pool
{
  PoolId m_id;
  ServiceId m_service;
  /** Location as free text, such as the name of the provider. */
  std::string m_home;
  /** A draining pool gets no new work. */
  bool m_draining = false;
  Change m_change;
};

struct Service
{
  ServiceId m_id;
  /** Maximum share of instances that may be unavailable at once for any reason,
   * in percent of the service's pools. */
  std::uint32_t m_maxUnavailablePercent = 20;
  /** Waves leave enough capacity for the largest rack to fail as well. */
  bool m_surviveRack = false;
  std::uint32_t m_defaultTimeoutMs = 5000;
  /** Maximum number of retries, in percent of first attempts. */
  std::uint32_t m_retryBudgetPercent = 10;
  /** Maximum number of requests queued at one entry. */
  std::uint32_t m_queueLimit = 256;
  /** POST and PATCH are idempotent: they may safely run twice. */
  bool m_postIsIdempotent = false;
  Change m_change;
};

enum class InstanceState
{
  kUp,
  kLeaving,
};

/** An upstream's report of its identity, location, capacity and state. */
struct Announcement
{
  InstanceId m_id;
  Incarnation m_incarnation;
  /** Orders announcements within one incarnation. */
  std::uint64_t m_sequence = 0;
  ServiceId m_service;
  std::optional<PoolId> m_pool;
  ZoneId m_zone;
  RackId m_rack;
  std::string m_address;
  std::uint32_t m_slots = 1;
  std::uint32_t m_connections = 1;
  std::uint32_t m_cores = 0;
  std::uint32_t m_memoryMb = 0;
  std::uint32_t m_accelerators = 0;
  InstanceState m_state = InstanceState::kUp;
};

struct Instance
{
  Announcement m_announced;
  /** Unset while no pool accepts the instance; it gets no work then. */
  std::optional<PoolId> m_pool;
  /** Taken out of service by an operator. */
  bool m_cordoned = false;
  /** The wave that has taken the instance out of service. */
  std::optional<WaveId> m_wave;
  /** The instance has stopped sending announcements. */
  bool m_lost = false;
  Change m_change;
  /** Position of the last change; larger than m_change.m_revision if that was
   * an announcement. */
  Index m_modified;
};

/** Settings of all entries; they share one revision. */
struct Config
{
  /** Maximum number of requests at one entry, over all services. */
  std::uint32_t m_maxRequests = 4096;
  /** Maximum share of upstreams ejected for errors, in percent of a service. */
  std::uint32_t m_ejectionCeilingPercent = 30;
  /** Ejections are ignored below this percentage of usable upstreams. */
  std::uint32_t m_panicPercent = 50;
  /** Prefer upstreams of the entry's own zone. */
  bool m_sameZoneFirst = true;
  /** How long a recorded outcome stays available. */
  std::uint32_t m_outcomeKeepSeconds = 900;
  /** Answers up to this size are kept for callers that did not receive them. */
  std::uint32_t m_keptAnswerBytes = 65536;
  /** Free text for operators; the system does not use it. */
  std::string m_note;
  Change m_change;
};

enum class WaveState
{
  kCreated,
  kRunning,
  kPaused,
  kBraked,
  kDone,
  kCancelled,
};

enum class WaveStep
{
  kWaiting,
  kDraining,
  kReleased,
  kReturned,
  kFailed,
};

struct WaveInstance
{
  WaveStep m_step = WaveStep::kWaiting;
  /** The incarnation that was released; a later one shows that the instance was
   * rebooted. */
  Incarnation m_releasedIncarnation;
};

struct Wave
{
  WaveId m_id;
  PoolId m_pool;
  WaveState m_state = WaveState::kCreated;
  std::string m_reason;
  std::map<InstanceId, WaveInstance> m_instances;
  Change m_change;
};

} // namespace bamboostile::fleet
