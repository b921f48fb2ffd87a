#include "job_fixtures.h"

#include "bamboostile/placement/ended_lives.h"

#include "check.h"

using namespace bamboostile;
using namespace job_fixtures;
using placement::EndedLives;

TEST_GROUP(EndedLives)
{
  EndedLives m_lives;
};

// Guards against a leader whose memory grows with each restart and move.
TEST(EndedLives, MoreThanTheBound_OldestIsForgotten)
{
  const auto count = static_cast<std::int64_t>(EndedLives::kMost);
  for (std::int64_t at = 1; at <= count + 1; ++at) {
    m_lives.Add(Life("w", at));
  }
  LONGS_EQUAL(count, m_lives.All().size());
  CHECK(!m_lives.Contains(Life("w", 1)));
  CHECK(m_lives.Contains(Life("w", count + 1)));
}

TEST(EndedLives, RemovedAndAddedAgain_IsKept)
{
  m_lives.Add(Life("w", 1));
  m_lives.Remove(Life("w", 1));
  CHECK(!m_lives.Contains(Life("w", 1)));
  m_lives.Add(Life("w", 1));
  CHECK(m_lives.Contains(Life("w", 1)));
}
