#include "bamboostile/control/disk_thread.h"

#include "check.h"

#include <kj/async-io.h>

#include <atomic>
#include <cerrno>

#include <unistd.h>

using namespace bamboostile;
using control::DiskReport;
using control::DiskThread;

namespace fs = std::filesystem;

TEST_GROUP(DiskThread)
{
  void setup() override
  {
    m_folder = fs::temp_directory_path() /
               ("bamboostile-disk-" + std::to_string(getpid()));
    fs::remove_all(m_folder);
  }

  void teardown() override
  {
    fs::remove_all(m_folder);
  }

  std::unique_ptr<storage::LogStore> OpenStore()
  {
    storage::FileCalls calls = storage::FileCalls::Posix();
    calls.m_write = [this](int aFd, const void* aBytes, std::size_t aCount) {
      if (m_isFull) {
        errno = ENOSPC;
        return static_cast<ssize_t>(-1);
      }
      return ::write(aFd, aBytes, aCount);
    };
    storage::Failure failure;
    return storage::LogStore::Open(
      m_folder, InstanceId{ "c1" }, m_opened, failure, calls);
  }

  static consensus::Persist Entry(std::uint64_t aNumber)
  {
    const consensus::LogEntry entry{ Index{ aNumber },
                                     Term{ 1 },
                                     consensus::CommandBytes{ "x" } };
    return { aNumber, std::nullopt, std::nullopt, { entry } };
  }

  fs::path m_folder;
  storage::OpenResult m_opened;
  std::atomic<bool> m_isFull = false;
};

// Guards against a replica that ends because its disk is full. The failure is
// reported once, no write is acknowledged meanwhile, and all waiting writes are
// synced in order once there is free space.
TEST(DiskThread, DiskTemporarilyFull_WritesWaitAndAreSyncedInOrder)
{
  auto io = kj::setupAsyncIo();
  rpc::Mailbox<DiskReport> reports;
  {
    DiskThread disk(OpenStore(), reports);
    m_isFull = true;
    disk.Write(Entry(1));
    const auto refused = reports.Take().wait(io.waitScope);
    LONGS_EQUAL(1, refused.size());
    CHECK(storage::IsRetryable(*refused.front().m_failure));
    disk.Write(Entry(2));
    m_isFull = false;
    std::uint64_t synced = 0;
    while (synced < 2) {
      for (const DiskReport& report : reports.Take().wait(io.waitScope)) {
        CHECK_FALSE(report.m_failure.has_value());
        CHECK(report.m_ticket > synced);
        synced = report.m_ticket;
      }
    }
  }
  CHECK(OpenStore() != nullptr);
  LONGS_EQUAL(2, m_opened.m_recovered.m_entries.size());
}
