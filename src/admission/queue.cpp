#include "bamboostile/admission/queue.h"

namespace bamboostile::admission {

namespace {

std::size_t
ClassIndex(Class aClass)
{
  return static_cast<std::size_t>(aClass);
}

} // namespace

void
Queue::Push(const Ticket& aTicket)
{
  m_classes[ClassIndex(aTicket.m_class)].insert(aTicket);
}

std::optional<Ticket>
Queue::Pop()
{
  for (std::set<Ticket>& waiting : m_classes) {
    if (!waiting.empty()) {
      const Ticket first = *waiting.begin();
      waiting.erase(waiting.begin());
      return first;
    }
  }
  return std::nullopt;
}

void
Queue::Remove(const Ticket& aTicket)
{
  m_classes[ClassIndex(aTicket.m_class)].erase(aTicket);
}

std::size_t
Queue::Size() const
{
  std::size_t size = 0;
  for (const std::set<Ticket>& waiting : m_classes) {
    size += waiting.size();
  }
  return size;
}

Duration
Queue::EstimateWait(const Ticket& aTicket, const ServiceLoad& aService) const
{
  // All requests of the same class count as ahead, even those with a later
  // deadline, because requests with earlier deadlines will still arrive. An
  // estimate that is too short makes an admitted request miss its deadline,
  // while one that is too long only refuses requests sooner.
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= ClassIndex(aTicket.m_class); ++i) {
    ahead += m_classes[i].size();
  }
  if (aService.m_capacity == 0 ||
      (ahead == 0 && aService.m_inFlight < aService.m_capacity)) {
    return Duration::zero();
  }
  return aService.m_meanServiceTime * static_cast<Duration::rep>(ahead + 1) /
         static_cast<Duration::rep>(aService.m_capacity);
}

std::vector<Ticket>
Queue::TakeExpired(Duration aMinimalTime, TimePoint aNow)
{
  std::vector<Ticket> late;
  for (std::set<Ticket>& waiting : m_classes) {
    while (!waiting.empty() &&
           waiting.begin()->m_deadline < aNow + aMinimalTime) {
      late.push_back(*waiting.begin());
      waiting.erase(waiting.begin());
    }
  }
  return late;
}

} // namespace bamboostile::admission
