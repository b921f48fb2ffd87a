#include "job_fixtures.h"

#include "bamboostile/placement/order_effects.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::placement;
using job_fixtures::At;

TEST_GROUP(OrderEffects)
{
  OrderEffects m_effects{ Millis{ 3000 } };
  const InstanceId m_instance{ "i1" };

  bool MayOccurAfter(std::int64_t aAtMs) const
  {
    return m_effects.MayOccurAfter(m_instance, At(aAtMs));
  }

  void Send(std::int64_t aAtMs)
  {
    m_effects.OnSent(m_instance, At(aAtMs));
  }

  void Answer(InstanceAnswer aAnswer, std::int64_t aAtMs)
  {
    m_effects.OnAnswered(m_instance, aAnswer, At(aAtMs));
  }
};

TEST(OrderEffects, NothingSent_NoEffect)
{
  CHECK_FALSE(MayOccurAfter(0));
  Answer(InstanceAnswer::kNotSent, 100);
  CHECK_FALSE(MayOccurAfter(0));
}

TEST(OrderEffects, Unanswered_MayOccurAtAnyTime)
{
  Send(1000);
  CHECK(MayOccurAfter(60'000));
}

TEST(OrderEffects, Accepted_HasOccurredByTheAnswer)
{
  Send(1000);
  Answer(InstanceAnswer::kAccepted, 1200);
  CHECK(MayOccurAfter(1199));
  CHECK_FALSE(MayOccurAfter(1200));
}

TEST(OrderEffects, AnswerUnclear_MayOccurUntilMaxDelay)
{
  Send(1000);
  Answer(InstanceAnswer::kUnclear, 2500);
  CHECK(MayOccurAfter(3999));
  CHECK_FALSE(MayOccurAfter(4000));
}

TEST(OrderEffects, Refused_HasNoEffect)
{
  for (const InstanceAnswer answer : { InstanceAnswer::kBusy,
                                       InstanceAnswer::kNotApplicable,
                                       InstanceAnswer::kNotSent,
                                       InstanceAnswer::kSuperseded }) {
    Send(1000);
    Answer(answer, 1200);
    CHECK_FALSE(MayOccurAfter(0));
  }
}

// Guards against a refusal that hides an earlier order with a lost answer.
TEST(OrderEffects, RepeatedOrderRefused_EarlierOneMayStillOccur)
{
  Send(1000);
  Answer(InstanceAnswer::kUnclear, 1500);
  Send(1600);
  Answer(InstanceAnswer::kBusy, 1700);
  CHECK(MayOccurAfter(3999));
  CHECK_FALSE(MayOccurAfter(4000));
}

TEST(OrderEffects, InheritedFromEarlierLeader_MayOccurUntilMaxDelay)
{
  m_effects.Inherit(m_instance, At(1000));
  CHECK(MayOccurAfter(3999));
  CHECK_FALSE(MayOccurAfter(4000));
}
