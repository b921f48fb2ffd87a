#pragma once

#include "bamboostile/admission/queue.h"
#include "bamboostile/outcome/types.h"
#include "bamboostile/routing/router.h"

#include <variant>

namespace bamboostile::request {

/** A caller's request while this entry has it. */
using LocalId = Strong<struct LocalIdTag, std::uint64_t>;

struct Arrival
{
  LocalId m_local;
  ServiceId m_service;
  RequestId m_request;
  /** The caller chose the id: copies may be on their way to other entries. */
  bool m_keyed = false;
  std::uint32_t m_attempt = 1;
  /** GET and its like, PUT and DELETE; POST and PATCH if the service says so.
   */
  bool m_idempotentMethod = false;
  admission::Class m_class = admission::Class::kNormal;
  std::string m_digest;
  /** The caller's own; the service's default where it named none. */
  std::optional<Duration> m_timeout;
};

enum class BeginOutcome
{
  kGranted,
  kRecorded,
  kDigestMismatch,
  kAttemptNotAllowed,
  /** The call may or may not be committed; nobody answered in time. */
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
  /** A whole answer. */
  kAnswered,
  /** No byte of the request went out, and none will. */
  kNotSent,
  /** Bytes went out and no whole answer came back. */
  kBroken,
  kTimedOut,
};

struct AttemptResult
{
  AttemptEnd m_end = AttemptEnd::kBroken;
  std::uint32_t m_status = 0;
  /** The answer states that the request was not run. */
  bool m_provesNotRun = false;
  Duration m_took{};
};

// ------------------------------------------------------------------ actions

/** Ask control for the right to run this attempt, or put a refusal on
 * record. The answer comes back through OnBegin. */
struct AskBegin
{
  outcome::Begin m_begin;
  LocalId m_local;
  Duration m_patience{};
};

/** Ask control how the attempt held elsewhere stands; answered to OnBegin. */
struct AskRecord
{
  LocalId m_local;
  RequestId m_request;
  Duration m_patience{};
};

struct Dispatch
{
  LocalId m_local;
  std::uint32_t m_number = 0;
  routing::Pick m_upstream;
  Duration m_timeout{};
  /** A second run would do harm: no connection that may be stale, and no
   * repetition by the transport. */
  bool m_onlyOnce = false;
};

/** The answer of the last attempt goes to the caller. */
struct Relay
{
  LocalId m_local;
};

struct Resolve
{
  outcome::Resolve m_resolve;
  /** Put the answer of the last attempt on record too. */
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
  kBroken,
  kTimedOut,
};

const char* Describe(Reason aReason) noexcept;

/** The final word to the caller, without an upstream's answer of our own. */
struct Conclude
{
  LocalId m_local;
  outcome::State m_state = outcome::State::kUnknown;
  Reason m_reason = Reason::kNone;
  std::optional<Duration> m_retryAfter;
  /** The answer that another copy of this request got. */
  std::optional<outcome::Answer> m_recorded;
};

using Action =
  std::variant<AskBegin, AskRecord, Dispatch, Relay, Resolve, Conclude>;

} // namespace bamboostile::request
