#pragma once

#include "bamboostile/consensus/replica.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <sys/types.h>

namespace bamboostile::storage {

enum class Error
{
  kNone,
  kIo,
  kLocked,
  kDamaged,
  kIncomplete,
  kStopped,
  kWriteFailed,
};

const char* Describe(Error aError) noexcept;

/** The most recent reason why a call of this layer failed. */
struct Failure
{
  Error m_error = Error::kNone;
  std::filesystem::path m_file;
  std::uint64_t m_offset = 0;
  std::string m_detail;
};

/** Returns one line that names the file and the offset. */
std::string ToText(const Failure& aFailure);

/** Returns true if the same write may be retried: any part of it that reached
 * the disk has been removed. */
bool IsRetryable(const Failure& aFailure) noexcept;

/** The system calls that can fail; tests replace them. */
struct FileCalls
{
  std::function<ssize_t(int, const void*, std::size_t)> m_write;
  std::function<int(int)> m_sync;
  /** Truncates a file and moves the write position to its new end. */
  std::function<bool(int, std::uint64_t)> m_truncate;

  static FileCalls Posix();
};

/** Bytes removed at the end of the log: a write that was never completed. */
struct TruncatedTail
{
  std::filesystem::path m_file;
  std::uint64_t m_offset = 0;
  std::uint64_t m_bytes = 0;
};

struct OpenResult
{
  consensus::ReplicaId m_self;
  /** The folder was empty: this replica has a new incarnation. */
  bool m_isNew = false;
  consensus::RecoveredState m_recovered;
  std::optional<TruncatedTail> m_truncatedTail;
};

/**
 * @brief The data folder of one replica: identity, votes, log and snapshot.
 *
 * Each Write() is one checksummed frame, synced before it returns. If the disk
 * accepts no bytes (for example because it is full), the log stays as it was
 * and the same write may be retried. Once a sync has failed, nothing more is
 * written: the state of the kernel's pages is unknown, and a second sync may
 * report success for lost pages.
 * Only one thread at a time may use it.
 */
class LogStore
{
public:
  static std::unique_ptr<LogStore> Open(const std::filesystem::path& aFolder,
                                        const InstanceId& aInstance,
                                        OpenResult& aOpened,
                                        Failure& aFailure,
                                        FileCalls aCalls = FileCalls::Posix());
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /** Writes and syncs a frame; a snapshot starts a new log file with it. */
  bool Write(const consensus::Persist& aPersist, Failure& aFailure);

  /** Bytes of the log file that a restart has to read. */
  std::uint64_t LogBytes() const { return m_size; }

private:
  LogStore(std::filesystem::path aFolder, FileCalls aCalls);

  bool Lock(Failure& aFailure);
  bool FindGeneration(Failure& aFailure);
  bool ReadIdentity(const InstanceId& aInstance,
                    OpenResult& aOpened,
                    Failure& aFailure);
  bool CreateIdentity(const InstanceId& aInstance,
                      OpenResult& aOpened,
                      Failure& aFailure);
  bool ReadLog(OpenResult& aOpened, Failure& aFailure);
  bool OpenLog(Failure& aFailure);
  bool Append(const std::string& aFrame, Failure& aFailure);
  bool ReplaceLog(const consensus::Persist& aPersist, Failure& aFailure);
  bool WriteAtomically(const std::filesystem::path& aFile,
                       const std::string& aBytes,
                       Failure& aFailure);
  bool SyncFolder(Failure& aFailure);
  bool Fail(Failure& aFailure, const std::filesystem::path& aFile);
  bool RollbackAppend(Failure& aFailure);
  bool WriteAll(int aFd, const std::string& aBytes) const;
  std::filesystem::path LogFile(std::uint64_t aGeneration) const;

  std::filesystem::path m_folder;
  FileCalls m_calls;
  int m_lockFd = -1;
  int m_logFd = -1;
  std::uint64_t m_generation = 0;
  std::uint64_t m_size = 0;
  consensus::HardState m_hardState;
  std::optional<Failure> m_permanentFailure;
};

} // namespace bamboostile::storage
