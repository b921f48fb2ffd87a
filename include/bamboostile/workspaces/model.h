#pragma once

#include "bamboostile/units/strong.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboostile {

using WorkspaceId = Strong<struct WorkspaceIdTag, std::string>;

} // namespace bamboostile

namespace bamboostile::workspaces {

/** SHA-256 of an API key as hexadecimal text; empty if a call carries no
 * well-formed key. */
using KeyDigest = Strong<struct KeyDigestTag, std::string>;

struct Resources
{
  std::int64_t m_cpuMillis = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;

  bool operator==(const Resources&) const = default;
};

/** A group of callers that shares the fleet with others: whoever presents one
 * of its keys acts on its behalf. */
struct Workspace
{
  WorkspaceId m_id;
  std::vector<KeyDigest> m_keys;
  /** Share of the capacity when all is in use, and the jobs per second that
   * this share covers. */
  double m_weight = 1;
  /** Maximum use over all workers; 0 for no limit. */
  Resources m_cap;
};

enum class WorkspaceProblem
{
  kNone,
  kEmptyName,
  kDuplicateName,
  kNegativeWeight,
  kNegativeCap,
  kEmptyKey,
  kSharedKey,
};

const char* Describe(WorkspaceProblem aProblem) noexcept;

/** Why a list of workspaces is invalid, and the field that makes it so, such
 * as "workspaces[2].weight". */
struct WorkspaceValidation
{
  WorkspaceProblem m_problem = WorkspaceProblem::kNone;
  std::string m_field;
};

WorkspaceValidation Validate(const std::vector<Workspace>& aWorkspaces);

} // namespace bamboostile::workspaces
