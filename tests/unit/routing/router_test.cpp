#include "bamboostile/routing/router.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::routing;

namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Duration kElapsed = Millis{ 5 };

fleet::Instance
Upstream(int aNumber, std::uint64_t aIncarnation = 1)
{
  fleet::Instance instance;
  instance.m_announced.m_id = InstanceId{ "w" + std::to_string(aNumber) };
  instance.m_announced.m_incarnation = Incarnation{ aIncarnation };
  instance.m_announced.m_rack = RackId{ "r" + std::to_string(aNumber / 4) };
  instance.m_announced.m_zone = ZoneId{ "z" + std::to_string(aNumber % 3) };
  instance.m_announced.m_slots = 8;
  return instance;
}

} // namespace

TEST_GROUP(Router){ void Fill(Router & aRouter, int aCount){
  for (int i = 0; i < aCount; ++i){ aRouter.Update(Upstream(i), true);
}
}

/** Sends aCount requests one after another, of which those to aFailing fail. */
std::map<InstanceId, int>
Send(Router& aRouter, int aCount, const InstanceId& aFailing, TimePoint aNow)
{
  std::map<InstanceId, int> sent;
  for (int i = 0; i < aCount; ++i) {
    const auto pick = aRouter.Choose({}, aNow);
    ++sent[pick->m_instance];
    const bool fails = pick->m_instance == aFailing;
    aRouter.Finish(pick->m_instance,
                   fails ? Verdict::kFailure : Verdict::kSuccess,
                   kElapsed,
                   aNow);
  }
  return sent;
}

void
FailUntilEjected(Router& aRouter, const InstanceId& aId)
{
  for (int i = 0; i < Options{}.m_ejectionThreshold; ++i) {
    aRouter.Finish(aId, Verdict::kFailure, kElapsed, kStart);
  }
}
}
;

// An upstream that fails quickly frees its slots quickly, so balancing by load
// alone would send it most of the work.
TEST(Router, UpstreamFailingQuickly_UnderLoad_DrawsLittleWork)
{
  Router router({}, ZoneId{ "z0" });
  router.SetLimits(30, 50, false);
  Fill(router, 10);
  const auto sent = Send(router, 1000, InstanceId{ "w3" }, kStart);
  CHECK(sent.at(InstanceId{ "w3" }) < 20);
}

// A single old error must not keep an upstream idle forever: while it is
// avoided, no success can lower its error share.
TEST(Router, SingleErrorLongAgo_LowLoad_UpstreamIsUsedAgain)
{
  Router router({}, ZoneId{ "z0" });
  router.SetLimits(30, 50, false);
  Fill(router, 4);
  router.Finish(InstanceId{ "w1" }, Verdict::kFailure, kElapsed, kStart);
  const TimePoint later = kStart + std::chrono::minutes{ 1 };
  const auto sent = Send(router, 200, InstanceId{ "none" }, later);
  CHECK(sent.contains(InstanceId{ "w1" }));
}

// If all upstreams fail, ejecting all of them would itself cause an outage.
TEST(Router, AllUpstreamsFailing_EjectionStopsAtCeiling)
{
  Router router({}, ZoneId{ "z0" });
  router.SetLimits(30, 50, false);
  Fill(router, 10);
  for (int i = 0; i < 1000; ++i) {
    const auto pick = router.Choose({}, kStart);
    router.Finish(pick->m_instance, Verdict::kFailure, kElapsed, kStart);
  }
  LONGS_EQUAL(3, router.EjectedCount(kStart));
  CHECK(router.Choose({}, kStart).has_value());
}

TEST(Router, EjectedUpstream_AfterEjectionTime_IsUsedAgain)
{
  Router router({}, ZoneId{ "z0" });
  router.SetLimits(30, 0, false);
  Fill(router, 4);
  FailUntilEjected(router, InstanceId{ "w1" });
  LONGS_EQUAL(1, router.EjectedCount(kStart));
  const TimePoint later = kStart + std::chrono::seconds{ 40 };
  const auto sent = Send(router, 400, InstanceId{ "none" }, later);
  CHECK(sent.contains(InstanceId{ "w1" }));
}

TEST(Router, NewIncarnation_StartsWithoutOldErrors)
{
  Router router({}, ZoneId{ "z0" });
  router.SetLimits(30, 0, false);
  Fill(router, 4);
  FailUntilEjected(router, InstanceId{ "w1" });
  router.Update(Upstream(1, 2), true);
  LONGS_EQUAL(0, router.EjectedCount(kStart));
}

TEST(Router, NotRoutableUpstream_GetsNothingAndReportsInFlight)
{
  Router router({}, ZoneId{ "z0" });
  Fill(router, 1);
  CHECK(router.Choose({}, kStart).has_value());
  router.Update(Upstream(0), false);
  CHECK_FALSE(router.Choose({}, kStart).has_value());
  LONGS_EQUAL(1, router.DrainingInFlight().size());
  router.Finish(InstanceId{ "w0" }, Verdict::kSuccess, kElapsed, kStart);
  LONGS_EQUAL(0, router.DrainingInFlight().size());
}

TEST(Router, Retry_OtherRackAvailable_AvoidsFailedRack)
{
  Router router({}, ZoneId{ "z0" });
  Fill(router, 8);
  for (int i = 0; i < 30; ++i) {
    const auto pick = router.Choose({ RackId{ "r0" } }, kStart);
    CHECK(pick->m_rack == RackId{ "r1" });
    router.Finish(pick->m_instance, Verdict::kSuccess, kElapsed, kStart);
  }
}

TEST(Router, SameZoneFirst_FreeCapacityInZone_StaysInZone)
{
  Router router({}, ZoneId{ "z1" });
  router.SetLimits(30, 50, true);
  router.SetShare(0, 1);
  Fill(router, 9);
  const auto sent = Send(router, 100, InstanceId{ "none" }, kStart);
  for (const auto& [id, count] : sent) {
    CHECK((id == InstanceId{ "w1" } || id == InstanceId{ "w4" } ||
           id == InstanceId{ "w7" }));
  }
}

// Every entry computes the same owner for a slot, so each slot must be owned by
// exactly one entry.
TEST(Router, OwnedSlots_OverAllEntries_AddUpToAllSlots)
{
  for (const std::uint32_t entries : { 1U, 3U, 8U, 12U }) {
    std::uint32_t owned = 0;
    for (std::uint32_t i = 0; i < entries; ++i) {
      Options options;
      options.m_borrowPercent = 0;
      Router router(options, ZoneId{ "z0" });
      Fill(router, 50);
      router.SetShare(i, entries);
      std::uint32_t taken = 0;
      while (router.Choose({}, kStart)) {
        ++taken;
      }
      owned += taken;
    }
    LONGS_EQUAL(400, owned);
  }
}
