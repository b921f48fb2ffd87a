#pragma once

#include "bamboostile/control/node.h"
#include "bamboostile/control/pace.h"
#include "bamboostile/placement/capacity.h"
#include "bamboostile/placement/maintenance.h"
#include "bamboostile/telemetry/log.h"

#include <functional>
#include <set>

namespace bamboostile::control {

/** Why a worker gets no new tasks. */
enum class CordonCause
{
  kMaintenance,
  kMove,
  /** Its pool has a surplus. No order has been decided. */
  kSurplus,
};

const char* Describe(CordonCause aCause) noexcept;

struct Cordon
{
  CordonCause m_cause = CordonCause::kMaintenance;
  TimePoint m_since;
};

/** Calls to the platform that hosts the instances. Answers may arrive on any
 * thread; functions that are not set are never called. */
struct InstanceCalls
{
  struct Answer
  {
    placement::InstanceAnswer m_answer = placement::InstanceAnswer::kUnclear;
    /** Time from the call to the first byte sent; unset if none was sent. */
    std::optional<Duration> m_sentAfter;
  };

  using AnswerHandler = std::function<void(const Answer&)>;
  /** Receives std::nullopt if a page of the list could not be read. */
  using ListHandler =
    std::function<void(std::optional<placement::ListedInstances>)>;

  std::function<void(const placement::MaintenanceOrder&, Term, AnswerHandler)>
    m_maintenance;
  std::function<void(const placement::MoveOrder&, Term, AnswerHandler)> m_move;
  std::function<void(ListHandler)> m_list;
};

/**
 * @brief Sends the planners' maintenance and move orders to the platform and
 * handles the answers.
 *
 * Runs on the node's event loop. Each term gets a new object.
 */
class InstanceService final : private kj::TaskSet::ErrorHandler
{
public:
  using EndedHandler =
    std::function<void(const WorkerIncarnation&, TimePoint aOrderedAt)>;

  using ListedHandler = std::function<void(const placement::InstanceList&)>;

  /** aOnEnded is called for each worker incarnation that an order has ended for
   * certain, aOnListed for each list of instances that was read. */
  InstanceService(Node& aNode,
                  const InstanceCalls& aCalls,
                  placement::MaintenanceOptions aMaintenance,
                  placement::CapacityOptions aCapacity,
                  Term aTerm,
                  StageLatencies& aLatencies,
                  EndedHandler aOnEnded,
                  ListedHandler aOnListed);

  std::size_t PendingOrders() const
  {
    return m_pendingMoves + m_pendingMaintenance.size();
  }

  /** Sends no new orders unless aOrdersAllowed; instances with pending orders
   * stay cordoned. */
  void Tick(const placement::WorkerTable& aWorkers,
            const placement::DurationEstimator& aDurations,
            bool aOrdersAllowed,
            TimePoint aNow,
            WallTime aWall);
  /** Takes the long-running tasks that a placement pass could not place. */
  void OnPlanned(const placement::UnplacedBySteps& aUnplaced, TimePoint aNow)
  {
    m_capacity.OnPlanned(aUnplaced, aNow);
  }
  /** The pools as of the last tick; empty if instances are not moved. */
  const std::vector<placement::PoolCapacity>& Pools() const { return m_pools; }
  /** Workers that get no new tasks. */
  const std::set<WorkerIncarnation>& Cordoned() const { return m_cordoned; }
  std::shared_ptr<const placement::OrderEffects> Effects() const
  {
    return m_effects;
  }
  /** Returns null if the worker is not cordoned. */
  const Cordon* FindCordon(const WorkerIncarnation& aWorker) const;

private:
  struct MaintenanceReply
  {
    placement::MaintenanceOrder m_order;
    InstanceCalls::Answer m_answer;
    TimePoint m_decidedAt;
  };

  struct MoveReply
  {
    placement::MoveOrder m_order;
    InstanceCalls::Answer m_answer;
    TimePoint m_decidedAt;
  };

  struct List
  {
    TimePoint m_requestedAt;
    /** std::nullopt if a page of the list could not be read. */
    std::optional<placement::ListedInstances> m_instances;
  };

  /** Answers from any thread; outlives this object, as answers may arrive
   * later. */
  struct Answers
  {
    rpc::Mailbox<MaintenanceReply> m_maintenance;
    rpc::Mailbox<MoveReply> m_moves;
    rpc::Mailbox<List> m_lists;
  };

  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> MaintenanceLoop();
  kj::Promise<void> MoveLoop();
  kj::Promise<void> ListLoop();
  void HandleReply(const MaintenanceReply& aReply);
  void HandleReply(const MoveReply& aReply);
  void LogAnswer(telemetry::LogLine aLine,
                 const InstanceCalls::Answer& aAnswer,
                 TimePoint aDecidedAt);
  placement::MaintenancePlan PlanMaintenance(
    const placement::WorkerTable& aWorkers,
    bool aOrdersAllowed,
    TimePoint aNow);
  void PlanMoves(const placement::WorkerTable& aWorkers,
                 const placement::DurationEstimator& aDurations,
                 TimePoint aNow,
                 WallTime aWall);
  void LogCapacity(const std::vector<placement::PoolCapacity>& aPools,
                   TimePoint aNow);
  /** aIsWorkerMissing: the list would show whether a worker has ended. */
  void RequestList(const placement::MaintenancePlan& aMaintenance,
                   bool aIsWorkerMissing,
                   TimePoint aNow);
  void HandleList(List aList);
  void InheritEffects();
  void CordonWorkers(const std::set<WorkerIncarnation>& aWorkers,
                     CordonCause aCause,
                     TimePoint aNow);
  void ProposeAdvance(const placement::MaintenanceAdvance& aAdvance);
  void RecordAndSend(std::vector<placement::MoveOrder> aOrders,
                     TimePoint aDecidedAt);
  void Send(const placement::MoveOrder& aOrder,
            bool aIsRecorded,
            TimePoint aDecidedAt);

  Node& m_node;
  const InstanceCalls& m_calls;
  Term m_term;
  StageLatencies& m_latencies;
  EndedHandler m_onEnded;
  ListedHandler m_onListed;
  bool m_movesEnabled;
  placement::MaintenancePlanner m_maintenance;
  placement::CapacityPlanner m_capacity;
  placement::OrderRecord m_orderRecord;
  std::shared_ptr<placement::OrderEffects> m_effects;
  std::vector<placement::PoolCapacity> m_pools;
  std::set<WorkerIncarnation> m_cordoned;
  std::map<WorkerIncarnation, Cordon> m_cordons;
  /** m_cordons before the current tick. */
  std::map<WorkerIncarnation, Cordon> m_previousCordons;
  std::set<std::pair<std::uint64_t, InstanceId>> m_pendingMaintenance;
  std::size_t m_pendingAdvances = 0;
  /** Number of moves whose answer has not been handled. */
  std::size_t m_pendingMoves = 0;
  TimePoint m_nextList;
  TimePoint m_listRequestedAt;
  std::size_t m_listSize = 0;
  bool m_isListPending = false;
  TimePoint m_nextCapacityLog;
  std::shared_ptr<Answers> m_answers = std::make_shared<Answers>();
  kj::TaskSet m_tasks;
};

} // namespace bamboostile::control
