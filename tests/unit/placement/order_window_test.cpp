#include "bamboostile/placement/maintenance.h"
#include "bamboostile/placement/order_window.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::placement;

TEST_GROUP(OrderWindow)
{
  OrderWindow m_window{ 100 };
  std::uint64_t m_number = 0;
  TimePoint m_now{ Millis{ 1000 } };

  void Answer(int aOrders, Millis aAfter, InstanceAnswer aAnswer)
  {
    for (int i = 0; i < aOrders; ++i) {
      m_window.OnOrdered(++m_number, m_now);
      m_now += aAfter;
      m_window.OnAnswered(m_number, aAnswer, m_now);
    }
  }
};

TEST(OrderWindow, FastAnswers_KeepTheLeastLimit)
{
  Answer(20, Millis{ 50 }, InstanceAnswer::kAccepted);
  LONGS_EQUAL(kMaxUnansweredOrders, m_window.Limit());
}

TEST(OrderWindow, SlowAnswers_AllowTheOrdersOfOneAnswerTime)
{
  Answer(30, Millis{ 800 }, InstanceAnswer::kAccepted);
  CHECK(m_window.Limit() >= 78);
  CHECK(m_window.Limit() <= 80);
}

TEST(OrderWindow, VerySlowAnswers_AreLimited)
{
  Answer(30, Millis{ 5000 }, InstanceAnswer::kAccepted);
  LONGS_EQUAL(128, m_window.Limit());
}

// Guards against orders that pile up in front of a platform that was slow and
// then goes down.
TEST(OrderWindow, CallWithoutAnswer_ReturnsToTheLeastLimit)
{
  Answer(30, Millis{ 1000 }, InstanceAnswer::kAccepted);
  CHECK(m_window.Limit() > kMaxUnansweredOrders);
  Answer(1, Millis{ 3000 }, InstanceAnswer::kUnclear);
  LONGS_EQUAL(kMaxUnansweredOrders, m_window.Limit());
}

// An order that this leader drops says nothing about the platform.
TEST(OrderWindow, OrdersNotSent_LeaveTheLimitAsItIs)
{
  Answer(30, Millis{ 1000 }, InstanceAnswer::kAccepted);
  const std::size_t limit = m_window.Limit();
  Answer(30, Millis{ 250 }, InstanceAnswer::kNotSent);
  LONGS_EQUAL(limit, m_window.Limit());
}
