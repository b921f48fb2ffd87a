// A client hands in a job of many small tasks, whose spec has the size that is
// allowed at most. A job that lasts runs beside it.
//   large_job PROCESSES RECORD TROUBLE

#include "deployment.h"

using namespace review;

namespace {

constexpr std::size_t kWorkers = 8;
constexpr int kCpuMillis = 64'000;
constexpr int kMemoryMb = 262'144;
constexpr const char* kLargeJob = "5c0e7a21d94b36f8";
constexpr const char* kLastingJob = "5c0e7a21d94b36f9";
constexpr int kTasks = 1'200;
constexpr int kTaskCpuMillis = 50;
constexpr int kTaskMemoryMb = 200;
constexpr std::size_t kMaxSpecBytes = 4'000;
constexpr std::size_t kShortSpecBytes = 100;
constexpr Millis kFinish{ 14'000 };
/** Time for which a job has nothing running although there is room. */
constexpr std::int64_t kIdleMs = 3'000;

std::string
WriteLargeJob(std::size_t aSpecBytes)
{
  Json spec{ { "work_ms", 1'000 }, { "text", "" } };
  spec["text"] = std::string(aSpecBytes - spec.dump().size(), 'x');
  return Json{
    { "spec", spec.dump() },
    { "steps",
      { { { "count", kTasks },
          { "cpu", kTaskCpuMillis },
          { "mem_mb", kTaskMemoryMb },
          { "estimate_ms", 1'000 } } } }
  }.dump();
}

std::string
WriteLastingJob()
{
  const Json spec{ { "work_ms", 500 }, { "lasts", true } };
  return Json{
    { "spec", spec.dump() },
    { "steps",
      { { { "count", kWorkers },
          { "cpu", 2'000 },
          { "mem_mb", 1'024 },
          { "anti_affinity", 1 },
          { "estimate_ms", 500 },
          { "long_running", true } } } }
  }.dump();
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
    fleet.Add(
      "7f3a91" + std::to_string(10 + i), kService, kCpuMillis, kMemoryMb);
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
  Client client(record, "client");
  const std::string front = deployment.Front("edge-1");
  if (client.Send(front, "POST", kLastingJob, WriteLastingJob()) != 200) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Millis{ 4'000 });
  if (fleet.CountRuns() != kWorkers) {
    return kNotRun;
  }
  const std::size_t specBytes = hasTrouble ? kMaxSpecBytes : kShortSpecBytes;
  record.Add("the large job has a spec of " + std::to_string(specBytes) +
             " bytes");
  if (client.Send(front, "POST", kLargeJob, WriteLargeJob(specBytes)) != 200) {
    return kNotRun;
  }
  const std::int64_t acceptedAt = record.NowMs();
  std::this_thread::sleep_for(kFinish);
  const std::string state = client.StateOf(front, kLargeJob);
  std::size_t lapsed = 0;
  for (const auto& end : fleet.Ends()) {
    lapsed +=
      end.m_task.starts_with(kLastingJob) && end.m_how == "lapsed" ? 1 : 0;
  }
  std::size_t starts = 0;
  for (const auto& start : fleet.Starts()) {
    starts += start.m_task.starts_with(kLargeJob) ? 1 : 0;
  }
  record.Add("the large job is " + state + ", " + std::to_string(starts) +
             " of its " + std::to_string(kTasks) +
             " tasks have been started; tasks of the lasting job whose lease "
             "lapsed: " +
             std::to_string(lapsed));
  if (deployment.HasOrders()) {
    return kNotRun;
  }
  const std::int64_t idleMs = fleet.IdleMsOf(kLargeJob, acceptedAt);
  // The large job needs 60 of 512 cores; the lasting one uses 16.
  if ((state == "queued" || state == "running") && idleMs > kIdleMs) {
    record.Add("LOST: the job has had nothing running for " +
               std::to_string(idleMs) +
               " ms, and there is capacity for it twice over");
    return kBroken;
  }
  return state == "completed" && lapsed == 0 ? kHeld : kNotRun;
}
