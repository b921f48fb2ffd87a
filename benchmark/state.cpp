// Measures the replicated state and its storage: memory and snapshot size as
// the fleet grows, restart time as the log grows, and the commit rate of
// batches compared with one sync for each command.

#include "report.h"

#include "bamboostile/consensus/replica.h"
#include "bamboostile/fleet/state.h"
#include "bamboostile/membership/registry.h"
#include "bamboostile/storage/log_store.h"
#include "bamboostile/waves/planner.h"

#include <chrono>
#include <filesystem>
#include <iostream>

#include <unistd.h>

namespace {

using namespace bamboostile;
namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kSnapshotEvery = 2000;

double
MillisSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - aStart)
    .count();
}

fleet::State
MakeFleet(std::size_t aInstances)
{
  fleet::State state;
  std::uint64_t index = 0;
  const auto apply = [&](const fleet::Command& aCommand) {
    state.Apply(Index{ ++index }, aCommand);
  };
  const auto submit = [&](fleet::Call aCall) {
    fleet::OperatorCall operation;
    operation.m_operation = OperationId{ "op" + std::to_string(index) };
    operation.m_call = std::move(aCall);
    apply(operation);
  };
  fleet::Service service;
  service.m_id = ServiceId{ "s" };
  submit(fleet::PutService{ service });
  submit(fleet::PutPool{ PoolId{ "p" }, service.m_id, "home" });
  for (std::size_t i = 0; i < aInstances; ++i) {
    fleet::Announcement announcement;
    announcement.m_id = InstanceId{ "worker-" + std::to_string(i) };
    announcement.m_incarnation = Incarnation{ 1 };
    announcement.m_service = service.m_id;
    announcement.m_zone = ZoneId{ "west-" + std::to_string(i % 10) };
    announcement.m_rack = RackId{ "rack-" + std::to_string(i / 4) };
    announcement.m_address = "10.0.0.1:8080";
    announcement.m_slots = 8;
    apply(fleet::AnnounceInstances{ { announcement } });
  }
  return state;
}

class TempDataFolder
{
public:
  explicit TempDataFolder(const std::string& aName)
    : m_path(fs::temp_directory_path() /
             (aName + "-" + std::to_string(getpid())))
  {
    fs::remove_all(m_path);
  }
  ~TempDataFolder() { fs::remove_all(m_path); }
  TempDataFolder(const TempDataFolder&) = delete;
  TempDataFolder& operator=(const TempDataFolder&) = delete;

  std::unique_ptr<storage::LogStore> Open()
  {
    storage::Failure failure;
    m_opened = {};
    return storage::LogStore::Open(
      m_path, InstanceId{ "c" }, m_opened, failure);
  }

  storage::OpenResult m_opened;

private:
  fs::path m_path;
};

consensus::LogEntry
MakeChange(std::uint64_t aIndex)
{
  fleet::OperatorCall call;
  call.m_operation = OperationId{ "op" + std::to_string(aIndex) };
  call.m_operator = "anna";
  fleet::Config config;
  config.m_note = std::to_string(aIndex);
  call.m_call = fleet::SetConfig{ config };
  return { Index{ aIndex },
           Term{ 1 },
           consensus::CommandBytes{
             fleet::EncodeCommand(call, fleet::kStateVersion) } };
}

void
Write(storage::LogStore& aStore, std::vector<consensus::LogEntry> aEntries)
{
  storage::Failure failure;
  consensus::Persist persist;
  persist.m_entries = std::move(aEntries);
  if (!aStore.Write(persist, failure)) {
    std::cerr << storage::ToText(failure) << "\n";
    std::exit(1);
  }
}

/** Time to read the data folder and rebuild the state after a restart. */
double
RestartMillis(std::size_t aChanges, bool aWithSnapshots)
{
  TempDataFolder folder("bench-restart");
  {
    auto store = folder.Open();
    fleet::State state;
    std::vector<consensus::LogEntry> batch;
    for (std::uint64_t i = 1; i <= aChanges; ++i) {
      const auto entry = MakeChange(i);
      state.Apply(
        entry.m_index,
        *fleet::DecodeCommand(
          std::get<consensus::CommandBytes>(entry.m_payload).m_bytes));
      batch.push_back(entry);
      if (aWithSnapshots && i % kSnapshotEvery == 0) {
        consensus::Persist compact;
        compact.m_snapshot =
          consensus::Snapshot{ Index{ i }, Term{ 1 }, {}, state.Encode() };
        storage::Failure failure;
        store->Write(compact, failure);
        batch.clear();
      } else if (batch.size() == 100) {
        Write(*store, std::exchange(batch, {}));
      }
    }
    if (!batch.empty()) {
      Write(*store, batch);
    }
  }
  const auto start = Clock::now();
  folder.Open();
  const auto& recovered = folder.m_opened.m_recovered;
  fleet::State state;
  if (recovered.m_snapshot) {
    state = *fleet::State::Decode(recovered.m_snapshot->m_state);
  }
  for (const auto& entry : recovered.m_entries) {
    state.Apply(entry.m_index,
                *fleet::DecodeCommand(
                  std::get<consensus::CommandBytes>(entry.m_payload).m_bytes));
  }
  return MillisSince(start);
}

double
CommitsPerSecond(std::size_t aBatch)
{
  constexpr std::size_t kCommits = 2000;
  TempDataFolder folder("bench-commits");
  auto store = folder.Open();
  const auto start = Clock::now();
  std::uint64_t index = 0;
  while (index < kCommits) {
    std::vector<consensus::LogEntry> batch;
    for (std::size_t i = 0; i < aBatch; ++i) {
      batch.push_back(MakeChange(++index));
    }
    Write(*store, std::move(batch));
  }
  return kCommits / MillisSince(start) * 1000;
}

void
MeasureFleet(benchmark::Report& aReport, std::size_t aInstances)
{
  const std::string count = std::to_string(aInstances);
  const double before = benchmark::AllocatedKiB();
  const fleet::State state = MakeFleet(aInstances);
  aReport.Set("state, KiB at " + count, benchmark::AllocatedKiB() - before);
  auto start = Clock::now();
  const std::string bytes = state.Encode();
  aReport.Set("snapshot, ms at " + count, MillisSince(start));
  aReport.Set("snapshot, bytes at " + count, static_cast<double>(bytes.size()));
  aReport.Set(
    "full view, bytes at " + count,
    static_cast<double>(fleet::EncodeView(state.ViewSince(Index{})).size()));
  aReport.Set("view of one change, bytes at " + count,
              static_cast<double>(fleet::EncodeView(state.ViewSince(Previous(
                                                      state.ViewRevision())))
                                    .size()));
  start = Clock::now();
  state.ViewSince(Previous(state.ViewRevision()));
  aReport.Set("view of one change, ms at " + count, MillisSince(start));
  membership::Registry registry({});
  registry.Reset(TimePoint{});
  start = Clock::now();
  registry.FindLost(state.Instances(), TimePoint{ std::chrono::seconds{ 1 } });
  aReport.Set("look for lost, ms at " + count, MillisSince(start));
  start = Clock::now();
  waves::PreviewWave(state, PoolId{ "p" });
  aReport.Set("wave preview, ms at " + count, MillisSince(start));
}

} // namespace

int
main()
{
  benchmark::Report report("state");
  for (const std::size_t instances : { 300UL, 1000UL, 3000UL, 10'000UL }) {
    MeasureFleet(report, instances);
  }
  for (const std::size_t changes : { 500UL, 5000UL, 20'000UL }) {
    const std::string count = std::to_string(changes);
    report.Set("restart, ms after " + count, RestartMillis(changes, true));
    report.Set("restart without snapshots, ms after " + count,
               RestartMillis(changes, false));
  }
  for (const std::size_t batch : { 1UL, 8UL, 64UL }) {
    report.Set("commits a second, batch " + std::to_string(batch),
               CommitsPerSecond(batch));
  }
  for (const char* figure : { "state, KiB at 1000",
                              "state, KiB at 3000",
                              "snapshot, ms at 1000",
                              "snapshot, ms at 3000",
                              "snapshot, bytes at 3000",
                              "full view, bytes at 3000",
                              "view of one change, bytes at 3000",
                              "view of one change, ms at 3000",
                              "look for lost, ms at 3000",
                              "wave preview, ms at 3000",
                              "restart, ms after 500",
                              "restart, ms after 5000",
                              "restart, ms after 20000",
                              "restart without snapshots, ms after 5000",
                              "restart without snapshots, ms after 20000",
                              "commits a second, batch 1",
                              "commits a second, batch 8",
                              "commits a second, batch 64" }) {
    std::cout << figure << ": " << report.Get(figure) << "\n";
  }
  report.AddBound("snapshot time at 10000 beside 1000 instances",
                  report.Get("snapshot, ms at 10000") /
                    report.Get("snapshot, ms at 1000"),
                  3,
                  30);
  report.AddBound("restart with snapshots beside without, after 20000 changes",
                  report.Get("restart, ms after 20000") /
                    report.Get("restart without snapshots, ms after 20000"),
                  0,
                  0.7);
  report.AddBound("commits in batches of 64 beside one sync each",
                  report.Get("commits a second, batch 64") /
                    report.Get("commits a second, batch 1"),
                  2,
                  1000);
  return report.Finish();
}
