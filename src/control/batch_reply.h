#pragma once

#include "bamboostile/control/node.h"

namespace bamboostile::control {

/** Returns what a batch of job changes answered; null unless it is known to be
 * committed. */
inline const jobs::BatchReply*
ReplyOf(const ProposalResult& aResult)
{
  return aResult.m_effect ? std::get_if<jobs::BatchReply>(&*aResult.m_effect)
                          : nullptr;
}

} // namespace bamboostile::control
