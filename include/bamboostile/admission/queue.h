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

/** A waiting request: its class, its deadline and the id that the caller of the
 * queue assigned to it. */
struct Ticket
{
  Class m_class = Class::kNormal;
  TimePoint m_deadline;
  std::uint64_t m_id = 0;

  auto operator<=>(const Ticket&) const = default;
};

/** Capacity, load and service times of the service behind a queue. */
struct ServiceLoad
{
  /** Maximum number of concurrent attempts. */
  std::uint32_t m_capacity = 0;
  /** Attempts in flight. */
  std::uint32_t m_inFlight = 0;
  Duration m_meanServiceTime{};
  /** Upper bound of the time that most requests take. */
  Duration m_maxUsualServiceTime{};
};

/**
 * @brief The waiting requests of one service at one entry, ordered by class,
 * then by deadline.
 */
class Queue
{
public:
  void Push(const Ticket& aTicket);
  std::optional<Ticket> Pop();
  void Remove(const Ticket& aTicket);

  std::size_t Size() const;
  bool IsEmpty() const { return Size() == 0; }

  /** Estimates how long a new request would wait. */
  Duration EstimateWait(const Ticket& aTicket,
                        const ServiceLoad& aService) const;

  /** Removes and returns the requests that would miss their deadline even if
   * they were started now. */
  std::vector<Ticket> TakeExpired(Duration aMinimalTime, TimePoint aNow);

private:
  std::array<std::set<Ticket>, kClassCount> m_classes;
};

} // namespace bamboostile::admission
