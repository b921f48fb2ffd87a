#pragma once

#include "bamboostile/workspaces/key_digest.h"
#include "bamboostile/workspaces/model.h"

#include <optional>
#include <unordered_map>

namespace bamboostile::workspaces {

/**
 * @brief Finds the workspace of a key.
 *
 * A lookup takes one hash, however many keys there are.
 */
class Directory
{
public:
  Directory() = default;
  explicit Directory(const std::vector<Workspace>& aWorkspaces);

  std::optional<WorkspaceId> Find(const KeyDigest& aKey) const;
  /** Unset if there is no such workspace. */
  std::optional<double> WeightOf(const WorkspaceId& aWorkspace) const;

private:
  struct DigestEqual
  {
    bool operator()(const KeyDigest& aLeft, const KeyDigest& aRight) const
    {
      return EqualsInConstantTime(aLeft, aRight);
    }
  };

  std::unordered_map<KeyDigest, WorkspaceId, std::hash<KeyDigest>, DigestEqual>
    m_byKey;
  std::unordered_map<WorkspaceId, double> m_weights;
};

/** Whether a caller of one workspace may query or cancel a job of another one.
 * A job that was accepted without a key belongs to no workspace, and any
 * authenticated caller may access it. */
bool MayAccess(const WorkspaceId& aCaller, const WorkspaceId& aOwner);

} // namespace bamboostile::workspaces
