#include "bamboostile/fleet/state.h"

#include "check.h"

#include <random>

using namespace bamboostile;
using namespace bamboostile::fleet;

namespace {

Announcement
MakeAnnouncement(const char* aId,
                 std::uint64_t aIncarnation,
                 std::uint64_t aSequence)
{
  Announcement announcement;
  announcement.m_id = InstanceId{ aId };
  announcement.m_incarnation = Incarnation{ aIncarnation };
  announcement.m_sequence = aSequence;
  announcement.m_service = ServiceId{ "s" };
  announcement.m_zone = ZoneId{ "z" };
  announcement.m_rack = RackId{ "r" };
  return announcement;
}

} // namespace

TEST_GROUP(FleetState)
{
  void setup() override
  {
    Service service;
    service.m_id = ServiceId{ "s" };
    Execute(PutService{ service }, 0);
    Execute(PutPool{ PoolId{ "p" }, ServiceId{ "s" }, "home" }, 0);
  }

  CallReply Execute(
    Call aCall, std::uint64_t aExpected, const char* aId = nullptr)
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

  void Announce(const Announcement& aAnnouncement)
  {
    Apply(AnnounceInstances{ { aAnnouncement } });
  }

  const Instance& InstanceAt(const char* aId)
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
  const auto accepted =
    Execute(DrainPool{ PoolId{ "p" }, true }, revision.Get(), "first");
  const auto refused =
    Execute(DrainPool{ PoolId{ "p" }, false }, revision.Get(), "second");
  CHECK(accepted.m_refusal == Refusal::kNone);
  CHECK(refused.m_refusal == Refusal::kConflict);
  CHECK_STRING("first", refused.m_winner.Get());
  CHECK_STRING("anna", refused.m_winnerOperator);
  CHECK(m_state.Pools().at(PoolId{ "p" }).m_draining);
}

// The reply is lost and the operator resends the call, possibly to another
// replica, after another operator has changed the object. The call must not
// take effect again.
TEST(FleetState, Call_ResentAfterLostAnswer_GetsFirstAnswerAndActsOnce)
{
  const auto first =
    Execute(PutPool{ PoolId{ "q" }, ServiceId{ "s" }, "" }, 0, "x");
  Execute(DrainPool{ PoolId{ "q" }, true }, first.m_revision.Get());
  m_state = *State::Decode(m_state.Encode());
  const auto again =
    Execute(PutPool{ PoolId{ "q" }, ServiceId{ "s" }, "" }, 0, "x");
  CHECK(again.m_refusal == Refusal::kNone);
  CHECK(again.m_revision == first.m_revision);
  CHECK(m_state.Pools().at(PoolId{ "q" }).m_draining);
}

TEST(FleetState, Refusal_Resent_GetsSameRefusal)
{
  const auto refused = Execute(RemovePool{ PoolId{ "none" } }, 0, "y");
  CHECK(refused.m_refusal == Refusal::kNotFound);
  const auto again = Execute(RemovePool{ PoolId{ "none" } }, 0, "y");
  CHECK(again.m_refusal == Refusal::kNotFound);
}

TEST(FleetState, Announcement_EarlierIncarnationOrReordered_IsIgnored)
{
  Announce(MakeAnnouncement("w", 2, 5));
  Announcement older = MakeAnnouncement("w", 1, 9);
  older.m_state = InstanceState::kLeaving;
  Announce(older);
  Announcement reordered = MakeAnnouncement("w", 2, 4);
  reordered.m_state = InstanceState::kLeaving;
  Announce(reordered);
  CHECK(InstanceAt("w").m_announced.m_state == InstanceState::kUp);
  LONGS_EQUAL(5, InstanceAt("w").m_announced.m_sequence);
}

TEST(FleetState, LostInstance_AnnouncedAgain_IsNoLongerLost)
{
  Announce(MakeAnnouncement("w", 1, 1));
  Apply(LoseInstances{ { InstanceId{ "w" } } });
  CHECK(InstanceAt("w").m_lost);
  Announce(MakeAnnouncement("w", 1, 1));
  CHECK_FALSE(InstanceAt("w").m_lost);
}

TEST(FleetState, Instance_MovedByOperator_StaysThroughAnnouncements)
{
  Execute(PutPool{ PoolId{ "q" }, ServiceId{ "s" }, "" }, 0);
  Announce(MakeAnnouncement("w", 1, 1));
  CHECK(InstanceAt("w").m_pool == PoolId{ "p" });
  CHECK(
    Execute(MoveInstance{ InstanceId{ "w" }, PoolId{ "q" } }, 0).m_refusal ==
    Refusal::kNone);
  Announce(MakeAnnouncement("w", 2, 1));
  CHECK(InstanceAt("w").m_pool == PoolId{ "q" });
}

TEST(FleetState, Pool_WithInstances_CannotBeRemoved)
{
  Announce(MakeAnnouncement("w", 1, 1));
  const auto revision = m_state.Pools().at(PoolId{ "p" }).m_change.m_revision;
  CHECK(Execute(RemovePool{ PoolId{ "p" } }, revision.Get()).m_refusal ==
        Refusal::kInUse);
}

TEST(FleetState, Service_NamedLikeAnEntryPath_IsRefused)
{
  Service service;
  service.m_id = ServiceId{ "metrics" };
  CHECK(Execute(PutService{ service }, 0).m_refusal == Refusal::kInvalid);
}

TEST(FleetState, Config_OutOfRange_ChangesNothing)
{
  Config config;
  config.m_panicPercent = 101;
  config.m_note = "bad";
  const Index before = m_state.ViewRevision();
  const auto refused = Execute(SetConfig{ config }, 0);
  CHECK(refused.m_refusal == Refusal::kInvalid);
  CHECK(refused.m_message.find("panicPercent") != std::string::npos);
  CHECK(m_state.ViewRevision() == before);
  CHECK_STRING("", m_state.CurrentConfig().m_note);
}

TEST(FleetState, WaveStep_ProposedTwice_IsTakenOnce)
{
  Announce(MakeAnnouncement("w", 1, 1));
  const auto created = Execute(CreateWave{ WaveId{ "v" }, PoolId{ "p" } }, 0);
  Execute(SetWaveState{ WaveId{ "v" }, WaveState::kRunning },
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
  CHECK(InstanceAt("w").m_wave == WaveId{ "v" });
}

TEST(FleetState, View_SinceRevision_HoldsOnlyWhatChanged)
{
  Announce(MakeAnnouncement("w", 1, 1));
  const Index seen = m_state.ViewRevision();
  Announce(MakeAnnouncement("x", 1, 1));
  const View view = m_state.ViewSince(seen);
  CHECK_FALSE(view.m_full);
  LONGS_EQUAL(1, view.m_instances.size());
  LONGS_EQUAL(0, view.m_pools.size());
  LONGS_EQUAL(2, m_state.ViewSince(Index{}).m_instances.size());
}

TEST(FleetState, Snapshot_DecodedAndContinued_EqualsOriginal)
{
  Announce(MakeAnnouncement("w", 1, 1));
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

// A new leader restores the state from a snapshot. If the recent orders of an
// earlier leader were missing in it, the two leaders would send conflicting
// orders for one instance.
TEST(FleetState, RecentOrders_SnapshotDecoded_KeptUntilSettled)
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
  const auto sent =
    EncodeCommand(RecordOrders{ { InstanceId{ "a" } },
                                { InstanceId{ "a" }, InstanceId{ "b" } } },
                  kStateVersion);
  Apply(*DecodeCommand(sent));
  const std::set<InstanceId> left{ InstanceId{ "a" }, InstanceId{ "c" } };
  CHECK(left == m_state.RecentOrders());
}

// Guards against batches of job changes that wait for seconds behind the route
// tables before them, on a slow link between replicas.
TEST(FleetState, LargeRouteTable_Encoded_TakesSmallPartOfItsBytes)
{
  RouteTable table;
  table.m_version = 3;
  for (int i = 0; i < 1400; ++i) {
    QueueRoute route;
    route.m_name = "route-" + std::to_string(i);
    route.m_host = "queues.example";
    route.m_pathPrefix = "/" + route.m_name + "/";
    route.m_service = ServiceId{ "desk" };
    table.m_routes.push_back(route);
    table.m_document += R"({"name":")" + route.m_name + R"(","host":"h"},)";
  }
  const ReplaceRoutes replace{ table };
  const std::string plain = EncodeCommand(replace, kStateVersion - 1);
  const std::string deflated = EncodeCommand(replace, kStateVersion);
  CHECK_COMPARE(deflated.size(), <, plain.size() / 8);
  for (const std::string& bytes : { plain, deflated }) {
    const auto command = DecodeCommand(bytes);
    CHECK(command.has_value());
    const RouteTable& decoded = std::get<ReplaceRoutes>(*command).m_table;
    LONGS_EQUAL(1400, decoded.m_routes.size());
    CHECK(decoded.m_document == table.m_document);
  }
}

// Guards against a replica that ends, or applies another command, where its
// disk has damaged a deflated one.
TEST(FleetState, DamagedDeflatedCommand_Decoded_IsRefused)
{
  RouteTable table;
  table.m_document = std::string(100'000, 'x');
  const std::string bytes =
    EncodeCommand(ReplaceRoutes{ table }, kStateVersion);
  CHECK(DecodeCommand(bytes).has_value());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(DecodeCommand(bytes.substr(0, length)).has_value());
  }
  std::string changed = bytes;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    changed[i] = static_cast<char>(bytes[i] ^ 0x55);
    const auto command = DecodeCommand(changed);
    CHECK(!command || std::get<ReplaceRoutes>(*command).m_table.m_document ==
                        table.m_document);
    changed[i] = bytes[i];
  }
}

TEST(FleetState, DamagedSnapshot_Decoded_IsRefused)
{
  std::string bytes = m_state.Encode();
  CHECK_FALSE(State::Decode(bytes.substr(0, bytes.size() / 2)).has_value());
  CHECK_FALSE(State::Decode("").has_value());
}

// Moves, removals, announcements and new waves arrive in random order. After
// each command every instance must be in one pool of its own service.
TEST(FleetState, RacingCommands_AnyOrder_InstanceIsInOnePoolOfItsService)
{
  std::mt19937 random(7);
  Execute(PutPool{ PoolId{ "q" }, ServiceId{ "s" }, "" }, 0);
  for (int i = 0; i < 3000; ++i) {
    const std::string id = "w" + std::to_string(random() % 5);
    const PoolId pool{ random() % 2 == 0 ? "p" : "q" };
    const auto found = m_state.Instances().find(InstanceId{ id });
    const std::uint64_t revision = found == m_state.Instances().end()
                                     ? 0
                                     : found->second.m_change.m_revision.Get();
    switch (random() % 5) {
      case 0:
        Announce(MakeAnnouncement(id.c_str(), 1 + random() % 3, random() % 10));
        break;
      case 1:
        Execute(MoveInstance{ InstanceId{ id }, pool }, revision);
        break;
      case 2:
        Apply(LoseInstances{ { InstanceId{ id } } });
        break;
      case 3:
        Execute(RemoveInstance{ InstanceId{ id } }, revision);
        break;
      default:
        Execute(CreateWave{ WaveId{ "v" + std::to_string(i) }, pool }, 0);
        break;
    }
    for (const auto& [key, instance] : m_state.Instances()) {
      CHECK(instance.m_pool.has_value());
      CHECK(m_state.Pools().at(*instance.m_pool).m_service ==
            instance.m_announced.m_service);
    }
  }
}
