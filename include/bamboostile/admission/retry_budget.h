#pragma once

#include <algorithm>
#include <cstdint>

namespace bamboostile::admission {

/**
 * @brief Retries allowed as a share of first attempts.
 *
 * When a service is down, every attempt fails; unlimited retries would then
 * multiply the load on what is left of it. A small reserve lets a quiet
 * service retry at all.
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
    m_tokens = std::min(m_tokens + m_percent / kHundred, kCeiling);
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
  static constexpr double kHundred = 100.0;
  static constexpr double kReserve = 10.0;
  static constexpr double kCeiling = 50.0;

  std::uint32_t m_percent;
  double m_tokens = kReserve;
};

} // namespace bamboostile::admission
