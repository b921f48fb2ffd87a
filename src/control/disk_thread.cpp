#include "bamboostile/control/disk_thread.h"

namespace bamboostile::control {

namespace {

/** Between two tries of a write that the disk refuses. Room comes back within
 * seconds at best, and callers wait three seconds for a commit. */
constexpr Duration kTryAgain = Millis{ 100 };

} // namespace

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
    if (!WriteUntilTaken(write)) {
      return;
    }
  }
}

bool
DiskThread::IsStoppedWithin(Duration aPause)
{
  std::unique_lock lock(m_mutex);
  return m_wake.wait_for(lock, aPause, [this]() { return m_stop; });
}

// What depends on the write is kept back until it is reported as synced, so a
// replica on a full disk acknowledges nothing and gives no vote, but lives on,
// and goes on where it was when there is room again.
bool
DiskThread::WriteUntilTaken(const consensus::Persist& aPersist)
{
  bool isReported = false;
  while (true) {
    storage::Failure failure;
    if (m_store->Write(aPersist, failure)) {
      m_reports.Put(DiskReport{ aPersist.m_ticket, std::nullopt });
      return true;
    }
    if (!isReported || !storage::MayPass(failure)) {
      m_reports.Put(DiskReport{ 0, failure });
    }
    isReported = true;
    if (!storage::MayPass(failure) || IsStoppedWithin(kTryAgain)) {
      return false;
    }
  }
}

} // namespace bamboostile::control
