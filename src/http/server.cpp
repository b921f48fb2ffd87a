#include "bamboostile/http/server.h"

#include <restinio/all.hpp>

#include <asio/steady_timer.hpp>

#include <thread>

namespace bamboostile::http {

namespace {

struct Traits : public restinio::default_single_thread_traits_t
{
  static constexpr bool use_connection_count_limiter = true;
};

using RestinioServer = restinio::http_server_t<Traits>;

/** Factor between the server's limits and those set in RESTinio, which closes
 * the connection without an answer if one of its own is exceeded. A request
 * slightly over the server's limits thus still gets an answer. */
constexpr std::uint64_t kRestinioLimitFactor = 4;
constexpr std::size_t kMaxHeaderFields = 200;
constexpr std::size_t kMaxFieldName = 1024;
constexpr std::size_t kMaxTarget = 8192;
/** Connections accepted per iteration of the event loop. With one, a busy
 * process reads requests at the end of the backlog only after their senders
 * have timed out and reconnected at the end of the backlog. */
constexpr std::size_t kAcceptsPerIteration = 64;
constexpr std::uint16_t kPayloadTooLarge = 413;
constexpr std::uint16_t kUriTooLong = 414;
constexpr std::uint16_t kHeadersTooLarge = 431;

class RestinioExchange final : public Exchange
{
public:
  explicit RestinioExchange(restinio::request_handle_t aRequest)
    : m_restinio(std::move(aRequest))
  {
    const auto& header = m_restinio->header();
    m_request.m_method = header.method().c_str();
    m_request.m_target = header.request_target();
    header.for_each_field([&](const auto& aField) {
      m_request.m_headers.push_back({ aField.name(), aField.value() });
    });
    m_request.m_body = m_restinio->body();
  }

  const Request& Incoming() const override { return m_request; }
  std::string TakeBody() override { return std::move(m_request.m_body); }

  void Respond(Response aResponse) override
  {
    auto response = m_restinio->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t{
        static_cast<std::uint16_t>(aResponse.m_status) },
      aResponse.m_reason.empty() ? "Status" : aResponse.m_reason });
    for (const Header& header : aResponse.m_headers) {
      response.append_header(header.m_name, header.m_value);
    }
    if (aResponse.m_close) {
      response.connection_close();
    }
    if (!aResponse.m_body.empty() && m_request.m_method != "HEAD") {
      response.set_body(std::move(aResponse.m_body));
    }
    response.done();
  }

private:
  restinio::request_handle_t m_restinio;
  Request m_request;
};

} // namespace

struct Server::Impl
{
  Impl(ServerOptions aOptions, Handler aHandler)
    : m_options(std::move(aOptions))
    , m_handler(std::move(aHandler))
  {
  }

  struct Periodic
  {
    Millis m_period;
    std::function<void()> m_task;
    std::unique_ptr<asio::steady_timer> m_timer;
  };

  restinio::request_handling_status_t Handle(
    const restinio::request_handle_t& aRequest)
  {
    auto exchange = std::make_shared<RestinioExchange>(aRequest);
    if (const std::uint16_t status = CheckSize(exchange->Incoming())) {
      Response tooLarge;
      tooLarge.m_status = status;
      tooLarge.m_reason = "Too Large";
      tooLarge.m_headers = { { "Bamboostile-Outcome", "not-run" } };
      tooLarge.m_close = true;
      exchange->Respond(std::move(tooLarge));
    } else {
      m_handler(std::move(exchange));
    }
    return restinio::request_accepted();
  }

  std::uint16_t CheckSize(const Request& aRequest) const
  {
    if (aRequest.m_body.size() > m_options.m_maxBodyBytes) {
      return kPayloadTooLarge;
    }
    if (aRequest.m_target.size() > kMaxTarget) {
      return kUriTooLong;
    }
    std::size_t bytes = 0;
    for (const Header& header : aRequest.m_headers) {
      bytes += header.m_name.size() + header.m_value.size();
    }
    return bytes > m_options.m_maxHeaderBytes ? kHeadersTooLarge : 0;
  }

  void ScheduleNext(Periodic& aPeriodic)
  {
    aPeriodic.m_timer->expires_after(aPeriodic.m_period);
    aPeriodic.m_timer->async_wait([this, &aPeriodic](const auto& aError) {
      if (!aError) {
        aPeriodic.m_task();
        ScheduleNext(aPeriodic);
      }
    });
  }

  restinio::incoming_http_msg_limits_t RestinioLimits() const
  {
    return restinio::incoming_http_msg_limits_t{}
      .max_url_size(kMaxTarget * kRestinioLimitFactor)
      .max_field_name_size(kMaxFieldName)
      .max_field_value_size(m_options.m_maxHeaderBytes * kRestinioLimitFactor)
      .max_field_count(kMaxHeaderFields)
      .max_body_size(m_options.m_maxBodyBytes * kRestinioLimitFactor);
  }

  ServerOptions m_options;
  Handler m_handler;
  asio::io_context m_context;
  std::unique_ptr<RestinioServer> m_server;
  std::vector<std::unique_ptr<Periodic>> m_periodic;
  std::thread m_thread;
};

Server::Server(ServerOptions aOptions, Handler aHandler)
  : m_impl(std::make_unique<Impl>(std::move(aOptions), std::move(aHandler)))
{
}

Server::~Server()
{
  Stop();
}

bool
Server::Start(std::string& aReason)
{
  Impl& impl = *m_impl;
  const ServerOptions& options = impl.m_options;
  impl.m_server = std::make_unique<RestinioServer>(
    restinio::external_io_context(impl.m_context), [&](auto& aSettings) {
      aSettings.port(options.m_port)
        .address(options.m_address)
        .max_parallel_connections(options.m_maxConnections)
        .max_pipelined_requests(1)
        .concurrent_accepts_count(kAcceptsPerIteration)
        .incoming_http_msg_limits(impl.RestinioLimits())
        .read_next_http_message_timelimit(options.m_readTimeout)
        .write_http_response_timelimit(options.m_readTimeout)
        .handle_request_timeout(options.m_handleTimeout)
        .request_handler([&impl](const restinio::request_handle_t& aRequest) {
          return impl.Handle(aRequest);
        });
    });
  try {
    impl.m_server->open_sync();
  } catch (const std::exception& error) {
    aReason = options.m_address + ":" + std::to_string(options.m_port) + ": " +
              error.what();
    return false;
  }
  for (auto& periodic : impl.m_periodic) {
    periodic->m_timer = std::make_unique<asio::steady_timer>(impl.m_context);
    impl.ScheduleNext(*periodic);
  }
  impl.m_thread = std::thread([&impl]() { impl.m_context.run(); });
  return true;
}

void
Server::Post(std::function<void()> aTask)
{
  asio::post(m_impl->m_context, std::move(aTask));
}

void
Server::Every(Millis aPeriod, std::function<void()> aTask)
{
  auto periodic = std::make_unique<Impl::Periodic>();
  periodic->m_period = aPeriod;
  periodic->m_task = std::move(aTask);
  m_impl->m_periodic.push_back(std::move(periodic));
}

void
Server::StopAccepting()
{
  Post([impl = m_impl.get()]() { impl->m_server->close_sync(); });
}

void
Server::Stop()
{
  if (!m_impl->m_thread.joinable()) {
    return;
  }
  m_impl->m_context.stop();
  m_impl->m_thread.join();
}

} // namespace bamboostile::http
