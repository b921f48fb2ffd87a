#pragma once

#include "bamboostile/fleet/maintenance.h"
#include "bamboostile/fleet/model.h"
#include "bamboostile/fleet/routes.h"
#include "bamboostile/jobs/book.h"
#include "bamboostile/outcome/types.h"

#include <variant>

namespace bamboostile::fleet {

// Operator calls: changes that an operator requests.

struct PutPool
{
  PoolId m_pool;
  ServiceId m_service;
  std::string m_home;
};

struct RemovePool
{
  PoolId m_pool;
};

struct DrainPool
{
  PoolId m_pool;
  bool m_draining = true;
};

struct PutService
{
  Service m_service;
};

struct RemoveService
{
  ServiceId m_service;
};

struct MoveInstance
{
  InstanceId m_instance;
  PoolId m_pool;
};

struct CordonInstance
{
  InstanceId m_instance;
  bool m_cordoned = true;
};

/** Removes an instance that is lost or leaving. */
struct RemoveInstance
{
  InstanceId m_instance;
};

struct SetConfig
{
  Config m_config;
};

struct CreateWave
{
  WaveId m_wave;
  PoolId m_pool;
};

struct SetWaveState
{
  WaveId m_wave;
  WaveState m_state = WaveState::kRunning;
};

using Call = std::variant<PutPool,
                          RemovePool,
                          DrainPool,
                          PutService,
                          RemoveService,
                          MoveInstance,
                          CordonInstance,
                          RemoveInstance,
                          SetConfig,
                          CreateWave,
                          SetWaveState>;

/** A change requested by an operator. */
struct OperatorCall
{
  /** Idempotency key: a call resent with the same id gets the first reply. */
  OperationId m_operation;
  std::string m_operator;
  /** Revision of the object as last read by the operator; zero if the object
   * does not exist yet. */
  Index m_expected;
  Call m_call;
};

// Changes that the system itself proposes.

struct AnnounceInstances
{
  std::vector<Announcement> m_announcements;
};

struct LoseInstances
{
  std::vector<InstanceId> m_instances;
};

struct AdvanceWave
{
  WaveId m_wave;
  InstanceId m_instance;
  WaveStep m_from = WaveStep::kWaiting;
  WaveStep m_to = WaveStep::kWaiting;
};

/** Brakes a wave, or marks it as done. */
struct CloseWave
{
  WaveId m_wave;
  WaveState m_state = WaveState::kDone;
  std::string m_reason;
};

/** Ignored unless its version is higher than that of the current table. */
struct ReplaceRoutes
{
  RouteTable m_table;
};

/** Records that the replica group has reached its intended size once. */
struct MarkFormed
{};

/** Records orders for instances before they are sent to the platform, and
 * removes them once they are too old to matter to a later leader. */
struct RecordOrders
{
  std::vector<InstanceId> m_ordered;
  std::vector<InstanceId> m_settled;
};

/** Version of the replicated state that this build applies. A change that
 * earlier builds do not know may be proposed once State::Version() shows that
 * every member of the group applies it. */
constexpr std::uint32_t kStateVersion = 3;
/** From this version on, losses of workers can be retracted. */
constexpr std::uint32_t kVersionWithRetractions = 1;
/** From this version on, done occurrences are not kept, and snapshots have a
 * count in place of the states of tasks that do not differ. */
constexpr std::uint32_t kVersionWithCompactJobs = 2;
/** From this version on, large commands are deflated. */
constexpr std::uint32_t kVersionWithDeflatedCommands = 3;

/** Records that all members of the group apply this version of the state.
 * Never lowers it. */
struct RaiseVersion
{
  std::uint32_t m_version = 0;
};

using Command = std::variant<OperatorCall,
                             AnnounceInstances,
                             LoseInstances,
                             outcome::Begin,
                             outcome::Resolve,
                             outcome::Expire,
                             AdvanceWave,
                             CloseWave,
                             ReplaceRoutes,
                             StartMaintenance,
                             AdvanceMaintenance,
                             jobs::Batch,
                             MarkFormed,
                             RecordOrders,
                             RaiseVersion>;

// Replies to operator calls.

enum class Refusal
{
  kNone,
  kConflict,
  kNotFound,
  kInvalid,
  kInUse,
};

const char* Describe(Refusal aRefusal) noexcept;

struct CallReply
{
  Refusal m_refusal = Refusal::kNone;
  /** Current revision of the object. */
  Index m_revision;
  /** Why the call was refused; names the field. */
  std::string m_message;
  /** After a conflict: the operation that made the current revision. */
  OperationId m_winner;
  std::string m_winnerOperator;
};

} // namespace bamboostile::fleet
