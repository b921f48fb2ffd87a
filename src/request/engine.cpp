#include "bamboostile/request/engine.h"

#include "bamboostile/units/visit.h"

#include <algorithm>

namespace bamboostile::request {

namespace {

constexpr Duration kLeaseRetryAfter = Millis{ 1000 };
constexpr Duration kShortRetryAfter = Millis{ 200 };
constexpr Duration kUnknownServiceTimeout = Millis{ 5000 };
constexpr std::uint32_t kFirstServerError = 500;
constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kServiceUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;
/** Share of the remaining time that an attempt gets if a retry may follow, so
 * that a hanging upstream leaves time for that retry. */
constexpr int kRetryableTimeoutPercent = 60;

bool
IsRetryableStatus(std::uint32_t aStatus)
{
  return aStatus == kBadGateway || aStatus == kServiceUnavailable ||
         aStatus == kGatewayTimeout;
}

routing::Verdict
VerdictOf(const AttemptResult& aResult)
{
  switch (aResult.m_end) {
    case AttemptEnd::kAnswered:
      return aResult.m_status >= kFirstServerError ? routing::Verdict::kFailure
                                                   : routing::Verdict::kSuccess;
    case AttemptEnd::kTimedOut:
      return routing::Verdict::kTimedOut;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kIncomplete:
      break;
  }
  return routing::Verdict::kFailure;
}

} // namespace

const char*
Describe(Reason aReason) noexcept
{
  switch (aReason) {
    case Reason::kNone:
      return "none";
    case Reason::kUnknownService:
      return "no such service";
    case Reason::kNoUpstream:
      return "no upstream of this service may take work";
    case Reason::kQueueFull:
      return "the queue of this service is full";
    case Reason::kEntryFull:
      return "this entry is full and the service has its share";
    case Reason::kDeadline:
      return "the deadline cannot be met";
    case Reason::kNoLease:
      return "this entry is cut off from the control group";
    case Reason::kDraining:
      return "this entry is stopping";
    case Reason::kNoRecord:
      return "the control group did not record the request in time";
    case Reason::kRecordedElsewhere:
      return "answered from the record of an earlier copy";
    case Reason::kInProgressElsewhere:
      return "another copy of this request is still running";
    case Reason::kHolderGone:
      return "the entry that ran another copy is gone";
    case Reason::kDigestMismatch:
      return "this request id was used for a different request";
    case Reason::kAttemptNotAllowed:
      return "the attempt before this one is not on record as not run";
    case Reason::kNotSent:
      return "no upstream could be reached";
    case Reason::kIncomplete:
      return "the upstream broke off before a whole answer";
    case Reason::kTimedOut:
      return "the upstream did not answer in time";
  }
  return "unknown";
}

Engine::Engine(Options aOptions, outcome::EntryId aSelf, ZoneId aZone)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
  , m_zone(std::move(aZone))
{
}

std::vector<Action>
Engine::TakeActions()
{
  return std::exchange(m_actions, {});
}

// ----------------------------------------------------------------- fleet view

Engine::ServiceState*
Engine::FindService(const ServiceId& aService)
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? nullptr : &found->second;
}

const fleet::Instance*
Engine::Find(const InstanceId& aInstance) const
{
  const auto found = m_instances.find(aInstance);
  return found == m_instances.end() ? nullptr : &found->second;
}

bool
Engine::IsRoutable(const fleet::Instance& aInstance) const
{
  if (!aInstance.m_pool) {
    return false;
  }
  const auto pool = m_pools.find(*aInstance.m_pool);
  return pool != m_pools.end() && !pool->second.m_draining &&
         !aInstance.m_cordoned && !aInstance.m_lost && !aInstance.m_wave &&
         aInstance.m_announced.m_state == fleet::InstanceState::kUp;
}

void
Engine::UpdateRouter(const fleet::Instance& aInstance)
{
  ServiceState* service = FindService(aInstance.m_announced.m_service);
  if (service != nullptr) {
    service->m_router.Update(aInstance, IsRoutable(aInstance));
  }
}

void
Engine::ClearView()
{
  // Objects missing from a full view were removed. Routers track attempts in
  // flight, so upstreams are only made unroutable here.
  for (auto& [id, instance] : m_instances) {
    instance.m_lost = true;
    UpdateRouter(instance);
  }
  for (auto& [id, service] : m_services) {
    service.m_removed = true;
  }
  m_pools.clear();
  m_instances.clear();
}

void
Engine::OnView(const fleet::View& aView, TimePoint aNow)
{
  // Reordered or duplicate views, and views from a lagging replica, must not
  // revert the current state.
  if (aView.m_revision < m_revision ||
      (aView.m_revision == m_revision && !aView.m_full)) {
    return;
  }
  if (aView.m_full) {
    ClearView();
  }
  if (aView.m_config) {
    m_config = *aView.m_config;
  }
  for (const fleet::Removal& removal : aView.m_removals) {
    std::visit(Overloaded{
                 [&](const PoolId& aId) { m_pools.erase(aId); },
                 [&](const ServiceId& aId) {
                   if (ServiceState* service = FindService(aId)) {
                     service->m_removed = true;
                   }
                 },
                 [&](const InstanceId& aId) {
                   const auto found = m_instances.find(aId);
                   if (found != m_instances.end()) {
                     found->second.m_lost = true;
                     UpdateRouter(found->second);
                     m_instances.erase(found);
                   }
                 },
               },
               removal.m_object);
  }
  for (const fleet::Pool& pool : aView.m_pools) {
    m_pools[pool.m_id] = pool;
  }
  for (const fleet::Service& service : aView.m_services) {
    const auto [found, isNew] = m_services.try_emplace(
      service.m_id,
      ServiceState{ service,
                    routing::Router(m_options.m_routing, m_zone),
                    admission::Queue{},
                    admission::RetryBudget{ service.m_retryBudgetPercent },
                    0,
                    false });
    found->second.m_service = service;
    found->second.m_removed = false;
    found->second.m_budget.SetPercent(service.m_retryBudgetPercent);
    found->second.m_router.SetShare(m_position, m_entryCount);
  }
  for (const fleet::Instance& instance : aView.m_instances) {
    const auto known = m_instances.find(instance.m_announced.m_id);
    const bool changedService =
      known != m_instances.end() &&
      known->second.m_announced.m_service != instance.m_announced.m_service;
    if (changedService) {
      known->second.m_lost = true;
      UpdateRouter(known->second);
    }
    m_instances[instance.m_announced.m_id] = instance;
  }
  const bool poolsChanged =
    !aView.m_pools.empty() || !aView.m_services.empty() || aView.m_full;
  if (poolsChanged) {
    for (const auto& [id, instance] : m_instances) {
      UpdateRouter(instance);
    }
  } else {
    for (const fleet::Instance& instance : aView.m_instances) {
      UpdateRouter(instance);
    }
  }
  m_revision = aView.m_revision;
  for (auto& [id, service] : m_services) {
    service.m_router.SetLimits(m_config.m_ejectionCeilingPercent,
                               m_config.m_panicPercent,
                               m_config.m_sameZoneFirst);
    StartQueued(service, aNow);
  }
}

void
Engine::OnLease(TimePoint aUntil,
                std::uint32_t aPosition,
                std::uint32_t aCount,
                TimePoint aNow)
{
  m_leaseUntil = std::max(m_leaseUntil, aUntil);
  const bool shareChanged = aPosition != m_position || aCount != m_entryCount;
  m_position = aPosition;
  m_entryCount = aCount;
  for (auto& [id, service] : m_services) {
    if (shareChanged) {
      service.m_router.SetShare(aPosition, aCount);
    }
    StartQueued(service, aNow);
  }
}

bool
Engine::IsLeaseGracePeriodOver(TimePoint aNow) const
{
  return aNow >= m_leaseUntil + m_options.m_leaseGracePeriod;
}

std::vector<std::pair<InstanceId, std::uint32_t>>
Engine::DrainingInFlight() const
{
  std::vector<std::pair<InstanceId, std::uint32_t>> all;
  for (const auto& [id, service] : m_services) {
    const auto inFlight = service.m_router.DrainingInFlight();
    all.insert(all.end(), inFlight.begin(), inFlight.end());
  }
  return all;
}

std::size_t
Engine::QueuedCount() const
{
  std::size_t count = 0;
  for (const auto& [id, service] : m_services) {
    count += service.m_queue.Size();
  }
  return count;
}

// ------------------------------------------------------------------ admission

admission::Ticket
Engine::TicketOf(LocalId aLocal, const Request& aRequest) const
{
  return { aRequest.m_arrival.m_class, aRequest.m_deadline, aLocal.Get() };
}

admission::ServiceLoad
Engine::LoadOf(ServiceState& aService, TimePoint aNow) const
{
  return { aService.m_router.Capacity(aNow),
           aService.m_router.InFlight(),
           aService.m_router.MeanServiceTime(),
           aService.m_router.MaxUsualServiceTime() };
}

Reason
Engine::CheckAdmission(ServiceState& aService,
                       const Request& aRequest,
                       TimePoint aNow,
                       Duration& aWait)
{
  aWait = kLeaseRetryAfter;
  if (m_draining) {
    aWait = Duration::zero();
    return Reason::kDraining;
  }
  if (IsLeaseGracePeriodOver(aNow)) {
    return Reason::kNoLease;
  }
  if (!aService.m_router.HasUpstreams()) {
    return Reason::kNoUpstream;
  }
  const auto share =
    m_config.m_maxRequests / std::max<std::size_t>(m_services.size(), 1);
  if (m_requests.size() > m_config.m_maxRequests &&
      aService.m_requests > share) {
    return Reason::kEntryFull;
  }
  const admission::ServiceLoad load = LoadOf(aService, aNow);
  aWait = aService.m_queue.EstimateWait(
    TicketOf(aRequest.m_arrival.m_local, aRequest), load);
  if (aService.m_queue.Size() >= aService.m_service.m_queueLimit) {
    return Reason::kQueueFull;
  }
  if (aNow + aWait + load.m_maxUsualServiceTime > aRequest.m_deadline) {
    return Reason::kDeadline;
  }
  return Reason::kNone;
}

void
Engine::OnArrival(Arrival aArrival, TimePoint aNow)
{
  const LocalId local = aArrival.m_local;
  ServiceState* service = FindService(aArrival.m_service);
  Request& request = m_requests[local];
  request.m_arrival = std::move(aArrival);
  request.m_arrivedAt = aNow;
  request.m_isIdempotent = request.m_arrival.m_idempotentMethod;
  request.m_deadline =
    aNow + request.m_arrival.m_timeout.value_or(kUnknownServiceTimeout);
  if (service == nullptr || service->m_removed) {
    const bool hasLease = HasLease(aNow);
    Refuse(local,
           hasLease ? Reason::kUnknownService : Reason::kNoLease,
           hasLease ? std::nullopt : std::optional{ kLeaseRetryAfter },
           aNow);
    return;
  }
  ++service->m_requests;
  const Duration timeout = request.m_arrival.m_timeout.value_or(
    Millis{ service->m_service.m_defaultTimeoutMs });
  request.m_deadline = aNow + timeout;
  request.m_isIdempotent =
    request.m_isIdempotent || service->m_service.m_postIsIdempotent;
  Duration wait{};
  const Reason reason = CheckAdmission(*service, request, aNow, wait);
  if (reason != Reason::kNone) {
    Refuse(local, reason, wait, aNow);
    return;
  }
  if (request.m_isIdempotent) {
    service->m_budget.OnFirstAttempt();
    Enqueue(local, request, aNow);
    return;
  }
  request.m_phase = Phase::kRecording;
  request.m_ticket = ++m_lastTicket;
  m_actions.push_back(BeginAttempt{ { request.m_arrival.m_request,
                                      request.m_arrival.m_attempt,
                                      request.m_arrival.m_digest,
                                      m_self,
                                      request.m_ticket,
                                      false },
                                    local,
                                    timeout });
}

// Other entries may hold copies of the request, and "not run" holds only if
// none of them runs it later. The refusal is therefore recorded first; if that
// fails, the outcome is "unknown".
void
Engine::Refuse(LocalId aLocal,
               Reason aReason,
               std::optional<Duration> aRetryAfter,
               TimePoint aNow)
{
  Request& request = m_requests.at(aLocal);
  if (request.m_isIdempotent || !request.m_arrival.m_hasCallerId) {
    GiveUp(aLocal, aReason, aRetryAfter);
    return;
  }
  request.m_phase = Phase::kRefusing;
  request.m_refusal = aReason;
  request.m_retryAfter = aRetryAfter;
  request.m_ticket = ++m_lastTicket;
  const Duration timeout =
    std::min(m_options.m_recordTimeout, request.m_deadline - aNow);
  m_actions.push_back(BeginAttempt{ { request.m_arrival.m_request,
                                      request.m_arrival.m_attempt,
                                      request.m_arrival.m_digest,
                                      m_self,
                                      request.m_ticket,
                                      true },
                                    aLocal,
                                    timeout });
}

// ------------------------------------------------------------ outcome records

void
Engine::OnBegin(LocalId aLocal, const BeginResult& aResult, TimePoint aNow)
{
  const auto found = m_requests.find(aLocal);
  if (found == m_requests.end()) {
    return;
  }
  Request& request = found->second;
  if (request.m_phase != Phase::kRecording &&
      request.m_phase != Phase::kRefusing &&
      request.m_phase != Phase::kAwaitingRecord) {
    return;
  }
  const bool isRefusing = request.m_phase == Phase::kRefusing;
  switch (aResult.m_outcome) {
    case BeginOutcome::kGranted: {
      request.m_recorded = true;
      ServiceState* service = FindService(request.m_arrival.m_service);
      service->m_budget.OnFirstAttempt();
      Enqueue(aLocal, request, aNow);
      return;
    }
    case BeginOutcome::kRecorded:
      HandleRecord(aLocal, aResult, aNow);
      return;
    case BeginOutcome::kDigestMismatch:
      Finish(aLocal,
             Conclude{ aLocal,
                       outcome::State::kNotRun,
                       Reason::kDigestMismatch,
                       std::nullopt,
                       std::nullopt });
      return;
    case BeginOutcome::kAttemptNotAllowed:
      // A later copy of this attempt may still be allowed, so "not run"
      // could turn out to be false.
      Finish(aLocal,
             Conclude{ aLocal,
                       outcome::State::kUnknown,
                       Reason::kAttemptNotAllowed,
                       kShortRetryAfter,
                       std::nullopt });
      return;
    case BeginOutcome::kUndecided:
      break;
  }
  // This entry sent nothing and never will; it records that in case the call
  // was committed after all. If this entry generated the id, no copy exists
  // that could run.
  ResolveRecord(request, aLocal, outcome::State::kNotRun, false);
  const bool isNotRun = !request.m_arrival.m_hasCallerId;
  Finish(
    aLocal,
    Conclude{ aLocal,
              isNotRun ? outcome::State::kNotRun : outcome::State::kUnknown,
              isRefusing ? request.m_refusal : Reason::kNoRecord,
              kLeaseRetryAfter,
              std::nullopt });
}

void
Engine::HandleRecord(LocalId aLocal, const BeginResult& aResult, TimePoint aNow)
{
  Request& request = m_requests.at(aLocal);
  if (!aResult.m_record) {
    Finish(aLocal,
           Conclude{ aLocal,
                     outcome::State::kUnknown,
                     Reason::kNoRecord,
                     kLeaseRetryAfter,
                     std::nullopt });
    return;
  }
  const outcome::Record& record = *aResult.m_record;
  const bool isOwnRefusal = request.m_phase == Phase::kRefusing &&
                            record.m_holder == m_self &&
                            record.m_ticket == request.m_ticket;
  if (isOwnRefusal) {
    Finish(aLocal,
           Conclude{ aLocal,
                     outcome::State::kNotRun,
                     request.m_refusal,
                     request.m_retryAfter,
                     std::nullopt });
    return;
  }
  if (record.m_state != outcome::State::kInProgress) {
    Finish(aLocal,
           Conclude{ aLocal,
                     record.m_state,
                     Reason::kRecordedElsewhere,
                     std::nullopt,
                     record.m_answer });
    return;
  }
  // Only the holder may report "not run". A holder that is not alive may be
  // frozen and can still resume and send, so the outcome is "unknown" at
  // once.
  if (aResult.m_holderGone || aNow >= request.m_deadline) {
    Finish(aLocal,
           Conclude{ aLocal,
                     outcome::State::kUnknown,
                     aResult.m_holderGone ? Reason::kHolderGone
                                          : Reason::kInProgressElsewhere,
                     std::nullopt,
                     std::nullopt });
    return;
  }
  request.m_phase = Phase::kAwaitingRecord;
  request.m_nextPollAt = aNow + m_options.m_recordPollInterval;
  m_awaitingRecord.insert(aLocal);
}

// --------------------------------------------------------- queue and attempts

void
Engine::Enqueue(LocalId aLocal, Request& aRequest, TimePoint aNow)
{
  aRequest.m_phase = Phase::kQueued;
  ServiceState& service = *FindService(aRequest.m_arrival.m_service);
  service.m_queue.Push(TicketOf(aLocal, aRequest));
  StartQueued(service, aNow);
}

void
Engine::DropExpired(ServiceState& aService, TimePoint aNow)
{
  const Duration maxUsualServiceTime = aService.m_router.MaxUsualServiceTime();
  for (const auto& ticket :
       aService.m_queue.TakeExpired(maxUsualServiceTime, aNow)) {
    const Duration wait =
      aService.m_queue.EstimateWait(ticket, LoadOf(aService, aNow));
    GiveUp(LocalId{ ticket.m_id }, Reason::kDeadline, wait);
  }
}

void
Engine::StartQueued(ServiceState& aService, TimePoint aNow)
{
  // Expired requests are dropped before they take a slot: serving a request
  // whose caller no longer waits makes those behind it miss their deadlines
  // too.
  DropExpired(aService, aNow);
  if (!HasLease(aNow)) {
    return;
  }
  while (const auto ticket = aService.m_queue.Pop()) {
    if (!Start(aService, *ticket, aNow)) {
      aService.m_queue.Push(*ticket);
      return;
    }
  }
}

bool
Engine::Start(ServiceState& aService,
              const admission::Ticket& aTicket,
              TimePoint aNow)
{
  const LocalId local{ aTicket.m_id };
  Request& request = m_requests.at(local);
  const auto pick = aService.m_router.Choose(request.m_failedRacks, aNow);
  if (!pick) {
    return false;
  }
  request.m_phase = Phase::kRunning;
  request.m_pick = pick;
  ++request.m_attempts;
  Duration timeout = request.m_deadline - aNow;
  if (request.m_isIdempotent && request.m_attempts < m_options.m_maxAttempts) {
    timeout = timeout * kRetryableTimeoutPercent / 100;
  }
  m_actions.push_back(Dispatch{
    local, request.m_attempts, *pick, timeout, !request.m_isIdempotent });
  return true;
}

void
Engine::OnAttempt(LocalId aLocal,
                  std::uint32_t aAttemptNumber,
                  const AttemptResult& aResult,
                  TimePoint aNow)
{
  const auto found = m_requests.find(aLocal);
  if (found == m_requests.end()) {
    return;
  }
  Request& request = found->second;
  // Results are matched by attempt number, since they can arrive out of
  // order.
  if (request.m_phase != Phase::kRunning ||
      request.m_attempts != aAttemptNumber) {
    return;
  }
  ServiceState& service = *FindService(request.m_arrival.m_service);
  service.m_router.Finish(
    request.m_pick->m_instance, VerdictOf(aResult), aResult.m_elapsed, aNow);
  const bool notRun =
    aResult.m_end == AttemptEnd::kNotSent || aResult.m_provesNotRun;
  request.m_mayHaveRun = request.m_mayHaveRun || !notRun;
  if (aResult.m_end == AttemptEnd::kAnswered) {
    const bool isRetryable =
      aResult.m_provesNotRun ||
      (request.m_isIdempotent && IsRetryableStatus(aResult.m_status));
    const bool attemptsLeft = request.m_attempts < m_options.m_maxAttempts;
    const bool retry = isRetryable && attemptsLeft &&
                       request.m_deadline > aNow &&
                       service.m_budget.TakeRetry();
    if (retry) {
      ++m_counters.m_retries;
      request.m_failedRacks.insert(request.m_pick->m_rack);
      Enqueue(aLocal, request, aNow);
    } else if (aResult.m_provesNotRun && !request.m_mayHaveRun) {
      GiveUp(aLocal, Reason::kNotSent, kShortRetryAfter);
    } else {
      FinishWithAnswer(aLocal);
    }
  } else {
    const Reason reason =
      aResult.m_end == AttemptEnd::kNotSent
        ? Reason::kNotSent
        : (aResult.m_end == AttemptEnd::kTimedOut ? Reason::kTimedOut
                                                  : Reason::kIncomplete);
    RetryOrGiveUp(aLocal, request, reason, aNow);
  }
  StartQueued(service, aNow);
}

void
Engine::RetryOrGiveUp(LocalId aLocal,
                      Request& aRequest,
                      Reason aReason,
                      TimePoint aNow)
{
  ServiceState& service = *FindService(aRequest.m_arrival.m_service);
  // Once bytes were sent, the upstream may have run the request even if the
  // attempt ends with a timeout, a reset or a truncated answer. Only
  // idempotent requests are then retried.
  const bool isSafe = aRequest.m_isIdempotent || !aRequest.m_mayHaveRun;
  const bool retry = isSafe && aRequest.m_attempts < m_options.m_maxAttempts &&
                     aRequest.m_deadline > aNow && service.m_budget.TakeRetry();
  if (!retry) {
    GiveUp(aLocal, aReason, kShortRetryAfter);
    return;
  }
  ++m_counters.m_retries;
  aRequest.m_failedRacks.insert(aRequest.m_pick->m_rack);
  Enqueue(aLocal, aRequest, aNow);
}

void
Engine::Tick(TimePoint aNow)
{
  for (auto& [id, service] : m_services) {
    if (IsLeaseGracePeriodOver(aNow)) {
      while (const auto ticket = service.m_queue.Pop()) {
        GiveUp(LocalId{ ticket->m_id }, Reason::kNoLease, kLeaseRetryAfter);
      }
    }
    StartQueued(service, aNow);
  }
  const std::set<LocalId> awaiting = m_awaitingRecord;
  for (const LocalId local : awaiting) {
    Request& request = m_requests.at(local);
    if (aNow < request.m_nextPollAt) {
      continue;
    }
    m_awaitingRecord.erase(local);
    const Duration timeout =
      std::max<Duration>(request.m_deadline - aNow, Millis{ 1 });
    m_actions.push_back(
      QueryRecord{ local, request.m_arrival.m_request, timeout });
  }
}

// ----------------------------------------------------------------- completion

void
Engine::ResolveRecord(const Request& aRequest,
                      LocalId aLocal,
                      outcome::State aState,
                      bool aWithAnswer)
{
  m_actions.push_back(Resolve{ { aRequest.m_arrival.m_request,
                                 aRequest.m_arrival.m_attempt,
                                 m_self,
                                 aRequest.m_ticket,
                                 aState,
                                 std::nullopt },
                               aLocal,
                               aWithAnswer });
}

// The outcome is "not run" if no byte was ever sent, otherwise "unknown". For a
// recorded attempt, it is also recorded. No other entry can start the attempt,
// so the caller need not wait for that record.
void
Engine::GiveUp(LocalId aLocal,
               Reason aReason,
               std::optional<Duration> aRetryAfter)
{
  const Request& request = m_requests.at(aLocal);
  const outcome::State state =
    request.m_mayHaveRun ? outcome::State::kUnknown : outcome::State::kNotRun;
  if (request.m_recorded) {
    ResolveRecord(request, aLocal, state, false);
  }
  Finish(aLocal, Conclude{ aLocal, state, aReason, aRetryAfter, std::nullopt });
}

void
Engine::FinishWithAnswer(LocalId aLocal)
{
  const Request& request = m_requests.at(aLocal);
  if (request.m_recorded) {
    ResolveRecord(request, aLocal, outcome::State::kDone, true);
  }
  ++m_counters.m_done;
  m_actions.push_back(Relay{ aLocal });
  Erase(aLocal);
}

void
Engine::Finish(LocalId aLocal, Conclude aConclusion)
{
  switch (aConclusion.m_state) {
    case outcome::State::kDone:
      ++m_counters.m_done;
      break;
    case outcome::State::kNotRun:
      ++m_counters.m_notRun;
      break;
    case outcome::State::kInProgress:
    case outcome::State::kUnknown:
      ++m_counters.m_unknown;
      break;
  }
  m_actions.push_back(std::move(aConclusion));
  Erase(aLocal);
}

void
Engine::Erase(LocalId aLocal)
{
  const auto found = m_requests.find(aLocal);
  ServiceState* service = FindService(found->second.m_arrival.m_service);
  if (service != nullptr && service->m_requests > 0) {
    --service->m_requests;
  }
  m_awaitingRecord.erase(aLocal);
  m_requests.erase(found);
}

} // namespace bamboostile::request
