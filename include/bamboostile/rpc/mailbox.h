#pragma once

#include <kj/async.h>

#include <mutex>
#include <utility>
#include <vector>

namespace bamboostile::rpc {

/**
 * @brief Passes values from any thread to the one KJ event loop that owns it.
 */
template<typename T>
class Mailbox
{
public:
  /** May be called from any thread. */
  void Put(T aValue)
  {
    const std::lock_guard lock(m_mutex);
    m_values.push_back(std::move(aValue));
    if (m_waiting.get() != nullptr) {
      m_waiting->fulfill();
      m_waiting = nullptr;
    }
  }

  /** Returns all values since the last call. Must be called on the loop's
   * thread, one call at a time. */
  kj::Promise<std::vector<T>> Take()
  {
    const std::lock_guard lock(m_mutex);
    if (!m_values.empty()) {
      return std::exchange(m_values, {});
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    m_waiting = kj::mv(pair.fulfiller);
    return pair.promise.then([this]() {
      const std::lock_guard relock(m_mutex);
      return std::exchange(m_values, {});
    });
  }

private:
  std::mutex m_mutex;
  std::vector<T> m_values;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_waiting;
};

} // namespace bamboostile::rpc
