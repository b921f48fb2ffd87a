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

/** Reads what a caller says about its request in headers. Without a key the
 * request id stays empty for the entry to make one. */
std::optional<request::Arrival> ReadCallerHeaders(
  const http::Request& aRequest,
  const settings::Limits& aLimits,
  HeaderProblem& aProblem);

/** RFC 9110, 9.2.2. */
bool IsIdempotentMethod(const std::string& aMethod);

/** Headers to pass on, in either direction: not those of one hop, nor those
 * that this system speaks itself. */
http::Headers WithoutOwn(const http::Headers& aHeaders);

} // namespace bamboostile::entry::internal
