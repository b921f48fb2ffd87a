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

/** Timeout for recording an outcome. Long, since a record is still useful long
 * after the caller has its answer. */
constexpr Duration kResolveTimeout = Millis{ 60'000 };
constexpr Duration kLeaveTimeout = Millis{ 2000 };
constexpr Duration kAnnounceTimeout = Millis{ 3000 };

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
  , m_currentAddress(m_addresses.front())
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
      std::visit([this](auto& aMessage) { Run(std::move(aMessage)); }, message);
    }
    return InboxLoop();
  });
}

// ------------------------------------------------------- finding the leader

rpc::Channel&
Link::CurrentChannel()
{
  auto& channel = m_channels[m_currentAddress];
  if (channel.get() == nullptr) {
    channel =
      kj::refcounted<rpc::Channel>(m_provider.getNetwork(), m_currentAddress);
  }
  return *channel;
}

void
Link::SelectNextReplica(const std::string& aFrom, const std::string& aHint)
{
  // When several calls fail together, only the first of them selects another
  // replica.
  if (aFrom != m_currentAddress) {
    return;
  }
  if (!aHint.empty() && aHint != m_currentAddress) {
    m_currentAddress = aHint;
    return;
  }
  const auto at =
    std::find(m_addresses.begin(), m_addresses.end(), m_currentAddress);
  const std::size_t next =
    at == m_addresses.end() ? 0 : at - m_addresses.begin() + 1;
  m_currentAddress = m_addresses[next % m_addresses.size()];
}

// A connection that was refused or became unresponsive fails every later call
// too. If it were kept, a failing call of one kind could switch away from
// the leader just when a call of another kind has learned its address, and this
// would repeat for as long as both keep retrying at the same rate. When several
// calls fail together, only the first drops the connection, since the next may
// already be using a new one.
void
Link::OnCallFailed(const std::string& aFrom)
{
  if (aFrom == m_currentAddress) {
    m_channels.at(aFrom)->Disconnect();
  }
  SelectNextReplica(aFrom, "");
}

void
Link::LearnAddresses(schema::SyncReply::Reader aReply)
{
  // The group's members precede the seeds from the settings, because the group
  // may have moved since the settings were written.
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
  return m_timer.timeoutAfter(ToKj(m_options.m_attemptTimeout),
                              kj::mv(aPromise));
}

kj::Promise<void>
Link::Pause()
{
  return m_timer.afterDelay(ToKj(m_options.m_retryPause));
}

// -------------------------------------------- sync: lease, view and renewals

kj::Promise<void>
Link::SyncLoop()
{
  return SyncOnce().then([this]() { return SyncLoop(); });
}

kj::Promise<void>
Link::SyncOnce()
{
  const std::string address = m_currentAddress;
  auto call = CurrentChannel().Get().syncRequest();
  auto request = call.initRequest();
  wire::Write(m_options.m_self, request.initEntry());
  request.setZone(ToText(m_options.m_zone.Get()));
  request.setHttp(ToText(m_options.m_httpAddress));
  request.setRevision(m_applied.m_revision.Get());
  const bool leaving = m_pendingLeave.has_value();
  request.setLeaving(leaving);
  const std::vector<std::uint64_t> renewals(m_renewals.begin(),
                                            m_renewals.end());
  auto keys = request.initRenewals(renewals.size());
  for (std::size_t i = 0; i < renewals.size(); ++i) {
    keys.set(i, renewals[i]);
  }
  auto inFlight = request.initInFlight(m_applied.m_inFlight.size());
  for (std::size_t i = 0; i < m_applied.m_inFlight.size(); ++i) {
    inFlight[i].setId(ToText(m_applied.m_inFlight[i].m_instance.Get()));
    inFlight[i].setCount(m_applied.m_inFlight[i].m_count);
  }
  // The lease is measured from before the request is sent, so that network
  // delay or a suspended process can only shorten it.
  const TimePoint sentAt = MonotonicNow();
  kj::Promise<capnp::Response<schema::Control::SyncResults>> sent = call.send();
  return WithTimeout(kj::mv(sent))
    .then(
      [this, sentAt, address, renewals, leaving](
        auto aResponse) -> kj::Promise<void> {
        const auto reply = aResponse.getReply();
        if (leaving) {
          m_pendingLeave->m_done();
          return kj::NEVER_DONE;
        }
        if (reply.getOutcome() != schema::SyncOutcome::OK) {
          SelectNextReplica(address, ToString(reply.getLeaderAddress()));
          return Pause();
        }
        OnSynced(reply, sentAt, renewals);
        if (m_applied.m_revision >= m_deliveredRevision) {
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
    // An applied view was committed, so no leader can have an older revision.
    // Applying such a view would revert a configuration.
    if (!lease.m_view || lease.m_view->m_revision < m_applied.m_revision) {
      return;
    }
    m_deliveredRevision = lease.m_view->m_revision;
  }
  m_onLease(std::move(lease));
}

void
Link::Run(Applied aApplied)
{
  m_applied = std::move(aApplied);
  if (m_applied.m_revision >= m_deliveredRevision) {
    KJ_IF_MAYBE (waiter, m_appliedWaiter) {
      (*waiter)->fulfill();
      m_appliedWaiter = nullptr;
    }
  }
}

void
Link::Run(Leave aLeave)
{
  m_pendingLeave = std::move(aLeave);
  // If the control group is unreachable, the sign-off is not delivered; the
  // lease then expires, which has the same effect.
  m_tasks.add(m_timer.afterDelay(ToKj(kLeaveTimeout)).then([this]() {
    m_pendingLeave->m_done();
  }));
}

void
Link::Run(const Renew& aRenew)
{
  m_renewals.insert(aRenew.m_key);
}

// ---------------------------------------------------- sending announcements

void
Link::Run(Announce aAnnounce)
{
  m_announcements.push_back(std::move(aAnnounce));
  if (!m_isFlushing) {
    m_isFlushing = true;
    m_tasks.add(FlushAnnouncements());
  }
}

// Announcements that arrive while a batch is being committed go into the next
// batch, so that a restart of many upstreams takes a few commands instead of
// thousands.
kj::Promise<void>
Link::FlushAnnouncements()
{
  if (m_announcements.empty()) {
    m_isFlushing = false;
    return kj::READY_NOW;
  }
  auto batch = std::exchange(m_announcements, {});
  std::vector<fleet::Announcement> announcements;
  announcements.reserve(batch.size());
  for (const Announce& announce : batch) {
    announcements.push_back(announce.m_announcement);
  }
  const TimePoint until = MonotonicNow() + kAnnounceTimeout;
  auto attempt =
    [this, announcements, until](auto& aSelf) -> kj::Promise<bool> {
    return TryAnnounce(announcements)
      .then([this, until, &aSelf](bool aDone) -> kj::Promise<bool> {
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
      for (const Announce& announce : batch) {
        announce.m_done(aDone);
      }
      return FlushAnnouncements();
    });
}

kj::Promise<bool>
Link::TryAnnounce(std::vector<fleet::Announcement> aBatch)
{
  const std::string address = m_currentAddress;
  auto call = CurrentChannel().Get().announceRequest();
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
          SelectNextReplica(address, ToString(aResponse.getLeaderAddress()));
        }
        return done;
      },
      [this, address](kj::Exception&&) {
        OnCallFailed(address);
        return false;
      });
}

// ----------------------------------------------------------- request ledger

/** Converts a ledger reply to a result. If the replica that answered does not
 * lead, selects the next one. */
template<typename Reply>
BeginResult
Link::ToResultFrom(const Reply& aReply, const std::string& aAddress)
{
  if (aReply.getOutcome() == schema::LedgerOutcome::NOT_LEADER) {
    SelectNextReplica(aAddress, ToString(aReply.getLeaderAddress()));
  }
  return ToResult(aReply);
}

// Repeats attempts until there is an answer or the deadline passes. An attempt
// that timed out may still be committed; every call repeated here is
// idempotent, so a later attempt gets the answer of the first.
kj::Promise<BeginResult>
Link::RetryUntil(SendAttempt aSendAttempt, TimePoint aUntil)
{
  const std::string address = m_currentAddress;
  const Duration left =
    std::max<Duration>(aUntil - MonotonicNow(), Millis{ 1 });
  kj::Promise<BeginResult> sent = aSendAttempt();
  return m_timer
    .timeoutAfter(ToKj(std::min(left, m_options.m_attemptTimeout)),
                  kj::mv(sent))
    .then([](BeginResult aResult) { return aResult; },
          [this, address](kj::Exception&&) {
            OnCallFailed(address);
            return BeginResult{};
          })
    .then([this, sendAttempt = std::move(aSendAttempt), aUntil](
            BeginResult aResult) mutable -> kj::Promise<BeginResult> {
      const bool decided = aResult.m_outcome != BeginOutcome::kUndecided;
      if (decided || MonotonicNow() + m_options.m_retryPause >= aUntil) {
        return aResult;
      }
      return Pause().then(
        [this, sendAttempt = std::move(sendAttempt), aUntil]() mutable {
          return RetryUntil(std::move(sendAttempt), aUntil);
        });
    });
}

void
Link::Run(Begin aBegin)
{
  const TimePoint until = MonotonicNow() + aBegin.m_timeout;
  SendAttempt attempt = [this, begin = std::move(aBegin.m_begin)]() {
    auto call = CurrentChannel().Get().beginRequest();
    wire::Write(begin, call.initBegin());
    return call.send().then([this, address = m_currentAddress](auto aResponse) {
      return ToResultFrom(aResponse.getReply(), address);
    });
  };
  m_tasks.add(RetryUntil(std::move(attempt), until)
                .then([done = std::move(aBegin.m_done)](BeginResult aResult) {
                  done(std::move(aResult));
                }));
}

void
Link::Run(Lookup aLookup)
{
  const TimePoint until = MonotonicNow() + aLookup.m_timeout;
  SendAttempt attempt = [this, request = std::move(aLookup.m_request)]() {
    auto call = CurrentChannel().Get().lookupRequest();
    call.setRequest(ToText(request.Get()));
    return call.send().then([this, address = m_currentAddress](auto aResponse) {
      return ToResultFrom(aResponse.getReply(), address);
    });
  };
  m_tasks.add(RetryUntil(std::move(attempt), until)
                .then([done = std::move(aLookup.m_done)](BeginResult aResult) {
                  done(std::move(aResult));
                }));
}

void
Link::Run(Resolve aResolve)
{
  const TimePoint until = MonotonicNow() + kResolveTimeout;
  SendAttempt attempt = [this, resolve = std::move(aResolve.m_resolve)]() {
    auto call = CurrentChannel().Get().resolveRequest();
    wire::Write(resolve, call.initResolve());
    return call.send().then([this, address = m_currentAddress](auto aResponse) {
      return ToResultFrom(aResponse.getReply(), address);
    });
  };
  m_tasks.add(RetryUntil(std::move(attempt), until).ignoreResult());
}

} // namespace bamboostile::entry
