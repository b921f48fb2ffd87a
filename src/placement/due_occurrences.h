#pragma once

#include "bamboostile/jobs/model.h"

#include <cstddef>
#include <vector>

namespace bamboostile::placement {

/** Returns the number of occurrences of a repeated job that are due by aWall
 * and not known to be done; at most aMax. */
std::size_t CountDue(const jobs::Job& aJob, WallTime aWall, std::size_t aMax);

/** Returns the most that each of several users may take so that together they
 * take aTotal at most, and none gets less than it needs while another gets
 * more. At least 1. */
std::size_t FindFairLimit(std::vector<std::size_t> aNeeds, std::size_t aTotal);

} // namespace bamboostile::placement
