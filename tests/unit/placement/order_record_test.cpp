#include "bamboostile/placement/order_record.h"

#include "check.h"
#include "job_fixtures.h"

using namespace bamboostile;
using namespace job_fixtures;

/** Leader since 10 s; orders of two leaders are to be 3 s apart. */
TEST_GROUP(OrderRecord)
{
  placement::OrderRecord m_record{ Millis{ 3000 } };
  InstanceId m_one{ "one" };
  InstanceId m_two{ "two" };

  void setup() override
  {
    m_record.Inherit({ m_one }, At(10'000));
  }

  std::size_t SettledAt(std::int64_t aMs)
  {
    return m_record.TakeSettled(At(aMs)).size();
  }
};

TEST(OrderRecord, Inherited_IsSettledAfterTheGap_Once)
{
  CHECK(m_record.IsInherited(m_one));
  CHECK_FALSE(m_record.IsInherited(m_two));
  LONGS_EQUAL(0, SettledAt(12'900));
  LONGS_EQUAL(1, SettledAt(13'000));
  LONGS_EQUAL(0, SettledAt(13'100));
  CHECK_FALSE(m_record.IsInherited(m_one));
}

// The platform is slow: an order may be obeyed until its answer has come, so
// the gap counts from there.
TEST(OrderRecord, OrderNotAnswered_StaysOnRecord)
{
  m_record.OnOrdered(m_two);
  LONGS_EQUAL(1, SettledAt(20'000));
  m_record.OnAnswered(m_two, At(20'000));
  LONGS_EQUAL(0, SettledAt(22'900));
  LONGS_EQUAL(1, SettledAt(23'000));
}

// Forgotten with the rest of what was inherited, it would be missing when the
// next leader looks.
TEST(OrderRecord, InheritedAndOrderedAgain_StaysUntilTheLaterOrderIsOld)
{
  m_record.OnOrdered(m_one);
  m_record.OnAnswered(m_one, At(12'000));
  LONGS_EQUAL(0, SettledAt(13'000));
  LONGS_EQUAL(1, SettledAt(15'000));
}
