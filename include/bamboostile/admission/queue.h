#pragma once

#include "bamboostile/units/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace bamboostile::admission {

enum class Class : std::uint8_t
{
  kUrgent,
  kNormal,
  kBatch,
};

constexpr std::size_t kClassCount = 3;

/** One waiting request: its class, its deadline, and the id its owner knows
 * it by. */
struct Ticket
{
  Class m_class = Class::kNormal;
  TimePoint m_deadline;
  std::uint64_t m_id = 0;

  auto operator<=>(const Ticket&) const = default;
};

/** What the queue knows about how fast it is served. */
struct Service
{
  /** Attempts that can be under way together, and are. */
  std::uint32_t m_capacity = 0;
  std::uint32_t m_inFlight = 0;
  Duration m_meanTime{};
  /** Most requests take no longer than this. */
  Duration m_usualTime{};
};

/**
 * @brief The waiting requests of one service at one entry: by class, then by
 * deadline.
 */
class Queue
{
public:
  void Push(const Ticket& aTicket);
  std::optional<Ticket> Pop();
  void Remove(const Ticket& aTicket);

  std::size_t Size() const;
  bool IsEmpty() const { return Size() == 0; }

  /** How long a newcomer of this class and deadline would wait. */
  Duration EstimateWait(const Ticket& aTicket, const Service& aService) const;

  /** Takes out those that cannot make their deadline any more, were they
   * started now. */
  std::vector<Ticket> TakeLate(Duration aMinimalTime, TimePoint aNow);

private:
  std::array<std::set<Ticket>, kClassCount> m_classes;
};

} // namespace bamboostile::admission
