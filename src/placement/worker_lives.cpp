#include "bamboostile/placement/workers.h"

#include <algorithm>

namespace bamboostile::placement {

namespace {

Host
HostOf(const WorkerReport& aReport)
{
  if (aReport.m_instance.Get().empty()) {
    return aReport.m_worker.m_id;
  }
  return aReport.m_instance;
}

} // namespace

const std::vector<WorkerLife>&
WorkerTable::LivesOf(const InstanceId& aInstance) const
{
  static const std::vector<WorkerLife> kNone;
  const auto found = m_lives.find(aInstance);
  return found == m_lives.end() ? kNone : found->second;
}

bool
WorkerTable::IsContested(const InstanceId& aInstance) const
{
  const auto& lives = LivesOf(aInstance);
  const auto isHeard = [&](const WorkerLife& aLife) {
    return !Find(aLife)->m_silent;
  };
  return m_contenders.contains(aInstance) ||
         std::count_if(lives.begin(), lives.end(), isHeard) > 1;
}

bool
WorkerTable::HasLaterLife(const Worker& aWorker) const
{
  if (m_contenders.contains(HostOf(aWorker.m_last))) {
    return true;
  }
  const auto& lives = LivesOf(aWorker.m_last.m_instance);
  return std::any_of(lives.begin(), lives.end(), [&](const WorkerLife& aLife) {
    return Find(aLife)->m_firstHeardAt > aWorker.m_heardAt;
  });
}

std::optional<WorkerLife>
WorkerTable::FindOnlyLife(const WorkerId& aWorker) const
{
  std::optional<WorkerLife> only;
  std::size_t count = 0;
  const auto add = [&](const auto& aLives, const auto& aLifeOf) {
    const auto first = aLives.lower_bound(WorkerLife{ aWorker });
    for (auto it = first; it != aLives.end(); ++it) {
      const WorkerLife& life = aLifeOf(*it);
      if (life.m_id != aWorker) {
        break;
      }
      only = life;
      ++count;
    }
  };
  const auto ofEntry = [](const auto& aEntry) -> const WorkerLife& {
    return aEntry.first;
  };
  const auto ofLife = [](const WorkerLife& aLife) -> const WorkerLife& {
    return aLife;
  };
  add(m_workers, ofEntry);
  add(m_retired.All(), ofLife);
  add(m_superseded.All(), ofLife);
  return count == 1 ? only : std::nullopt;
}

// A report of an early life may arrive after that life has ended. Taken for a
// new one, it would end the runs of a worker that is cut off and runs on, and
// they would run twice; so a life has to prove that it follows the occupant.
WorkerTable::Admission
WorkerTable::Admit(const WorkerReport& aReport,
                   const jobs::Book& aBook,
                   TimePoint aNow,
                   WallTime aWall,
                   Heard& aHeard)
{
  const WorkerLife& life = aReport.m_worker;
  Admission admission;
  if (!life.SaysStart()) {
    const auto next = m_workers.upper_bound(life);
    const bool isKnownToSay =
      next != m_workers.end() && next->first.m_id == life.m_id;
    if (isKnownToSay) {
      admission.m_ignored = Ignored::kUnproven;
    }
    return admission;
  }
  Occupant& occupant = FindOccupant(aReport, aBook, aNow);
  if (occupant.m_life != life) {
    if (!IsSuccessor(aReport, occupant, aNow)) {
      admission.m_ignored = Ignored::kUnproven;
      return admission;
    }
    const TimePoint knownSince = occupant.m_knownSince;
    admission.m_fitness =
      Supersede(occupant.m_life, aReport, aBook, aNow, aWall, aHeard);
    m_superseded.Remove(life);
    m_occupants[HostOf(aReport)] = { life, knownSince };
  }
  m_contenders.erase(HostOf(aReport));
  return admission;
}

// Of lives that an earlier leader knew, only those with runs on record are
// known to this one.
WorkerTable::Occupant&
WorkerTable::FindOccupant(const WorkerReport& aReport,
                          const jobs::Book& aBook,
                          TimePoint aNow)
{
  if (!m_inherited) {
    m_inherited.emplace();
    for (const auto& [life, tasks] : aBook.Placed()) {
      m_inherited->emplace(life.m_id, life);
    }
  }
  const auto [found, isNew] = m_occupants.try_emplace(
    HostOf(aReport), Occupant{ aReport.m_worker, aNow });
  const auto inherited = m_inherited->find(aReport.m_worker.m_id);
  if (inherited != m_inherited->end()) {
    if (isNew && inherited->second.SaysStart()) {
      found->second = { inherited->second, m_leaderSince };
    }
    m_inherited->erase(inherited);
  }
  return found->second;
}

// What has been followed for longer than reports can be late has no earlier
// life that is not known; the time of day tells the next one then from one that
// was missed in between. Otherwise a life proves itself by going on reporting
// while the occupant is silent. One that was superseded has lost its runs: it
// is listened to again only when its successor's have ended as well.
bool
WorkerTable::IsSuccessor(const WorkerReport& aReport,
                         const Occupant& aOccupant,
                         TimePoint aNow)
{
  const WorkerLife& life = aReport.m_worker;
  const auto [found, isNew] = m_contenders[HostOf(aReport)].try_emplace(
    life, Contender{ aNow, aNow, aReport.m_sequence });
  Contender& contender = found->second;
  if (!isNew && aReport.m_sequence <= contender.m_sequence) {
    return false;
  }
  contender.m_heardAt = aNow;
  contender.m_sequence = aReport.m_sequence;
  const bool hasGoneOn = aNow >= contender.m_since + m_options.m_confirmLife;
  const Worker* worker = Find(aOccupant.m_life);
  if (m_superseded.Contains(life)) {
    return hasGoneOn && (worker == nullptr || worker->m_silent);
  }
  const bool isFollowed =
    aNow >= aOccupant.m_knownSince + m_options.m_lateReports;
  return hasGoneOn ||
         (isFollowed && life.m_startedAt > aOccupant.m_life.m_startedAt);
}

Fitness
WorkerTable::Supersede(WorkerLife aPrevious,
                       const WorkerReport& aReport,
                       const jobs::Book& aBook,
                       TimePoint aNow,
                       WallTime aWall,
                       Heard& aHeard)
{
  Fitness fitness;
  const auto lost = m_workers.find(aPrevious);
  if (lost != m_workers.end()) {
    Worker& worker = lost->second;
    if (!worker.m_silent) {
      NoteLoss(worker, LossCause::kLaterLife, aBook, aNow);
    }
    if (!worker.m_lostInTrial) {
      m_recentLosses.Add(worker.m_heardAt);
    }
    fitness = worker.m_fitness;
  } else if (const auto placed = aBook.Placed().find(aPrevious);
             placed != aBook.Placed().end()) {
    m_lost.push_back({ aPrevious,
                       aReport.m_instance,
                       LossCause::kLaterLife,
                       aNow - m_leaderSince,
                       placed->second.size() });
  }
  aHeard.m_ends = EndAll(aPrevious, aReport.m_instance, aBook, aWall);
  aHeard.m_changed = true;
  Forget(aPrevious);
  (aPrevious.SaysStart() ? m_superseded : m_retired).Add(aPrevious);
  aHeard.m_superseded = std::move(aPrevious);
  return fitness;
}

void
WorkerTable::ForgetContenders(TimePoint aNow)
{
  for (auto& [host, lives] : m_contenders) {
    std::erase_if(lives, [&](const auto& aEntry) {
      return aNow > aEntry.second.m_heardAt + LongestHold();
    });
  }
  std::erase_if(m_contenders,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

// A damaged report may have named another instance since the first one.
void
WorkerTable::Forget(const WorkerLife& aWorker)
{
  m_workers.erase(aWorker);
  for (auto& [instance, lives] : m_lives) {
    std::erase(lives, aWorker);
  }
  std::erase_if(m_lives,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  std::erase_if(m_occupants, [&](const auto& aEntry) {
    return aEntry.second.m_life == aWorker;
  });
}

std::vector<jobs::EndRun>
WorkerTable::Retire(const WorkerLife& aWorker,
                    const jobs::Book& aBook,
                    WallTime aWall)
{
  m_retired.Add(aWorker);
  const Worker* worker = Find(aWorker);
  const InstanceId instance =
    worker == nullptr ? InstanceId{} : worker->m_last.m_instance;
  auto ends = EndAll(aWorker, instance, aBook, aWall);
  Forget(aWorker);
  return ends;
}

// The life that an order was aimed at may have ended before, unnoticed, and the
// next one have been heard while the order was under way. That one has ended
// too, and nothing it got will ever run.
std::vector<jobs::EndRun>
WorkerTable::RetireInstance(const WorkerLife& aWorker,
                            TimePoint aHeardBefore,
                            const jobs::Book& aBook,
                            WallTime aWall)
{
  std::vector<WorkerLife> ended;
  if (const Worker* worker = Find(aWorker)) {
    for (const WorkerLife& life : LivesOf(worker->m_last.m_instance)) {
      if (life != aWorker && Find(life)->m_firstHeardAt < aHeardBefore) {
        ended.push_back(life);
      }
    }
  }
  auto ends = Retire(aWorker, aBook, aWall);
  for (const WorkerLife& life : ended) {
    const auto more = Retire(life, aBook, aWall);
    ends.insert(ends.end(), more.begin(), more.end());
  }
  return ends;
}

} // namespace bamboostile::placement
