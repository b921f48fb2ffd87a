// Measures the leader's time and log bytes for one job, start, end and report,
// and how the time of a placement pass grows with the number of workers.
// `bench_jobs passes WORKERS COUNT` only runs passes of a full fleet, for a
// profiler.

#include "bamboostile/placement/planner.h"

#include "report.h"

#include <algorithm>
#include <array>
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
    const std::string bytes =
      fleet::EncodeCommand(aCommand, fleet::kStateVersion);
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

constexpr std::size_t kQueues = 1;
constexpr std::size_t kWaitingTasks = 4000;
constexpr std::uint32_t kFleetWorkerCpuMillis = 32'000;
constexpr std::uint32_t kFleetWorkerMemoryMb = 64'000;
/** One running task in this many ends before a pass with free capacity. */
constexpr std::size_t kEndedTasksDivisor = 50;

/** A pass must cost at most this part of one that compares all workers for each
 * task. Both share the other stages, so that the part is larger in a small pool
 * and for a machine under load. */
constexpr double kMaxRatioToScan = 0.8;
/** 3,000 workers are 8.6 times 350; the time of a pass may grow in proportion,
 * with a margin for caches that are too small for the larger fleet. */
constexpr double kMaxGrowth = 12;

/** A pool without free capacity, and tasks of several sizes that
 * wait for it. */
class FullFleet
{
public:
  explicit FullFleet(std::size_t aWorkers)
  {
    fleet::RouteTable table;
    table.m_version = 1;
    for (std::size_t i = 0; i < kQueues; ++i) {
      const ServiceId service{ "service-" + std::to_string(i) };
      table.m_services.push_back({ service, true, false });
      fleet::QueueRoute& route = table.m_routes.emplace_back();
      route.m_name = "queue-" + std::to_string(i);
      route.m_host = "host";
      route.m_pathPrefix = "/" + route.m_name + "/";
      route.m_service = service;
      route.m_timeout = Millis{ 3000 };
      route.m_objective = Millis{ 3000 };
    }
    Apply(fleet::ReplaceRoutes{ table });
    for (std::size_t i = 0; i < aWorkers; ++i) {
      ReportWorker(i);
    }
    while (StartPlanned()) {
      SubmitTasks(kWaitingTasks / 4);
    }
    // What is waiting now is topped up to the number under measurement.
    SubmitTasks(kWaitingTasks - std::min(kWaitingTasks, CountWaiting()));
  }

  placement::Plan ComputePlan(
    placement::Search aSearch = placement::Search::kIndexed)
  {
    return placement::Planner{ {}, aSearch }.ComputePlan(
      m_state, m_table, {}, kNow, WallTime{ 2000 });
  }

  /** Ends some of the running tasks, spread over the fleet. */
  void EndSome()
  {
    jobs::Batch ends;
    std::size_t number = 0;
    for (std::size_t i = 0; i < m_started.size(); i += kEndedTasksDivisor) {
      const jobs::StartRun& start = m_started[i];
      ends.m_changes.emplace_back(jobs::EndRun{
        start.m_task, start.m_run, jobs::RunEnd::kDone, "", WallTime{ 2000 } });
      ++number;
    }
    Apply(ends);
  }

  std::size_t CountWaiting() const { return m_submitted - m_started.size(); }
  std::size_t CountRunning() const { return m_started.size(); }

private:
  void Apply(const fleet::Command& aCommand)
  {
    m_index = Next(m_index);
    m_state.Apply(m_index, aCommand);
  }

  bool StartPlanned()
  {
    const placement::Plan plan = ComputePlan();
    for (const jobs::Change& change : plan.m_changes) {
      m_started.push_back(std::get<jobs::StartRun>(change));
    }
    Apply(jobs::Batch{ plan.m_changes });
    return m_submitted == 0 || !plan.m_changes.empty();
  }

  void SubmitTasks(std::size_t aCount)
  {
    constexpr std::array<std::uint32_t, 6> kCpuMillis{ 500,  1000, 1500,
                                                       2000, 4000, 10'000 };
    constexpr std::array<std::uint32_t, 4> kTasks{ 1, 2, 5, 8 };
    jobs::Batch submissions;
    for (std::size_t tasks = 0; tasks < aCount; ++m_jobs) {
      jobs::StepSpec step;
      step.m_count = kTasks[m_jobs / kQueues % kTasks.size()];
      step.m_resources.m_cpuMillis =
        kCpuMillis[m_jobs / kQueues % kCpuMillis.size()];
      step.m_resources.m_memoryMb = step.m_resources.m_cpuMillis;
      step.m_estimate = Millis{ 1000 };
      step.m_image = ImageId{ "image-" + std::to_string(m_jobs % 20) };
      jobs::StepSpec next = step;
      next.m_count = 1;
      next.m_dependsOn = { 0 };
      jobs::JobSpec spec;
      spec.m_steps = { step, next };
      submissions.m_changes.emplace_back(jobs::Submit{
        JobId{ JobName(m_jobs) },
        QueueId{ "host/queue-" + std::to_string(m_jobs % kQueues) + "/" },
        spec,
        WallTime{ static_cast<std::int64_t>(m_jobs % 1000) } });
      tasks += step.m_count;
      m_submitted += step.m_count;
    }
    Apply(submissions);
  }

  void ReportWorker(std::size_t aWorker)
  {
    placement::WorkerReport report;
    report.m_worker = { WorkerId{ WorkerName(aWorker) }, WallTime{ 1 } };
    report.m_instance = InstanceId{ "m-" + std::to_string(aWorker) };
    report.m_service =
      ServiceId{ "service-" + std::to_string(aWorker % kQueues) };
    report.m_capacity = { kFleetWorkerCpuMillis, kFleetWorkerMemoryMb, 0 };
    report.m_sequence = 1;
    m_table.OnReport(report, m_state.Jobs(), kNow, WallTime{ 1 });
  }

  Index m_index;
  fleet::State m_state;
  placement::WorkerTable m_table{ placement::LeaseOptions{}, TimePoint{} };
  std::size_t m_jobs = 0;
  std::size_t m_submitted = 0;
  std::vector<jobs::StartRun> m_started;
};

/** Median times of passes that plan in both ways, alternating, so that both see
 * the same load of the machine. */
struct PassTimes
{
  explicit PassTimes(FullFleet& aFleet)
  {
    std::vector<double> indexed;
    std::vector<double> scan;
    for (int i = 0; i < kPlanningPasses; ++i) {
      indexed.push_back(Time(aFleet, placement::Search::kIndexed));
      scan.push_back(Time(aFleet, placement::Search::kScan));
    }
    m_indexedMicros = benchmark::Quantile(indexed, 0.5);
    m_scanMicros = benchmark::Quantile(scan, 0.5);
  }

  static double Time(FullFleet& aFleet, placement::Search aSearch)
  {
    const auto start = std::chrono::steady_clock::now();
    aFleet.ComputePlan(aSearch);
    return MicrosSince(start, 1);
  }

  double m_indexedMicros = 0;
  double m_scanMicros = 0;
};

void
AddFigures(const std::string& aPass,
           const std::string& aWorkers,
           const PassTimes& aTimes,
           benchmark::Report& aReport)
{
  aReport.Set(aPass + ", us at " + aWorkers, aTimes.m_indexedMicros);
  aReport.Set(aPass + " by scan, us at " + aWorkers, aTimes.m_scanMicros);
  aReport.AddBound(aPass + " beside a scan at " + aWorkers,
                   aTimes.m_indexedMicros / aTimes.m_scanMicros,
                   0,
                   kMaxRatioToScan);
  std::cout << aPass << ", us at " << aWorkers << ": " << aTimes.m_indexedMicros
            << ", by scan " << aTimes.m_scanMicros << "\n";
}

/** Passes of pools of three sizes with the same number of waiting tasks. */
void
MeasureFullFleets(benchmark::Report& aReport)
{
  for (const std::size_t workers : { 350UL, 875UL, 3000UL }) {
    FullFleet fleet(workers);
    const std::string count = std::to_string(workers);
    std::cout << "pool of " << count << ": " << fleet.CountRunning()
              << " tasks running, " << fleet.CountWaiting() << " waiting\n";
    AddFigures("pass of a full pool", count, PassTimes(fleet), aReport);
    fleet.EndSome();
    AddFigures(
      "pass with some capacity free", count, PassTimes(fleet), aReport);
  }
  aReport.AddBound("pass of a full pool at 3000 beside 350",
                   aReport.Get("pass of a full pool, us at 3000") /
                     aReport.Get("pass of a full pool, us at 350"),
                   0,
                   kMaxGrowth);
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc == 4 && std::string(argv[1]) == "passes") {
    FullFleet fleet(std::stoul(argv[2]));
    for (std::size_t i = 0; i < std::stoul(argv[3]); ++i) {
      fleet.ComputePlan();
    }
    return 0;
  }
  benchmark::Report report("jobs");
  MeasureFullFleets(report);
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
