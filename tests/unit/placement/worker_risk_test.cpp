#include "job_fixtures.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace bamboostile::placement;
using namespace job_fixtures;

namespace {

/** Long after the leader was elected. */
constexpr std::int64_t kLater = 60'000;

} // namespace

TEST_GROUP(WorkerRisk)
{
  Fleet m_fleet;
  placement::WorkerTable m_table{ LeaseOptions{}, At(0) };

  void setup() override
  {
    StepSpec step = Step(2);
    step.m_longRunning = true;
    m_fleet.Submit("a", Spec({ step }));
  }

  void Receive(const WorkerReport& aReport, std::int64_t aAtMs)
  {
    const auto result =
      m_table.OnReport(aReport, m_fleet.Book(), At(aAtMs), WallTime{ aAtMs });
    m_fleet.Apply({ result.m_ends.begin(), result.m_ends.end() });
    m_table.Answer(aReport.m_worker, m_fleet.Book(), At(aAtMs));
  }

  std::string RiskAt(std::int64_t aAtMs) const
  {
    return Describe(
      m_table.AssessRisk(*m_table.Find(Life("w1")), m_fleet.Book(), At(aAtMs)));
  }
};

// Guards against a worker that has just died and counts as idle.
TEST(WorkerRisk, WorkerMissesItsReport_ReportIsOverdue)
{
  Receive(Report("w1", 1), kLater);
  STRCMP_EQUAL(Describe(LossRisk::kNone), RiskAt(kLater + 200).c_str());
  STRCMP_EQUAL(Describe(LossRisk::kReportOverdue),
               RiskAt(kLater + 500).c_str());
}

TEST(WorkerRisk, ReportIsNotAnsweredYet_ReportIsNotOverdue)
{
  m_table.OnReport(
    Report("w1", 1), m_fleet.Book(), At(kLater), WallTime{ kLater });
  STRCMP_EQUAL(Describe(LossRisk::kNone), RiskAt(kLater + 500).c_str());
}

TEST(WorkerRisk, RunStarts_IsUnconfirmedThenRecent)
{
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  STRCMP_EQUAL(Describe(LossRisk::kUnconfirmedStart), RiskAt(kLater).c_str());
  WorkerReport report = Report("w1", 2);
  report.m_active.push_back(Active(Ref("a")));
  Receive(report, kLater + 200);
  STRCMP_EQUAL(Describe(LossRisk::kRecentRun), RiskAt(kLater + 200).c_str());
  for (std::int64_t ms = 400; ms <= 1200; ms += 200) {
    ++report.m_sequence;
    Receive(report, kLater + ms);
  }
  STRCMP_EQUAL(Describe(LossRisk::kNone), RiskAt(kLater + 1200).c_str());
}

// Guards against a start that is hidden by a run that ended at the same time.
TEST(WorkerRisk, RunEndsAndAnotherStarts_StartIsUnconfirmed)
{
  m_fleet.Submit("b", Spec({ Step(2) }));
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("b", 0), "w1");
  WorkerReport report = Report("w1", 2);
  report.m_ended.push_back(End(1, Ref("b", 0), RunEnd::kDone));
  Receive(report, kLater + 200);
  m_fleet.Start(Ref("b", 1), "w1");
  STRCMP_EQUAL(Describe(LossRisk::kUnconfirmedStart),
               RiskAt(kLater + 200).c_str());
}

// Guards against a gauge that counts a task as running whose start went to a
// dead worker.
TEST(WorkerRisk, StartIsLostOnItsWay_TimeWithoutRunGoesOn)
{
  Receive(Report("w1", 1), kLater);
  m_fleet.Start(Ref("a"), "w1");
  WorkerReport report = Report("w1", 2);
  report.m_active.push_back(Active(Ref("a")));
  Receive(report, kLater + 200);
  const auto longestAt = [&](std::int64_t aMs) {
    return m_table.LongestWithoutRun(m_fleet.Book(), WallTime{ aMs }).count();
  };
  LONGS_EQUAL(100, longestAt(kLater + 300));
  const auto ends = m_table.CollectLostRuns(
    m_fleet.Book(), At(kLater + 6'000), WallTime{ kLater + 6'000 });
  m_fleet.Apply({ ends.begin(), ends.end() });
  m_fleet.Start(Ref("a"), "w2", 2);
  LONGS_EQUAL(6'800, longestAt(kLater + 7'000));
}
