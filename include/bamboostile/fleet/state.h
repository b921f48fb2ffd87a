#pragma once

#include "bamboostile/fleet/commands.h"
#include "bamboostile/outcome/ledger.h"
#include "bamboostile/workspaces/directory.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace bamboostile::fleet {

/** The removal of an object that entries knew. */
struct Removal
{
  Index m_revision;
  std::variant<PoolId, ServiceId, InstanceId> m_object;
};

/** State that an entry needs for routing: all of it, or the changes since a
 * revision. */
struct View
{
  /** Log position up to which this view is complete. */
  Index m_revision;
  /** The view has the whole state and replaces the receiver's earlier one. */
  bool m_full = false;
  std::vector<Pool> m_pools;
  std::vector<Service> m_services;
  std::vector<Instance> m_instances;
  std::optional<Config> m_config;
  std::vector<Removal> m_removals;
};

/** Result of applying one command; the alternative depends on its kind. */
using Effect = std::
  variant<std::monostate, CallReply, outcome::BeginReply, jobs::BatchReply>;

/**
 * @brief The replicated state: pools, services, instances, configuration,
 * waves, and the outcomes of requests.
 *
 * A deterministic state machine over the log. Replicas that applied the same
 * commands are equal, regardless of their clocks.
 */
class State
{
public:
  Effect Apply(Index aIndex, const Command& aCommand);

  Index Applied() const { return m_applied; }
  /** Log position of the last change that entries need. */
  Index ViewRevision() const { return m_viewRevision; }
  View ViewSince(Index aRevision) const;

  const std::map<PoolId, Pool>& Pools() const { return m_pools; }
  const std::map<ServiceId, Service>& Services() const { return m_services; }
  const std::map<InstanceId, Instance>& Instances() const
  {
    return m_instances;
  }
  const std::map<WaveId, Wave>& Waves() const { return m_waves; }
  const Config& CurrentConfig() const { return m_config; }
  const outcome::Ledger& Outcomes() const { return m_outcomes; }
  const jobs::JobTable& Jobs() const { return m_jobs; }
  bool IsFormed() const { return m_isFormed; }
  /** The version that all members of the group apply; see kStateVersion. */
  std::uint32_t Version() const { return m_version; }
  const RouteTable& Routes() const { return m_routes; }
  const RouteIndex& RouteLookup() const { return m_routeIndex; }
  /** Whether the route table in force or an earlier one has the service. The
   * workers of a service that was removed may still run tasks. */
  bool KnowsService(const ServiceId& aService) const;
  /** Returns the workspace on whose behalf a call with this key to the route
   * is made, empty if the route needs no key. Unset if the call is not
   * allowed. */
  std::optional<WorkspaceId> Authenticate(
    const QueueRoute& aRoute,
    const workspaces::KeyDigest& aKey) const;
  const workspaces::Directory& Workspaces() const { return m_directory; }
  const std::map<std::uint64_t, MaintenanceWave>& Maintenance() const
  {
    return m_maintenance;
  }
  /** Instances for which an order to move or maintain them may have been sent
   * to the platform within the last seconds. */
  const std::set<InstanceId>& RecentOrders() const { return m_recentOrders; }

  /** Returns the first reply to an operation, or null if none is kept. */
  const CallReply* FindReply(const OperationId& aOperation) const;

  std::string Encode() const;
  /** Returns nullopt if the bytes are damaged; does not throw. */
  static std::optional<State> Decode(const std::string& aBytes);

private:
  friend struct StateCodec;

  CallReply Execute(Index aIndex, const OperatorCall& aCall);
  void StoreReply(const OperationId& aOperation, const CallReply& aReply);

  CallReply Handle(const PutPool&, const OperatorCall&, Index);
  CallReply Handle(const RemovePool&, const OperatorCall&, Index);
  CallReply Handle(const DrainPool&, const OperatorCall&, Index);
  CallReply Handle(const PutService&, const OperatorCall&, Index);
  CallReply Handle(const RemoveService&, const OperatorCall&, Index);
  CallReply Handle(const MoveInstance&, const OperatorCall&, Index);
  CallReply Handle(const CordonInstance&, const OperatorCall&, Index);
  CallReply Handle(const RemoveInstance&, const OperatorCall&, Index);
  CallReply Handle(const SetConfig&, const OperatorCall&, Index);
  CallReply Handle(const CreateWave&, const OperatorCall&, Index);
  CallReply Handle(const SetWaveState&, const OperatorCall&, Index);

  void Apply(Index aIndex, const Announcement& aAnnouncement);
  void Apply(Index aIndex, const LoseInstances& aLoss);
  void Apply(Index aIndex, const AdvanceWave& aAdvance);
  void Apply(Index aIndex, const CloseWave& aClose);
  void Apply(Index aIndex, const ReplaceRoutes& aReplace);
  void Apply(Index aIndex, const MarkFormed& aMark);
  void Apply(Index aIndex, const RaiseVersion& aRaise);
  void Apply(Index aIndex, const StartMaintenance& aStart);
  void Apply(Index aIndex, const AdvanceMaintenance& aAdvance);
  void Apply(Index aIndex, const RecordOrders& aRecord);
  jobs::BatchReply ApplyJobs(const jobs::Batch& aBatch);
  void ReleaseFromWave(Index aIndex, const Wave& aWave);
  std::optional<PoolId> FindPoolFor(const Announcement& aAnnouncement) const;
  void SetRoutes(RouteTable aTable);
  /** Records the services that the next table removes, and forgets those that
   * it adds again. */
  void UpdateFormerServices(const RouteTable& aNext);
  void AdvanceViewRevision(Index aIndex) { m_viewRevision = aIndex; }
  void RecordRemoval(Index aIndex,
                     std::variant<PoolId, ServiceId, InstanceId> aObject);

  Index m_applied;
  Index m_viewRevision;
  /** Removals at or before this position have been discarded; an entry that is
   * further behind gets a full view. */
  Index m_removalHorizon;
  std::map<PoolId, Pool> m_pools;
  std::map<ServiceId, Service> m_services;
  std::map<InstanceId, Instance> m_instances;
  std::map<WaveId, Wave> m_waves;
  Config m_config;
  std::deque<Removal> m_removals;
  std::unordered_map<OperationId, CallReply> m_replies;
  std::deque<OperationId> m_replyOrder;
  outcome::Ledger m_outcomes;
  bool m_isFormed = false;
  std::uint32_t m_version = 0;
  jobs::JobTable m_jobs;
  RouteTable m_routes;
  /** Derived from m_routes. */
  RouteIndex m_routeIndex;
  /** Services of earlier route tables, those removed last at the end. */
  std::vector<ServiceId> m_formerServices;
  workspaces::Directory m_directory;
  std::map<std::uint64_t, MaintenanceWave> m_maintenance;
  std::set<InstanceId> m_recentOrders;
};

/** aVersion: the version of the state that all members of the group apply. */
std::string EncodeCommand(const Command& aCommand, std::uint32_t aVersion);
std::optional<Command> DecodeCommand(const std::string& aBytes);
std::string EncodeView(const View& aView);
std::optional<View> DecodeView(const std::string& aBytes);
std::string EncodeRecord(const outcome::Record& aRecord);
std::optional<outcome::Record> DecodeRecord(const std::string& aBytes);

} // namespace bamboostile::fleet
