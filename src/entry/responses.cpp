#include "responses.h"

#include "caller_headers.h"

namespace bamboostile::entry::internal {

using namespace status;
using Json = nlohmann::json;

namespace {

constexpr const char* kJsonType = "application/json";

const char*
ReasonPhrase(std::uint32_t aStatus)
{
  switch (aStatus) {
    case kOk:
      return "OK";
    case kAccepted:
      return "Accepted";
    case kBadRequest:
      return "Bad Request";
    case kNotFound:
      return "Not Found";
    case kMethodNotAllowed:
      return "Method Not Allowed";
    case kConflict:
      return "Conflict";
    case kGone:
      return "Gone";
    case kUnprocessable:
      return "Unprocessable Content";
    case kUnavailable:
      return "Service Unavailable";
    case kTimeout:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

} // namespace

http::Response
JsonResponse(std::uint32_t aStatus, const Json& aBody)
{
  http::Response response;
  response.m_status = aStatus;
  response.m_reason = ReasonPhrase(aStatus);
  response.m_headers.push_back({ "Content-Type", kJsonType });
  response.m_body =
    aBody.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

http::Response
FieldError(const std::string& aField, const std::string& aAllowed)
{
  http::Response response = JsonResponse(
    kBadRequest,
    { { "error", "bad input" }, { "field", aField }, { "allowed", aAllowed } });
  response.m_headers.push_back({ kOutcomeHeader, "not-run" });
  return response;
}

void
AddRetryAfter(http::Response& aResponse, Duration aAfter)
{
  const auto millis = std::max<std::int64_t>(ToMillis(aAfter).count(), 0);
  constexpr std::int64_t kMillisPerSecond = 1000;
  const auto seconds = (millis + kMillisPerSecond - 1) / kMillisPerSecond;
  aResponse.m_headers.push_back({ "Retry-After", std::to_string(seconds) });
  aResponse.m_headers.push_back(
    { kRetryAfterMsHeader, std::to_string(millis) });
}

std::uint32_t
StatusOf(const request::Conclude& aConclude)
{
  switch (aConclude.m_reason) {
    case request::Reason::kUnknownService:
      return kNotFound;
    case request::Reason::kDigestMismatch:
      return kUnprocessable;
    case request::Reason::kAttemptNotAllowed:
      return kConflict;
    default:
      return aConclude.m_state == outcome::State::kNotRun ? kUnavailable
                                                          : kTimeout;
  }
}

http::Response
FromAnswer(const outcome::Answer& aAnswer)
{
  http::Response response;
  response.m_status = aAnswer.m_status;
  response.m_reason = ReasonPhrase(aAnswer.m_status);
  for (const outcome::Header& header : aAnswer.m_headers) {
    response.m_headers.push_back({ header.m_name, header.m_value });
  }
  response.m_body = aAnswer.m_body;
  // An incomplete answer must not look complete: the caller is told that its
  // request was run and that the body was not kept.
  if (aAnswer.m_bodyDropped) {
    response =
      JsonResponse(kGone,
                   { { "error", "the answer was too large to be kept" },
                     { "status", aAnswer.m_status } });
  }
  return response;
}

outcome::Answer
ToAnswer(const http::Response& aResponse, std::size_t aKeptBytes)
{
  outcome::Answer answer;
  answer.m_status = aResponse.m_status;
  for (const http::Header& header : ForwardableHeaders(aResponse.m_headers)) {
    answer.m_headers.push_back({ header.m_name, header.m_value });
  }
  answer.m_bodyDropped = aResponse.m_body.size() > aKeptBytes;
  if (!answer.m_bodyDropped) {
    answer.m_body = aResponse.m_body;
  }
  return answer;
}

} // namespace bamboostile::entry::internal
