#include "bamboostile/control/transfer_thread.h"

namespace bamboostile::control {

TransferThread::TransferThread(std::string aReplyTo,
                               PeerStatistics& aStatistics)
  : m_replyTo(std::move(aReplyTo))
  , m_statistics(aStatistics)
  , m_thread([this]() { Run(); })
{
}

TransferThread::~TransferThread()
{
  m_items.Put(Stop{});
  m_thread.join();
}

void
TransferThread::Send(std::string aAddress, consensus::Message aMessage)
{
  m_items.Put(Outgoing{ std::move(aAddress), std::move(aMessage) });
}

void
TransferThread::Run()
{
  auto io = kj::setupAsyncIo();
  PeerLinks links(*io.provider, m_replyTo, m_statistics);
  while (true) {
    for (const Item& item : m_items.Take().wait(io.waitScope)) {
      const auto* outgoing = std::get_if<Outgoing>(&item);
      if (outgoing == nullptr) {
        return;
      }
      links.Send(outgoing->m_address, outgoing->m_message);
    }
  }
}

} // namespace bamboostile::control
