#pragma once

#include "bamboostile/http/client_limits.h"
#include "bamboostile/units/time.h"

#include "internal.capnp.h"

#include <kj/async-io.h>

#include <memory>

namespace bamboostile::control {

/**
 * @brief Accepts RPC connections within the limits of the process.
 *
 * Once there are as many connections as allowed, the one that has sent nothing
 * for the longest time makes way for a new one. Connections that are open
 * outlive the acceptor.
 */
class PeerAcceptor
{
public:
  PeerAcceptor(schema::Control::Client aServer,
               kj::Own<kj::ConnectionReceiver> aReceiver,
               kj::Timer& aTimer,
               const http::ClientLimits& aLimits);

  /** Accepts until the promise is dropped. */
  kj::Promise<void> Run();

private:
  class Connections;

  kj::Promise<void> RetryLater(const kj::Exception& aException);

  schema::Control::Client m_server;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  kj::Timer& m_timer;
  std::shared_ptr<Connections> m_connections;
  bool m_isFailing = false;
};

} // namespace bamboostile::control
