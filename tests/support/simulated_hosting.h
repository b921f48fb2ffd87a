#pragma once

#include "job_fixtures.h"

#include "bamboostile/placement/maintenance.h"

#include <random>

/** A platform, its instances and a leader with waves, in virtual time. */
namespace simulated_hosting {

using namespace bamboostile;

struct HostingOptions
{
  std::uint32_t m_instances = 8;
  std::uint32_t m_cap = 2;
  /** Out of a hundred orders, so many are obeyed unheard, late or not at all.
   */
  unsigned m_failPercent = 30;
  /** And so many lists cannot be read. */
  unsigned m_listFailPercent = 20;
  unsigned m_seed = 1;
};

/**
 * @brief Instances that crash, go down on orders and come back when they like,
 * and a leader whose orders and reports get lost or late on the way.
 */
class SimulatedHosting
{
public:
  explicit SimulatedHosting(HostingOptions aOptions);

  void StartWave(std::uint64_t aNumber, std::set<std::uint32_t> aInstances);
  void Pass(Millis aTime);
  /** Comes back by itself after aDown. */
  void Crash(std::uint32_t aInstance, Millis aDown);
  /** Orders under way may still be obeyed; their answers are not heard. */
  void ReplaceLeader();

  bool IsDone(std::uint64_t aWave) const;
  /** Beyond the cap, over all waves and all orders obeyed. */
  std::uint32_t MostOverCap() const { return m_mostOverCap; }
  /** Instances of the wave that the platform never took down for it. */
  std::uint32_t CountSpared(std::uint64_t aWave) const;
  std::uint32_t Random(std::uint32_t aBelow);
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
    std::uint32_t m_life = 0;
    std::uint64_t m_sequence = 0;
    Millis m_nextReport{};
    std::set<std::uint64_t> m_maintainedFor;
    std::uint64_t m_highestTerm = 0;
  };

  struct OrderUnderWay
  {
    placement::MaintenanceOrder m_order;
    std::uint64_t m_term = 0;
    std::optional<Millis> m_obeyAt;
    std::optional<Millis> m_answerAt;
    placement::InstanceAnswer m_answer = placement::InstanceAnswer::kUnclear;
  };

  struct ReportUnderWay
  {
    Millis m_at;
    placement::WorkerReport m_report;
  };

  struct ListUnderWay
  {
    Millis m_at;
    /** Nothing: it could not be read. */
    std::optional<placement::InstanceList> m_list;
  };

  void Step();
  void LiveOn(Instance& aInstance);
  void Send(const placement::MaintenanceOrder& aOrder);
  void Obey(OrderUnderWay& aOrder);
  placement::InstanceAnswer Handle(const OrderUnderWay& aOrder);
  void CheckCaps();
  void Lead();
  void ReadList();
  bool IsUnderWay(const placement::MaintenanceOrder& aOrder) const;
  placement::WorkerReport ReportOf(Instance& aInstance) const;
  Instance& InstanceOf(const InstanceId& aId);
  TimePoint Time() const { return TimePoint{ m_now }; }

  HostingOptions m_options;
  std::minstd_rand m_random;
  job_fixtures::Fleet m_fleet;
  Millis m_now{ 20'000 };
  std::vector<Instance> m_instances;
  std::vector<OrderUnderWay> m_orders;
  std::vector<ReportUnderWay> m_reports;
  std::optional<ListUnderWay> m_list;
  std::uint64_t m_term = 1;
  std::optional<placement::WorkerTable> m_table;
  placement::MaintenancePlanner m_planner;
  std::uint32_t m_mostOverCap = 0;
};

} // namespace simulated_hosting
