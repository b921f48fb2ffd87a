#include "jobs_api.h"

#include "bamboostile/http/authorization.h"
#include "bamboostile/wire/jobs_json.h"
#include "bamboostile/workspaces/key_digest.h"
#include "responses.h"

namespace bamboostile::entry::internal {

namespace {

constexpr std::string_view kQueuesPrefix = "/v1/queues/";
constexpr std::string_view kJobsSegment = "/jobs/";
constexpr Millis kMinRetryAfter{ 1000 };

std::uint32_t
StatusOf(jobs::QueueOutcome aOutcome)
{
  switch (aOutcome) {
    case jobs::QueueOutcome::kOk:
      return status::kOk;
    case jobs::QueueOutcome::kNoQueue:
    case jobs::QueueOutcome::kNoJob:
      return status::kNotFound;
    case jobs::QueueOutcome::kBadJob:
      return status::kBadRequest;
    case jobs::QueueOutcome::kUnauthorized:
      return status::kUnauthorized;
    case jobs::QueueOutcome::kRefused:
      return status::kTooManyRequests;
    case jobs::QueueOutcome::kUndecided:
      return status::kTimeout;
    case jobs::QueueOutcome::kNotLeader:
    case jobs::QueueOutcome::kNoRoutes:
      return status::kUnavailable;
  }
  return status::kUnavailable;
}

http::Response
ToResponse(jobs::CallKind aKind, const jobs::QueueReply& aReply)
{
  nlohmann::json body{ { "outcome", jobs::Describe(aReply.m_outcome) } };
  const bool isOk = aReply.m_outcome == jobs::QueueOutcome::kOk;
  if (isOk && aReply.m_pending) {
    body["pending"] = *aReply.m_pending;
  } else if (isOk && aKind == jobs::CallKind::kQuery) {
    body["state"] = wire::NameOf(aReply.m_state);
  }
  if (!aReply.m_detail.empty()) {
    body["detail"] = aReply.m_detail;
  }
  const std::uint32_t status = StatusOf(aReply.m_outcome);
  http::Response response = JsonResponse(status, body);
  if (status == status::kUnavailable || status == status::kTimeout ||
      status == status::kTooManyRequests) {
    AddRetryAfter(response, std::max(aReply.m_retryAfter, kMinRetryAfter));
  }
  if (status == status::kUnauthorized) {
    response.m_headers.push_back(http::BearerChallenge());
  }
  return response;
}

/** Reads method, queue, id and job. If the request is invalid, responds to it
 * and returns nothing. */
std::optional<jobs::QueueCall>
ReadCall(http::Exchange& aExchange)
{
  const http::Request& request = aExchange.Incoming();
  const std::string rest = request.m_target.substr(kQueuesPrefix.size());
  const std::size_t jobs = rest.find(kJobsSegment);
  const std::string queue = rest.substr(0, jobs);
  const std::string id =
    jobs == std::string::npos ? "" : rest.substr(jobs + kJobsSegment.size());
  jobs::QueueCall call;
  call.m_path = "/" + queue + "/" + id;
  call.m_key = workspaces::DigestKey(http::BearerToken(request.m_headers));
  if (request.m_method == "GET") {
    return call;
  }
  if (!id.empty() && request.m_method == "DELETE") {
    call.m_kind = jobs::CallKind::kCancel;
    return call;
  }
  if (id.empty() || request.m_method != "POST") {
    aExchange.Respond(JsonResponse(
      status::kMethodNotAllowed,
      { { "allowed", id.empty() ? "GET" : "GET, POST, DELETE" } }));
    return std::nullopt;
  }
  json::InvalidField invalid;
  auto spec = wire::ReadJobSpec(request.m_body, invalid);
  if (!spec) {
    aExchange.Respond(JsonResponse(
      status::kBadRequest,
      { { "field", invalid.m_field }, { "allowed", invalid.m_allowed } }));
    return std::nullopt;
  }
  call.m_kind = jobs::CallKind::kSubmit;
  call.m_spec = std::move(*spec);
  return call;
}

} // namespace

bool
HandleJobs(QueueGateway& aGateway,
           http::Server& aServer,
           const std::shared_ptr<http::Exchange>& aExchange)
{
  if (!aExchange->Incoming().m_target.starts_with(kQueuesPrefix)) {
    return false;
  }
  auto call = ReadCall(*aExchange);
  if (!call) {
    return true;
  }
  const jobs::CallKind kind = call->m_kind;
  aGateway.Call(std::move(*call),
                [&aServer, aExchange, kind](const jobs::QueueReply& aReply) {
                  aServer.Post(
                    [aExchange, response = ToResponse(kind, aReply)]() {
                      aExchange->Respond(response);
                    });
                });
  return true;
}

} // namespace bamboostile::entry::internal
