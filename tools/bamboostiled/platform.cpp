#include "platform.h"

#include "bamboostile/telemetry/log.h"

namespace bamboostile::daemon {

namespace {

constexpr Duration kAskAgain = Millis{ 5000 };
constexpr Duration kTimeout = Millis{ 2000 };

} // namespace

Platform::Platform(std::string aAddress)
  : m_address(std::move(aAddress))
{
}

void
Platform::Restart(const fleet::Instance& aInstance)
{
  const InstanceId& id = aInstance.m_announced.m_id;
  const TimePoint now = MonotonicNow();
  TimePoint& asked = m_askedAt[id];
  if (asked + kAskAgain > now) {
    return;
  }
  asked = now;
  http::Call call;
  call.m_address = m_address;
  call.m_method = "POST";
  call.m_target = "/v1/restart/" + id.Get() + "?incarnation=" +
                  std::to_string(aInstance.m_announced.m_incarnation.Get());
  call.m_timeout = kTimeout;
  // The incarnation tells a repetition from a second restart.
  call.m_onlyOnce = false;
  m_client.Start(std::move(call), [id](const http::CallResult& aResult) {
    telemetry::LogLine(telemetry::Level::kInfo, "restart asked of the platform")
      .With("target", id.Get())
      .With("status", aResult.m_response.m_status)
      .Write();
  });
}

} // namespace bamboostile::daemon
