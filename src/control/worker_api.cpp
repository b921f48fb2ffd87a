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

/** The id in /v1/workers/{id}SUFFIX; empty where the path is another. */
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
  const bool follows = !aAnswer.m_leaderAddress.empty();
  return JsonResponse(follows ? kUnavailable : kConflict,
                      nlohmann::json{ { "error", aAnswer.m_refusal } }.dump());
}

} // namespace

bool
WorkerApi::Handle(http::Server& aServer,
                  const std::shared_ptr<http::Exchange>& aExchange)
{
  const http::Request& request = aExchange->Incoming();
  const std::string reporting = WorkerIn(request.m_target, kReport);
  const std::string leaving = WorkerIn(request.m_target, kLeave);
  if (request.m_method != "POST" || (reporting.empty() && leaving.empty())) {
    return false;
  }
  json::BadField bad;
  if (!leaving.empty()) {
    const auto life = wire::ReadWorkerLeave(leaving, request.m_body, bad);
    if (!life) {
      aExchange->Respond(JsonResponse(kBadRequest, json::ToJson(bad)));
      return true;
    }
    m_bridge.Answer(aServer, aExchange, [this, life = *life]() {
      return m_jobs.Leave(life).then(
        [](const WorkerAnswer& aAnswer) { return ToResponse(aAnswer); });
    });
    return true;
  }
  auto report = wire::ReadWorkerReport(reporting, request.m_body, bad);
  if (!report) {
    aExchange->Respond(JsonResponse(kBadRequest, json::ToJson(bad)));
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
