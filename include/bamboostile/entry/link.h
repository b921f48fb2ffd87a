#pragma once

#include "bamboostile/fleet/state.h"
#include "bamboostile/membership/registry.h"
#include "bamboostile/request/types.h"
#include "bamboostile/rpc/channel.h"
#include "bamboostile/rpc/mailbox.h"

#include <kj/async-io.h>

#include <functional>
#include <unordered_set>

namespace bamboostile::entry {

struct LinkOptions
{
  outcome::EntryId m_self;
  ZoneId m_zone;
  std::string m_httpAddress;
  std::vector<std::string> m_seeds;
  Duration m_attemptTimeout = Millis{ 700 };
  Duration m_retryPause = Millis{ 30 };
};

// ------------------- messages from the traffic thread to the control thread

struct Announce
{
  fleet::Announcement m_announcement;
  std::function<void(bool)> m_done;
};

struct Renew
{
  std::uint64_t m_key;
};

struct Begin
{
  outcome::Begin m_begin;
  Duration m_timeout{};
  std::function<void(request::BeginResult)> m_done;
};

struct Resolve
{
  outcome::Resolve m_resolve;
};

struct Lookup
{
  RequestId m_request;
  Duration m_timeout{};
  /** Receives a result without a record if there is none, and kUndecided if
   * no replica answered. */
  std::function<void(request::BeginResult)> m_done;
};

/** Reports which view revision the traffic thread has applied, and how many
 * requests are still in flight at instances that get no new ones. */
struct Applied
{
  Index m_revision;
  std::vector<membership::InFlight> m_inFlight;
};

/** Asks to sign off from the control group after the last request has ended;
 * m_done is called afterwards. */
struct Leave
{
  std::function<void()> m_done;
};

using LinkMessage =
  std::variant<Announce, Renew, Begin, Resolve, Lookup, Applied, Leave>;

// ------------------- messages from the control thread to the traffic thread

struct LeaseGranted
{
  TimePoint m_until;
  std::uint32_t m_position = 0;
  std::uint32_t m_count = 1;
  std::optional<fleet::View> m_view;
};

/**
 * @brief An entry's connection to the control group, on the control thread.
 *
 * Finds the leader, renews the lease, keeps the view up to date, and sends the
 * calls that read and write the request ledger. All calls that it repeats are
 * idempotent.
 */
class Link final : private kj::TaskSet::ErrorHandler
{
public:
  Link(LinkOptions aOptions,
       kj::AsyncIoProvider& aProvider,
       rpc::Mailbox<LinkMessage>& aInbox,
       std::function<void(LeaseGranted)> aOnLease);

private:
  void taskFailed(kj::Exception&& aException) override;
  kj::Promise<void> InboxLoop();
  kj::Promise<void> SyncLoop();
  kj::Promise<void> SyncOnce();
  void OnSynced(schema::SyncReply::Reader aReply,
                TimePoint aSentAt,
                const std::vector<std::uint64_t>& aRenewals);
  void Run(Announce aAnnounce);
  void Run(const Renew& aRenew);
  void Run(Begin aBegin);
  void Run(Resolve aResolve);
  void Run(Lookup aLookup);
  void Run(Applied aApplied);
  void Run(Leave aLeave);

  kj::Promise<void> FlushAnnouncements();
  kj::Promise<bool> TryAnnounce(std::vector<fleet::Announcement> aBatch);
  /** Sends one call to the current replica; invoked once for each attempt. */
  using SendAttempt = std::function<kj::Promise<request::BeginResult>()>;

  template<typename Reply>
  request::BeginResult ToResultFrom(const Reply& aReply,
                                    const std::string& aAddress);
  kj::Promise<request::BeginResult> RetryUntil(SendAttempt aSendAttempt,
                                               TimePoint aUntil);

  rpc::Channel& CurrentChannel();
  /** Switches from the replica at aFrom, which does not lead or does not
   * answer, to aHint or else to the next known address. */
  void SelectNextReplica(const std::string& aFrom, const std::string& aHint);
  void OnCallFailed(const std::string& aFrom);
  void LearnAddresses(schema::SyncReply::Reader aReply);
  template<typename T>
  kj::Promise<T> WithTimeout(kj::Promise<T> aPromise);
  kj::Promise<void> Pause();

  LinkOptions m_options;
  kj::AsyncIoProvider& m_provider;
  kj::Timer& m_timer;
  rpc::Mailbox<LinkMessage>& m_inbox;
  std::function<void(LeaseGranted)> m_onLease;
  std::vector<std::string> m_addresses;
  std::string m_currentAddress;
  std::map<std::string, kj::Own<rpc::Channel>> m_channels;
  Applied m_applied;
  /** Revision of the last view passed to the traffic thread, which may not
   * have applied it yet. */
  Index m_deliveredRevision;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_appliedWaiter;
  std::unordered_set<std::uint64_t> m_renewals;
  std::vector<Announce> m_announcements;
  bool m_isFlushing = false;
  std::optional<Leave> m_pendingLeave;
  kj::TaskSet m_tasks;
};

} // namespace bamboostile::entry
