#pragma once

#include "job_fixtures.h"

#include "bamboostile/placement/maintenance.h"

#include <random>

/** Simulates a platform, its instances and a leader with maintenance waves, in
 * virtual time. */
namespace simulated_hosting {

using namespace bamboostile;

struct HostingOptions
{
  std::uint32_t m_instances = 8;
  std::uint32_t m_cap = 2;
  /** Percentage of orders whose answer is lost and that are executed at once,
   * late or never. */
  unsigned m_failPercent = 30;
  /** Percentage of instance lists that can't be read. */
  unsigned m_listFailPercent = 20;
  unsigned m_seed = 1;
};

/**
 * @brief Simulates instances that crash, go down on orders and come back after
 * random times, and a leader whose orders and reports are lost or delayed.
 */
class SimulatedHosting
{
public:
  explicit SimulatedHosting(HostingOptions aOptions);

  void StartWave(std::uint64_t aNumber, std::set<std::uint32_t> aInstances);
  void Pass(Millis aTime);
  /** Crashes the instance, which comes back by itself after aDown. */
  void Crash(std::uint32_t aInstance, Millis aDown);
  /** Replaces the leader. Pending orders may still be executed, but their
   * answers are lost. */
  void ReplaceLeader();

  bool IsDone(std::uint64_t aWave) const;
  /** Maximum number of instances down beyond the cap, over all waves and
   * executed orders. */
  std::uint32_t MostOverCap() const { return m_maxOverCap; }
  /** Counts the wave's instances that the platform never took down for it. */
  std::uint32_t CountSpared(std::uint64_t aWave) const;
  std::uint32_t Random(std::uint32_t aLimit);
  Millis Now() const { return m_now; }

private:
  enum class Condition
  {
    kUp,
    kMaintained,
    kCrashed,
  };

  struct Instance
  {
    InstanceId m_id;
    Condition m_condition = Condition::kUp;
    Millis m_until{};
    std::uint32_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    Millis m_nextReport{};
    std::set<std::uint64_t> m_maintainedFor;
    std::uint64_t m_highestTerm = 0;
  };

  struct PendingOrder
  {
    placement::MaintenanceOrder m_order;
    std::uint64_t m_term = 0;
    std::optional<Millis> m_executeAt;
    std::optional<Millis> m_answerAt;
    placement::InstanceAnswer m_answer = placement::InstanceAnswer::kUnclear;
  };

  struct DelayedReport
  {
    Millis m_at;
    placement::WorkerReport m_report;
  };

  struct PendingList
  {
    Millis m_at;
    /** Unset if the list couldn't be read. */
    std::optional<placement::InstanceList> m_list;
  };

  void Step();
  void Advance(Instance& aInstance);
  void Send(const placement::MaintenanceOrder& aOrder);
  void Execute(PendingOrder& aOrder);
  placement::InstanceAnswer Handle(const PendingOrder& aOrder);
  void CheckCaps();
  void StepLeader();
  void RequestList();
  bool IsPending(const placement::MaintenanceOrder& aOrder) const;
  placement::WorkerReport ReportOf(Instance& aInstance) const;
  Instance& InstanceOf(const InstanceId& aId);
  TimePoint Time() const { return TimePoint{ m_now }; }

  HostingOptions m_options;
  std::minstd_rand m_random;
  job_fixtures::Fleet m_fleet;
  Millis m_now{ 20'000 };
  std::vector<Instance> m_instances;
  std::vector<PendingOrder> m_orders;
  std::vector<DelayedReport> m_reports;
  std::optional<PendingList> m_list;
  std::uint64_t m_term = 1;
  std::optional<placement::WorkerTable> m_table;
  placement::MaintenancePlanner m_planner;
  std::uint32_t m_maxOverCap = 0;
};

} // namespace simulated_hosting
