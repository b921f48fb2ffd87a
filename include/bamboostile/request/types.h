#pragma once

#include "bamboostile/admission/queue.h"
#include "bamboostile/outcome/types.h"
#include "bamboostile/routing/router.h"

#include <variant>

namespace bamboostile::request {

/** Identifies a caller's request within this entry. */
using LocalId = Strong<struct LocalIdTag, std::uint64_t>;

struct Arrival
{
  LocalId m_local;
  ServiceId m_service;
  RequestId m_request;
  /** The caller chose the request id, so other entries may have copies. */
  bool m_hasCallerId = false;
  std::uint32_t m_attempt = 1;
  /** Set for safe methods such as GET, for PUT and DELETE, and for POST and
   * PATCH if the service declares them idempotent. */
  bool m_idempotentMethod = false;
  admission::Class m_class = admission::Class::kNormal;
  std::string m_digest;
  /** Timeout set by the caller; without one, the service's default applies. */
  std::optional<Duration> m_timeout;
};

enum class BeginOutcome
{
  kGranted,
  kRecorded,
  kDigestMismatch,
  kAttemptNotAllowed,
  /** No answer came in time; the call may or may not be committed. */
  kUndecided,
};

struct BeginResult
{
  BeginOutcome m_outcome = BeginOutcome::kUndecided;
  std::optional<outcome::Record> m_record;
  /** The entry that holds the attempt is not known to be alive. */
  bool m_holderGone = false;
};

enum class AttemptEnd
{
  /** A complete answer arrived. */
  kAnswered,
  /** No byte of the request was sent, and none will be. */
  kNotSent,
  /** Bytes were sent, but no complete answer arrived. */
  kIncomplete,
  kTimedOut,
};

struct AttemptResult
{
  AttemptEnd m_end = AttemptEnd::kIncomplete;
  std::uint32_t m_status = 0;
  /** The answer states that the request was not run. */
  bool m_provesNotRun = false;
  Duration m_elapsed{};
};

// ------------------------------------------------------------------ actions

/** Asks the control group for permission to run an attempt, or records a
 * refusal. The reply is passed to OnBegin. */
struct BeginAttempt
{
  outcome::Begin m_begin;
  LocalId m_local;
  Duration m_timeout{};
};

/** Queries the control group for the state of an attempt that another entry
 * holds. The reply is passed to OnBegin. */
struct QueryRecord
{
  LocalId m_local;
  RequestId m_request;
  Duration m_timeout{};
};

struct Dispatch
{
  LocalId m_local;
  std::uint32_t m_attemptNumber = 0;
  routing::Pick m_upstream;
  Duration m_timeout{};
  /** The request is not idempotent: the transport must use no connection that
   * may be stale and must not retransmit. */
  bool m_atMostOnce = false;
};

/** Relays the answer of the last attempt to the caller. */
struct Relay
{
  LocalId m_local;
};

struct Resolve
{
  outcome::Resolve m_resolve;
  /** Request whose last answer is recorded too if m_withAnswer is set. */
  LocalId m_local;
  bool m_withAnswer = false;
};

enum class Reason
{
  kNone,
  kUnknownService,
  kNoUpstream,
  kQueueFull,
  kEntryFull,
  kDeadline,
  kNoLease,
  kDraining,
  kNoRecord,
  kRecordedElsewhere,
  kInProgressElsewhere,
  kHolderGone,
  kDigestMismatch,
  kAttemptNotAllowed,
  kNotSent,
  kIncomplete,
  kTimedOut,
};

const char* Describe(Reason aReason) noexcept;

/** Sends the caller a final outcome when this entry has no upstream answer to
 * relay. */
struct Conclude
{
  LocalId m_local;
  outcome::State m_state = outcome::State::kUnknown;
  Reason m_reason = Reason::kNone;
  std::optional<Duration> m_retryAfter;
  /** Recorded answer to another copy of this request. */
  std::optional<outcome::Answer> m_recorded;
};

using Action =
  std::variant<BeginAttempt, QueryRecord, Dispatch, Relay, Resolve, Conclude>;

} // namespace bamboostile::request
