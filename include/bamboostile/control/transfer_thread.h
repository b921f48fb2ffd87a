#pragma once

#include "bamboostile/control/peer_links.h"
#include "bamboostile/rpc/mailbox.h"

#include <optional>
#include <thread>

namespace bamboostile::control {

/**
 * @brief Sends snapshot chunks on connections and a thread of their own.
 *
 * On the control thread, a connection gets as many bytes per turn of the event
 * loop as its send buffer holds, and turns are long on a busy leader.
 * Heartbeats and entries would also wait behind the chunks.
 */
class TransferThread
{
public:
  /** aStatistics must outlive this object. */
  TransferThread(std::string aReplyTo, PeerStatistics& aStatistics);
  ~TransferThread();

  void Send(std::string aAddress, consensus::Message aMessage);

private:
  struct Outgoing
  {
    std::string m_address;
    consensus::Message m_message;
  };
  struct Stop
  {};
  using Item = std::variant<Outgoing, Stop>;

  void Run();

  std::string m_replyTo;
  PeerStatistics& m_statistics;
  rpc::Mailbox<Item> m_items;
  std::thread m_thread;
};

} // namespace bamboostile::control
