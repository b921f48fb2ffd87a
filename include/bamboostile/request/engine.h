#pragma once

#include "bamboostile/admission/retry_budget.h"
#include "bamboostile/request/types.h"

#include <unordered_map>

namespace bamboostile::request {

struct Options
{
  routing::Options m_routing;
  /** After a lease ran out, requests wait this long for the next leader
   * before they are refused. */
  Duration m_leaseGrace = Millis{ 3000 };
  /** How long a refusal may wait to be put on record. */
  Duration m_recordPatience = Millis{ 500 };
  Duration m_watchInterval = Millis{ 50 };
  std::uint32_t m_maxAttempts = 3;
};

struct Counters
{
  std::uint64_t m_done = 0;
  std::uint64_t m_notRun = 0;
  std::uint64_t m_unknown = 0;
  std::uint64_t m_retries = 0;
};

/**
 * @brief Every decision about a caller's request between its arrival and its
 * final answer, without input or output.
 *
 * It decides whether to take a request, when and where to try it, whether to
 * try again, and what may truthfully be said to the caller. A caller is told
 * "not run" only if this entry sent no byte and never will, and, for a
 * request that must not run twice, only once no copy elsewhere can run either.
 */
class Engine
{
public:
  Engine(Options aOptions, outcome::EntryId aSelf, ZoneId aZone);

  void OnView(const fleet::View& aView, TimePoint aNow);
  /** aUntil is the end of the lease; position and count say which of the
   * live entries this is. */
  void OnLease(TimePoint aUntil,
               std::uint32_t aPosition,
               std::uint32_t aCount,
               TimePoint aNow);
  void OnArrival(Arrival aArrival, TimePoint aNow);
  void OnBegin(LocalId aLocal, const BeginResult& aResult, TimePoint aNow);
  void OnAttempt(LocalId aLocal,
                 std::uint32_t aNumber,
                 const AttemptResult& aResult,
                 TimePoint aNow);
  void Tick(TimePoint aNow);
  /** Takes nothing new from now on; what is here is finished. */
  void Drain() { m_draining = true; }

  std::vector<Action> TakeActions();

  Index Revision() const { return m_revision; }
  std::size_t Size() const { return m_requests.size(); }
  std::size_t QueuedCount() const;
  const Counters& Count() const { return m_counters; }
  const fleet::Config& CurrentConfig() const { return m_config; }
  bool HasLease(TimePoint aNow) const { return aNow < m_leaseUntil; }
  const fleet::Instance* Find(const InstanceId& aInstance) const;

  /** Work under way at instances that get nothing new. */
  std::vector<std::pair<InstanceId, std::uint32_t>> Leftovers() const;

private:
  enum class Phase
  {
    kRecording,
    kRefusing,
    kWatching,
    kQueued,
    kRunning,
  };

  struct Request
  {
    Arrival m_arrival;
    Phase m_phase = Phase::kQueued;
    bool m_mayRepeat = true;
    bool m_recorded = false;
    bool m_sentBefore = false;
    std::uint64_t m_ticket = 0;
    std::uint32_t m_attempts = 0;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    TimePoint m_nextWatch;
    std::set<RackId> m_failedRacks;
    std::optional<routing::Pick> m_pick;
    Reason m_refusal = Reason::kNone;
    std::optional<Duration> m_retryAfter;
  };

  struct ServiceState
  {
    fleet::Service m_service;
    routing::Router m_router;
    admission::Queue m_queue;
    admission::RetryBudget m_budget;
    std::uint32_t m_requests = 0;
    bool m_removed = false;
  };

  using RequestMap = std::unordered_map<LocalId, Request>;

  void DropView();
  void Place(const fleet::Instance& aInstance);
  bool IsRoutable(const fleet::Instance& aInstance) const;
  ServiceState* FindService(const ServiceId& aService);

  Reason CheckAdmission(ServiceState& aService,
                        const Request& aRequest,
                        TimePoint aNow,
                        Duration& aWait);
  void Refuse(LocalId aLocal,
              Reason aReason,
              std::optional<Duration> aRetryAfter,
              TimePoint aNow);
  void Enqueue(LocalId aLocal, Request& aRequest, TimePoint aNow);
  void Pump(ServiceState& aService, TimePoint aNow);
  void DropLate(ServiceState& aService, TimePoint aNow);
  bool Start(ServiceState& aService,
             const admission::Ticket& aTicket,
             TimePoint aNow);
  void RetryOrGiveUp(LocalId aLocal,
                     Request& aRequest,
                     Reason aReason,
                     TimePoint aNow);
  void FromRecord(LocalId aLocal, const BeginResult& aResult, TimePoint aNow);
  void GiveUp(LocalId aLocal,
              Reason aReason,
              std::optional<Duration> aRetryAfter);
  void Finish(LocalId aLocal, Conclude aConclusion);
  void FinishWithAnswer(LocalId aLocal);
  void Put(const Request& aRequest,
           LocalId aLocal,
           outcome::State aState,
           bool aWithAnswer);
  void Erase(LocalId aLocal);
  admission::Ticket TicketOf(LocalId aLocal, const Request& aRequest) const;
  admission::Service ServedBy(ServiceState& aService, TimePoint aNow) const;
  bool IsLeaseLongGone(TimePoint aNow) const;

  Options m_options;
  outcome::EntryId m_self;
  ZoneId m_zone;
  bool m_draining = false;
  Index m_revision;
  TimePoint m_leaseUntil;
  std::uint32_t m_position = 0;
  std::uint32_t m_entryCount = 1;
  fleet::Config m_config;
  std::map<PoolId, fleet::Pool> m_pools;
  std::map<InstanceId, fleet::Instance> m_instances;
  std::map<ServiceId, ServiceState> m_services;
  RequestMap m_requests;
  std::set<LocalId> m_watching;
  std::uint64_t m_lastTicket = 0;
  Counters m_counters;
  std::vector<Action> m_actions;
};

} // namespace bamboostile::request
