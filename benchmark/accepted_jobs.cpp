// Measures what accepted jobs cost before any of their tasks is started: memory
// and snapshot bytes for each task, and the time of a placement pass and of a
// snapshot. `bench_accepted_jobs TASKS` measures one number of tasks.

#include "bamboostile/placement/planner.h"

#include "report.h"

#include <chrono>
#include <iostream>

namespace {

using namespace bamboostile;

constexpr std::uint32_t kTasksOfStep = 10'000;
constexpr std::size_t kStepsOfJob = 10;
constexpr std::size_t kWorkers = 350;
constexpr int kPasses = 10;
constexpr TimePoint kNow{ Millis{ 1'000'000 } };
/** A task that has not been started may take this much, with its share of the
 * job. */
constexpr double kMaxBytesOfTask = 1;
/** Time of a pass at ten times the tasks: it may grow with the number of jobs.
 */
constexpr double kMaxGrowth = 12;

double
MillisSince(std::chrono::steady_clock::time_point aStart)
{
  const std::chrono::duration<double, std::milli> elapsed =
    std::chrono::steady_clock::now() - aStart;
  return elapsed.count();
}

class AcceptedJobs
{
public:
  AcceptedJobs()
  {
    fleet::RouteTable table;
    table.m_version = 1;
    table.m_services.push_back({ ServiceId{ "s" }, true, false });
    fleet::QueueRoute& route = table.m_routes.emplace_back();
    route.m_name = "q";
    route.m_host = "host";
    route.m_pathPrefix = "/q/";
    route.m_service = ServiceId{ "s" };
    Apply(fleet::ReplaceRoutes{ table });
    Apply(fleet::RaiseVersion{ fleet::kStateVersion });
    for (std::size_t i = 0; i < kWorkers; ++i) {
      placement::WorkerReport report;
      report.m_worker = { WorkerId{ "w" + std::to_string(i) } };
      report.m_instance = InstanceId{ "i" + std::to_string(i) };
      report.m_service = ServiceId{ "s" };
      report.m_capacity = { 16'000, 32'000, 0 };
      report.m_sequence = 1;
      m_table.OnReport(report, m_state.Jobs(), kNow, WallTime{ 1 });
    }
  }

  void Submit(std::size_t aNumber)
  {
    jobs::StepSpec step;
    step.m_count = kTasksOfStep;
    step.m_resources = { 500, 256, 0 };
    step.m_estimate = Millis{ 900 };
    const jobs::JobSpec spec{
      "payload", std::vector(kStepsOfJob, step), 0, WallTime{}, Millis{}
    };
    Apply(jobs::Batch{ { jobs::Submit{ JobId{ "job" + std::to_string(aNumber) },
                                       QueueId{ "host/q/" },
                                       spec,
                                       WallTime{ 1 } } } });
  }

  placement::Plan ComputePlan()
  {
    return m_planner.ComputePlan(m_state, m_table, {}, kNow, WallTime{ 1 });
  }

  std::size_t EncodedBytes() const { return m_state.Encode().size(); }

private:
  void Apply(const fleet::Command& aCommand)
  {
    m_index = Next(m_index);
    m_state.Apply(m_index, aCommand);
  }

  Index m_index;
  fleet::State m_state;
  placement::WorkerTable m_table{ placement::LeaseOptions{}, TimePoint{} };
  placement::Planner m_planner;
};

/** Returns the time of a pass in ms. */
double
Measure(std::size_t aTasks, benchmark::Report& aReport)
{
  const std::string at = " at " + std::to_string(aTasks) + " tasks";
  AcceptedJobs jobs;
  const double before = benchmark::AllocatedKiB();
  for (std::size_t i = 0; i < aTasks / (kStepsOfJob * kTasksOfStep); ++i) {
    jobs.Submit(i);
  }
  const auto tasks = static_cast<double>(aTasks);
  constexpr double kKiB = 1024;
  const double bytes = (benchmark::AllocatedKiB() - before) * kKiB / tasks;
  aReport.Set("memory, bytes a task" + at, bytes);
  aReport.AddBound("memory, bytes a task" + at, bytes, 0, kMaxBytesOfTask);
  auto start = std::chrono::steady_clock::now();
  const std::size_t encoded = jobs.EncodedBytes();
  aReport.Set("snapshot, ms" + at, MillisSince(start));
  aReport.Set("snapshot, bytes a task" + at,
              static_cast<double>(encoded) / tasks);
  start = std::chrono::steady_clock::now();
  for (int i = 0; i < kPasses; ++i) {
    jobs.ComputePlan();
  }
  const double pass = MillisSince(start) / kPasses;
  aReport.Set("pass, ms" + at, pass);
  return pass;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  benchmark::Report report("accepted_jobs");
  if (aCount > 1) {
    Measure(std::stoul(aArguments[1]), report);
    return report.Finish();
  }
  const double few = Measure(100'000, report);
  const double many = Measure(1'000'000, report);
  report.AddBound("pass at ten times the tasks", many / few, 0, kMaxGrowth);
  return report.Finish();
}
