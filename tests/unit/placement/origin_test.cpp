#include "bamboostile/placement/origin.h"

#include "check.h"
#include "job_fixtures.h"

using namespace bamboostile;
using namespace job_fixtures;
using namespace placement;

/** The service "desk" with the worker "w1", which has started at 1000. */
TEST_GROUP(Origin)
{
  void setup() override
  {
    m_known.m_lastReport = OwnReport();
  }

  static WorkerReport OwnReport()
  {
    WorkerReport report = Report("w1", 7);
    report.m_worker = Life("w1", 1000);
    return report;
  }

  static WorkerReport ForeignReport(const WorkerIncarnation& aWorker)
  {
    WorkerReport report = OwnReport();
    report.m_worker = aWorker;
    report.m_service = ServiceId{ "another-fleet" };
    return report;
  }

  /** Replaces the services of the route table. */
  void SetServices(const std::vector<std::string>& aServices)
  {
    fleet::RouteTable table = m_fleet.State().Routes();
    ++table.m_version;
    table.m_services.clear();
    table.m_routes.clear();
    for (const std::string& service : aServices) {
      table.m_services.push_back({ ServiceId{ service }, true, false });
    }
    m_fleet.Do(fleet::ReplaceRoutes{ table });
  }

  void CheckReason(std::optional<IgnoreReason> aExpected,
                   const WorkerReport& aReport,
                   const Worker* aKnown = nullptr)
  {
    const auto reason = CheckOrigin(aReport, m_fleet.State(), aKnown);
    STRCMP_EQUAL(aExpected ? Describe(*aExpected) : "own",
                 reason ? Describe(*reason) : "own");
  }

  Fleet m_fleet;
  Worker m_known;
};

// Guards against runs that another fleet's report ends: they run twice.
TEST(Origin, ServiceIsUnknown_ReportIsIgnoredWhateverItSays)
{
  const auto variants = [](WorkerReport aReport) {
    std::vector<WorkerReport> reports(5, aReport);
    reports[1].m_active.push_back(Active(Ref("a")));
    reports[2].m_ended.push_back(End(1, Ref("a"), jobs::RunEnd::kDone));
    reports[3].m_draining = true;
    reports[3].m_remaining = Millis{ 500 };
    reports[4].m_sequence = 1'000'000;
    return reports;
  };
  for (const auto& worker :
       { Life("x", 2000), Life("w1", 2000), Life("w1", 1000), Life("w1") }) {
    for (const WorkerReport& report : variants(ForeignReport(worker))) {
      CheckReason(IgnoreReason::kUnknownService, report);
      CheckReason(IgnoreReason::kUnknownService, report, &m_known);
    }
  }
}

TEST(Origin, ServiceIsConfigured_ReportIsOwn)
{
  CheckReason(std::nullopt, OwnReport());
  CheckReason(std::nullopt, OwnReport(), &m_known);
}

// Guards against ends that are never accepted, and tasks that are done again,
// when a service is missing from the routes while its workers are at work.
TEST(Origin, ServiceIsRemoved_ReportsOfItsWorkersStayOwn)
{
  SetServices({ "other" });
  CheckReason(std::nullopt, OwnReport(), &m_known);
  CheckReason(std::nullopt, OwnReport());
  m_fleet.Restore();
  CheckReason(std::nullopt, OwnReport());
  SetServices({ "desk" });
  CheckReason(std::nullopt, OwnReport());
}

// Guards against a table of services that grows for as long as the fleet runs.
TEST(Origin, ManyServicesAreRemoved_OldestAreForgotten)
{
  for (int i = 0; i < 1100; ++i) {
    SetServices({ "service-" + std::to_string(i) });
  }
  CheckReason(IgnoreReason::kUnknownService, OwnReport());
  WorkerReport recent = OwnReport();
  recent.m_service = ServiceId{ "service-1000" };
  CheckReason(std::nullopt, recent);
}

// Guards against a maintenance wave that cannot begin before there are queues.
TEST(Origin, NoRoutesAreInForce_ReportIsOwn)
{
  CHECK_FALSE(CheckOrigin(OwnReport(), fleet::State{}, nullptr).has_value());
}

// Guards against a worker that is locked out for good: another program reported
// under its id and start time, with a higher sequence number, and is gone.
TEST(Origin, OtherProgramUnderTheSameIncarnationIsLost_WorkerIsAccepted)
{
  WorkerTable table{ {}, At(0) };
  WorkerReport foreign = ForeignReport(Life("w1", 1000));
  foreign.m_sequence = 1'000'000;
  table.OnReport(foreign, m_fleet.Book(), At(10'000), WallTime{ 10'000 });
  table.CollectLostRuns(m_fleet.Book(), At(20'000), WallTime{ 20'000 });
  const auto result =
    table.OnReport(OwnReport(), m_fleet.Book(), At(20'000), WallTime{ 20'000 });
  CHECK_FALSE(result.m_ignored.has_value());
  STRCMP_EQUAL(
    "desk", table.Find(Life("w1", 1000))->m_lastReport.m_service.Get().c_str());
}

// Guards against a program that takes the place of a worker with its id and
// start time: an incarnation does not change its service.
TEST(Origin, KnownIncarnationReportsOtherService_ReportIsIgnoredUntilItIsLost)
{
  m_fleet.AddService(1);
  WorkerReport report = OwnReport();
  report.m_service = ServiceId{ "desk-1" };
  CheckReason(std::nullopt, report);
  CheckReason(IgnoreReason::kOtherService, report, &m_known);
  m_known.m_isLost = true;
  CheckReason(std::nullopt, report, &m_known);
}

// Guards against an entry of another fleet that proves the end of a worker
// that runs on, or hides the entry of its instance.
TEST(Origin, ListedPoolIsUnknown_EntryIsRemoved)
{
  ListedInstances list;
  list.m_readable = { { InstanceId{ "i1" },
                        ServiceId{ "another-fleet" },
                        InstanceState::kDown,
                        WorkerId{ "x" } },
                      { InstanceId{ "i1" },
                        ServiceId{ "desk" },
                        InstanceState::kUp,
                        WorkerId{ "w1" } } };
  RemoveForeignEntries(list, m_fleet.State());
  LONGS_EQUAL(1, list.m_readable.size());
  STRCMP_EQUAL("w1", list.m_readable[0].m_worker.Get().c_str());
  LONGS_EQUAL(1, list.m_unnamedWorkerCount);
  RemoveForeignEntries(list, fleet::State{});
  LONGS_EQUAL(1, list.m_readable.size());
}
