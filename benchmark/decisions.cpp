// Measures the time of one routing decision, and of one request in the engine
// from arrival to final answer, as the number of upstreams grows. Both should
// stay nearly constant.

#include "report.h"

#include "bamboostile/request/engine.h"

#include <chrono>
#include <iostream>

namespace {

using namespace bamboostile;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr int kIterations = 400'000;
constexpr std::uint32_t kEntries = 12;

double
NanosSince(std::chrono::steady_clock::time_point aStart, int aIterations)
{
  const std::chrono::duration<double, std::nano> elapsed =
    std::chrono::steady_clock::now() - aStart;
  return elapsed.count() / aIterations;
}

fleet::Instance
MakeUpstream(std::size_t aNumber)
{
  fleet::Instance instance;
  instance.m_announced.m_id = InstanceId{ "w" + std::to_string(aNumber) };
  instance.m_announced.m_service = ServiceId{ "s" };
  instance.m_announced.m_zone = ZoneId{ "z" + std::to_string(aNumber % 3) };
  instance.m_announced.m_rack = RackId{ "r" + std::to_string(aNumber / 4) };
  instance.m_announced.m_slots = 8;
  instance.m_pool = PoolId{ "p" };
  return instance;
}

/** Time of one choice and one finish in ns, with 16 requests in flight. */
double
ChooseAndFinish(std::size_t aUpstreams)
{
  routing::Router router({}, ZoneId{ "z0" });
  for (std::size_t i = 0; i < aUpstreams; ++i) {
    router.Update(MakeUpstream(i), true);
  }
  router.SetShare(3, kEntries);
  std::vector<InstanceId> running;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kIterations; ++i) {
    const TimePoint now = kStart + Duration{ i };
    if (const auto choice = router.Choose({}, now)) {
      running.push_back(choice->m_instance);
    }
    if (running.size() > 16) {
      router.Finish(
        running[i % 16], routing::Verdict::kSuccess, Millis{ 5 }, now);
      running[i % 16] = running.back();
      running.pop_back();
    }
  }
  return NanosSince(start, kIterations);
}

double
ArrivalToAnswer(std::size_t aUpstreams)
{
  request::Engine engine(
    {}, { InstanceId{ "e" }, Incarnation{ 1 } }, ZoneId{ "z0" });
  fleet::View view;
  view.m_revision = Index{ 1 };
  view.m_full = true;
  fleet::Service service;
  service.m_id = ServiceId{ "s" };
  view.m_services.push_back(service);
  fleet::Pool pool;
  pool.m_id = PoolId{ "p" };
  pool.m_service = service.m_id;
  view.m_pools.push_back(pool);
  for (std::size_t i = 0; i < aUpstreams; ++i) {
    view.m_instances.push_back(MakeUpstream(i));
  }
  engine.OnView(view, kStart);
  engine.OnLease(kStart + std::chrono::hours{ 1 }, 3, kEntries, kStart);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kIterations; ++i) {
    const TimePoint now = kStart + Duration{ i };
    const request::LocalId local{ static_cast<std::uint64_t>(i) };
    request::Arrival arrival;
    arrival.m_local = local;
    arrival.m_service = service.m_id;
    arrival.m_idempotentMethod = true;
    engine.OnArrival(arrival, now);
    engine.TakeActions();
    request::AttemptResult result;
    result.m_end = request::AttemptEnd::kAnswered;
    result.m_status = 200;
    result.m_elapsed = Millis{ 5 };
    engine.OnAttempt(local, 1, result, now);
    engine.TakeActions();
  }
  return NanosSince(start, kIterations);
}

} // namespace

int
main()
{
  benchmark::Report report("decisions");
  for (const std::size_t upstreams : { 50UL, 500UL, 3000UL }) {
    const std::string count = std::to_string(upstreams);
    report.Set("choose and finish, ns at " + count, ChooseAndFinish(upstreams));
    report.Set("arrival to answer, ns at " + count, ArrivalToAnswer(upstreams));
    std::cout << count << " upstreams: choose and finish "
              << report.Get("choose and finish, ns at " + count)
              << " ns, arrival to answer "
              << report.Get("arrival to answer, ns at " + count) << " ns\n";
  }
  report.AddBound("choose and finish at 3000 beside 50 upstreams",
                  report.Get("choose and finish, ns at 3000") /
                    report.Get("choose and finish, ns at 50"),
                  0.2,
                  5);
  report.AddBound("arrival to answer at 3000 beside 50 upstreams",
                  report.Get("arrival to answer, ns at 3000") /
                    report.Get("arrival to answer, ns at 50"),
                  0.2,
                  5);
  return report.Finish();
}
