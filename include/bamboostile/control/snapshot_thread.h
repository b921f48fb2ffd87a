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
 * On the control thread it would hold up every commit, the longer the more
 * outcomes are recorded; copying the state is several times cheaper
 * (docs/design/storage.md).
 */
class SnapshotThread
{
public:
  explicit SnapshotThread(rpc::Mailbox<EncodedState>& aDone);
  ~SnapshotThread();

  /** One at a time: the next copy may come once the last one is done. */
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
