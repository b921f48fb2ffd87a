#pragma once

#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::fleet {

/** Who made the last change of an object; named to the operator who lost a
 * race against it. */
struct Change
{
  Index m_revision;
  OperationId m_operation;
  std::string m_operator;
};

/** A set of instances that serve one service from one home. */
struct Pool
{
  PoolId m_id;
  ServiceId m_service;
  /** Free text that names the home, such as the provider. */
  std::string m_home;
  /** A draining pool gets no new work. */
  bool m_draining = false;
  Change m_change;
};

struct Service
{
  ServiceId m_id;
  /** Instances that may be out at once, in percent of the service's pools,
   * for whatever reason. */
  std::uint32_t m_maxUnavailablePercent = 20;
  /** A wave leaves room for the largest rack to fail as well. */
  bool m_surviveRack = false;
  std::uint32_t m_defaultTimeoutMs = 5000;
  /** Retries allowed in percent of first attempts. */
  std::uint32_t m_retryBudgetPercent = 10;
  /** Requests that may wait at one entry. */
  std::uint32_t m_queueLimit = 256;
  /** POST and PATCH may be run twice without harm. */
  bool m_postIsIdempotent = false;
  Change m_change;
};

enum class InstanceState
{
  kUp,
  kLeaving,
};

/** What an upstream says about itself. */
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
  /** Unset while no pool takes it; it then gets no work. */
  std::optional<PoolId> m_pool;
  /** Taken out of service by an operator. */
  bool m_cordoned = false;
  /** Taken out of service by this wave. */
  std::optional<WaveId> m_wave;
  /** Its announcements stopped. */
  bool m_lost = false;
  Change m_change;
  /** Larger than m_change's where an announcement was the last change. */
  Index m_modified;
};

/** Settings in force at every entry; one revision for all of them. */
struct Config
{
  /** Requests at one entry over all services. */
  std::uint32_t m_maxRequests = 4096;
  /** Upstreams that may be set aside for errors, in percent of a service. */
  std::uint32_t m_ejectionCeilingPercent = 30;
  /** Below this share of usable upstreams ejection is ignored. */
  std::uint32_t m_panicPercent = 50;
  /** Prefer upstreams of the entry's own zone. */
  bool m_sameZoneFirst = true;
  /** How long a recorded outcome can be fetched. */
  std::uint32_t m_outcomeKeepSeconds = 900;
  /** Answers up to this size are kept for callers that lost theirs. */
  std::uint32_t m_keptAnswerBytes = 65536;
  /** Free text for the operators' own bookkeeping. */
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
  /** The life that was released; a later one shows that it was rebooted. */
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
