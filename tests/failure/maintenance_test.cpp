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
  const auto isAccepted = [&]() {
    return aProcesses
             .Http(aProcesses.ControlFrontHttp(),
                   "POST",
                   "/bamboostile/wave-start",
                   {},
                   body)
             .m_response.m_status == 200;
  };
  return aProcesses.Until(isAccepted, kLimit);
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

/** Returns the maximum number of instances that the platform had down at once.
 */
static int
MaxDown(const Processes& aProcesses)
{
  int max = 0;
  for (const std::string& line : aProcesses.PlatformLines("down")) {
    max = std::max(max, std::stoi(line.substr(line.rfind(' ') + 1)));
  }
  return max;
}

static void
CheckWave(Processes& aProcesses, int aWave)
{
  CHECK(
    aProcesses.Until([&]() { return IsCompleted(aProcesses, aWave); }, kLimit));
  LONGS_EQUAL(kWorkers * aWave, aProcesses.PlatformLines("down").size());
  CHECK(MaxDown(aProcesses) <= kCap);
}
}
;

// Guards against an order that the HTTP library resends after the platform has
// executed it but its answer was lost. The second answer, busy, would be taken
// for a refusal.
TEST(Maintenance, KeptConnectionsDieAfterOrder_CapIsKept)
{
  Processes processes(24100);
  StartAll(processes, { "--fails", "kept-closed" });
  CHECK(StartWave(processes, 1));
  CheckWave(processes, 1);
}

// Guards against instances that are counted as up again only because time has
// passed, while they come back later.
TEST(Maintenance, InstancesComeBackLate_CapIsKept)
{
  Processes processes(24200);
  StartAll(processes, { "--down-ms", "5500" });
  CHECK(StartWave(processes, 1));
  CheckWave(processes, 1);
}

// Guards against exceeding the cap because of orders with lost answers, or
// orders left from an earlier wave, across a change of leader.
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
