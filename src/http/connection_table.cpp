#include "connection_table.h"

#include <bit>
#include <tuple>

namespace bamboostile::http {

namespace {

/** Giving up smaller responses, in bytes, would release next to nothing. */
constexpr std::uint64_t kLargeResponse = 16 * 1024;
/** Time in which the first request of a new connection can arrive. */
constexpr Millis kMinWait{ 500 };

} // namespace

ConnectionTable::ConnectionTable(PhaseTimeouts aTimeouts)
  : m_timeouts(aTimeouts)
{
}

void
ConnectionTable::Add(ConnectionId aId, TimePoint aNow)
{
  m_connections[aId] = { Phase::kIdle, aNow, aNow };
}

void
ConnectionTable::Remove(ConnectionId aId)
{
  m_connections.erase(aId);
}

void
ConnectionTable::Enter(ConnectionId aId, Phase aPhase, TimePoint aNow)
{
  Connection& connection = m_connections.at(aId);
  const bool isSameRequest =
    connection.m_phase == Phase::kReadingHead && aPhase == Phase::kReadingBody;
  connection.m_phase = aPhase;
  if (!isSameRequest) {
    connection.m_since = aNow;
  }
  if (aPhase == Phase::kIdle) {
    connection.m_waitingSince = aNow;
  }
}

void
ConnectionTable::SetBytes(ConnectionId aId, std::uint64_t aBytes)
{
  m_connections.at(aId).m_bytes = aBytes;
}

// A client that sends what it has begun holds little, or holds it for a short
// time: the largest go first, and of those of similar size the oldest. A
// response that is being written goes last.
std::optional<ConnectionId>
ConnectionTable::FindLargest() const
{
  const auto rank = [](const Connection& aConnection) {
    return std::tuple{ aConnection.m_phase != Phase::kWriting,
                       std::bit_width(aConnection.m_bytes),
                       -aConnection.m_since.time_since_epoch() };
  };
  const std::pair<const ConnectionId, Connection>* largest = nullptr;
  for (const auto& entry : m_connections) {
    const Phase phase = entry.second.m_phase;
    const bool holdsMemory =
      phase == Phase::kReadingHead || phase == Phase::kReadingBody ||
      (phase == Phase::kWriting && entry.second.m_bytes >= kLargeResponse);
    if (holdsMemory &&
        (largest == nullptr || rank(entry.second) > rank(largest->second))) {
      largest = &entry;
    }
  }
  return largest == nullptr ? std::nullopt : std::optional{ largest->first };
}

std::optional<ConnectionId>
ConnectionTable::FindLongestWaiting(TimePoint aNow) const
{
  std::optional<ConnectionId> longest;
  TimePoint since = aNow - kMinWait;
  for (const auto& [id, connection] : m_connections) {
    const Phase phase = connection.m_phase;
    if (phase == Phase::kDiscarding) {
      return id;
    }
    const bool isWaiting = phase == Phase::kIdle ||
                           phase == Phase::kReadingHead ||
                           phase == Phase::kReadingBody;
    if (isWaiting && connection.m_waitingSince <= since) {
      longest = id;
      since = connection.m_waitingSince;
    }
  }
  return longest;
}

std::vector<ConnectionId>
ConnectionTable::Expired(TimePoint aNow) const
{
  std::vector<ConnectionId> expired;
  for (const auto& [id, connection] : m_connections) {
    if (aNow - connection.m_since > TimeoutOf(connection.m_phase)) {
      expired.push_back(id);
    }
  }
  return expired;
}

Millis
ConnectionTable::TimeoutOf(Phase aPhase) const
{
  switch (aPhase) {
    case Phase::kIdle:
      return m_timeouts.m_idle;
    case Phase::kReadingHead:
      return m_timeouts.m_head;
    case Phase::kReadingBody:
      return m_timeouts.m_request;
    case Phase::kHandling:
      return m_timeouts.m_handle;
    case Phase::kWriting:
      return m_timeouts.m_write;
    case Phase::kDiscarding:
      return m_timeouts.m_discard;
  }
  return Millis{};
}

} // namespace bamboostile::http
