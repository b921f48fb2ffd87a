#include "bamboostile/control/disk_thread.h"

namespace bamboostile::control {

namespace {

/** Interval between retries of a failed write. A full disk has free space again
 * after seconds at best, and callers wait three seconds for a commit. */
constexpr Duration kRetryInterval = Millis{ 100 };

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

// Appends a later write to an earlier one. Its entries replace those at the
// same positions, and recovery reads a frame's entries in order, so the two can
// be concatenated. A snapshot starts a new file and is never merged.
void
DiskThread::Merge(consensus::Persist& aInto, consensus::Persist aNext)
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
        Merge(write, std::move(m_queue.front()));
        m_queue.pop_front();
      }
    }
    if (!WriteWithRetry(write)) {
      return;
    }
  }
}

bool
DiskThread::WaitForStop(Duration aPause)
{
  std::unique_lock lock(m_mutex);
  return m_wake.wait_for(lock, aPause, [this]() { return m_stop; });
}

// Everything that depends on a write waits until it is reported as synced. So a
// replica on a full disk acknowledges nothing and grants no vote, but the
// process keeps running and continues once the disk has free space.
bool
DiskThread::WriteWithRetry(const consensus::Persist& aPersist)
{
  bool isReported = false;
  while (true) {
    storage::Failure failure;
    if (m_store->Write(aPersist, failure)) {
      m_reports.Put(DiskReport{ aPersist.m_ticket, std::nullopt });
      return true;
    }
    if (!isReported || !storage::IsRetryable(failure)) {
      m_reports.Put(DiskReport{ 0, failure });
    }
    isReported = true;
    if (!storage::IsRetryable(failure) || WaitForStop(kRetryInterval)) {
      return false;
    }
  }
}

} // namespace bamboostile::control
