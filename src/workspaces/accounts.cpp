#include "bamboostile/workspaces/accounts.h"

namespace bamboostile::workspaces {

namespace {

bool
Fits(std::int64_t aUsed, std::int64_t aNeeded, std::int64_t aCap)
{
  return aCap == 0 || aNeeded == 0 || aUsed == 0 || aUsed + aNeeded <= aCap;
}

bool
IsMoreThanHalf(std::int64_t aNeeded, std::int64_t aCap)
{
  return aCap > 0 && aNeeded > aCap / 2;
}

} // namespace

void
Account::Add(const Resources& aRun, std::int64_t aCount)
{
  m_used.m_cpuMillis += aRun.m_cpuMillis * aCount;
  m_used.m_memoryMb += aRun.m_memoryMb * aCount;
  m_used.m_accelerators += aRun.m_accelerators * aCount;
}

bool
Account::MayStart(const Resources& aTask) const
{
  return !m_isReserved &&
         Fits(m_used.m_cpuMillis, aTask.m_cpuMillis, m_cap.m_cpuMillis) &&
         Fits(m_used.m_memoryMb, aTask.m_memoryMb, m_cap.m_memoryMb) &&
         Fits(
           m_used.m_accelerators, aTask.m_accelerators, m_cap.m_accelerators);
}

bool
Account::MayKeep(const Resources& aTask) const
{
  Account others{ m_cap };
  others.Add(m_used);
  others.Add(aTask, -1);
  return others.MayStart(aTask);
}

void
Account::Defer(const Resources& aTask)
{
  m_isReserved = m_isReserved ||
                 IsMoreThanHalf(aTask.m_cpuMillis, m_cap.m_cpuMillis) ||
                 IsMoreThanHalf(aTask.m_memoryMb, m_cap.m_memoryMb) ||
                 IsMoreThanHalf(aTask.m_accelerators, m_cap.m_accelerators);
}

Accounts::Accounts(const std::vector<Workspace>& aWorkspaces)
{
  for (const Workspace& workspace : aWorkspaces) {
    m_accounts.emplace(workspace.m_id, Account{ workspace.m_cap });
  }
}

Account*
Accounts::Find(const WorkspaceId& aWorkspace)
{
  const auto found = m_accounts.find(aWorkspace);
  return found == m_accounts.end() ? nullptr : &found->second;
}

const Account*
Accounts::Find(const WorkspaceId& aWorkspace) const
{
  const auto found = m_accounts.find(aWorkspace);
  return found == m_accounts.end() ? nullptr : &found->second;
}

} // namespace bamboostile::workspaces
