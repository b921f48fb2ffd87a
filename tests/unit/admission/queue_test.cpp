#include "bamboostile/admission/queue.h"
#include "bamboostile/admission/retry_budget.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::admission;

namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

Ticket
MakeTicket(std::uint64_t aId, int aDeadlineMs, Class aClass = Class::kNormal)
{
  return { aClass, kStart + Millis{ aDeadlineMs }, aId };
}

} // namespace

TEST_GROUP(Queue)
{
  admission::Queue m_queue;
};

TEST(Queue, Mixed_Popped_UrgentFirstThenEarliestDeadline)
{
  m_queue.Push(MakeTicket(1, 100, Class::kBatch));
  m_queue.Push(MakeTicket(2, 900));
  m_queue.Push(MakeTicket(3, 300));
  m_queue.Push(MakeTicket(4, 950, Class::kUrgent));
  for (const std::uint64_t expected : { 4, 3, 2, 1 }) {
    LONGS_EQUAL(expected, m_queue.Pop()->m_id);
  }
  CHECK_FALSE(m_queue.Pop().has_value());
}

TEST(Queue, Estimate_GrowsWithThoseAheadAndShrinksWithCapacity)
{
  const ServiceLoad busy{ 4, 4, Millis{ 100 }, Millis{ 200 } };
  const Duration empty = m_queue.EstimateWait(MakeTicket(9, 900), busy);
  for (std::uint64_t i = 1; i <= 8; ++i) {
    m_queue.Push(MakeTicket(i, 500));
  }
  const Duration full = m_queue.EstimateWait(MakeTicket(9, 900), busy);
  CHECK(full > empty);
  const ServiceLoad wide{ 8, 8, Millis{ 100 }, Millis{ 200 } };
  CHECK(m_queue.EstimateWait(MakeTicket(9, 900), wide) < full);
  const Duration urgent =
    m_queue.EstimateWait(MakeTicket(9, 900, Class::kUrgent), busy);
  CHECK(urgent < full);
}

TEST(Queue, FreeCapacity_NothingWaiting_EstimateIsZero)
{
  const ServiceLoad idle{ 4, 1, Millis{ 100 }, Millis{ 200 } };
  CHECK(m_queue.EstimateWait(MakeTicket(1, 900), idle) == Duration::zero());
}

TEST(Queue, Late_TakenOut_OthersStay)
{
  m_queue.Push(MakeTicket(1, 10));
  m_queue.Push(MakeTicket(2, 500));
  m_queue.Push(MakeTicket(3, 10, Class::kBatch));
  const auto late = m_queue.TakeExpired(Millis{ 20 }, kStart);
  LONGS_EQUAL(2, late.size());
  LONGS_EQUAL(1, m_queue.Size());
}

TEST_GROUP(RetryBudget){};

// Guards against retries that multiply the load on the remaining upstreams when
// every attempt fails.
TEST(RetryBudget, AllAttemptsFail_RetriesStayWithinShare)
{
  RetryBudget budget(10);
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.OnFirstAttempt();
    retries += budget.TakeRetry() ? 1 : 0;
  }
  CHECK(retries >= 1000);
  CHECK(retries <= 1011);
}

TEST(RetryBudget, ZeroPercent_NoRetryAtAll)
{
  RetryBudget budget(0);
  budget.OnFirstAttempt();
  CHECK_FALSE(budget.TakeRetry());
}
