#include "job_fixtures.h"

#include "bamboostile/placement/ended_lives.h"

#include "check.h"

using namespace bamboostile;
using namespace job_fixtures;
using placement::EndedIncarnations;

TEST_GROUP(EndedIncarnations)
{
  EndedIncarnations m_incarnations;
};

// Guards against a leader whose memory grows with each restart and move.
TEST(EndedIncarnations, MoreThanTheBound_OldestIsRemoved)
{
  const auto count =
    static_cast<std::int64_t>(EndedIncarnations::kMaxIncarnations);
  for (std::int64_t at = 1; at <= count + 1; ++at) {
    m_incarnations.Add(Life("w", at));
  }
  LONGS_EQUAL(count, m_incarnations.All().size());
  CHECK(!m_incarnations.Contains(Life("w", 1)));
  CHECK(m_incarnations.Contains(Life("w", count + 1)));
}

TEST(EndedIncarnations, RemovedAndAddedAgain_IsKept)
{
  m_incarnations.Add(Life("w", 1));
  m_incarnations.Remove(Life("w", 1));
  CHECK(!m_incarnations.Contains(Life("w", 1)));
  m_incarnations.Add(Life("w", 1));
  CHECK(m_incarnations.Contains(Life("w", 1)));
}
