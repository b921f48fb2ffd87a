#include "processes.h"

#include "check.h"

#include <algorithm>

using namespace bamboostile;
using test::Processes;

namespace {

constexpr Millis kLimit{ 60'000 };
constexpr int kWorkers = 6;
constexpr int kCap = 2;

} // namespace

TEST_GROUP(Maintenance){
  static void StartAll(Processes & aProcesses,
                       const std::vector<std::string>& aPlatform){
    aProcesses.StartPlatform(kWorkers, aPlatform);
aProcesses.StartHostedControl();
for (int i = 1; i <= kWorkers; ++i) {
  aProcesses.StartHostedWorker(i);
}
}

static bool
StartWave(Processes& aProcesses, int aWave)
{
  const std::string body =
    R"({"wave":)" + std::to_string(aWave) +
    R"(,"machines":["k1","k2","k3","k4","k5","k6"],"within_s":60,"cap":2})";
  const auto isTaken = [&]() {
    return aProcesses
             .Http(aProcesses.ControlFrontHttp(),
                   "POST",
                   "/bamboostile/wave-start",
                   {},
                   body)
             .m_response.m_status == 200;
  };
  return aProcesses.Until(isTaken, kLimit);
}

static bool
IsCompleted(Processes& aProcesses, int aWave)
{
  const auto answer =
    aProcesses.Http(aProcesses.ControlFrontHttp(),
                    "GET",
                    "/bamboostile/wave-get/" + std::to_string(aWave));
  return answer.m_response.m_body.find("completed") != std::string::npos;
}

/** Most instances that were down at once, as the platform saw it. */
static int
MostDown(const Processes& aProcesses)
{
  int most = 0;
  for (const std::string& line : aProcesses.PlatformLines("down")) {
    most = std::max(most, std::stoi(line.substr(line.rfind(' ') + 1)));
  }
  return most;
}

static void
CheckWave(Processes& aProcesses, int aWave)
{
  CHECK(
    aProcesses.Until([&]() { return IsCompleted(aProcesses, aWave); }, kLimit));
  LONGS_EQUAL(kWorkers * aWave, aProcesses.PlatformLines("down").size());
  CHECK(MostDown(aProcesses) <= kCap);
}
}
;

// Guards against an order that was obeyed unheard, and is sent again by the
// HTTP library: its answer, busy, would be taken for a refusal.
TEST(Maintenance, KeptConnectionsDieAfterOrder_CapIsKept)
{
  Processes processes(24100);
  StartAll(processes, { "--fails", "kept-closed" });
  CHECK(StartWave(processes, 1));
  CheckWave(processes, 1);
}

// Guards against instances that count as back because time has passed.
TEST(Maintenance, InstancesComeBackLate_CapIsKept)
{
  Processes processes(24200);
  StartAll(processes, { "--down-ms", "5500" });
  CHECK(StartWave(processes, 1));
  CheckWave(processes, 1);
}

// Guards against unclear orders and what is left of an earlier wave, across a
// change of leader.
TEST(Maintenance, OrdersObeyedUnheardAndLeaderKilledInTwoWaves_CapIsKept)
{
  Processes processes(24300);
  StartAll(processes, { "--fails", "closed", "--fails-every", "2" });
  CHECK(StartWave(processes, 1));
  CHECK(processes.Until(
    [&]() { return !processes.PlatformLines("down").empty(); }, kLimit));
  processes.Kill("c1");
  processes.StartHostedControl();
  CheckWave(processes, 1);
  CHECK(StartWave(processes, 2));
  CheckWave(processes, 2);
}
