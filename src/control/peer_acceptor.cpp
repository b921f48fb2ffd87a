#include "peer_acceptor.h"

#include "bamboostile/telemetry/log.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <map>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;

constexpr kj::Duration kRetryInterval = 100 * kj::MILLISECONDS;
/** Tells when its peer was last heard. */
class PeerStream final : public kj::AsyncIoStream
{
public:
  explicit PeerStream(kj::Own<kj::AsyncIoStream> aStream)
    : m_stream(kj::mv(aStream))
  {
  }

  kj::Promise<std::size_t> tryRead(void* aBuffer,
                                   std::size_t aMin,
                                   std::size_t aMax) override
  {
    m_lastReadAt = MonotonicNow();
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

private:
  kj::Own<kj::AsyncIoStream> m_stream;
  TimePoint m_lastReadAt = MonotonicNow();
};

/** An accepted connection with its own reader limits. */
struct Accepted
{
  kj::Own<PeerStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
  kj::Own<kj::PromiseFulfiller<void>> m_close;

  Accepted(kj::Own<PeerStream> aStream, capnp::Capability::Client aBootstrap)
    : m_stream(kj::mv(aStream))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER)
    , m_rpc(capnp::makeRpcServer(m_network, kj::mv(aBootstrap)))
  {
  }
};

} // namespace

class PeerAcceptor::Connections
  : public std::enable_shared_from_this<PeerAcceptor::Connections>
{
public:
  explicit Connections(const http::ClientLimits& aLimits)
    : m_max(aLimits.m_peerConnections)
  {
  }

  void Open(kj::Own<kj::AsyncIoStream> aStream, schema::Control::Client aServer)
  {
    if (m_open.size() >= m_max) {
      CloseLongestIdle();
    }
    const std::uint64_t id = ++m_lastId;
    auto accepted = kj::heap<Accepted>(kj::heap<PeerStream>(kj::mv(aStream)),
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

  /** The connection is destroyed later: the caller may be inside one of its
   * callbacks. */
  void CloseLongestIdle()
  {
    const auto longest = std::min_element(
      m_open.begin(), m_open.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second->m_stream->LastReadAt() <
               aRight.second->m_stream->LastReadAt();
      });
    if (longest != m_open.end()) {
      longest->second->m_close->fulfill();
      m_open.erase(longest);
    }
  }

private:
  std::size_t m_max;
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
