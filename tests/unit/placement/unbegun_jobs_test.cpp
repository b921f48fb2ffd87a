#include "job_fixtures.h"

#include "bamboostile/placement/unbegun_jobs.h"

#include "check.h"

using namespace bamboostile;
using namespace job_fixtures;
using placement::WorkerTable;

TEST_GROUP(UnbegunJobs)
{
  void setup() override
  {
    m_fleet.Submit("a", Spec({ Step(2) }));
    Receive(Report("w1", 1));
    Receive(Report("w2", 1));
    m_fleet.Start(Ref("a", 0), "w1");
    m_fleet.Start(Ref("a", 1), "w2");
  }

  void Receive(const placement::WorkerReport& aReport)
  {
    m_table.OnReport(aReport, m_fleet.Book(), At(20'000), WallTime{ 1 });
  }

  std::uint64_t Count() const
  {
    const auto counts = placement::CountUnbegunJobs(m_fleet.Book(), m_table);
    const auto found = counts.find(QueueId{ "host/q/" });
    return found == counts.end() ? 0 : found->second;
  }

  Fleet m_fleet;
  WorkerTable m_table{ placement::LeaseOptions{}, At(0) };
};

TEST(UnbegunJobs, NoReportShowsARun_JobCounts)
{
  LONGS_EQUAL(1, Count());
}

TEST(UnbegunJobs, ReportShowsOneRun_JobHasBegun)
{
  placement::WorkerReport report = Report("w2", 2);
  report.m_active.push_back(Active(Ref("a", 1)));
  Receive(report);
  LONGS_EQUAL(0, Count());
}

TEST(UnbegunJobs, ReportShowsAnEarlierRun_JobCounts)
{
  m_fleet.End(Ref("a", 1), jobs::RunEnd::kRefused);
  m_fleet.Start(Ref("a", 1), "w2", 2);
  placement::WorkerReport report = Report("w2", 2);
  report.m_active.push_back(Active(Ref("a", 1), 1));
  Receive(report);
  LONGS_EQUAL(1, Count());
}

TEST(UnbegunJobs, OneTaskIsDone_JobHasBegun)
{
  m_fleet.End(Ref("a", 0), jobs::RunEnd::kDone);
  LONGS_EQUAL(0, Count());
}

// Guards against a new leader that takes placed runs for begun ones.
TEST(UnbegunJobs, LeaderHasNoReportOfTheWorkers_JobCounts)
{
  m_table = WorkerTable{ placement::LeaseOptions{}, At(0) };
  LONGS_EQUAL(1, Count());
}

TEST(UnbegunJobs, JobIsScheduled_IsNotCounted)
{
  jobs::JobSpec spec = Spec({ Step(1) });
  spec.m_repeatCount = 2;
  m_fleet.Submit("scheduled", spec);
  m_fleet.Start(Ref("scheduled"), "w1");
  LONGS_EQUAL(1, Count());
}
