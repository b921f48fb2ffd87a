#pragma once

#include "bamboostile/outcome/ledger.h"
#include "bamboostile/request/engine.h"

#include <memory>
#include <random>
#include <set>

namespace bamboostile::test {

struct EntryFaults
{
  /** A call to the control group is lost, before or after its commit. */
  double m_controlLoss = 0;
  /** An upstream cannot be connected to. */
  double m_refuse = 0;
  /** It runs the request, and the answer never comes whole. */
  double m_cutAnswer = 0;
  /** It answers that it did not run the request. */
  double m_provesNotRun = 0;
  Duration m_maxControlDelay = Millis{ 10 };
  Duration m_maxNetDelay = Millis{ 5 };
  Duration m_maxServiceTime = Millis{ 60 };
};

/** What one copy of a request was told. */
struct Statement
{
  RequestId m_request;
  std::uint32_t m_attempt = 1;
  outcome::State m_state = outcome::State::kUnknown;
  request::Reason m_reason = request::Reason::kNone;
  /** The request whose answer this is, where there is one. */
  std::optional<RequestId> m_answers;
  TimePoint m_at;
  bool m_mayRepeat = false;
};

/**
 * @brief A few request engines, one record of requests, and upstreams that
 * count what they run.
 *
 * Holds the callers' statements against the runs: this is the naive model.
 */
class Entries
{
public:
  Entries(std::size_t aEntries,
          std::size_t aUpstreams,
          std::uint64_t aSeed,
          EntryFaults aFaults);

  /** One copy of a request arrives at an entry. */
  void Arrive(std::size_t aEntry,
              const RequestId& aRequest,
              bool aIdempotent,
              std::uint32_t aAttempt = 1,
              Duration aTimeout = Millis{ 1000 },
              bool aKeyed = true);
  void Run(Duration aTime);
  /** The process is gone with all it knew; a new one takes its place. */
  void Restart(std::size_t aEntry);
  void Freeze(std::size_t aEntry, bool aFrozen);
  /** The entry gets no lease and no answer from the control group. */
  void CutControl(std::size_t aEntry, bool aCut);
  void SetFaults(EntryFaults aFaults) { m_faults = aFaults; }
  void SetCordon(std::size_t aUpstream, bool aCordoned);

  const std::vector<Statement>& Statements() const { return m_statements; }
  std::uint64_t RunsOf(const RequestId& aRequest) const;
  /** Compares all statements with all runs; empty if they agree. */
  std::string Contradiction() const;
  request::Engine& At(std::size_t aEntry)
  {
    return *m_entries[aEntry].m_engine;
  }
  outcome::Ledger& Ledger() { return m_ledger; }
  TimePoint Now() const { return m_now; }
  std::mt19937_64& Random() { return m_random; }
  std::size_t OpenCopies() const;
  /** Runs that started at an upstream later than it was allowed to. */
  const std::vector<std::string>& LateStarts() const { return m_lateStarts; }

private:
  struct Copy
  {
    RequestId m_request;
    std::uint32_t m_attempt = 1;
    bool m_mayRepeat = false;
    std::optional<RequestId> m_answerOf;
  };

  struct Entry
  {
    std::unique_ptr<request::Engine> m_engine;
    outcome::EntryId m_id;
    std::uint64_t m_life = 0;
    bool m_frozen = false;
    bool m_cut = false;
    TimePoint m_leaseUntil;
    std::map<request::LocalId, Copy> m_copies;
  };

  struct Event
  {
    /** Unset for events of the world, which no freeze delays. */
    std::optional<std::size_t> m_entry;
    std::uint64_t m_life = 0;
    std::function<void()> m_run;
  };

  struct Runs
  {
    std::map<std::uint32_t, std::uint64_t> m_byAttempt;
    std::uint64_t m_total = 0;
  };

  void StartLife(std::size_t aEntry);
  void GrantLeases();
  void Pump(std::size_t aEntry);
  void Carry(std::size_t aEntry, const request::AskBegin& aAsk);
  void Carry(std::size_t aEntry, const request::AskRecord& aAsk);
  void Carry(std::size_t aEntry, const request::Dispatch& aDispatch);
  void Carry(std::size_t aEntry, const request::Relay& aRelay);
  void Carry(std::size_t aEntry, const request::Resolve& aResolve);
  void Carry(std::size_t aEntry, const request::Conclude& aConclude);
  void State(std::size_t aEntry,
             request::LocalId aLocal,
             outcome::State aState,
             request::Reason aReason);
  void After(Duration aDelay, std::function<void()> aRun);
  void AfterAt(std::size_t aEntry, Duration aDelay, std::function<void()> aRun);
  bool IsGone(const outcome::EntryId& aHolder) const;
  fleet::View MakeView() const;
  double Chance();
  Duration UpTo(Duration aMost);

  std::mt19937_64 m_random;
  EntryFaults m_faults;
  std::size_t m_upstreams;
  std::set<std::size_t> m_cordoned;
  std::map<InstanceId, TimePoint> m_cordonedAt;
  TimePoint m_now{ std::chrono::hours{ 1 } };
  std::vector<Entry> m_entries;
  std::multimap<TimePoint, Event> m_events;
  outcome::Ledger m_ledger;
  Index m_index;
  Index m_revision{ 1 };
  std::uint64_t m_lastLocal = 0;
  std::uint64_t m_lastIncarnation = 0;
  std::map<RequestId, Runs> m_runs;
  std::map<RequestId, bool> m_mayRepeat;
  std::vector<Statement> m_statements;
  std::vector<std::string> m_lateStarts;
};

} // namespace bamboostile::test
