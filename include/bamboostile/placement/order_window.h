#pragma once

#include "bamboostile/placement/instance_answer.h"
#include "bamboostile/units/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace bamboostile::placement {

/**
 * @brief The moves that await an answer of the platform, and how many may.
 *
 * The limit is what the platform accepts within the time that its answers
 * currently take: with a fixed limit, slow answers reduce the rate of orders
 * although the platform would accept more.
 */
class OrderWindow
{
public:
  /** aRate: orders per second that are sent at most. */
  explicit OrderWindow(double aRate)
    : m_rate(aRate)
  {
  }

  void OnOrdered(std::uint64_t aNumber, TimePoint aNow);
  void OnAnswered(std::uint64_t aNumber,
                  InstanceAnswer aAnswer,
                  TimePoint aNow);

  bool IsFull() const { return m_orderedAt.size() >= Limit(); }
  std::size_t Unanswered() const { return m_orderedAt.size(); }
  std::size_t Limit() const;
  /** Mean time from the decision on an order to its answer; 0 until the first
   * answer. */
  Duration AnswerTime() const { return m_answerTime; }

private:
  double m_rate;
  std::map<std::uint64_t, TimePoint> m_orderedAt;
  Duration m_answerTime{};
};

} // namespace bamboostile::placement
