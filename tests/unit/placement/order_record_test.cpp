#include "bamboostile/placement/order_record.h"

#include "check.h"
#include "job_fixtures.h"

using namespace bamboostile;
using namespace job_fixtures;

/** The leader begins at 10 s; orders of two leaders must be 3 s apart. */
TEST_GROUP(OrderRecord)
{
  placement::OrderRecord m_record{ Millis{ 3000 } };
  InstanceId m_one{ "one" };
  InstanceId m_two{ "two" };

  void setup() override
  {
    m_record.Inherit({ m_one }, At(10'000));
  }

  std::size_t CountExpiredAt(std::int64_t aMs)
  {
    return m_record.TakeExpired(At(aMs)).size();
  }
};

TEST(OrderRecord, Inherited_ExpiresOnceAfterTheInterval)
{
  CHECK(m_record.IsInherited(m_one));
  CHECK_FALSE(m_record.IsInherited(m_two));
  LONGS_EQUAL(0, CountExpiredAt(12'900));
  LONGS_EQUAL(1, CountExpiredAt(13'000));
  LONGS_EQUAL(0, CountExpiredAt(13'100));
  CHECK_FALSE(m_record.IsInherited(m_one));
}

// A slow platform may execute an order until its answer has arrived, so the
// interval is measured from the answer.
TEST(OrderRecord, OrderNotAnswered_StaysOnRecord)
{
  m_record.OnOrdered(m_two);
  LONGS_EQUAL(1, CountExpiredAt(20'000));
  m_record.OnAnswered(m_two, At(20'000));
  LONGS_EQUAL(0, CountExpiredAt(22'900));
  LONGS_EQUAL(1, CountExpiredAt(23'000));
}

// Guards against a record that is removed with the other inherited ones and is
// then missing when the next leader begins.
TEST(OrderRecord, InheritedAndOrderedAgain_StaysUntilTheLaterOrderIsOld)
{
  m_record.OnOrdered(m_one);
  m_record.OnAnswered(m_one, At(12'000));
  LONGS_EQUAL(0, CountExpiredAt(13'000));
  LONGS_EQUAL(1, CountExpiredAt(15'000));
}
