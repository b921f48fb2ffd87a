#include "bamboostile/membership/registry.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::membership;

namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
const outcome::EntryId kOne{ InstanceId{ "e1" }, Incarnation{ 1 } };
const outcome::EntryId kTwo{ InstanceId{ "e2" }, Incarnation{ 1 } };
constexpr Duration kPastLease = Millis{ 2000 };
constexpr Duration kPastOrphans = Millis{ 8000 };

} // namespace

TEST_GROUP(Registry)
{
  void setup() override
  {
    m_registry.Reset(kStart);
  }

  void Sync(const outcome::EntryId& aEntry,
            std::uint64_t aRevision,
            TimePoint aNow,
            std::uint32_t aInFlight = 0)
  {
    SyncReport report;
    report.m_entry = aEntry;
    report.m_revision = Index{ aRevision };
    if (aInFlight > 0) {
      report.m_inFlight.push_back({ InstanceId{ "w" }, aInFlight });
    }
    m_registry.OnSync(report, aNow);
  }

  fleet::Instance Leaving(std::uint64_t aModified)
  {
    fleet::Instance instance;
    instance.m_announced.m_id = InstanceId{ "w" };
    instance.m_modified = Index{ aModified };
    return instance;
  }

  std::map<InstanceId, fleet::Instance> Fleet(int aCount)
  {
    std::map<InstanceId, fleet::Instance> fleet;
    for (int i = 0; i < aCount; ++i) {
      fleet::Instance instance;
      instance.m_announced.m_id = InstanceId{ "w" + std::to_string(i) };
      instance.m_announced.m_incarnation = Incarnation{ 1 };
      fleet[instance.m_announced.m_id] = instance;
    }
    return fleet;
  }

  Registry m_registry{ Options{} };
};

// A new leader knows no entry. One that it has not heard from may still serve
// what the old leader gave it, until its lease must have run out.
TEST(Registry, NewLeader_WithinOneLease_ClaimsNothingInForce)
{
  Sync(kOne, 10, kStart + Millis{ 100 });
  CHECK_FALSE(m_registry.InForce(Index{ 5 }, kStart + Millis{ 1000 }));
  Sync(kOne, 10, kStart + kPastLease);
  CHECK(m_registry.InForce(Index{ 5 }, kStart + kPastLease));
}

TEST(Registry, Entry_LaggingAlive_KeepsChangeFromBeingInForce)
{
  const TimePoint now = kStart + kPastLease;
  Sync(kOne, 10, now);
  Sync(kTwo, 9, now);
  CHECK_FALSE(m_registry.InForce(Index{ 10 }, now));
  Sync(kTwo, 10, now);
  CHECK(m_registry.InForce(Index{ 10 }, now));
}

TEST(Registry, Entry_Silent_StopsCountingOnlyAfterItsLease)
{
  const TimePoint now = kStart + kPastLease;
  Sync(kOne, 10, now);
  Sync(kTwo, 9, now);
  CHECK_FALSE(m_registry.InForce(Index{ 10 }, now + Millis{ 1500 }));
  Sync(kOne, 10, now + Millis{ 1700 });
  CHECK(m_registry.InForce(Index{ 10 }, now + Millis{ 1700 }));
}

TEST(Registry, Drain_WorkUnderWay_IsNotEmpty)
{
  const TimePoint now = kStart + kPastOrphans;
  Sync(kOne, 10, now, 1);
  CHECK_FALSE(m_registry.IsEmpty(Leaving(10), now));
  Sync(kOne, 10, now, 0);
  CHECK(m_registry.IsEmpty(Leaving(10), now));
  CHECK_FALSE(m_registry.IsEmpty(Leaving(11), now));
}

// An entry vanishes while its request runs at the instance. Its lease ends, so
// it sends nothing new, but what it sent may run on.
TEST(Registry, Drain_EntryVanishedWithWork_WaitsOutTheGrace)
{
  const TimePoint now = kStart + kPastOrphans;
  Sync(kOne, 10, now);
  Sync(kTwo, 10, now, 1);
  const TimePoint gone = now + Millis{ 3000 };
  Sync(kOne, 10, gone);
  CHECK_FALSE(m_registry.IsEmpty(Leaving(10), gone));
  const TimePoint late = now + kPastOrphans;
  Sync(kOne, 10, late);
  CHECK(m_registry.IsEmpty(Leaving(10), late));
}

TEST(Registry, Entry_LeavingByPlan_IsForgottenAtOnce)
{
  const TimePoint now = kStart + kPastLease;
  Sync(kOne, 9, now);
  SyncReport goodbye;
  goodbye.m_entry = kOne;
  goodbye.m_leaving = true;
  m_registry.OnSync(goodbye, now);
  CHECK(m_registry.InForce(Index{ 10 }, now));
}

TEST(Registry, SilentUpstream_OthersHeard_IsLost)
{
  const auto fleet = Fleet(6);
  const TimePoint now = kStart + std::chrono::seconds{ 10 };
  for (int i = 1; i < 6; ++i) {
    m_registry.OnAlive(
      InstanceId{ "w" + std::to_string(i) }, Incarnation{ 1 }, now);
  }
  const auto lost = m_registry.FindLost(fleet, now);
  LONGS_EQUAL(1, lost.size());
  CHECK(lost[0] == InstanceId{ "w0" });
}

// Most upstreams fall silent at once: more likely we are the ones cut off.
TEST(Registry, MostUpstreamsSilentAtOnce_NobodyIsDropped)
{
  const auto fleet = Fleet(6);
  const TimePoint now = kStart + std::chrono::seconds{ 10 };
  m_registry.OnAlive(InstanceId{ "w0" }, Incarnation{ 1 }, now);
  LONGS_EQUAL(0, m_registry.FindLost(fleet, now).size());
}

TEST(Registry, EarlierLife_Renewed_DoesNotKeepNewOneAlive)
{
  auto fleet = Fleet(6);
  fleet[InstanceId{ "w0" }].m_announced.m_incarnation = Incarnation{ 2 };
  const TimePoint now = kStart + std::chrono::seconds{ 10 };
  for (int i = 0; i < 6; ++i) {
    m_registry.OnAlive(
      InstanceId{ "w" + std::to_string(i) }, Incarnation{ 1 }, now);
  }
  LONGS_EQUAL(1, m_registry.FindLost(fleet, now).size());
}
