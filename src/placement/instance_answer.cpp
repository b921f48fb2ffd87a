#include "bamboostile/placement/instance_answer.h"

namespace bamboostile::placement {

const char*
Describe(InstanceAnswer aAnswer) noexcept
{
  switch (aAnswer) {
    case InstanceAnswer::kAccepted:
      return "taken";
    case InstanceAnswer::kBusy:
      return "the instance is busy";
    case InstanceAnswer::kNotApplicable:
      return "not applicable to the instance";
    case InstanceAnswer::kSuperseded:
      return "superseded by a later leader";
    case InstanceAnswer::kNotSent:
      return "abandoned before it was sent";
    case InstanceAnswer::kUnclear:
      return "no clear answer";
  }
  return "unknown";
}

} // namespace bamboostile::placement
