#include "bamboostile/request/engine.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::request;

namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

fleet::View
ViewOf(const std::vector<std::string>& aServices, std::uint64_t aRevision)
{
  fleet::View view;
  view.m_revision = Index{ aRevision };
  view.m_full = true;
  for (const std::string& name : aServices) {
    fleet::Service service;
    service.m_id = ServiceId{ name };
    view.m_services.push_back(service);
    fleet::Pool pool;
    pool.m_id = PoolId{ "pool-" + name };
    pool.m_service = service.m_id;
    view.m_pools.push_back(pool);
    fleet::Instance instance;
    instance.m_announced.m_id = InstanceId{ "w-" + name };
    instance.m_announced.m_service = service.m_id;
    instance.m_announced.m_slots = 2;
    instance.m_pool = pool.m_id;
    view.m_instances.push_back(instance);
  }
  return view;
}

} // namespace

TEST_GROUP(RequestEngine)
{
  void setup() override
  {
    m_engine.OnView(ViewOf({ "a", "b" }, 1), kStart);
    m_engine.OnLease(kStart + std::chrono::hours{ 1 }, 0, 1, kStart);
  }

  /** Sends an idempotent request and returns the engine's actions. */
  std::vector<Action> Send(const char* aService, Duration aTimeout)
  {
    Arrival arrival;
    arrival.m_local = LocalId{ ++m_last };
    arrival.m_service = ServiceId{ aService };
    arrival.m_idempotentMethod = true;
    arrival.m_timeout = aTimeout;
    m_engine.OnArrival(arrival, kStart);
    return m_engine.TakeActions();
  }

  Reason RefusalOf(const std::vector<Action>& aActions)
  {
    for (const Action& action : aActions) {
      if (const auto* conclude = std::get_if<Conclude>(&action)) {
        return conclude->m_reason;
      }
    }
    return Reason::kNone;
  }

  Engine m_engine{ {}, { InstanceId{ "e" }, Incarnation{ 1 } }, ZoneId{ "z" } };
  std::uint64_t m_last = 0;
};

// An entry that missed many revisions gets a full view. A service that is
// missing from it was removed meanwhile and must not be served any longer.
TEST(RequestEngine, FullViewWithoutService_ServiceIsUnknown)
{
  CHECK(RefusalOf(Send("b", Millis{ 1000 })) == Reason::kNone);
  m_engine.OnView(ViewOf({ "a" }, 9), kStart);
  CHECK(RefusalOf(Send("b", Millis{ 1000 })) == Reason::kUnknownService);
  CHECK(RefusalOf(Send("a", Millis{ 1000 })) == Reason::kNone);
}

// A late view from a lagging replica must not revert the current state.
TEST(RequestEngine, OlderView_Late_ChangesNothing)
{
  m_engine.OnView(ViewOf({ "a", "b" }, 9), kStart);
  m_engine.OnView(ViewOf({}, 5), kStart);
  CHECK(m_engine.Revision() == Index{ 9 });
  CHECK(RefusalOf(Send("a", Millis{ 1000 })) == Reason::kNone);
}

// A request that would miss its deadline in a long queue must be refused at
// once, with a retry-after time, instead of after its deadline.
TEST(RequestEngine, DeadlineThatCannotBeMet_RefusedAtOnceWithRetryAfter)
{
  for (int i = 0; i < 60; ++i) {
    Send("a", Millis{ 5000 });
  }
  const auto actions = Send("a", Millis{ 60 });
  CHECK(RefusalOf(actions) == Reason::kDeadline);
  const auto& conclude = std::get<Conclude>(actions.front());
  CHECK(conclude.m_state == outcome::State::kNotRun);
  CHECK(conclude.m_retryAfter > Duration::zero());
}

// A service that floods the entry is limited to its share and must not keep
// requests of another service from being served.
TEST(RequestEngine, FloodOfOneService_OtherKeepsItsShare)
{
  fleet::View view = ViewOf({ "a", "b" }, 2);
  view.m_config = fleet::Config{};
  view.m_config->m_maxRequests = 20;
  m_engine.OnView(view, kStart);
  Reason last = Reason::kNone;
  for (int i = 0; i < 30; ++i) {
    last = RefusalOf(Send("a", std::chrono::minutes{ 1 }));
  }
  CHECK(last == Reason::kEntryFull);
  CHECK(RefusalOf(Send("b", std::chrono::minutes{ 1 })) == Reason::kNone);
}

// When the grace period after a lease has ended, queued requests must be
// refused at once instead of waiting for their deadlines.
TEST(RequestEngine, LeaseLongGone_QueuedRequestsAreRefusedAtOnce)
{
  Engine engine({}, { InstanceId{ "e" }, Incarnation{ 1 } }, ZoneId{ "z" });
  engine.OnView(ViewOf({ "a" }, 1), kStart);
  engine.OnLease(kStart + Millis{ 1 }, 0, 1, kStart);
  Arrival arrival;
  arrival.m_local = LocalId{ 1 };
  arrival.m_service = ServiceId{ "a" };
  arrival.m_idempotentMethod = true;
  arrival.m_timeout = std::chrono::minutes{ 1 };
  engine.OnArrival(arrival, kStart + Millis{ 10 });
  CHECK(engine.TakeActions().empty());
  engine.Tick(kStart + Millis{ 3100 });
  CHECK(RefusalOf(engine.TakeActions()) == Reason::kNoLease);
}
