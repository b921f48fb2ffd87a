// Measures what workspaces add: to a call at an entry and at the leader with
// 10,000 keys, to a placement pass of a large fleet, and to an election.

#include "bamboostile/http/authorization.h"
#include "bamboostile/placement/planner.h"
#include "bamboostile/placement/workspace_accounts.h"
#include "bamboostile/workspaces/directory.h"

#include "report.h"

#include <algorithm>
#include <chrono>
#include <iostream>

namespace {

using namespace bamboostile;

constexpr std::size_t kWorkers = 3000;
constexpr std::size_t kPools = 126;
constexpr std::size_t kWorkspaces = 640;
constexpr std::size_t kJobs = 3000;
constexpr std::size_t kTasksPerJob = 4;
constexpr std::size_t kKeys = 10'000;
constexpr std::size_t kCalls = 10'000;
constexpr int kSamples = 9;
constexpr TimePoint kNow{ Millis{ 1'000'000 } };
constexpr double kMaxPassRatio = 1.2;
constexpr double kMaxLookupRatio = 4;
constexpr std::size_t kAcceptedJobs = 10'000;
/** Sorting accounts for a factor of 1.3, and caches hold a table of 1,000 jobs.
 */
constexpr double kMaxRebuildRatio = 4;

using Clock = std::chrono::steady_clock;

double
MicrosSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(Clock::now() - aStart)
    .count();
}

double
Median(std::vector<double> aSamples)
{
  const auto middle = aSamples.begin() + aSamples.size() / 2;
  std::nth_element(aSamples.begin(), middle, aSamples.end());
  return *middle;
}

std::string
Name(const char* aKind, std::size_t aNumber)
{
  return std::string{ aKind } + std::to_string(10'000 + aNumber);
}

std::vector<workspaces::Workspace>
MakeWorkspaces()
{
  std::vector<workspaces::Workspace> workspaces;
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    workspaces.push_back(
      { WorkspaceId{ Name("team-", i) }, {}, 1, { 1'000'000, 1'000'000, 0 } });
  }
  return workspaces;
}

/** A fleet with one pending job for each worker. */
class LargeFleet
{
public:
  explicit LargeFleet(bool aHasWorkspaces)
  {
    fleet::RouteTable table;
    table.m_version = 1;
    for (std::size_t i = 0; i < kPools; ++i) {
      const ServiceId service{ Name("s-", i) };
      table.m_services.push_back({ service, true, false });
      fleet::QueueRoute& route = table.m_routes.emplace_back();
      route.m_name = Name("q-", i);
      route.m_pathPrefix = "/" + route.m_name + "/";
      route.m_service = service;
      route.m_timeout = Millis{ 3000 };
    }
    if (aHasWorkspaces) {
      table.m_workspaces = MakeWorkspaces();
    }
    Apply(Index{ 1 }, fleet::ReplaceRoutes{ table });
    jobs::Batch submissions;
    for (std::size_t i = 0; i < kJobs; ++i) {
      const WorkspaceId workspace{ aHasWorkspaces
                                     ? Name("team-", i % kWorkspaces)
                                     : std::string{} };
      submissions.m_changes.emplace_back(
        jobs::Submit{ JobId{ Name("5c0e7a21d94b", i) },
                      QueueId{ "/" + Name("q-", i % kPools) + "/" },
                      MakeSpec(),
                      WallTime{ 1 },
                      workspace });
    }
    Apply(Index{ 2 }, submissions);
    for (std::size_t i = 0; i < kWorkers; ++i) {
      ReportWorker(i);
    }
  }

  placement::Plan ComputePlan()
  {
    return m_planner.ComputePlan(m_state, m_table, {}, kNow, WallTime{ 1 });
  }

private:
  static jobs::JobSpec MakeSpec()
  {
    jobs::StepSpec step;
    step.m_count = kTasksPerJob;
    step.m_resources = { 1000, 1000, 0 };
    step.m_estimate = Millis{ 1000 };
    return { "payload", { step }, 0, WallTime{}, Millis{} };
  }

  void Apply(Index aIndex, const fleet::Command& aCommand)
  {
    m_state.Apply(aIndex, aCommand);
  }

  void ReportWorker(std::size_t aWorker)
  {
    placement::WorkerReport report;
    report.m_worker = { WorkerId{ Name("i-7f3a9", aWorker) } };
    report.m_instance = InstanceId{ Name("m-", aWorker) };
    report.m_service = ServiceId{ Name("s-", aWorker % kPools) };
    report.m_capacity = { 8000, 32'000, 0 };
    report.m_sequence = 1;
    m_table.OnReport(report, m_state.Jobs(), kNow, WallTime{ 1 });
  }

  fleet::State m_state;
  placement::WorkerTable m_table{ placement::LeaseOptions{}, TimePoint{} };
  placement::Planner m_planner;
};

double
TimePass(LargeFleet& aFleet)
{
  const auto start = Clock::now();
  aFleet.ComputePlan();
  return MicrosSince(start);
}

void
MeasurePasses(benchmark::Report& aReport)
{
  LargeFleet without(false);
  LargeFleet with(true);
  std::vector<double> withoutMicros;
  std::vector<double> withMicros;
  // Alternating, so that both see the same load of the machine.
  for (int i = 0; i < kSamples; ++i) {
    withoutMicros.push_back(TimePass(without));
    withMicros.push_back(TimePass(with));
  }
  aReport.Set("pass without workspaces, us", Median(withoutMicros));
  aReport.Set("pass with workspaces, us", Median(withMicros));
  aReport.AddBound("pass with workspaces beside without",
                   Median(withMicros) / Median(withoutMicros),
                   0,
                   kMaxPassRatio);
}

std::string
KeyNumber(std::size_t aNumber)
{
  return Name("pqk8bdk9eevyxq2yyaza", aNumber);
}

workspaces::Directory
MakeDirectory(std::size_t aKeys)
{
  std::vector<workspaces::Workspace> workspaces(1);
  workspaces[0].m_id = WorkspaceId{ "team" };
  for (std::size_t i = 0; i < aKeys; ++i) {
    workspaces[0].m_keys.push_back(workspaces::DigestKey(KeyNumber(i)));
  }
  return workspaces::Directory(workspaces);
}

/** Time of a lookup at the leader. */
double
TimeLookup(std::size_t aKeys)
{
  const workspaces::Directory directory = MakeDirectory(aKeys);
  std::vector<double> micros;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const auto digest = workspaces::DigestKey(KeyNumber(i % aKeys));
    const auto start = Clock::now();
    const auto found = directory.Find(digest);
    micros.push_back(MicrosSince(start));
    if (!found) {
      std::cout << "a key was not found\n";
    }
  }
  return Median(micros);
}

/** Time to read a call's key at an entry, which knows no keys. */
double
TimeDigest()
{
  std::vector<double> micros;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const http::Headers headers{ { "Host", "pule25.example" },
                                 { "Content-Type", "application/json" },
                                 { "Authorization",
                                   "Bearer " + KeyNumber(i) } };
    const auto start = Clock::now();
    const auto digest = workspaces::DigestKey(http::BearerToken(headers));
    micros.push_back(MicrosSince(start));
  }
  return Median(micros);
}

void
MeasureCalls(benchmark::Report& aReport)
{
  constexpr std::size_t kFewKeys = 10;
  aReport.Set("key at the entry, us", TimeDigest());
  aReport.Set("key at the leader, us", TimeLookup(kKeys));
  aReport.Set("key at the leader with 10 keys, us", TimeLookup(kFewKeys));
  aReport.AddBound("lookup with 10,000 keys beside 10",
                   aReport.Get("key at the leader, us") /
                     aReport.Get("key at the leader with 10 keys, us"),
                   0,
                   kMaxLookupRatio);
}

/** Time per job in which a new leader rebuilds the shares of all workspaces. */
double
TimeRebuild(std::size_t aJobs)
{
  constexpr std::int64_t kSpacingMs = 18;
  fleet::State state;
  fleet::RouteTable table;
  table.m_version = 1;
  table.m_workspaces = MakeWorkspaces();
  state.Apply(Index{ 1 }, fleet::Command{ fleet::ReplaceRoutes{ table } });
  jobs::Batch submissions;
  for (std::size_t i = 0; i < aJobs; ++i) {
    const WallTime at{ static_cast<std::int64_t>(i) * kSpacingMs };
    submissions.m_changes.emplace_back(
      jobs::Submit{ JobId{ Name("5c0e7a21d94b", i) },
                    QueueId{ "/q/" },
                    {},
                    at,
                    WorkspaceId{ Name("team-", i % kWorkspaces) } });
  }
  state.Apply(Index{ 2 }, fleet::Command{ submissions });
  const WallTime wall{ static_cast<std::int64_t>(aJobs) * kSpacingMs };
  std::vector<double> micros;
  for (int i = 0; i < kSamples; ++i) {
    const auto start = Clock::now();
    placement::RebuildShares(state, wall, kNow);
    micros.push_back(MicrosSince(start));
  }
  return Median(micros) / static_cast<double>(aJobs);
}

void
MeasureElection(benchmark::Report& aReport)
{
  constexpr std::size_t kFewJobs = 1000;
  const double perJob = TimeRebuild(kAcceptedJobs);
  aReport.Set("shares of 10,000 jobs rebuilt, us",
              perJob * static_cast<double>(kAcceptedJobs));
  aReport.AddBound("shares per job with 10,000 jobs beside 1,000",
                   perJob / TimeRebuild(kFewJobs),
                   0,
                   kMaxRebuildRatio);
}

} // namespace

int
main()
{
  benchmark::Report report("workspaces");
  MeasurePasses(report);
  MeasureElection(report);
  MeasureCalls(report);
  for (const char* figure : { "pass without workspaces, us",
                              "pass with workspaces, us",
                              "key at the entry, us",
                              "key at the leader, us",
                              "shares of 10,000 jobs rebuilt, us" }) {
    std::cout << figure << ": " << report.Get(figure) << "\n";
  }
  return report.Finish();
}
