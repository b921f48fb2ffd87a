#pragma once

#include "bamboostile/workspaces/model.h"

#include <unordered_map>

namespace bamboostile::workspaces {

/** What the runs of one workspace use over all workers, and its cap. */
class Account
{
public:
  Account() = default;
  explicit Account(const Resources& aCap)
    : m_cap(aCap)
  {
  }

  void Add(const Resources& aRun, std::int64_t aCount = 1);

  /** Whether a task may start: with it, the workspace stays within its cap. A
   * task that is larger than the cap may run alone. */
  bool MayStart(const Resources& aTask) const;

  /** Whether a task that the use includes already may start now. */
  bool MayKeep(const Resources& aTask) const;

  /** Called for a task that may not start. If it needs more than half of the
   * cap, no other task may start before it; smaller ones would take what
   * becomes free, and it would wait for good. */
  void Defer(const Resources& aTask);

  const Resources& Used() const { return m_used; }
  const Resources& Cap() const { return m_cap; }

private:
  Resources m_cap;
  Resources m_used;
  bool m_isReserved = false;
};

/** The accounts of all configured workspaces. */
class Accounts
{
public:
  Accounts() = default;
  explicit Accounts(const std::vector<Workspace>& aWorkspaces);

  /** Null if the workspace is not configured any more. */
  Account* Find(const WorkspaceId& aWorkspace);
  const Account* Find(const WorkspaceId& aWorkspace) const;
  bool IsEmpty() const { return m_accounts.empty(); }

private:
  std::unordered_map<WorkspaceId, Account> m_accounts;
};

} // namespace bamboostile::workspaces
