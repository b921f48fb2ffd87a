#include "bamboostile/membership/registry.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::membership;

namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
const outcome::EntryId kEntry{ InstanceId{ "e1" }, Incarnation{ 1 } };
const outcome::EntryId kOtherEntry{ InstanceId{ "e2" }, Incarnation{ 1 } };
constexpr Duration kAfterLease = Millis{ 2000 };
constexpr Duration kAfterOrphanGrace = Millis{ 8000 };

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

  fleet::Instance LeavingInstance(std::uint64_t aModified)
  {
    fleet::Instance instance;
    instance.m_announced.m_id = InstanceId{ "w" };
    instance.m_modified = Index{ aModified };
    return instance;
  }

  std::map<InstanceId, fleet::Instance> MakeFleet(int aCount)
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

// A new leader knows no entry. An entry that has not reported to it may still
// serve the previous leader's state until its lease has certainly ended.
TEST(Registry, NewLeader_WithinOneLease_ClaimsNothingInForce)
{
  Sync(kEntry, 10, kStart + Millis{ 100 });
  CHECK_FALSE(m_registry.InForce(Index{ 5 }, kStart + Millis{ 1000 }));
  Sync(kEntry, 10, kStart + kAfterLease);
  CHECK(m_registry.InForce(Index{ 5 }, kStart + kAfterLease));
}

TEST(Registry, Entry_LaggingAlive_KeepsChangeFromBeingInForce)
{
  const TimePoint now = kStart + kAfterLease;
  Sync(kEntry, 10, now);
  Sync(kOtherEntry, 9, now);
  CHECK_FALSE(m_registry.InForce(Index{ 10 }, now));
  Sync(kOtherEntry, 10, now);
  CHECK(m_registry.InForce(Index{ 10 }, now));
}

TEST(Registry, Entry_Unresponsive_CountsUntilItsLeaseEnds)
{
  const TimePoint now = kStart + kAfterLease;
  Sync(kEntry, 10, now);
  Sync(kOtherEntry, 9, now);
  CHECK_FALSE(m_registry.InForce(Index{ 10 }, now + Millis{ 1500 }));
  Sync(kEntry, 10, now + Millis{ 1700 });
  CHECK(m_registry.InForce(Index{ 10 }, now + Millis{ 1700 }));
}

TEST(Registry, Drain_WorkUnderWay_IsNotEmpty)
{
  const TimePoint now = kStart + kAfterOrphanGrace;
  Sync(kEntry, 10, now, 1);
  CHECK_FALSE(m_registry.IsDrained(LeavingInstance(10), now));
  Sync(kEntry, 10, now, 0);
  CHECK(m_registry.IsDrained(LeavingInstance(10), now));
  CHECK_FALSE(m_registry.IsDrained(LeavingInstance(11), now));
}

// An entry is lost while its request runs at the instance. Its lease ends, so
// it sends no new work, but the request may still be running.
TEST(Registry, Drain_EntryLostWithWork_WaitsForOrphanGrace)
{
  const TimePoint now = kStart + kAfterOrphanGrace;
  Sync(kEntry, 10, now);
  Sync(kOtherEntry, 10, now, 1);
  const TimePoint leaseOver = now + Millis{ 3000 };
  Sync(kEntry, 10, leaseOver);
  CHECK_FALSE(m_registry.IsDrained(LeavingInstance(10), leaseOver));
  const TimePoint graceOver = now + kAfterOrphanGrace;
  Sync(kEntry, 10, graceOver);
  CHECK(m_registry.IsDrained(LeavingInstance(10), graceOver));
}

TEST(Registry, Entry_LeavingByPlan_IsForgottenAtOnce)
{
  const TimePoint now = kStart + kAfterLease;
  Sync(kEntry, 9, now);
  SyncReport leavingReport;
  leavingReport.m_entry = kEntry;
  leavingReport.m_leaving = true;
  m_registry.OnSync(leavingReport, now);
  CHECK(m_registry.InForce(Index{ 10 }, now));
}

TEST(Registry, UnresponsiveUpstream_OthersReport_IsLost)
{
  const auto fleet = MakeFleet(6);
  const TimePoint now = kStart + std::chrono::seconds{ 10 };
  for (int i = 1; i < 6; ++i) {
    m_registry.OnAnnouncement(
      InstanceId{ "w" + std::to_string(i) }, Incarnation{ 1 }, now);
  }
  const auto lost = m_registry.FindLost(fleet, now);
  LONGS_EQUAL(1, lost.size());
  CHECK(lost[0] == InstanceId{ "w0" });
}

// If most upstreams are unresponsive at once, this replica is more likely cut
// off itself.
TEST(Registry, MostUpstreamsUnresponsiveAtOnce_NoneIsLost)
{
  const auto fleet = MakeFleet(6);
  const TimePoint now = kStart + std::chrono::seconds{ 10 };
  m_registry.OnAnnouncement(InstanceId{ "w0" }, Incarnation{ 1 }, now);
  LONGS_EQUAL(0, m_registry.FindLost(fleet, now).size());
}

TEST(Registry, EarlierIncarnation_Renewed_DoesNotKeepLaterOneAlive)
{
  auto fleet = MakeFleet(6);
  fleet[InstanceId{ "w0" }].m_announced.m_incarnation = Incarnation{ 2 };
  const TimePoint now = kStart + std::chrono::seconds{ 10 };
  for (int i = 0; i < 6; ++i) {
    m_registry.OnAnnouncement(
      InstanceId{ "w" + std::to_string(i) }, Incarnation{ 1 }, now);
  }
  LONGS_EQUAL(1, m_registry.FindLost(fleet, now).size());
}
