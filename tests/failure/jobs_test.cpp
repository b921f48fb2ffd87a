#include "processes.h"

#include "check.h"

#include <csignal>
#include <fstream>
#include <thread>

using namespace bamboostile;
using test::Processes;
using Json = nlohmann::json;

namespace {

constexpr Millis kLimit{ 30'000 };
constexpr int kJobs = 30;
/** Two more starts are allowed after three crashes. */
constexpr int kMaxStartsOfCrashingTask = 5;

} // namespace

TEST_GROUP(Jobs){ static void PutQueue(Processes & aProcesses){
  const auto file = aProcesses.Folder() / "queues.json";
std::ofstream(file) << R"({"version": "1", "queues":
      [{"name": "reviews", "service": "desk", "maxAttempts": 3}]})";
CHECK(aProcesses.Until(
  [&]() {
    return aProcesses.Cli({ "queue", "apply", file.string() }).m_exit == 0;
  },
  kLimit));
}

static std::string
SpecFile(Processes& aProcesses)
{
  const auto file = aProcesses.Folder() / "job.json";
  std::ofstream(file) << R"({"payload": "p", "steps": [
      {"count": 3, "cpuMillis": 500, "memoryMb": 10},
      {"count": 2, "cpuMillis": 500, "memoryMb": 10, "dependsOn": [0]}]})";
  return file.string();
}

static void
Submit(Processes& aProcesses, int aJob)
{
  const std::string spec = SpecFile(aProcesses);
  const std::string id = "j" + std::to_string(aJob);
  CHECK(aProcesses.Until(
    [&]() {
      return aProcesses.Cli({ "job", "submit", "reviews", id, "--file", spec })
               .m_exit == 0;
    },
    kLimit));
}

static bool
IsCompleted(Processes& aProcesses, int aJob)
{
  const std::string id = "j" + std::to_string(aJob);
  return aProcesses.Cli({ "job", "show", "reviews", id })
           .m_text.find("completed") != std::string::npos;
}

static void
CheckAllCompleted(Processes& aProcesses)
{
  for (int i = 0; i < kJobs; ++i) {
    CHECK(
      aProcesses.Until([&]() { return IsCompleted(aProcesses, i); }, kLimit));
  }
}

static void
CheckNoTaskTwice(Processes& aProcesses)
{
  const auto starts = aProcesses.TaskStarts();
  LONGS_EQUAL(kJobs * 5, starts.size());
  for (const auto& [task, count] : starts) {
    LONGS_EQUAL_TEXT(1, count, task.c_str());
  }
}

static void
CheckCrashingJobFails(Processes& aProcesses,
                      const std::vector<std::string>& aOptions)
{
  aProcesses.StartAll();
  PutQueue(aProcesses);
  for (int i = 1; i <= 3; ++i) {
    aProcesses.StartWorker(i, aOptions);
  }
  const auto file = aProcesses.Folder() / "bad.json";
  std::ofstream(file) << R"({"payload": "bad", "steps": [
      {"count": 1, "cpuMillis": 500, "memoryMb": 10}]})";
  const auto submitted = [&]() {
    return aProcesses
             .Cli(
               { "job", "submit", "reviews", "bad", "--file", file.string() })
             .m_exit == 0;
  };
  const auto starts = [&]() { return aProcesses.TaskStarts()["bad.0.0.0"]; };
  CHECK(aProcesses.Until(submitted, kLimit));
  CHECK(aProcesses.Until([&]() { return starts() >= 1; }, kLimit));
  aProcesses.Kill(aProcesses.LeaderName());
  Submit(aProcesses, 0);
  std::string shown;
  const auto hasFailed = [&]() {
    shown = aProcesses.Cli({ "job", "show", "reviews", "bad" }).m_text;
    return shown.find("failed") != std::string::npos;
  };
  CHECK(aProcesses.Until(hasFailed, 2 * kLimit));
  CHECK(shown.find("step 0 task 0") != std::string::npos);
  CHECK(shown.find("crashed") != std::string::npos);
  CHECK(starts() <= kMaxStartsOfCrashingTask);
  CHECK(aProcesses.Until([&]() { return IsCompleted(aProcesses, 0); }, kLimit));
}
}
;

// Guards against lost jobs and tasks that start twice when the leader is killed
// while callers submit jobs. The next leader finds the runs in its log, and the
// workers' leases last longer than an election, so that their runs continue.
TEST(Jobs, LeaderKilledUnderJobs_AllCompleteAndNoTaskRunsTwice)
{
  Processes processes(23000);
  processes.StartAll();
  PutQueue(processes);
  processes.StartWorker(1);
  processes.StartWorker(2);
  for (int i = 0; i < kJobs; ++i) {
    if (i == kJobs / 2) {
      processes.Kill(processes.LeaderName());
    }
    Submit(processes, i);
  }
  CheckAllCompleted(processes);
  CheckNoTaskTwice(processes);
}

// Guards against the loss of acknowledged jobs when all replicas are killed at
// once, right after the jobs were accepted and before a worker has registered.
// The jobs are in the logs and must run afterwards.
TEST(Jobs, AllReplicasKilledAfterAcceptance_JobsAreDoneAfterwards)
{
  Processes processes(23100);
  processes.StartAll();
  PutQueue(processes);
  for (int i = 0; i < kJobs; ++i) {
    Submit(processes, i);
  }
  for (const char* name : { "c1", "c2", "c3" }) {
    processes.Kill(name);
  }
  for (int i = 1; i <= 3; ++i) {
    processes.StartControl(i);
  }
  processes.StartWorker(1);
  CheckAllCompleted(processes);
  CheckNoTaskTwice(processes);
}

// Guards against jobs that never complete because their worker was killed.
// When its lease has ended, another worker must start its tasks.
TEST(Jobs, WorkerKilled_ItsTasksGoElsewhere)
{
  Processes processes(23200);
  processes.StartAll();
  PutQueue(processes);
  processes.StartWorker(1, { "--task-ms", "60000" });
  Submit(processes, 0);
  CHECK(processes.Until([&]() { return processes.TaskStarts().size() == 3; },
                        kLimit));
  processes.Kill("k1");
  processes.StartWorker(2);
  CHECK(processes.Until([&]() { return IsCompleted(processes, 0); }, kLimit));
}

// Guards against ends that are acknowledged but not recorded, and against a
// worker that gets no more work, when a worker restarts under the same id.
TEST(Jobs, WorkerStartsAgainUnderItsId_AllCompleteAndNothingDoneRunsAgain)
{
  Processes processes(23900);
  processes.StartAll();
  PutQueue(processes);
  processes.StartWorker(1, { "--restart-ms", "100" });
  for (int i = 0; i < kJobs; ++i) {
    if (i % 5 == 4) {
      processes.Signal("k1", SIGUSR1);
    }
    if (i == kJobs / 2) {
      processes.Kill(processes.LeaderName());
    }
    Submit(processes, i);
  }
  CheckAllCompleted(processes);
  LONGS_EQUAL(0, processes.CountRestartsAfterDone(1));
}

// Guards against a task that crashes each worker that starts it, across a
// change of leader. The job must fail with a reason that the caller sees and
// crash no more workers, and another waiting job must complete.
TEST(Jobs, TaskCrashesItsWorkers_JobIsGivenUpWithReason)
{
  Processes processes(23800);
  CheckCrashingJobFails(processes, { "--crash-payload", "bad", "--new-ids" });
}

TEST(Jobs, TaskCrashesWorkersThatKeepTheirIds_JobIsGivenUpWithReason)
{
  Processes processes(24000);
  CheckCrashingJobFails(processes, { "--crash-payload", "bad" });
}

// Guards against several groups, or none, when three replicas start on empty
// disks with the same seeds and no operator initialises the group. Restarted
// without the setting for the first start, they must be one group of three with
// the same state.
TEST(Jobs, SeededReplicasOnEmptyDisks_FormOneGroupAndStayIt)
{
  Processes processes(23300);
  for (int i = 1; i <= 3; ++i) {
    processes.StartSeededControl(i, true);
  }
  const auto voters = [&]() {
    std::size_t count = 0;
    const Json status = processes.Status();
    for (const Json& replica : status.value("replicas", Json::array())) {
      count += replica.at("voter").get<bool>() ? 1 : 0;
    }
    return count;
  };
  CHECK(processes.Until([&]() { return voters() == 3; }, kLimit));
  PutQueue(processes);
  for (const char* name : { "c1", "c2", "c3" }) {
    processes.Kill(name);
  }
  for (int i = 1; i <= 3; ++i) {
    processes.StartSeededControl(i, false);
  }
  CHECK(processes.Until([&]() { return voters() == 3; }, kLimit));
  CHECK(processes.Cli({ "queue", "list" }).m_text.find("reviews") !=
        std::string::npos);
}

// Guards against a replica that forms a group of its own after it lost its
// disk. It must be admitted to the old group in place of its earlier
// incarnation.
TEST(Jobs, SeededReplicaWithEmptiedDisk_IsAdmittedAgain)
{
  Processes processes(23400);
  for (int i = 1; i <= 3; ++i) {
    processes.StartSeededControl(i, true);
  }
  PutQueue(processes);
  processes.Kill("c1");
  std::filesystem::remove_all(processes.Folder() / "c1");
  processes.StartSeededControl(1, false);
  const auto isBack = [&]() {
    std::size_t synced = 0;
    const Json status = processes.Status();
    const Json replicas = status.value("replicas", Json::array());
    for (const Json& replica : replicas) {
      synced +=
        replica.at("voter").get<bool>() && replica.at("behind") == 0 ? 1 : 0;
    }
    return synced == 3 && replicas.size() == 3;
  };
  CHECK(processes.Until(isBack, kLimit));
  CHECK(processes.Cli({ "queue", "list" }).m_text.find("reviews") !=
        std::string::npos);
}

// Guards against a group that is never formed because the lowest of three seeds
// has no disk and exits at each start. The two others must form the group, and
// the seed must name the leader to an entry that knows only this seed, so that
// the entry accepts a job.
TEST(Jobs, SeedWithoutDisk_OthersFormTheGroupAndItNamesTheLeader)
{
  Processes processes(23600);
  processes.StartControlWithoutDisk(1);
  processes.StartSeededControl(2, true);
  processes.StartSeededControl(3, true);
  processes.StartEntryWithControl(1, { processes.Rpc(1) });
  PutQueue(processes);
  LONGS_EQUAL(2, processes.Status().value("replicas", Json::array()).size());
  const auto isAccepted = [&]() {
    return processes
             .Http(processes.EntryHttp(1),
                   "POST",
                   "/v1/queues/reviews/jobs/j1",
                   {},
                   R"({"steps": [{"count": 1, "cpuMillis": 500}]})")
             .m_response.m_status == 200;
  };
  CHECK(processes.Until(isAccepted, kLimit));
}

// Guards against an unknown outcome for a job that was sent to no replica,
// because none can be reached. The entry must reject it with a Retry-After, so
// that the caller may resend it. With an unknown outcome, the caller would have
// to query the job first.
TEST(Jobs, NoReplicaReachable_JobIsRefusedNotUnclear)
{
  Processes processes(23700);
  processes.StartEntry(1);
  const auto posted = [&]() {
    return processes
      .Http(processes.EntryHttp(1),
            "POST",
            "/v1/queues/reviews/jobs/j1",
            {},
            R"({"steps": [{"count": 1, "cpuMillis": 500}]})")
      .m_response;
  };
  CHECK(processes.Until([&]() { return posted().m_status != 0; }, kLimit));
  const auto answer = posted();
  LONGS_EQUAL(503, answer.m_status);
  CHECK(http::FindHeader(answer.m_headers, "Retry-After").has_value());
}

// Guards against invalid jobs and queue tables that are accepted or rejected
// without the name of the field. Nothing must change.
TEST(Jobs, BadInput_NamesTheField)
{
  Processes processes(23500);
  processes.StartAll();
  PutQueue(processes);
  const auto bad = processes.Folder() / "bad.json";
  std::ofstream(bad) << R"({"steps": [{"count": 0}]})";
  const auto submitted =
    processes.Cli({ "job", "submit", "reviews", "x", "--file", bad.string() });
  LONGS_EQUAL(2, submitted.m_exit);
  CHECK(submitted.m_text.find("count") != std::string::npos);
  std::ofstream(bad) << R"({"version": "9", "queues":
    [{"name": "q", "service": "desk", "timeoutMs": 0}]})";
  const auto applied = processes.Cli({ "queue", "apply", bad.string() });
  LONGS_EQUAL(2, applied.m_exit);
  CHECK(applied.m_text.find("timeout") != std::string::npos);
  const auto posted = processes.Http(processes.EntryHttp(1),
                                     "POST",
                                     "/v1/queues/reviews/jobs/x",
                                     {},
                                     R"({"steps": 7})");
  LONGS_EQUAL(400, posted.m_response.m_status);
  CHECK(posted.m_response.m_body.find("steps") != std::string::npos);
  LONGS_EQUAL(1, processes.Cli({ "job", "show", "reviews", "x" }).m_exit);
  LONGS_EQUAL(404,
              processes.Http(processes.EntryHttp(1), "GET", "/v1/queues/none")
                .m_response.m_status);
}
