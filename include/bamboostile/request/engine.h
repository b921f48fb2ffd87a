#pragma once

#include "bamboostile/admission/retry_budget.h"
#include "bamboostile/request/types.h"

#include <unordered_map>

namespace bamboostile::request {

struct Options
{
  routing::Options m_routing;
  /** Time from the end of a lease during which requests wait for the next
   * leader before they are refused. */
  Duration m_leaseGracePeriod = Millis{ 3000 };
  /** Longest wait for a refusal to be recorded. */
  Duration m_recordTimeout = Millis{ 500 };
  Duration m_recordPollInterval = Millis{ 50 };
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
 * @brief Makes all decisions about a caller's request between its arrival and
 * its final answer; performs no I/O.
 *
 * Decides on admission, on the time and upstream of each attempt, on retries
 * and on the outcome reported to the caller. It reports "not run" only if this
 * entry sent no byte and never will, and, for a request that is not
 * idempotent, only once no copy elsewhere can run either.
 */
class Engine
{
public:
  Engine(Options aOptions, outcome::EntryId aSelf, ZoneId aZone);

  void OnView(const fleet::View& aView, TimePoint aNow);
  /** aUntil is the end of the lease; aPosition is the position of this entry
   * among the aCount live entries. */
  void OnLease(TimePoint aUntil,
               std::uint32_t aPosition,
               std::uint32_t aCount,
               TimePoint aNow);
  void OnArrival(Arrival aArrival, TimePoint aNow);
  void OnBegin(LocalId aLocal, const BeginResult& aResult, TimePoint aNow);
  void OnAttempt(LocalId aLocal,
                 std::uint32_t aAttemptNumber,
                 const AttemptResult& aResult,
                 TimePoint aNow);
  void Tick(TimePoint aNow);
  /** Refuses new requests; accepted requests are finished. */
  void Drain() { m_draining = true; }

  std::vector<Action> TakeActions();

  Index Revision() const { return m_revision; }
  std::size_t Size() const { return m_requests.size(); }
  std::size_t QueuedCount() const;
  const Counters& GetCounters() const { return m_counters; }
  const fleet::Config& CurrentConfig() const { return m_config; }
  bool HasLease(TimePoint aNow) const { return aNow < m_leaseUntil; }
  const fleet::Instance* Find(const InstanceId& aInstance) const;

  /** Attempts in flight per instance that takes no new work. */
  std::vector<std::pair<InstanceId, std::uint32_t>> DrainingInFlight() const;

private:
  enum class Phase
  {
    kRecording,
    kRefusing,
    kAwaitingRecord,
    kQueued,
    kRunning,
  };

  struct Request
  {
    Arrival m_arrival;
    Phase m_phase = Phase::kQueued;
    bool m_isIdempotent = true;
    bool m_recorded = false;
    bool m_mayHaveRun = false;
    std::uint64_t m_ticket = 0;
    std::uint32_t m_attempts = 0;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    TimePoint m_nextPollAt;
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

  void ClearView();
  void UpdateRouter(const fleet::Instance& aInstance);
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
  void StartQueued(ServiceState& aService, TimePoint aNow);
  void DropExpired(ServiceState& aService, TimePoint aNow);
  bool Start(ServiceState& aService,
             const admission::Ticket& aTicket,
             TimePoint aNow);
  void RetryOrGiveUp(LocalId aLocal,
                     Request& aRequest,
                     Reason aReason,
                     TimePoint aNow);
  void HandleRecord(LocalId aLocal, const BeginResult& aResult, TimePoint aNow);
  void GiveUp(LocalId aLocal,
              Reason aReason,
              std::optional<Duration> aRetryAfter);
  void Finish(LocalId aLocal, Conclude aConclusion);
  void FinishWithAnswer(LocalId aLocal);
  void ResolveRecord(const Request& aRequest,
                     LocalId aLocal,
                     outcome::State aState,
                     bool aWithAnswer);
  void Erase(LocalId aLocal);
  admission::Ticket TicketOf(LocalId aLocal, const Request& aRequest) const;
  admission::ServiceLoad LoadOf(ServiceState& aService, TimePoint aNow) const;
  bool IsLeaseGracePeriodOver(TimePoint aNow) const;

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
  std::set<LocalId> m_awaitingRecord;
  std::uint64_t m_lastTicket = 0;
  Counters m_counters;
  std::vector<Action> m_actions;
};

} // namespace bamboostile::request
