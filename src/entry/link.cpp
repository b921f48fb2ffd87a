#include "bamboostile/entry/link.h"

#include "bamboostile/telemetry/log.h"
#include "bamboostile/wire/entry_codec.h"

#include "../wire/text.h"

#include <algorithm>

namespace bamboostile::entry {

namespace {

using request::BeginOutcome;
using request::BeginResult;
using wire::ToString;

/** Outcomes are worth recording long after the caller has its answer. */
constexpr Duration kResolvePatience = Millis{ 60'000 };
constexpr Duration kGoodbyePatience = Millis{ 2000 };
constexpr Duration kAnnouncePatience = Millis{ 3000 };

kj::Duration
ToKj(Duration aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

BeginOutcome
ToOutcome(schema::LedgerOutcome aOutcome)
{
  switch (aOutcome) {
    case schema::LedgerOutcome::GRANTED:
      return BeginOutcome::kGranted;
    case schema::LedgerOutcome::RECORDED:
    case schema::LedgerOutcome::NOT_FOUND:
      return BeginOutcome::kRecorded;
    case schema::LedgerOutcome::DIGEST_MISMATCH:
      return BeginOutcome::kDigestMismatch;
    case schema::LedgerOutcome::ATTEMPT_NOT_ALLOWED:
      return BeginOutcome::kAttemptNotAllowed;
    case schema::LedgerOutcome::NOT_LEADER:
    case schema::LedgerOutcome::UNDECIDED:
      break;
  }
  return BeginOutcome::kUndecided;
}

BeginResult
ToResult(schema::LedgerReply::Reader aReply)
{
  BeginResult result;
  result.m_outcome = ToOutcome(aReply.getOutcome());
  if (aReply.hasRecord()) {
    result.m_record = fleet::DecodeRecord(ToString(aReply.getRecord()));
  }
  result.m_holderGone = aReply.getHolderGone();
  return result;
}

} // namespace

Link::Link(LinkOptions aOptions,
           kj::AsyncIoProvider& aProvider,
           rpc::Mailbox<LinkMessage>& aInbox,
           std::function<void(LeaseGranted)> aOnLease)
  : m_options(std::move(aOptions))
  , m_provider(aProvider)
  , m_timer(aProvider.getTimer())
  , m_inbox(aInbox)
  , m_onLease(std::move(aOnLease))
  , m_addresses(m_options.m_seeds)
  , m_current(m_addresses.front())
  , m_tasks(*this)
{
  m_tasks.add(InboxLoop());
  m_tasks.add(SyncLoop());
}

void
Link::taskFailed(kj::Exception&& aException)
{
  telemetry::LogLine(telemetry::Level::kWarning, "link task failed")
    .With("reason", std::string{ aException.getDescription().cStr() })
    .Write();
}

kj::Promise<void>
Link::InboxLoop()
{
  return m_inbox.Take().then([this](std::vector<LinkMessage> aMessages) {
    for (LinkMessage& message : aMessages) {
      std::visit([this](auto& aOne) { Run(std::move(aOne)); }, message);
    }
    return InboxLoop();
  });
}

// ------------------------------------------------------- finding the leader

rpc::Channel&
Link::Current()
{
  auto& channel = m_channels[m_current];
  if (channel.get() == nullptr) {
    channel = kj::refcounted<rpc::Channel>(m_provider.getNetwork(), m_current);
  }
  return *channel;
}

void
Link::MoveOn(const std::string& aFrom, const std::string& aHint)
{
  // Several calls fail together; only the first of them moves on.
  if (aFrom != m_current) {
    return;
  }
  if (!aHint.empty() && aHint != m_current) {
    m_current = aHint;
    return;
  }
  const auto at = std::find(m_addresses.begin(), m_addresses.end(), m_current);
  const std::size_t next =
    at == m_addresses.end() ? 0 : at - m_addresses.begin() + 1;
  m_current = m_addresses[next % m_addresses.size()];
}

// A connection that was refused, or went silent, fails every later call as
// well. Kept by one kind of call, it would turn away from the leader just when
// another kind has learned its address, for as long as both go on in step. Of
// calls that fail together the first one drops it; the next may use a new one
// already.
void
Link::OnCallFailed(const std::string& aFrom)
{
  if (aFrom == m_current) {
    m_channels.at(aFrom)->Drop();
  }
  MoveOn(aFrom, "");
}

void
Link::LearnAddresses(schema::SyncReply::Reader aReply)
{
  // Members first, the seeds of the settings after them: the group may have
  // moved since the settings were written.
  std::vector<std::string> learned;
  for (auto address : aReply.getControlAddresses()) {
    learned.push_back(ToString(address));
  }
  for (const std::string& seed : m_options.m_seeds) {
    if (std::find(learned.begin(), learned.end(), seed) == learned.end()) {
      learned.push_back(seed);
    }
  }
  m_addresses = std::move(learned);
}

template<typename T>
kj::Promise<T>
Link::WithTimeout(kj::Promise<T> aPromise)
{
  return m_timer.timeoutAfter(ToKj(m_options.m_tryTimeout), kj::mv(aPromise));
}

kj::Promise<void>
Link::Pause()
{
  return m_timer.afterDelay(ToKj(m_options.m_retryPause));
}

// --------------------------------------------------------------------- sync

kj::Promise<void>
Link::SyncLoop()
{
  return SyncOnce().then([this]() { return SyncLoop(); });
}

kj::Promise<void>
Link::SyncOnce()
{
  const std::string address = m_current;
  auto call = Current().Get().syncRequest();
  auto request = call.initRequest();
  wire::Write(m_options.m_self, request.initEntry());
  request.setZone(m_options.m_zone.Get());
  request.setHttp(m_options.m_httpAddress);
  request.setRevision(m_applied.m_revision.Get());
  const bool leaving = m_leave.has_value();
  request.setLeaving(leaving);
  const std::vector<std::uint64_t> renewals(m_renewals.begin(),
                                            m_renewals.end());
  auto keys = request.initRenewals(renewals.size());
  for (std::size_t i = 0; i < renewals.size(); ++i) {
    keys.set(i, renewals[i]);
  }
  auto inFlight = request.initInFlight(m_applied.m_inFlight.size());
  for (std::size_t i = 0; i < m_applied.m_inFlight.size(); ++i) {
    inFlight[i].setId(m_applied.m_inFlight[i].m_instance.Get());
    inFlight[i].setCount(m_applied.m_inFlight[i].m_count);
  }
  // The lease counts from before the request leaves, so that delay on the
  // way, or a freeze in between, can only shorten it.
  const TimePoint sentAt = MonotonicNow();
  kj::Promise<capnp::Response<schema::Control::SyncResults>> sent = call.send();
  return WithTimeout(kj::mv(sent))
    .then(
      [this, sentAt, address, renewals, leaving](
        auto aResponse) -> kj::Promise<void> {
        const auto reply = aResponse.getReply();
        if (leaving) {
          m_leave->m_done();
          return kj::NEVER_DONE;
        }
        if (reply.getOutcome() != schema::SyncOutcome::OK) {
          MoveOn(address, ToString(reply.getLeaderAddress()));
          return Pause();
        }
        OnSynced(reply, sentAt, renewals);
        if (m_applied.m_revision >= m_handedOver) {
          return kj::READY_NOW;
        }
        auto pair = kj::newPromiseAndFulfiller<void>();
        m_appliedWaiter = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
      },
      [this, address](kj::Exception&&) {
        OnCallFailed(address);
        return Pause();
      });
}

void
Link::OnSynced(schema::SyncReply::Reader aReply,
               TimePoint aSentAt,
               const std::vector<std::uint64_t>& aRenewals)
{
  for (const std::uint64_t key : aRenewals) {
    m_renewals.erase(key);
  }
  LearnAddresses(aReply);
  LeaseGranted lease;
  lease.m_until = aSentAt + Millis{ aReply.getLeaseMs() };
  lease.m_position = aReply.getPosition();
  lease.m_count = aReply.getLiveEntries();
  if (aReply.hasView()) {
    lease.m_view = fleet::DecodeView(ToString(aReply.getView()));
    // A leader that knows less than we have in force cannot be: what is in
    // force was committed. Its view would turn a configuration back.
    if (!lease.m_view || lease.m_view->m_revision < m_applied.m_revision) {
      return;
    }
    m_handedOver = lease.m_view->m_revision;
  }
  m_onLease(std::move(lease));
}

void
Link::Run(Applied aApplied)
{
  m_applied = std::move(aApplied);
  if (m_applied.m_revision >= m_handedOver) {
    KJ_IF_MAYBE (waiter, m_appliedWaiter) {
      (*waiter)->fulfill();
      m_appliedWaiter = nullptr;
    }
  }
}

void
Link::Run(Leave aLeave)
{
  m_leave = std::move(aLeave);
  // With the control group gone nobody takes the goodbye. The lease then runs
  // out by itself, which says the same.
  m_tasks.add(m_timer.afterDelay(ToKj(kGoodbyePatience)).then([this]() {
    m_leave->m_done();
  }));
}

void
Link::Run(const Renew& aRenew)
{
  m_renewals.insert(aRenew.m_key);
}

// ------------------------------------------------------------ announcements

void
Link::Run(Announce aAnnounce)
{
  m_announcements.push_back(std::move(aAnnounce));
  if (!m_flushing) {
    m_flushing = true;
    m_tasks.add(FlushAnnouncements());
  }
}

// What arrives while one batch is committed goes with the next, so that a
// restart of many upstreams is a few commands, not thousands.
kj::Promise<void>
Link::FlushAnnouncements()
{
  if (m_announcements.empty()) {
    m_flushing = false;
    return kj::READY_NOW;
  }
  auto batch = std::exchange(m_announcements, {});
  std::vector<fleet::Announcement> said;
  said.reserve(batch.size());
  for (const Announce& one : batch) {
    said.push_back(one.m_announcement);
  }
  const TimePoint until = MonotonicNow() + kAnnouncePatience;
  auto attempt = [this, said, until](auto& aSelf) -> kj::Promise<bool> {
    return TryAnnounce(said).then(
      [this, until, &aSelf](bool aDone) -> kj::Promise<bool> {
        if (aDone || MonotonicNow() >= until) {
          return aDone;
        }
        return Pause().then([&aSelf]() { return aSelf(aSelf); });
      });
  };
  auto held = kj::heap(kj::mv(attempt));
  auto& run = *held;
  return run(run)
    .attach(kj::mv(held))
    .then([this, batch = std::move(batch)](bool aDone) {
      for (const Announce& one : batch) {
        one.m_done(aDone);
      }
      return FlushAnnouncements();
    });
}

kj::Promise<bool>
Link::TryAnnounce(std::vector<fleet::Announcement> aBatch)
{
  const std::string address = m_current;
  auto call = Current().Get().announceRequest();
  auto list = call.initAnnouncements(aBatch.size());
  for (std::size_t i = 0; i < aBatch.size(); ++i) {
    wire::Write(aBatch[i], list[i]);
  }
  kj::Promise<capnp::Response<schema::Control::AnnounceResults>> sent =
    call.send();
  return WithTimeout(kj::mv(sent))
    .then(
      [this, address](auto aResponse) {
        const bool done = aResponse.getOutcome() == schema::SyncOutcome::OK;
        if (!done) {
          MoveOn(address, ToString(aResponse.getLeaderAddress()));
        }
        return done;
      },
      [this, address](kj::Exception&&) {
        OnCallFailed(address);
        return false;
      });
}

// ------------------------------------------------------- record of requests

/** Tells whichever replica answered from what to do next. */
template<typename Reply>
BeginResult
Link::Judge(const Reply& aReply, const std::string& aAddress)
{
  if (aReply.getOutcome() == schema::LedgerOutcome::NOT_LEADER) {
    MoveOn(aAddress, ToString(aReply.getLeaderAddress()));
  }
  return ToResult(aReply);
}

// One try after another until there is an answer or the time is over. A try
// that timed out may be committed all the same; every call repeated here is
// idempotent, so asking again gets the answer of the first.
kj::Promise<BeginResult>
Link::AskUntil(Try aTry, TimePoint aUntil)
{
  const std::string address = m_current;
  const Duration left =
    std::max<Duration>(aUntil - MonotonicNow(), Millis{ 1 });
  kj::Promise<BeginResult> sent = aTry();
  return m_timer
    .timeoutAfter(ToKj(std::min(left, m_options.m_tryTimeout)), kj::mv(sent))
    .then([](BeginResult aResult) { return aResult; },
          [this, address](kj::Exception&&) {
            OnCallFailed(address);
            return BeginResult{};
          })
    .then([this, again = std::move(aTry), aUntil](
            BeginResult aResult) mutable -> kj::Promise<BeginResult> {
      const bool decided = aResult.m_outcome != BeginOutcome::kUndecided;
      if (decided || MonotonicNow() + m_options.m_retryPause >= aUntil) {
        return aResult;
      }
      return Pause().then([this, again = std::move(again), aUntil]() mutable {
        return AskUntil(std::move(again), aUntil);
      });
    });
}

void
Link::Run(Begin aBegin)
{
  const TimePoint until = MonotonicNow() + aBegin.m_patience;
  Try attempt = [this, begin = std::move(aBegin.m_begin)]() {
    auto call = Current().Get().beginRequest();
    wire::Write(begin, call.initBegin());
    return call.send().then([this, address = m_current](auto aResponse) {
      return Judge(aResponse.getReply(), address);
    });
  };
  m_tasks.add(AskUntil(std::move(attempt), until)
                .then([done = std::move(aBegin.m_done)](BeginResult aResult) {
                  done(std::move(aResult));
                }));
}

void
Link::Run(Lookup aLookup)
{
  const TimePoint until = MonotonicNow() + aLookup.m_patience;
  Try attempt = [this, request = std::move(aLookup.m_request)]() {
    auto call = Current().Get().lookupRequest();
    call.setRequest(request.Get());
    return call.send().then([this, address = m_current](auto aResponse) {
      return Judge(aResponse.getReply(), address);
    });
  };
  m_tasks.add(AskUntil(std::move(attempt), until)
                .then([done = std::move(aLookup.m_done)](BeginResult aResult) {
                  done(std::move(aResult));
                }));
}

void
Link::Run(Resolve aResolve)
{
  const TimePoint until = MonotonicNow() + kResolvePatience;
  Try attempt = [this, resolve = std::move(aResolve.m_resolve)]() {
    auto call = Current().Get().resolveRequest();
    wire::Write(resolve, call.initResolve());
    return call.send().then([this, address = m_current](auto aResponse) {
      return Judge(aResponse.getReply(), address);
    });
  };
  m_tasks.add(AskUntil(std::move(attempt), until).ignoreResult());
}

} // namespace bamboostile::entry
