#include "bamboostile/storage/log_store.h"

#include "check.h"

#include <cerrno>
#include <fstream>

#include <unistd.h>

using namespace bamboostile;
using namespace bamboostile::storage;

namespace fs = std::filesystem;

namespace {

consensus::LogEntry
Entry(std::uint64_t aIndex, const std::string& aText)
{
  return { Index{ aIndex }, Term{ 1 }, consensus::CommandBytes{ aText } };
}

consensus::Persist
MakePersist(std::vector<consensus::LogEntry> aEntries)
{
  return { 1, std::nullopt, std::nullopt, std::move(aEntries) };
}

} // namespace

TEST_GROUP(LogStore)
{
  void setup() override
  {
    m_folder = fs::temp_directory_path() /
               ("bamboostile-log-" + std::to_string(getpid()));
    fs::remove_all(m_folder);
  }

  void teardown() override
  {
    fs::remove_all(m_folder);
  }

  std::unique_ptr<LogStore> Open(FileCalls aCalls = FileCalls::Posix())
  {
    m_opened = OpenResult{};
    m_failure = Failure{};
    return LogStore::Open(
      m_folder, InstanceId{ "c1" }, m_opened, m_failure, std::move(aCalls));
  }

  void WriteThree()
  {
    auto store = Open();
    for (std::uint64_t i = 1; i <= 3; ++i) {
      CHECK(store->Write(
        MakePersist({ Entry(i, "entry " + std::to_string(i)) }), m_failure));
    }
  }

  fs::path LogFile() const
  {
    return m_folder / "log-1";
  }

  void Overwrite(std::uint64_t aOffset)
  {
    std::fstream file(LogFile(),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(aOffset));
    file.put('\x55');
  }

  fs::path m_folder;
  OpenResult m_opened;
  Failure m_failure;
};

TEST(LogStore, EmptyFolder_Opened_GivesNewIncarnationEachTime)
{
  CHECK(Open() != nullptr);
  CHECK(m_opened.m_isNew);
  const auto first = m_opened.m_self;
  CHECK(Open() != nullptr);
  CHECK_FALSE(m_opened.m_isNew);
  CHECK(m_opened.m_self == first);
  fs::remove_all(m_folder);
  CHECK(Open() != nullptr);
  CHECK(m_opened.m_self != first);
}

TEST(LogStore, Entries_Reopened_AreAllRecovered)
{
  WriteThree();
  {
    auto store = Open();
    consensus::Persist vote;
    vote.m_hardState = consensus::HardState{ Term{ 4 }, m_opened.m_self };
    CHECK(store->Write(vote, m_failure));
  }
  Open();
  LONGS_EQUAL(3, m_opened.m_recovered.m_entries.size());
  LONGS_EQUAL(4, m_opened.m_recovered.m_hardState.m_term.Get());
  CHECK(m_opened.m_recovered.m_hardState.m_votedFor == m_opened.m_self);
}

TEST(LogStore, Entries_Replaced_LaterWriteWins)
{
  WriteThree();
  {
    auto store = Open();
    CHECK(store->Write(MakePersist({ Entry(2, "other") }), m_failure));
  }
  Open();
  const auto& entries = m_opened.m_recovered.m_entries;
  LONGS_EQUAL(2, entries.size());
  CHECK_STRING("other",
               std::get<consensus::CommandBytes>(entries[1].m_payload).m_bytes);
}

// The power fails in the middle of a write, which leaves an incomplete record
// of any length. It was never acknowledged, so it is truncated and reported.
TEST(LogStore, LastWrite_TornAtAnyByte_IsTruncatedAndReported)
{
  WriteThree();
  const auto sizeBefore = fs::file_size(LogFile());
  auto store = Open();
  CHECK(store->Write(MakePersist({ Entry(4, "torn") }), m_failure));
  store.reset();
  const auto size = fs::file_size(LogFile());
  const fs::path copy = m_folder / "copy";
  fs::copy_file(LogFile(), copy);
  for (auto length = sizeBefore + 1; length < size; ++length) {
    fs::copy_file(copy, LogFile(), fs::copy_options::overwrite_existing);
    fs::resize_file(LogFile(), length);
    CHECK(Open() != nullptr);
    LONGS_EQUAL(3, m_opened.m_recovered.m_entries.size());
    CHECK(m_opened.m_truncatedTail.has_value());
    LONGS_EQUAL(sizeBefore, m_opened.m_truncatedTail->m_offset);
  }
}

// A record in the middle is damaged. Acknowledged entries follow it, so
// truncating there would lose them silently: the folder must be refused.
TEST(LogStore, MiddleRecord_DamagedAnywhere_IsRefusedWithFileAndOffset)
{
  WriteThree();
  const auto size = fs::file_size(LogFile());
  const fs::path copy = m_folder / "copy";
  fs::copy_file(LogFile(), copy);
  const auto recordSize = size / 3;
  for (std::uint64_t at = recordSize; at < 2 * recordSize; ++at) {
    fs::copy_file(copy, LogFile(), fs::copy_options::overwrite_existing);
    Overwrite(at);
    CHECK(Open() == nullptr);
    CHECK(m_failure.m_error == Error::kDamaged);
    LONGS_EQUAL(recordSize, m_failure.m_offset);
    CHECK(ToText(m_failure).find("log-1") != std::string::npos);
  }
}

TEST(LogStore, Snapshot_Written_StartsNewFileAndKeepsVoteAndTail)
{
  WriteThree();
  {
    auto store = Open();
    consensus::Persist vote;
    vote.m_hardState = consensus::HardState{ Term{ 9 }, std::nullopt };
    CHECK(store->Write(vote, m_failure));
    consensus::Persist compact = MakePersist({ Entry(3, "entry 3") });
    compact.m_snapshot =
      consensus::Snapshot{ Index{ 2 }, Term{ 1 }, {}, "state" };
    CHECK(store->Write(compact, m_failure));
    CHECK(store->Write(MakePersist({ Entry(4, "entry 4") }), m_failure));
  }
  CHECK_FALSE(fs::exists(LogFile()));
  Open();
  CHECK_STRING("state", m_opened.m_recovered.m_snapshot->m_state);
  LONGS_EQUAL(2, m_opened.m_recovered.m_entries.size());
  LONGS_EQUAL(9, m_opened.m_recovered.m_hardState.m_term.Get());
}

// A sync fails once. The kernel may drop the pages and report success for the
// next sync, so nothing may be written or acknowledged afterwards.
TEST(LogStore, Sync_FailsOnce_EveryLaterWriteIsRefused)
{
  int syncsUntilFailure = 100;
  FileCalls calls = FileCalls::Posix();
  calls.m_sync = [&](int aFd) {
    if (--syncsUntilFailure == 0) {
      errno = EIO;
      return -1;
    }
    return ::fsync(aFd);
  };
  auto store = Open(calls);
  syncsUntilFailure = 2;
  CHECK(store->Write(MakePersist({ Entry(1, "a") }), m_failure));
  CHECK_FALSE(store->Write(MakePersist({ Entry(2, "b") }), m_failure));
  CHECK(m_failure.m_error == Error::kIo);
  CHECK_FALSE(store->Write(MakePersist({ Entry(2, "b") }), m_failure));
  CHECK(m_failure.m_error == Error::kStopped);
}

TEST(LogStore, Disk_Full_IsRefusedAndRecoversWithoutTheWrite)
{
  bool full = false;
  FileCalls calls = FileCalls::Posix();
  calls.m_write = [&](int aFd, const void* aBytes, std::size_t aCount) {
    if (full) {
      errno = ENOSPC;
      return static_cast<ssize_t>(-1);
    }
    return ::write(aFd, aBytes, aCount);
  };
  auto store = Open(calls);
  CHECK(store->Write(MakePersist({ Entry(1, "a") }), m_failure));
  full = true;
  CHECK_FALSE(store->Write(MakePersist({ Entry(2, "b") }), m_failure));
  store.reset();
  CHECK(Open() != nullptr);
  LONGS_EQUAL(1, m_opened.m_recovered.m_entries.size());
}

// The disk becomes full within a record, and a part of it is written. The
// process keeps running and retries once there is free space. A later restart
// must find all records whole and nothing of the part between them.
TEST(LogStore, Write_PartlyAcceptedByFullDisk_IsRolledBackAndRetried)
{
  std::size_t freeBytes = 1 << 20;
  FileCalls calls = FileCalls::Posix();
  calls.m_write = [&](int aFd, const void* aBytes, std::size_t aCount) {
    if (freeBytes == 0) {
      errno = ENOSPC;
      return static_cast<ssize_t>(-1);
    }
    const ssize_t count = ::write(aFd, aBytes, std::min(freeBytes, aCount));
    freeBytes -= static_cast<std::size_t>(count);
    return count;
  };
  auto store = Open(calls);
  CHECK(store->Write(MakePersist({ Entry(1, "a") }), m_failure));
  freeBytes = 5;
  CHECK_FALSE(store->Write(MakePersist({ Entry(2, "b") }), m_failure));
  CHECK(IsRetryable(m_failure));
  CHECK_FALSE(store->Write(MakePersist({ Entry(2, "b") }), m_failure));
  freeBytes = 1 << 20;
  CHECK(store->Write(MakePersist({ Entry(2, "b") }), m_failure));
  CHECK(store->Write(MakePersist({ Entry(3, "c") }), m_failure));
  store.reset();
  CHECK(Open() != nullptr);
  CHECK_FALSE(m_opened.m_truncatedTail.has_value());
  LONGS_EQUAL(3, m_opened.m_recovered.m_entries.size());
}

// There is no space for a snapshot next to the log. The log must stay whole and
// in use, and the snapshot must succeed later.
TEST(LogStore, Snapshot_WithoutFreeSpace_KeepsTheLogAndSucceedsLater)
{
  bool isFull = false;
  FileCalls calls = FileCalls::Posix();
  calls.m_write = [&](int aFd, const void* aBytes, std::size_t aCount) {
    if (isFull) {
      errno = ENOSPC;
      return static_cast<ssize_t>(-1);
    }
    return ::write(aFd, aBytes, aCount);
  };
  auto store = Open(calls);
  CHECK(store->Write(MakePersist({ Entry(1, "a"), Entry(2, "b") }), m_failure));
  consensus::Persist snapshot;
  snapshot.m_snapshot = consensus::Snapshot{ Index{ 1 }, Term{ 1 }, {}, "s" };
  snapshot.m_entries = { Entry(2, "b") };
  isFull = true;
  CHECK_FALSE(store->Write(snapshot, m_failure));
  CHECK(IsRetryable(m_failure));
  isFull = false;
  CHECK(store->Write(MakePersist({ Entry(3, "c") }), m_failure));
  snapshot.m_entries.push_back(Entry(3, "c"));
  CHECK(store->Write(snapshot, m_failure));
  store.reset();
  CHECK(Open() != nullptr);
  CHECK_STRING("s", m_opened.m_recovered.m_snapshot->m_state);
  LONGS_EQUAL(2, m_opened.m_recovered.m_entries.size());
}

TEST(LogStore, Folder_InUse_IsRefused)
{
  auto store = Open();
  CHECK(Open() == nullptr);
  CHECK(m_failure.m_error == Error::kLocked);
}

TEST(LogStore, Folder_WithoutIdentityOrLog_IsRefused)
{
  WriteThree();
  fs::rename(m_folder / "identity.json", m_folder / "kept");
  CHECK(Open() == nullptr);
  CHECK(m_failure.m_error == Error::kIncomplete);
  fs::rename(m_folder / "kept", m_folder / "identity.json");
  fs::remove(LogFile());
  CHECK(Open() == nullptr);
  CHECK(m_failure.m_error == Error::kIncomplete);
}
