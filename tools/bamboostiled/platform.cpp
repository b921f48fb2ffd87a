#include "platform.h"

#include "bamboostile/telemetry/log.h"

namespace bamboostile::daemon {

namespace {

constexpr Duration kRepeatInterval = Millis{ 5000 };
constexpr Duration kRequestTimeout = Millis{ 2000 };

} // namespace

RestartClient::RestartClient(std::string aAddress)
  : m_address(std::move(aAddress))
{
}

void
RestartClient::Restart(const fleet::Instance& aInstance)
{
  const InstanceId& id = aInstance.m_announced.m_id;
  const TimePoint now = MonotonicNow();
  TimePoint& requestedAt = m_requestedAt[id];
  if (requestedAt + kRepeatInterval > now) {
    return;
  }
  requestedAt = now;
  http::Call call;
  call.m_address = m_address;
  call.m_method = "POST";
  call.m_target = "/v1/restart/" + id.Get() + "?incarnation=" +
                  std::to_string(aInstance.m_announced.m_incarnation.Get());
  call.m_timeout = kRequestTimeout;
  // A repetition is safe: the platform restarts an incarnation at most once.
  call.m_atMostOnce = false;
  m_client.Start(std::move(call), [id](const http::CallResult& aResult) {
    telemetry::LogLine(telemetry::Level::kInfo,
                       "restart requested from the platform")
      .With("target", id.Get())
      .With("status", aResult.m_response.m_status)
      .Write();
  });
}

} // namespace bamboostile::daemon
