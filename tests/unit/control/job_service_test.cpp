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
    m_service = std::make_unique<JobService>(
      *m_node, m_loop->m_io.provider->getTimer(), control::JobServiceOptions{});
    m_service->ReplaceRoutes(Fleet{}.State().Routes())
      .wait(m_loop->m_io.waitScope);
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
