#include "job_fixtures.h"

#include "check.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <sstream>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

namespace {

constexpr int kRounds = 12;
constexpr std::int64_t kRoundMs = 300;
constexpr std::int64_t kFirstMs = 60'000;

std::ostream&
operator<<(std::ostream& aOut, const TaskRef& aTask)
{
  return aOut << aTask.m_job.Get() << '/' << aTask.m_occurrence << '/'
              << aTask.m_step << '/' << aTask.m_index;
}

/** Everything that a plan decides, one line each. */
std::string
Format(const Plan& aPlan, const std::vector<WorkspaceId>& aWorkspaces)
{
  std::ostringstream text;
  for (const Change& change : aPlan.m_changes) {
    const auto& start = std::get<StartRun>(change);
    text << "start " << start.m_task << " run " << start.m_run.Get() << " on "
         << start.m_worker.m_id.Get() << '\n';
  }
  for (const StopOrder& stop : aPlan.m_stops) {
    text << "stop " << stop.m_task << " run " << stop.m_run.Get() << '\n';
  }
  for (const ServiceId& service : aPlan.m_fullServices) {
    text << "full " << service.Get() << '\n';
  }
  for (const auto& [task, waiting] : aPlan.m_waiting) {
    text << "wait " << task << ' ' << Describe(waiting.m_reason) << ' '
         << waiting.m_isLongRunning << ' '
         << waiting.m_sinceLoss.value_or(Millis{ -1 }).count() << ' '
         << waiting.m_blockedBy.value_or(TaskRef{}) << '\n';
  }
  const auto add = [&](const char* aKind, const workspaces::Account& aAccount) {
    const workspaces::Resources& used = aAccount.Used();
    text << aKind << ' ' << used.m_cpuMillis << ' ' << used.m_memoryMb << ' '
         << used.m_accelerators << ' ' << aAccount.MayStart({ 1, 1, 1 })
         << '\n';
  };
  for (const WorkspaceId& workspace : aWorkspaces) {
    const auto* account = aPlan.m_accounts.Find(workspace);
    add(("use of " + workspace.Get()).c_str(),
        account == nullptr ? workspaces::Account{} : *account);
  }
  for (const auto& [workspace, account] : aPlan.m_atCap) {
    add(("cap of " + workspace.Get()).c_str(), account);
  }
  return text.str();
}

unsigned
SeedCount()
{
  constexpr unsigned kDefault = 300;
  const char* seedCount = std::getenv("BAMBOOSTILE_SEEDS");
  return seedCount == nullptr ? kDefault : std::stoul(seedCount);
}

/** A fleet of three pools that changes at random between passes. */
class RandomFleet
{
public:
  explicit RandomFleet(unsigned aSeed)
    : m_random(aSeed)
    , m_load(1 + Below(12))
  {
    fleet::RouteTable table;
    table.m_version = 2;
    for (std::uint32_t i = 0; i < 3; ++i) {
      const std::string name = "q" + std::to_string(i);
      table.m_services.push_back({ ServiceId{ name }, true, false });
      fleet::QueueRoute& route = table.m_routes.emplace_back();
      route.m_name = name;
      route.m_host = "host";
      route.m_pathPrefix = "/" + name + "/";
      route.m_service = ServiceId{ name };
      route.m_timeout = Millis{ 3000 };
      route.m_objective = Millis{ Below(2) * 1000 };
      route.m_priority = Below(3);
      route.m_maxAttempts = 50;
    }
    if (IsOneIn(2)) {
      table.m_workspaces.emplace();
      for (const WorkspaceId& id : m_ids) {
        workspaces::Workspace& workspace = table.m_workspaces->emplace_back();
        workspace.m_id = id;
        workspace.m_cap = { Below(3) * 20'000, Below(2) * 40'000, 0 };
      }
    }
    m_fleet.Do(fleet::ReplaceRoutes{ table });
    const std::uint32_t workers = 3 + Below(40);
    for (std::uint32_t i = 0; i < workers; ++i) {
      AddWorker(i);
    }
    for (const Mechanism mechanism :
         { Mechanism::kRoomForLarge, Mechanism::kPacking }) {
      if (IsOneIn(12)) {
        m_mechanisms.SwitchOff(mechanism);
      }
    }
    m_planner = Planner{ m_mechanisms };
    m_reference = Planner{ m_mechanisms, Search::kScan };
  }

  /** Changes the fleet and plans in both ways. */
  void PlayRound()
  {
    m_now += kRoundMs;
    for (std::uint32_t i = Below(m_load * 2); i > 0; --i) {
      SubmitJob();
    }
    EndRuns();
    for (WorkerReport& worker : m_workers) {
      if (!IsOneIn(12)) {
        ReportWorker(worker);
      }
    }
    m_cordoned.clear();
    if (IsOneIn(3)) {
      m_cordoned.insert(AnyWorker().m_worker);
    }
    const Plan plan = MakePlan(m_planner);
    m_text = Format(plan, m_ids);
    m_referenceText = Format(MakePlan(m_reference), m_ids);
    m_fleet.Apply(plan.m_changes);
  }

  /** Whether the sums that the state keeps up to date are those that a replica
   * computes from a snapshot. */
  bool IsEqualToSnapshot() const
  {
    const auto restored = fleet::State::Decode(m_fleet.State().Encode());
    const JobTable& kept = m_fleet.Book();
    const JobTable& computed = restored->Jobs();
    return kept.UseByWorker() == computed.UseByWorker() &&
           kept.UseByWorkspace() == computed.UseByWorkspace() &&
           kept.StartableJobs() == computed.StartableJobs();
  }

  const std::string& Text() const { return m_text; }
  const std::string& ReferenceText() const { return m_referenceText; }

private:
  std::uint32_t Below(std::uint32_t aLimit)
  {
    return static_cast<std::uint32_t>(m_random() >> 8U) % aLimit;
  }
  bool IsOneIn(std::uint32_t aCount) { return Below(aCount) == 0; }
  template<typename T>
  T AnyOf(const std::vector<T>& aValues)
  {
    return aValues[Below(static_cast<std::uint32_t>(aValues.size()))];
  }
  WorkerReport& AnyWorker()
  {
    return m_workers[Below(static_cast<std::uint32_t>(m_workers.size()))];
  }
  RackId AnyRack() { return RackId{ "r" + std::to_string(Below(4)) }; }

  void AddWorker(std::uint32_t aNumber)
  {
    WorkerReport report = Report("w" + std::to_string(aNumber), 0);
    report.m_service = ServiceId{ "q" + std::to_string(Below(3) * Below(2)) };
    report.m_rack = AnyRack();
    report.m_capacity = { 8000U << Below(3),
                          16'000U << Below(2),
                          IsOneIn(4) ? 2U : 0U };
    if (IsOneIn(3)) {
      report.m_labels = { "big" };
    }
    m_workers.push_back(report);
  }

  StepSpec AnyStep()
  {
    StepSpec step = Step(1 + Below(6));
    step.m_resources.m_cpuMillis =
      AnyOf<std::uint32_t>({ 100, 500, 1000, 1000, 2500, 4000, 9000, 16'000 });
    step.m_resources.m_memoryMb =
      AnyOf<std::uint32_t>({ 100, 100, 1000, 4000, 15'000 });
    step.m_resources.m_accelerators = IsOneIn(15) ? 1 : 0;
    step.m_estimate = Millis{ 200 + Below(4000) };
    step.m_image = ImageId{ IsOneIn(2) ? "image" : "" };
    step.m_requiredLabel = IsOneIn(8) ? "big" : "";
    step.m_maxPerWorker = IsOneIn(6) ? 1 + Below(2) : 0;
    step.m_preferredRack = IsOneIn(4) ? AnyRack() : RackId{};
    step.m_gang = IsOneIn(8);
    step.m_longRunning = IsOneIn(9);
    step.m_bestEffort = IsOneIn(10);
    step.m_latencyTarget = Millis{ IsOneIn(10) ? 50 : 0 };
    return step;
  }

  void SubmitJob()
  {
    JobSpec spec = Spec({ AnyStep() });
    if (IsOneIn(3)) {
      spec.m_steps.push_back(AnyStep());
      spec.m_steps.back().m_dependsOn = { 0 };
    }
    if (IsOneIn(3)) {
      spec.m_steps.push_back(AnyStep());
    }
    if (IsOneIn(10)) {
      spec.m_repeatCount = 3;
      spec.m_startAt = WallTime{ m_now };
      spec.m_interval = Millis{ 500 };
    }
    const std::string queue = "host/q" + std::to_string(Below(3)) + "/";
    Submit submit{ JobId{ "job-" + std::to_string(++m_jobs) },
                   QueueId{ queue },
                   spec,
                   WallTime{ m_now - Below(3000) },
                   AnyOf(m_ids) };
    submit.m_isBeyondShare = IsOneIn(6);
    m_fleet.Apply({ submit });
  }

  /** Runs end as done, failed or with their worker, which makes suspects. */
  void EndRuns()
  {
    std::vector<Change> changes;
    for (const auto& [worker, tasks] : m_fleet.Book().TasksByWorker()) {
      const bool isLost = IsOneIn(30);
      for (const TaskRef& task : tasks) {
        EndRun end;
        end.m_task = task;
        end.m_run = m_fleet.Book().FindTask(task)->m_lastRun;
        end.m_at = WallTime{ m_now };
        if (isLost) {
          end.m_endReason = RunEnd::kWorkerLost;
          end.m_evidence = AnyOf<CrashEvidence>({ CrashEvidence::kNone,
                                                  CrashEvidence::kRunning,
                                                  CrashEvidence::kStarting,
                                                  CrashEvidence::kIsolated });
          end.m_lostInstance = InstanceId{ "instance-of-" + worker.m_id.Get() };
          changes.emplace_back(end);
        } else if (IsOneIn(8)) {
          end.m_endReason = IsOneIn(5) ? RunEnd::kFailed : RunEnd::kDone;
          changes.emplace_back(end);
        }
      }
    }
    m_fleet.Apply(std::move(changes));
    const StepSpec step = AnyStep();
    const Millis duration{ m_load * 300 };
    m_planner.RecordDuration(step, duration);
    m_reference.RecordDuration(step, duration);
  }

  void ReportWorker(WorkerReport& aWorker)
  {
    ++aWorker.m_sequence;
    aWorker.m_draining = IsOneIn(15);
    aWorker.m_active.clear();
    const auto& byWorker = m_fleet.Book().TasksByWorker();
    const auto placed = byWorker.find(aWorker.m_worker);
    if (placed != byWorker.end()) {
      for (const TaskRef& task : placed->second) {
        if (!IsOneIn(6)) {
          aWorker.m_active.push_back(
            Active(task, m_fleet.Book().FindTask(task)->m_lastRun.Get()));
        }
      }
    }
    if (IsOneIn(30)) {
      aWorker.m_active.push_back(Active(Ref("job-1", 5)));
    }
    const auto result =
      m_table.OnReport(aWorker, m_fleet.Book(), At(m_now), WallTime{ m_now });
    m_fleet.Apply({ result.m_ends.begin(), result.m_ends.end() });
  }

  Plan MakePlan(Planner& aPlanner)
  {
    return aPlanner.ComputePlan(
      m_fleet.State(), m_table, m_cordoned, At(m_now), WallTime{ m_now });
  }

  std::mt19937 m_random;
  std::uint32_t m_load;
  std::int64_t m_now = kFirstMs;
  std::uint32_t m_jobs = 0;
  Fleet m_fleet;
  WorkerTable m_table{ LeaseOptions{}, At(0) };
  std::vector<WorkerReport> m_workers;
  std::vector<WorkspaceId> m_ids{ WorkspaceId{ "a" },
                                  WorkspaceId{ "b" },
                                  WorkspaceId{} };
  std::set<WorkerIncarnation> m_cordoned;
  Mechanisms m_mechanisms;
  Planner m_planner;
  Planner m_reference;
  std::string m_text;
  std::string m_referenceText;
};

} // namespace

TEST_GROUP(PlacementPass){};

// Guards against a pass that decides otherwise than a plain scan of all workers
// for each task: an index that is not kept up to date, or a task that is not
// tried though it would find a worker.
TEST(PlacementPass, RandomFleets_PlansEqualThoseOfAScan)
{
  std::size_t lines = 0;
  for (unsigned seed = 1; seed <= SeedCount(); ++seed) {
    RandomFleet fleet(seed);
    for (int round = 0; round < kRounds; ++round) {
      fleet.PlayRound();
      if (fleet.ReferenceText() != fleet.Text()) {
        FAIL(("seed " + std::to_string(seed) + ", round " +
              std::to_string(round) + ", expected:\n" + fleet.ReferenceText() +
              "but was:\n" + fleet.Text())
               .c_str());
      }
      lines += static_cast<std::size_t>(
        std::count(fleet.Text().begin(), fleet.Text().end(), '\n'));
    }
  }
  CHECK(lines > 20 * kRounds * SeedCount());
}

// Guards against a worker that counts as fuller or emptier than it is, and a
// job that is never looked at, because a change of a task was not counted.
TEST(PlacementPass, RandomFleets_SumsEqualThoseOfASnapshot)
{
  constexpr unsigned kSeedsDivisor = 4;
  for (unsigned seed = 1; seed <= SeedCount() / kSeedsDivisor; ++seed) {
    RandomFleet fleet(seed);
    for (int round = 0; round < kRounds; ++round) {
      fleet.PlayRound();
      CHECK(fleet.IsEqualToSnapshot());
    }
  }
}
