#include "caller_headers.h"

#include "bamboostile/units/id_text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace bamboostile::entry::internal {

namespace {

constexpr std::uint32_t kMaxAttempt = 1000;

std::optional<std::uint64_t>
ParseNumber(const std::string& aText,
            std::uint64_t aMinimum,
            std::uint64_t aMaximum)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [at, error] = std::from_chars(aText.data(), end, value);
  const bool isValid =
    error == std::errc{} && at == end && value >= aMinimum && value <= aMaximum;
  return isValid ? std::optional{ value } : std::nullopt;
}

std::optional<admission::Class>
ParseClass(const std::string& aText)
{
  if (aText == "urgent") {
    return admission::Class::kUrgent;
  }
  if (aText == "normal") {
    return admission::Class::kNormal;
  }
  if (aText == "batch") {
    return admission::Class::kBatch;
  }
  return std::nullopt;
}

} // namespace

bool
IsIdempotentMethod(const std::string& aMethod)
{
  constexpr std::array<const char*, 6> kIdempotent{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"
  };
  return std::find(kIdempotent.begin(), kIdempotent.end(), aMethod) !=
         kIdempotent.end();
}

http::Headers
ForwardableHeaders(const http::Headers& aHeaders)
{
  constexpr std::array<const char*, 11> kOwnHeaders{
    kOutcomeHeader, kRequestIdHeader, kReasonHeader,  kRetryAfterMsHeader,
    kNotRunHeader,  kKeyHeader,       kTimeoutHeader, kAttemptHeader,
    kClassHeader,   kTraceHeader,     "Host"
  };
  http::Headers kept = http::WithoutHopByHop(aHeaders);
  std::erase_if(kept, [&](const http::Header& aHeader) {
    return std::any_of(
      kOwnHeaders.begin(), kOwnHeaders.end(), [&](const char* aName) {
        return http::EqualsIgnoringCase(aHeader.m_name, aName);
      });
  });
  return kept;
}

std::optional<request::Arrival>
ReadCallerHeaders(const http::Request& aRequest,
                  const settings::Limits& aLimits,
                  HeaderProblem& aProblem)
{
  request::Arrival arrival;
  arrival.m_idempotentMethod = IsIdempotentMethod(aRequest.m_method);
  if (const auto key = http::FindHeader(aRequest.m_headers, kKeyHeader)) {
    if (!IsIdText(*key)) {
      aProblem = { kKeyHeader, kIdTextAllowed };
      return std::nullopt;
    }
    arrival.m_hasCallerId = true;
    arrival.m_request = RequestId{ *key };
  }
  if (const auto text = http::FindHeader(aRequest.m_headers, kTimeoutHeader)) {
    const auto maxMillis =
      static_cast<std::uint64_t>(aLimits.m_maxTimeout.count());
    const auto millis = ParseNumber(*text, 1, maxMillis);
    if (!millis) {
      aProblem = { kTimeoutHeader,
                   "milliseconds from 1 to " + std::to_string(maxMillis) };
      return std::nullopt;
    }
    arrival.m_timeout = Millis{ *millis };
  }
  if (const auto text = http::FindHeader(aRequest.m_headers, kAttemptHeader)) {
    const auto attempt = ParseNumber(*text, 1, kMaxAttempt);
    if (!attempt) {
      aProblem = { kAttemptHeader,
                   "a number from 1 to " + std::to_string(kMaxAttempt) };
      return std::nullopt;
    }
    arrival.m_attempt = static_cast<std::uint32_t>(*attempt);
  }
  if (const auto text = http::FindHeader(aRequest.m_headers, kClassHeader)) {
    const auto parsedClass = ParseClass(*text);
    if (!parsedClass) {
      aProblem = { kClassHeader, "urgent, normal or batch" };
      return std::nullopt;
    }
    arrival.m_class = *parsedClass;
  }
  return arrival;
}

} // namespace bamboostile::entry::internal
