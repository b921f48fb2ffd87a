#include "bamboostile/http/client_limits.h"

#include "check.h"

using namespace bamboostile;
using http::ClientLimits;

TEST_GROUP(ClientLimits){};

// Guards against listeners that together take all descriptors of a process.
TEST(ClientLimits, AnyNumberOfDescriptors_SomeAreLeftForTheProcess)
{
  for (const std::uint64_t descriptors : { 96, 128, 1024, 4100, 20'000 }) {
    const ClientLimits limits = ClientLimits::For(0, descriptors);
    CHECK(limits.m_requestConnections + limits.m_peerConnections +
            limits.m_probeConnections + 60 <=
          descriptors);
    CHECK(limits.m_requestConnections > limits.m_peerConnections);
  }
}

TEST(ClientLimits, FewerDescriptorsThanTheProcessNeeds_OneConnectionOfEachKind)
{
  const ClientLimits limits = ClientLimits::For(0, 16);
  LONGS_EQUAL(1, limits.m_requestConnections);
  LONGS_EQUAL(1, limits.m_peerConnections);
  LONGS_EQUAL(1, limits.m_probeConnections);
}
