#include "simulated_hosting.h"

#include <algorithm>

namespace simulated_hosting {

namespace {

using placement::InstanceAnswer;
using placement::InstanceState;

constexpr Millis kStep{ 50 };
constexpr Millis kReportInterval{ 200 };
/** Maximum delays of reports and orders that the leader allows for. */
constexpr std::uint32_t kMaxReportDelayMs = 2900;
constexpr std::uint32_t kMaxExecutionDelayMs = 2900;
constexpr std::uint32_t kMinDownMs = 2000;
constexpr std::uint32_t kMaxExtraDownMs = 6000;
constexpr Millis kCallTimeout{ 1500 };
constexpr unsigned kPercent = 100;
/** Percentage of reports that are delayed. */
constexpr unsigned kDelayedPercent = 15;

} // namespace

SimulatedHosting::SimulatedHosting(HostingOptions aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
{
  for (std::uint32_t i = 0; i < m_options.m_instances; ++i) {
    m_instances.emplace_back().m_id = InstanceId{ "i" + std::to_string(i) };
  }
  m_table.emplace(placement::LeaseOptions{}, TimePoint{});
}

std::uint32_t
SimulatedHosting::Random(std::uint32_t aLimit)
{
  return static_cast<std::uint32_t>(m_random()) % aLimit;
}

SimulatedHosting::Instance&
SimulatedHosting::InstanceOf(const InstanceId& aId)
{
  return *std::find_if(
    m_instances.begin(), m_instances.end(), [&](const Instance& aInstance) {
      return aInstance.m_id == aId;
    });
}

void
SimulatedHosting::StartWave(std::uint64_t aNumber,
                            std::set<std::uint32_t> aInstances)
{
  fleet::MaintenanceWave wave;
  wave.m_number = aNumber;
  wave.m_cap = m_options.m_cap;
  for (const std::uint32_t number : aInstances) {
    wave.m_instances[m_instances[number].m_id] =
      fleet::MaintenanceStep::kWaiting;
  }
  m_fleet.Do(fleet::StartMaintenance{ wave });
}

bool
SimulatedHosting::IsDone(std::uint64_t aWave) const
{
  return m_fleet.State().Maintenance().at(aWave).IsDone();
}

std::uint32_t
SimulatedHosting::CountSpared(std::uint64_t aWave) const
{
  const auto& wave = m_fleet.State().Maintenance().at(aWave);
  return static_cast<std::uint32_t>(std::count_if(
    m_instances.begin(), m_instances.end(), [&](const Instance& aInstance) {
      return wave.m_instances.contains(aInstance.m_id) &&
             !aInstance.m_maintainedFor.contains(aWave);
    }));
}

void
SimulatedHosting::Crash(std::uint32_t aInstance, Millis aDown)
{
  Instance& instance = m_instances[aInstance];
  if (instance.m_condition == Condition::kUp) {
    instance.m_condition = Condition::kCrashed;
    instance.m_until = m_now + aDown;
  }
}

void
SimulatedHosting::ReplaceLeader()
{
  ++m_term;
  for (PendingOrder& order : m_orders) {
    order.m_answerAt.reset();
  }
  m_list.reset();
  m_fleet.Restore();
  m_table.emplace(placement::LeaseOptions{}, Time());
  m_planner = placement::MaintenancePlanner{};
}

void
SimulatedHosting::Pass(Millis aTime)
{
  const Millis until = m_now + aTime;
  while (m_now < until) {
    Step();
  }
}

void
SimulatedHosting::Step()
{
  m_now += kStep;
  for (Instance& instance : m_instances) {
    Advance(instance);
  }
  for (PendingOrder& order : m_orders) {
    if (order.m_executeAt && m_now >= *order.m_executeAt) {
      Execute(order);
    }
  }
  StepLeader();
  std::erase_if(m_orders, [](const PendingOrder& aOrder) {
    return !aOrder.m_executeAt && !aOrder.m_answerAt;
  });
}

void
SimulatedHosting::Advance(Instance& aInstance)
{
  if (aInstance.m_condition != Condition::kUp) {
    if (m_now < aInstance.m_until) {
      return;
    }
    aInstance.m_condition = Condition::kUp;
    ++aInstance.m_incarnation;
    aInstance.m_sequence = 0;
    aInstance.m_nextReport = m_now;
  }
  if (m_now >= aInstance.m_nextReport) {
    aInstance.m_nextReport = m_now + kReportInterval;
    const bool isDelayed = Random(kPercent) < kDelayedPercent;
    const Millis delay{ isDelayed ? Random(kMaxReportDelayMs) : 0 };
    m_reports.push_back({ m_now + delay, ReportOf(aInstance) });
  }
}

placement::WorkerReport
SimulatedHosting::ReportOf(Instance& aInstance) const
{
  auto report =
    job_fixtures::Report(aInstance.m_id.Get(), ++aInstance.m_sequence);
  report.m_instance = aInstance.m_id;
  report.m_worker.m_startedAt = WallTime{ 1 + aInstance.m_incarnation };
  return report;
}

bool
SimulatedHosting::IsPending(const placement::MaintenanceOrder& aOrder) const
{
  return std::any_of(
    m_orders.begin(), m_orders.end(), [&](const PendingOrder& aPending) {
      return aPending.m_order == aOrder && aPending.m_answerAt.has_value();
    });
}

void
SimulatedHosting::Send(const placement::MaintenanceOrder& aOrder)
{
  PendingOrder order{ aOrder, m_term, m_now, m_now + kStep };
  if (Random(kPercent) < m_options.m_failPercent) {
    // The answer is lost. The order may be executed before or after the call
    // times out, or never.
    order.m_answerAt = m_now + Millis{ Random(2) * kCallTimeout.count() };
    const bool isExecuted = Random(3) > 0;
    order.m_executeAt =
      isExecuted
        ? std::optional{ m_now + Millis{ Random(kMaxExecutionDelayMs) } }
        : std::nullopt;
    m_orders.push_back(order);
    return;
  }
  order.m_answer = Handle(order);
  order.m_executeAt.reset();
  m_orders.push_back(order);
}

void
SimulatedHosting::Execute(PendingOrder& aOrder)
{
  Handle(aOrder);
  aOrder.m_executeAt.reset();
}

InstanceAnswer
SimulatedHosting::Handle(const PendingOrder& aOrder)
{
  Instance& instance = InstanceOf(aOrder.m_order.m_instance);
  if (aOrder.m_term < instance.m_highestTerm) {
    return InstanceAnswer::kSuperseded;
  }
  instance.m_highestTerm = aOrder.m_term;
  if (instance.m_condition != Condition::kUp) {
    return InstanceAnswer::kBusy;
  }
  if (instance.m_maintainedFor.insert(aOrder.m_order.m_wave).second) {
    instance.m_condition = Condition::kMaintained;
    const std::uint32_t extraMs = Random(3) == 0 ? Random(kMaxExtraDownMs) : 0;
    instance.m_until = m_now + Millis{ kMinDownMs + extraMs };
    CheckCaps();
  }
  return InstanceAnswer::kAccepted;
}

void
SimulatedHosting::CheckCaps()
{
  for (const auto& [number, wave] : m_fleet.State().Maintenance()) {
    if (wave.IsDone()) {
      continue;
    }
    std::uint32_t down = 0;
    for (const Instance& instance : m_instances) {
      down += instance.m_condition == Condition::kMaintained &&
                  wave.m_instances.contains(instance.m_id)
                ? 1
                : 0;
    }
    m_maxOverCap = std::max(m_maxOverCap, down - std::min(down, wave.m_cap));
  }
}

void
SimulatedHosting::RequestList()
{
  const Millis at = m_now + Millis{ Random(400) };
  if (Random(kPercent) < m_options.m_listFailPercent) {
    m_list = PendingList{ at, std::nullopt };
    return;
  }
  placement::InstanceList list{ Time(), {} };
  for (const Instance& instance : m_instances) {
    // The platform doesn't list crashed instances.
    if (instance.m_condition != Condition::kCrashed) {
      list.m_instances.push_back({ instance.m_id,
                                   ServiceId{ "desk" },
                                   instance.m_condition == Condition::kUp
                                     ? InstanceState::kUp
                                     : InstanceState::kMaintenance });
    }
  }
  m_list = PendingList{ at, std::move(list) };
}

void
SimulatedHosting::StepLeader()
{
  std::erase_if(m_reports, [&](const DelayedReport& aReport) {
    if (m_now < aReport.m_at) {
      return false;
    }
    m_table->OnReport(
      aReport.m_report, m_fleet.Book(), Time(), WallTime{ m_now.count() });
    return true;
  });
  m_table->CollectLostRuns(m_fleet.Book(), Time(), WallTime{ m_now.count() });
  if (m_list && m_now >= m_list->m_at) {
    if (m_list->m_list) {
      m_planner.OnListed(*m_list->m_list);
    }
    m_list.reset();
  }
  for (PendingOrder& order : m_orders) {
    if (!order.m_answerAt || m_now < *order.m_answerAt) {
      continue;
    }
    order.m_answerAt.reset();
    const auto result =
      m_planner.OnAnswer(order.m_order, order.m_answer, Time());
    if (result.m_endedIncarnation) {
      m_table->Retire(
        *result.m_endedIncarnation, m_fleet.Book(), WallTime{ m_now.count() });
    }
    // Some decisions are lost, as if the leader were replaced before the
    // commit.
    if (result.m_advance && Random(20) > 0) {
      m_fleet.Do(result.m_advance->m_change);
    }
  }
  const auto plan = m_planner.Next(m_fleet.State(), *m_table, Time());
  for (const auto& advance : plan.m_advances) {
    m_fleet.Do(advance.m_change);
  }
  for (const placement::MaintenanceOrder& order : plan.m_orders) {
    if (!IsPending(order)) {
      Send(order);
    }
  }
  if (plan.m_needsInstanceList && !m_list) {
    RequestList();
  }
}

} // namespace simulated_hosting
