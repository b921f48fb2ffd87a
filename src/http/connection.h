#pragma once

#include "connection_table.h"
#include "request_parser.h"

#include "bamboostile/http/memory_budget.h"
#include "bamboostile/http/server.h"
#include "bamboostile/telemetry/log_limit.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bamboostile::http {

class Connection;

/** What the connections of a server share. Used on the server's thread. */
struct ConnectionContext
{
  ConnectionContext(PhaseTimeouts aTimeouts, RequestLimits aLimits);

  ConnectionTable m_table;
  RequestLimits m_limits;
  std::function<void(std::shared_ptr<Exchange>)> m_handler;
  std::shared_ptr<MemoryAccount> m_memory;
  /** Called when the clients hold more than they may. */
  std::function<void()> m_onMemoryShort;
  telemetry::LogRateLimiter m_refusalLog{ Millis{ 200 } };
  /** Called when a connection has closed. */
  std::function<void(ConnectionId)> m_onClosed;
  /** Receives what is more than a connection's own buffer takes. */
  std::array<char, std::size_t{ 64 } * 1024> m_received{};
};

/** A connection of a client: reads a request, waits for its response, writes
 * it, and reads the next one. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(ConnectionId aId,
             boost::asio::ip::tcp::socket aSocket,
             ConnectionContext& aContext);

  void Start();
  /** Sends the response to the request that is being handled. */
  void Respond(Response aResponse);
  void Close();
  /** Releases what the connection holds: answers a request that is being read
   * with 503, and gives up a response that is being written. */
  void Shed();

private:
  void Enter(Phase aPhase);
  void AwaitInput();
  bool IsReading() const;
  void OnReceived(std::size_t aBytes);
  bool ReadMore();
  void Consume(std::string_view aBytes);
  void ParseInput();
  bool ParseRequest();
  void Dispatch();
  void Handle(std::shared_ptr<Exchange> aExchange);
  void Refuse(std::uint32_t aStatus, const char* aReason, Headers aHeaders);
  void LogRefusal(const Response& aResponse);
  void TrackMemory();
  void Write(Response aResponse);
  void WriteResponse();
  void WriteRest(std::size_t aWritten);
  void EndResponse();
  void AwaitNextRequest();

  ConnectionId m_id;
  boost::asio::ip::tcp::socket m_socket;
  ConnectionContext& m_context;
  Phase m_phase = Phase::kIdle;
  /** Large enough for most requests. */
  std::array<char, std::size_t{ 4 } * 1024> m_received{};
  /** Exists while a request is being read. */
  std::unique_ptr<RequestParser> m_parser;
  /** Received, not yet used up by the parser. */
  std::string m_input;
  std::size_t m_discarded = 0;
  bool m_isAwaitingInput = false;
  bool m_isParsing = false;
  /** The response to a request that is being parsed has been written. */
  bool m_isWritten = false;
  bool m_keepsAlive = true;
  bool m_isHead = false;
  bool m_isRefusing = false;
  Reservation m_memory;
  std::string m_responseHead;
  std::string m_responseBody;
};

} // namespace bamboostile::http
