#include "bamboostile/http/memory_budget.h"

#include "check.h"

using namespace bamboostile;
using http::MemoryAccount;
using http::MemoryBudget;
using http::Reservation;

TEST_GROUP(MemoryBudget)
{
  std::shared_ptr<MemoryBudget> m_budget = std::make_shared<MemoryBudget>(1000);
  int m_shedCalls = 0;
  std::shared_ptr<MemoryAccount> m_first = Open();
  std::shared_ptr<MemoryAccount> m_second = Open();

  std::shared_ptr<MemoryAccount> Open()
  {
    return std::make_shared<MemoryAccount>(m_budget,
                                           [this]() { ++m_shedCalls; });
  }

  void teardown() override
  {
    m_first->Detach();
    m_second->Detach();
  }
};

TEST(MemoryBudget, WithinLimit_OneListenerMayUseAll)
{
  m_first->Add(1000);
  CHECK(!m_first->MustShed());
  LONGS_EQUAL(0, m_shedCalls);
}

// Guards against a crowd at one listener that leaves none to the other.
TEST(MemoryBudget, OtherListenerNeedsItsShare_LargerOneSheds)
{
  m_first->Add(1000);
  m_second->Add(100);
  CHECK(!m_second->MustShed());
  CHECK(m_first->MustShed());
  LONGS_EQUAL(1, m_shedCalls);
  m_first->Remove(100);
  CHECK(!m_first->MustShed());
}

TEST(MemoryBudget, ListenerHasGone_OtherMayUseAll)
{
  m_second->Detach();
  m_first->Add(1001);
  CHECK(m_first->MustShed());
  m_first->Remove(1);
  CHECK(!m_first->MustShed());
}

TEST(MemoryBudget, ReservationEnds_BytesAreReleased)
{
  {
    Reservation reservation(m_first);
    reservation.Resize(1200);
    CHECK(m_first->MustShed());
    Reservation moved = std::move(reservation);
    LONGS_EQUAL(1200, moved.Bytes());
  }
  CHECK(!m_first->MustShed());
  m_first->Add(1000);
  CHECK(!m_first->MustShed());
}
