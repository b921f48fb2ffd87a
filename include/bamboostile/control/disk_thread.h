#pragma once

#include "bamboostile/rpc/mailbox.h"
#include "bamboostile/storage/log_store.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace bamboostile::control {

/** Reports that all writes up to m_ticket are synced or, with m_failure, that a
 * write failed. The write is retried if the failure may pass; any other failure
 * is final. */
struct DiskReport
{
  std::uint64_t m_ticket = 0;
  std::optional<storage::Failure> m_failure;
};

/**
 * @brief Writes the log on a thread of its own, so that a slow sync delays
 * commits but no heartbeats.
 *
 * Writes that arrive during one sync are merged into the next, so the number of
 * syncs does not grow with the number of commands. A write that fails
 * temporarily is retried until it succeeds; later writes wait for it.
 */
class DiskThread
{
public:
  DiskThread(std::unique_ptr<storage::LogStore> aStore,
             rpc::Mailbox<DiskReport>& aReports);
  ~DiskThread();

  void Write(consensus::Persist aPersist);

private:
  void Run();
  bool WriteWithRetry(const consensus::Persist& aPersist);
  bool WaitForStop(Duration aPause);
  static void Merge(consensus::Persist& aInto, consensus::Persist aNext);

  std::unique_ptr<storage::LogStore> m_store;
  rpc::Mailbox<DiskReport>& m_reports;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<consensus::Persist> m_queue;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace bamboostile::control
