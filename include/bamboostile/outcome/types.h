#pragma once

#include "bamboostile/units/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::outcome {

/** One life of one entry process. */
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

/** An upstream's answer as the caller is to see it. */
struct Answer
{
  std::uint32_t m_status = 0;
  std::vector<Header> m_headers;
  std::string m_body;
  /** The body was larger than what is kept. */
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

/** An entry asks for the right to run one attempt of a request. */
struct Begin
{
  RequestId m_request;
  std::uint32_t m_attempt = 1;
  /** Of method, target and body: another request under the same id is told
   * so instead of getting a stranger's answer. */
  std::string m_digest;
  EntryId m_holder;
  /** Told apart from an earlier call of the same entry for another copy. */
  std::uint64_t m_ticket = 0;
  /** The entry refuses this attempt and only wants that on record. */
  bool m_refused = false;
};

/** The holder states how its attempt ended. */
struct Resolve
{
  RequestId m_request;
  std::uint32_t m_attempt = 1;
  EntryId m_holder;
  std::uint64_t m_ticket = 0;
  State m_state = State::kUnknown;
  std::optional<Answer> m_answer;
};

/** Forgets what was recorded at or before a position of the log. */
struct Expire
{
  Index m_upTo;
};

enum class Verdict
{
  /** The caller of Begin holds the attempt; nobody else will ever run it. */
  kGranted,
  /** Another copy holds it, or it has ended: m_record says how. */
  kRecorded,
  /** The same id was used for a different request. */
  kDigestMismatch,
  /** A later attempt than the recorded one, which has not ended not-run. */
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
  /** Where it was last changed; expiry goes by it. */
  Index m_modified;
};

struct BeginReply
{
  Verdict m_verdict = Verdict::kRecorded;
  Record m_record;
};

} // namespace bamboostile::outcome
