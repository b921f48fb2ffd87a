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
/** Two more after three crashes. */
constexpr int kMostStartsOfCrashingTask = 5;

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
CheckCrashingJobIsGivenUp(Processes& aProcesses,
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
  const auto isGivenUp = [&]() {
    shown = aProcesses.Cli({ "job", "show", "reviews", "bad" }).m_text;
    return shown.find("failed") != std::string::npos;
  };
  CHECK(aProcesses.Until(isGivenUp, 2 * kLimit));
  CHECK(shown.find("step 0 task 0") != std::string::npos);
  CHECK(shown.find("crashed") != std::string::npos);
  CHECK(starts() <= kMostStartsOfCrashingTask);
  CHECK(aProcesses.Until([&]() { return IsCompleted(aProcesses, 0); }, kLimit));
}
}
;

// Callers hand in jobs while the leading replica is killed. Each job that was
// accepted is completed, and no task starts twice: the next leader finds the
// runs in its log, and the workers, whose leases last longer than an election,
// go on with what they run.
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

// Every replica is killed at once, right after jobs were accepted and before a
// worker is there. What was acknowledged is in the logs; it runs afterwards.
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

// A worker is killed with tasks on it. Its lease must end before anyone else
// starts them; then another worker does, and the jobs complete.
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

// Guards against ends that are acknowledged and not believed, and against a
// worker that gets no work any more, where it starts again under its id.
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

// One job's task crashes each worker that starts it, and the leader is killed
// in between. The caller is told that the job has failed and why, the workers
// are left alone from then on, and a job that waits beside it completes.
TEST(Jobs, TaskCrashesItsWorkers_JobIsGivenUpWithReason)
{
  Processes processes(23800);
  CheckCrashingJobIsGivenUp(processes,
                            { "--crash-payload", "bad", "--new-ids" });
}

TEST(Jobs, TaskCrashesWorkersThatKeepTheirIds_JobIsGivenUpWithReason)
{
  Processes processes(24000);
  CheckCrashingJobIsGivenUp(processes, { "--crash-payload", "bad" });
}

// Nobody initialises the group: three replicas start on empty disks with the
// same seeds and are one group of three. All are restarted, told no more that
// it is the first start, and are the same group with the same state.
TEST(Jobs, SeededReplicasOnEmptyDisks_FormOneGroupAndStayIt)
{
  Processes processes(23300);
  for (int i = 1; i <= 3; ++i) {
    processes.StartSeededControl(i, true);
  }
  const auto voters = [&]() {
    std::size_t count = 0;
    const Json status = processes.Status();
    for (const Json& one : status.value("replicas", Json::array())) {
      count += one.at("voter").get<bool>() ? 1 : 0;
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

// The disk of one replica is lost. It comes back empty, must not found a group
// of its own, and is admitted to the old one in place of its earlier life.
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
    for (const Json& one : replicas) {
      synced += one.at("voter").get<bool>() && one.at("behind") == 0 ? 1 : 0;
    }
    return synced == 3 && replicas.size() == 3;
  };
  CHECK(processes.Until(isBack, kLimit));
  CHECK(processes.Cli({ "queue", "list" }).m_text.find("reviews") !=
        std::string::npos);
}

// One of three instances that serve control has no disk; it is the lowest seed.
// The others form the group without it, and an entry that knows nobody else is
// told by it who leads: its caller's job is accepted. Without that, the process
// ended at each start and no group was ever formed.
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

// No replica can be reached: the caller's job was handed to nobody, so the
// refusal says so, with when to come back, and the caller may send it again.
// Told that its fate is not known, it would have to ask for the job first.
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

// What is wrong with a job or a table is named, and nothing changes.
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
