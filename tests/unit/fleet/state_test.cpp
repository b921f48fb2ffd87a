#include "bamboostile/fleet/state.h"

#include "check.h"

#include <random>

using namespace bamboostile;
using namespace bamboostile::fleet;

namespace {

Announcement
Said(const char* aId, std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  Announcement said;
  said.m_id = InstanceId{ aId };
  said.m_incarnation = Incarnation{ aIncarnation };
  said.m_sequence = aSequence;
  said.m_service = ServiceId{ "s" };
  said.m_zone = ZoneId{ "z" };
  said.m_rack = RackId{ "r" };
  return said;
}

} // namespace

TEST_GROUP(FleetState)
{
  void setup() override
  {
    Service service;
    service.m_id = ServiceId{ "s" };
    Do(PutService{ service }, 0);
    Do(PutPool{ PoolId{ "p" }, ServiceId{ "s" }, "home" }, 0);
  }

  CallReply Do(Call aCall, std::uint64_t aExpected, const char* aId = nullptr)
  {
    OperatorCall call;
    call.m_operation =
      OperationId{ aId != nullptr ? aId : "op" + std::to_string(++m_calls) };
    call.m_operator = "anna";
    call.m_expected = Index{ aExpected };
    call.m_call = std::move(aCall);
    return std::get<CallReply>(Apply(call));
  }

  Effect Apply(const Command& aCommand)
  {
    m_index = Next(m_index);
    return m_state.Apply(m_index, aCommand);
  }

  void Announce(const Announcement& aSaid)
  {
    Apply(AnnounceInstances{ { aSaid } });
  }

  const Instance& At(const char* aId)
  {
    return m_state.Instances().at(InstanceId{ aId });
  }

  State m_state;
  Index m_index;
  int m_calls = 0;
};

TEST(FleetState, TwoOperators_EqualRevisions_OneWinsOtherLearnsWhoWon)
{
  const auto revision = m_state.Pools().at(PoolId{ "p" }).m_change.m_revision;
  const auto won =
    Do(DrainPool{ PoolId{ "p" }, true }, revision.Get(), "first");
  const auto lost =
    Do(DrainPool{ PoolId{ "p" }, false }, revision.Get(), "second");
  CHECK(won.m_refusal == Refusal::kNone);
  CHECK(lost.m_refusal == Refusal::kConflict);
  CHECK_STRING("first", lost.m_winner.Get());
  CHECK_STRING("anna", lost.m_winnerOperator);
  CHECK(m_state.Pools().at(PoolId{ "p" }).m_draining);
}

// The answer is lost, the operator sends the call again, later and elsewhere;
// in between another operator changed the object.
TEST(FleetState, Call_ResentAfterLostAnswer_GetsFirstAnswerAndActsOnce)
{
  const auto first = Do(PutPool{ PoolId{ "q" }, ServiceId{ "s" }, "" }, 0, "x");
  Do(DrainPool{ PoolId{ "q" }, true }, first.m_revision.Get());
  m_state = *State::Decode(m_state.Encode());
  const auto again = Do(PutPool{ PoolId{ "q" }, ServiceId{ "s" }, "" }, 0, "x");
  CHECK(again.m_refusal == Refusal::kNone);
  CHECK(again.m_revision == first.m_revision);
  CHECK(m_state.Pools().at(PoolId{ "q" }).m_draining);
}

TEST(FleetState, Refusal_Resent_GetsSameRefusal)
{
  const auto refused = Do(RemovePool{ PoolId{ "none" } }, 0, "y");
  CHECK(refused.m_refusal == Refusal::kNotFound);
  const auto again = Do(RemovePool{ PoolId{ "none" } }, 0, "y");
  CHECK(again.m_refusal == Refusal::kNotFound);
}

TEST(FleetState, Announcement_OlderLifeOrReordered_IsIgnored)
{
  Announce(Said("w", 2, 5));
  Announcement older = Said("w", 1, 9);
  older.m_state = InstanceState::kLeaving;
  Announce(older);
  Announcement reordered = Said("w", 2, 4);
  reordered.m_state = InstanceState::kLeaving;
  Announce(reordered);
  CHECK(At("w").m_announced.m_state == InstanceState::kUp);
  LONGS_EQUAL(5, At("w").m_announced.m_sequence);
}

TEST(FleetState, LostInstance_HeardAgain_IsBack)
{
  Announce(Said("w", 1, 1));
  Apply(LoseInstances{ { InstanceId{ "w" } } });
  CHECK(At("w").m_lost);
  Announce(Said("w", 1, 1));
  CHECK_FALSE(At("w").m_lost);
}

TEST(FleetState, Instance_MovedByOperator_StaysThroughAnnouncements)
{
  Do(PutPool{ PoolId{ "q" }, ServiceId{ "s" }, "" }, 0);
  Announce(Said("w", 1, 1));
  CHECK(At("w").m_pool == PoolId{ "p" });
  CHECK(Do(MoveInstance{ InstanceId{ "w" }, PoolId{ "q" } }, 0).m_refusal ==
        Refusal::kNone);
  Announce(Said("w", 2, 1));
  CHECK(At("w").m_pool == PoolId{ "q" });
}

TEST(FleetState, Pool_WithInstances_CannotBeRemoved)
{
  Announce(Said("w", 1, 1));
  const auto revision = m_state.Pools().at(PoolId{ "p" }).m_change.m_revision;
  CHECK(Do(RemovePool{ PoolId{ "p" } }, revision.Get()).m_refusal ==
        Refusal::kInUse);
}

TEST(FleetState, Service_NamedLikeAnOwnPath_IsRefused)
{
  Service service;
  service.m_id = ServiceId{ "metrics" };
  CHECK(Do(PutService{ service }, 0).m_refusal == Refusal::kInvalid);
}

TEST(FleetState, Config_OutOfRange_ChangesNothing)
{
  Config config;
  config.m_panicPercent = 101;
  config.m_note = "bad";
  const Index before = m_state.ViewRevision();
  const auto refused = Do(SetConfig{ config }, 0);
  CHECK(refused.m_refusal == Refusal::kInvalid);
  CHECK(refused.m_message.find("panicPercent") != std::string::npos);
  CHECK(m_state.ViewRevision() == before);
  CHECK_STRING("", m_state.CurrentConfig().m_note);
}

TEST(FleetState, WaveStep_ProposedTwice_IsTakenOnce)
{
  Announce(Said("w", 1, 1));
  const auto created = Do(CreateWave{ WaveId{ "v" }, PoolId{ "p" } }, 0);
  Do(SetWaveState{ WaveId{ "v" }, WaveState::kRunning },
     created.m_revision.Get());
  const AdvanceWave step{
    WaveId{ "v" }, InstanceId{ "w" }, WaveStep::kWaiting, WaveStep::kDraining
  };
  Apply(step);
  Apply(AdvanceWave{ WaveId{ "v" },
                     InstanceId{ "w" },
                     WaveStep::kDraining,
                     WaveStep::kReleased });
  Apply(step);
  const auto& wave = m_state.Waves().at(WaveId{ "v" });
  CHECK(wave.m_instances.at(InstanceId{ "w" }).m_step == WaveStep::kReleased);
  CHECK(At("w").m_wave == WaveId{ "v" });
}

TEST(FleetState, View_SinceRevision_HoldsOnlyWhatChanged)
{
  Announce(Said("w", 1, 1));
  const Index seen = m_state.ViewRevision();
  Announce(Said("x", 1, 1));
  const View view = m_state.ViewSince(seen);
  CHECK_FALSE(view.m_full);
  LONGS_EQUAL(1, view.m_instances.size());
  LONGS_EQUAL(0, view.m_pools.size());
  LONGS_EQUAL(2, m_state.ViewSince(Index{}).m_instances.size());
}

TEST(FleetState, Snapshot_DecodedAndContinued_EqualsOriginal)
{
  Announce(Said("w", 1, 1));
  outcome::Begin begin;
  begin.m_request = RequestId{ "r" };
  begin.m_digest = std::string("\xff\x00\x80", 3);
  Apply(begin);
  State copy = *State::Decode(m_state.Encode());
  const Command next = LoseInstances{ { InstanceId{ "w" } } };
  m_state.Apply(Index{ 100 }, next);
  copy.Apply(Index{ 100 }, next);
  CHECK(m_state.Encode() == copy.Encode());
}

// A leader is elected and restores the state from a snapshot. What an earlier
// one has asked the platform lately must be in it, or two leaders take turns
// with an instance.
TEST(FleetState, OrdersOnRecord_SnapshotDecoded_ThereUntilSettled)
{
  Apply(RecordOrders{ { InstanceId{ "a" }, InstanceId{ "b" } }, {} });
  MaintenanceWave wave;
  wave.m_number = 7;
  wave.m_instances[InstanceId{ "c" }] = MaintenanceStep::kWaiting;
  Apply(StartMaintenance{ wave });
  Apply(AdvanceMaintenance{ 7, InstanceId{ "c" }, MaintenanceStep::kOrdered });
  m_state = *State::Decode(m_state.Encode());
  const std::set<InstanceId> all{ InstanceId{ "a" },
                                  InstanceId{ "b" },
                                  InstanceId{ "c" } };
  CHECK(all == m_state.RecentOrders());
  const auto sent = EncodeCommand(RecordOrders{
    { InstanceId{ "a" } }, { InstanceId{ "a" }, InstanceId{ "b" } } });
  Apply(*DecodeCommand(sent));
  const std::set<InstanceId> left{ InstanceId{ "a" }, InstanceId{ "c" } };
  CHECK(left == m_state.RecentOrders());
}

TEST(FleetState, DamagedSnapshot_Decoded_IsRefused)
{
  std::string bytes = m_state.Encode();
  CHECK_FALSE(State::Decode(bytes.substr(0, bytes.size() / 2)).has_value());
  CHECK_FALSE(State::Decode("").has_value());
}

// Moves, removals, announcements and wave steps race in any order; after each
// command every instance must be in one pool of its own service, or in none
// if no pool takes it.
TEST(FleetState, RacingCommands_AnyOrder_InstanceIsInOnePoolOfItsService)
{
  std::mt19937 random(7);
  Do(PutPool{ PoolId{ "q" }, ServiceId{ "s" }, "" }, 0);
  for (int i = 0; i < 3000; ++i) {
    const std::string id = "w" + std::to_string(random() % 5);
    const PoolId pool{ random() % 2 == 0 ? "p" : "q" };
    const auto found = m_state.Instances().find(InstanceId{ id });
    const std::uint64_t revision = found == m_state.Instances().end()
                                     ? 0
                                     : found->second.m_change.m_revision.Get();
    switch (random() % 5) {
      case 0:
        Announce(Said(id.c_str(), 1 + random() % 3, random() % 10));
        break;
      case 1:
        Do(MoveInstance{ InstanceId{ id }, pool }, revision);
        break;
      case 2:
        Apply(LoseInstances{ { InstanceId{ id } } });
        break;
      case 3:
        Do(RemoveInstance{ InstanceId{ id } }, revision);
        break;
      default:
        Do(CreateWave{ WaveId{ "v" + std::to_string(i) }, pool }, 0);
        break;
    }
    for (const auto& [key, instance] : m_state.Instances()) {
      CHECK(instance.m_pool.has_value());
      CHECK(m_state.Pools().at(*instance.m_pool).m_service ==
            instance.m_announced.m_service);
    }
  }
}
