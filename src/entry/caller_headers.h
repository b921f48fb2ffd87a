#pragma once

#include "bamboostile/http/message.h"
#include "bamboostile/request/types.h"
#include "bamboostile/settings/settings.h"

#include <optional>
#include <string>

namespace bamboostile::entry::internal {

constexpr const char* kOutcomeHeader = "Bamboostile-Outcome";
constexpr const char* kRequestIdHeader = "Bamboostile-Request-Id";
constexpr const char* kReasonHeader = "Bamboostile-Reason";
constexpr const char* kRetryAfterMsHeader = "Bamboostile-Retry-After-Ms";
constexpr const char* kNotRunHeader = "Bamboostile-Not-Run";
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kTimeoutHeader = "Bamboostile-Timeout-Ms";
constexpr const char* kAttemptHeader = "Bamboostile-Attempt";
constexpr const char* kClassHeader = "Bamboostile-Class";
constexpr const char* kTraceHeader = "traceparent";

struct HeaderProblem
{
  std::string m_field;
  std::string m_allowed;
};

/** Reads the headers in which a caller describes its request. Without an
 * idempotency key the request id stays empty, and the entry generates one. */
std::optional<request::Arrival> ReadCallerHeaders(
  const http::Request& aRequest,
  const settings::Limits& aLimits,
  HeaderProblem& aProblem);

/** Tells whether RFC 9110, section 9.2.2, defines the method as idempotent. */
bool IsIdempotentMethod(const std::string& aMethod);

/** Returns the headers to forward, in either direction: all but hop-by-hop
 * headers and those that the entry itself reads or writes. */
http::Headers ForwardableHeaders(const http::Headers& aHeaders);

} // namespace bamboostile::entry::internal
