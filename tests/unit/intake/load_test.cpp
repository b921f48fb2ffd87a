#include "bamboostile/intake/intake.h"

#include "check.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>

using namespace bamboostile;
using namespace bamboostile::intake;

namespace {

constexpr int kCores = 64;
constexpr int kTasksPerStep = 4;
constexpr int kSteps = 2;
constexpr Millis kTask{ 400 };
constexpr Millis kObjective{ 2000 };
constexpr double kStretch = 1.5;
constexpr Millis kPath = kSteps * kTask;
constexpr Millis kDue{ 3200 };
constexpr Millis kPassInterval{ 20 };
constexpr std::int64_t kDemandMs = 60'000;
/** Callers submit a job up to four times, within 3 s. */
constexpr int kAttempts = 4;
constexpr std::int64_t kGiveUpMs = 3000;

/** A policy decides on submissions. A refusal is the time to come back. */
struct RefuseNothing
{
  std::optional<Millis> Refuse(const JobId&, TimePoint) { return {}; }
  void OnPass(const PassResult&, TimePoint) {}
  void OnFirstStart(Millis, TimePoint) {}
  void OnDone(const JobId&, TimePoint) {}
};

/** Refuses while no job has waited less than the target for an interval. */
struct ControlledDelay : RefuseNothing
{
  /** A job that waits longer than half of its objective may be late. */
  static constexpr Millis kTarget = kObjective / 2;
  static constexpr Millis kInterval{ 500 };

  std::optional<Millis> Refuse(const JobId&, TimePoint aNow)
  {
    const bool refuses =
      m_isFull && m_aboveSince && aNow >= *m_aboveSince + Duration{ kInterval };
    return refuses ? std::optional{ Millis{ 1000 } } : std::nullopt;
  }
  void OnPass(const PassResult& aPass, TimePoint)
  {
    m_isFull = !aPass.m_full.empty();
  }
  void OnFirstStart(Millis aWait, TimePoint aNow)
  {
    if (aWait <= kTarget) {
      m_aboveSince.reset();
    } else if (!m_aboveSince) {
      m_aboveSince = aNow;
    }
  }

  bool m_isFull = false;
  std::optional<TimePoint> m_aboveSince;
};

struct PredictedEnd : RefuseNothing
{
  std::optional<Millis> Refuse(const JobId& aJob, TimePoint aNow)
  {
    constexpr std::int64_t kCpu = 1000;
    const JobDemand demand{ kPath,
                            kSteps * kTasksPerStep * kCpu * kTask.count(),
                            kTasksPerStep * kCpu,
                            kCpu };
    const Submission job{ aJob,  QueueId{ "q" }, ServiceId{ "s" },
                          0,     kObjective,     kStretch,
                          false, demand };
    const Decision decision = m_intake.Decide(job, aNow);
    if (const auto* refused = std::get_if<Refused>(&decision)) {
      return refused->m_retryAfter;
    }
    m_intake.OnProposed(job, std::get<Admitted>(decision), aNow);
    m_intake.OnDecided(aJob, ProposalOutcome::kAccepted);
    return {};
  }
  void OnPass(const PassResult& aPass, TimePoint aNow)
  {
    m_intake.OnPlanned(aPass, aNow);
  }
  void OnDone(const JobId& aJob, TimePoint aNow)
  {
    m_intake.OnCompleted(aJob, aNow);
  }

  Intake m_intake;
};

/** What the callers got, as shares of all jobs. */
struct Outcome
{
  double m_onTime = 0;
  double m_byLimit = 0;
  double m_refused = 0;
  int m_refusedWhileFree = 0;
  int m_acceptedNotDone = 0;
};

/** A pool of one size that places tasks as the planner does: late jobs last,
 * then by due time. Tasks take up to 30 % more or less than estimated. */
template<typename Policy>
class Simulation
{
public:
  Simulation(double aLoad,
             bool aHasValleys,
             std::uint64_t aSeed,
             Policy& aPolicy)
    : m_policy(aPolicy)
    , m_random(aSeed)
  {
    const double jobsPerMs = aLoad * kCores /
                             static_cast<double>(kSteps * kTasksPerStep) /
                             static_cast<double>(kTask.count());
    std::exponential_distribution<double> gap(jobsPerMs);
    for (double at = gap(m_random); at < kDemandMs; at += gap(m_random)) {
      if (aHasValleys && IsLeftOutOfValley(at)) {
        continue;
      }
      m_jobs.push_back({ static_cast<std::int64_t>(at) });
      m_submissions.emplace(m_jobs.back().m_firstAt, m_jobs.size() - 1);
    }
  }

  Outcome Play()
  {
    constexpr std::int64_t kMaxMs = 10 * kDemandMs;
    for (m_now = 0; m_now < kMaxMs && !IsOver(); ++m_now) {
      EndTasks();
      while (!m_submissions.empty() && m_submissions.top().first <= m_now) {
        const std::size_t job = m_submissions.top().second;
        m_submissions.pop();
        Submit(job);
      }
      if (m_now % kPassInterval.count() == 0) {
        Place();
      }
    }
    return Summarize();
  }

private:
  struct Job
  {
    std::int64_t m_firstAt = 0;
    std::int64_t m_acceptedAt = -1;
    std::int64_t m_doneAt = -1;
    int m_attempts = 0;
    int m_step = 0;
    int m_waiting = kTasksPerStep;
    int m_running = 0;
  };
  /** A time and the position of a job; the earliest first. */
  using Event = std::pair<std::int64_t, std::size_t>;
  using Events = std::priority_queue<Event, std::vector<Event>, std::greater<>>;

  /** Demand lasts for 5 s of every 20 s; a twentieth of it remains between. */
  bool IsLeftOutOfValley(double aAtMs)
  {
    constexpr double kPeriodMs = 20'000;
    constexpr double kPeakMs = 5000;
    std::bernoulli_distribution remains(0.05);
    return std::fmod(aAtMs, kPeriodMs) >= kPeakMs && !remains(m_random);
  }

  TimePoint Now() const { return TimePoint{ Millis{ 1 + m_now } }; }
  static JobId IdOf(std::size_t aJob)
  {
    return JobId{ "job-" + std::to_string(aJob) };
  }
  bool IsOver() const { return m_submissions.empty() && m_open.empty(); }

  void Submit(std::size_t aJob)
  {
    Job& job = m_jobs[aJob];
    ++job.m_attempts;
    const auto retryAfter = m_policy.Refuse(IdOf(aJob), Now());
    if (!retryAfter) {
      job.m_acceptedAt = m_now;
      m_open.push_back(aJob);
      return;
    }
    m_outcome.m_refusedWhileFree += m_isFull ? 0 : 1;
    const std::int64_t again = m_now + retryAfter->count();
    if (job.m_attempts < kAttempts && again <= job.m_firstAt + kGiveUpMs) {
      m_submissions.emplace(again, aJob);
    }
  }

  void EndTasks()
  {
    while (!m_ends.empty() && m_ends.top().first <= m_now) {
      const std::size_t id = m_ends.top().second;
      m_ends.pop();
      ++m_free;
      Job& job = m_jobs[id];
      --job.m_running;
      if (job.m_running + job.m_waiting > 0) {
        continue;
      }
      if (++job.m_step < kSteps) {
        job.m_waiting = kTasksPerStep;
        continue;
      }
      job.m_doneAt = m_now;
      m_policy.OnDone(IdOf(id), Now());
      std::erase(m_open, id);
    }
  }

  bool IsLate(const Job& aJob) const
  {
    constexpr int kMarginPercent = 130;
    constexpr int kPercent = 100;
    constexpr std::int64_t kOverheadMs = 250;
    const std::int64_t left = (kSteps - aJob.m_step) * kTask.count();
    return m_now + left * kMarginPercent / kPercent + kOverheadMs >
           aJob.m_acceptedAt + kDue.count();
  }

  void Start(std::size_t aJob, placement::PoolLoad& aLoad)
  {
    Job& job = m_jobs[aJob];
    if (job.m_step == 0 && job.m_waiting == kTasksPerStep) {
      m_policy.OnFirstStart(Millis{ m_now - job.m_acceptedAt }, Now());
    }
    std::uniform_int_distribution<std::int64_t> duration(
      kTask.count() * 7 / 10, kTask.count() * 13 / 10);
    --job.m_waiting;
    ++job.m_running;
    --m_free;
    m_ends.emplace(m_now + duration(m_random), aJob);
    aLoad.m_startedWork += 1000 * kTask.count();
  }

  void Place()
  {
    std::vector<std::tuple<bool, std::int64_t, std::size_t>> order;
    for (const std::size_t job : m_open) {
      if (m_jobs[job].m_waiting > 0) {
        order.emplace_back(IsLate(m_jobs[job]), m_jobs[job].m_acceptedAt, job);
      }
    }
    std::sort(order.begin(), order.end());
    PassResult pass;
    placement::PoolLoad& load = pass.m_loads[ServiceId{ "s" }];
    load.m_cpu = kCores * 1000;
    for (const auto& [isLate, acceptedAt, id] : order) {
      const Job& job = m_jobs[id];
      while (m_free > 0 && job.m_waiting > 0) {
        Start(id, load);
      }
      if (job.m_waiting > 0) {
        const std::int64_t tasks =
          job.m_waiting + (kSteps - 1 - job.m_step) * kTasksPerStep;
        auto& waiting = load.m_waiting[0];
        (isLate ? waiting.m_late : waiting.m_onTime) +=
          tasks * 1000 * kTask.count();
        pass.m_full.insert(ServiceId{ "s" });
      }
    }
    load.m_freeCpu = m_free * 1000;
    load.m_largestFreeCpu = std::min(m_free, 4) * 1000;
    m_isFull = !pass.m_full.empty();
    m_policy.OnPass(pass, Now());
  }

  Outcome Summarize()
  {
    const auto share = [&](const std::function<bool(const Job&)>& aIsSo) {
      return static_cast<double>(
               std::count_if(m_jobs.begin(), m_jobs.end(), aIsSo)) /
             static_cast<double>(m_jobs.size());
    };
    const auto isDoneIn = [](std::int64_t aMs) {
      return [aMs](const Job& aJob) {
        return aJob.m_doneAt >= 0 && aJob.m_doneAt <= aJob.m_firstAt + aMs;
      };
    };
    m_outcome.m_onTime = share(isDoneIn(kDue.count()));
    m_outcome.m_byLimit = share(isDoneIn(3 * kDue.count()));
    m_outcome.m_refused =
      share([](const Job& aJob) { return aJob.m_acceptedAt < 0; });
    m_outcome.m_acceptedNotDone = static_cast<int>(m_open.size());
    return m_outcome;
  }

  Policy& m_policy;
  std::mt19937_64 m_random;
  std::int64_t m_now = 0;
  std::vector<Job> m_jobs;
  Events m_submissions;
  Events m_ends;
  std::vector<std::size_t> m_open;
  int m_free = kCores;
  bool m_isFull = false;
  Outcome m_outcome;
};

/** Plays three seeds and prints the means. */
template<typename T>
Outcome
PlayAll(const char* aName, double aLoad, bool aHasValleys = false)
{
  constexpr int kSeeds = 3;
  Outcome sum;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    T policy;
    const Outcome outcome = Simulation(aLoad, aHasValleys, seed, policy).Play();
    sum.m_onTime += outcome.m_onTime / kSeeds;
    sum.m_byLimit += outcome.m_byLimit / kSeeds;
    sum.m_refused += outcome.m_refused / kSeeds;
    sum.m_refusedWhileFree += outcome.m_refusedWhileFree;
    sum.m_acceptedNotDone += outcome.m_acceptedNotDone;
  }
  UT_PRINT(StringFromFormat("load %.1f%s, %s: on time %.3f, by the limit %.3f, "
                            "refused %.3f",
                            aLoad,
                            aHasValleys ? " in peaks" : "",
                            aName,
                            sum.m_onTime,
                            sum.m_byLimit,
                            sum.m_refused));
  LONGS_EQUAL(0, sum.m_refusedWhileFree);
  LONGS_EQUAL(0, sum.m_acceptedNotDone);
  return sum;
}

} // namespace

TEST_GROUP(IntakeUnderLoad){};

// Guards against refusals that cost callers more than they save.
TEST(IntakeUnderLoad, DemandAroundAndBeyondCapacity_MoreJobsEndInTime)
{
  constexpr double kTolerance = 0.02;
  constexpr double kMaxInVain = 0.1;
  for (const double load : { 0.8, 1.0, 1.5, 3.0 }) {
    const Outcome all = PlayAll<RefuseNothing>("refuse nothing", load);
    const Outcome delay = PlayAll<ControlledDelay>("controlled delay", load);
    const Outcome end = PlayAll<PredictedEnd>("predicted end", load);
    CHECK(end.m_onTime >= all.m_onTime - kTolerance);
    CHECK(end.m_onTime >= delay.m_onTime);
    CHECK(end.m_byLimit >=
          std::max(all.m_byLimit, delay.m_byLimit) - kTolerance);
    // Callers that wait in vain, as they hear too late that there is nothing.
    CHECK(1 - end.m_byLimit - end.m_refused <= kMaxInVain);
    if (load < 1) {
      DOUBLES_EQUAL(0, end.m_refused, 0);
    }
    if (load > 1) {
      CHECK(1 - all.m_byLimit > 3 * kMaxInVain);
    }
  }
}

// Guards against refusing what a pool completes in time once a peak is over.
TEST(IntakeUnderLoad, ShortPeaks_WorkThatEndsInTheValleyIsAccepted)
{
  constexpr double kTolerance = 0.02;
  for (const double load : { 1.5, 2.0, 3.0, 5.0 }) {
    const Outcome all = PlayAll<RefuseNothing>("refuse nothing", load, true);
    PlayAll<ControlledDelay>("controlled delay", load, true);
    const Outcome end = PlayAll<PredictedEnd>("predicted end", load, true);
    CHECK(end.m_onTime >= all.m_onTime - kTolerance);
    CHECK(end.m_byLimit >= all.m_byLimit - kTolerance);
    if (load <= 2) {
      DOUBLES_EQUAL(0, end.m_refused, kTolerance);
    }
    if (load >= 5) {
      CHECK(end.m_byLimit >= all.m_byLimit + 2 * kTolerance);
    }
  }
}
