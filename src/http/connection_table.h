#pragma once

#include "bamboostile/units/strong.h"
#include "bamboostile/units/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bamboostile::http {

using ConnectionId = Strong<struct ConnectionIdTag, std::uint64_t>;

/** What a connection of a server is doing. */
enum class Phase
{
  /** Open, without a byte of its next request. */
  kIdle,
  kReadingHead,
  kReadingBody,
  /** Its request is with the handler. */
  kHandling,
  kWriting,
  /** Answered before its request was read; what still arrives is dropped. */
  kDiscarding
};

/** Longest times in each phase. */
struct PhaseTimeouts
{
  Millis m_idle{};
  /** From the first byte of a request to the end of its head. */
  Millis m_head{};
  /** From the first byte of a request to its last. */
  Millis m_request{};
  Millis m_handle{};
  Millis m_write{};
  Millis m_discard{};
};

/** Reads the clock of connections. It does not count the time in which the
 * machine is suspended: what clients sent meanwhile is read first. */
inline TimePoint
SteadyNow()
{
  return TimePoint{ std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()) };
}

/** Decides, without I/O, which connections of a server are closed. */
class ConnectionTable
{
public:
  explicit ConnectionTable(PhaseTimeouts aTimeouts);

  void Add(ConnectionId aId, TimePoint aNow);
  void Remove(ConnectionId aId);
  /** Moving from a request's head to its body extends no timeout. */
  void Enter(ConnectionId aId, Phase aPhase, TimePoint aNow);
  std::size_t Size() const { return m_connections.size(); }
  /** Bytes that the connection holds beside what its handler has. */
  void SetBytes(ConnectionId aId, std::uint64_t aBytes);
  /** Returns a connection to close when memory is short; nothing if all of it
   * is with the handler. */
  std::optional<ConnectionId> FindLargest() const;
  /** Returns a connection to close when there is no place for a new one: the
   * one that has been without a whole request for the longest time. */
  std::optional<ConnectionId> FindLongestWaiting(TimePoint aNow) const;
  /** Returns the connections that have been in a phase for too long. */
  std::vector<ConnectionId> Expired(TimePoint aNow) const;

private:
  struct Connection
  {
    Phase m_phase = Phase::kIdle;
    TimePoint m_since;
    /** When the connection was opened or its last response was written. */
    TimePoint m_waitingSince;
    std::uint64_t m_bytes = 0;
  };

  Millis TimeoutOf(Phase aPhase) const;

  PhaseTimeouts m_timeouts;
  std::unordered_map<ConnectionId, Connection> m_connections;
};

} // namespace bamboostile::http
