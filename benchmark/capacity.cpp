// Measures a tick of the capacity planner at the leader with 350 workers, 1,000
// open jobs and 4,000 running tasks, and how its time grows with each of them.

#include "bamboostile/placement/capacity.h"

#include "report.h"

#include <chrono>
#include <iostream>

namespace {

using namespace bamboostile;

constexpr std::size_t kPools = 4;
constexpr std::uint32_t kTasksPerStep = 8;
constexpr std::size_t kImages = 40;
constexpr int kTicks = 200;
constexpr int kRuns = 5;
constexpr std::int64_t kTickMs = 100;

struct Size
{
  std::size_t m_workers;
  std::size_t m_jobs;
  std::size_t m_running;
};

std::string
PoolName(std::size_t aNumber)
{
  return "pool-of-queue-" + std::to_string(aNumber % kPools);
}

WorkerIncarnation
WorkerOf(std::size_t aNumber)
{
  return { WorkerId{ "i-7f3a9" + std::to_string(10'000 + aNumber) },
           WallTime{ 1'700'000'000'000 } };
}

JobId
JobOf(std::size_t aNumber)
{
  return JobId{ "5c0e7a21d94b" + std::to_string(10'000 + aNumber) };
}

/** Three steps in a chain, as the jobs of a day have them. */
jobs::JobSpec
MakeSpec(std::size_t aNumber)
{
  jobs::JobSpec spec;
  spec.m_payload = std::string(1000, 'x');
  for (std::uint32_t s = 0; s < 3; ++s) {
    jobs::StepSpec& step = spec.m_steps.emplace_back();
    step.m_count = kTasksPerStep;
    step.m_resources = { 1000, 1000, 0 };
    step.m_estimate = Millis{ 1000 };
    step.m_image = ImageId{ "registry/team/image-" +
                            std::to_string((aNumber + s) % kImages) };
    if (s > 0) {
      step.m_dependsOn = { s - 1 };
    }
  }
  return spec;
}

class Bench
{
public:
  explicit Bench(const Size& aSize)
    : m_size(aSize)
  {
    AddRoutes();
    AddJobs();
    for (std::size_t i = 0; i < kImages; ++i) {
      m_durations.Record(MakeSpec(i).m_steps[0], Millis{ 900 });
    }
    for (std::size_t i = 0; i < m_size.m_workers; ++i) {
      ReportWorker(i);
    }
  }

  /** Returns the time of a tick in microseconds, the fastest of several runs.
   */
  double MeasureTick()
  {
    double best = 0;
    for (int run = 0; run < kRuns; ++run) {
      const auto start = std::chrono::steady_clock::now();
      for (int i = 0; i < kTicks; ++i) {
        m_now += Millis{ kTickMs };
        m_planner.Next(
          m_state, m_table, {}, m_durations, m_record, m_now, WallTime{ 1 });
      }
      const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - start;
      const double tick = time.count() / kTicks;
      best = run == 0 ? tick : std::min(best, tick);
    }
    return best;
  }

private:
  void Apply(const fleet::Command& aCommand)
  {
    m_index = Next(m_index);
    m_state.Apply(m_index, aCommand);
  }

  void AddRoutes()
  {
    fleet::RouteTable table;
    table.m_version = 1;
    for (std::size_t i = 0; i < kPools; ++i) {
      table.m_services.push_back({ ServiceId{ PoolName(i) }, true, false });
      fleet::QueueRoute& route = table.m_routes.emplace_back();
      route.m_name = "q" + std::to_string(i);
      route.m_host = "jobs.example";
      route.m_pathPrefix = "/queue-" + std::to_string(i) + "/";
      route.m_service = ServiceId{ PoolName(i) };
      route.m_timeout = Millis{ 3000 };
      route.m_objective = Millis{ 3600 };
    }
    table.m_services.push_back({ ServiceId{ "standby" }, true, true });
    Apply(fleet::ReplaceRoutes{ table });
  }

  void AddJobs()
  {
    for (std::size_t i = 0; i < m_size.m_jobs; ++i) {
      const std::string queue =
        "jobs.example/queue-" + std::to_string(i % kPools) + "/";
      Apply(jobs::Batch{ { jobs::Submit{
        JobOf(i), QueueId{ queue }, MakeSpec(i), WallTime{ 1 } } } });
    }
    for (std::size_t i = 0; i < m_size.m_running; ++i) {
      const jobs::TaskRef task{ JobOf(i % m_size.m_jobs),
                                0,
                                0,
                                static_cast<std::uint32_t>(i / m_size.m_jobs) };
      Apply(jobs::Batch{ { jobs::StartRun{
        task, RunNumber{ 1 }, WorkerOf(i % m_size.m_workers) } } });
    }
  }

  void ReportWorker(std::size_t aWorker)
  {
    placement::WorkerReport report;
    report.m_worker = WorkerOf(aWorker);
    report.m_instance = InstanceId{ "m-" + std::to_string(aWorker) };
    report.m_service = ServiceId{ PoolName(aWorker) };
    report.m_capacity = { 32'000, 128'000, 0 };
    report.m_sequence = 1;
    m_table.OnReport(report, m_state.Jobs(), m_now, WallTime{ 1 });
  }

  Size m_size;
  Index m_index;
  TimePoint m_now{ Millis{ 1'000'000 } };
  fleet::State m_state;
  placement::DurationEstimator m_durations;
  placement::OrderRecord m_record{ Millis{ 3000 } };
  placement::WorkerTable m_table{ placement::LeaseOptions{}, TimePoint{} };
  placement::CapacityPlanner m_planner;
};

} // namespace

int
main()
{
  benchmark::Report report("capacity");
  const std::map<std::string, Size> sizes{
    { "350 workers, 1000 jobs, 4000 runs", { 350, 1000, 4000 } },
    { "350 workers, 1000 jobs, 400 runs", { 350, 1000, 400 } },
    { "350 workers, 4000 jobs, 4000 runs", { 350, 4000, 4000 } },
    { "3000 workers, 1000 jobs, 4000 runs", { 3000, 1000, 4000 } },
  };
  for (const auto& [name, size] : sizes) {
    report.Set("tick, us at " + name, Bench(size).MeasureTick());
    std::cout << "tick, us at " << name << ": "
              << report.Get("tick, us at " + name) << "\n";
  }
  return report.Finish();
}
