#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/rpc/mailbox.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace bamboostile::control {

struct EncodedState
{
  Index m_index;
  std::string m_bytes;
};

/**
 * @brief Encodes copies of the state on a thread of its own.
 *
 * Encoding on the control thread would delay every commit, and the delay grows
 * with the number of recorded outcomes. Copying the state is several times
 * cheaper (docs/design/storage.md).
 */
class SnapshotThread
{
public:
  explicit SnapshotThread(rpc::Mailbox<EncodedState>& aDone);
  ~SnapshotThread();

  /** Encodes one copy at a time: call again only after the previous one is
   * done. */
  void Encode(fleet::State aCopy);

private:
  void Run();

  rpc::Mailbox<EncodedState>& m_done;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::optional<fleet::State> m_next;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace bamboostile::control
