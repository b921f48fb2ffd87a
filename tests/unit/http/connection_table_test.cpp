#include "http/connection_table.h"

#include "check.h"

using namespace bamboostile;
using http::ConnectionId;
using http::ConnectionTable;
using http::Phase;

namespace {

constexpr std::uint64_t kKiB = 1024;

TimePoint
At(std::int64_t aMs)
{
  return TimePoint{ Millis{ aMs } };
}

} // namespace

TEST_GROUP(ConnectionTable)
{
  ConnectionTable m_table{ { .m_idle = Millis{ 15'000 },
                             .m_request = Millis{ 15'000 },
                             .m_handle = Millis{ 70'000 },
                             .m_write = Millis{ 15'000 },
                             .m_discard = Millis{ 2'000 } } };
  std::uint64_t m_lastId = 0;

  ConnectionId Add(
    std::int64_t aMs, Phase aPhase = Phase::kIdle, std::uint64_t aBytes = 0)
  {
    const ConnectionId id{ ++m_lastId };
    m_table.Add(id, At(aMs));
    m_table.Enter(id, aPhase, At(aMs));
    m_table.SetBytes(id, aBytes);
    return id;
  }
};

TEST(ConnectionTable, MemoryIsShort_LargestGoesAndOldestOfSimilarSize)
{
  Add(0, Phase::kReadingHead, 2 * kKiB);
  Add(300, Phase::kReadingBody, 250 * kKiB);
  const ConnectionId oldest = Add(100, Phase::kReadingBody, 200 * kKiB);
  Add(200, Phase::kReadingBody, 255 * kKiB);
  CHECK(m_table.FindLargest() == oldest);
}

TEST(ConnectionTable, MemoryIsShort_ResponsesGoLast)
{
  const ConnectionId response = Add(0, Phase::kWriting, 900 * kKiB);
  const ConnectionId request = Add(0, Phase::kReadingBody, 20 * kKiB);
  CHECK(m_table.FindLargest() == request);
  m_table.Remove(request);
  CHECK(m_table.FindLargest() == response);
}

// Guards against answers that are given up though the handler has what is
// needed to give them.
TEST(ConnectionTable, MemoryIsWithHandler_NoneGoes)
{
  Add(0, Phase::kHandling, 2 * kKiB);
  Add(0, Phase::kWriting, 2 * kKiB);
  Add(0, Phase::kIdle, 2 * kKiB);
  CHECK(!m_table.FindLargest());
}
