#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/placement/planner.h"
#include "bamboostile/placement/workers.h"

#include <string>

/** Builders of jobs, routes and reports for the placement tests. */
namespace job_fixtures {

using namespace bamboostile;

inline TimePoint
At(std::int64_t aMs)
{
  return TimePoint{ Millis{ aMs } };
}

inline jobs::StepSpec
Step(std::uint32_t aCount, std::uint32_t aCpuMillis = 1000)
{
  jobs::StepSpec step;
  step.m_count = aCount;
  step.m_resources = { aCpuMillis, 100, 0 };
  step.m_estimate = Millis{ 1000 };
  return step;
}

inline jobs::JobSpec
Spec(std::vector<jobs::StepSpec> aSteps)
{
  jobs::JobSpec spec;
  spec.m_payload = "payload";
  spec.m_steps = std::move(aSteps);
  return spec;
}

/** An incarnation; a start time of 0 means that it is unknown. */
inline WorkerIncarnation
Life(const std::string& aWorker, std::int64_t aStartedAt = 0)
{
  return { WorkerId{ aWorker }, WallTime{ aStartedAt } };
}

inline jobs::TaskRef
Ref(const std::string& aJob, std::uint32_t aIndex = 0, std::uint32_t aStep = 0)
{
  return { JobId{ aJob }, 0, aStep, aIndex };
}

inline placement::WorkerReport
Report(const std::string& aWorker, std::uint64_t aSequence)
{
  placement::WorkerReport report;
  report.m_worker = Life(aWorker);
  report.m_instance = InstanceId{ "instance-of-" + aWorker };
  report.m_service = ServiceId{ "desk" };
  report.m_capacity = { 4000, 4000, 0 };
  report.m_sequence = aSequence;
  return report;
}

inline placement::RunReport
Active(const jobs::TaskRef& aTask, std::uint32_t aRun = 1)
{
  placement::RunReport run;
  run.m_task = aTask;
  run.m_run = RunNumber{ aRun };
  run.m_percent = 100;
  return run;
}

inline placement::EndReport
End(std::uint64_t aNumber,
    const jobs::TaskRef& aTask,
    jobs::RunEnd aEnd,
    std::uint32_t aRun = 1)
{
  return { aNumber, aTask, RunNumber{ aRun }, aEnd, "" };
}

/** The replicated state with one queue, "host/q/", of the service "desk". */
class Fleet
{
public:
  Fleet()
  {
    fleet::RouteTable table;
    table.m_version = 1;
    table.m_services.push_back({ ServiceId{ "desk" }, true, false });
    fleet::QueueRoute route;
    route.m_name = "q";
    route.m_host = "host";
    route.m_pathPrefix = "/q/";
    route.m_service = ServiceId{ "desk" };
    route.m_timeout = Millis{ 3000 };
    route.m_objective = Millis{ 3600 };
    route.m_maxAttempts = 3;
    table.m_routes.push_back(route);
    Do(fleet::ReplaceRoutes{ table });
  }

  void Do(const fleet::Command& aCommand)
  {
    m_index = Next(m_index);
    m_state.Apply(m_index, aCommand);
  }

  void Apply(std::vector<jobs::Change> aChanges)
  {
    Do(jobs::Batch{ std::move(aChanges) });
  }

  /** Adds the service "desk-N" with a queue, "host/qN/". */
  void AddService(std::uint32_t aNumber)
  {
    const std::string number = std::to_string(aNumber);
    fleet::RouteTable table = m_state.Routes();
    ++table.m_version;
    table.m_services.push_back({ ServiceId{ "desk-" + number }, true, false });
    fleet::QueueRoute route = table.m_routes.front();
    route.m_name = "q" + number;
    route.m_pathPrefix = "/q" + number + "/";
    route.m_service = table.m_services.back().m_id;
    table.m_routes.push_back(route);
    Do(fleet::ReplaceRoutes{ table });
  }

  /** aQueue: the number of an added service; 0 for "desk". */
  void Submit(const std::string& aJob,
              jobs::JobSpec aSpec,
              std::int64_t aAtMs = 0,
              const std::string& aWorkspace = "",
              std::uint32_t aQueue = 0)
  {
    const std::string queue = aQueue == 0 ? "" : std::to_string(aQueue);
    Apply({ jobs::Submit{ JobId{ aJob },
                          QueueId{ "host/q" + queue + "/" },
                          std::move(aSpec),
                          WallTime{ aAtMs },
                          WorkspaceId{ aWorkspace } } });
  }

  /** Puts a table with these workspaces in force. */
  void SetWorkspaces(std::vector<workspaces::Workspace> aWorkspaces)
  {
    fleet::RouteTable table = m_state.Routes();
    ++table.m_version;
    table.m_workspaces = std::move(aWorkspaces);
    Do(fleet::ReplaceRoutes{ table });
  }

  void Start(const jobs::TaskRef& aTask,
             const std::string& aWorker,
             std::uint32_t aRun = 1)
  {
    Apply({ jobs::StartRun{ aTask, RunNumber{ aRun }, Life(aWorker) } });
  }

  void End(const jobs::TaskRef& aTask,
           jobs::RunEnd aEnd,
           std::uint32_t aRun = 1)
  {
    Apply(
      { jobs::EndRun{ aTask, RunNumber{ aRun }, aEnd, "", WallTime{ 5 } } });
  }

  jobs::JobState StateOf(const std::string& aJob) const
  {
    return m_state.Jobs().Find(JobId{ aJob })->m_state;
  }

  /** Replaces the state by its own snapshot, as another replica would. */
  void Restore() { m_state = *fleet::State::Decode(m_state.Encode()); }

  const fleet::State& State() const { return m_state; }
  const jobs::JobTable& Book() const { return m_state.Jobs(); }

private:
  Index m_index;
  fleet::State m_state;
};

} // namespace job_fixtures
