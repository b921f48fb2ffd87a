#pragma once

#include "bamboostile/consensus/membership_policy.h"
#include "bamboostile/consensus/replica.h"
#include "bamboostile/control/disk_thread.h"
#include "bamboostile/control/snapshot_thread.h"
#include "bamboostile/fleet/state.h"
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
  std::uint64_t m_snapshotEvery = 2000;
  Duration m_syncHold = Millis{ 500 };
  Duration m_inForcePatience = Millis{ 4000 };
  /** Asks the platform to restart a released instance; asked again while it
   * has not come back. */
  std::function<void(const fleet::Instance&)> m_restart;
  /** RPC addresses of the replicas that form the group at its first start;
   * a replica that no membership names asks them for admission. Empty where
   * an operator adds members by hand. */
  std::vector<std::string> m_seeds;
  /** The whole system starts for the first time, on empty disks. */
  bool m_formGroup = false;
  /** Of a group that forms from seeds. */
  consensus::MembershipPolicyOptions m_group;
};

/** What became of a proposed command. */
struct Decided
{
  /** Set where the command is committed and applied. */
  std::optional<fleet::Effect> m_effect;
  Index m_index;
  consensus::Error m_error = consensus::Error::kNone;
};

/**
 * @brief A control replica: binds agreement, state and membership to a disk,
 * to its peers and to the clock.
 *
 * Lives on one KJ event loop. It decides nothing itself.
 */
class Node final : private kj::TaskSet::ErrorHandler
{
public:
  Node(NodeOptions aOptions,
       storage::Opened aOpened,
       std::unique_ptr<storage::LogStore> aStore,
       kj::AsyncIoProvider& aProvider,
       std::function<void(const storage::Failure&)> aOnDiskFailure);

  kj::Promise<Decided> Propose(const fleet::Command& aCommand);

  /** This replica may answer for the group now. */
  bool IsServing() const;
  /** Commands wait for the group's disks, and a further one would as well. */
  bool IsStalled() const;
  std::string LeaderAddress() const;
  kj::Promise<bool> WaitInForce(Index aRevision);
  /** Returns once the view moved past aRevision, or after the hold time. */
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
  std::string StatusJson() const;
  /** Where this replica asks for admission, should it need to. */
  void SetSeeds(std::vector<std::string> aSeeds)
  {
    m_options.m_seeds = std::move(aSeeds);
  }
  bool IsEmptyReplica() const;

private:
  struct Peer
  {
    kj::Own<rpc::Channel> m_channel;
    std::size_t m_outstanding = 0;
    TimePoint m_lastAnswer;
  };

  struct Waiter
  {
    Term m_term;
    TimePoint m_since;
    kj::Own<kj::PromiseFulfiller<Decided>> m_fulfiller;
  };

  struct InForceWaiter
  {
    Index m_revision;
    TimePoint m_until;
    kj::Own<kj::PromiseFulfiller<bool>> m_fulfiller;
  };

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> TickLoop();
  kj::Promise<void> DiskLoop();
  void NoteDisk(const std::optional<storage::Failure>& aRefusal);
  kj::Promise<void> SnapshotLoop();
  kj::Promise<void> JoinLoop();
  kj::Promise<void> AskAdmission(const std::string& aSeed);
  void AskSeeds();
  std::vector<std::string> SeedsWithLog() const;
  void FormGroup();
  void DropSilentVoter(TimePoint aNow);
  bool IsSafelyFormed() const;
  void NoteFormation(TimePoint aNow);
  bool NeedsAdmission(TimePoint aNow);
  void Pump();
  void Run(consensus::Persist aPersist);
  void Run(const consensus::Send& aSend);
  void Run(const consensus::Apply& aApply);
  void Run(const consensus::Restore& aRestore);
  void FollowRole();
  void FailWaiters();
  void WakeViewWaiters();
  void CheckInForce();
  void Lead(TimePoint aNow);
  void ExpireOutcomes(TimePoint aNow);
  void AdvanceWaves(TimePoint aNow);
  void ProposeAlone(const fleet::Command& aCommand);
  void MaybeCompact();
  std::optional<std::string> AddressOf(const consensus::ReplicaId& aId) const;
  Peer* FindPeer(const consensus::ReplicaId& aId);

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
  bool m_encoding = false;
  std::size_t m_bytesSinceSnapshot = 0;
  std::size_t m_snapshotBytes = 0;
  bool m_isDiskRefusing = false;
  bool m_wasLeader = false;
  bool m_pumping = false;
  std::size_t m_proposedAlone = 0;
  TimePoint m_nextDuties;
  struct Mark
  {
    Index m_index;
    TimePoint m_at;
  };
  /** When which part of the log was seen; expiry of outcomes goes by it. */
  std::deque<Mark> m_marks;
  std::map<std::string, Peer> m_peers;
  consensus::MembershipPolicy m_policy;
  /** Seeds that said that they keep no log. */
  std::set<std::string> m_seedsWithoutLog;
  /** When this replica last led or knew a leader. */
  TimePoint m_hadLeaderAt;
  /** Of senders that the membership here does not name. */
  std::map<consensus::ReplicaId, std::string> m_replyTo;
  std::map<Index, Waiter> m_waiters;
  std::list<InForceWaiter> m_inForce;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_viewWaiters;
  kj::TaskSet m_tasks;
};

class JobService;

/** The RPC face of a node; aJobs may be null. */
schema::Control::Client MakeControlServer(Node& aNode, JobService* aJobs);

/** Accepts RPC connections until the promise is dropped. */
kj::Promise<void> Listen(schema::Control::Client aServer,
                         kj::AsyncIoProvider& aProvider,
                         const std::string& aAddress);

} // namespace bamboostile::control
