#include "decode.h"

#include "job_fixtures.h"

#include "check.h"

#include <nlohmann/json.hpp>

#include <list>

using namespace bamboostile;
using namespace bamboostile::jobs;
using namespace job_fixtures;
using Json = nlohmann::json;

namespace {

/** Start of the tests in milliseconds, long after the leader was elected. */
constexpr std::int64_t kStartMs = 60'000;
constexpr std::uint64_t kBorn = 1'790'000'000'000;
constexpr std::uint64_t kBornLater = kBorn + 2'000;
/** Maximum time in milliseconds from the first report of an incarnation until
 * it has started the tasks that the earlier one ran. */
constexpr std::int64_t kMaxStartDelayMs = 200;

/** One incarnation of a worker, whose id later incarnations reuse. Writes its
 * reports and executes the orders in the answers. */
class Process
{
public:
  explicit Process(std::uint64_t aBorn)
    : m_born(aBorn)
  {
  }

  std::string Report()
  {
    Json body{ { "service", "desk" },
               { "address", "10.0.0.9:80" },
               { "zone", "z" },
               { "version", "v1" },
               { "capacity", 8 },
               { "warmup_left_ms", 0 },
               { "labels", { "a", "r1-3" } },
               { "clock_ms", 5000 },
               { "state", m_isDraining ? "draining" : "ready" },
               { "machine", "m1" },
               { "born", m_born },
               { "seq", ++m_sequence },
               { "free_capacity",
                 { { "cpu", 4000 }, { "mem_mb", 4000 }, { "gpu", 0 } } },
               { "active", Json::array() },
               { "finished", m_finished } };
    for (const auto& [name, run] : m_running) {
      body["active"].push_back({ name, run, "", 100 });
    }
    return body.dump();
  }

  void ExecuteOrders(const Json& aOrders)
  {
    for (const Json& start : aOrders.value("start", Json::array())) {
      const std::string name = start[0];
      if (m_running.emplace(name, start[1]).second) {
        m_starts.push_back(name + " run " + start[1].dump());
      }
    }
    for (const Json& stop : aOrders.value("stop", Json::array())) {
      End(stop[0], "stopped");
    }
    m_acked = aOrders.at("ack_cursor");
    std::erase_if(m_finished, [&](const Json& aEnd) {
      return aEnd[0].get<std::uint64_t>() <= m_acked;
    });
  }

  void End(const std::string& aName, const char* aEndReason)
  {
    const auto found = m_running.find(aName);
    if (found != m_running.end()) {
      m_finished.push_back(
        { ++m_lastEnd, aName, found->second, aEndReason, "" });
      m_running.erase(found);
    }
  }

  void EndAll()
  {
    while (!m_running.empty()) {
      End(m_running.begin()->first, "done");
    }
  }

  void Drain() { m_isDraining = true; }
  const std::vector<std::string>& Starts() const { return m_starts; }
  std::size_t Running() const { return m_running.size(); }
  std::uint64_t Acked() const { return m_acked; }

private:
  std::uint64_t m_born;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_lastEnd = 0;
  std::uint64_t m_acked = 0;
  bool m_isDraining = false;
  std::map<std::string, std::uint32_t> m_running;
  std::vector<Json> m_finished;
  std::vector<std::string> m_starts;
};

} // namespace

/** A worker "w" that crashes and restarts with the same id. */
TEST_GROUP(WorkerRestart)
{
  Fleet m_fleet;
  std::optional<placement::WorkerTable> m_table;
  placement::Planner m_planner;
  Process m_first{ kBorn };
  Process m_next{ kBornLater };

  void setup() override
  {
    m_table.emplace(placement::LeaseOptions{}, At(0));
  }

  /** Delivers a report and returns the orders in the answer; nothing if the
   * report is ignored and gets no lease. */
  std::optional<placement::Orders> DeliverReport(const std::string& aBody,
                                                 std::int64_t aAtMs)
  {
    platform::InvalidField invalid;
    const auto report = platform::ReadReport("w", aBody, invalid);
    CHECK(report.has_value());
    auto result =
      m_table->OnReport(*report, m_fleet.Book(), At(aAtMs), WallTime{ aAtMs });
    std::vector<Change> changes(result.m_ends.begin(), result.m_ends.end());
    m_fleet.Apply(std::move(changes));
    m_table->Acknowledge(m_table->TakeReceipts());
    m_fleet.Apply(
      m_planner
        .ComputePlan(
          m_fleet.State(), *m_table, {}, At(aAtMs), WallTime{ aAtMs })
        .m_changes);
    if (result.m_ignored) {
      return std::nullopt;
    }
    return m_table->Answer(report->m_worker, m_fleet.Book(), At(aAtMs));
  }

  void Exchange(Process & aProcess, std::int64_t aAtMs)
  {
    const auto orders = DeliverReport(aProcess.Report(), aAtMs);
    if (orders) {
      aProcess.ExecuteOrders(
        Json::parse(platform::WriteOrders(*orders, Term{ 1 }, "")));
    }
  }

  /** Exchanges report and answer every 50 ms. */
  void ExchangeUntil(
    Process & aProcess, std::int64_t aFromMs, std::int64_t aToMs)
  {
    for (std::int64_t at = aFromMs; at <= aToMs; at += 50) {
      Exchange(aProcess, at);
    }
  }

  void ReplaceLeader(std::int64_t aAtMs)
  {
    m_fleet.Restore();
    m_table.emplace(placement::LeaseOptions{}, At(aAtMs));
    m_planner = placement::Planner{};
  }

  void CheckCompleted(const char* aJob)
  {
    STRCMP_EQUAL("completed", Describe(m_fleet.StateOf(aJob)));
  }
};

// Guards against ends of the next incarnation that are taken for duplicates of
// earlier ends: they would be acknowledged, and the tasks started again.
TEST(WorkerRestart, NextIncarnationEndsRun_EndIsAcceptedAndTaskNotRestarted)
{
  m_fleet.Submit("a", Spec({ Step(3) }));
  Exchange(m_first, kStartMs);
  m_first.EndAll();
  Exchange(m_first, kStartMs + 100);
  m_fleet.Submit("b", Spec({ Step(2) }));
  ExchangeUntil(m_next, kStartMs + 600, kStartMs + 2'000);
  m_next.EndAll();
  ExchangeUntil(m_next, kStartMs + 2'050, kStartMs + 2'500);
  CheckCompleted("b");
  LONGS_EQUAL(2, m_next.Starts().size());
  LONGS_EQUAL(2, m_next.Acked());
}

// Guards against a job that never completes: the end of its task is
// acknowledged but ignored, and the task stays placed on a worker that does not
// run it.
TEST(WorkerRestart, EarlierIncarnationSentManyEnds_JobOfNextOneCompletes)
{
  m_fleet.Submit("a", Spec({ Step(400, 100) }));
  for (std::int64_t at = kStartMs; m_fleet.StateOf("a") == JobState::kActive;
       at += 50) {
    Exchange(m_first, at);
    m_first.EndAll();
  }
  Process next{ kBornLater };
  m_fleet.Submit("b", Spec({ Step(1) }));
  const std::int64_t restart = kStartMs + 20'000;
  ExchangeUntil(next, restart, restart + 2'000);
  LONGS_EQUAL(1, next.Running());
  next.EndAll();
  ExchangeUntil(next, restart + 2'050, restart + 10'000);
  CheckCompleted("b");
  LONGS_EQUAL(1, next.Starts().size());
}

// Guards against a start that is sent to the next incarnation with the run
// number that the earlier one was given.
TEST(WorkerRestart, RunsOfEarlierIncarnation_AreNotSentToNextOne)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Exchange(m_first, kStartMs);
  LONGS_EQUAL(1, m_first.Starts().size());
  ExchangeUntil(m_next, kStartMs + 300, kStartMs + 2'000);
  LONGS_EQUAL(1, m_next.Starts().size());
  CHECK_STRING("a.0.0.0 run 2", m_next.Starts()[0]);
  m_next.EndAll();
  Exchange(m_next, kStartMs + 2'050);
  CheckCompleted("a");
}

// Guards against tasks that wait until a lease expires although their worker's
// report shows that it has restarted.
TEST(WorkerRestart, FirstReportOfNextIncarnation_EndsEarlierRunsAtOnce)
{
  m_fleet.Submit("a", Spec({ Step(4) }));
  ExchangeUntil(m_first, kStartMs, kStartMs + 4'000);
  ExchangeUntil(m_next, kStartMs + 4'300, kStartMs + 4'300 + kMaxStartDelayMs);
  LONGS_EQUAL(4, m_next.Starts().size());
}

// Guards against a worker that gets no lease and no work until it has sent as
// many reports as its earlier incarnation did.
TEST(WorkerRestart, EarlierIncarnationSentManyReports_NextOneGetsWork)
{
  ExchangeUntil(m_first, kStartMs, kStartMs + 10'000);
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(
    m_next, kStartMs + 11'000, kStartMs + 11'000 + kMaxStartDelayMs);
  LONGS_EQUAL(1, m_next.Starts().size());
}

// Guards against leases and starts for an incarnation that has ended, and
// against ending runs that the next one is executing.
TEST(WorkerRestart, LateReportOfEarlierIncarnation_GetsAndEndsNothing)
{
  ExchangeUntil(m_first, kStartMs, kStartMs + 4'000);
  const std::string late = m_first.Report();
  m_fleet.Submit("a", Spec({ Step(2) }));
  ExchangeUntil(m_next, kStartMs + 4'300, kStartMs + 6'000);
  LONGS_EQUAL(2, m_next.Running());
  m_fleet.Submit("b", Spec({ Step(1) }));
  CHECK(!DeliverReport(late, kStartMs + 6'010).has_value());
  ExchangeUntil(m_next, kStartMs + 6'050, kStartMs + 6'500);
  LONGS_EQUAL(3, m_next.Running());
  m_next.EndAll();
  ExchangeUntil(m_next, kStartMs + 6'550, kStartMs + 6'700);
  CheckCompleted("a");
  CheckCompleted("b");
  LONGS_EQUAL(3, m_next.Starts().size());
}

// Guards against ordering incarnations by wall-clock time, which may be set
// back between them.
TEST(WorkerRestart, ClockSetBackBetweenIncarnations_OnlyNextOneGetsWork)
{
  Process next{ kBorn - 3'600'000 };
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_first, kStartMs, kStartMs + 4'000);
  const std::string late = m_first.Report();
  ExchangeUntil(next, kStartMs + 4'300, kStartMs + 5'600);
  CHECK(!DeliverReport(late, kStartMs + 5'610).has_value());
  LONGS_EQUAL(1, next.Starts().size());
  CHECK_STRING("a.0.0.0 run 2", next.Starts()[0]);
  ExchangeUntil(next, kStartMs + 5'650, kStartMs + 5'900);
  LONGS_EQUAL(1, next.Running());
}

// Guards against a new leader that does not know which incarnation started a
// run.
TEST(WorkerRestart, LeaderReplacedBetweenIncarnations_EarlierRunsAreNotSent)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_first, kStartMs, kStartMs + 200);
  ReplaceLeader(kStartMs + 1'000);
  ExchangeUntil(m_next, kStartMs + 1'100, kStartMs + 3'000);
  LONGS_EQUAL(1, m_next.Starts().size());
  CHECK_STRING("a.0.0.0 run 2", m_next.Starts()[0]);
}

// Guards against a late report of an earlier incarnation that is the first to
// reach a new leader and ends the runs of the next incarnation.
TEST(WorkerRestart, NewLeaderGetsLateReportFirst_RunsOfNextIncarnationGoOn)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Process busy{ kBorn };
  ExchangeUntil(busy, kStartMs, kStartMs + 4'000);
  const std::string late = busy.Report();
  ExchangeUntil(m_next, kStartMs + 4'300, kStartMs + 6'000);
  LONGS_EQUAL(1, m_next.Running());
  ReplaceLeader(kStartMs + 6'500);
  DeliverReport(late, kStartMs + 6'600);
  ExchangeUntil(m_next, kStartMs + 6'700, kStartMs + 9'000);
  LONGS_EQUAL(1, m_next.Starts().size());
  LONGS_EQUAL(1, m_next.Running());
  m_next.EndAll();
  Exchange(m_next, kStartMs + 9'050);
  CheckCompleted("a");
}

// Guards against a worker that never gets work again after an earlier
// incarnation has deregistered its id.
TEST(WorkerRestart, EarlierIncarnationLeft_NextOneGetsWork)
{
  ExchangeUntil(m_first, kStartMs, kStartMs + 4'000);
  platform::InvalidField invalid;
  const auto report = platform::ReadReport("w", m_first.Report(), invalid);
  m_table->Retire(report->m_worker, m_fleet.Book(), WallTime{ 0 });
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_next, kStartMs + 5'000, kStartMs + 5'000 + kMaxStartDelayMs);
  LONGS_EQUAL(1, m_next.Starts().size());
}

// Guards against a drain, and stops, of one incarnation that affect the next.
TEST(WorkerRestart, EarlierIncarnationDrained_NextOneGetsWork)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_first, kStartMs, kStartMs + 4'000);
  m_first.Drain();
  Exchange(m_first, kStartMs + 4'050);
  ExchangeUntil(m_next, kStartMs + 4'300, kStartMs + 4'300 + kMaxStartDelayMs);
  LONGS_EQUAL(1, m_next.Running());
}

// Guards against incarnations that get no work, or a run number that was used
// before, when a worker restarts several times within a lease.
TEST(WorkerRestart, ManyRestartsInARow_EachIncarnationGetsTheNextRun)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  std::list<Process> processes;
  for (std::uint64_t i = 0; i < 6; ++i) {
    Process& process = processes.emplace_back(kBorn + 1'500 * i);
    const auto from = kStartMs + static_cast<std::int64_t>(1'500 * i);
    ExchangeUntil(process, from, from + 1'300);
    LONGS_EQUAL(1, process.Starts().size());
    CHECK_STRING("a.0.0.0 run " + std::to_string(i + 1), process.Starts()[0]);
  }
  processes.back().EndAll();
  Exchange(processes.back(), kStartMs + 9'000);
  CheckCompleted("a");
}

// Guards against a late deregistration that ends the next incarnation.
TEST(WorkerRestart, LateLeaveOfEarlierIncarnation_EndsNothing)
{
  ExchangeUntil(m_first, kStartMs, kStartMs + 4'000);
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_next, kStartMs + 4'300, kStartMs + 4'500);
  platform::InvalidField invalid;
  const auto left =
    platform::ReadLeave("w", R"({"born":1790000000000})", invalid);
  CHECK(m_table->Retire(*left, m_fleet.Book(), WallTime{ 0 }).empty());
  ExchangeUntil(m_next, kStartMs + 4'550, kStartMs + 5'000);
  LONGS_EQUAL(1, m_next.Starts().size());
  LONGS_EQUAL(1, m_next.Running());
}

// Guards against a deregistration without a start time that ends any one of
// several incarnations.
TEST(WorkerRestart, LeaveWithoutStartTime_MeansTheOnlyIncarnationOrNone)
{
  const WorkerId id{ "w" };
  CHECK(!m_table->FindOnlyIncarnation(id).has_value());
  ExchangeUntil(m_first, kStartMs, kStartMs + 4'000);
  LONGS_EQUAL(kBorn, m_table->FindOnlyIncarnation(id)->m_startedAt.Get());
  ExchangeUntil(m_next, kStartMs + 4'300, kStartMs + 4'500);
  CHECK(!m_table->FindOnlyIncarnation(id).has_value());
}

// Guards against ending all runs after reading a log of an earlier version,
// which records no incarnation: a run belongs to the incarnation that reports
// it.
TEST(WorkerRestart, RunRecordedUnderIdAlone_BelongsToIncarnationThatReportsIt)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  Exchange(m_first, kStartMs);
  m_fleet.End(Ref("a"), RunEnd::kStopped);
  m_fleet.End(Ref("a", 1), RunEnd::kStopped);
  m_fleet.Start(Ref("a"), "w", 2);
  m_fleet.Start(Ref("a", 1), "w", 2);
  ReplaceLeader(kStartMs + 100);
  platform::InvalidField invalid;
  auto report = platform::ReadReport("w", m_first.Report(), invalid);
  report->m_active = { Active(Ref("a"), 2) };
  const auto result = m_table->OnReport(
    *report, m_fleet.Book(), At(kStartMs + 200), WallTime{ 0 });
  LONGS_EQUAL(1, result.m_adopted.size());
  CHECK(result.m_ends.empty());
  m_fleet.Apply({ result.m_adopted.begin(), result.m_adopted.end() });
  const placement::Orders orders =
    m_table->Answer(report->m_worker, m_fleet.Book(), At(kStartMs + 200));
  CHECK(orders.m_starts.empty());
  CHECK(orders.m_stops.empty());
  m_fleet.Restore();
  CHECK(m_fleet.Book().FindTask(Ref("a"))->m_worker == report->m_worker);
  const auto lost = m_table->CollectLostRuns(
    m_fleet.Book(), At(kStartMs + 6'000), WallTime{ 0 });
  CHECK(std::any_of(lost.begin(), lost.end(), [](const EndRun& aEnd) {
    return aEnd.m_task == Ref("a", 1);
  }));
}

// Guards against accepting a report without a start time for an id whose
// incarnations send one: it could come from any of them.
TEST(WorkerRestart, ReportWithoutStartTimeOfIdThatSendsIt_GetsNothing)
{
  ExchangeUntil(m_first, kStartMs, kStartMs + 100);
  Json body = Json::parse(m_first.Report());
  body.erase("born");
  CHECK(!DeliverReport(body.dump(), kStartMs + 150).has_value());
}

// Guards against a worker that never gets work again because late reports of an
// earlier incarnation arrived while it was cut off.
TEST(WorkerRestart, SupersededIncarnationKeepsReporting_GetsWorkAgain)
{
  Process cutOff{ kBornLater };
  Process earlier{ kBorn };
  Exchange(cutOff, kStartMs);
  ExchangeUntil(earlier, kStartMs + 100, kStartMs + 1'300);
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_table->CollectLostRuns(m_fleet.Book(), At(kStartMs + 7'000), WallTime{ 0 });
  ExchangeUntil(cutOff, kStartMs + 7'000, kStartMs + 8'300);
  LONGS_EQUAL(1, cutOff.Running());
}

// Guards against a lease in the answer to an unconfirmed incarnation.
TEST(WorkerRestart, UnconfirmedIncarnation_IsToldToReportAgainWithoutLease)
{
  Exchange(m_first, kStartMs);
  CHECK(!DeliverReport(m_next.Report(), kStartMs + 100).has_value());
  const Json answer = Json::parse(
    platform::WriteOrders(m_table->AnswerUnconfirmed(), Term{ 1 }, ""));
  CHECK(!answer.contains("hold_ms"));
  CHECK(!answer.contains("start"));
  CHECK(answer.at("idle_beat_ms") > 0);
}

// Guards against a faulty worker that crashes and then gets new work at once,
// since its exclusion ended with the earlier incarnation.
TEST(WorkerRestart, EarlierIncarnationWasExcluded_NextOneIsToo)
{
  m_fleet.Submit("a", Spec({ Step(4) }));
  ExchangeUntil(m_first, kStartMs, kStartMs + 4'000);
  for (int i = 0; i < 3; ++i) {
    m_first.End("a.0.0." + std::to_string(i), "failed");
  }
  Exchange(m_first, kStartMs + 4'050);
  ExchangeUntil(m_next, kStartMs + 4'300, kStartMs + 4'500);
  LONGS_EQUAL(0, m_next.Starts().size());
}
