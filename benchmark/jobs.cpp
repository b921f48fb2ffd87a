// Measures the leader's time and log bytes for one job, start, end and report,
// and how the time of a placement pass grows with the number of workers.

#include "bamboostile/placement/planner.h"

#include "report.h"

#include <chrono>
#include <iostream>

namespace {

using namespace bamboostile;

constexpr std::size_t kTasksPerJob = 8;
constexpr std::size_t kTasksPerWorker = 8;
constexpr int kPlanningPasses = 20;
constexpr TimePoint kNow{ Millis{ 1'000'000 } };

double
MicrosSince(std::chrono::steady_clock::time_point aStart, double aCount)
{
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - aStart;
  return elapsed.count() / aCount;
}

jobs::JobSpec
MakeSpec()
{
  jobs::StepSpec step;
  step.m_count = kTasksPerJob;
  step.m_resources = { 1000, 1000, 0 };
  step.m_estimate = Millis{ 1000 };
  return { std::string(1000, 'x'), { step }, 0, WallTime{}, Millis{} };
}

std::string
JobName(std::size_t aNumber)
{
  return "5c0e7a21d94b" + std::to_string(10'000 + aNumber);
}

std::string
WorkerName(std::size_t aNumber)
{
  return "i-7f3a9" + std::to_string(10'000 + aNumber);
}

class Bench
{
public:
  explicit Bench(std::size_t aWorkers)
    : m_workers(aWorkers)
  {
    fleet::RouteTable table;
    table.m_version = 1;
    table.m_services.push_back({ ServiceId{ "s" }, true, false });
    fleet::QueueRoute& route = table.m_routes.emplace_back();
    route.m_name = "q";
    route.m_host = "host";
    route.m_pathPrefix = "/q/";
    route.m_service = ServiceId{ "s" };
    route.m_timeout = Millis{ 3000 };
    Apply(fleet::ReplaceRoutes{ table });
  }

  /** Encodes, decodes and applies a command, as a replica does. Returns its
   * size in the log in bytes. */
  std::size_t Apply(const fleet::Command& aCommand)
  {
    const std::string bytes = fleet::EncodeCommand(aCommand);
    m_index = Next(m_index);
    m_state.Apply(m_index, *fleet::DecodeCommand(bytes));
    return bytes.size();
  }

  void Report(const std::string& aCount, benchmark::Report& aReport)
  {
    const std::size_t jobs = m_workers * kTasksPerWorker / kTasksPerJob;
    std::size_t bytes = 0;
    auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < jobs; ++i) {
      bytes += Apply(jobs::Batch{ { jobs::Submit{ JobId{ JobName(i) },
                                                  QueueId{ "host/q/" },
                                                  MakeSpec(),
                                                  WallTime{ 1 } } } });
    }
    const auto count = static_cast<double>(jobs);
    aReport.Set("job, us at " + aCount, MicrosSince(start, count));
    aReport.Set("job, log bytes", static_cast<double>(bytes) / count);
    start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < m_workers; ++i) {
      ReportWorker(i, 1);
    }
    aReport.Set("report, us at " + aCount,
                MicrosSince(start, static_cast<double>(m_workers)));
    start = std::chrono::steady_clock::now();
    placement::Plan plan;
    for (int i = 0; i < kPlanningPasses; ++i) {
      plan = ComputePlan();
    }
    aReport.Set("pass of placing, us at " + aCount,
                MicrosSince(start, kPlanningPasses));
    const auto starts = static_cast<double>(plan.m_changes.size());
    start = std::chrono::steady_clock::now();
    bytes = Apply(jobs::Batch{ plan.m_changes });
    aReport.Set("start, us at " + aCount, MicrosSince(start, starts));
    aReport.Set("start, log bytes", static_cast<double>(bytes) / starts);
    start = std::chrono::steady_clock::now();
    for (int i = 0; i < kPlanningPasses; ++i) {
      ComputePlan();
    }
    aReport.Set("pass with all placed, us at " + aCount,
                MicrosSince(start, kPlanningPasses));
    jobs::Batch ends;
    for (const jobs::Change& change : plan.m_changes) {
      const auto& startRun = std::get<jobs::StartRun>(change);
      ends.m_changes.emplace_back(jobs::EndRun{ startRun.m_task,
                                                startRun.m_run,
                                                jobs::RunEnd::kDone,
                                                "",
                                                WallTime{ 2 } });
    }
    start = std::chrono::steady_clock::now();
    bytes = Apply(ends);
    aReport.Set("end, us at " + aCount, MicrosSince(start, starts));
    aReport.Set("end, log bytes", static_cast<double>(bytes) / starts);
  }

private:
  void ReportWorker(std::size_t aWorker, std::uint64_t aSequence)
  {
    placement::WorkerReport report;
    report.m_worker = { WorkerId{ WorkerName(aWorker) } };
    report.m_instance = InstanceId{ "m-" + std::to_string(aWorker) };
    report.m_service = ServiceId{ "s" };
    report.m_capacity = { 1000 * kTasksPerWorker, 32'000, 0 };
    report.m_sequence = aSequence;
    m_table.OnReport(report, m_state.Jobs(), kNow, WallTime{ 1 });
  }

  placement::Plan ComputePlan()
  {
    return m_planner.ComputePlan(m_state, m_table, {}, kNow, WallTime{ 1 });
  }

  std::size_t m_workers;
  Index m_index;
  fleet::State m_state;
  placement::WorkerTable m_table{ placement::LeaseOptions{}, TimePoint{} };
  placement::Planner m_planner;
};

} // namespace

int
main()
{
  benchmark::Report report("jobs");
  for (const std::size_t workers : { 50UL, 350UL }) {
    Bench(workers).Report(std::to_string(workers), report);
  }
  for (const char* figure : { "job, us at ",
                              "report, us at ",
                              "start, us at ",
                              "end, us at ",
                              "pass of placing, us at ",
                              "pass with all placed, us at " }) {
    const std::string name = figure;
    std::cout << name << "50: " << report.Get(name + "50")
              << ", 350: " << report.Get(name + "350") << "\n";
  }
  for (const char* figure :
       { "job, log bytes", "start, log bytes", "end, log bytes" }) {
    std::cout << figure << ": " << report.Get(figure) << "\n";
  }
  // The time of a single change must not grow with the fleet.
  for (const char* figure : { "job, us at ", "start, us at ", "end, us at " }) {
    const std::string name = figure;
    report.AddBound(name + "350 beside 50",
                    report.Get(name + "350") / report.Get(name + "50"),
                    0.1,
                    4);
  }
  return report.Finish();
}
