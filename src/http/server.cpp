#include "bamboostile/http/server.h"

#include "connection.h"

#include "bamboostile/telemetry/log.h"
#include "bamboostile/telemetry/log_limit.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <thread>
#include <unordered_map>

namespace bamboostile::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using asio::ip::tcp;

/** Connections accepted per iteration of the event loop. With one, a busy
 * process reads requests at the end of the backlog only after their senders
 * have timed out and reconnected at the end of the backlog. */
constexpr int kAcceptsPerIteration = 64;
/** Bytes that the system keeps for a connection that isn't read while its
 * request is being handled. */
constexpr int kReceiveBuffer = 32 * 1024;
/** Time in which a refused client can still read its response. */
constexpr Millis kDiscardTimeout{ 2'000 };
constexpr Millis kMaxCheckInterval{ 1'000 };
/** Interval between attempts to accept while there is no place, or no
 * descriptor for a connection. */
constexpr Millis kAcceptRetryInterval{ 100 };
/** Checks of timeouts within the shortest one that is set. */
constexpr int kChecksPerTimeout = 2;

} // namespace

struct Server::Impl
{
  Impl(ServerOptions aOptions, Handler aHandler)
    : m_options(std::move(aOptions))
    , m_acceptor(m_context)
    , m_checkTimer(m_context)
    , m_acceptTimer(m_context)
    , m_connections(
        PhaseTimeouts{
          .m_idle = m_options.m_readTimeout,
          .m_head = std::min(m_options.m_headTimeout, m_options.m_readTimeout),
          .m_request = m_options.m_readTimeout,
          .m_handle = m_options.m_handleTimeout,
          .m_write = m_options.m_readTimeout,
          .m_discard = kDiscardTimeout },
        RequestLimits{ m_options.m_maxBodyBytes, m_options.m_maxHeaderBytes })
  {
    m_connections.m_handler = std::move(aHandler);
    m_connections.m_memory =
      std::make_shared<MemoryAccount>(m_options.m_memory, [this]() {
        asio::post(m_context, [this]() { Shed(); });
      });
    m_connections.m_onMemoryShort = [this]() { Shed(); };
    m_connections.m_onClosed = [this](ConnectionId aId) { OnClosed(aId); };
  }

  ~Impl() { m_connections.m_memory->Detach(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  struct Periodic
  {
    Millis m_period;
    std::function<void()> m_task;
    std::unique_ptr<asio::steady_timer> m_timer;
  };

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

  void Listen()
  {
    const tcp::endpoint endpoint{ asio::ip::make_address(m_options.m_address),
                                  m_options.m_port };
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Accepted sockets inherit the size.
    ErrorCode ignored;
    m_acceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
    m_acceptor.bind(endpoint);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    m_acceptor.non_blocking(true);
  }

  void AwaitClients()
  {
    if (m_isAwaitingClients || !m_acceptor.is_open()) {
      return;
    }
    m_isAwaitingClients = true;
    m_acceptor.async_wait(tcp::acceptor::wait_read, [this](const auto& aError) {
      m_isAwaitingClients = false;
      if (!aError) {
        Accept();
      }
    });
  }

  void Accept()
  {
    for (int i = 0; i < kAcceptsPerIteration; ++i) {
      if (m_open.size() >= m_options.m_maxConnections && !MakePlace()) {
        RetryAccept();
        return;
      }
      ErrorCode error;
      tcp::socket socket = m_acceptor.accept(error);
      if (error == asio::error::would_block) {
        break;
      }
      if (!error) {
        Open(std::move(socket));
      } else if (error != asio::error::connection_aborted) {
        // The process or the machine is out of descriptors or memory. The
        // client stays in the backlog.
        MakePlace();
        RetryAccept();
        return;
      }
    }
    AwaitClients();
  }

  /** Closes a connection in favor of a new one. */
  bool MakePlace()
  {
    const auto longest = m_connections.m_table.FindLongestWaiting(SteadyNow());
    if (longest) {
      LogMadePlace();
      Close(*longest);
    }
    return longest.has_value();
  }

  void LogMadePlace()
  {
    const auto unlogged = m_placeLog.Admit(SteadyNow());
    if (!unlogged) {
      return;
    }
    telemetry::LogLine(telemetry::Level::kInfo,
                       "connection without a request closed for a new one")
      .With("port", m_options.m_port)
      .With("connections", m_open.size())
      .With("unloggedBefore", *unlogged)
      .Write();
  }

  void RetryAccept()
  {
    m_isAwaitingClients = true;
    m_acceptTimer.expires_after(kAcceptRetryInterval);
    m_acceptTimer.async_wait([this](const auto& aError) {
      m_isAwaitingClients = false;
      if (!aError && m_acceptor.is_open()) {
        Accept();
      }
    });
  }

  void Open(tcp::socket aSocket)
  {
    const ConnectionId id{ ++m_lastId };
    const auto connection =
      std::make_shared<Connection>(id, std::move(aSocket), m_connections);
    m_open.emplace(id, connection);
    connection->Start();
  }

  void OnClosed(ConnectionId aId) { m_open.erase(aId); }

  void Shed()
  {
    // Closing a connection may find again that memory is short.
    if (std::exchange(m_isShedding, true)) {
      return;
    }
    while (m_connections.m_memory->MustShed()) {
      const auto largest = m_connections.m_table.FindLargest();
      if (!largest) {
        break;
      }
      const auto connection = m_open.at(*largest);
      connection->Shed();
    }
    m_isShedding = false;
  }

  Millis CheckInterval() const
  {
    return std::min(kMaxCheckInterval,
                    m_options.m_readTimeout / kChecksPerTimeout);
  }

  void CheckTimeouts()
  {
    m_checkTimer.expires_after(CheckInterval());
    m_checkTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        CloseExpired();
        CheckTimeouts();
      }
    });
  }

  void CloseExpired()
  {
    for (const ConnectionId id : m_connections.m_table.Expired(SteadyNow())) {
      Close(id);
    }
  }

  void Close(ConnectionId aId)
  {
    if (const auto found = m_open.find(aId); found != m_open.end()) {
      const auto connection = found->second;
      connection->Close();
    }
  }

  ServerOptions m_options;
  /** Outlives the connections: their handlers are destroyed with it. */
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_checkTimer;
  asio::steady_timer m_acceptTimer;
  ConnectionContext m_connections;
  std::unordered_map<ConnectionId, std::shared_ptr<Connection>> m_open;
  std::uint64_t m_lastId = 0;
  bool m_isShedding = false;
  telemetry::LogRateLimiter m_placeLog{ Millis{ 1'000 } };
  /** Also set until the next attempt to accept. */
  bool m_isAwaitingClients = false;
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
  try {
    impl.Listen();
  } catch (const std::exception& error) {
    aReason = impl.m_options.m_address + ":" +
              std::to_string(impl.m_options.m_port) + ": " + error.what();
    return false;
  }
  impl.AwaitClients();
  impl.CheckTimeouts();
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
  Post([impl = m_impl.get()]() {
    ErrorCode ignored;
    impl->m_acceptor.close(ignored);
  });
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
