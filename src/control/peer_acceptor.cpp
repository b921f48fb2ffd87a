#include "peer_acceptor.h"

#include "bamboostile/telemetry/log.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <bit>
#include <functional>
#include <map>
#include <tuple>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

constexpr kj::Duration kRetryInterval = 100 * kj::MILLISECONDS;
/** What an open connection takes without a message. */
constexpr std::uint64_t kConnectionBytes = 8 * 1024;
/** Parameters of the calls of one connection that have no answer yet, in words
 * of 8 bytes. Above this, its further messages stay in the socket. */
constexpr std::size_t kMaxCallWords = std::size_t{ 512 } * 1024;

/** A stream that counts the message that is being read as memory of clients. */
class MeteredStream final : public kj::AsyncIoStream
{
public:
  MeteredStream(kj::Own<kj::AsyncIoStream> aStream,
                std::shared_ptr<http::MemoryAccount> aMemory,
                std::function<void()> aOnMemoryShort)
    : m_stream(kj::mv(aStream))
    , m_account(aMemory)
    , m_memory(std::move(aMemory))
    , m_onMemoryShort(std::move(aOnMemoryShort))
  {
    m_memory.Resize(kConnectionBytes);
  }

  /** The buffer exists before its content arrives; it is counted as a whole. */
  kj::Promise<std::size_t> tryRead(void* aBuffer,
                                   std::size_t aMin,
                                   std::size_t aMax) override
  {
    m_lastReadAt = MonotonicNow();
    m_memory.Resize(kConnectionBytes + aMin);
    if (m_account->MustShed()) {
      m_onMemoryShort();
    }
    return m_stream->tryRead(aBuffer, aMin, aMax);
  }

  kj::Promise<void> write(const void* aBuffer, std::size_t aSize) override
  {
    return m_stream->write(aBuffer, aSize);
  }

  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override
  {
    return m_stream->write(aPieces);
  }

  kj::Promise<void> whenWriteDisconnected() override
  {
    return m_stream->whenWriteDisconnected();
  }

  void shutdownWrite() override { m_stream->shutdownWrite(); }
  void abortRead() override { m_stream->abortRead(); }

  /** When the read that is under way began: after the last message. */
  TimePoint LastReadAt() const { return m_lastReadAt; }
  std::uint64_t Bytes() const { return m_memory.Bytes(); }
  void ReleaseMemory() { m_memory.Resize(0); }

private:
  kj::Own<kj::AsyncIoStream> m_stream;
  std::shared_ptr<http::MemoryAccount> m_account;
  http::Reservation m_memory;
  std::function<void()> m_onMemoryShort;
  TimePoint m_lastReadAt = MonotonicNow();
};

/** An accepted connection with its own reader limits. */
struct Accepted
{
  kj::Own<MeteredStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
  kj::Own<kj::PromiseFulfiller<void>> m_close;

  Accepted(kj::Own<MeteredStream> aStream, capnp::Capability::Client aBootstrap)
    : m_stream(kj::mv(aStream))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER)
    , m_rpc(capnp::makeRpcServer(m_network, kj::mv(aBootstrap)))
  {
    m_rpc.setFlowLimit(kMaxCallWords);
  }
};

} // namespace

class PeerAcceptor::Connections
  : public std::enable_shared_from_this<PeerAcceptor::Connections>
{
public:
  explicit Connections(const http::ClientLimits& aLimits)
    : m_max(aLimits.m_peerConnections)
    , m_memory(std::make_shared<http::MemoryAccount>(aLimits.m_memory, []() {}))
  {
  }

  void Open(kj::Own<kj::AsyncIoStream> aStream, schema::Control::Client aServer)
  {
    if (m_open.size() >= m_max) {
      CloseLongestIdle();
    }
    const std::uint64_t id = ++m_lastId;
    auto accepted = kj::heap<Accepted>(
      kj::heap<MeteredStream>(kj::mv(aStream), m_memory, [this]() { Shed(); }),
      kj::mv(aServer));
    auto closed = kj::newPromiseAndFulfiller<void>();
    accepted->m_close = kj::mv(closed.fulfiller);
    m_open.emplace(id, accepted.get());
    accepted->m_network.onDisconnect()
      .exclusiveJoin(kj::mv(closed.promise))
      .attach(kj::defer(
                [self = shared_from_this(), id]() { self->m_open.erase(id); }),
              kj::mv(accepted))
      .detach([](kj::Exception&&) {});
  }

  void CloseLongestIdle()
  {
    CloseGreatest([](const MeteredStream& aStream) {
      return -aStream.LastReadAt().time_since_epoch();
    });
  }

private:
  /** Closes the connections with the largest messages, the oldest of similar
   * size first, until the others may stay. */
  void Shed()
  {
    while (m_memory->MustShed() && !m_open.empty()) {
      CloseGreatest([](const MeteredStream& aStream) {
        return std::tuple{ std::bit_width(aStream.Bytes()),
                           -aStream.LastReadAt().time_since_epoch() };
      });
    }
  }

  /** The connection is destroyed later: the caller may be inside one of its
   * callbacks. */
  template<typename Rank>
  void CloseGreatest(Rank aRank)
  {
    const auto greatest = std::max_element(
      m_open.begin(), m_open.end(), [&](const auto& aLeft, const auto& aRight) {
        return aRank(*aLeft.second->m_stream) < aRank(*aRight.second->m_stream);
      });
    if (greatest != m_open.end()) {
      greatest->second->m_stream->ReleaseMemory();
      greatest->second->m_close->fulfill();
      m_open.erase(greatest);
    }
  }

  std::size_t m_max;
  std::shared_ptr<http::MemoryAccount> m_memory;
  std::uint64_t m_lastId = 0;
  std::map<std::uint64_t, Accepted*> m_open;
};

PeerAcceptor::PeerAcceptor(schema::Control::Client aServer,
                           kj::Own<kj::ConnectionReceiver> aReceiver,
                           kj::Timer& aTimer,
                           const http::ClientLimits& aLimits)
  : m_server(kj::mv(aServer))
  , m_receiver(kj::mv(aReceiver))
  , m_timer(aTimer)
  , m_connections(std::make_shared<Connections>(aLimits))
{
}

kj::Promise<void>
PeerAcceptor::Run()
{
  return kj::evalNow([this]() { return m_receiver->accept(); })
    .then(
      [this](kj::Own<kj::AsyncIoStream>&& aStream) {
        m_isFailing = false;
        m_connections->Open(kj::mv(aStream), m_server);
        return Run();
      },
      [this](kj::Exception&& aException) { return RetryLater(aException); });
}

// Accepting fails while the process or the machine is out of descriptors.
kj::Promise<void>
PeerAcceptor::RetryLater(const kj::Exception& aException)
{
  if (!m_isFailing) {
    LogLine(Level::kError, "cannot accept a peer")
      .With("reason", std::string{ aException.getDescription().cStr() })
      .Write();
  }
  m_isFailing = true;
  m_connections->CloseLongestIdle();
  return m_timer.afterDelay(kRetryInterval).then([this]() { return Run(); });
}

} // namespace bamboostile::control
