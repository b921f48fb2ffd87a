#pragma once

#include "internal.capnp.h"

#include <capnp/rpc-twoparty.h>

#include <kj/async-io.h>
#include <kj/refcount.h>

#include <memory>
#include <string>

namespace bamboostile::rpc {

/**
 * @brief A connection to one control replica that is made on first use and
 * again after Disconnect().
 *
 * Users call Disconnect() when a call failed or timed out: otherwise a
 * connection whose packets are lost silently looks alive for minutes.
 */
class Channel : public kj::Refcounted
{
public:
  Channel(kj::Network& aNetwork, std::string aAddress);

  schema::Control::Client Get();
  /** State of the connection that Get() returned last: becomes true once it is
   * established. Requests on a connection that was never established have not
   * left this process. */
  std::shared_ptr<const bool> IsConnected() const { return m_isConnected; }
  void Disconnect();
  const std::string& Address() const { return m_address; }

private:
  struct Link
  {
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<capnp::TwoPartyClient> m_client;
  };

  kj::Network& m_network;
  std::string m_address;
  std::uint64_t m_generation = 0;
  std::shared_ptr<bool> m_isConnected;
  kj::Maybe<schema::Control::Client> m_control;
  kj::Maybe<kj::Own<Link>> m_link;
};

} // namespace bamboostile::rpc
