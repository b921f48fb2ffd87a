// Simulates how 12 entries share the slots of one service's upstreams without
// coordination per request. Compares the strategies of docs/design/routing.md
// with an ideal single queue that has full knowledge.

#include "report.h"

#include "bamboostile/admission/queue.h"
#include "bamboostile/routing/router.h"

#include <algorithm>
#include <deque>
#include <iostream>
#include <queue>
#include <random>

namespace {

using namespace bamboostile;
using benchmark::Quantile;

constexpr std::size_t kEntries = 12;
constexpr std::uint32_t kSlots = 8;
constexpr Duration kMeanServiceTime = Millis{ 20 };
constexpr Duration kMaxUsualServiceTime = Millis{ 44 };
constexpr Duration kDeadline = Millis{ 400 };
constexpr std::size_t kRequests = 60'000;

struct Strategy
{
  std::string m_name;
  routing::Policy m_policy = routing::Policy::kOwnedSlots;
  std::uint32_t m_borrowPercent = 50;
  /** Refuse requests that cannot meet their deadline on arrival, and drop
   * queued ones once they no longer can. */
  bool m_admission = true;
  /** A single queue with full knowledge and no delay between entries. */
  bool m_ideal = false;
};

struct Load
{
  double m_capacityFraction = 1;
  /** Half of all requests arrive at two entries, the other half at any. */
  bool m_skewed = false;
  std::size_t m_upstreams = 10;
};

struct Result
{
  double m_goodput = 0;
  double m_p50Ms = 0;
  double m_p99Ms = 0;
  double m_onTimeFraction = 0;
};

struct Request
{
  TimePoint m_arrived;
  TimePoint m_sent;
  Duration m_serviceTime;
  std::size_t m_entry = 0;
};

/** A discrete-event simulation of entries, which have a router and a queue
 * each, and of upstreams, which have slots and a queue. */
class Simulation
{
public:
  Simulation(const Strategy& aStrategy, const Load& aLoad)
    : m_strategy(aStrategy)
    , m_load(aLoad)
    , m_upstreams(aLoad.m_upstreams)
    , m_waiting(kEntries)
  {
    for (std::size_t i = 0; i < kEntries; ++i) {
      routing::Options options;
      options.m_policy = aStrategy.m_policy;
      options.m_borrowPercent = aStrategy.m_borrowPercent;
      options.m_seed = i + 1;
      m_routers.emplace_back(options, ZoneId{ "z" });
      m_routers.back().SetLimits(30, 50, false);
      for (std::size_t u = 0; u < aLoad.m_upstreams; ++u) {
        fleet::Instance instance;
        instance.m_announced.m_id = InstanceId{ "w" + std::to_string(u) };
        instance.m_announced.m_slots = kSlots;
        m_routers.back().Update(instance, true);
      }
      m_routers.back().SetShare(i, kEntries);
    }
  }

  Result Run()
  {
    Schedule();
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      if (event.m_upstream) {
        Finish(event.m_request, *event.m_upstream);
      } else {
        Arrive(event.m_request);
      }
    }
    return Summarize();
  }

private:
  struct Event
  {
    TimePoint m_at;
    std::size_t m_request = 0;
    std::optional<std::size_t> m_upstream;
    bool operator<(const Event& aOther) const { return m_at > aOther.m_at; }
  };

  struct Upstream
  {
    std::uint32_t m_running = 0;
    std::deque<std::size_t> m_queue;
  };

  void Schedule()
  {
    std::mt19937_64 random(42);
    const double capacity =
      static_cast<double>(m_load.m_upstreams * kSlots) /
      std::chrono::duration<double>(kMeanServiceTime).count();
    std::exponential_distribution<double> arrivalGap(capacity *
                                                     m_load.m_capacityFraction);
    // Service times vary: most are short, the others four times as long.
    std::discrete_distribution<int> durationKind({ 80, 20 });
    double at = 3600;
    for (std::size_t i = 0; i < kRequests; ++i) {
      at += arrivalGap(random);
      Request request;
      request.m_arrived =
        TimePoint{ Duration{ static_cast<Duration::rep>(at * 1e6) } };
      request.m_serviceTime =
        kMeanServiceTime * (durationKind(random) == 0 ? 5 : 20) / 8;
      const bool isSkewed = m_load.m_skewed && random() % 2 == 0;
      request.m_entry = random() % (isSkewed ? 2 : kEntries);
      m_requests.push_back(request);
      m_events.push({ request.m_arrived, i, std::nullopt });
    }
    m_begin = m_requests.front().m_arrived;
    m_now = m_begin;
  }

  std::size_t QueueOf(std::size_t aRequest) const
  {
    return m_strategy.m_ideal ? 0 : m_requests[aRequest].m_entry;
  }

  void Arrive(std::size_t aRequest)
  {
    const Request& request = m_requests[aRequest];
    admission::Queue& queue = m_waiting[QueueOf(aRequest)];
    const admission::Ticket ticket{ admission::Class::kNormal,
                                    request.m_arrived + kDeadline,
                                    aRequest };
    if (m_strategy.m_admission) {
      const admission::ServiceLoad serviceLoad =
        ServiceLoadOf(QueueOf(aRequest));
      const Duration wait = queue.EstimateWait(ticket, serviceLoad);
      if (m_now + wait + serviceLoad.m_maxUsualServiceTime >
          ticket.m_deadline) {
        return;
      }
    }
    queue.Push(ticket);
    Dispatch(QueueOf(aRequest));
  }

  admission::ServiceLoad ServiceLoadOf(std::size_t aQueue)
  {
    if (m_strategy.m_ideal) {
      std::uint32_t running = 0;
      for (const Upstream& upstream : m_upstreams) {
        running += upstream.m_running;
      }
      return { static_cast<std::uint32_t>(m_upstreams.size() * kSlots),
               running,
               kMeanServiceTime,
               kMaxUsualServiceTime };
    }
    routing::Router& router = m_routers[aQueue];
    return { router.Capacity(m_now),
             router.InFlight(),
             router.MeanServiceTime(),
             router.MaxUsualServiceTime() };
  }

  void Dispatch(std::size_t aQueue)
  {
    admission::Queue& queue = m_waiting[aQueue];
    if (m_strategy.m_admission) {
      queue.TakeExpired(ServiceLoadOf(aQueue).m_maxUsualServiceTime, m_now);
    }
    while (const auto ticket = queue.Pop()) {
      const auto target = Choose(aQueue);
      if (!target) {
        queue.Push(*ticket);
        return;
      }
      m_requests[ticket->m_id].m_sent = m_now;
      Upstream& upstream = m_upstreams[*target];
      if (upstream.m_running < kSlots) {
        StartRequest(ticket->m_id, *target);
      } else {
        upstream.m_queue.push_back(ticket->m_id);
      }
    }
  }

  std::optional<std::size_t> Choose(std::size_t aQueue)
  {
    if (m_strategy.m_ideal) {
      for (std::size_t u = 0; u < m_upstreams.size(); ++u) {
        if (m_upstreams[u].m_running < kSlots) {
          return u;
        }
      }
      return std::nullopt;
    }
    const auto choice = m_routers[aQueue].Choose({}, m_now);
    return choice
             ? std::optional{ std::stoul(choice->m_instance.Get().substr(1)) }
             : std::nullopt;
  }

  void StartRequest(std::size_t aRequest, std::size_t aUpstream)
  {
    ++m_upstreams[aUpstream].m_running;
    m_events.push(
      { m_now + m_requests[aRequest].m_serviceTime, aRequest, aUpstream });
  }

  void Finish(std::size_t aRequest, std::size_t aUpstream)
  {
    Upstream& upstream = m_upstreams[aUpstream];
    --upstream.m_running;
    const Request& request = m_requests[aRequest];
    const Duration elapsed = m_now - request.m_arrived;
    m_latenciesMs.push_back(
      std::chrono::duration<double, std::milli>(elapsed).count());
    m_onTimeCount += elapsed <= kDeadline ? 1 : 0;
    m_end = m_now;
    if (!upstream.m_queue.empty()) {
      const std::size_t next = upstream.m_queue.front();
      upstream.m_queue.pop_front();
      StartRequest(next, aUpstream);
    }
    if (!m_strategy.m_ideal) {
      m_routers[request.m_entry].Finish(
        InstanceId{ "w" + std::to_string(aUpstream) },
        routing::Verdict::kSuccess,
        m_now - request.m_sent,
        m_now);
    }
    Dispatch(QueueOf(aRequest));
  }

  Result Summarize()
  {
    const double seconds =
      std::chrono::duration<double>(m_end - m_begin).count();
    const double capacity =
      static_cast<double>(m_load.m_upstreams * kSlots) /
      std::chrono::duration<double>(kMeanServiceTime).count();
    Result result;
    result.m_goodput = static_cast<double>(m_onTimeCount) / seconds / capacity;
    result.m_p50Ms = Quantile(m_latenciesMs, 0.5);
    result.m_p99Ms = Quantile(m_latenciesMs, 0.99);
    result.m_onTimeFraction = static_cast<double>(m_onTimeCount) / kRequests;
    return result;
  }

  Strategy m_strategy;
  Load m_load;
  std::vector<Upstream> m_upstreams;
  std::vector<routing::Router> m_routers;
  std::vector<admission::Queue> m_waiting;
  std::vector<Request> m_requests;
  std::priority_queue<Event> m_events;
  TimePoint m_now;
  TimePoint m_begin;
  TimePoint m_end;
  std::size_t m_onTimeCount = 0;
  std::vector<double> m_latenciesMs;
};

} // namespace

int
main()
{
  using routing::Policy;
  const std::vector<Strategy> strategies{
    { "ideal single queue", Policy::kOwnedSlots, 0, true, true },
    { "random, no admission", Policy::kRandom, 0, false, false },
    { "random", Policy::kRandom, 0, true, false },
    { "least outstanding", Policy::kLeastOutstanding, 0, true, false },
    { "two choices", Policy::kTwoChoices, 0, true, false },
    { "owned slots only", Policy::kOwnedSlots, 0, true, false },
    { "owned, borrow 25%", Policy::kOwnedSlots, 25, true, false },
    { "owned, borrow 50%", Policy::kOwnedSlots, 50, true, false },
  };
  benchmark::Report report("slot_sharing");
  for (const bool skewed : { false, true }) {
    for (const double load : { 0.8, 1.0, 1.5, 3.0 }) {
      std::cout << "load " << load << (skewed ? " skewed" : " even") << "\n";
      for (const Strategy& strategy : strategies) {
        const Result result =
          Simulation(strategy, Load{ load, skewed, 10 }).Run();
        std::printf("  %-22s goodput %.3f  on time %.3f  p50 %6.1f ms  p99 "
                    "%7.1f ms\n",
                    strategy.m_name.c_str(),
                    result.m_goodput,
                    result.m_onTimeFraction,
                    result.m_p50Ms,
                    result.m_p99Ms);
        const std::string key = strategy.m_name + " at " +
                                std::to_string(load).substr(0, 3) +
                                (skewed ? " skewed" : " even");
        report.Set("goodput of " + key, result.m_goodput);
        report.Set("p99 ms of " + key, result.m_p99Ms);
      }
    }
  }
  for (const std::string load : { "1.0 even", "1.5 even", "3.0 even" }) {
    report.AddBound("goodput of the chosen way beside the ideal at " + load,
                    report.Get("goodput of owned, borrow 50% at " + load) /
                      report.Get("goodput of ideal single queue at " + load),
                    0.9,
                    1.25);
    report.AddBound("goodput of the chosen way beside random without admission "
                    "at " +
                      load,
                    report.Get("goodput of owned, borrow 50% at " + load) /
                      report.Get("goodput of random, no admission at " + load),
                    1.0,
                    1000);
  }
  return report.Finish();
}
