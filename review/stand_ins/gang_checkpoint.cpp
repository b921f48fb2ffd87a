// One worker of the service is cut off from all machines of the system and runs
// on. One of its tasks is a member of a gang that saves its progress.
//   gang_checkpoint PROCESSES RECORD TROUBLE

#include "deployment.h"

using namespace review;

namespace {

constexpr std::size_t kWorkers = 9;
constexpr int kCpuMillis = 16'000;
constexpr int kMembers = 4;
constexpr int kWorkMs = 10'000;
constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr Millis kCut{ 5'500 };
constexpr std::int64_t kContactMs = 3'000;

std::string
WriteJob()
{
  const Json spec{ { "count", kMembers },
                   { "work_ms", kWorkMs },
                   { "saves", true } };
  return Json{
    { "spec", spec.dump() },
    { "steps",
      { { { "count", kMembers },
          { "cpu", 10'000 },
          { "mem_mb", 1'024 },
          { "estimate_ms", kWorkMs },
          { "saves_progress", true },
          { "gang", true } } } }
  }.dump();
}

/** Runs that began with members that carry different checkpoints. */
std::set<std::uint64_t>
MixedRuns(Fleet& aFleet)
{
  std::map<std::uint64_t, std::set<std::string>> saved;
  for (const auto& start : aFleet.Starts()) {
    saved[start.m_run].insert(start.m_saved);
  }
  std::set<std::uint64_t> mixed;
  for (const auto& [run, values] : saved) {
    if (values.size() > 1) {
      mixed.insert(run);
    }
  }
  return mixed;
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
                        WriteConfig(1, 3),
                        Millis{ 20'000 }) ||
      !deployment.AwaitReady("edge-1", Millis{ 10'000 })) {
    return kNotRun;
  }
  fleet.Start();
  std::this_thread::sleep_for(Millis{ 8'000 });
  Client client(record, "client");
  const std::string front = deployment.Front("edge-1");
  if (client.Send(front, "POST", kJob, WriteJob()) != 200) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Millis{ 4'000 });
  const auto worker = fleet.FindWorkerOf(std::string{ kJob } + ".0.0.0");
  if (!worker) {
    return kNotRun;
  }
  if (hasTrouble) {
    fleet.SetCutOff(*worker, true);
  }
  std::this_thread::sleep_for(kCut);
  if (hasTrouble) {
    fleet.SetCutOff(*worker, false);
  }
  const std::int64_t calmSince = record.NowMs() + kContactMs;
  std::string state;
  const std::int64_t until = calmSince + 40'000;
  while (record.NowMs() < until && state != "completed" && state != "failed") {
    std::this_thread::sleep_for(Millis{ 2'000 });
    state = client.StateOf(front, kJob);
  }
  // Only runs that began after the end of the disruption count.
  std::set<std::uint64_t> calmRuns;
  for (const auto& start : fleet.Starts()) {
    if (start.m_atMs > calmSince) {
      calmRuns.insert(start.m_run);
    }
  }
  std::set<std::uint64_t> aloneRuns;
  for (const auto& end : fleet.Ends()) {
    if (end.m_how == "alone" && calmRuns.contains(end.m_run)) {
      aloneRuns.insert(end.m_run);
    }
  }
  record.Add("the job is " + state + "; runs with different checkpoints: " +
             std::to_string(MixedRuns(fleet).size()) + "; runs that began " +
             std::to_string(kContactMs) +
             " ms after the cut or later and ended alone: " +
             std::to_string(aloneRuns.size()));
  if (deployment.HasOrders()) {
    return kNotRun;
  }
  if (!aloneRuns.empty()) {
    record.Add("GANG: runs ended alone with no disruption near");
    return kBroken;
  }
  return state == "completed" ? kHeld : kNotRun;
}
