#include "bamboostile/control/job_service.h"

#include "bamboostile/workspaces/key_digest.h"

#include "check.h"
#include "job_fixtures.h"

#include <atomic>
#include <functional>
#include <random>
#include <thread>

#include <unistd.h>

using namespace bamboostile;
using namespace job_fixtures;
using control::JobService;
using control::Node;
using control::WorkerAnswer;

namespace fs = std::filesystem;

/** A leader, the only replica of its group, with a disk that can hang. */
TEST_GROUP(JobService)
{
  static constexpr kj::Duration kAnswerTimeout = 20 * kj::SECONDS;

  void setup() override
  {
    m_folder = fs::temp_directory_path() /
               ("bamboostile-jobs-" + std::to_string(getpid()));
    fs::remove_all(m_folder);
    storage::FileCalls calls = storage::FileCalls::Posix();
    calls.m_sync = [this](int aFd) {
      while (m_isSyncHanging) {
        std::this_thread::sleep_for(Millis{ 1 });
      }
      return ::fsync(aFd);
    };
    storage::OpenResult opened;
    storage::Failure failure;
    auto store = storage::LogStore::Open(
      m_folder, InstanceId{ "c1" }, opened, failure, calls);
    control::NodeOptions options;
    options.m_address = "127.0.0.1:1";
    m_node = std::make_unique<Node>(options,
                                    std::move(opened),
                                    std::move(store),
                                    *m_loop->m_io.provider,
                                    [](const storage::Failure&) {});
    m_node->Bootstrap();
    while (!m_node->IsServing()) {
      RunEventLoopFor(5 * kj::MILLISECONDS);
    }
    StartService();
    m_service->ReplaceRoutes(Fleet{}.State().Routes())
      .wait(m_loop->m_io.waitScope);
  }

  /** Starts the service, in place of one that runs. */
  void StartService(const placement::LeaseOptions& aLease = {},
                    placement::Mechanisms aMechanisms = {},
                    jobs::MemoryLimit aMemory = {})
  {
    m_service.reset();
    control::JobServiceOptions jobs;
    jobs.m_lease = aLease;
    jobs.m_mechanisms = aMechanisms;
    jobs.m_memory = aMemory;
    jobs.m_calls.m_move = [this](const auto& aOrder, Term, auto aDone) {
      m_movedInstances.push_back(aOrder.m_instance);
      m_answerMove = aDone;
      if (m_areMovesAnswered) {
        aDone({ placement::InstanceAnswer::kAccepted, Duration{} });
      }
    };
    jobs.m_maintenance.m_maxOrderDelay = Duration{};
    jobs.m_calls.m_maintenance = [this](const auto&, Term, auto aDone) {
      ++m_maintenanceOrders;
      m_answerMaintenance = aDone;
    };
    jobs.m_calls.m_list = [this](const auto& aDone) {
      aDone(placement::ListedInstances{ m_listed });
    };
    m_service = std::make_unique<JobService>(
      *m_node, m_loop->m_io.provider->getTimer(), std::move(jobs));
  }

  /** Refuses jobs that cannot end in time; three workers of four cores. */
  void ServeWithAdmission()
  {
    placement::Mechanisms mechanisms;
    mechanisms.SwitchOn(placement::Mechanism::kAdmission);
    StartService({}, mechanisms);
    // Until then, a new leader has no estimates.
    RunEventLoopFor(1600 * kj::MILLISECONDS);
    std::vector<kj::Promise<WorkerAnswer>> reports;
    for (const char* worker : { "w1", "w2", "w3" }) {
      reports.push_back(Send(Report(worker, 0)));
    }
    for (auto& report : reports) {
      CHECK(Await(kj::mv(report)).has_value());
    }
  }

  void AddStandby()
  {
    fleet::RouteTable table = Fleet{}.State().Routes();
    table.m_version = 2;
    table.m_services.push_back({ ServiceId{ "spare" }, true, true });
    m_service->ReplaceRoutes(table).wait(m_loop->m_io.waitScope);
  }

  /** Answers the leader as the second voter, which this test plays. */
  void AnswerAsPeer()
  {
    const consensus::Replica& leader = m_node->Replica();
    m_node->Deliver(
      { m_peer,
        leader.Self(),
        leader.CurrentTerm(),
        consensus::AppendReply{ true, leader.LastIndex(), MonotonicNow() } },
      "127.0.0.1:1");
  }

  /** Adds a second voter. The leader holds its lease only while that voter
   * answers. */
  void AddPeer()
  {
    m_node->Admit({ m_peer, "127.0.0.1:1", false });
    while (m_node->Replica().CurrentMembership().VoterCount() < 2 ||
           !m_node->IsServing()) {
      RunWithPeer();
    }
  }

  void RunWithPeer()
  {
    AnswerAsPeer();
    RunEventLoopFor(20 * kj::MILLISECONDS);
  }

  /** Lets the leader lose its lease and regain it in the same term, while
   * aMeanwhile happens. */
  void LoseLeaseWhile(const std::function<void()>& aMeanwhile)
  {
    const Term term = m_node->Replica().CurrentTerm();
    while (m_node->IsServing()) {
      RunEventLoopFor(20 * kj::MILLISECONDS);
    }
    aMeanwhile();
    RunEventLoopFor(100 * kj::MILLISECONDS);
    while (!m_node->IsServing()) {
      RunWithPeer();
    }
    LONGS_EQUAL(term.Get(), m_node->Replica().CurrentTerm().Get());
  }

  void teardown() override
  {
    m_isSyncHanging = false;
    m_endAnswer.reset();
    m_service.reset();
    m_node.reset();
    fs::remove_all(m_folder);
  }

  void RunEventLoopFor(kj::Duration aTime)
  {
    m_loop->m_io.provider->getTimer().afterDelay(aTime).wait(
      m_loop->m_io.waitScope);
  }

  void Submit(const std::string& aJob, jobs::JobSpec aSpec)
  {
    jobs::QueueCall call;
    call.m_kind = jobs::CallKind::kSubmit;
    call.m_host = "host";
    call.m_path = "/q/" + aJob;
    call.m_spec = std::move(aSpec);
    m_service->Call(std::move(call)).wait(m_loop->m_io.waitScope);
  }

  jobs::QueueReply Call(
    jobs::CallKind aKind, const std::string& aJob, const char* aKey)
  {
    jobs::QueueCall call;
    call.m_kind = aKind;
    call.m_host = "host";
    call.m_path = "/q/" + aJob;
    call.m_key = workspaces::DigestKey(aKey);
    if (aKind == jobs::CallKind::kSubmit) {
      call.m_spec = Spec({ Step(1) });
    }
    return m_service->Call(std::move(call)).wait(m_loop->m_io.waitScope);
  }

  void CheckOutcome(jobs::QueueOutcome aExpected,
                    jobs::CallKind aKind,
                    const std::string& aJob,
                    const char* aKey)
  {
    STRCMP_EQUAL(jobs::Describe(aExpected),
                 jobs::Describe(Call(aKind, aJob, aKey).m_outcome));
  }

  /** Puts a table in force in which each workspace has one key. */
  void SetWorkspaces(
    const std::vector<std::pair<const char*, const char*>>& aKeys,
    bool aIsPublic = false,
    double aWeight = 1)
  {
    fleet::RouteTable table = Fleet{}.State().Routes();
    table.m_version = m_node->State().Routes().m_version + 1;
    table.m_routes[0].m_isPublic = aIsPublic;
    table.m_workspaces.emplace();
    for (const auto& [name, key] : aKeys) {
      table.m_workspaces->push_back(
        { WorkspaceId{ name }, { workspaces::DigestKey(key) }, aWeight, {} });
    }
    m_service->ReplaceRoutes(table).wait(m_loop->m_io.waitScope);
  }

  kj::Promise<WorkerAnswer> Send(placement::WorkerReport aReport)
  {
    aReport.m_sequence = ++m_sequence;
    aReport.m_worker.m_startedAt = m_startedAt;
    return m_service->Report(aReport, MonotonicNow());
  }

  /** Returns std::nullopt if no answer arrived within the timeout. */
  std::optional<WorkerAnswer> Await(kj::Promise<WorkerAnswer> aAnswer)
  {
    auto timeout =
      m_loop->m_io.provider->getTimer().afterDelay(kAnswerTimeout).then([]() {
        return std::optional<WorkerAnswer>{};
      });
    return aAnswer
      .then([](WorkerAnswer&& aReply) { return std::optional{ aReply }; })
      .exclusiveJoin(kj::mv(timeout))
      .wait(m_loop->m_io.waitScope);
  }

  /** Sends reports until the worker is told to start a task. */
  placement::StartOrder AwaitStart(const std::string& aWorker)
  {
    while (true) {
      const auto answer = Await(Send(Report(aWorker, 0)));
      if (answer && answer->m_orders && !answer->m_orders->m_starts.empty()) {
        return answer->m_orders->m_starts.front();
      }
    }
  }

  /** Lets the disk hang during the batch that contains the end in this report.
   */
  placement::WorkerReport HangWhileCommittingEnd()
  {
    Submit("short", Spec({ Step(1, 4000) }));
    const placement::StartOrder ending = AwaitStart("w2");
    m_isSyncHanging = true;
    placement::WorkerReport ended = Report("w2", 0);
    ended.m_ended.push_back(End(1, ending.m_task, jobs::RunEnd::kDone));
    m_endAnswer.emplace(Send(ended));
    RunEventLoopFor(100 * kj::MILLISECONDS);
    return ended;
  }

  static jobs::JobSpec LongRunning()
  {
    jobs::StepSpec step = Step(1, 4000);
    step.m_longRunning = true;
    return Spec({ step });
  }

  struct EventLoop
  {
    kj::AsyncIoContext m_io = kj::setupAsyncIo();
  };

  std::unique_ptr<EventLoop> m_loop = std::make_unique<EventLoop>();
  fs::path m_folder;
  std::atomic<bool> m_isSyncHanging = false;
  std::unique_ptr<Node> m_node;
  std::unique_ptr<JobService> m_service;
  std::uint64_t m_sequence = 0;
  /** Start time of all workers. */
  WallTime m_startedAt;
  std::vector<placement::ListedInstance> m_listed{
    { InstanceId{ "off" }, ServiceId{ "spare" }, placement::InstanceState::kUp }
  };
  std::vector<InstanceId> m_movedInstances;
  bool m_areMovesAnswered = true;
  control::InstanceCalls::AnswerHandler m_answerMove;
  consensus::ReplicaId m_peer{ InstanceId{ "c2" }, Incarnation{ 1 } };
  int m_maintenanceOrders = 0;
  control::InstanceCalls::AnswerHandler m_answerMaintenance;
  /** Waits for the batch while the disk hangs. */
  std::optional<kj::Promise<WorkerAnswer>> m_endAnswer;
};

// Guards against all long-running tasks of a step ending together. The leader's
// disk hangs during a batch of ends. If all reports that arrive meanwhile
// waited for that batch, workers would drop the answers after a second, and all
// leases would expire at about the same moment although the leader still leads.
TEST(JobService, DiskHangsDuringBatch_LeasesAreStillRenewed)
{
  Submit("service", LongRunning());
  const placement::StartOrder longRunning = AwaitStart("w1");
  HangWhileCommittingEnd();
  placement::WorkerReport renewal = Report("w1", 0);
  renewal.m_active.push_back(Active(longRunning.m_task));
  const auto renewed = Await(Send(renewal));
  CHECK(renewed.has_value());
  CHECK(renewed->m_orders->m_lease > Duration{});
  CHECK(renewed->m_orders->m_stops.empty());
}

// Guards against long-running tasks that end though nothing has failed: at a
// busy leader a steady worker's report waits to be read and is then held as
// well, so that the worker drops the answer, and with it its lease.
TEST(JobService, ReportHasWaitedAsLongAsItMayBeHeld_IsAnsweredAtOnce)
{
  Await(Send(Report("w1", 0)));
  RunEventLoopFor(100 * kj::MILLISECONDS);
  placement::WorkerReport report = Report("w1", ++m_sequence);
  report.m_worker.m_startedAt = m_startedAt;
  const TimePoint receivedAt =
    MonotonicNow() - placement::LeaseOptions{}.m_steadyAnswerDelay;
  auto answer = m_service->Report(report, receivedAt);
  CHECK(answer.poll(m_loop->m_io.waitScope));
}

// Guards against the same: an overloaded leader adds its own delays to the time
// for which it holds a report.
TEST(JobService, OverloadedLeader_HoldsNoReports)
{
  Await(Send(Report("w1", 0)));
  placement::WorkerReport late = Report("w2", ++m_sequence);
  late.m_worker.m_startedAt = m_startedAt;
  Await(m_service->Report(late, MonotonicNow() - Millis{ 200 }));
  RunEventLoopFor(100 * kj::MILLISECONDS);
  auto answer = Send(Report("w1", 0));
  CHECK(answer.poll(m_loop->m_io.waitScope));
}

// Guards against a job that never ends. If an end in a hanging batch were
// acknowledged before it is on disk, the worker would forget it; if the leader
// then failed, the end would be lost.
TEST(JobService, DiskHangsDuringBatch_EndsAreNotAcknowledged)
{
  const placement::WorkerReport ended = HangWhileCommittingEnd();
  const auto again = Await(Send(ended));
  CHECK(again.has_value());
  LONGS_EQUAL(0, again->m_orders->m_ackedUpTo);
  m_isSyncHanging = false;
  std::uint64_t acked = 0;
  while (acked == 0) {
    acked = Await(Send(ended))->m_orders->m_ackedUpTo;
  }
  LONGS_EQUAL(1, acked);
}

// Guards against two leaders in turn ordering the same instance, which would
// then go down twice. If the first leader sent its order before it was
// committed, the second could not know of it; so no order is sent to the
// platform while the disk hangs.
TEST(JobService, DiskHangsBeforeOrderIsCommitted_PlatformIsNotCalled)
{
  AddStandby();
  m_isSyncHanging = true;
  auto first = Send(Report("w1", 0));
  RunEventLoopFor(800 * kj::MILLISECONDS);
  LONGS_EQUAL(0, m_movedInstances.size());
  m_isSyncHanging = false;
  for (int i = 0; i < 200 && m_movedInstances.empty(); ++i) {
    Await(Send(Report("w1", 0)));
    RunEventLoopFor(50 * kj::MILLISECONDS);
  }
  CHECK_FALSE(m_movedInstances.empty());
  CHECK(m_node->State().RecentOrders().contains(m_movedInstances.front()));
}

// Guards against a leader that never moves an instance again. It regains its
// lease in the same term; if it dropped the answers that arrived in between,
// these orders would count as unanswered until another leader is elected.
TEST(JobService, MoveAnsweredWhileLeaseIsLost_InstanceIsOrderedAgain)
{
  AddPeer();
  m_areMovesAnswered = false;
  fleet::RouteTable table = Fleet{}.State().Routes();
  table.m_version = 2;
  table.m_services.push_back({ ServiceId{ "spare" }, true, true });
  auto replaced = m_service->ReplaceRoutes(table);
  auto reported = Send(Report("w1", 0));
  while (m_movedInstances.empty()) {
    RunWithPeer();
  }
  LoseLeaseWhile([this]() {
    m_answerMove({ placement::InstanceAnswer::kNotSent, std::nullopt });
  });
  const auto limit = MonotonicNow() + Millis{ 4000 };
  while (m_movedInstances.size() < 2 && MonotonicNow() < limit) {
    RunWithPeer();
  }
  LONGS_EQUAL(2, m_movedInstances.size());
}

// Guards against maintaining an instance twice. The platform has accepted the
// order, but until that is committed the wave still shows it as open, and open
// orders are repeated.
TEST(JobService, DiskHangsAfterOrderIsAccepted_OrderIsNotRepeated)
{
  // No order is repeated until the leases of earlier leaders are over.
  RunEventLoopFor(5 * kj::SECONDS);
  fleet::MaintenanceWave wave;
  wave.m_number = 1;
  wave.m_instances[InstanceId{ "instance-of-w1" }] =
    fleet::MaintenanceStep::kWaiting;
  m_service->StartMaintenance(wave).wait(m_loop->m_io.waitScope);
  while (m_maintenanceOrders == 0) {
    Await(Send(Report("w1", 0)));
    RunEventLoopFor(20 * kj::MILLISECONDS);
  }
  m_isSyncHanging = true;
  m_answerMaintenance({ placement::InstanceAnswer::kAccepted, Duration{} });
  RunEventLoopFor(500 * kj::MILLISECONDS);
  LONGS_EQUAL(1, m_maintenanceOrders);
}

// Guards against maintaining an instance twice, or ending the runs of its next
// incarnation. If the leader dropped the answer because it held no lease at
// that moment, it would send the order again as if it were the first one.
TEST(JobService, OrderAcceptedWhileLeaseIsLost_OrderIsNotRepeated)
{
  // No order is repeated until the leases of earlier leaders are over.
  RunEventLoopFor(5 * kj::SECONDS);
  AddPeer();
  fleet::MaintenanceWave wave;
  wave.m_number = 1;
  wave.m_instances[InstanceId{ "instance-of-w1" }] =
    fleet::MaintenanceStep::kWaiting;
  auto started = m_service->StartMaintenance(wave);
  std::vector<kj::Promise<WorkerAnswer>> reports;
  while (m_maintenanceOrders == 0) {
    reports.push_back(Send(Report("w1", 0)));
    RunWithPeer();
  }
  LoseLeaseWhile([this]() {
    m_answerMaintenance({ placement::InstanceAnswer::kAccepted, Duration{} });
  });
  for (int i = 0; i < 25; ++i) {
    RunWithPeer();
  }
  LONGS_EQUAL(1, m_maintenanceOrders);
}

// Guards against tasks that are suspected because an order whose answer is
// lost has ended their worker.
TEST(JobService, WorkerIsLostAfterOrderWithoutAnswer_NoTaskIsSuspected)
{
  Submit("short", Spec({ Step(1, 4000) }));
  placement::WorkerReport report = Report("w1", 0);
  report.m_active.push_back(Active(AwaitStart("w1").m_task));
  fleet::MaintenanceWave wave;
  wave.m_number = 1;
  wave.m_instances[report.m_instance] = fleet::MaintenanceStep::kWaiting;
  m_service->StartMaintenance(wave).wait(m_loop->m_io.waitScope);
  while (m_maintenanceOrders == 0) {
    Await(Send(report));
    RunEventLoopFor(20 * kj::MILLISECONDS);
  }
  const jobs::JobTable& table = m_node->State().Jobs();
  while (!table.TasksByWorker().empty()) {
    RunEventLoopFor(50 * kj::MILLISECONDS);
  }
  LONGS_EQUAL(0, table.TasksWithLosses().size());
}

// Guards against running a task again. The end of its run is being committed
// when the worker's next incarnation reports; the end must not be treated as
// lost with the worker.
TEST(JobService, WorkerRestartsWhileItsEndIsCommitted_TaskDoesNotRunAgain)
{
  m_startedAt = WallTime{ 1'790'000'000'000 };
  HangWhileCommittingEnd();
  m_startedAt = WallTime{ 1'790'000'001'000 };
  Await(Send(Report("w2", 0)));
  m_isSyncHanging = false;
  for (int i = 0; i < 30; ++i) {
    const auto answer = Await(Send(Report("w2", 0)));
    CHECK(answer && answer->m_orders && answer->m_orders->m_starts.empty());
    RunEventLoopFor(50 * kj::MILLISECONDS);
  }
  const auto& job = *m_node->State().Jobs().Find(JobId{ "short" });
  STRCMP_EQUAL("completed", jobs::Describe(job.m_state));
}

// Guards against a leave of an earlier incarnation ending the next one.
TEST(JobService, LateLeaveOfEarlierIncarnation_NextOneIsNotEnded)
{
  const WorkerIncarnation earlier = Life("w1", 1'790'000'000'000);
  Submit("service", LongRunning());
  m_startedAt = WallTime{ 1'790'000'001'000 };
  const placement::StartOrder longRunning = AwaitStart("w1");
  m_service->Leave(earlier).wait(m_loop->m_io.waitScope);
  placement::WorkerReport renewal = Report("w1", 0);
  renewal.m_active.push_back(Active(longRunning.m_task));
  const auto renewed = Await(Send(renewal));
  CHECK(renewed.has_value());
  CHECK(renewed->m_orders->m_lease > Duration{});
  CHECK(renewed->m_orders->m_stops.empty());
}

TEST(JobService, CallWithoutValidKey_IsUnauthorizedAndHasNotRun)
{
  SetWorkspaces({ { "a", "key-a" } });
  for (const char* key : { "", "key-b" }) {
    for (const auto kind : { jobs::CallKind::kSubmit,
                             jobs::CallKind::kQuery,
                             jobs::CallKind::kCancel }) {
      CheckOutcome(jobs::QueueOutcome::kUnauthorized, kind, "j", key);
    }
    CheckOutcome(
      jobs::QueueOutcome::kUnauthorized, jobs::CallKind::kQuery, "", key);
  }
  POINTERS_EQUAL(nullptr, m_node->State().Jobs().Find(JobId{ "j" }));
}

TEST(JobService, PublicQueue_NeedsNoKey)
{
  SetWorkspaces({ { "a", "key-a" } }, true);
  CheckOutcome(jobs::QueueOutcome::kOk, jobs::CallKind::kSubmit, "j", "");
  CheckOutcome(jobs::QueueOutcome::kOk, jobs::CallKind::kQuery, "j", "other");
}

TEST(JobService, UnknownQueue_IsNotFoundWhateverTheKey)
{
  SetWorkspaces({ { "a", "key-a" } });
  jobs::QueueCall call;
  call.m_host = "other";
  const auto reply = m_service->Call(call).wait(m_loop->m_io.waitScope);
  CHECK(reply.m_outcome == jobs::QueueOutcome::kNoQueue);
}

// Guards against a removed key that still works, and a key that keeps meaning
// its former workspace.
TEST(JobService, KeyIsMovedRemovedAndMovedBack_EachVersionAppliesAtOnce)
{
  SetWorkspaces({ { "a", "key" }, { "b", "other" } });
  CheckOutcome(jobs::QueueOutcome::kOk, jobs::CallKind::kSubmit, "j", "key");
  SetWorkspaces({ { "a", "other" }, { "b", "key" } });
  CheckOutcome(jobs::QueueOutcome::kNoJob, jobs::CallKind::kQuery, "j", "key");
  CheckOutcome(jobs::QueueOutcome::kOk, jobs::CallKind::kQuery, "j", "other");
  SetWorkspaces({ { "b", "other" } });
  CheckOutcome(
    jobs::QueueOutcome::kUnauthorized, jobs::CallKind::kQuery, "j", "key");
  SetWorkspaces({ { "a", "key" } });
  CheckOutcome(jobs::QueueOutcome::kOk, jobs::CallKind::kCancel, "j", "key");
}

// Guards against one workspace reading, cancelling or taking over a job of
// another one.
TEST(JobService, JobOfAnotherWorkspace_IsAsIfItDidNotExist)
{
  SetWorkspaces({ { "a", "key-a" }, { "b", "key-b" } });
  CheckOutcome(jobs::QueueOutcome::kOk, jobs::CallKind::kSubmit, "j", "key-a");
  CheckOutcome(
    jobs::QueueOutcome::kNoJob, jobs::CallKind::kQuery, "j", "key-b");
  CheckOutcome(
    jobs::QueueOutcome::kNoJob, jobs::CallKind::kCancel, "j", "key-b");
  CheckOutcome(
    jobs::QueueOutcome::kBadJob, jobs::CallKind::kSubmit, "j", "key-b");
  CheckOutcome(jobs::QueueOutcome::kOk, jobs::CallKind::kSubmit, "j", "key-a");
}

// Guards against accepting jobs that a workspace sends beyond its share and
// that will not be served in time. While capacity is free, they are accepted.
TEST(JobService, JobsFarBeyondTheShare_AreRefusedOnlyWhileTheServiceIsFull)
{
  // The workers report only once. With the default, they would count as
  // unresponsive, and the service as full, if this process did not run for a
  // second between two jobs.
  placement::LeaseOptions lease;
  lease.m_unresponsiveAfter = std::chrono::seconds{ 60 };
  StartService(lease);
  SetWorkspaces({ { "a", "key" } });
  const auto submit = [&](int aNumber) {
    return Call(jobs::CallKind::kSubmit, "j" + std::to_string(aNumber), "key");
  };
  std::vector<kj::Promise<WorkerAnswer>> reports;
  for (const char* worker : { "w1", "w2", "w3" }) {
    reports.push_back(Send(Report(worker, 0)));
  }
  for (auto& report : reports) {
    CHECK(Await(kj::mv(report)).has_value());
  }
  constexpr int kFitting = 12;
  for (int i = 0; i <= kFitting; ++i) {
    CHECK(submit(i).m_outcome == jobs::QueueOutcome::kOk);
    RunEventLoopFor(20 * kj::MILLISECONDS);
  }
  RunEventLoopFor(300 * kj::MILLISECONDS);
  const auto refused = submit(kFitting + 1);
  CHECK(refused.m_outcome == jobs::QueueOutcome::kRefused);
  CHECK(refused.m_retryAfter > Millis{ 0 });
  POINTERS_EQUAL(nullptr, m_node->State().Jobs().Find(JobId{ "j13" }));
  CHECK(submit(0).m_outcome == jobs::QueueOutcome::kOk);
}

// Guards against a workspace beyond its share that each new leader serves as if
// it were within it.
TEST(JobService, NewLeader_CountsTheJobsOfTheOldOne)
{
  constexpr double kOneJobPerHour = 1.0 / 3600;
  SetWorkspaces({ { "a", "key" } }, false, kOneJobPerHour);
  CheckOutcome(
    jobs::QueueOutcome::kOk, jobs::CallKind::kSubmit, "first", "key");
  m_service.reset();
  m_service = std::make_unique<JobService>(
    *m_node, m_loop->m_io.provider->getTimer(), control::JobServiceOptions{});
  CheckOutcome(
    jobs::QueueOutcome::kOk, jobs::CallKind::kSubmit, "second", "key");
  const jobs::JobTable& jobs = m_node->State().Jobs();
  CHECK_FALSE(jobs.Find(JobId{ "first" })->m_isBeyondShare);
  CHECK(jobs.Find(JobId{ "second" })->m_isBeyondShare);
}

// Guards against a refused job of which parts run, and against refusing it
// again once there is room.
TEST(JobService, JobThatCannotEndInTime_IsRefusedUntilThePoolHasCapacity)
{
  ServeWithAdmission();
  const auto submit = [&](const char* aJob) {
    return Call(jobs::CallKind::kSubmit, aJob, "");
  };
  CHECK(submit("fits").m_outcome == jobs::QueueOutcome::kOk);
  // 12 cores, and a limit of 13.8 s for a job of one second.
  Submit("large", Spec({ Step(200) }));
  RunEventLoopFor(300 * kj::MILLISECONDS);
  const auto refused = submit("late");
  CHECK(refused.m_outcome == jobs::QueueOutcome::kRefused);
  CHECK(refused.m_retryAfter >= Millis{ 200 });
  POINTERS_EQUAL(nullptr, m_node->State().Jobs().Find(JobId{ "late" }));
  CHECK(submit("large").m_outcome == jobs::QueueOutcome::kOk);
  CHECK(m_service->RenderMetrics().find("jobs_refused_late_total 1") !=
        std::string::npos);
  const std::string report = *m_service->AdmissionJson();
  CHECK(report.find("\"estimatesAvailable\":true") != std::string::npos);
  CHECK(report.find("\"accepted\":2") != std::string::npos);
  CHECK(report.find("\"refused\":1") != std::string::npos);
  CHECK(report.find("\"cores\":12") != std::string::npos);

  Call(jobs::CallKind::kCancel, "large", "");
  RunEventLoopFor(400 * kj::MILLISECONDS);
  CHECK(submit("late").m_outcome == jobs::QueueOutcome::kOk);
  CHECK(m_node->State().Jobs().Find(JobId{ "late" }) != nullptr);
}

// Guards against a refusal of a job that the log has accepted by the time the
// caller hears of it.
TEST(JobService, JobIsResubmittedWhileItsProposalIsOpen_IsNotRefused)
{
  ServeWithAdmission();
  Submit("full", Spec({ Step(13) }));
  RunEventLoopFor(300 * kj::MILLISECONDS);
  const auto submit =
    [&](const char* aJob, std::uint32_t aTasks, Millis aEstimate) {
      jobs::StepSpec step = Step(aTasks);
      step.m_estimate = aEstimate;
      jobs::QueueCall call;
      call.m_kind = jobs::CallKind::kSubmit;
      call.m_host = "host";
      call.m_path = std::string{ "/q/" } + aJob;
      call.m_spec = Spec({ step });
      return m_service->Call(std::move(call));
    };
  m_isSyncHanging = true;
  auto first = submit("job", 1, Millis{ 100 });
  // More than the 11.1 s in which the short jobs have to end.
  auto large = submit("large", 135, Millis{ 1000 });
  auto refused = submit("late", 1, Millis{ 100 });
  CHECK(refused.poll(m_loop->m_io.waitScope));
  CHECK(refused.wait(m_loop->m_io.waitScope).m_outcome ==
        jobs::QueueOutcome::kRefused);
  auto repeated = submit("job", 1, Millis{ 100 });
  m_isSyncHanging = false;
  CHECK(first.wait(m_loop->m_io.waitScope).m_outcome ==
        jobs::QueueOutcome::kOk);
  CHECK(repeated.wait(m_loop->m_io.waitScope).m_outcome ==
        jobs::QueueOutcome::kOk);
}

// Guards against a workspace beyond its share that is told that a job never
// runs while the log accepts it.
TEST(JobService, JobBeyondTheShareIsResubmittedWhileOpen_IsNotRefused)
{
  // One job within the share and one in debt; the next one after 5 s.
  constexpr double kJobsPerSecond = 0.2;
  SetWorkspaces({ { "a", "key" } }, false, kJobsPerSecond);
  Await(Send(Report("w1", 0)));
  const auto submit = [&](const std::string& aJob, std::uint32_t aTasks) {
    jobs::QueueCall call;
    call.m_kind = jobs::CallKind::kSubmit;
    call.m_host = "host";
    call.m_path = "/q/" + aJob;
    call.m_key = workspaces::DigestKey("key");
    call.m_spec = Spec({ Step(aTasks) });
    return m_service->Call(std::move(call));
  };
  submit("fills-the-pool", 50).wait(m_loop->m_io.waitScope);
  RunEventLoopFor(300 * kj::MILLISECONDS);
  m_isSyncHanging = true;
  auto first = submit("job", 1);
  auto other = submit("other", 1);
  auto repeated = submit("job", 1);
  m_isSyncHanging = false;
  CHECK(first.wait(m_loop->m_io.waitScope).m_outcome ==
        jobs::QueueOutcome::kOk);
  CHECK(other.wait(m_loop->m_io.waitScope).m_outcome ==
        jobs::QueueOutcome::kRefused);
  CHECK(repeated.wait(m_loop->m_io.waitScope).m_outcome !=
        jobs::QueueOutcome::kRefused);
}

// Guards against callers being told that no job is pending while dozens wait on
// workers that crashed before the start reached them.
TEST(JobService, StartIsNotShownByAReport_JobIsStillPending)
{
  const auto countPending = [&]() {
    jobs::QueueCall call;
    call.m_kind = jobs::CallKind::kQuery;
    call.m_host = "host";
    call.m_path = "/q/";
    return *m_service->Call(std::move(call))
              .wait(m_loop->m_io.waitScope)
              .m_pending;
  };
  Submit("a", Spec({ Step(1) }));
  LONGS_EQUAL(1, countPending());
  const placement::StartOrder start = AwaitStart("w1");
  LONGS_EQUAL(1, countPending());
  RunEventLoopFor(600 * kj::MILLISECONDS);
  LONGS_EQUAL(1, countPending());
  placement::WorkerReport report = Report("w1", 0);
  report.m_active.push_back(Active(start.m_task));
  Await(Send(report));
  RunEventLoopFor(600 * kj::MILLISECONDS);
  LONGS_EQUAL(0, countPending());
}

// Guards against a wait that starts anew whenever its reason changes.
TEST(JobService, LongRunningTaskWaitsForTwoReasons_GaugeHasItsWholeWait)
{
  using placement::WaitReason;
  const jobs::TaskRef task{ JobId{ "a" }, 0, 0, 0 };
  const TimePoint start{ Millis{ 1'000 } };
  control::WaitingMonitor monitor;
  telemetry::Metrics metrics;
  monitor.OnPlanned({ { task, { WaitReason::kRetryDelay, true } } }, start);
  monitor.OnPlanned({ { task, { WaitReason::kNoCapacity, true } } },
                    start + Millis{ 2'000 });
  monitor.Export(start + Millis{ 5'000 }, metrics);
  CHECK(metrics.Render().find("long_running_tasks_waiting 1") !=
        std::string::npos);
  CHECK(metrics.Render().find("long_running_tasks_longest_wait_ms 5000") !=
        std::string::npos);
}

// Guards against a wait that a change of the leader cuts in two.
TEST(JobService, SuspectWaitsUnderANewLeader_GaugeCountsFromItsLoss)
{
  placement::WaitingTask waiting{ placement::WaitReason::kIsolationLimit };
  waiting.m_sinceLoss = Millis{ 7'000 };
  control::WaitingMonitor monitor;
  telemetry::Metrics metrics;
  const TimePoint now{ Millis{ 1'000 } };
  monitor.OnPlanned({ { { JobId{ "a" }, 0, 0, 0 }, waiting } }, now);
  monitor.Export(now, metrics);
  const std::string text = metrics.Render();
  CHECK(text.find("suspects_waiting 1") != std::string::npos);
  CHECK(text.find("suspects_longest_wait_ms 7000") != std::string::npos);
  CHECK(text.find("long_running_tasks_waiting 0") != std::string::npos);
}

// Guards against a wait whose gauge counts only from the loss of its last
// start, which never ran.
TEST(JobService, StartsOfLongRunningTaskAreLost_GaugeCountsFromItsLastRun)
{
  placement::WaitingTask waiting{ placement::WaitReason::kRetryDelay, true };
  waiting.m_sinceLoss = Millis{ 500 };
  waiting.m_withoutRun = Millis{ 16'000 };
  control::WaitingMonitor monitor;
  telemetry::Metrics metrics;
  const TimePoint now{ Millis{ 1'000 } };
  monitor.OnPlanned({ { { JobId{ "a" }, 0, 0, 0 }, waiting } }, now);
  monitor.Export(now, metrics);
  CHECK(
    metrics.Render().find("long_running_tasks_longest_without_run_ms 16000") !=
    std::string::npos);
}

// Guards against tasks that run twice: a program of another fleet reports from
// the instance of a worker, or under its id, and the worker's runs count as
// ended.
TEST(JobService, ReportOfAnotherFleet_LeavesWorkerAndItsRunAsTheyAre)
{
  placement::LeaseOptions lease;
  lease.m_maxReportDelay = Millis{};
  StartService(lease);
  m_startedAt = WallTime{ 1000 };
  Submit("a", Spec({ Step(1) }));
  const placement::StartOrder start = AwaitStart("w1");
  placement::WorkerReport foreign = Report("w1", 1'000'000);
  foreign.m_service = ServiceId{ "another-fleet" };
  foreign.m_draining = true;
  foreign.m_ended.push_back(End(1, start.m_task, jobs::RunEnd::kDone));
  for (const auto& worker :
       { Life("x", 2000), Life("w1", 2000), Life("w1", 1000) }) {
    foreign.m_worker = worker;
    const auto refused = Await(m_service->Report(foreign, MonotonicNow()));
    CHECK(refused.has_value());
    CHECK_FALSE(refused->m_orders.has_value());
  }
  placement::WorkerReport own = Report("w1", 0);
  own.m_active.push_back(Active(start.m_task));
  const auto answer = Await(Send(own));
  CHECK(answer.has_value());
  CHECK(answer->m_orders.has_value());
  CHECK(answer->m_orders->m_lease > Duration{});
  CHECK(answer->m_orders->m_stops.empty());
  const jobs::Task* task = m_node->State().Jobs().FindTask(start.m_task);
  CHECK(task->m_phase == jobs::TaskPhase::kRunning);
  CHECK(task->m_worker == Life("w1", 1000));
  CHECK(m_service->RenderMetrics().find(
          "reports_ignored_total{reason=\"its service is not configured\"} "
          "3") != std::string::npos);
}

// Guards against a long-running task that waits for the lease of a dead worker.
TEST(JobService, WorkerIsListedAsDown_ItsRunsEndBeforeItsLease)
{
  Submit("a", LongRunning());
  AwaitStart("w1");
  m_listed.push_back({ InstanceId{ "instance-of-w1" },
                       ServiceId{ "desk" },
                       placement::InstanceState::kDown });
  const std::string lost =
    std::string{ "workers_lost_total{cause=\"" } +
    placement::Describe(placement::LossCause::kListedEnd) + "\"}";
  AwaitStart("w2");
  CHECK(m_service->RenderMetrics().find(lost) != std::string::npos);
}

// Guards against a job that is accepted and dropped, since another queue has a
// job of the same id.
TEST(JobService, IdIsInUseInAnotherQueue_JobIsRejected)
{
  fleet::RouteTable table = Fleet{}.State().Routes();
  table.m_version = 2;
  table.m_routes.push_back(table.m_routes[0]);
  table.m_routes[1].m_name = "other";
  table.m_routes[1].m_pathPrefix = "/other/";
  m_service->ReplaceRoutes(table).wait(m_loop->m_io.waitScope);
  Submit("a", Spec({ Step(1) }));
  jobs::QueueCall call;
  call.m_kind = jobs::CallKind::kSubmit;
  call.m_host = "host";
  call.m_path = "/other/a";
  call.m_spec = Spec({ Step(1) });
  const auto reply =
    m_service->Call(std::move(call)).wait(m_loop->m_io.waitScope);
  STRCMP_EQUAL(jobs::Describe(jobs::QueueOutcome::kBadJob),
               jobs::Describe(reply.m_outcome));
}

// Guards against replicas over their memory, as each task and run carries the
// id, and against orders that cannot be written, as JSON has to be UTF-8.
TEST(JobService, IdIsLongOrNotVisibleAscii_JobIsRejected)
{
  using jobs::CallKind;
  using jobs::QueueOutcome;
  for (const std::string& id : { std::string(129, '5'),
                                 std::string(8'000, '5'),
                                 std::string{ "a\xff" },
                                 std::string{ "a b" },
                                 std::string{ "\xc3\xa9" },
                                 std::string(1, '\0'),
                                 std::string{} }) {
    const auto reply = Call(CallKind::kSubmit, id, "");
    STRCMP_EQUAL(jobs::Describe(QueueOutcome::kBadJob),
                 jobs::Describe(reply.m_outcome));
    CHECK(reply.m_detail.starts_with("id: "));
  }
  CHECK(m_node->State().Jobs().Jobs().empty());
  CheckOutcome(QueueOutcome::kOk, CallKind::kSubmit, std::string(128, '5'), "");
}

// Guards against metrics that grow with every workspace there ever was.
TEST(JobService, RemovedWorkspace_HasNoMetricsAnyMore)
{
  SetWorkspaces({ { "old", "key-old" }, { "a", "key" } });
  CHECK(m_service->RenderMetrics().find("workspace=\"old\"") !=
        std::string::npos);
  SetWorkspaces({ { "a", "key" } });
  const std::string metrics = m_service->RenderMetrics();
  CHECK(metrics.find("workspace=\"old\"") == std::string::npos);
  CHECK(metrics.find("workspace=\"a\"") != std::string::npos);
}

// Guards against accepted jobs that fill the memory of every replica. A job
// that has been accepted is accepted again, and calls that make room get
// through.
TEST(JobService, JobsUseTheirMemory_NextOneIsRefusedUntilOneIsRemoved)
{
  using jobs::CallKind;
  using jobs::QueueOutcome;
  StartService({}, {}, jobs::MemoryLimit{ 1 });
  jobs::JobSpec large = Spec({ Step(1) });
  large.m_steps[0].m_image = ImageId{ std::string(200'000, 'x') };
  std::size_t accepted = 0;
  const auto submit = [&](std::size_t aNumber) {
    jobs::QueueCall call;
    call.m_kind = CallKind::kSubmit;
    call.m_host = "host";
    call.m_path = "/q/" + std::to_string(aNumber);
    call.m_spec = large;
    return m_service->Call(std::move(call)).wait(m_loop->m_io.waitScope);
  };
  while (submit(accepted).m_outcome == QueueOutcome::kOk && accepted < 100) {
    ++accepted;
  }
  CHECK_COMPARE(accepted, >, 1);
  const auto refused = submit(accepted);
  STRCMP_EQUAL(jobs::Describe(QueueOutcome::kRefused),
               jobs::Describe(refused.m_outcome));
  CHECK(refused.m_retryAfter > Millis::zero());
  CheckOutcome(QueueOutcome::kOk, CallKind::kSubmit, "0", "");
  CheckOutcome(QueueOutcome::kOk, CallKind::kCancel, "0", "");
  jobs::Batch removal{ { jobs::RemoveEndedJobs{
    WallTime{ control::WallNow().Get() + 1000 } } } };
  m_node->Propose(removal).wait(m_loop->m_io.waitScope);
  CHECK(submit(accepted).m_outcome == QueueOutcome::kOk);
  large.m_steps[0].m_image = ImageId{ std::string(4'000'000, 'x') };
  const auto never = submit(accepted + 1);
  STRCMP_EQUAL(jobs::Describe(QueueOutcome::kBadJob),
               jobs::Describe(never.m_outcome));
  CHECK(never.m_detail.starts_with("steps: "));
}

// Guards against a log of few large entries that fits the disk and that no
// process can read within its memory.
TEST(JobService, ChangesAreLarge_SnapshotIsTakenByTheirSize)
{
  fleet::RouteTable table = Fleet{}.State().Routes();
  // Letters in no order: deflated, they take more than half of their bytes.
  std::minstd_rand random;
  for (int i = 0; i < 400'000; ++i) {
    table.m_document += static_cast<char>('a' + random() % 26);
  }
  for (int change = 0; change < 40; ++change) {
    ++table.m_version;
    m_service->ReplaceRoutes(table).wait(m_loop->m_io.waitScope);
  }
  for (int wait = 0; wait < 500; ++wait) {
    if (m_node->Replica().SnapshotIndex() > Index{}) {
      return;
    }
    RunEventLoopFor(10 * kj::MILLISECONDS);
  }
  FAIL("no snapshot was taken");
}
