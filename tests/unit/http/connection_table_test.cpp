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
                             .m_head = Millis{ 5'000 },
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

// Guards against callers that wait behind idle clients.
TEST(ConnectionTable, NoPlace_LongestWithoutRequestGoes)
{
  Add(0, Phase::kHandling);
  Add(0, Phase::kWriting);
  const ConnectionId half = Add(100, Phase::kReadingHead);
  Add(200);
  CHECK(m_table.FindLongestWaiting(At(10'000)) == half);
}

// Guards against clients that send a byte now and then to keep their place.
TEST(ConnectionTable, NoPlace_PartsOfRequestDoNotCount)
{
  const ConnectionId slow = Add(0);
  Add(100);
  m_table.Enter(slow, Phase::kReadingHead, At(4'000));
  m_table.Enter(slow, Phase::kReadingBody, At(8'000));
  CHECK(m_table.FindLongestWaiting(At(10'000)) == slow);
}

TEST(ConnectionTable, NoPlace_ServedConnectionStaysLonger)
{
  const ConnectionId served = Add(0, Phase::kWriting);
  m_table.Enter(served, Phase::kIdle, At(5'000));
  const ConnectionId idle = Add(1'000);
  CHECK(m_table.FindLongestWaiting(At(10'000)) == idle);
}

// Guards against new clients that drive each other out before their first
// requests can arrive.
TEST(ConnectionTable, NoPlace_NewConnectionsStay)
{
  Add(0);
  CHECK(!m_table.FindLongestWaiting(At(400)));
  CHECK(m_table.FindLongestWaiting(At(600)).has_value());
}

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

TEST(ConnectionTable, HeadIsLate_ExpiresBeforeBody)
{
  const ConnectionId head = Add(0, Phase::kReadingHead);
  const ConnectionId body = Add(0, Phase::kReadingHead);
  m_table.Enter(body, Phase::kReadingBody, At(3'000));
  CHECK(m_table.Expired(At(6'000)) == std::vector{ head });
  m_table.Remove(head);
  CHECK(m_table.Expired(At(16'000)) == std::vector{ body });
}
