#include "bamboostile/http/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace bamboostile::http {

namespace {

/** Kept for files, listeners and connections that the process opens itself: one
 * descriptor of this many, and no fewer than the minimum. */
constexpr std::uint64_t kOwnPart = 16;
constexpr std::uint64_t kMinOwn = 64;
/** How the others are divided, in parts of kParts. */
constexpr std::uint64_t kParts = 20;
constexpr std::uint64_t kRequestParts = 16;
constexpr std::uint64_t kPeerParts = 3;
constexpr std::uint64_t kProbeParts = 1;

std::size_t
PartOf(std::uint64_t aDescriptors, std::uint64_t aParts)
{
  return std::max<std::uint64_t>(1, aDescriptors * aParts / kParts);
}

} // namespace

ClientLimits
ClientLimits::For(std::uint64_t aMemory, std::uint64_t aDescriptors)
{
  const std::uint64_t own = std::max(kMinOwn, aDescriptors / kOwnPart);
  const std::uint64_t others = aDescriptors > own ? aDescriptors - own : 0;
  ClientLimits limits;
  limits.m_memory =
    std::make_shared<MemoryBudget>(MemoryBudget::LimitFor(aMemory));
  limits.m_requestConnections = PartOf(others, kRequestParts);
  limits.m_peerConnections = PartOf(others, kPeerParts);
  limits.m_probeConnections = PartOf(others, kProbeParts);
  return limits;
}

std::uint64_t
ClientLimits::MaxDescriptors()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

} // namespace bamboostile::http
