#include "bamboostile/rpc/channel.h"
#include "bamboostile/schema/text.h"

namespace bamboostile::rpc {

Channel::Channel(kj::Network& aNetwork, std::string aAddress)
  : m_network(aNetwork)
  , m_address(std::move(aAddress))
{
}

schema::Control::Client
Channel::Get()
{
  KJ_IF_MAYBE (control, m_control) {
    return *control;
  }
  const std::uint64_t generation = m_generation;
  m_isConnected = std::make_shared<bool>(false);
  auto connected =
    m_network.parseAddress(ToText(m_address))
      .then([](kj::Own<kj::NetworkAddress>&& aAddress) {
        return aAddress->connect().attach(kj::mv(aAddress));
      })
      .then([self = kj::addRef(*this), isConnected = m_isConnected, generation](
              kj::Own<kj::AsyncIoStream>&& aStream) mutable
            -> schema::Control::Client {
        KJ_REQUIRE(self->m_generation == generation, "connection dropped");
        *isConnected = true;
        auto link = kj::heap<Link>();
        link->m_client = kj::heap<capnp::TwoPartyClient>(*aStream);
        link->m_stream = kj::mv(aStream);
        auto control = link->m_client->bootstrap().castAs<schema::Control>();
        self->m_link = kj::mv(link);
        return control;
      });
  schema::Control::Client control{ kj::mv(connected) };
  m_control = control;
  return control;
}

void
Channel::Disconnect()
{
  ++m_generation;
  m_control = nullptr;
  KJ_IF_MAYBE (link, m_link) {
    // The connection is destroyed later, since the caller may be inside one of
    // its callbacks.
    kj::evalLater([dropped = kj::mv(*link)]() {}).detach([](auto&&) {});
    m_link = nullptr;
  }
}

} // namespace bamboostile::rpc
