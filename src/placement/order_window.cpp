#include "bamboostile/placement/order_window.h"

#include "bamboostile/placement/maintenance.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

/** Upper limit. A leader that has to send and record more orders at a time
 * delays its placement passes by tens of milliseconds. */
constexpr std::size_t kMaxLimit = 128;
/** One in this many parts of a new answer time enters the mean: it follows a
 * change within a few answers, and a single slow call changes it little. */
constexpr int kAnswerWeight = 5;

} // namespace

void
OrderWindow::OnOrdered(std::uint64_t aNumber, TimePoint aNow)
{
  m_orderedAt.emplace(aNumber, aNow);
}

// A call without an answer shows that the platform does not answer, not that it
// answers slowly: the limit returns to its least value, so that orders do not
// pile up in front of a platform that is down.
void
OrderWindow::OnAnswered(std::uint64_t aNumber,
                        InstanceAnswer aAnswer,
                        TimePoint aNow)
{
  const auto order = m_orderedAt.find(aNumber);
  if (order == m_orderedAt.end()) {
    return;
  }
  const Duration time = aNow - order->second;
  m_orderedAt.erase(order);
  if (aAnswer == InstanceAnswer::kUnclear) {
    m_answerTime = Duration{};
  } else if (aAnswer != InstanceAnswer::kNotSent) {
    m_answerTime += (time - m_answerTime) / kAnswerWeight;
  }
}

std::size_t
OrderWindow::Limit() const
{
  const std::chrono::duration<double> time = m_answerTime;
  const auto orders = static_cast<std::size_t>(m_rate * time.count());
  return std::clamp(orders, kMaxUnansweredOrders, kMaxLimit);
}

} // namespace bamboostile::placement
