#include "bamboostile/storage/log_store.h"

#include "bamboostile/wire/consensus_codec.h"
#include "frame.h"

#include <nlohmann/json.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace bamboostile::storage {

namespace {

namespace fs = std::filesystem;

constexpr const char* kIdentityFile = "identity.json";
constexpr const char* kLockFile = "lock";
constexpr const char* kLogPrefix = "log-";
constexpr const char* kTemporarySuffix = ".new";
constexpr mode_t kFileMode = 0600;

std::optional<std::string>
ReadFile(const fs::path& aFile)
{
  std::ifstream in(aFile, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream bytes;
  bytes << in.rdbuf();
  return bytes.str();
}

std::optional<std::uint64_t>
GenerationOf(const fs::path& aFile)
{
  const std::string name = aFile.filename().string();
  const std::string prefix = kLogPrefix;
  if (name.rfind(prefix, 0) != 0 || name.ends_with(kTemporarySuffix)) {
    return std::nullopt;
  }
  try {
    return std::stoull(name.substr(prefix.size()));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::uint64_t
RandomIncarnation()
{
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32 | device()) >> 1;
}

/** Applies one recovered frame to the state recovered from the frames before
 * it. */
void
MergeFrame(consensus::Persist aFrame, consensus::RecoveredState& aState)
{
  if (aFrame.m_hardState) {
    aState.m_hardState = *aFrame.m_hardState;
  }
  auto& entries = aState.m_entries;
  if (aFrame.m_snapshot) {
    aState.m_snapshot = std::move(aFrame.m_snapshot);
    entries.clear();
  }
  for (consensus::LogEntry& entry : aFrame.m_entries) {
    while (!entries.empty() && entries.back().m_index >= entry.m_index) {
      entries.pop_back();
    }
    entries.push_back(std::move(entry));
  }
}

} // namespace

const char*
Describe(Error aError) noexcept
{
  switch (aError) {
    case Error::kNone:
      return "no error";
    case Error::kIo:
      return "I/O error";
    case Error::kLocked:
      return "another process uses this data folder";
    case Error::kDamaged:
      return "damaged data before the last write; restore the folder from a "
             "backup or empty it and have the replica replaced";
    case Error::kIncomplete:
      return "part of the data folder is missing";
    case Error::kStopped:
      return "stopped after an earlier failure";
    case Error::kWriteFailed:
      return "write failed; it can be retried";
  }
  return "unknown storage error";
}

bool
IsRetryable(const Failure& aFailure) noexcept
{
  return aFailure.m_error == Error::kWriteFailed;
}

std::string
ToText(const Failure& aFailure)
{
  std::ostringstream text;
  text << aFailure.m_file.string() << " at offset " << aFailure.m_offset << ": "
       << Describe(aFailure.m_error);
  if (!aFailure.m_detail.empty()) {
    text << " (" << aFailure.m_detail << ")";
  }
  return text.str();
}

FileCalls
FileCalls::Posix()
{
  return { [](int aFd, const void* aBytes, std::size_t aCount) {
            return ::write(aFd, aBytes, aCount);
          },
           [](int aFd) { return ::fsync(aFd); },
           [](int aFd, std::uint64_t aSize) {
             const auto size = static_cast<off_t>(aSize);
             return ::ftruncate(aFd, size) == 0 &&
                    ::lseek(aFd, size, SEEK_SET) >= 0;
           } };
}

LogStore::LogStore(fs::path aFolder, FileCalls aCalls)
  : m_folder(std::move(aFolder))
  , m_calls(std::move(aCalls))
{
}

LogStore::~LogStore()
{
  if (m_logFd >= 0) {
    ::close(m_logFd);
  }
  if (m_lockFd >= 0) {
    ::close(m_lockFd);
  }
}

bool
LogStore::Fail(Failure& aFailure, const fs::path& aFile)
{
  aFailure = { Error::kIo, aFile, m_size, std::strerror(errno) };
  m_permanentFailure = aFailure;
  return false;
}

fs::path
LogStore::LogFile(std::uint64_t aGeneration) const
{
  return m_folder / (kLogPrefix + std::to_string(aGeneration));
}

std::unique_ptr<LogStore>
LogStore::Open(const fs::path& aFolder,
               const InstanceId& aInstance,
               OpenResult& aOpened,
               Failure& aFailure,
               FileCalls aCalls)
{
  std::error_code ignored;
  fs::create_directories(aFolder, ignored);
  std::unique_ptr<LogStore> store(new LogStore(aFolder, std::move(aCalls)));
  const bool isOpen =
    store->Lock(aFailure) && store->FindGeneration(aFailure) &&
    store->ReadIdentity(aInstance, aOpened, aFailure) &&
    store->ReadLog(aOpened, aFailure) && store->OpenLog(aFailure);
  return isOpen ? std::move(store) : nullptr;
}

bool
LogStore::Lock(Failure& aFailure)
{
  const fs::path file = m_folder / kLockFile;
  m_lockFd = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (m_lockFd < 0) {
    return Fail(aFailure, file);
  }
  if (::flock(m_lockFd, LOCK_EX | LOCK_NB) != 0) {
    aFailure = { Error::kLocked, file, 0, "" };
    return false;
  }
  return true;
}

bool
LogStore::FindGeneration(Failure& aFailure)
{
  std::error_code error;
  for (const auto& item : fs::directory_iterator(m_folder, error)) {
    if (item.path().string().ends_with(kTemporarySuffix)) {
      std::error_code ignored;
      fs::remove(item.path(), ignored);
      continue;
    }
    m_generation =
      std::max(m_generation, GenerationOf(item.path()).value_or(0));
  }
  if (error) {
    aFailure = { Error::kIo, m_folder, 0, error.message() };
    return false;
  }
  return true;
}

bool
LogStore::ReadIdentity(const InstanceId& aInstance,
                       OpenResult& aOpened,
                       Failure& aFailure)
{
  const fs::path file = m_folder / kIdentityFile;
  const std::optional<std::string> bytes = ReadFile(file);
  if (!bytes) {
    return CreateIdentity(aInstance, aOpened, aFailure);
  }
  const auto json = nlohmann::json::parse(*bytes, nullptr, false);
  const bool isValid = json.is_object() && json.contains("instance") &&
                       json.contains("incarnation") &&
                       json["incarnation"].is_number_unsigned();
  if (!isValid) {
    aFailure = { Error::kDamaged, file, 0, "not a valid identity" };
    return false;
  }
  aOpened.m_self = { InstanceId{ json["instance"].get<std::string>() },
                     Incarnation{ json["incarnation"].get<std::uint64_t>() } };
  if (aOpened.m_self.m_instance != aInstance) {
    aFailure = { Error::kDamaged,
                 file,
                 0,
                 "the folder belongs to instance '" +
                   aOpened.m_self.m_instance.Get() + "'" };
    return false;
  }
  if (m_generation == 0) {
    aFailure = { Error::kIncomplete, file, 0, "the log file is missing" };
    return false;
  }
  return true;
}

bool
LogStore::CreateIdentity(const InstanceId& aInstance,
                         OpenResult& aOpened,
                         Failure& aFailure)
{
  const fs::path log = LogFile(std::max<std::uint64_t>(m_generation, 1));
  std::error_code ignored;
  // A log exists but its identity is missing. It is unknown whose votes it
  // contains, so no replica may continue it.
  if (m_generation > 0 && fs::file_size(log, ignored) > 0) {
    aFailure = { Error::kIncomplete,
                 m_folder / kIdentityFile,
                 0,
                 "a log exists but its identity is missing" };
    return false;
  }
  m_generation = std::max<std::uint64_t>(m_generation, 1);
  aOpened.m_isNew = true;
  aOpened.m_self = { aInstance, Incarnation{ RandomIncarnation() } };
  const nlohmann::json json{ { "instance", aInstance.Get() },
                             { "incarnation",
                               aOpened.m_self.m_incarnation.Get() } };
  // The empty log is created first, so that an identity on disk always has a
  // log.
  return WriteAtomically(log, "", aFailure) &&
         WriteAtomically(m_folder / kIdentityFile, json.dump(), aFailure);
}

bool
LogStore::ReadLog(OpenResult& aOpened, Failure& aFailure)
{
  const fs::path file = LogFile(m_generation);
  const std::optional<std::string> bytes = ReadFile(file);
  if (!bytes) {
    return Fail(aFailure, file);
  }
  std::size_t offset = 0;
  while (offset < bytes->size()) {
    const internal::FrameReadResult frame = internal::ReadFrame(*bytes, offset);
    std::optional<consensus::Persist> persist;
    if (frame.m_state == internal::FrameState::kValid) {
      persist = wire::DecodeFrame(frame.m_body);
    }
    if (persist) {
      MergeFrame(std::move(*persist), aOpened.m_recovered);
      offset = frame.m_end;
      continue;
    }
    // Each write is synced before the next one starts, so only the last one can
    // be incomplete. A valid frame after an invalid one means that acknowledged
    // data is damaged; truncating there would lose it silently.
    const auto nextValid = internal::FindNextValidFrame(*bytes, offset);
    if (nextValid || frame.m_state == internal::FrameState::kValid) {
      aFailure = { Error::kDamaged,
                   file,
                   offset,
                   nextValid ? "a valid record follows at offset " +
                                 std::to_string(*nextValid)
                             : "the record does not decode" };
      return false;
    }
    aOpened.m_truncatedTail =
      TruncatedTail{ file, offset, bytes->size() - offset };
    break;
  }
  m_size = offset;
  m_hardState = aOpened.m_recovered.m_hardState;
  return true;
}

bool
LogStore::OpenLog(Failure& aFailure)
{
  const fs::path file = LogFile(m_generation);
  m_logFd = ::open(file.c_str(), O_WRONLY | O_CLOEXEC, kFileMode);
  const bool isPositioned = m_logFd >= 0 && m_calls.m_truncate(m_logFd, m_size);
  if (!isPositioned || m_calls.m_sync(m_logFd) != 0) {
    return Fail(aFailure, file);
  }
  for (const auto& item : fs::directory_iterator(m_folder)) {
    const auto generation = GenerationOf(item.path());
    if (generation && *generation < m_generation) {
      std::error_code ignored;
      fs::remove(item.path(), ignored);
    }
  }
  return true;
}

bool
LogStore::Write(const consensus::Persist& aPersist, Failure& aFailure)
{
  if (m_permanentFailure) {
    aFailure = *m_permanentFailure;
    aFailure.m_error = Error::kStopped;
    return false;
  }
  if (aPersist.m_hardState) {
    m_hardState = *aPersist.m_hardState;
  }
  if (aPersist.m_snapshot) {
    return ReplaceLog(aPersist, aFailure);
  }
  return Append(internal::MakeFrame(wire::EncodeFrame(aPersist)), aFailure);
}

bool
LogStore::WriteAll(int aFd, const std::string& aBytes) const
{
  std::size_t written = 0;
  while (written < aBytes.size()) {
    const ssize_t count =
      m_calls.m_write(aFd, aBytes.data() + written, aBytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      errno = count == 0 ? ENOSPC : errno;
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

// A full disk may accept a part of a frame. If that part stayed, the next frame
// would follow it, and a restart would find damage in the middle of the log.
// Nothing of it was synced, so truncating it restores the previous state.
bool
LogStore::RollbackAppend(Failure& aFailure)
{
  const fs::path file = LogFile(m_generation);
  aFailure = { Error::kWriteFailed, file, m_size, std::strerror(errno) };
  return m_calls.m_truncate(m_logFd, m_size) || Fail(aFailure, file);
}

bool
LogStore::Append(const std::string& aFrame, Failure& aFailure)
{
  if (!WriteAll(m_logFd, aFrame)) {
    RollbackAppend(aFailure);
    return false;
  }
  if (m_calls.m_sync(m_logFd) != 0) {
    return Fail(aFailure, LogFile(m_generation));
  }
  m_size += aFrame.size();
  return true;
}

// The new file contains the vote, the snapshot and all later entries. The old
// file stays complete until the rename of the new one is synced.
bool
LogStore::ReplaceLog(const consensus::Persist& aPersist, Failure& aFailure)
{
  consensus::Persist record = aPersist;
  record.m_hardState = m_hardState;
  const std::string frame = internal::MakeFrame(wire::EncodeFrame(record));
  const fs::path nextFile = LogFile(m_generation + 1);
  if (!WriteAtomically(nextFile, frame, aFailure)) {
    return false;
  }
  ::close(m_logFd);
  ++m_generation;
  m_size = frame.size();
  return OpenLog(aFailure);
}

bool
LogStore::WriteAtomically(const fs::path& aFile,
                          const std::string& aBytes,
                          Failure& aFailure)
{
  const fs::path temporary = aFile.string() + kTemporarySuffix;
  const int fd = ::open(
    temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  // Nothing refers to this file before the rename, and a retry writes it from
  // the first byte; so a failure here, even of the sync, is retryable.
  const bool isWritten =
    fd >= 0 && WriteAll(fd, aBytes) && m_calls.m_sync(fd) == 0;
  if (!isWritten) {
    aFailure = { Error::kWriteFailed, temporary, 0, std::strerror(errno) };
  }
  if (fd >= 0) {
    ::close(fd);
  }
  if (!isWritten) {
    std::error_code ignored;
    fs::remove(temporary, ignored);
    return false;
  }
  if (::rename(temporary.c_str(), aFile.c_str()) != 0) {
    return Fail(aFailure, aFile);
  }
  return SyncFolder(aFailure);
}

bool
LogStore::SyncFolder(Failure& aFailure)
{
  const int fd = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = fd >= 0 && m_calls.m_sync(fd) == 0;
  if (!synced) {
    Fail(aFailure, m_folder);
  }
  if (fd >= 0) {
    ::close(fd);
  }
  return synced;
}

} // namespace bamboostile::storage
