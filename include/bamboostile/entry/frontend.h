#pragma once

#include "bamboostile/entry/link.h"
#include "bamboostile/entry/queue_gateway.h"
#include "bamboostile/http/client.h"
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
};

/**
 * @brief The traffic side of an entry: carries HTTP in and out of the request
 * engine.
 *
 * All of it but OnLease() and Drain() runs on the HTTP server's thread, which
 * owns the engine; other threads only post to it.
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
  /** From the control thread. */
  void OnLease(LeaseGranted aLease);
  /** From any thread: finish what is here, say goodbye, then call aDone. */
  void Drain(std::function<void()> aDone);
  /** Requests that a stop now would cut off. */
  std::size_t OpenRequests() const { return m_open; }
  void Stop();

private:
  using LocalId = request::LocalId;

  /** What the engine's decisions about a request are carried out on. */
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
    std::unique_ptr<opentracing::Span> m_step;
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
  void Pump();
  void Carry(request::AskBegin aAsk);
  void Carry(request::AskRecord aAsk);
  void Carry(const request::Dispatch& aDispatch);
  void Carry(const request::Relay& aRelay);
  void Carry(request::Resolve aResolve);
  void Carry(request::Conclude aConclude);
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
  std::uint64_t m_lastLocal = 0;
  Index m_reported;
  bool m_reportedLeftovers = false;
  bool m_draining = false;
  std::function<void()> m_onDrained;
  TimePoint m_drainFrom;
  std::atomic<std::size_t> m_open = 0;
  /** End of the lease in microseconds; read on the client's thread. */
  std::shared_ptr<std::atomic<std::int64_t>> m_leaseUntil;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<http::Server> m_server;
};

} // namespace bamboostile::entry
