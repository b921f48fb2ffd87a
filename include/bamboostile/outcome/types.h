#pragma once

#include "bamboostile/units/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::outcome {

/** One incarnation of an entry process. */
struct EntryId
{
  InstanceId m_instance;
  Incarnation m_incarnation;

  auto operator<=>(const EntryId&) const = default;
};

struct Header
{
  std::string m_name;
  std::string m_value;
};

/** An upstream's answer in the form in which callers receive it. */
struct Answer
{
  std::uint32_t m_status = 0;
  std::vector<Header> m_headers;
  std::string m_body;
  /** The body exceeded the size limit of kept answers. */
  bool m_bodyDropped = false;
};

enum class State
{
  kInProgress,
  kDone,
  kNotRun,
  kUnknown,
};

const char* Describe(State aState) noexcept;

/** A request by an entry for the right to run one attempt of a request. */
struct Begin
{
  RequestId m_request;
  std::uint32_t m_attempt = 1;
  /** Digest of method, target and body. It detects another request under the
   * same id, which must not get the answer of this one. */
  std::string m_digest;
  EntryId m_holder;
  /** Distinguishes the entry's calls for different copies of a request. */
  std::uint64_t m_ticket = 0;
  /** The entry refuses this attempt; Begin only records that. */
  bool m_refused = false;
};

/** The outcome of an attempt, reported by its holder. */
struct Resolve
{
  RequestId m_request;
  std::uint32_t m_attempt = 1;
  EntryId m_holder;
  std::uint64_t m_ticket = 0;
  State m_state = State::kUnknown;
  std::optional<Answer> m_answer;
};

/** Removes records last changed at or before a log position. */
struct Expire
{
  Index m_upTo;
};

enum class Verdict
{
  /** The sender of Begin holds the attempt; no other will ever run it. */
  kGranted,
  /** Another copy holds the attempt, or it has ended; see m_record. */
  kRecorded,
  /** The id was already used for a different request. */
  kDigestMismatch,
  /** The attempt is not the next one, or the recorded one did not end as not
   * run. */
  kAttemptNotAllowed,
};

struct Record
{
  std::uint32_t m_attempt = 1;
  std::string m_digest;
  EntryId m_holder;
  std::uint64_t m_ticket = 0;
  State m_state = State::kInProgress;
  std::optional<Answer> m_answer;
  /** Log position of the last change, which determines expiry. */
  Index m_modified;
};

struct BeginReply
{
  Verdict m_verdict = Verdict::kRecorded;
  Record m_record;
};

} // namespace bamboostile::outcome
