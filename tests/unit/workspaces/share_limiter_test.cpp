#include "bamboostile/workspaces/share_limiter.h"

#include "check.h"

#include <random>

using namespace bamboostile;
using namespace bamboostile::workspaces;

TEST_GROUP(WorkspaceShareLimiter)
{
  const WorkspaceId m_id{ "a" };
  ShareLimiter m_limiter;
  TimePoint m_now{ Millis{ 1'000'000 } };

  ShareUse Submit(double aWeight)
  {
    const ShareUse use = m_limiter.Assess(m_id, aWeight, m_now);
    if (!use.m_retryAfter) {
      m_limiter.Charge(m_id, aWeight, m_now);
    }
    return use;
  }
};

TEST(WorkspaceShareLimiter, JobsWithinTheWeight_AreWithinTheShare)
{
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(Submit(10).m_isBeyond);
    m_now += Millis{ 100 };
  }
}

TEST(WorkspaceShareLimiter, BurstBeyondTheWeight_IsBeyondTheShare)
{
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(Submit(10).m_isBeyond);
  }
  const ShareUse use = Submit(10);
  CHECK(use.m_isBeyond);
  CHECK_FALSE(use.m_retryAfter.has_value());
}

// Guards against accepting jobs without limit that will not be served in time.
TEST(WorkspaceShareLimiter, LongOverload_SaysWhenToComeBack)
{
  for (int i = 0; i < 60; ++i) {
    CHECK_FALSE(Submit(10).m_retryAfter.has_value());
  }
  const auto retryAfter = Submit(10).m_retryAfter;
  CHECK(retryAfter.has_value());
  m_now += *retryAfter;
  CHECK_FALSE(Submit(10).m_retryAfter.has_value());
  CHECK(Submit(10).m_retryAfter.has_value());
}

TEST(WorkspaceShareLimiter, WorkspaceWithoutShare_MaySendOneJobAndWaits)
{
  CHECK_FALSE(Submit(0).m_isBeyond);
  m_now += std::chrono::hours{ 1 };
  const ShareUse use = Submit(0);
  CHECK(use.m_isBeyond);
  CHECK(use.m_retryAfter.has_value());
}

TEST_GROUP(RebuiltShareLimiter)
{
  const WorkspaceId m_id{ "a" };
  const Directory m_directory{ { { m_id, {}, 1, {} } } };
  const TimePoint m_now{ Millis{ 5'000'000 } };
  const Millis m_wall{ 1'790'000'000'000 };

  /** Jobs accepted that long ago, in this order. */
  std::vector<AcceptedJob> JobsBefore(const std::vector<Millis>& aAges)
  {
    std::vector<AcceptedJob> jobs;
    jobs.reserve(aAges.size());
    for (const Millis age : aAges) {
      jobs.push_back({ m_id, jobs.size() + 1, m_wall - age });
    }
    return jobs;
  }

  ShareUse Assess(std::vector<AcceptedJob> aJobs)
  {
    return ShareLimiter::Rebuild(std::move(aJobs), m_directory, m_wall, m_now)
      .Assess(m_id, 1, m_now);
  }

  /** Time until the workspace may send a job; 0 if it may now. */
  Millis Debt(std::vector<AcceptedJob> aJobs)
  {
    return Assess(std::move(aJobs)).m_retryAfter.value_or(Millis{});
  }
};

// Guards against a workspace far beyond its share that each election puts back
// within it.
TEST(RebuiltShareLimiter, RecentJobsBeyondTheShare_AreStillCounted)
{
  const auto jobs = JobsBefore(std::vector<Millis>(8, Millis{ 500 }));
  LONGS_EQUAL(2'500, Debt(jobs).count());
}

// Guards against a clock set back by an hour, which would take an hour's
// tokens from each workspace.
TEST(RebuiltShareLimiter, ClockIsBehindTheJobs_OnlyTheLastStepIsLost)
{
  const auto ages = [](Millis aShift) {
    return std::vector<Millis>{ Millis{ 9'000 } + aShift,
                                Millis{ 6'000 } + aShift,
                                Millis{ 6'000 } + aShift,
                                Millis{ 3'000 } + aShift };
  };
  CHECK_FALSE(Assess(JobsBefore(ages(Millis{}))).m_isBeyond);
  const ShareUse use =
    Assess(JobsBefore(ages(-Millis{ std::chrono::hours{ 1 } })));
  CHECK(use.m_isBeyond);
  CHECK_FALSE(use.m_retryAfter.has_value());
}

// Guards against jobs stamped by a clock that was an hour ahead for a moment:
// those after them would get no tokens for the time between them.
TEST(RebuiltShareLimiter, OneJobFromTheFuture_CostsOneStepOnly)
{
  std::vector<Millis> ages;
  for (int i = 20; i > 0; --i) {
    ages.emplace_back(i * 1'000);
  }
  ages[1] = -Millis{ std::chrono::hours{ 1 } };
  LONGS_EQUAL(0, Debt(JobsBefore(ages)).count());
}

// Guards against a clock set forward that gives more than a full bucket.
TEST(RebuiltShareLimiter, ClockIsFarAhead_GivesOneBucketAtMost)
{
  auto jobs = JobsBefore({ std::chrono::hours{ 100 }, Millis{} });
  CHECK(Assess(jobs).m_isBeyond);
  jobs.pop_back();
  CHECK_FALSE(Assess(jobs).m_isBeyond);
}

/** A leader, the jobs that it accepts, and its clocks: the wall clock of the
 * jobs has whole milliseconds only. */
TEST_GROUP(ShareLimiterAfterElection)
{
  static constexpr std::size_t kWorkspaces = 100;
  static constexpr Millis kRetention{ 180'000 };
  static constexpr Duration kWallResolution = Millis{ 1 };

  const Millis m_wallAtStart{ 1'790'000'000'000 };
  std::minstd_rand m_random{ 11 };
  std::vector<Workspace> m_workspaces;
  std::optional<Directory> m_directory;
  ShareLimiter m_old;
  std::vector<AcceptedJob> m_state;
  TimePoint m_now{ std::chrono::hours{ 7 } };
  const TimePoint m_start = m_now;
  std::size_t m_beyond = 0;
  std::size_t m_refused = 0;

  void setup() override
  {
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      const double weight = i == 0 ? 0 : 0.1 * static_cast<double>(i % 40 + 1);
      m_workspaces.push_back(
        { WorkspaceId{ "w" + std::to_string(i) }, {}, weight, {} });
    }
    m_directory.emplace(m_workspaces);
  }

  Millis Wall() const
  {
    return m_wallAtStart + ToMillis(m_now - m_start);
  }

  double Random()
  {
    return static_cast<double>(m_random()) /
           static_cast<double>(std::minstd_rand::max());
  }

  void Submit(const Workspace& aWorkspace)
  {
    const ShareUse use =
      m_old.Assess(aWorkspace.m_id, aWorkspace.m_weight, m_now);
    // Half of the time capacity is free, and debts grow past the limit.
    const bool isFull = (m_now - m_start) / std::chrono::seconds{ 30 } % 2 == 1;
    if (use.m_retryAfter && isFull) {
      return;
    }
    m_old.Charge(aWorkspace.m_id, aWorkspace.m_weight, m_now);
    m_state.push_back({ aWorkspace.m_id, m_state.size() + 1, Wall() });
  }

  /** Each workspace sends between none and three times its share. */
  void PassSecond()
  {
    for (int i = 0; i < 100; ++i) {
      m_now += Duration{ 10'000 - m_random() % 1'000 };
      for (std::size_t w = 0; w < m_workspaces.size(); ++w) {
        const double jobsPerSecond =
          0.02 + m_workspaces[w].m_weight * static_cast<double>(w % 7) / 2;
        if (Random() < jobsPerSecond / 100) {
          Submit(m_workspaces[w]);
        }
      }
    }
  }

  ShareLimiter MakeNew()
  {
    std::vector<AcceptedJob> kept;
    for (const AcceptedJob& job : m_state) {
      if (job.m_acceptedAt >= Wall() - kRetention) {
        kept.push_back(job);
      }
    }
    // The table of jobs is not in order of acceptance.
    std::shuffle(kept.begin(), kept.end(), m_random);
    return ShareLimiter::Rebuild(std::move(kept), *m_directory, Wall(), m_now);
  }

  /** Whether the new leader decides as the old one at this moment, or would
   * within the resolution of the wall clock. */
  bool DecidesAlike(const Workspace& aWorkspace, ShareLimiter& aNew)
  {
    const auto assess = [&](ShareLimiter aLimiter, Duration aShift) {
      return aLimiter.Assess(
        aWorkspace.m_id, aWorkspace.m_weight, m_now + aShift);
    };
    const ShareUse rebuilt = assess(aNew, Duration{});
    const ShareUse before = assess(m_old, -kWallResolution);
    const ShareUse after = assess(m_old, kWallResolution);
    m_beyond += rebuilt.m_isBeyond ? 1 : 0;
    m_refused += rebuilt.m_retryAfter ? 1 : 0;
    const auto waitOf = [](const ShareUse& aUse) {
      return aUse.m_retryAfter.value_or(Millis{});
    };
    return rebuilt.m_isBeyond <= before.m_isBeyond &&
           rebuilt.m_isBeyond >= after.m_isBeyond &&
           waitOf(rebuilt) <= waitOf(before) &&
           waitOf(rebuilt) >= waitOf(after);
  }
};

// Guards against a leader that, with no more than the replicated state, judges
// a workspace differently from the leader before it.
TEST(ShareLimiterAfterElection, NewLeaderFromTheState_DecidesAsTheOldOne)
{
  std::size_t compared = 0;
  for (int second = 0; second < 150; ++second) {
    PassSecond();
    if (second % 3 != 0) {
      continue;
    }
    ShareLimiter rebuilt = MakeNew();
    for (const Workspace& workspace : m_workspaces) {
      CHECK(DecidesAlike(workspace, rebuilt));
      ++compared;
    }
  }
  LONGS_EQUAL(5'000, compared);
  CHECK(m_beyond > 1'000);
  CHECK(m_refused > 500);
  CHECK(m_beyond < 4'000);
}
