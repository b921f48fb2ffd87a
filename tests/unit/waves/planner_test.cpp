#include "bamboostile/waves/planner.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::fleet;

TEST_GROUP(WavePlanner)
{
  void Build(int aInstances, int aPerRack, std::uint32_t aPercent, bool aRack)
  {
    Service service;
    service.m_id = ServiceId{ "s" };
    service.m_maxUnavailablePercent = aPercent;
    service.m_surviveRack = aRack;
    Do(PutService{ service }, 0);
    Do(PutPool{ PoolId{ "p" }, ServiceId{ "s" }, "" }, 0);
    for (int i = 0; i < aInstances; ++i) {
      Announce(i, 1, aPerRack);
    }
    m_perRack = aPerRack;
  }

  void Announce(int aNumber, std::uint64_t aIncarnation, int aPerRack)
  {
    Announcement announcement;
    announcement.m_id = InstanceId{ "w" + std::to_string(aNumber) };
    announcement.m_incarnation = Incarnation{ aIncarnation };
    announcement.m_sequence = 1;
    announcement.m_service = ServiceId{ "s" };
    announcement.m_rack = RackId{ "r" + std::to_string(aNumber / aPerRack) };
    Apply(AnnounceInstances{ { announcement } });
  }

  Index Do(Call aCall, std::uint64_t aExpected)
  {
    OperatorCall call;
    call.m_operation = OperationId{ std::to_string(++m_calls) };
    call.m_expected = Index{ aExpected };
    call.m_call = std::move(aCall);
    const auto reply = std::get<CallReply>(Apply(call));
    CHECK(reply.m_refusal == Refusal::kNone);
    return reply.m_revision;
  }

  Effect Apply(const Command& aCommand)
  {
    m_index = Next(m_index);
    return m_state.Apply(m_index, aCommand);
  }

  void StartWave()
  {
    const Index created = Do(CreateWave{ WaveId{ "v" }, PoolId{ "p" } }, 0);
    Do(SetWaveState{ WaveId{ "v" }, WaveState::kRunning }, created.Get());
  }

  std::size_t Step()
  {
    const waves::Observations observed{ [this](const Instance&) {
      return m_isEmpty;
    } };
    const auto commands = waves::NextSteps(m_state, observed);
    for (const Command& command : commands) {
      Apply(command);
    }
    return commands.size();
  }

  std::size_t OutByWaves() const
  {
    return waves::ComputeBudget(m_state, ServiceId{ "s" }).m_outByWaves;
  }

  const Wave& CurrentWave() const
  {
    return m_state.Waves().at(WaveId{ "v" });
  }

  /** Simulates the platform's restart of all released instances. */
  void RestartReleased()
  {
    std::vector<InstanceId> released;
    for (const Instance* instance : waves::AwaitingRestart(m_state)) {
      released.push_back(instance->m_announced.m_id);
    }
    for (const InstanceId& id : released) {
      Announce(std::stoi(id.Get().substr(1)), 2, m_perRack);
    }
  }

  State m_state;
  Index m_index;
  int m_calls = 0;
  int m_perRack = 4;
  bool m_isEmpty = true;
};

TEST(WavePlanner, Wave_RunToEnd_RestartsEachOnceWithinBudget)
{
  Build(12, 4, 25, false);
  StartWave();
  std::size_t maxOut = 0;
  for (int i = 0; i < 100 && CurrentWave().m_state != WaveState::kDone; ++i) {
    Step();
    maxOut = std::max(maxOut, OutByWaves());
    RestartReleased();
  }
  CHECK(CurrentWave().m_state == WaveState::kDone);
  LONGS_EQUAL(3, maxOut);
  for (const auto& [id, instance] : m_state.Instances()) {
    LONGS_EQUAL(2, instance.m_announced.m_incarnation.Get());
    CHECK_FALSE(instance.m_wave.has_value());
  }
}

TEST(WavePlanner, WorkUnderWay_InstanceIsNotReleased)
{
  Build(4, 4, 25, false);
  m_isEmpty = false;
  StartWave();
  Step();
  LONGS_EQUAL(1, OutByWaves());
  Step();
  LONGS_EQUAL(0, waves::AwaitingRestart(m_state).size());
  m_isEmpty = true;
  Step();
  LONGS_EQUAL(1, waves::AwaitingRestart(m_state).size());
}

// Two unplanned losses use up the budget, so the wave takes no instance out.
TEST(WavePlanner, UnplannedLosses_CountAgainstTheBudget)
{
  Build(10, 4, 20, false);
  Apply(LoseInstances{ { InstanceId{ "w8" }, InstanceId{ "w9" } } });
  StartWave();
  Step();
  LONGS_EQUAL(0, OutByWaves());
}

// An instance fails while the wave has used its budget, so that together they
// exceed it. The wave brakes and states the reason, and the instances that are
// out still return.
TEST(WavePlanner, LossesDuringWave_BrakeItAndInstancesReturn)
{
  Build(10, 4, 20, false);
  StartWave();
  Step();
  LONGS_EQUAL(2, OutByWaves());
  Apply(LoseInstances{ { InstanceId{ "w8" } } });
  Step();
  CHECK(CurrentWave().m_state == WaveState::kBraked);
  CHECK(CurrentWave().m_reason.find("exceed") != std::string::npos);
  RestartReleased();
  Step();
  RestartReleased();
  Step();
  LONGS_EQUAL(0, OutByWaves());
}

TEST(WavePlanner, BudgetThatCannotBeMet_PreviewGivesTheReason)
{
  Build(8, 4, 20, true);
  const auto preview = waves::PreviewWave(m_state, PoolId{ "p" });
  CHECK(preview.m_blocked.find("largest rack keeps 4") != std::string::npos);
  StartWave();
  Step();
  LONGS_EQUAL(0, OutByWaves());
}

TEST(WavePlanner, RackToSurvive_StaysCovered)
{
  Build(20, 4, 30, true);
  StartWave();
  Step();
  const auto budget = waves::ComputeBudget(m_state, ServiceId{ "s" });
  CHECK(budget.m_outByWaves > 0);
  CHECK(budget.m_outByWaves + budget.m_reserve <= budget.m_allowed);
}

// The leader changes between two steps; the new one plans again from the same
// state, and the commands of both reach the log.
TEST(WavePlanner, LeaderChange_StepsProposedTwice_ApplyOnce)
{
  Build(8, 4, 25, false);
  StartWave();
  const waves::Observations observed{ [](const Instance&) { return true; } };
  const auto first = waves::NextSteps(m_state, observed);
  const auto second = waves::NextSteps(m_state, observed);
  for (const auto* commands : { &first, &second }) {
    for (const Command& command : *commands) {
      Apply(command);
    }
  }
  LONGS_EQUAL(2, OutByWaves());
}

TEST(WavePlanner, Cancelled_InstancesNotReleased_GoBackIntoService)
{
  Build(8, 4, 25, false);
  m_isEmpty = false;
  StartWave();
  Step();
  Do(SetWaveState{ WaveId{ "v" }, WaveState::kCancelled },
     CurrentWave().m_change.m_revision.Get());
  LONGS_EQUAL(0, OutByWaves());
}
