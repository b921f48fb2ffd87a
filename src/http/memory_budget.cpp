#include "bamboostile/http/memory_budget.h"

#include <sys/sysinfo.h>

#include <algorithm>
#include <utility>

namespace bamboostile::http {

namespace {

/** Clients may use one part of this many of the memory. A waiting request
 * exists up to three times: as received, decoded, and in the message to the
 * leader. */
constexpr std::uint64_t kPartsOfMemory = 6;

} // namespace

MemoryBudget::MemoryBudget(std::uint64_t aLimit)
  : m_limit(aLimit)
{
}

std::shared_ptr<MemoryBudget>
MemoryBudget::ForMachine()
{
  return std::make_shared<MemoryBudget>(LimitFor(MachineMemory()));
}

std::uint64_t
MemoryBudget::LimitFor(std::uint64_t aMemory)
{
  return aMemory / kPartsOfMemory;
}

std::uint64_t
MemoryBudget::MachineMemory()
{
  struct sysinfo info
  {};
  sysinfo(&info);
  return static_cast<std::uint64_t>(info.totalram) * info.mem_unit;
}

std::uint64_t
MemoryBudget::Share() const
{
  return m_limit / std::max<std::uint64_t>(1, m_accountCount);
}

void
MemoryBudget::RequestShedding(const MemoryAccount& aExcept)
{
  const std::lock_guard lock(m_mutex);
  for (MemoryAccount* account : m_accounts) {
    if (account != &aExcept && account->MustShed()) {
      account->m_shed();
    }
  }
}

MemoryAccount::MemoryAccount(std::shared_ptr<MemoryBudget> aBudget,
                             std::function<void()> aShed)
  : m_budget(std::move(aBudget))
  , m_shed(std::move(aShed))
{
  const std::lock_guard lock(m_budget->m_mutex);
  m_budget->m_accounts.insert(this);
  ++m_budget->m_accountCount;
}

MemoryAccount::~MemoryAccount()
{
  Detach();
}

void
MemoryAccount::Detach()
{
  const std::lock_guard lock(m_budget->m_mutex);
  m_budget->m_accountCount -= m_budget->m_accounts.erase(this);
}

void
MemoryAccount::Add(std::uint64_t aBytes)
{
  m_used += aBytes;
  m_budget->m_used += aBytes;
  if (m_budget->m_used > m_budget->m_limit && !MustShed()) {
    m_budget->RequestShedding(*this);
  }
}

void
MemoryAccount::Remove(std::uint64_t aBytes)
{
  m_used -= aBytes;
  m_budget->m_used -= aBytes;
}

bool
MemoryAccount::MustShed() const
{
  return m_budget->m_used > m_budget->m_limit && m_used > m_budget->Share();
}

Reservation::Reservation(std::shared_ptr<MemoryAccount> aAccount)
  : m_account(std::move(aAccount))
{
}

Reservation::~Reservation()
{
  Resize(0);
}

Reservation::Reservation(Reservation&& aOther) noexcept
  : m_account(std::move(aOther.m_account))
  , m_bytes(std::exchange(aOther.m_bytes, 0))
{
}

Reservation&
Reservation::operator=(Reservation&& aOther) noexcept
{
  std::swap(m_account, aOther.m_account);
  std::swap(m_bytes, aOther.m_bytes);
  return *this;
}

void
Reservation::Resize(std::uint64_t aBytes)
{
  if (!m_account) {
    return;
  }
  if (aBytes > m_bytes) {
    m_account->Add(aBytes - m_bytes);
  } else if (aBytes < m_bytes) {
    m_account->Remove(m_bytes - aBytes);
  }
  m_bytes = aBytes;
}

} // namespace bamboostile::http
