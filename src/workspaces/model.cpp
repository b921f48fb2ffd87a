#include "bamboostile/workspaces/model.h"

#include <cmath>
#include <unordered_map>
#include <unordered_set>

namespace bamboostile::workspaces {

namespace {

std::string
FieldOf(std::size_t aPosition, const char* aField)
{
  return "workspaces[" + std::to_string(aPosition) + "]." + aField;
}

bool
IsNegative(const Resources& aResources)
{
  return aResources.m_cpuMillis < 0 || aResources.m_memoryMb < 0 ||
         aResources.m_accelerators < 0;
}

} // namespace

const char*
Describe(WorkspaceProblem aProblem) noexcept
{
  switch (aProblem) {
    case WorkspaceProblem::kNone:
      return "none";
    case WorkspaceProblem::kEmptyName:
      return "the name must not be empty";
    case WorkspaceProblem::kDuplicateName:
      return "two workspaces share one name";
    case WorkspaceProblem::kNegativeWeight:
      return "the weight must be a number of 0 or more";
    case WorkspaceProblem::kNegativeCap:
      return "the cap must be 0 or more";
    case WorkspaceProblem::kEmptyKey:
      return "a key must not be empty";
    case WorkspaceProblem::kSharedKey:
      return "two workspaces share a key";
  }
  return "unknown";
}

WorkspaceValidation
Validate(const std::vector<Workspace>& aWorkspaces)
{
  std::unordered_set<WorkspaceId> names;
  std::unordered_map<KeyDigest, std::size_t> owners;
  for (std::size_t i = 0; i < aWorkspaces.size(); ++i) {
    const Workspace& workspace = aWorkspaces[i];
    if (workspace.m_id.Get().empty()) {
      return { WorkspaceProblem::kEmptyName, FieldOf(i, "name") };
    }
    if (!names.insert(workspace.m_id).second) {
      return { WorkspaceProblem::kDuplicateName, FieldOf(i, "name") };
    }
    if (!std::isfinite(workspace.m_weight) || workspace.m_weight < 0) {
      return { WorkspaceProblem::kNegativeWeight, FieldOf(i, "weight") };
    }
    if (IsNegative(workspace.m_cap)) {
      return { WorkspaceProblem::kNegativeCap, FieldOf(i, "cap") };
    }
    for (const KeyDigest& key : workspace.m_keys) {
      if (key.Get().empty()) {
        return { WorkspaceProblem::kEmptyKey, FieldOf(i, "keys") };
      }
      if (owners.emplace(key, i).first->second != i) {
        return { WorkspaceProblem::kSharedKey, FieldOf(i, "keys") };
      }
    }
  }
  return {};
}

} // namespace bamboostile::workspaces
