#include "entries.h"

#include <algorithm>

namespace bamboostile::test {

namespace {

constexpr Duration kStep = Millis{ 1 };
constexpr Duration kTick = Millis{ 5 };
constexpr Duration kLease = Millis{ 1500 };
constexpr Duration kRenewEvery = Millis{ 400 };
constexpr Duration kControlPause = Millis{ 30 };

} // namespace

Entries::Entries(std::size_t aEntries,
                 std::size_t aUpstreams,
                 std::uint64_t aSeed,
                 EntryFaults aFaults)
  : m_random(aSeed)
  , m_faults(aFaults)
  , m_upstreams(aUpstreams)
  , m_entries(aEntries)
{
  for (std::size_t i = 0; i < aEntries; ++i) {
    StartIncarnation(i);
  }
  GrantLeases();
}

double
Entries::RandomFraction()
{
  return std::uniform_real_distribution<double>{ 0, 1 }(m_random);
}

Duration
Entries::RandomUpTo(Duration aMax)
{
  return Duration{ static_cast<Duration::rep>(RandomFraction() *
                                              aMax.count()) };
}

void
Entries::StartIncarnation(std::size_t aEntry)
{
  Entry& entry = m_entries[aEntry];
  ++entry.m_incarnationCount;
  entry.m_frozen = false;
  entry.m_copies.clear();
  entry.m_id = { InstanceId{ "e" + std::to_string(aEntry) },
                 Incarnation{ ++m_lastIncarnation } };
  request::Options options;
  options.m_routing.m_seed = m_random();
  entry.m_engine =
    std::make_unique<request::Engine>(options, entry.m_id, ZoneId{ "z0" });
}

void
Entries::Restart(std::size_t aEntry)
{
  StartIncarnation(aEntry);
}

void
Entries::Freeze(std::size_t aEntry, bool aFrozen)
{
  m_entries[aEntry].m_frozen = aFrozen;
}

void
Entries::CutControl(std::size_t aEntry, bool aCut)
{
  m_entries[aEntry].m_cutFromControl = aCut;
}

void
Entries::SetCordon(std::size_t aUpstream, bool aCordoned)
{
  m_revision = Next(m_revision);
  const InstanceId id{ "w" + std::to_string(aUpstream) };
  if (aCordoned) {
    m_cordoned.insert(aUpstream);
    m_cordonedAt[id] = m_now;
  } else {
    m_cordoned.erase(aUpstream);
    m_cordonedAt.erase(id);
  }
}

fleet::View
Entries::MakeView() const
{
  fleet::View view;
  view.m_revision = m_revision;
  view.m_full = true;
  fleet::Service service;
  service.m_id = ServiceId{ "s" };
  service.m_retryBudgetPercent = 100;
  view.m_services.push_back(service);
  fleet::Pool pool;
  pool.m_id = PoolId{ "p" };
  pool.m_service = service.m_id;
  view.m_pools.push_back(pool);
  for (std::size_t i = 0; i < m_upstreams; ++i) {
    fleet::Instance instance;
    instance.m_announced.m_id = InstanceId{ "w" + std::to_string(i) };
    instance.m_announced.m_service = service.m_id;
    instance.m_announced.m_incarnation = Incarnation{ 1 };
    instance.m_announced.m_rack = RackId{ "r" + std::to_string(i / 2) };
    instance.m_announced.m_zone = ZoneId{ "z" + std::to_string(i % 3) };
    instance.m_announced.m_slots = 8;
    instance.m_pool = pool.m_id;
    instance.m_cordoned = m_cordoned.contains(i);
    view.m_instances.push_back(instance);
  }
  view.m_config = fleet::Config{};
  return view;
}

void
Entries::GrantLeases()
{
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (m_entries[i].m_cutFromControl) {
      continue;
    }
    const TimePoint until = m_now + kLease;
    AfterAt(i, RandomUpTo(m_faults.m_maxControlDelay), [this, i, until]() {
      Entry& entry = m_entries[i];
      entry.m_engine->OnView(MakeView(), m_now);
      entry.m_engine->OnLease(until, i, m_entries.size(), m_now);
      entry.m_leaseUntil = until;
      Pump(i);
    });
  }
}

void
Entries::After(Duration aDelay, std::function<void()> aRun)
{
  m_events.emplace(m_now + aDelay, Event{ {}, 0, std::move(aRun) });
}

void
Entries::AfterAt(std::size_t aEntry,
                 Duration aDelay,
                 std::function<void()> aRun)
{
  m_events.emplace(
    m_now + aDelay,
    Event{ aEntry, m_entries[aEntry].m_incarnationCount, std::move(aRun) });
}

void
Entries::Run(Duration aTime)
{
  const TimePoint until = m_now + aTime;
  while (m_now < until) {
    m_now += kStep;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      Event event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      if (event.m_entry) {
        const Entry& entry = m_entries[*event.m_entry];
        if (entry.m_incarnationCount != event.m_incarnationCount) {
          continue;
        }
        // A frozen process reads the event from its buffers when it resumes.
        if (entry.m_frozen) {
          m_events.emplace(m_now + kTick, std::move(event));
          continue;
        }
      }
      event.m_run();
    }
    if (m_now.time_since_epoch() % kRenewEvery == Duration::zero()) {
      GrantLeases();
    }
    if (m_now.time_since_epoch() % kTick == Duration::zero()) {
      for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!m_entries[i].m_frozen) {
          m_entries[i].m_engine->Tick(m_now);
          Pump(i);
        }
      }
    }
  }
}

void
Entries::Arrive(std::size_t aEntry,
                const RequestId& aRequest,
                bool aIdempotent,
                std::uint32_t aAttempt,
                Duration aTimeout,
                bool aKeyed)
{
  const request::LocalId local{ ++m_lastLocal };
  m_mayRepeat[aRequest] = aIdempotent;
  AfterAt(aEntry, Duration::zero(), [=, this]() {
    m_entries[aEntry].m_copies[local] =
      Copy{ aRequest, aAttempt, aIdempotent, std::nullopt };
    request::Arrival arrival;
    arrival.m_local = local;
    arrival.m_service = ServiceId{ "s" };
    arrival.m_request = aRequest;
    arrival.m_hasCallerId = aKeyed;
    arrival.m_attempt = aAttempt;
    arrival.m_idempotentMethod = aIdempotent;
    arrival.m_digest = aRequest.Get();
    arrival.m_timeout = aTimeout;
    m_entries[aEntry].m_engine->OnArrival(arrival, m_now);
    Pump(aEntry);
  });
}

void
Entries::Pump(std::size_t aEntry)
{
  auto& engine = *m_entries[aEntry].m_engine;
  for (auto actions = engine.TakeActions(); !actions.empty();
       actions = engine.TakeActions()) {
    for (const auto& action : actions) {
      std::visit([&](const auto& aAction) { Execute(aEntry, aAction); },
                 action);
    }
  }
}

bool
Entries::IsGone(const outcome::EntryId& aHolder) const
{
  return std::none_of(
    m_entries.begin(), m_entries.end(), [&](const Entry& aEntry) {
      return aEntry.m_id == aHolder && aEntry.m_leaseUntil > m_now;
    });
}

// Calls to the control group

void
Entries::Execute(std::size_t aEntry, const request::BeginAttempt& aAsk)
{
  const bool cut = m_entries[aEntry].m_cutFromControl;
  const bool lostBefore = cut || RandomFraction() < m_faults.m_controlLoss;
  const bool lostAfter = RandomFraction() < m_faults.m_controlLoss;
  const TimePoint until = m_now + aAsk.m_timeout;
  const request::BeginAttempt ask = aAsk;
  // The call is delivered and committed even if its sender has restarted.
  const std::uint64_t incarnation = m_entries[aEntry].m_incarnationCount;
  After(RandomUpTo(m_faults.m_maxControlDelay), [=, this]() {
    request::BeginResult result;
    if (!lostBefore) {
      m_index = Next(m_index);
      const auto reply = m_ledger.Apply(m_index, ask.m_begin);
      result.m_record = reply.m_record;
      result.m_holderGone = IsGone(reply.m_record.m_holder);
      switch (reply.m_verdict) {
        case outcome::Verdict::kGranted:
          result.m_outcome = request::BeginOutcome::kGranted;
          break;
        case outcome::Verdict::kRecorded:
          result.m_outcome = request::BeginOutcome::kRecorded;
          break;
        case outcome::Verdict::kDigestMismatch:
          result.m_outcome = request::BeginOutcome::kDigestMismatch;
          break;
        case outcome::Verdict::kAttemptNotAllowed:
          result.m_outcome = request::BeginOutcome::kAttemptNotAllowed;
          break;
      }
    }
    if (m_entries[aEntry].m_incarnationCount != incarnation) {
      return;
    }
    const bool answered = !lostBefore && !lostAfter;
    if (answered) {
      AfterAt(aEntry, RandomUpTo(m_faults.m_maxControlDelay), [=, this]() {
        m_entries[aEntry].m_engine->OnBegin(ask.m_local, result, m_now);
        Pump(aEntry);
      });
      return;
    }
    // The link retries with the same ticket until the timeout.
    AfterAt(aEntry, kControlPause, [=, this]() {
      if (m_now + kControlPause >= until) {
        m_entries[aEntry].m_engine->OnBegin(ask.m_local, {}, m_now);
        Pump(aEntry);
        return;
      }
      request::BeginAttempt again = ask;
      again.m_timeout = until - m_now;
      Execute(aEntry, again);
    });
  });
}

void
Entries::Execute(std::size_t aEntry, const request::QueryRecord& aAsk)
{
  const request::QueryRecord ask = aAsk;
  const bool cut = m_entries[aEntry].m_cutFromControl;
  AfterAt(aEntry, RandomUpTo(m_faults.m_maxControlDelay), [=, this]() {
    request::BeginResult result;
    if (!cut) {
      result.m_outcome = request::BeginOutcome::kRecorded;
      if (const auto* record = m_ledger.Find(ask.m_request)) {
        result.m_record = *record;
        result.m_holderGone = IsGone(record->m_holder);
      }
    }
    m_entries[aEntry].m_engine->OnBegin(ask.m_local, result, m_now);
    Pump(aEntry);
  });
}

void
Entries::Execute(std::size_t aEntry, const request::Resolve& aResolve)
{
  if (m_entries[aEntry].m_cutFromControl ||
      RandomFraction() < m_faults.m_controlLoss) {
    return;
  }
  outcome::Resolve resolve = aResolve.m_resolve;
  if (aResolve.m_withAnswer) {
    resolve.m_answer = outcome::Answer{};
    resolve.m_answer->m_body = resolve.m_request.Get();
  }
  After(RandomUpTo(m_faults.m_maxControlDelay * 3), [=, this]() {
    m_index = Next(m_index);
    m_ledger.Apply(m_index, resolve);
  });
}

// Attempts at upstreams

void
Entries::Execute(std::size_t aEntry, const request::Dispatch& aDispatch)
{
  Entry& entry = m_entries[aEntry];
  const Copy copy = entry.m_copies.at(aDispatch.m_local);
  const request::LocalId local = aDispatch.m_local;
  const std::uint32_t number = aDispatch.m_attemptNumber;
  const InstanceId target = aDispatch.m_upstream.m_instance;
  const TimePoint until = m_now + aDispatch.m_timeout;
  const auto answer = [=, this](request::AttemptResult aResult,
                                Duration aDelay) {
    AfterAt(aEntry, aDelay, [=, this]() {
      Entry& now = m_entries[aEntry];
      const auto found = now.m_copies.find(local);
      if (found != now.m_copies.end() &&
          aResult.m_end == request::AttemptEnd::kAnswered) {
        found->second.m_answerOf = copy.m_request;
      }
      now.m_engine->OnAttempt(local, number, aResult, m_now);
      Pump(aEntry);
    });
  };
  request::AttemptResult result;
  result.m_status = 200;
  const bool leaseExpired = m_now >= entry.m_leaseUntil;
  if (leaseExpired || RandomFraction() < m_faults.m_refuse) {
    result.m_end = request::AttemptEnd::kNotSent;
    answer(result, RandomUpTo(m_faults.m_maxNetDelay));
    return;
  }
  const auto cordoned = m_cordonedAt.find(target);
  if (cordoned != m_cordonedAt.end() &&
      m_now > cordoned->second + Millis{ 2000 }) {
    m_lateStarts.push_back(target.Get());
  }
  const Duration travelTime = RandomUpTo(m_faults.m_maxNetDelay);
  const Duration service = RandomUpTo(m_faults.m_maxServiceTime);
  if (RandomFraction() < m_faults.m_provesNotRun) {
    result.m_end = request::AttemptEnd::kAnswered;
    result.m_status = 503;
    result.m_provesNotRun = true;
    answer(result, travelTime);
    return;
  }
  After(travelTime, [=, this]() {
    ++m_runs[copy.m_request].m_total;
    ++m_runs[copy.m_request].m_byAttempt[copy.m_attempt];
  });
  const bool timedOut = m_now + travelTime + service > until;
  const bool cut = RandomFraction() < m_faults.m_cutAnswer;
  result.m_end = timedOut ? request::AttemptEnd::kTimedOut
                 : cut    ? request::AttemptEnd::kIncomplete
                          : request::AttemptEnd::kAnswered;
  result.m_elapsed = travelTime + service;
  answer(result, timedOut ? until - m_now : travelTime + service);
}

// Answers to callers

void
Entries::Execute(std::size_t aEntry, const request::Relay& aRelay)
{
  State(aEntry, aRelay.m_local, outcome::State::kDone, request::Reason::kNone);
}

void
Entries::Execute(std::size_t aEntry, const request::Conclude& aConclude)
{
  Copy& copy = m_entries[aEntry].m_copies.at(aConclude.m_local);
  copy.m_answerOf.reset();
  if (aConclude.m_recorded) {
    copy.m_answerOf = RequestId{ aConclude.m_recorded->m_body };
  }
  State(aEntry, aConclude.m_local, aConclude.m_state, aConclude.m_reason);
}

void
Entries::State(std::size_t aEntry,
               request::LocalId aLocal,
               outcome::State aState,
               request::Reason aReason)
{
  const auto found = m_entries[aEntry].m_copies.find(aLocal);
  const Copy& copy = found->second;
  m_statements.push_back({ copy.m_request,
                           copy.m_attempt,
                           aState,
                           aReason,
                           copy.m_answerOf,
                           m_now,
                           copy.m_mayRepeat });
  m_entries[aEntry].m_copies.erase(found);
}

std::uint64_t
Entries::RunsOf(const RequestId& aRequest) const
{
  const auto found = m_runs.find(aRequest);
  return found == m_runs.end() ? 0 : found->second.m_total;
}

std::size_t
Entries::OpenCopies() const
{
  std::size_t open = 0;
  for (const Entry& entry : m_entries) {
    open += entry.m_copies.size();
  }
  return open;
}

std::string
Entries::Contradiction() const
{
  for (const auto& [id, runs] : m_runs) {
    if (!m_mayRepeat.at(id) && runs.m_total > 1) {
      return id.Get() + " ran " + std::to_string(runs.m_total) + " times";
    }
  }
  for (const Statement& statement : m_statements) {
    const std::string name = statement.m_request.Get() + " attempt " +
                             std::to_string(statement.m_attempt);
    const auto runs = m_runs.find(statement.m_request);
    const bool ran = runs != m_runs.end() &&
                     runs->second.m_byAttempt.contains(statement.m_attempt);
    const bool reportedNotRun =
      !statement.m_mayRepeat && statement.m_state == outcome::State::kNotRun;
    if (reportedNotRun && ran) {
      return name + " was reported as not-run (" +
             Describe(statement.m_reason) + ") and ran";
    }
    if (statement.m_state == outcome::State::kDone) {
      if (statement.m_answers != statement.m_request) {
        return name + " got the answer of another request or none";
      }
      if (runs == m_runs.end()) {
        return name + " was reported as done but never ran";
      }
    }
    if (statement.m_state == outcome::State::kInProgress) {
      return name + " was reported as in-progress in its final answer";
    }
  }
  return {};
}

} // namespace bamboostile::test
