#include "bamboostile/control/worker_api.h"

#include "bamboostile/wire/jobs_json.h"

namespace bamboostile::control {

namespace {

constexpr std::string_view kWorkers = "/v1/workers/";
constexpr std::string_view kReport = "/report";
constexpr std::string_view kLeave = "/leave";
constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kUnavailable = 503;

http::Response
JsonResponse(std::uint32_t aStatus, std::string aBody)
{
  http::Response response;
  response.m_status = aStatus;
  response.m_headers.push_back({ "Content-Type", "application/json" });
  response.m_body = std::move(aBody);
  return response;
}

/** Returns the id in /v1/workers/{id}SUFFIX; empty if the path does not match.
 */
std::string
WorkerIn(const std::string& aPath, std::string_view aSuffix)
{
  const std::size_t fixed = kWorkers.size() + aSuffix.size();
  if (aPath.size() <= fixed || !aPath.starts_with(kWorkers) ||
      !aPath.ends_with(aSuffix)) {
    return {};
  }
  return aPath.substr(kWorkers.size(), aPath.size() - fixed);
}

http::Response
ToResponse(const WorkerAnswer& aAnswer)
{
  if (aAnswer.m_orders) {
    return JsonResponse(
      kOk, wire::WriteOrders(*aAnswer.m_orders, aAnswer.m_fencingToken));
  }
  const bool isFollower = !aAnswer.m_leaderAddress.empty();
  return JsonResponse(isFollower ? kUnavailable : kConflict,
                      nlohmann::json{ { "error", aAnswer.m_refusal } }.dump());
}

} // namespace

bool
WorkerApi::Handle(http::Server& aServer,
                  const std::shared_ptr<http::Exchange>& aExchange)
{
  const http::Request& request = aExchange->Incoming();
  const std::string reportingWorker = WorkerIn(request.m_target, kReport);
  const std::string leavingWorker = WorkerIn(request.m_target, kLeave);
  if (request.m_method != "POST" ||
      (reportingWorker.empty() && leavingWorker.empty())) {
    return false;
  }
  json::InvalidField invalid;
  if (!leavingWorker.empty()) {
    const auto incarnation =
      wire::ReadWorkerLeave(leavingWorker, request.m_body, invalid);
    if (!incarnation) {
      aExchange->Respond(JsonResponse(kBadRequest, json::ToJson(invalid)));
      return true;
    }
    m_bridge.Answer(aServer, aExchange, [this, incarnation = *incarnation]() {
      return m_jobs.Leave(incarnation).then([](const WorkerAnswer& aAnswer) {
        return ToResponse(aAnswer);
      });
    });
    return true;
  }
  auto report =
    wire::ReadWorkerReport(reportingWorker, request.m_body, invalid);
  if (!report) {
    aExchange->Respond(JsonResponse(kBadRequest, json::ToJson(invalid)));
    return true;
  }
  m_bridge.Answer(
    aServer,
    aExchange,
    [this, report = std::move(*report), receivedAt = MonotonicNow()]() {
      return m_jobs.Report(report, receivedAt)
        .then([](const WorkerAnswer& aAnswer) { return ToResponse(aAnswer); });
    });
  return true;
}

} // namespace bamboostile::control
