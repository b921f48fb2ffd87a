#pragma once

#include "bamboostile/rpc/mailbox.h"
#include "bamboostile/storage/log_store.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace bamboostile::control {

/** All writes up to m_ticket are synced; or, with m_failure, the disk failed
 * for good, or refuses for now and the write is tried again. */
struct DiskReport
{
  std::uint64_t m_ticket = 0;
  std::optional<storage::Failure> m_failure;
};

/**
 * @brief Writes the log on a thread of its own, so that a slow sync delays
 * commits but no heartbeat.
 *
 * What queues up during one sync goes out with the next: the number of syncs
 * stays the same however many commands arrive. A write that the disk refuses
 * is tried again until it is taken; nothing behind it is written meanwhile.
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
  bool WriteUntilTaken(const consensus::Persist& aPersist);
  bool IsStoppedWithin(Duration aPause);
  static void Join(consensus::Persist& aInto, consensus::Persist aNext);

  std::unique_ptr<storage::LogStore> m_store;
  rpc::Mailbox<DiskReport>& m_reports;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<consensus::Persist> m_queue;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace bamboostile::control
