#pragma once

#include <algorithm>
#include <cstdint>

namespace bamboostile::admission {

/**
 * @brief Limits retries to a share of first attempts.
 *
 * When a service is down, every attempt fails, and unlimited retries would
 * multiply the load on its remaining upstreams. The initial tokens let a
 * service with little traffic retry at all.
 */
class RetryBudget
{
public:
  explicit RetryBudget(std::uint32_t aPercent = 10)
    : m_percent(aPercent)
  {
  }

  void SetPercent(std::uint32_t aPercent) { m_percent = aPercent; }

  void OnFirstAttempt()
  {
    m_tokens = std::min(m_tokens + m_percent / kPercentDivisor, kMaxTokens);
  }

  bool TakeRetry()
  {
    if (m_percent == 0 || m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

private:
  static constexpr double kPercentDivisor = 100.0;
  static constexpr double kInitialTokens = 10.0;
  static constexpr double kMaxTokens = 50.0;

  std::uint32_t m_percent;
  double m_tokens = kInitialTokens;
};

} // namespace bamboostile::admission
