#pragma once

#include "bamboostile/consensus/membership_policy.h"
#include "bamboostile/consensus/replica.h"
#include "bamboostile/control/disk_thread.h"
#include "bamboostile/control/replica_monitor.h"
#include "bamboostile/control/snapshot_thread.h"
#include "bamboostile/control/transfer_thread.h"
#include "bamboostile/fleet/state.h"
#include "bamboostile/http/client_limits.h"
#include "bamboostile/membership/registry.h"
#include "bamboostile/rpc/channel.h"
#include "bamboostile/waves/planner.h"

#include <kj/async-io.h>

#include <functional>
#include <list>

namespace bamboostile::control {

struct NodeOptions
{
  std::string m_address;
  consensus::ReplicaOptions m_replica;
  membership::Options m_membership;
  /** A snapshot is due after this many entries, or bytes of commands. */
  std::uint64_t m_snapshotEvery = 2000;
  std::size_t m_snapshotEveryBytes = std::size_t{ 8 } * 1024 * 1024;
  Duration m_syncHold = Millis{ 500 };
  Duration m_inForceTimeout = Millis{ 4000 };
  /** Asks the platform to restart a released instance; called repeatedly until
   * the instance has returned. */
  std::function<void(const fleet::Instance&)> m_restart;
  /** RPC addresses of the replicas that form the group at its first start. A
   * replica that is in no membership asks them for admission. Empty if an
   * operator adds members manually. */
  std::vector<std::string> m_seeds;
  /** True if the whole system starts for the first time, on empty disks. */
  bool m_formGroup = false;
  /** Options for a group that forms from seeds. */
  consensus::MembershipPolicyOptions m_membershipPolicy;
};

/** The result of a proposed command. */
struct ProposalResult
{
  /** Set if the command is committed and applied. */
  std::optional<fleet::Effect> m_effect;
  Index m_index;
  consensus::Error m_error = consensus::Error::kNone;
};

/**
 * @brief A control replica: connects consensus, state and membership to a disk,
 * to its peers and to the clock.
 *
 * Runs on one KJ event loop. It makes no decisions itself.
 */
class Node final : private kj::TaskSet::ErrorHandler
{
public:
  Node(NodeOptions aOptions,
       storage::OpenResult aOpened,
       std::unique_ptr<storage::LogStore> aStore,
       kj::AsyncIoProvider& aProvider,
       std::function<void(const storage::Failure&)> aOnDiskFailure);

  kj::Promise<ProposalResult> Propose(const fleet::Command& aCommand);

  /** Returns whether this replica may answer for the group now. */
  bool IsServing() const;
  /** Returns whether commands wait for the group's disks, so that a further one
   * would wait too. */
  bool IsStalled() const;
  std::string LeaderAddress() const;
  kj::Promise<bool> WaitInForce(Index aRevision);
  /** Resolves once the view is newer than aRevision, or after the hold time. */
  kj::Promise<void> WaitViewChange(Index aRevision);
  kj::Promise<consensus::Error> AddMember(std::string aAddress);
  consensus::Error Admit(const consensus::Member& aMember);

  consensus::Replica& Replica() { return m_replica; }
  const fleet::State& State() const { return m_state; }
  membership::Registry& Registry() { return m_registry; }
  const NodeOptions& Options() const { return m_options; }
  void Deliver(const consensus::Message& aMessage, std::string aReplyTo);
  consensus::Error Bootstrap();
  consensus::Error RemoveMember(const InstanceId& aInstance);
  /** Called before the process stops: hands leadership over, if this replica
   * leads, and its vote, if another replica can have it. Resolves once both are
   * done, or after a timeout. */
  kj::Promise<void> Depart();
  std::string StatusJson() const;
  /** Adds the metrics of this replica and, on the leader, of the others. */
  void ExportMetrics(telemetry::Metrics& aMetrics) const;
  /** Sets the addresses at which this replica asks for admission if it needs
   * to. */
  void SetSeeds(std::vector<std::string> aSeeds)
  {
    m_options.m_seeds = std::move(aSeeds);
  }
  bool IsEmptyReplica() const;

private:
  struct Waiter
  {
    Term m_term;
    TimePoint m_since;
    kj::Own<kj::PromiseFulfiller<ProposalResult>> m_fulfiller;
  };

  struct InForceWaiter
  {
    Index m_revision;
    TimePoint m_deadline;
    kj::Own<kj::PromiseFulfiller<bool>> m_fulfiller;
  };

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> TickLoop();
  kj::Promise<void> DiskLoop();
  void UpdateDiskState(const std::optional<storage::Failure>& aFailure);
  kj::Promise<void> SnapshotLoop();
  kj::Promise<void> JoinLoop();
  kj::Promise<void> RequestAdmission(const std::string& aSeed);
  void RequestAdmissionFromSeeds();
  std::vector<std::string> SeedsWithLog() const;
  void FormGroup();
  void RemoveUnresponsiveVoter(TimePoint aNow);
  /** Records the version of the state that all members apply. */
  void RaiseStateVersion();
  bool IsSafelyFormed() const;
  void RecordFormation(TimePoint aNow);
  bool NeedsAdmission(TimePoint aNow);
  void Pump();
  void Run(consensus::Persist aPersist);
  void Run(consensus::Send aSend);
  void Run(const consensus::Apply& aApply);
  void Run(const consensus::Restore& aRestore);
  void Run(const consensus::Notice& aNotice);
  void UpdateRole();
  void FailWaiters();
  void WakeViewWaiters();
  void CheckInForce();
  void RunLeaderDuties(TimePoint aNow);
  void ExpireOutcomes(TimePoint aNow);
  void AdvanceWaves(TimePoint aNow);
  void ProposeDuty(const fleet::Command& aCommand);
  void MaybeCompact();
  /** Resolves once another leader is known, or after a timeout. */
  kj::Promise<void> HandOver();
  kj::Promise<void> AwaitReplacement(TimePoint aUntil);
  kj::Promise<void> AwaitLeader(TimePoint aUntil);
  std::optional<std::string> AddressOf(const consensus::ReplicaId& aId) const;

  NodeOptions m_options;
  kj::AsyncIoProvider& m_provider;
  kj::Timer& m_timer;
  std::function<void(const storage::Failure&)> m_onDiskFailure;
  consensus::Replica m_replica;
  fleet::State m_state;
  membership::Registry m_registry;
  rpc::Mailbox<DiskReport> m_reports;
  DiskThread m_disk;
  rpc::Mailbox<EncodedState> m_encoded;
  SnapshotThread m_snapshots;
  bool m_isEncoding = false;
  std::size_t m_bytesSinceSnapshot = 0;
  std::size_t m_snapshotBytes = 0;
  bool m_isDiskFailing = false;
  bool m_wasLeader = false;
  bool m_isPumping = false;
  std::size_t m_pendingDuties = 0;
  TimePoint m_nextDuties;
  struct IndexTime
  {
    Index m_index;
    TimePoint m_at;
  };
  /** Times at which log positions were applied; used to expire outcomes. */
  std::deque<IndexTime> m_indexTimes;
  consensus::MembershipPolicy m_policy;
  ReplicaMonitor m_monitor;
  PeerStatistics m_peerStatistics;
  PeerLinks m_links;
  TransferThread m_transfers;
  /** Seeds that have answered that they keep no log. */
  std::set<std::string> m_seedsWithoutLog;
  /** When this replica last led or knew a leader. */
  TimePoint m_lastLeaderAt;
  /** Reply addresses of senders that are not in this replica's membership. */
  std::map<consensus::ReplicaId, std::string> m_replyTo;
  std::map<Index, Waiter> m_waiters;
  std::list<InForceWaiter> m_inForceWaiters;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_viewWaiters;
  kj::TaskSet m_tasks;
};

class JobService;

/** Creates the RPC server of a node; aJobs may be null. */
schema::Control::Client MakeControlServer(Node& aNode, JobService* aJobs);

/** Accepts RPC connections until the promise is dropped. */
kj::Promise<void> Listen(schema::Control::Client aServer,
                         kj::AsyncIoProvider& aProvider,
                         const std::string& aAddress,
                         const http::ClientLimits& aLimits);

} // namespace bamboostile::control
