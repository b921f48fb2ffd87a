#pragma once

#include "bamboostile/outcome/ledger.h"
#include "bamboostile/request/engine.h"

#include <memory>
#include <random>
#include <set>

namespace bamboostile::test {

/** Probabilities of faults and upper limits of delays. */
struct EntryFaults
{
  /** Probability that a call to the control group is lost, before or after its
   * commit. */
  double m_controlLoss = 0;
  /** Probability that a connection to an upstream fails. */
  double m_refuse = 0;
  /** Probability that an upstream runs a request but its answer is cut off. */
  double m_cutAnswer = 0;
  /** Probability that an upstream answers that it did not run the request. */
  double m_provesNotRun = 0;
  Duration m_maxControlDelay = Millis{ 10 };
  Duration m_maxNetDelay = Millis{ 5 };
  Duration m_maxServiceTime = Millis{ 60 };
};

/** The final answer to one copy of a request. */
struct Statement
{
  RequestId m_request;
  std::uint32_t m_attempt = 1;
  outcome::State m_state = outcome::State::kUnknown;
  request::Reason m_reason = request::Reason::kNone;
  /** The request whose answer was returned, if any. */
  std::optional<RequestId> m_answers;
  TimePoint m_at;
  bool m_mayRepeat = false;
};

/**
 * @brief Simulates several request engines, one ledger of requests, and
 * upstreams that count the runs of each request.
 *
 * This is the naive model: it compares the answers to callers with the runs.
 */
class Entries
{
public:
  Entries(std::size_t aEntries,
          std::size_t aUpstreams,
          std::uint64_t aSeed,
          EntryFaults aFaults);

  /** Delivers one copy of a request to an entry. */
  void Arrive(std::size_t aEntry,
              const RequestId& aRequest,
              bool aIdempotent,
              std::uint32_t aAttempt = 1,
              Duration aTimeout = Millis{ 1000 },
              bool aKeyed = true);
  void Run(Duration aTime);
  /** Replaces the entry's process by a new one without its state. */
  void Restart(std::size_t aEntry);
  void Freeze(std::size_t aEntry, bool aFrozen);
  /** Withholds leases and answers of the control group from the entry. */
  void CutControl(std::size_t aEntry, bool aCut);
  void SetFaults(EntryFaults aFaults) { m_faults = aFaults; }
  void SetCordon(std::size_t aUpstream, bool aCordoned);

  const std::vector<Statement>& Statements() const { return m_statements; }
  std::uint64_t RunsOf(const RequestId& aRequest) const;
  /** Compares all statements with all runs; returns an empty string if they
   * agree. */
  std::string Contradiction() const;
  request::Engine& At(std::size_t aEntry)
  {
    return *m_entries[aEntry].m_engine;
  }
  outcome::Ledger& Ledger() { return m_ledger; }
  TimePoint Now() const { return m_now; }
  std::mt19937_64& Random() { return m_random; }
  std::size_t OpenCopies() const;
  /** Upstreams that got a request more than 2 s after they were cordoned. */
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
    std::uint64_t m_incarnationCount = 0;
    bool m_frozen = false;
    bool m_cutFromControl = false;
    TimePoint m_leaseUntil;
    std::map<request::LocalId, Copy> m_copies;
  };

  struct Event
  {
    /** Unset for events outside the entries, which a freeze doesn't delay. */
    std::optional<std::size_t> m_entry;
    std::uint64_t m_incarnationCount = 0;
    std::function<void()> m_run;
  };

  struct Runs
  {
    std::map<std::uint32_t, std::uint64_t> m_byAttempt;
    std::uint64_t m_total = 0;
  };

  void StartIncarnation(std::size_t aEntry);
  void GrantLeases();
  void Pump(std::size_t aEntry);
  void Execute(std::size_t aEntry, const request::BeginAttempt& aAsk);
  void Execute(std::size_t aEntry, const request::QueryRecord& aAsk);
  void Execute(std::size_t aEntry, const request::Dispatch& aDispatch);
  void Execute(std::size_t aEntry, const request::Relay& aRelay);
  void Execute(std::size_t aEntry, const request::Resolve& aResolve);
  void Execute(std::size_t aEntry, const request::Conclude& aConclude);
  void State(std::size_t aEntry,
             request::LocalId aLocal,
             outcome::State aState,
             request::Reason aReason);
  void After(Duration aDelay, std::function<void()> aRun);
  void AfterAt(std::size_t aEntry, Duration aDelay, std::function<void()> aRun);
  bool IsGone(const outcome::EntryId& aHolder) const;
  fleet::View MakeView() const;
  double RandomFraction();
  Duration RandomUpTo(Duration aMax);

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
