#include "connection_table.h"

namespace bamboostile::http {

ConnectionTable::ConnectionTable(PhaseTimeouts aTimeouts)
  : m_timeouts(aTimeouts)
{
}

void
ConnectionTable::Add(ConnectionId aId, TimePoint aNow)
{
  m_connections[aId] = { Phase::kIdle, aNow };
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
