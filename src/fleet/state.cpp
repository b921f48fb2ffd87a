#include "bamboostile/fleet/state.h"

#include "bamboostile/units/visit.h"

#include <algorithm>
#include <array>
#include <limits>

namespace bamboostile::fleet {

namespace {

/** Number of operations whose first reply is kept: enough for days of changes.
 * A call resent later is refused because its expected revision is outdated. */
constexpr std::size_t kMaxKeptReplies = 10'000;
constexpr std::size_t kMaxKeptRemovals = 2'000;
constexpr std::size_t kMaxFormerServices = 1'000;
constexpr std::uint32_t kMaxPercent = 100;

CallReply
Accept(Index aRevision)
{
  CallReply reply;
  reply.m_revision = aRevision;
  return reply;
}

CallReply
Refuse(Refusal aRefusal, std::string aMessage)
{
  CallReply reply;
  reply.m_refusal = aRefusal;
  reply.m_message = std::move(aMessage);
  return reply;
}

Change
ChangeOf(const OperatorCall& aCall, Index aIndex)
{
  return Change{ aIndex, aCall.m_operation, aCall.m_operator };
}

/** Returns a conflict if the object has changed since the operator read it. */
std::optional<CallReply>
CheckRevision(const OperatorCall& aCall, const Change* aCurrent)
{
  const Index current = aCurrent != nullptr ? aCurrent->m_revision : Index{};
  if (aCall.m_expected == current) {
    return std::nullopt;
  }
  CallReply reply =
    Refuse(Refusal::kConflict,
           "expected revision " + std::to_string(aCall.m_expected.Get()) +
             ", it is " + std::to_string(current.Get()));
  reply.m_revision = current;
  if (aCurrent != nullptr) {
    reply.m_winner = aCurrent->m_operation;
    reply.m_winnerOperator = aCurrent->m_operator;
  }
  return reply;
}

template<typename Map, typename Key>
auto*
FindIn(Map& aMap, const Key& aKey)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? nullptr : &found->second;
}

CallReply
NotFound(const char* aKind, const std::string& aId)
{
  return Refuse(Refusal::kNotFound,
                std::string{ aKind } + " '" + aId + "' does not exist");
}

CallReply
PercentInvalid(const char* aField, std::uint32_t aValue)
{
  return Refuse(Refusal::kInvalid,
                std::string{ aField } + ": " + std::to_string(aValue) +
                  " is not a percentage from 0 to 100");
}

/** Returns whether the id is a path that entries serve themselves; see
 * docs/INTERFACE.md. */
bool
IsReserved(const ServiceId& aId)
{
  constexpr std::array<const char*, 4> kReserved{
    "v1", "healthz", "readyz", "metrics"
  };
  return std::find(kReserved.begin(), kReserved.end(), aId.Get()) !=
         kReserved.end();
}

bool
IsWaveOpen(const Wave& aWave)
{
  return aWave.m_state != WaveState::kDone &&
         aWave.m_state != WaveState::kCancelled;
}

} // namespace

const char*
Describe(Refusal aRefusal) noexcept
{
  switch (aRefusal) {
    case Refusal::kNone:
      return "done";
    case Refusal::kConflict:
      return "conflict";
    case Refusal::kNotFound:
      return "not-found";
    case Refusal::kInvalid:
      return "invalid";
    case Refusal::kInUse:
      return "in-use";
  }
  return "refused";
}

Effect
State::Apply(Index aIndex, const Command& aCommand)
{
  m_applied = aIndex;
  return std::visit(
    Overloaded{
      [&](const OperatorCall& aCall) -> Effect {
        return Execute(aIndex, aCall);
      },
      [&](const AnnounceInstances& aAnnounce) -> Effect {
        for (const Announcement& announcement : aAnnounce.m_announcements) {
          Apply(aIndex, announcement);
        }
        return {};
      },
      [&](const outcome::Begin& aBegin) -> Effect {
        return m_outcomes.Apply(aIndex, aBegin);
      },
      [&](const outcome::Resolve& aResolve) -> Effect {
        m_outcomes.Apply(aIndex, aResolve);
        return {};
      },
      [&](const outcome::Expire& aExpire) -> Effect {
        m_outcomes.Apply(aIndex, aExpire);
        return {};
      },
      [&](const jobs::Batch& aBatch) -> Effect { return ApplyJobs(aBatch); },
      [&](const auto& aChange) -> Effect {
        Apply(aIndex, aChange);
        return {};
      },
    },
    aCommand);
}

const CallReply*
State::FindReply(const OperationId& aOperation) const
{
  return FindIn(m_replies, aOperation);
}

CallReply
State::Execute(Index aIndex, const OperatorCall& aCall)
{
  // A call that is resent after its reply was lost gets the first reply again,
  // even if that was a refusal. Each call takes effect at most once.
  if (const CallReply* first = FindReply(aCall.m_operation)) {
    return *first;
  }
  CallReply reply = std::visit(
    [&](const auto& aChange) { return Handle(aChange, aCall, aIndex); },
    aCall.m_call);
  StoreReply(aCall.m_operation, reply);
  return reply;
}

void
State::StoreReply(const OperationId& aOperation, const CallReply& aReply)
{
  m_replies[aOperation] = aReply;
  m_replyOrder.push_back(aOperation);
  while (m_replyOrder.size() > kMaxKeptReplies) {
    m_replies.erase(m_replyOrder.front());
    m_replyOrder.pop_front();
  }
}

// Operator calls.

CallReply
State::Handle(const PutPool& aPut, const OperatorCall& aCall, Index aIndex)
{
  Pool* pool = FindIn(m_pools, aPut.m_pool);
  if (auto conflict = CheckRevision(aCall, pool ? &pool->m_change : nullptr)) {
    return *conflict;
  }
  if (!m_services.contains(aPut.m_service)) {
    return Refuse(Refusal::kInvalid,
                  "service: '" + aPut.m_service.Get() + "' does not exist");
  }
  if (pool != nullptr && pool->m_service != aPut.m_service) {
    return Refuse(Refusal::kInvalid,
                  "service: a pool keeps its service; make another pool");
  }
  Pool& changed = m_pools[aPut.m_pool];
  changed.m_id = aPut.m_pool;
  changed.m_service = aPut.m_service;
  changed.m_home = aPut.m_home;
  changed.m_change = ChangeOf(aCall, aIndex);
  AdvanceViewRevision(aIndex);
  for (auto& [id, instance] : m_instances) {
    if (!instance.m_pool) {
      instance.m_pool = FindPoolFor(instance.m_announced);
      instance.m_modified = aIndex;
    }
  }
  return Accept(aIndex);
}

CallReply
State::Handle(const RemovePool& aRemove,
              const OperatorCall& aCall,
              Index aIndex)
{
  const Pool* pool = FindIn(m_pools, aRemove.m_pool);
  if (auto conflict = CheckRevision(aCall, pool ? &pool->m_change : nullptr)) {
    return *conflict;
  }
  if (pool == nullptr) {
    return NotFound("pool", aRemove.m_pool.Get());
  }
  const auto user = std::find_if(
    m_instances.begin(), m_instances.end(), [&](const auto& aEntry) {
      return aEntry.second.m_pool == aRemove.m_pool;
    });
  if (user != m_instances.end()) {
    return Refuse(Refusal::kInUse,
                  "pool: instance '" + user->first.Get() + "' is still in it");
  }
  m_pools.erase(aRemove.m_pool);
  RecordRemoval(aIndex, aRemove.m_pool);
  return Accept(aIndex);
}

CallReply
State::Handle(const DrainPool& aDrain, const OperatorCall& aCall, Index aIndex)
{
  Pool* pool = FindIn(m_pools, aDrain.m_pool);
  if (auto conflict = CheckRevision(aCall, pool ? &pool->m_change : nullptr)) {
    return *conflict;
  }
  if (pool == nullptr) {
    return NotFound("pool", aDrain.m_pool.Get());
  }
  pool->m_draining = aDrain.m_draining;
  pool->m_change = ChangeOf(aCall, aIndex);
  AdvanceViewRevision(aIndex);
  return Accept(aIndex);
}

CallReply
State::Handle(const PutService& aPut, const OperatorCall& aCall, Index aIndex)
{
  const Service* service = FindIn(m_services, aPut.m_service.m_id);
  const Change* current = service != nullptr ? &service->m_change : nullptr;
  if (auto conflict = CheckRevision(aCall, current)) {
    return *conflict;
  }
  if (IsReserved(aPut.m_service.m_id)) {
    return Refuse(Refusal::kInvalid,
                  "id: '" + aPut.m_service.m_id.Get() +
                    "' is a path of the entries themselves");
  }
  if (aPut.m_service.m_maxUnavailablePercent > kMaxPercent) {
    return PercentInvalid("maxUnavailablePercent",
                          aPut.m_service.m_maxUnavailablePercent);
  }
  if (aPut.m_service.m_retryBudgetPercent > kMaxPercent) {
    return PercentInvalid("retryBudgetPercent",
                          aPut.m_service.m_retryBudgetPercent);
  }
  if (aPut.m_service.m_defaultTimeoutMs == 0) {
    return Refuse(Refusal::kInvalid, "defaultTimeoutMs: 0 is not above 0");
  }
  Service& changed = m_services[aPut.m_service.m_id];
  changed = aPut.m_service;
  changed.m_change = ChangeOf(aCall, aIndex);
  AdvanceViewRevision(aIndex);
  return Accept(aIndex);
}

CallReply
State::Handle(const RemoveService& aRemove,
              const OperatorCall& aCall,
              Index aIndex)
{
  const Service* service = FindIn(m_services, aRemove.m_service);
  const Change* current = service != nullptr ? &service->m_change : nullptr;
  if (auto conflict = CheckRevision(aCall, current)) {
    return *conflict;
  }
  if (service == nullptr) {
    return NotFound("service", aRemove.m_service.Get());
  }
  const auto user =
    std::find_if(m_pools.begin(), m_pools.end(), [&](const auto& aEntry) {
      return aEntry.second.m_service == aRemove.m_service;
    });
  if (user != m_pools.end()) {
    return Refuse(Refusal::kInUse,
                  "service: pool '" + user->first.Get() + "' still serves it");
  }
  m_services.erase(aRemove.m_service);
  RecordRemoval(aIndex, aRemove.m_service);
  return Accept(aIndex);
}

CallReply
State::Handle(const MoveInstance& aMove,
              const OperatorCall& aCall,
              Index aIndex)
{
  Instance* instance = FindIn(m_instances, aMove.m_instance);
  const Change* current = instance != nullptr ? &instance->m_change : nullptr;
  if (auto conflict = CheckRevision(aCall, current)) {
    return *conflict;
  }
  if (instance == nullptr) {
    return NotFound("instance", aMove.m_instance.Get());
  }
  const Pool* target = FindIn(m_pools, aMove.m_pool);
  if (target == nullptr) {
    return NotFound("pool", aMove.m_pool.Get());
  }
  if (target->m_service != instance->m_announced.m_service) {
    return Refuse(Refusal::kInvalid,
                  "pool: '" + aMove.m_pool.Get() + "' serves '" +
                    target->m_service.Get() + "', the instance '" +
                    instance->m_announced.m_service.Get() + "'");
  }
  if (instance->m_wave) {
    return Refuse(Refusal::kInUse,
                  "instance: wave '" + instance->m_wave->Get() +
                    "' is working on it");
  }
  instance->m_pool = aMove.m_pool;
  instance->m_change = ChangeOf(aCall, aIndex);
  instance->m_modified = aIndex;
  AdvanceViewRevision(aIndex);
  return Accept(aIndex);
}

CallReply
State::Handle(const CordonInstance& aCordon,
              const OperatorCall& aCall,
              Index aIndex)
{
  Instance* instance = FindIn(m_instances, aCordon.m_instance);
  const Change* current = instance != nullptr ? &instance->m_change : nullptr;
  if (auto conflict = CheckRevision(aCall, current)) {
    return *conflict;
  }
  if (instance == nullptr) {
    return NotFound("instance", aCordon.m_instance.Get());
  }
  instance->m_cordoned = aCordon.m_cordoned;
  instance->m_change = ChangeOf(aCall, aIndex);
  instance->m_modified = aIndex;
  AdvanceViewRevision(aIndex);
  return Accept(aIndex);
}

CallReply
State::Handle(const RemoveInstance& aRemove,
              const OperatorCall& aCall,
              Index aIndex)
{
  const Instance* instance = FindIn(m_instances, aRemove.m_instance);
  const Change* current = instance != nullptr ? &instance->m_change : nullptr;
  if (auto conflict = CheckRevision(aCall, current)) {
    return *conflict;
  }
  if (instance == nullptr) {
    return NotFound("instance", aRemove.m_instance.Get());
  }
  const bool isRemovable = instance->m_lost || instance->m_announced.m_state ==
                                                 InstanceState::kLeaving;
  if (!isRemovable || instance->m_wave) {
    return Refuse(Refusal::kInUse,
                  "instance: it is neither lost nor leaving, or a wave works "
                  "on it");
  }
  m_instances.erase(aRemove.m_instance);
  RecordRemoval(aIndex, aRemove.m_instance);
  return Accept(aIndex);
}

CallReply
State::Handle(const SetConfig& aSet, const OperatorCall& aCall, Index aIndex)
{
  const bool isInitial = m_config.m_change.m_revision == Index{};
  if (auto conflict =
        CheckRevision(aCall, isInitial ? nullptr : &m_config.m_change)) {
    return *conflict;
  }
  const Config& desired = aSet.m_config;
  if (desired.m_ejectionCeilingPercent > kMaxPercent) {
    return PercentInvalid("ejectionCeilingPercent",
                          desired.m_ejectionCeilingPercent);
  }
  if (desired.m_panicPercent > kMaxPercent) {
    return PercentInvalid("panicPercent", desired.m_panicPercent);
  }
  if (desired.m_maxRequests == 0) {
    return Refuse(Refusal::kInvalid, "maxRequests: 0 is not above 0");
  }
  if (desired.m_outcomeKeepSeconds == 0) {
    return Refuse(Refusal::kInvalid, "outcomeKeepSeconds: 0 is not above 0");
  }
  m_config = desired;
  m_config.m_change = ChangeOf(aCall, aIndex);
  AdvanceViewRevision(aIndex);
  return Accept(aIndex);
}

CallReply
State::Handle(const CreateWave& aCreate,
              const OperatorCall& aCall,
              Index aIndex)
{
  const Wave* existing = FindIn(m_waves, aCreate.m_wave);
  const Change* current = existing != nullptr ? &existing->m_change : nullptr;
  if (auto conflict = CheckRevision(aCall, current)) {
    return *conflict;
  }
  if (existing != nullptr) {
    return Refuse(Refusal::kInUse, "wave: the name is taken");
  }
  if (!m_pools.contains(aCreate.m_pool)) {
    return NotFound("pool", aCreate.m_pool.Get());
  }
  for (const auto& [id, wave] : m_waves) {
    if (wave.m_pool == aCreate.m_pool && IsWaveOpen(wave)) {
      return Refuse(Refusal::kInUse,
                    "pool: wave '" + id.Get() + "' is open on it");
    }
  }
  Wave wave;
  wave.m_id = aCreate.m_wave;
  wave.m_pool = aCreate.m_pool;
  wave.m_change = ChangeOf(aCall, aIndex);
  for (const auto& [id, instance] : m_instances) {
    if (instance.m_pool == aCreate.m_pool) {
      wave.m_instances[id] = WaveInstance{};
    }
  }
  m_waves[aCreate.m_wave] = std::move(wave);
  return Accept(aIndex);
}

CallReply
State::Handle(const SetWaveState& aSet, const OperatorCall& aCall, Index aIndex)
{
  Wave* wave = FindIn(m_waves, aSet.m_wave);
  if (auto conflict = CheckRevision(aCall, wave ? &wave->m_change : nullptr)) {
    return *conflict;
  }
  if (wave == nullptr) {
    return NotFound("wave", aSet.m_wave.Get());
  }
  if (!IsWaveOpen(*wave)) {
    return Refuse(Refusal::kInvalid, "state: the wave has ended");
  }
  const bool allowed = aSet.m_state == WaveState::kRunning ||
                       aSet.m_state == WaveState::kPaused ||
                       aSet.m_state == WaveState::kCancelled;
  if (!allowed) {
    return Refuse(Refusal::kInvalid,
                  "state: operators set running, paused or cancelled");
  }
  wave->m_state = aSet.m_state;
  wave->m_reason.clear();
  wave->m_change = ChangeOf(aCall, aIndex);
  if (aSet.m_state == WaveState::kCancelled) {
    ReleaseFromWave(aIndex, *wave);
  }
  return Accept(aIndex);
}

// Changes that the system itself proposes.

std::optional<PoolId>
State::FindPoolFor(const Announcement& aAnnouncement) const
{
  if (aAnnouncement.m_pool) {
    const Pool* requested = FindIn(m_pools, *aAnnouncement.m_pool);
    const bool fits =
      requested != nullptr && requested->m_service == aAnnouncement.m_service;
    return fits ? aAnnouncement.m_pool : std::nullopt;
  }
  for (const auto& [id, pool] : m_pools) {
    if (pool.m_service == aAnnouncement.m_service) {
      return id;
    }
  }
  return std::nullopt;
}

void
State::Apply(Index aIndex, const Announcement& aAnnouncement)
{
  const auto [found, isNew] = m_instances.try_emplace(aAnnouncement.m_id);
  Instance& instance = found->second;
  const Announcement& known = instance.m_announced;
  if (!isNew) {
    // Reordered or repeated announcements, and those of an earlier
    // incarnation, would otherwise restore an outdated address or state.
    const bool sameIncarnation =
      aAnnouncement.m_incarnation == known.m_incarnation;
    const bool older =
      aAnnouncement.m_incarnation < known.m_incarnation ||
      (sameIncarnation && aAnnouncement.m_sequence < known.m_sequence);
    const bool repeated = sameIncarnation && !instance.m_lost &&
                          aAnnouncement.m_sequence == known.m_sequence;
    if (older || repeated) {
      return;
    }
  }
  const bool keepsService =
    !isNew && known.m_service == aAnnouncement.m_service && instance.m_pool;
  instance.m_announced = aAnnouncement;
  instance.m_lost = false;
  instance.m_modified = aIndex;
  // Only operators move an instance to another pool of its service; a later
  // announcement does not.
  if (!keepsService) {
    instance.m_pool = FindPoolFor(aAnnouncement);
  }
  AdvanceViewRevision(aIndex);
}

void
State::Apply(Index /*aIndex*/, const ReplaceRoutes& aReplace)
{
  if (aReplace.m_table.m_version > m_routes.m_version) {
    UpdateFormerServices(aReplace.m_table);
    SetRoutes(aReplace.m_table);
  }
}

bool
State::KnowsService(const ServiceId& aService) const
{
  return m_routes.HasService(aService) ||
         std::find(m_formerServices.begin(),
                   m_formerServices.end(),
                   aService) != m_formerServices.end();
}

void
State::UpdateFormerServices(const RouteTable& aNext)
{
  for (const ServicePolicy& service : m_routes.m_services) {
    m_formerServices.push_back(service.m_id);
  }
  std::erase_if(m_formerServices, [&](const ServiceId& aService) {
    return aNext.HasService(aService);
  });
  if (m_formerServices.size() > kMaxFormerServices) {
    m_formerServices.erase(m_formerServices.begin(),
                           m_formerServices.end() - kMaxFormerServices);
  }
}

void
State::SetRoutes(RouteTable aTable)
{
  m_routes = std::move(aTable);
  m_routeIndex = RouteIndex(m_routes);
  m_directory = m_routes.m_workspaces
                  ? workspaces::Directory(*m_routes.m_workspaces)
                  : workspaces::Directory{};
}

std::optional<WorkspaceId>
State::Authenticate(const QueueRoute& aRoute,
                    const workspaces::KeyDigest& aKey) const
{
  if (aRoute.m_isPublic || !m_routes.m_workspaces) {
    return WorkspaceId{};
  }
  return m_directory.Find(aKey);
}

void
State::Apply(Index /*aIndex*/, const MarkFormed& /*aMark*/)
{
  m_isFormed = true;
}

void
State::Apply(Index /*aIndex*/, const RaiseVersion& aRaise)
{
  m_version = std::max(m_version, aRaise.m_version);
  if (m_version >= kVersionWithCompactJobs) {
    m_jobs.ForgetDoneOccurrences();
  }
}

void
State::Apply(Index /*aIndex*/, const StartMaintenance& aStart)
{
  // A wave that is sent again after its acknowledgement was lost changes
  // nothing.
  m_maintenance.try_emplace(aStart.m_wave.m_number, aStart.m_wave);
}

void
State::Apply(Index /*aIndex*/, const AdvanceMaintenance& aAdvance)
{
  const auto wave = m_maintenance.find(aAdvance.m_wave);
  if (wave == m_maintenance.end()) {
    return;
  }
  const auto instance = wave->second.m_instances.find(aAdvance.m_instance);
  if (instance != wave->second.m_instances.end()) {
    instance->second = aAdvance.m_to;
  }
  if (aAdvance.m_to == MaintenanceStep::kOrdered) {
    m_recentOrders.insert(aAdvance.m_instance);
  }
}

void
State::Apply(Index /*aIndex*/, const RecordOrders& aRecord)
{
  for (const InstanceId& instance : aRecord.m_settled) {
    m_recentOrders.erase(instance);
  }
  m_recentOrders.insert(aRecord.m_ordered.begin(), aRecord.m_ordered.end());
}

jobs::BatchReply
State::ApplyJobs(const jobs::Batch& aBatch)
{
  return m_jobs.Apply(aBatch, [this](const QueueId& aQueue) {
    const auto route = m_routeIndex.Find(aQueue);
    // Jobs of a queue that has been removed no longer run, so they must not
    // fail either.
    return route ? m_routes.m_routes[*route].m_maxAttempts
                 : std::numeric_limits<std::uint32_t>::max();
  });
}

void
State::Apply(Index aIndex, const LoseInstances& aLoss)
{
  for (const InstanceId& id : aLoss.m_instances) {
    Instance* instance = FindIn(m_instances, id);
    if (instance != nullptr && !instance->m_lost) {
      instance->m_lost = true;
      instance->m_modified = aIndex;
      AdvanceViewRevision(aIndex);
    }
  }
}

void
State::Apply(Index aIndex, const AdvanceWave& aAdvance)
{
  Wave* wave = FindIn(m_waves, aAdvance.m_wave);
  Instance* instance = FindIn(m_instances, aAdvance.m_instance);
  if (wave == nullptr || instance == nullptr || !IsWaveOpen(*wave)) {
    return;
  }
  WaveInstance* step = FindIn(wave->m_instances, aAdvance.m_instance);
  // Two successive leaders may both propose a step. Only a proposal that
  // starts from the recorded step is applied, so no step is applied twice or
  // skipped.
  if (step == nullptr || step->m_step != aAdvance.m_from) {
    return;
  }
  step->m_step = aAdvance.m_to;
  const bool isOutOfService = aAdvance.m_to == WaveStep::kDraining ||
                              aAdvance.m_to == WaveStep::kReleased ||
                              aAdvance.m_to == WaveStep::kFailed;
  instance->m_wave =
    isOutOfService ? std::optional{ wave->m_id } : std::nullopt;
  if (aAdvance.m_to == WaveStep::kReleased) {
    step->m_releasedIncarnation = instance->m_announced.m_incarnation;
  }
  instance->m_modified = aIndex;
  AdvanceViewRevision(aIndex);
}

void
State::Apply(Index aIndex, const CloseWave& aClose)
{
  Wave* wave = FindIn(m_waves, aClose.m_wave);
  if (wave == nullptr || wave->m_state != WaveState::kRunning) {
    return;
  }
  wave->m_state = aClose.m_state;
  wave->m_reason = aClose.m_reason;
  if (!IsWaveOpen(*wave)) {
    ReleaseFromWave(aIndex, *wave);
  }
}

void
State::ReleaseFromWave(Index aIndex, const Wave& aWave)
{
  for (const auto& [id, step] : aWave.m_instances) {
    Instance* instance = FindIn(m_instances, id);
    if (instance != nullptr && instance->m_wave == aWave.m_id) {
      instance->m_wave.reset();
      instance->m_modified = aIndex;
      AdvanceViewRevision(aIndex);
    }
  }
}

// Views for entries.

void
State::RecordRemoval(Index aIndex,
                     std::variant<PoolId, ServiceId, InstanceId> aObject)
{
  m_removals.push_back(Removal{ aIndex, std::move(aObject) });
  while (m_removals.size() > kMaxKeptRemovals) {
    m_removalHorizon = m_removals.front().m_revision;
    m_removals.pop_front();
  }
  AdvanceViewRevision(aIndex);
}

View
State::ViewSince(Index aRevision) const
{
  View view;
  view.m_revision = m_viewRevision;
  view.m_full = aRevision == Index{} || aRevision < m_removalHorizon ||
                aRevision > m_viewRevision;
  const Index since = view.m_full ? Index{} : aRevision;
  for (const auto& [id, pool] : m_pools) {
    if (view.m_full || pool.m_change.m_revision > since) {
      view.m_pools.push_back(pool);
    }
  }
  for (const auto& [id, service] : m_services) {
    if (view.m_full || service.m_change.m_revision > since) {
      view.m_services.push_back(service);
    }
  }
  for (const auto& [id, instance] : m_instances) {
    if (view.m_full || instance.m_modified > since) {
      view.m_instances.push_back(instance);
    }
  }
  if (view.m_full || m_config.m_change.m_revision > since) {
    view.m_config = m_config;
  }
  if (!view.m_full) {
    for (const Removal& removal : m_removals) {
      if (removal.m_revision > since) {
        view.m_removals.push_back(removal);
      }
    }
  }
  return view;
}

} // namespace bamboostile::fleet
