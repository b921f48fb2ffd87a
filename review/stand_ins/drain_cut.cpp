// Four machines are stopped and started in turn: three that take requests, then
// the one that leads. Clients go on using their open connections.
//   drain_cut PROCESSES RECORD TROUBLE

#include "deployment.h"

using namespace review;

namespace {

constexpr std::size_t kWorkers = 9;
/** Open connections; a client sends one request on each in turn. */
constexpr std::size_t kConnections = 40;
constexpr Millis kPause{ 150 };
constexpr Millis kGap{ 1'500 };
constexpr std::int64_t kLossSlackMs = 200;
constexpr std::int64_t kGraceMs = 6'000;
constexpr Millis kDeadline{ 3'000 };

struct Open
{
  Connection m_connection;
  std::int64_t m_sentAt = 0;
  std::int64_t m_endedAt = 0;
  std::optional<ReadEnd> m_end;
  std::thread m_thread;
};

std::string
JobId(std::size_t aNumber)
{
  char text[17];
  std::snprintf(text, sizeof(text), "5c0e7a21d94b%04zx", aNumber);
  return text;
}

std::string
WriteJob()
{
  return Json{
    { "spec", Json{ { "work_ms", 500 } }.dump() },
    { "steps",
      { { { "count", 1 },
          { "cpu", 900 },
          { "mem_mb", 256 },
          { "estimate_ms", 500 } } } }
  }.dump();
}

std::string
WriteCall(const std::string& aMethod,
          const std::string& aJob,
          const std::string& aBody)
{
  return WriteRequest(
    aMethod, kPrefix + aJob, kHost, aBody, "Deadline-Ms: 3000\r\n");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return kNotRun;
  }
  Record record(aArguments[2]);
  const bool hasTrouble = std::string{ aArguments[3] } != "0";
  Deployment deployment(aArguments[1], record);
  Fleet fleet(record, Bounds{}, deployment.Controls());
  for (std::size_t i = 0; i < kWorkers; ++i) {
    fleet.Add("7f3a91" + std::to_string(10 + i), kService, 16'000);
  }
  if (!deployment.StartPlatform() ||
      !deployment.Order("POST",
                        "/bamboostile/config/replace",
                        WriteConfig(1, 3),
                        Millis{ 20'000 }) ||
      !deployment.AwaitReady("edge-1", Millis{ 10'000 })) {
    return kNotRun;
  }
  fleet.Start();
  std::this_thread::sleep_for(Millis{ 8'000 });
  const std::string front = deployment.Front("edge-1");
  std::vector<std::unique_ptr<Open>> open;
  for (std::size_t i = 0; i < kConnections; ++i) {
    open.push_back(std::make_unique<Open>());
    Message answer;
    if (!open[i]->m_connection.Open(front, kDeadline) ||
        !open[i]->m_connection.Send(WriteCall("GET", "", "")) ||
        open[i]->m_connection.Receive(answer, Clock::now() + kDeadline) !=
          ReadEnd::kComplete) {
      return kNotRun;
    }
  }
  const std::string leader = deployment.LeaderMachine();
  if (leader.empty()) {
    return kNotRun;
  }
  const std::vector<std::string> machines{
    "edge-1", "edge-2", "edge-3", leader
  };
  std::size_t stopped = 0;
  const auto begin = Clock::now();
  const std::int64_t beginMs = record.NowMs();
  for (std::size_t i = 0; i < kConnections; ++i) {
    if (hasTrouble && stopped < machines.size() &&
        Clock::now() >= begin + kGap * stopped) {
      deployment.Signal(machines[stopped++], SIGTERM);
    }
    std::this_thread::sleep_until(begin + kPause * (i + 1));
    Open& call = *open[i];
    if (!call.m_connection.Send(WriteCall("POST", JobId(i), WriteJob()))) {
      continue;
    }
    call.m_sentAt = record.NowMs();
    call.m_thread = std::thread([&call, &record, i]() {
      Message answer;
      call.m_end = call.m_connection.Receive(answer, Clock::now() + kDeadline);
      call.m_endedAt = record.NowMs();
      record.Add("POST " + JobId(i) + " sent at " +
                 std::to_string(call.m_sentAt) + " ms -> " +
                 (call.m_end == ReadEnd::kComplete ? answer.m_first
                  : call.m_end == ReadEnd::kClosed
                    ? "the connection ended without an answer"
                    : "no answer in time"));
    });
  }
  std::size_t lost = 0;
  for (auto& call : open) {
    if (!call->m_thread.joinable()) {
      continue;
    }
    call->m_thread.join();
    const bool isCounted = call->m_sentAt < beginMs + kGraceMs + 1'000 &&
                           call->m_endedAt > call->m_sentAt + kLossSlackMs &&
                           call->m_endedAt < call->m_sentAt + kDeadline.count();
    if (call->m_end == ReadEnd::kClosed && isCounted) {
      ++lost;
    }
  }
  record.Add("requests cut later than loss_slack_ms after they were sent: " +
             std::to_string(lost));
  if (deployment.HasOrders()) {
    return kNotRun;
  }
  if (lost > 0) {
    record.Add("LOST: connections ended without an answer around a SIGTERM");
    return kBroken;
  }
  return kHeld;
}
