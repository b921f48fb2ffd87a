#include "bamboostile/control/snapshot_thread.h"

namespace bamboostile::control {

SnapshotThread::SnapshotThread(rpc::Mailbox<EncodedState>& aDone)
  : m_done(aDone)
  , m_thread([this]() { Run(); })
{
}

SnapshotThread::~SnapshotThread()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_one();
  m_thread.join();
}

void
SnapshotThread::Encode(fleet::State aCopy)
{
  {
    const std::lock_guard lock(m_mutex);
    m_next = std::move(aCopy);
  }
  m_wake.notify_one();
}

void
SnapshotThread::Run()
{
  while (true) {
    std::optional<fleet::State> state;
    {
      std::unique_lock lock(m_mutex);
      m_wake.wait(lock, [this]() { return m_stop || m_next.has_value(); });
      if (m_stop) {
        return;
      }
      state = std::exchange(m_next, std::nullopt);
    }
    m_done.Put(EncodedState{ state->Applied(), state->Encode() });
  }
}

} // namespace bamboostile::control
