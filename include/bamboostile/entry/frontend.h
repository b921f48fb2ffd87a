#pragma once

#include "bamboostile/entry/link.h"
#include "bamboostile/entry/queue_gateway.h"
#include "bamboostile/http/client.h"
#include "bamboostile/http/client_limits.h"
#include "bamboostile/http/server.h"
#include "bamboostile/request/engine.h"
#include "bamboostile/settings/settings.h"
#include "bamboostile/telemetry/metrics.h"
#include "bamboostile/telemetry/trace.h"

#include <atomic>
#include <unordered_map>

namespace bamboostile::entry {

struct FrontendOptions
{
  settings::Settings m_settings;
  outcome::EntryId m_self;
  request::Options m_engine;
  http::ClientLimits m_clientLimits;
};

/**
 * @brief The HTTP side of an entry: passes callers' requests to the request
 * engine and executes the actions that the engine decides on.
 *
 * Everything except OnLease() and Drain() runs on the HTTP server's thread,
 * which owns the engine; other threads only post to it.
 */
class Frontend
{
public:
  Frontend(FrontendOptions aOptions,
           rpc::Mailbox<LinkMessage>& aLink,
           QueueGateway& aQueues,
           std::shared_ptr<opentracing::Tracer> aTracer);
  ~Frontend();

  bool Start(std::string& aReason);
  /** Called on the control thread. */
  void OnLease(LeaseGranted aLease);
  /** Can be called on any thread. Finishes the open requests, signs off from
   * the control group and then calls aDone. */
  void Drain(std::function<void()> aDone);
  /** Number of requests that Stop() would abort now. */
  std::size_t OpenRequests() const { return m_openRequests; }
  void Stop();

private:
  using LocalId = request::LocalId;

  /** An open request: its HTTP exchange and what the engine's actions on it
   * need. */
  struct Pending
  {
    std::shared_ptr<http::Exchange> m_exchange;
    std::shared_ptr<const std::string> m_body;
    RequestId m_request;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    std::string m_service;
    http::Response m_answer;
    std::unique_ptr<opentracing::Span> m_span;
    std::unique_ptr<opentracing::Span> m_stepSpan;
  };

  void Handle(std::shared_ptr<http::Exchange> aExchange);
  void HandleForward(std::shared_ptr<http::Exchange> aExchange);
  void HandleOutcome(std::shared_ptr<http::Exchange> aExchange);
  void HandleUpstream(std::shared_ptr<http::Exchange> aExchange);
  void PutUpstream(std::shared_ptr<http::Exchange> aExchange,
                   const InstanceId& aId);
  void DeleteUpstream(std::shared_ptr<http::Exchange> aExchange,
                      const InstanceId& aId);
  void SendAnnouncement(std::shared_ptr<http::Exchange> aExchange,
                        fleet::Announcement aAnnouncement);
  void HandleProbe(const std::shared_ptr<http::Exchange>& aExchange,
                   bool aHealthy);
  std::string RenderMetrics();

  void Tick();
  void ExecuteActions();
  void Execute(request::BeginAttempt aAction);
  void Execute(request::QueryRecord aAction);
  void Execute(const request::Dispatch& aDispatch);
  void Execute(const request::Relay& aRelay);
  void Execute(request::Resolve aResolve);
  void Execute(request::Conclude aConclude);
  void OnCallDone(LocalId aLocal,
                  std::uint32_t aNumber,
                  http::CallResult aResult);
  void ReportApplied();
  void Respond(Pending& aPending, http::Response aResponse);
  http::Call MakeCall(const Pending& aPending,
                      const request::Dispatch& aDispatch) const;

  FrontendOptions m_options;
  rpc::Mailbox<LinkMessage>& m_link;
  QueueGateway& m_queues;
  std::shared_ptr<opentracing::Tracer> m_tracer;
  request::Engine m_engine;
  telemetry::Metrics m_metrics;
  std::unordered_map<LocalId, Pending> m_pending;
  std::uint64_t m_lastLocalId = 0;
  Index m_reported;
  bool m_hasReportedInFlight = false;
  bool m_draining = false;
  std::function<void()> m_onDrained;
  TimePoint m_drainStartedAt;
  std::atomic<std::size_t> m_openRequests = 0;
  /** End of the lease on the monotonic clock, in microseconds; read on the
   * HTTP client's thread. */
  std::shared_ptr<std::atomic<std::int64_t>> m_leaseUntil;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<http::Server> m_server;
};

} // namespace bamboostile::entry
