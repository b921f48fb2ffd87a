#pragma once

#include "bamboostile/fleet/model.h"

#include <optional>
#include <string>

namespace bamboostile::entry::internal {

struct FieldProblem
{
  std::string m_field;
  std::string m_allowed;
};

/** Reads the body of PUT /v1/upstreams/{id}; on failure names the field. */
std::optional<fleet::Announcement> ParseAnnouncement(const InstanceId& aId,
                                                     const std::string& aBody,
                                                     FieldProblem& aProblem);

/** Alike in all but the sequence: nothing that routing needs has changed. */
bool SaysTheSame(const fleet::Announcement& aLeft,
                 const fleet::Announcement& aRight);

} // namespace bamboostile::entry::internal
