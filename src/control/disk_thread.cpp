#include "bamboostile/control/disk_thread.h"

namespace bamboostile::control {

DiskThread::DiskThread(std::unique_ptr<storage::LogStore> aStore,
                       rpc::Mailbox<DiskReport>& aReports)
  : m_store(std::move(aStore))
  , m_reports(aReports)
  , m_thread([this]() { Run(); })
{
}

DiskThread::~DiskThread()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_one();
  m_thread.join();
}

void
DiskThread::Write(consensus::Persist aPersist)
{
  {
    const std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(aPersist));
  }
  m_wake.notify_one();
}

// Entries of a later write replace those at the same positions, and recovery
// takes a frame's entries in order, so writes can be laid end to end. A
// snapshot starts a new file and stays alone.
void
DiskThread::Join(consensus::Persist& aInto, consensus::Persist aNext)
{
  aInto.m_ticket = aNext.m_ticket;
  if (aNext.m_hardState) {
    aInto.m_hardState = std::move(aNext.m_hardState);
  }
  std::move(aNext.m_entries.begin(),
            aNext.m_entries.end(),
            std::back_inserter(aInto.m_entries));
}

void
DiskThread::Run()
{
  while (true) {
    consensus::Persist write;
    {
      std::unique_lock lock(m_mutex);
      m_wake.wait(lock, [this]() { return m_stop || !m_queue.empty(); });
      if (m_queue.empty()) {
        return;
      }
      write = std::move(m_queue.front());
      m_queue.pop_front();
      while (!write.m_snapshot && !m_queue.empty() &&
             !m_queue.front().m_snapshot) {
        Join(write, std::move(m_queue.front()));
        m_queue.pop_front();
      }
    }
    storage::Failure failure;
    if (!m_store->Write(write, failure)) {
      m_reports.Put(DiskReport{ 0, failure });
      return;
    }
    m_reports.Put(DiskReport{ write.m_ticket, std::nullopt });
  }
}

} // namespace bamboostile::control
