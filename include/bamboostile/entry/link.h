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
  Duration m_tryTimeout = Millis{ 700 };
  Duration m_retryPause = Millis{ 30 };
};

// ------------------------------------------- from the traffic thread to here

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
  Duration m_patience{};
  std::function<void(request::BeginResult)> m_done;
};

struct Resolve
{
  outcome::Resolve m_resolve;
};

struct Lookup
{
  RequestId m_request;
  Duration m_patience{};
  /** Without a record where there is none; kUndecided if nobody answered. */
  std::function<void(request::BeginResult)> m_done;
};

/** The traffic thread has this view in force, with this much left running at
 * instances that get nothing new. */
struct Applied
{
  Index m_revision;
  std::vector<membership::InFlight> m_inFlight;
};

/** No request is left; say goodbye and then call m_done. */
struct Leave
{
  std::function<void()> m_done;
};

using LinkMessage =
  std::variant<Announce, Renew, Begin, Resolve, Lookup, Applied, Leave>;

// ------------------------------------------- from here to the traffic thread

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
 * Finds the leader, keeps the lease and the view current, and carries calls
 * for the record of requests. All calls it repeats are idempotent.
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
  /** Sends one call to the present replica; made anew for each try. */
  using Try = std::function<kj::Promise<request::BeginResult>()>;

  template<typename Reply>
  request::BeginResult Judge(const Reply& aReply, const std::string& aAddress);
  kj::Promise<request::BeginResult> AskUntil(Try aTry, TimePoint aUntil);

  rpc::Channel& Current();
  /** The present replica does not lead or does not answer. */
  void MoveOn(const std::string& aFrom, const std::string& aHint);
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
  std::string m_current;
  std::map<std::string, kj::Own<rpc::Channel>> m_channels;
  Applied m_applied;
  /** Handed to the traffic thread, not yet reported as in force. */
  Index m_handedOver;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_appliedWaiter;
  std::unordered_set<std::uint64_t> m_renewals;
  std::vector<Announce> m_announcements;
  bool m_flushing = false;
  std::optional<Leave> m_leave;
  kj::TaskSet m_tasks;
};

} // namespace bamboostile::entry
