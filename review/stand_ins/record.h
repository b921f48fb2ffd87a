#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** The events of a case, in the order in which they were seen. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath)
    , m_startedAt(Clock::now())
  {
  }

  void Add(const std::string& aLine)
  {
    const std::lock_guard lock(m_mutex);
    m_file << NowMs() << " ms  " << aLine << std::endl;
  }

  std::int64_t NowMs() const
  {
    return std::chrono::duration_cast<Millis>(Clock::now() - m_startedAt)
      .count();
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  Clock::time_point m_startedAt;
};

} // namespace review
