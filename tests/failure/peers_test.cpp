#include "clients_fixture.h"

#include <array>

using namespace clients_fixture;
using test::Crowd;

namespace {

/** The frame of a message of one segment, without its content. */
std::string
FrameOf(std::uint32_t aWords)
{
  const std::array<std::uint32_t, 2> header{ 0, aWords };
  return { reinterpret_cast<const char*>(header.data()), sizeof(header) };
}

} // namespace

/** Crowds at the port that control replicas and entries use among themselves.
 */
TEST_GROUP(Peers){};

// Guards against a process that ends when it cannot accept a peer.
TEST(Peers, MoreClientsThanDescriptors_Leave_ProcessServesAgain)
{
  Deployment deployment(
    26400, { { "readTimeoutMs", kReadTimeoutMs } }, kMaxDescriptors);
  {
    Crowd crowd(deployment.Processes().Rpc(1), 300);
    crowd.Write(std::string(1, '\0'));
    deployment.CheckDescriptors();
  }
  deployment.CheckSound();
}

// Guards against memory that grows with the messages that are being read.
TEST(Peers, ManyHalfMessages_StayOpen_MemoryIsBounded)
{
  constexpr std::uint32_t kWords = kMiB;
  Deployment deployment(26500);
  Crowd crowd(deployment.Processes().Rpc(1), 24);
  crowd.Write(FrameOf(kWords) + std::string(kWords * 8 - 1, '\0'));
  deployment.CheckSound();
}
