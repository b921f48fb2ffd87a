#include "bamboostile/workspaces/directory.h"

namespace bamboostile::workspaces {

Directory::Directory(const std::vector<Workspace>& aWorkspaces)
{
  for (const Workspace& workspace : aWorkspaces) {
    m_weights.emplace(workspace.m_id, workspace.m_weight);
    for (const KeyDigest& key : workspace.m_keys) {
      m_byKey.emplace(key, workspace.m_id);
    }
  }
}

std::optional<WorkspaceId>
Directory::Find(const KeyDigest& aKey) const
{
  const auto found = m_byKey.find(aKey);
  return found == m_byKey.end() ? std::nullopt : std::optional{ found->second };
}

std::optional<double>
Directory::WeightOf(const WorkspaceId& aWorkspace) const
{
  const auto found = m_weights.find(aWorkspace);
  return found == m_weights.end() ? std::nullopt
                                  : std::optional{ found->second };
}

bool
MayAccess(const WorkspaceId& aCaller, const WorkspaceId& aOwner)
{
  return aOwner.Get().empty() || aOwner == aCaller;
}

} // namespace bamboostile::workspaces
