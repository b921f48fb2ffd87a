#include "bamboostile/entry/frontend.h"

#include "announcement_json.h"
#include "bamboostile/telemetry/log.h"
#include "bamboostile/units/visit.h"
#include "caller_headers.h"
#include "digest.h"
#include "jobs_api.h"
#include "responses.h"

#include <nlohmann/json.hpp>

namespace bamboostile::entry {

namespace {

using Json = nlohmann::json;
using internal::kOutcomeHeader;
using internal::kRequestIdHeader;
using request::AttemptEnd;
using namespace internal::status;
using internal::AddRetryAfter;
using internal::FieldError;
using internal::FromAnswer;
using internal::JsonResponse;
using internal::StatusOf;
using internal::ToAnswer;

constexpr Millis kTickPeriod{ 5 };
constexpr Duration kLookupTimeout = Millis{ 2000 };
/** How long the entry keeps accepting requests after Drain() was called, so
 * that requests already on their way are still answered. */
constexpr Duration kDrainGrace = Millis{ 500 };
constexpr const char* kOutcomesPath = "/v1/outcomes/";
constexpr const char* kUpstreamsPath = "/v1/upstreams/";

request::AttemptEnd
ToAttemptEnd(http::CallEnd aEnd)
{
  switch (aEnd) {
    case http::CallEnd::kAnswered:
      return AttemptEnd::kAnswered;
    case http::CallEnd::kNotSent:
      return AttemptEnd::kNotSent;
    case http::CallEnd::kTimedOut:
      return AttemptEnd::kTimedOut;
    case http::CallEnd::kIncomplete:
      break;
  }
  return AttemptEnd::kIncomplete;
}

bool
StartsWith(const std::string& aText, const char* aPrefix)
{
  return aText.rfind(aPrefix, 0) == 0;
}

std::string
PathOf(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

Frontend::Frontend(FrontendOptions aOptions,
                   rpc::Mailbox<LinkMessage>& aLink,
                   QueueGateway& aQueues,
                   std::shared_ptr<opentracing::Tracer> aTracer)
  : m_options(std::move(aOptions))
  , m_link(aLink)
  , m_queues(aQueues)
  , m_tracer(std::move(aTracer))
  , m_engine(m_options.m_engine, m_options.m_self, m_options.m_settings.m_zone)
  , m_leaseUntil(std::make_shared<std::atomic<std::int64_t>>(0))
  , m_client(std::make_unique<http::Client>())
{
  const settings::Settings& settings = m_options.m_settings;
  http::ServerOptions options;
  options.m_address = settings.m_http->m_host;
  options.m_port = settings.m_http->m_port;
  options.m_maxBodyBytes = settings.m_limits.m_bodyBytes;
  options.m_maxHeaderBytes = settings.m_limits.m_headerBytes;
  options.m_readTimeout = settings.m_limits.m_readTimeout;
  options.m_handleTimeout = settings.m_limits.m_maxTimeout + Millis{ 10'000 };
  options.m_headTimeout = settings.m_limits.m_headTimeout;
  // Each request may need a connection to an upstream as well.
  options.m_maxConnections =
    std::max<std::size_t>(1, m_options.m_clientLimits.m_requestConnections / 2);
  options.m_memory = m_options.m_clientLimits.m_memory;
  m_server = std::make_unique<http::Server>(
    options, [this](auto aExchange) { Handle(std::move(aExchange)); });
  m_server->Every(kTickPeriod, [this]() { Tick(); });
}

Frontend::~Frontend()
{
  Stop();
}

bool
Frontend::Start(std::string& aReason)
{
  return m_server->Start(aReason);
}

void
Frontend::Stop()
{
  m_client->Stop();
  m_server->Stop();
}

void
Frontend::OnLease(LeaseGranted aLease)
{
  m_server->Post([this, lease = std::move(aLease)]() {
    const TimePoint now = MonotonicNow();
    if (lease.m_view) {
      m_engine.OnView(*lease.m_view, now);
    }
    m_engine.OnLease(lease.m_until, lease.m_position, lease.m_count, now);
    m_leaseUntil->store(lease.m_until.time_since_epoch().count());
    ExecuteActions();
    ReportApplied();
  });
}

void
Frontend::Drain(std::function<void()> aDone)
{
  m_server->Post([this, done = std::move(aDone)]() {
    m_draining = true;
    m_drainStartedAt = MonotonicNow();
    m_onDrained = done;
    m_engine.Drain();
  });
}

// -------------------------------------------------------- incoming requests

void
Frontend::Handle(std::shared_ptr<http::Exchange> aExchange)
{
  const std::string path = PathOf(aExchange->Incoming().m_target);
  if (path == "/healthz") {
    HandleProbe(aExchange, true);
  } else if (path == "/readyz") {
    const bool ready = !m_draining && m_engine.HasLease(MonotonicNow());
    HandleProbe(aExchange, ready);
  } else if (path == "/metrics") {
    http::Response response;
    response.m_headers.push_back(
      { "Content-Type", "text/plain; version=0.0.4" });
    response.m_body = RenderMetrics();
    aExchange->Respond(std::move(response));
  } else if (StartsWith(path, kOutcomesPath)) {
    HandleOutcome(std::move(aExchange));
  } else if (StartsWith(path, kUpstreamsPath)) {
    HandleUpstream(std::move(aExchange));
  } else if (!internal::HandleJobs(m_queues, *m_server, aExchange)) {
    HandleForward(std::move(aExchange));
  }
}

void
Frontend::HandleProbe(const std::shared_ptr<http::Exchange>& aExchange,
                      bool aHealthy)
{
  http::Response response = JsonResponse(
    aHealthy ? kOk : kUnavailable,
    { { "ready", aHealthy }, { "revision", m_engine.Revision().Get() } });
  aExchange->Respond(std::move(response));
}

void
Frontend::HandleForward(std::shared_ptr<http::Exchange> aExchange)
{
  const http::Request& incoming = aExchange->Incoming();
  internal::HeaderProblem problem;
  auto arrival = internal::ReadCallerHeaders(
    incoming, m_options.m_settings.m_limits, problem);
  const std::string path = PathOf(incoming.m_target);
  const std::size_t slash = path.find('/', 1);
  const std::string service =
    path.size() > 1
      ? path.substr(1, slash == std::string::npos ? slash : slash - 1)
      : "";
  if (arrival && (service.empty() || path[0] != '/')) {
    problem = { "(path)", "/{service}/..." };
    arrival.reset();
  }
  if (!arrival) {
    m_metrics.Count("bad_requests_total");
    aExchange->Respond(FieldError(problem.m_field, problem.m_allowed));
    return;
  }
  if (!arrival->m_hasCallerId) {
    arrival->m_request = RequestId{ internal::RandomId() };
  }
  const TimePoint now = MonotonicNow();
  const LocalId local{ ++m_lastLocalId };
  arrival->m_local = local;
  arrival->m_service = ServiceId{ service };
  if (!arrival->m_idempotentMethod) {
    arrival->m_digest = internal::RequestDigest(
      incoming.m_method, incoming.m_target, incoming.m_body);
  }
  Pending& pending = m_pending[local];
  pending.m_body = std::make_shared<const std::string>(aExchange->TakeBody());
  pending.m_request = arrival->m_request;
  pending.m_arrivedAt = now;
  pending.m_service = service;
  pending.m_deadline = now + arrival->m_timeout.value_or(
                               m_options.m_settings.m_limits.m_maxTimeout);
  if (m_tracer) {
    const auto parent = telemetry::TraceContext::FromTraceParent(
      http::FindHeader(incoming.m_headers, internal::kTraceHeader)
        .value_or(""));
    pending.m_span =
      telemetry::StartChildSpan(*m_tracer, "entry.request", parent);
    pending.m_span->SetTag("request.id", arrival->m_request.Get());
    pending.m_span->SetTag("service", service);
  }
  pending.m_exchange = std::move(aExchange);
  m_openRequests = m_pending.size();
  m_engine.OnArrival(std::move(*arrival), now);
  ExecuteActions();
}

void
Frontend::HandleOutcome(std::shared_ptr<http::Exchange> aExchange)
{
  const http::Request& incoming = aExchange->Incoming();
  const std::string id =
    PathOf(incoming.m_target).substr(std::string{ kOutcomesPath }.size());
  if (incoming.m_method != "GET") {
    aExchange->Respond(
      JsonResponse(kMethodNotAllowed, { { "allowed", "GET" } }));
    return;
  }
  const auto answer = [id](const request::BeginResult& aResult) {
    http::Response response;
    std::string outcome = "unknown";
    if (aResult.m_outcome == request::BeginOutcome::kUndecided) {
      response = JsonResponse(
        kUnavailable, { { "error", "the control group did not answer" } });
      AddRetryAfter(response, Millis{ 1000 });
    } else if (!aResult.m_record) {
      response = JsonResponse(
        kNotFound, { { "error", "no record: never seen here, or forgotten" } });
    } else if (aResult.m_record->m_answer) {
      outcome = outcome::Describe(aResult.m_record->m_state);
      response = FromAnswer(*aResult.m_record->m_answer);
    } else {
      const bool lost =
        aResult.m_record->m_state == outcome::State::kInProgress &&
        aResult.m_holderGone;
      outcome = lost ? "unknown" : outcome::Describe(aResult.m_record->m_state);
      const bool running = outcome == "in-progress";
      response = JsonResponse(running ? kAccepted : kOk,
                              { { "outcome", outcome },
                                { "requestId", id },
                                { "attempt", aResult.m_record->m_attempt } });
    }
    response.m_headers.push_back({ kOutcomeHeader, outcome });
    response.m_headers.push_back({ kRequestIdHeader, id });
    return response;
  };
  m_link.Put(Lookup{ RequestId{ id },
                     kLookupTimeout,
                     [this, exchange = std::move(aExchange), answer](
                       request::BeginResult aResult) {
                       m_server->Post(
                         [exchange, answer, result = std::move(aResult)]() {
                           exchange->Respond(answer(result));
                         });
                     } });
}

// --------------------------------------------------- upstream announcements

void
Frontend::HandleUpstream(std::shared_ptr<http::Exchange> aExchange)
{
  const http::Request& incoming = aExchange->Incoming();
  const InstanceId id{
    PathOf(incoming.m_target).substr(std::string{ kUpstreamsPath }.size())
  };
  if (id.Get().empty() || id.Get().size() > 128 ||
      id.Get().find('/') != std::string::npos) {
    aExchange->Respond(FieldError("id", "1 to 128 characters without a slash"));
  } else if (incoming.m_method == "PUT") {
    PutUpstream(std::move(aExchange), id);
  } else if (incoming.m_method == "DELETE") {
    DeleteUpstream(std::move(aExchange), id);
  } else {
    aExchange->Respond(
      JsonResponse(kMethodNotAllowed, { { "allowed", "PUT, DELETE" } }));
  }
}

void
Frontend::PutUpstream(std::shared_ptr<http::Exchange> aExchange,
                      const InstanceId& aId)
{
  internal::FieldProblem problem;
  const auto announcement =
    internal::ParseAnnouncement(aId, aExchange->Incoming().m_body, problem);
  if (!announcement) {
    aExchange->Respond(FieldError(problem.m_field, problem.m_allowed));
    return;
  }
  const fleet::Instance* known = m_engine.Find(aId);
  const bool isRenewal =
    known != nullptr && !known->m_lost &&
    internal::EqualsExceptSequence(known->m_announced, *announcement);
  if (!isRenewal) {
    SendAnnouncement(std::move(aExchange), *announcement);
    return;
  }
  m_link.Put(Renew{ membership::RenewalKey(aId, announcement->m_incarnation) });
  aExchange->Respond(JsonResponse(kOk, { { "state", "renewed" } }));
}

void
Frontend::DeleteUpstream(std::shared_ptr<http::Exchange> aExchange,
                         const InstanceId& aId)
{
  const fleet::Instance* known = m_engine.Find(aId);
  if (known == nullptr) {
    aExchange->Respond(JsonResponse(
      kNotFound, { { "error", "no such upstream at this entry" } }));
    return;
  }
  fleet::Announcement leaving = known->m_announced;
  leaving.m_state = fleet::InstanceState::kLeaving;
  ++leaving.m_sequence;
  SendAnnouncement(std::move(aExchange), leaving);
}

// Responds only after the announcement is committed: an upstream whose
// "leaving" was recorded can rely on every entry to stop sending to it within
// the lease.
void
Frontend::SendAnnouncement(std::shared_ptr<http::Exchange> aExchange,
                           fleet::Announcement aAnnouncement)
{
  m_link.Put(Announce{
    std::move(aAnnouncement),
    [this, exchange = std::move(aExchange)](bool aDone) {
      m_server->Post([exchange, aDone]() {
        http::Response response =
          aDone ? JsonResponse(kOk, { { "state", "recorded" } })
                : JsonResponse(
                    kUnavailable,
                    { { "error", "the control group did not record it" } });
        if (!aDone) {
          AddRetryAfter(response, Millis{ 1000 });
        }
        exchange->Respond(std::move(response));
      });
    } });
}

// ----------------------------------------------------------- engine actions

void
Frontend::Tick()
{
  m_engine.Tick(MonotonicNow());
  ExecuteActions();
  const bool isGraceOver = MonotonicNow() > m_drainStartedAt + kDrainGrace;
  if (m_draining && m_onDrained && m_pending.empty() && isGraceOver) {
    m_server->StopAccepting();
    m_link.Put(Leave{ std::exchange(m_onDrained, nullptr) });
  }
  if (m_hasReportedInFlight || !m_engine.DrainingInFlight().empty()) {
    ReportApplied();
  }
}

void
Frontend::ReportApplied()
{
  Applied applied;
  applied.m_revision = m_engine.Revision();
  for (const auto& [id, count] : m_engine.DrainingInFlight()) {
    applied.m_inFlight.push_back({ id, count });
  }
  m_hasReportedInFlight = !applied.m_inFlight.empty();
  m_link.Put(std::move(applied));
}

void
Frontend::ExecuteActions()
{
  for (auto actions = m_engine.TakeActions(); !actions.empty();
       actions = m_engine.TakeActions()) {
    for (request::Action& action : actions) {
      std::visit(
        [this](auto& aEngineAction) { Execute(std::move(aEngineAction)); },
        action);
    }
  }
}

void
Frontend::Execute(request::BeginAttempt aAction)
{
  Pending& pending = m_pending.at(aAction.m_local);
  if (pending.m_span) {
    pending.m_stepSpan = m_tracer->StartSpan(
      "entry.record", { opentracing::ChildOf(&pending.m_span->context()) });
  }
  const LocalId local = aAction.m_local;
  m_link.Put(Begin{ std::move(aAction.m_begin),
                    aAction.m_timeout,
                    [this, local](request::BeginResult aResult) {
                      m_server->Post(
                        [this, local, result = std::move(aResult)]() {
                          const auto found = m_pending.find(local);
                          if (found != m_pending.end()) {
                            found->second.m_stepSpan.reset();
                          }
                          m_engine.OnBegin(local, result, MonotonicNow());
                          ExecuteActions();
                        });
                    } });
}

void
Frontend::Execute(request::QueryRecord aAction)
{
  const LocalId local = aAction.m_local;
  m_link.Put(Lookup{ std::move(aAction.m_request),
                     aAction.m_timeout,
                     [this, local](request::BeginResult aResult) {
                       m_server->Post(
                         [this, local, result = std::move(aResult)]() {
                           m_engine.OnBegin(local, result, MonotonicNow());
                           ExecuteActions();
                         });
                     } });
}

http::Call
Frontend::MakeCall(const Pending& aPending,
                   const request::Dispatch& aDispatch) const
{
  const http::Request& incoming = aPending.m_exchange->Incoming();
  http::Call call;
  call.m_address = aDispatch.m_upstream.m_address;
  call.m_method = incoming.m_method;
  call.m_target = incoming.m_target;
  call.m_headers = internal::ForwardableHeaders(incoming.m_headers);
  call.m_headers.push_back({ internal::kKeyHeader, aPending.m_request.Get() });
  call.m_headers.push_back(
    { internal::kTimeoutHeader,
      std::to_string(ToMillis(aDispatch.m_timeout).count()) });
  if (aPending.m_stepSpan) {
    call.m_headers.push_back(
      { internal::kTraceHeader,
        telemetry::ContextOf(*aPending.m_stepSpan).ToTraceParent() });
  }
  call.m_body = aPending.m_body;
  call.m_timeout = aDispatch.m_timeout;
  call.m_atMostOnce = aDispatch.m_atMostOnce;
  // Checked again right before sending: if the process was suspended after the
  // engine's decision, its lease may have ended and the upstream may be
  // leaving.
  call.m_maySend = [lease = m_leaseUntil]() {
    return MonotonicNow().time_since_epoch().count() < lease->load();
  };
  return call;
}

void
Frontend::Execute(const request::Dispatch& aDispatch)
{
  Pending& pending = m_pending.at(aDispatch.m_local);
  if (pending.m_span) {
    pending.m_stepSpan = m_tracer->StartSpan(
      "upstream.call", { opentracing::ChildOf(&pending.m_span->context()) });
    pending.m_stepSpan->SetTag("upstream",
                               aDispatch.m_upstream.m_instance.Get());
    pending.m_stepSpan->SetTag("attempt", aDispatch.m_attemptNumber);
  }
  const LocalId local = aDispatch.m_local;
  const std::uint32_t number = aDispatch.m_attemptNumber;
  m_client->Start(MakeCall(pending, aDispatch),
                  [this, local, number](http::CallResult aResult) {
                    auto shared =
                      std::make_shared<http::CallResult>(std::move(aResult));
                    m_server->Post([this, local, number, shared]() {
                      OnCallDone(local, number, std::move(*shared));
                    });
                  });
}

void
Frontend::OnCallDone(LocalId aLocal,
                     std::uint32_t aNumber,
                     http::CallResult aResult)
{
  request::AttemptResult result;
  result.m_end = ToAttemptEnd(aResult.m_end);
  result.m_status = aResult.m_response.m_status;
  result.m_elapsed = aResult.m_elapsed;
  result.m_provesNotRun = result.m_end == AttemptEnd::kAnswered &&
                          http::FindHeader(aResult.m_response.m_headers,
                                           internal::kNotRunHeader) == "true";
  const auto found = m_pending.find(aLocal);
  if (found != m_pending.end()) {
    Pending& pending = found->second;
    if (pending.m_stepSpan) {
      pending.m_stepSpan->SetTag("status", result.m_status);
      pending.m_stepSpan->SetTag("end", aResult.m_detail);
      pending.m_stepSpan.reset();
    }
    if (result.m_end != AttemptEnd::kAnswered) {
      telemetry::LogLine(telemetry::Level::kDebug, "attempt failed")
        .With("request", pending.m_request.Get())
        .With("detail", aResult.m_detail)
        .Write();
    }
    pending.m_answer = std::move(aResult.m_response);
  }
  m_metrics.Observe("upstream_seconds", ToSeconds(result.m_elapsed));
  m_engine.OnAttempt(aLocal, aNumber, result, MonotonicNow());
  ExecuteActions();
}

void
Frontend::Execute(const request::Relay& aRelay)
{
  Pending& pending = m_pending.at(aRelay.m_local);
  http::Response response = std::move(pending.m_answer);
  response.m_headers = internal::ForwardableHeaders(response.m_headers);
  response.m_headers.push_back({ kOutcomeHeader, "done" });
  Respond(pending, std::move(response));
  m_pending.erase(aRelay.m_local);
  m_openRequests = m_pending.size();
}

void
Frontend::Execute(request::Resolve aResolve)
{
  if (aResolve.m_withAnswer) {
    aResolve.m_resolve.m_answer =
      ToAnswer(m_pending.at(aResolve.m_local).m_answer,
               m_engine.CurrentConfig().m_keptAnswerBytes);
  }
  m_link.Put(Resolve{ std::move(aResolve.m_resolve) });
}

void
Frontend::Execute(request::Conclude aConclude)
{
  Pending& pending = m_pending.at(aConclude.m_local);
  const char* outcome = outcome::Describe(aConclude.m_state);
  http::Response response;
  if (aConclude.m_recorded) {
    response = FromAnswer(*aConclude.m_recorded);
  } else {
    response = JsonResponse(StatusOf(aConclude),
                            { { "outcome", outcome },
                              { "reason", Describe(aConclude.m_reason) },
                              { "requestId", pending.m_request.Get() } });
    const bool retry =
      aConclude.m_retryAfter.has_value() || response.m_status == kUnavailable;
    if (retry) {
      AddRetryAfter(response,
                    aConclude.m_retryAfter.value_or(Duration::zero()));
    }
  }
  response.m_headers.push_back({ kOutcomeHeader, outcome });
  response.m_headers.push_back(
    { internal::kReasonHeader, Describe(aConclude.m_reason) });
  m_metrics.Count(std::string{ "concluded_total{reason=\"" } +
                  Describe(aConclude.m_reason) + "\"}");
  telemetry::LogLine(telemetry::Level::kInfo, "request concluded")
    .With("request", pending.m_request.Get())
    .With("service", pending.m_service)
    .With("outcome", outcome)
    .With("reason", Describe(aConclude.m_reason))
    .Write();
  Respond(pending, std::move(response));
  m_pending.erase(aConclude.m_local);
  m_openRequests = m_pending.size();
}

void
Frontend::Respond(Pending& aPending, http::Response aResponse)
{
  aResponse.m_headers.push_back({ kRequestIdHeader, aPending.m_request.Get() });
  aResponse.m_close = m_draining;
  if (aPending.m_span) {
    aPending.m_span->SetTag("status", aResponse.m_status);
    aPending.m_span->Finish();
  }
  m_metrics.Observe("request_seconds",
                    ToSeconds(MonotonicNow() - aPending.m_arrivedAt));
  aPending.m_exchange->Respond(std::move(aResponse));
}

std::string
Frontend::RenderMetrics()
{
  const request::Counters& counters = m_engine.GetCounters();
  telemetry::Metrics& metrics = m_metrics;
  metrics.Set("requests_done", static_cast<double>(counters.m_done));
  metrics.Set("requests_not_run", static_cast<double>(counters.m_notRun));
  metrics.Set("requests_unknown", static_cast<double>(counters.m_unknown));
  metrics.Set("retries", static_cast<double>(counters.m_retries));
  metrics.Set("requests_open", static_cast<double>(m_engine.Size()));
  metrics.Set("requests_queued", static_cast<double>(m_engine.QueuedCount()));
  metrics.Set("view_revision", static_cast<double>(m_engine.Revision().Get()));
  metrics.Set("lease_held", m_engine.HasLease(MonotonicNow()) ? 1 : 0);
  return metrics.Render();
}

} // namespace bamboostile::entry
