// One worker of the service fails all that it starts. Clients hand in one gang
// for each worker.
//   gang_failure PROCESSES RECORD TROUBLE

#include "deployment.h"

using namespace review;

namespace {

constexpr std::size_t kWorkers = 12;
constexpr int kCpuMillis = 16'000;
constexpr int kMembers = 4;
constexpr int kMaxAttempts = 3;

std::string
WriteJob()
{
  const Json spec{ { "count", kMembers }, { "work_ms", 2'000 } };
  return Json{
    { "spec", spec.dump() },
    { "steps",
      { { { "count", kMembers },
          { "cpu", 4'000 },
          { "mem_mb", 1'024 },
          { "estimate_ms", 2'000 },
          { "gang", true } } } }
  }.dump();
}

std::string
JobId(std::size_t aNumber)
{
  char text[17];
  std::snprintf(text, sizeof(text), "5c0e7a21d94b%04zx", aNumber);
  return text;
}

/** Runs of the job's gang that ended because a member failed. */
std::set<std::uint64_t>
FailedRuns(Fleet& aFleet, const std::string& aJob)
{
  std::set<std::uint64_t> runs;
  for (const auto& end : aFleet.Ends()) {
    if (end.m_task.starts_with(aJob) && end.m_how == "failed") {
      runs.insert(end.m_run);
    }
  }
  return runs;
}

/** The most ends `failed` of any task of the job. */
std::size_t
MostFailuresOfTask(Fleet& aFleet, const std::string& aJob)
{
  std::map<std::string, std::size_t> failures;
  std::size_t most = 0;
  for (const auto& end : aFleet.Ends()) {
    if (end.m_task.starts_with(aJob) && end.m_how == "failed") {
      most = std::max(most, ++failures[end.m_task]);
    }
  }
  return most;
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
    fleet.Add("7f3a91" + std::to_string(10 + i), kService, kCpuMillis);
  }
  if (!deployment.StartPlatform() ||
      !deployment.Order("POST",
                        "/bamboostile/config/replace",
                        WriteConfig(1, kMaxAttempts),
                        Millis{ 20'000 }) ||
      !deployment.AwaitReady("edge-1", Millis{ 10'000 })) {
    return kNotRun;
  }
  fleet.Start();
  std::this_thread::sleep_for(Millis{ 8'000 });
  if (hasTrouble) {
    fleet.SetFaulty(0, true);
  }
  Client client(record, "client");
  const std::string front = deployment.Front("edge-1");
  std::vector<std::string> accepted;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    const std::string job = JobId(i);
    if (client.Send(front, "POST", job, WriteJob()) == 200) {
      accepted.push_back(job);
    }
  }
  std::this_thread::sleep_for(Millis{ 6'500 });
  if (hasTrouble) {
    fleet.SetFaulty(0, false);
  }
  // Jobs are asked for long after they could have ended on sound workers.
  std::this_thread::sleep_for(Millis{ 14'000 });
  bool isBroken = false;
  std::size_t failedGangs = 0;
  std::size_t completed = 0;
  for (const std::string& job : accepted) {
    const std::string state = client.StateOf(front, job);
    const auto runs = FailedRuns(fleet, job).size();
    const auto ofTask = MostFailuresOfTask(fleet, job);
    record.Add("job " + job + " is " + state +
               "; runs of its gang that failed: " + std::to_string(runs) +
               ", most failures of one task: " + std::to_string(ofTask));
    failedGangs += runs > 0 ? 1 : 0;
    completed += state == "completed" ? 1 : 0;
    if (state == "failed" && runs < kMaxAttempts && ofTask < kMaxAttempts) {
      isBroken = true;
      record.Add("LOST: shown as failed, max_attempts is " +
                 std::to_string(kMaxAttempts));
    }
  }
  record.Add("accepted " + std::to_string(accepted.size()) + ", completed " +
             std::to_string(completed) + ", gangs with a failed run " +
             std::to_string(failedGangs));
  if (deployment.HasOrders() || accepted.size() < kWorkers ||
      (hasTrouble && failedGangs == 0)) {
    return kNotRun;
  }
  if (isBroken) {
    return kBroken;
  }
  return !hasTrouble && completed < accepted.size() ? kNotRun : kHeld;
}
