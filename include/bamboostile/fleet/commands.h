#pragma once

#include "bamboostile/fleet/maintenance.h"
#include "bamboostile/fleet/model.h"
#include "bamboostile/fleet/routes.h"
#include "bamboostile/jobs/book.h"
#include "bamboostile/outcome/types.h"

#include <variant>

namespace bamboostile::fleet {

// ------------------------------------------------------ calls of operators

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

/** Forgets an instance that is lost or leaving. */
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

/** One change asked for by an operator. */
struct OperatorCall
{
  /** Sent again after a lost answer, the same id gets the first answer. */
  OperationId m_operation;
  std::string m_operator;
  /** The revision of the object as the operator saw it; zero for one that
   * does not exist yet. */
  Index m_expected;
  Call m_call;
};

// --------------------------------------------- changes the system proposes

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

/** The system itself brakes a wave, or finds that it is done. */
struct CloseWave
{
  WaveId m_wave;
  WaveState m_state = WaveState::kDone;
  std::string m_reason;
};

/** Takes effect only where its version is higher than the one in force. */
struct ReplaceRoutes
{
  RouteTable m_table;
};

/** The group has been as large as it was meant to be. */
struct MarkFormed
{};

/** Orders for instances go on record before the platform is asked, and off it
 * once they are too old to matter to a later leader. */
struct RecordOrders
{
  std::vector<InstanceId> m_ordered;
  std::vector<InstanceId> m_settled;
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
                             RecordOrders>;

// ------------------------------------------------------------------ answers

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
  /** The object's revision now. */
  Index m_revision;
  /** What was wrong, naming the field. */
  std::string m_message;
  /** After a lost race: the call that won it. */
  OperationId m_winner;
  std::string m_winnerOperator;
};

} // namespace bamboostile::fleet
