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

/** Long after the leader was elected. */
constexpr std::int64_t kLater = 60'000;
constexpr std::uint64_t kBorn = 1'790'000'000'000;
constexpr std::uint64_t kBornLater = kBorn + 2'000;
/** From the first report of a life that may start what an earlier one ran. */
constexpr std::int64_t kStartsWithin = 200;

/** One life of a worker whose id outlives it: what it says, and what it was
 * told to run. */
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
               { "state", m_isDraining ? "draining" : "ready" },
               { "machine", "m1" },
               { "born", m_born },
               { "seq", ++m_sequence },
               { "free_capacity", { { "cpu", 4000 }, { "mem_mb", 4000 } } },
               { "active", Json::array() },
               { "finished", m_finished } };
    for (const auto& [name, run] : m_running) {
      body["active"].push_back({ name, run, "", 100 });
    }
    return body.dump();
  }

  void Obey(const Json& aOrders)
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

  void End(const std::string& aName, const char* aHow)
  {
    const auto found = m_running.find(aName);
    if (found != m_running.end()) {
      m_finished.push_back({ ++m_lastEnd, aName, found->second, aHow, "" });
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

/** A worker "w" that crashes and starts again under its id. */
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

  /** The orders that answer a report; none where it gets no lease. */
  std::optional<placement::Orders> Hear(const std::string& aBody,
                                        std::int64_t aAtMs)
  {
    platform::BadField bad;
    const auto report = platform::ReadReport("w", aBody, bad);
    CHECK(report.has_value());
    auto heard =
      m_table->OnReport(*report, m_fleet.Book(), At(aAtMs), WallTime{ aAtMs });
    std::vector<Change> changes(heard.m_ends.begin(), heard.m_ends.end());
    m_fleet.Apply(std::move(changes));
    m_table->Acknowledge(m_table->TakeReceipts());
    m_fleet.Apply(
      m_planner
        .Next(m_fleet.State(), *m_table, {}, At(aAtMs), WallTime{ aAtMs })
        .m_changes);
    if (heard.m_ignored) {
      return std::nullopt;
    }
    return m_table->Answer(report->m_worker, m_fleet.Book(), At(aAtMs));
  }

  void Exchange(Process & aLife, std::int64_t aAtMs)
  {
    const auto orders = Hear(aLife.Report(), aAtMs);
    if (orders) {
      aLife.Obey(Json::parse(platform::WriteOrders(*orders, Term{ 1 }, "")));
    }
  }

  /** One exchange each 50 ms. */
  void ExchangeUntil(Process & aLife, std::int64_t aFromMs, std::int64_t aToMs)
  {
    for (std::int64_t at = aFromMs; at <= aToMs; at += 50) {
      Exchange(aLife, at);
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

// Guards against ends of the next life that are taken for repetitions of
// earlier ones: acknowledged, and the task started once more.
TEST(WorkerRestart, NextLifeEndsRun_EndIsTakenAndTaskNotStartedAgain)
{
  m_fleet.Submit("a", Spec({ Step(3) }));
  Exchange(m_first, kLater);
  m_first.EndAll();
  Exchange(m_first, kLater + 100);
  m_fleet.Submit("b", Spec({ Step(2) }));
  ExchangeUntil(m_next, kLater + 600, kLater + 2'000);
  m_next.EndAll();
  ExchangeUntil(m_next, kLater + 2'050, kLater + 2'500);
  CheckCompleted("b");
  LONGS_EQUAL(2, m_next.Starts().size());
  LONGS_EQUAL(2, m_next.Acked());
}

// Guards against a job that waits for ever: its task's end is acknowledged
// unbelieved, and the task stays placed on a worker that does not run it.
TEST(WorkerRestart, EarlierLifeSentManyEnds_JobOfNextLifeCompletes)
{
  m_fleet.Submit("a", Spec({ Step(400, 100) }));
  for (std::int64_t at = kLater; m_fleet.StateOf("a") == JobState::kActive;
       at += 50) {
    Exchange(m_first, at);
    m_first.EndAll();
  }
  Process next{ kBornLater };
  m_fleet.Submit("b", Spec({ Step(1) }));
  const std::int64_t restart = kLater + 20'000;
  ExchangeUntil(next, restart, restart + 2'000);
  LONGS_EQUAL(1, next.Running());
  next.EndAll();
  ExchangeUntil(next, restart + 2'050, restart + 10'000);
  CheckCompleted("b");
  LONGS_EQUAL(1, next.Starts().size());
}

// Guards against a start that is sent to the next life under the run number
// that the earlier life was given.
TEST(WorkerRestart, RunsOfEarlierLife_AreNotSentToNextLife)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Exchange(m_first, kLater);
  LONGS_EQUAL(1, m_first.Starts().size());
  ExchangeUntil(m_next, kLater + 300, kLater + 2'000);
  LONGS_EQUAL(1, m_next.Starts().size());
  CHECK_STRING("a.0.0.0 run 2", m_next.Starts()[0]);
  m_next.EndAll();
  Exchange(m_next, kLater + 2'050);
  CheckCompleted("a");
}

// Guards against tasks that wait for a lease although their worker shows that
// it has started anew.
TEST(WorkerRestart, FirstReportOfNextLife_EndsRunsOfEarlierLifeAtOnce)
{
  m_fleet.Submit("a", Spec({ Step(4) }));
  ExchangeUntil(m_first, kLater, kLater + 4'000);
  ExchangeUntil(m_next, kLater + 4'300, kLater + 4'300 + kStartsWithin);
  LONGS_EQUAL(4, m_next.Starts().size());
}

// Guards against a worker that gets no lease and no work until it has sent as
// many reports as its earlier life did.
TEST(WorkerRestart, EarlierLifeSentManyReports_NextLifeGetsWork)
{
  ExchangeUntil(m_first, kLater, kLater + 10'000);
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_next, kLater + 11'000, kLater + 11'000 + kStartsWithin);
  LONGS_EQUAL(1, m_next.Starts().size());
}

// Guards against leases and starts for a life that has ended, and against the
// end of runs that go on in the next one.
TEST(WorkerRestart, LateReportOfEarlierLife_GetsNothingAndEndsNothing)
{
  ExchangeUntil(m_first, kLater, kLater + 4'000);
  const std::string late = m_first.Report();
  m_fleet.Submit("a", Spec({ Step(2) }));
  ExchangeUntil(m_next, kLater + 4'300, kLater + 6'000);
  LONGS_EQUAL(2, m_next.Running());
  m_fleet.Submit("b", Spec({ Step(1) }));
  CHECK(!Hear(late, kLater + 6'010).has_value());
  ExchangeUntil(m_next, kLater + 6'050, kLater + 6'500);
  LONGS_EQUAL(3, m_next.Running());
  m_next.EndAll();
  ExchangeUntil(m_next, kLater + 6'550, kLater + 6'700);
  CheckCompleted("a");
  CheckCompleted("b");
  LONGS_EQUAL(3, m_next.Starts().size());
}

// Guards against an order of lives by a time of day that was set back between
// them.
TEST(WorkerRestart, TimeOfDaySetBackBetweenLives_NextLifeGetsWorkLateOneNothing)
{
  Process next{ kBorn - 3'600'000 };
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_first, kLater, kLater + 4'000);
  const std::string late = m_first.Report();
  ExchangeUntil(next, kLater + 4'300, kLater + 5'600);
  CHECK(!Hear(late, kLater + 5'610).has_value());
  LONGS_EQUAL(1, next.Starts().size());
  CHECK_STRING("a.0.0.0 run 2", next.Starts()[0]);
  ExchangeUntil(next, kLater + 5'650, kLater + 5'900);
  LONGS_EQUAL(1, next.Running());
}

// Guards against a new leader that cannot tell in which life a run was started.
TEST(WorkerRestart, LeaderReplacedBetweenLives_RunsOfEarlierLifeAreNotSent)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_first, kLater, kLater + 200);
  ReplaceLeader(kLater + 1'000);
  ExchangeUntil(m_next, kLater + 1'100, kLater + 3'000);
  LONGS_EQUAL(1, m_next.Starts().size());
  CHECK_STRING("a.0.0.0 run 2", m_next.Starts()[0]);
}

// Guards against a late report that reaches a new leader before any other: it
// may not end what the next life runs.
TEST(WorkerRestart, NewLeaderHearsLateReportFirst_RunsOfNextLifeGoOn)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  Process busy{ kBorn };
  ExchangeUntil(busy, kLater, kLater + 4'000);
  const std::string late = busy.Report();
  ExchangeUntil(m_next, kLater + 4'300, kLater + 6'000);
  LONGS_EQUAL(1, m_next.Running());
  ReplaceLeader(kLater + 6'500);
  Hear(late, kLater + 6'600);
  ExchangeUntil(m_next, kLater + 6'700, kLater + 9'000);
  LONGS_EQUAL(1, m_next.Starts().size());
  LONGS_EQUAL(1, m_next.Running());
  m_next.EndAll();
  Exchange(m_next, kLater + 9'050);
  CheckCompleted("a");
}

// Guards against a worker that is shut out for good after its id has left.
TEST(WorkerRestart, EarlierLifeLeft_NextLifeGetsWork)
{
  ExchangeUntil(m_first, kLater, kLater + 4'000);
  platform::BadField bad;
  const auto report = platform::ReadReport("w", m_first.Report(), bad);
  m_table->Retire(report->m_worker, m_fleet.Book(), WallTime{ 0 });
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_next, kLater + 5'000, kLater + 5'000 + kStartsWithin);
  LONGS_EQUAL(1, m_next.Starts().size());
}

// Guards against stops, and a drain, of one life that act on the next.
TEST(WorkerRestart, EarlierLifeDrained_NextLifeGetsWork)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_first, kLater, kLater + 4'000);
  m_first.Drain();
  Exchange(m_first, kLater + 4'050);
  ExchangeUntil(m_next, kLater + 4'300, kLater + 4'300 + kStartsWithin);
  LONGS_EQUAL(1, m_next.Running());
}

// Guards against several restarts within a lease: each must find work, and no
// run number is given twice.
TEST(WorkerRestart, ManyRestartsInARow_EachLifeGetsTheNextRun)
{
  m_fleet.Submit("a", Spec({ Step(1) }));
  std::list<Process> lives;
  for (std::uint64_t i = 0; i < 6; ++i) {
    Process& life = lives.emplace_back(kBorn + 1'500 * i);
    const auto from = kLater + static_cast<std::int64_t>(1'500 * i);
    ExchangeUntil(life, from, from + 1'300);
    LONGS_EQUAL(1, life.Starts().size());
    CHECK_STRING("a.0.0.0 run " + std::to_string(i + 1), life.Starts()[0]);
  }
  lives.back().EndAll();
  Exchange(lives.back(), kLater + 9'000);
  CheckCompleted("a");
}

// Guards against a leave that arrives late, and ends the life that came after.
TEST(WorkerRestart, LateLeaveOfEarlierLife_EndsNothing)
{
  ExchangeUntil(m_first, kLater, kLater + 4'000);
  m_fleet.Submit("a", Spec({ Step(1) }));
  ExchangeUntil(m_next, kLater + 4'300, kLater + 4'500);
  platform::BadField bad;
  const auto left = platform::ReadLeave("w", R"({"born":1790000000000})", bad);
  CHECK(m_table->Retire(*left, m_fleet.Book(), WallTime{ 0 }).empty());
  ExchangeUntil(m_next, kLater + 4'550, kLater + 5'000);
  LONGS_EQUAL(1, m_next.Starts().size());
  LONGS_EQUAL(1, m_next.Running());
}

// Guards against a leave that does not say of which life it is, where there
// have been several.
TEST(WorkerRestart, LeaveWithoutStart_MeansTheOnlyLifeOrNone)
{
  const WorkerId id{ "w" };
  CHECK(!m_table->FindOnlyLife(id).has_value());
  ExchangeUntil(m_first, kLater, kLater + 4'000);
  LONGS_EQUAL(kBorn, m_table->FindOnlyLife(id)->m_startedAt.Get());
  ExchangeUntil(m_next, kLater + 4'300, kLater + 4'500);
  CHECK(!m_table->FindOnlyLife(id).has_value());
}

// Guards against the end of all runs when logs of earlier versions, which name
// no life, are read: the life that shows a run is believed.
TEST(WorkerRestart, RunOnRecordUnderIdAlone_IsAdoptedByLifeThatShowsIt)
{
  m_fleet.Submit("a", Spec({ Step(2) }));
  Exchange(m_first, kLater);
  m_fleet.End(Ref("a"), RunEnd::kStopped);
  m_fleet.End(Ref("a", 1), RunEnd::kStopped);
  m_fleet.Start(Ref("a"), "w", 2);
  m_fleet.Start(Ref("a", 1), "w", 2);
  ReplaceLeader(kLater + 100);
  platform::BadField bad;
  auto report = platform::ReadReport("w", m_first.Report(), bad);
  report->m_active = { Active(Ref("a"), 2) };
  const auto heard =
    m_table->OnReport(*report, m_fleet.Book(), At(kLater + 200), WallTime{ 0 });
  LONGS_EQUAL(1, heard.m_adopted.size());
  CHECK(heard.m_ends.empty());
  m_fleet.Apply({ heard.m_adopted.begin(), heard.m_adopted.end() });
  const placement::Orders orders =
    m_table->Answer(report->m_worker, m_fleet.Book(), At(kLater + 200));
  CHECK(orders.m_starts.empty());
  CHECK(orders.m_stops.empty());
  m_fleet.Restore();
  CHECK(m_fleet.Book().FindTask(Ref("a"))->m_worker == report->m_worker);
  const auto lost =
    m_table->FindLost(m_fleet.Book(), At(kLater + 6'000), WallTime{ 0 });
  CHECK(std::any_of(lost.begin(), lost.end(), [](const EndRun& aEnd) {
    return aEnd.m_task == Ref("a", 1);
  }));
}

// Guards against a report that does not say when its worker started, of an id
// whose lives do: it may be of any of them.
TEST(WorkerRestart, ReportWithoutStartOfIdThatSaysIt_GetsNothing)
{
  ExchangeUntil(m_first, kLater, kLater + 100);
  Json body = Json::parse(m_first.Report());
  body.erase("born");
  CHECK(!Hear(body.dump(), kLater + 150).has_value());
}

// Guards against a worker that is shut out for good because late reports of an
// earlier life came while it was cut off.
TEST(WorkerRestart, SupersededLifeGoesOnReporting_GetsWorkAgain)
{
  Process cutOff{ kBornLater };
  Process late{ kBorn };
  Exchange(cutOff, kLater);
  ExchangeUntil(late, kLater + 100, kLater + 1'300);
  m_fleet.Submit("a", Spec({ Step(1) }));
  m_table->FindLost(m_fleet.Book(), At(kLater + 7'000), WallTime{ 0 });
  ExchangeUntil(cutOff, kLater + 7'000, kLater + 8'300);
  LONGS_EQUAL(1, cutOff.Running());
}

// Guards against a lease in the answer to a life that has not proved itself.
TEST(WorkerRestart, UnprovenLife_IsToldToReportAgainWithoutLease)
{
  Exchange(m_first, kLater);
  CHECK(!Hear(m_next.Report(), kLater + 100).has_value());
  const Json answer = Json::parse(
    platform::WriteOrders(m_table->AnswerUnproven(), Term{ 1 }, ""));
  CHECK(!answer.contains("hold_ms"));
  CHECK(!answer.contains("start"));
  CHECK(answer.at("idle_beat_ms") > 0);
}

// Guards against a faulty instance that gets new work at once because it has
// crashed.
TEST(WorkerRestart, EarlierLifeWasSetAside_NextLifeIsToo)
{
  m_fleet.Submit("a", Spec({ Step(4) }));
  ExchangeUntil(m_first, kLater, kLater + 4'000);
  for (int i = 0; i < 3; ++i) {
    m_first.End("a.0.0." + std::to_string(i), "failed");
  }
  Exchange(m_first, kLater + 4'050);
  ExchangeUntil(m_next, kLater + 4'300, kLater + 4'500);
  LONGS_EQUAL(0, m_next.Starts().size());
}
