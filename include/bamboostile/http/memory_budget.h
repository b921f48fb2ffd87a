#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace bamboostile::http {

class MemoryAccount;

/**
 * @brief Bytes that clients may make a process hold, over all its listeners.
 *
 * Answers many clients that send much and finish little. A listener may always
 * use an equal share; what others leave unused it may use until they need it.
 * Together they hold at most the limit and one share. Thread-safe.
 */
class MemoryBudget
{
public:
  explicit MemoryBudget(std::uint64_t aLimit);

  /** Returns a budget for a process that may use the memory of this machine. */
  static std::shared_ptr<MemoryBudget> ForMachine();
  /** Returns the limit, in bytes, for a process that may use aMemory bytes. */
  static std::uint64_t LimitFor(std::uint64_t aMemory);
  /** Returns the memory of this machine, in bytes. */
  static std::uint64_t MachineMemory();

private:
  friend class MemoryAccount;

  std::uint64_t Share() const;
  void RequestShedding(const MemoryAccount& aExcept);

  const std::uint64_t m_limit;
  std::atomic<std::uint64_t> m_used = 0;
  std::atomic<std::uint64_t> m_accountCount = 0;
  std::mutex m_mutex;
  std::set<MemoryAccount*> m_accounts;
};

/** The bytes that the clients of one listener hold. Thread-safe. */
class MemoryAccount
{
public:
  /** aShed is called on any thread when MustShed() may have become true. */
  MemoryAccount(std::shared_ptr<MemoryBudget> aBudget,
                std::function<void()> aShed);
  ~MemoryAccount();
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /** Calls aShed no more, and leaves its share to the other listeners. */
  void Detach();
  /** Adds bytes, also beyond the limit: the listener then has to release some,
   * or another one that holds more than its share. */
  void Add(std::uint64_t aBytes);
  void Remove(std::uint64_t aBytes);
  /** Whether the budget is exceeded and this listener holds more than its
   * share. */
  bool MustShed() const;

private:
  friend class MemoryBudget;

  std::shared_ptr<MemoryBudget> m_budget;
  std::function<void()> m_shed;
  std::atomic<std::uint64_t> m_used = 0;
};

/** A number of bytes of an account, which is released on destruction. */
class Reservation
{
public:
  Reservation() = default;
  explicit Reservation(std::shared_ptr<MemoryAccount> aAccount);
  ~Reservation();
  Reservation(Reservation&& aOther) noexcept;
  Reservation& operator=(Reservation&& aOther) noexcept;

  void Resize(std::uint64_t aBytes);
  std::uint64_t Bytes() const { return m_bytes; }

private:
  std::shared_ptr<MemoryAccount> m_account;
  std::uint64_t m_bytes = 0;
};

} // namespace bamboostile::http
