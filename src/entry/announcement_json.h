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

/** Parses the body of PUT /v1/upstreams/{id}; on failure aProblem names the
 * invalid field. */
std::optional<fleet::Announcement> ParseAnnouncement(const InstanceId& aId,
                                                     const std::string& aBody,
                                                     FieldProblem& aProblem);

/** Compares all fields but the sequence. Announcements that are equal in these
 * need no change in routing. */
bool EqualsExceptSequence(const fleet::Announcement& aLeft,
                          const fleet::Announcement& aRight);

} // namespace bamboostile::entry::internal
