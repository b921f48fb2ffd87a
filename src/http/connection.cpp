#include "connection.h"

#include "bamboostile/telemetry/log.h"

#include <boost/asio/write.hpp>

#include <algorithm>

#include <utility>

namespace bamboostile::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Socket = asio::ip::tcp::socket;
using telemetry::Level;
using telemetry::LogLine;

/** Reads of one connection before others get their turn. */
constexpr int kReadsPerTurn = 4;
/** Bytes dropped after a refusal. A connection that is closed with unread bytes
 * is reset, and its client may lose the response. */
constexpr std::size_t kMaxDiscarded = std::size_t{ 8 } * 1024 * 1024;
/** What an open connection takes without a request. */
constexpr std::size_t kConnectionBytes = std::size_t{ 6 } * 1024;
constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kPayloadTooLarge = 413;
constexpr std::uint32_t kUriTooLong = 414;
constexpr std::uint32_t kHeadersTooLarge = 431;
constexpr std::uint32_t kUnavailable = 503;

std::uint32_t
StatusOf(ParseFailure aFailure)
{
  switch (aFailure) {
    case ParseFailure::kMalformed:
      return kBadRequest;
    case ParseFailure::kBodyTooLarge:
      return kPayloadTooLarge;
    case ParseFailure::kTargetTooLong:
      return kUriTooLong;
    case ParseFailure::kHeadTooLarge:
      return kHeadersTooLarge;
  }
  return kBadRequest;
}

const char*
ReasonOf(ParseFailure aFailure)
{
  return aFailure == ParseFailure::kMalformed ? "Bad Request" : "Too Large";
}

std::string
WriteHead(const Response& aResponse, bool aKeepsAlive)
{
  std::string head =
    "HTTP/1.1 " + std::to_string(aResponse.m_status) + " " +
    (aResponse.m_reason.empty() ? "Status" : aResponse.m_reason) +
    "\r\nConnection: " + (aKeepsAlive ? "keep-alive" : "close") +
    "\r\nContent-Length: " + std::to_string(aResponse.m_body.size()) + "\r\n";
  for (const Header& header : aResponse.m_headers) {
    head += header.m_name + ": " + header.m_value + "\r\n";
  }
  return head + "\r\n";
}

class ConnectionExchange final : public Exchange
{
public:
  ConnectionExchange(std::weak_ptr<Connection> aConnection,
                     Request aRequest,
                     Reservation aMemory)
    : m_connection(std::move(aConnection))
    , m_request(std::move(aRequest))
    , m_memory(std::move(aMemory))
  {
  }

  const Request& Incoming() const override { return m_request; }
  std::string TakeBody() override { return std::move(m_request.m_body); }
  void Hold(std::uint64_t aBytes) override
  {
    m_memory.Resize(m_memory.Bytes() + aBytes);
  }

  void Respond(Response aResponse) override
  {
    // Only the first response counts: the connection may read its next request
    // meanwhile.
    if (const auto connection = std::exchange(m_connection, {}).lock()) {
      connection->Respond(std::move(aResponse));
    }
  }

private:
  std::weak_ptr<Connection> m_connection;
  Request m_request;
  /** Held until the exchange ends: a body that was taken out exists elsewhere,
   * as received or decoded. */
  Reservation m_memory;
};

} // namespace

ConnectionContext::ConnectionContext(PhaseTimeouts aTimeouts,
                                     RequestLimits aLimits)
  : m_table(aTimeouts)
  , m_limits(aLimits)
{
}

Connection::Connection(ConnectionId aId,
                       Socket aSocket,
                       ConnectionContext& aContext)
  : m_id(aId)
  , m_socket(std::move(aSocket))
  , m_context(aContext)
  , m_memory(aContext.m_memory)
{
}

void
Connection::Start()
{
  m_context.m_table.Add(m_id, SteadyNow());
  ErrorCode error;
  m_socket.non_blocking(true, error);
  if (error) {
    Close();
    return;
  }
  TrackMemory();
  AwaitInput();
}

void
Connection::Close()
{
  if (!m_socket.is_open()) {
    return;
  }
  ErrorCode ignored;
  m_socket.shutdown(Socket::shutdown_both, ignored);
  m_socket.close(ignored);
  m_parser.reset();
  m_input = {};
  m_memory.Resize(0);
  m_context.m_table.Remove(m_id);
  m_context.m_onClosed(m_id);
}

void
Connection::Enter(Phase aPhase)
{
  if (m_phase != aPhase) {
    m_phase = aPhase;
    m_context.m_table.Enter(m_id, aPhase, SteadyNow());
  }
}

// A read into a buffer costs one system call less for each request than to wait
// until the socket is readable.
void
Connection::AwaitInput()
{
  if (m_isAwaitingInput) {
    return;
  }
  m_isAwaitingInput = true;
  m_socket.async_read_some(
    asio::buffer(m_received),
    [self = shared_from_this()](const ErrorCode& aError, std::size_t aBytes) {
      self->m_isAwaitingInput = false;
      if (aError) {
        self->Close();
      } else {
        self->OnReceived(aBytes);
      }
    });
}

bool
Connection::IsReading() const
{
  return m_socket.is_open() && m_phase != Phase::kHandling &&
         m_phase != Phase::kWriting;
}

void
Connection::OnReceived(std::size_t aBytes)
{
  Consume({ m_received.data(), aBytes });
  bool hasMore = aBytes == m_received.size();
  for (int i = 0; i < kReadsPerTurn && hasMore && IsReading(); ++i) {
    hasMore = ReadMore();
  }
  if (IsReading()) {
    AwaitInput();
  }
}

/** Reads what has arrived beyond the connection's own buffer. Returns whether
 * there may be still more. */
bool
Connection::ReadMore()
{
  ErrorCode error;
  auto& buffer = m_context.m_received;
  const std::size_t bytes = m_socket.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) {
    return false;
  }
  if (error) {
    Close();
    return false;
  }
  Consume({ buffer.data(), bytes });
  return bytes == buffer.size();
}

void
Connection::Consume(std::string_view aBytes)
{
  // After a refusal, a read that was under way still ends.
  if (m_isRefusing) {
    m_discarded += aBytes.size();
    if (m_discarded > kMaxDiscarded) {
      Close();
    }
    return;
  }
  m_input += aBytes;
  ParseInput();
  TrackMemory();
}

void
Connection::TrackMemory()
{
  if (!m_socket.is_open()) {
    return;
  }
  const std::uint64_t parsed = m_parser ? m_parser->Bytes() : 0;
  m_memory.Resize(kConnectionBytes + m_input.capacity() + parsed +
                  m_responseHead.capacity() + m_responseBody.capacity());
  m_context.m_table.SetBytes(m_id, m_memory.Bytes());
  if (m_context.m_memory->MustShed()) {
    m_context.m_onMemoryShort();
  }
}

void
Connection::ParseInput()
{
  m_isParsing = true;
  while (ParseRequest()) {
  }
  m_isParsing = false;
}

/** Returns whether a request was answered at once, so that the next one can be
 * read. */
bool
Connection::ParseRequest()
{
  if (!m_parser) {
    // RFC 9112, 2.2: empty lines before a request are ignored.
    m_input.erase(0, m_input.find_first_not_of("\r\n"));
    if (m_input.empty()) {
      return false;
    }
    m_parser = std::make_unique<RequestParser>(m_context.m_limits);
    Enter(Phase::kReadingHead);
  }
  m_input.erase(0, m_parser->Read(m_input));
  if (const auto failure = m_parser->Failure()) {
    Refuse(StatusOf(*failure), ReasonOf(*failure), {});
  } else if (m_parser->IsComplete()) {
    Dispatch();
  } else if (m_parser->HasHead()) {
    Enter(Phase::kReadingBody);
  }
  if (std::exchange(m_isWritten, false)) {
    EndResponse();
  }
  return m_socket.is_open() && m_phase == Phase::kIdle;
}

void
Connection::Dispatch()
{
  Enter(Phase::kHandling);
  Reservation memory(m_context.m_memory);
  memory.Resize(m_parser->Bytes());
  Request request = std::move(m_parser->Message());
  m_keepsAlive = m_parser->KeepsAlive();
  m_isHead = request.m_method == "HEAD";
  m_parser.reset();
  Handle(std::make_shared<ConnectionExchange>(
    weak_from_this(), std::move(request), std::move(memory)));
}

void
Connection::Handle(std::shared_ptr<Exchange> aExchange)
{
  try {
    m_context.m_handler(std::move(aExchange));
  } catch (const std::exception& error) {
    LogLine(Level::kError, "request handler failed")
      .With("reason", std::string{ error.what() })
      .Write();
    Close();
  }
}

// The handler has not seen the request, so it has not run.
void
Connection::Refuse(std::uint32_t aStatus, const char* aReason, Headers aHeaders)
{
  m_isHead = false;
  m_isRefusing = true;
  m_parser.reset();
  m_input = {};
  Response response;
  response.m_status = aStatus;
  response.m_reason = aReason;
  response.m_headers = std::move(aHeaders);
  response.m_headers.push_back({ "Bamboostile-Outcome", "not-run" });
  response.m_close = true;
  LogRefusal(response);
  Write(std::move(response));
}

void
Connection::LogRefusal(const Response& aResponse)
{
  if (const auto unlogged = m_context.m_refusalLog.Admit(SteadyNow())) {
    LogLine(Level::kInfo, "request refused before it was read")
      .With("status", aResponse.m_status)
      .With("reason", aResponse.m_reason)
      .With("connections", m_context.m_table.Size())
      .With("unloggedBefore", *unlogged)
      .Write();
  }
}

void
Connection::Shed()
{
  if (m_phase == Phase::kReadingHead || m_phase == Phase::kReadingBody) {
    Refuse(kUnavailable, "Out of Memory", { { "Retry-After", "1" } });
  } else {
    Close();
  }
}

void
Connection::Respond(Response aResponse)
{
  if (m_phase == Phase::kHandling && m_socket.is_open()) {
    Write(std::move(aResponse));
  }
}

void
Connection::Write(Response aResponse)
{
  Enter(Phase::kWriting);
  m_keepsAlive = m_keepsAlive && !aResponse.m_close;
  m_responseHead = WriteHead(aResponse, m_keepsAlive);
  m_responseBody = m_isHead ? std::string{} : std::move(aResponse.m_body);
  TrackMemory();
  if (m_socket.is_open()) {
    WriteResponse();
  }
}

// Most responses fit into the socket's buffer: to write them at once costs a
// turn of the event loop less.
void
Connection::WriteResponse()
{
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(m_responseHead), asio::buffer(m_responseBody)
  };
  ErrorCode error;
  const std::size_t written = m_socket.write_some(buffers, error);
  if (error && error != asio::error::would_block) {
    Close();
  } else if (written < asio::buffer_size(buffers)) {
    WriteRest(written);
  } else if (m_isParsing) {
    m_isWritten = true;
  } else {
    EndResponse();
    if (m_phase == Phase::kIdle) {
      AwaitNextRequest();
    }
  }
}

void
Connection::WriteRest(std::size_t aWritten)
{
  const std::size_t headBytes = std::min(aWritten, m_responseHead.size());
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(m_responseHead) + headBytes,
    asio::buffer(m_responseBody) + (aWritten - headBytes)
  };
  asio::async_write(
    m_socket,
    buffers,
    [self = shared_from_this()](const ErrorCode& aError, std::size_t) {
      if (aError || !self->m_socket.is_open()) {
        self->Close();
        return;
      }
      self->EndResponse();
      if (self->m_phase == Phase::kIdle) {
        self->AwaitNextRequest();
      }
    });
}

/** Closes the connection after its last response; otherwise it is idle, or
 * drops what still arrives. */
void
Connection::EndResponse()
{
  m_responseHead = {};
  m_responseBody = {};
  if (m_isRefusing) {
    ErrorCode ignored;
    m_socket.shutdown(Socket::shutdown_send, ignored);
    Enter(Phase::kDiscarding);
    AwaitInput();
  } else if (m_keepsAlive) {
    Enter(Phase::kIdle);
  } else {
    Close();
  }
  TrackMemory();
}

void
Connection::AwaitNextRequest()
{
  ParseInput();
  TrackMemory();
  if (IsReading()) {
    AwaitInput();
  }
}

} // namespace bamboostile::http
