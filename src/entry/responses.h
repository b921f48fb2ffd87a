#pragma once

#include "bamboostile/http/message.h"
#include "bamboostile/request/types.h"

#include <nlohmann/json.hpp>

namespace bamboostile::entry::internal {

namespace status {

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kAccepted = 202;
constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kUnauthorized = 401;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kMethodNotAllowed = 405;
constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kGone = 410;
constexpr std::uint32_t kUnprocessable = 422;
constexpr std::uint32_t kTooManyRequests = 429;
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kTimeout = 504;

} // namespace status

http::Response JsonResponse(std::uint32_t aStatus, const nlohmann::json& aBody);

/** Returns a 400 response that names the field and its allowed values. */
http::Response FieldError(const std::string& aField,
                          const std::string& aAllowed);

/** Adds Retry-After, in seconds rounded up, and Bamboostile-Retry-After-Ms with
 * the exact milliseconds, for callers that read it. */
void AddRetryAfter(http::Response& aResponse, Duration aAfter);

std::uint32_t StatusOf(const request::Conclude& aConclude);

/** Converts a recorded answer to a response. */
http::Response FromAnswer(const outcome::Answer& aAnswer);
/** Converts a response to an answer to record; drops a body of more than
 * aKeptBytes. */
outcome::Answer ToAnswer(const http::Response& aResponse,
                         std::size_t aKeptBytes);

} // namespace bamboostile::entry::internal
