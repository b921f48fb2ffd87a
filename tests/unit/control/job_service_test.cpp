#include "bamboostile/control/job_service.h"

#include "check.h"
#include "job_fixtures.h"

#include <atomic>
#include <thread>

#include <unistd.h>

using namespace bamboostile;
using namespace job_fixtures;
using control::JobService;
using control::Node;
using control::WorkerAnswer;

namespace fs = std::filesystem;

/** A leader alone in its group, with a disk that can hang. */
TEST_GROUP(JobService)
{
  static constexpr kj::Duration kPatience = 20 * kj::SECONDS;

  void setup() override
  {
    m_folder = fs::temp_directory_path() /
               ("bamboostile-jobs-" + std::to_string(getpid()));
    fs::remove_all(m_folder);
    storage::FileCalls calls = storage::FileCalls::Posix();
    calls.m_sync = [this](int aFd) {
      while (m_hangs) {
        std::this_thread::sleep_for(Millis{ 1 });
      }
      return ::fsync(aFd);
    };
    storage::Opened opened;
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
      Pass(5 * kj::MILLISECONDS);
    }
    control::JobServiceOptions jobs;
    jobs.m_calls.m_move = [this](const auto& aOrder, Term, auto aDone) {
      m_moved.push_back(aOrder.m_instance);
      aDone({ placement::InstanceAnswer::kTaken, Duration{} });
    };
    jobs.m_maintenance.m_quietAfterElection = Duration{};
    jobs.m_calls.m_maintenance = [this](const auto&, Term, auto aDone) {
      ++m_maintenanceOrders;
      m_answerMaintenance = aDone;
    };
    jobs.m_calls.m_list = [](const auto& aDone) {
      aDone(std::vector<placement::ListedInstance>{
        { InstanceId{ "off" },
          ServiceId{ "spare" },
          placement::InstanceState::kUp } });
    };
    m_service = std::make_unique<JobService>(
      *m_node, m_loop->m_io.provider->getTimer(), std::move(jobs));
    m_service->ReplaceRoutes(Fleet{}.State().Routes())
      .wait(m_loop->m_io.waitScope);
  }

  void AddStandby()
  {
    fleet::RouteTable table = Fleet{}.State().Routes();
    table.m_version = 2;
    table.m_services.push_back({ ServiceId{ "spare" }, true, true });
    m_service->ReplaceRoutes(table).wait(m_loop->m_io.waitScope);
  }

  void teardown() override
  {
    m_hangs = false;
    m_first.reset();
    m_service.reset();
    m_node.reset();
    fs::remove_all(m_folder);
  }

  void Pass(kj::Duration aTime)
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

  kj::Promise<WorkerAnswer> Send(placement::WorkerReport aReport)
  {
    aReport.m_sequence = ++m_sequence;
    aReport.m_worker.m_startedAt = m_startedAt;
    return m_service->Report(aReport, MonotonicNow());
  }

  /** Nothing where no answer came while the test was patient. */
  std::optional<WorkerAnswer> Await(kj::Promise<WorkerAnswer> aAnswer)
  {
    auto late = m_loop->m_io.provider->getTimer().afterDelay(kPatience).then(
      []() { return std::optional<WorkerAnswer>{}; });
    return aAnswer
      .then([](WorkerAnswer&& aOne) { return std::optional{ aOne }; })
      .exclusiveJoin(kj::mv(late))
      .wait(m_loop->m_io.waitScope);
  }

  /** Reports until the worker is told to start something. */
  placement::StartOrder TakeStart(const std::string& aWorker)
  {
    while (true) {
      const auto answer = Await(Send(Report(aWorker, 0)));
      if (answer && answer->m_orders && !answer->m_orders->m_starts.empty()) {
        return answer->m_orders->m_starts.front();
      }
    }
  }

  /** The disk hangs under the batch that takes the end in this report. */
  placement::WorkerReport HangUnderAnEnd()
  {
    Submit("short", Spec({ Step(1, 4000) }));
    const placement::StartOrder ending = TakeStart("w2");
    m_hangs = true;
    placement::WorkerReport ended = Report("w2", 0);
    ended.m_ended.push_back(End(1, ending.m_task, jobs::RunEnd::kDone));
    m_first.emplace(Send(ended));
    Pass(100 * kj::MILLISECONDS);
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
  std::atomic<bool> m_hangs = false;
  std::unique_ptr<Node> m_node;
  std::unique_ptr<JobService> m_service;
  std::uint64_t m_sequence = 0;
  /** Of all workers. */
  WallTime m_startedAt;
  std::vector<InstanceId> m_moved;
  int m_maintenanceOrders = 0;
  control::InstanceCalls::Answered m_answerMaintenance;
  /** Waits for the batch under the hanging disk. */
  std::optional<kj::Promise<WorkerAnswer>> m_first;
};

// The operator sees all long-running tasks of a step end together. The leader's
// disk hangs under a batch of ends; every report that comes meanwhile waits for
// that batch, workers drop the answers after a second, and all leases run out
// at about the same moment, though the leader goes on leading. Waits by stage
// showed it: answers to reports wait as long as the batch under way does.
TEST(JobService, DiskHangsUnderABatch_LeasesAreRenewedAllTheSame)
{
  Submit("service", LongRunning());
  const placement::StartOrder lasting = TakeStart("w1");
  HangUnderAnEnd();
  placement::WorkerReport atWork = Report("w1", 0);
  atWork.m_active.push_back(Active(lasting.m_task));
  const auto renewed = Await(Send(atWork));
  CHECK(renewed.has_value());
  CHECK(renewed->m_orders->m_lease > Duration{});
  CHECK(renewed->m_orders->m_stops.empty());
}

// A caller sees its job stand still for good. A worker's end is in a batch that
// hangs; were the end acknowledged before it is on disk, the worker would
// forget it, and with the leader nobody would know it any more.
TEST(JobService, DiskHangsUnderABatch_ItsEndsAreNotAcknowledged)
{
  const placement::WorkerReport ended = HangUnderAnEnd();
  const auto again = Await(Send(ended));
  CHECK(again.has_value());
  LONGS_EQUAL(0, again->m_orders->m_ackedUpTo);
  m_hangs = false;
  std::uint64_t acked = 0;
  while (acked == 0) {
    acked = Await(Send(ended))->m_orders->m_ackedUpTo;
  }
  LONGS_EQUAL(1, acked);
}

// Two leaders take turns with an instance, and it goes down twice. The first
// one's order left before it was committed, so the second could not know of it:
// while the disk hangs, the platform must not be asked.
TEST(JobService, DiskHangsUnderAnOrder_PlatformIsNotAsked)
{
  AddStandby();
  m_hangs = true;
  auto first = Send(Report("w1", 0));
  Pass(800 * kj::MILLISECONDS);
  LONGS_EQUAL(0, m_moved.size());
  m_hangs = false;
  for (int i = 0; i < 200 && m_moved.empty(); ++i) {
    Await(Send(Report("w1", 0)));
    Pass(50 * kj::MILLISECONDS);
  }
  CHECK_FALSE(m_moved.empty());
  CHECK(m_node->State().RecentOrders().contains(m_moved.front()));
}

// An instance goes through its maintenance twice. The platform has taken the
// order; until that is committed the wave still shows it as open, and an open
// order is repeated.
TEST(JobService, DiskHangsUnderATakenOrder_OrderIsNotRepeated)
{
  // Until the leases of earlier leaders are over, no order is repeated anyway.
  Pass(5 * kj::SECONDS);
  fleet::MaintenanceWave wave;
  wave.m_number = 1;
  wave.m_instances[InstanceId{ "instance-of-w1" }] =
    fleet::MaintenanceStep::kWaiting;
  m_service->StartMaintenance(wave).wait(m_loop->m_io.waitScope);
  while (m_maintenanceOrders == 0) {
    Await(Send(Report("w1", 0)));
    Pass(20 * kj::MILLISECONDS);
  }
  m_hangs = true;
  m_answerMaintenance({ placement::InstanceAnswer::kTaken, Duration{} });
  Pass(500 * kj::MILLISECONDS);
  LONGS_EQUAL(1, m_maintenanceOrders);
}

// Guards against an end of the earlier life that is under way to the disks when
// the next one reports: taken for lost with its worker, its task would run
// again.
TEST(JobService, WorkerRestartsWhileItsEndIsCommitted_TaskDoesNotRunAgain)
{
  m_startedAt = WallTime{ 1'790'000'000'000 };
  HangUnderAnEnd();
  m_startedAt = WallTime{ 1'790'000'001'000 };
  Await(Send(Report("w2", 0)));
  m_hangs = false;
  for (int i = 0; i < 30; ++i) {
    const auto answer = Await(Send(Report("w2", 0)));
    CHECK(answer && answer->m_orders && answer->m_orders->m_starts.empty());
    Pass(50 * kj::MILLISECONDS);
  }
  const auto& job = *m_node->State().Jobs().Find(JobId{ "short" });
  STRCMP_EQUAL("completed", jobs::Describe(job.m_state));
}

// Guards against a leave of an earlier life that ends the next one.
TEST(JobService, LateLeaveOfEarlierLife_NextLifeGoesOn)
{
  const WorkerLife earlier = Life("w1", 1'790'000'000'000);
  Submit("service", LongRunning());
  m_startedAt = WallTime{ 1'790'000'001'000 };
  const placement::StartOrder lasting = TakeStart("w1");
  m_service->Leave(earlier).wait(m_loop->m_io.waitScope);
  placement::WorkerReport atWork = Report("w1", 0);
  atWork.m_active.push_back(Active(lasting.m_task));
  const auto renewed = Await(Send(atWork));
  CHECK(renewed.has_value());
  CHECK(renewed->m_orders->m_lease > Duration{});
  CHECK(renewed->m_orders->m_stops.empty());
}
