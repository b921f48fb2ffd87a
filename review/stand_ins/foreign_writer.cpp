// Besides the workers' heartbeats, the control plane gets some of another
// writer, in which fields are missing.
//   foreign_writer PROCESSES RECORD TROUBLE

#include "deployment.h"

using namespace review;

namespace {

constexpr std::size_t kWorkers = 9;
constexpr int kCpuMillis = 16'000;
/** Together they need more than all workers have at once. */
constexpr std::size_t kJobs = 48;
constexpr int kTasks = 4;
constexpr int kTaskCpuMillis = 900;
constexpr Millis kWriterInterval{ 1'500 };
constexpr Millis kFinish{ 14'000 };
/** Time for which a job has nothing running although there is room. */
constexpr std::int64_t kIdleMs = 3'000;

std::string
WriteJob()
{
  return Json{
    { "spec", Json{ { "work_ms", 1'000 } }.dump() },
    { "steps",
      { { { "count", kTasks },
          { "cpu", kTaskCpuMillis },
          { "mem_mb", 256 },
          { "estimate_ms", 1'000 } } } }
  }.dump();
}

std::string
JobId(std::size_t aNumber)
{
  char text[17];
  std::snprintf(text, sizeof(text), "5c0e7a21d94b%04zx", aNumber);
  return text;
}

/** A program that is no worker: no address is in what it sends, nor what a
 * worker says of its machine, and it does nothing that answers say. */
class Writer
{
public:
  Writer(Record& aRecord, std::vector<std::string> aControls)
    : m_record(aRecord)
    , m_controls(std::move(aControls))
  {
  }
  ~Writer()
  {
    m_isStopping = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  void Start()
  {
    m_thread = std::thread([this]() {
      while (!m_isStopping) {
        Write();
        std::this_thread::sleep_for(kWriterInterval);
      }
    });
  }

  std::size_t StartsSent() const { return m_startsSent; }

private:
  void Write()
  {
    const Json body{ { "service", kService },
                     { "zone", "galway-a" },
                     { "version", "v1" },
                     { "state", "ready" },
                     { "free_capacity",
                       { { "cpu", kCpuMillis }, { "mem_mb", 32768 } } },
                     { "seq", ++m_sequence } };
    for (const std::string& control : m_controls) {
      const auto answer =
        Call(control,
             WriteRequest("POST",
                          "/bamboostile/instances/i-c41d07b2/heartbeat",
                          control,
                          body.dump()),
             Millis{ 1'000 });
      if (!answer || answer->Status() == 307 || answer->Status() == 503) {
        continue;
      }
      const Json orders = Json::parse(answer->m_body, nullptr, false);
      const std::size_t starts =
        orders.is_object() ? orders.value("start", Json::array()).size() : 0;
      m_startsSent = std::max(m_startsSent.load(), starts);
      m_record.Add("other writer: heartbeat " + body.dump() + " -> " +
                   std::to_string(answer->Status()) + " with " +
                   std::to_string(starts) + " starts");
      return;
    }
  }

  Record& m_record;
  std::vector<std::string> m_controls;
  std::uint64_t m_sequence = 0;
  std::atomic<std::size_t> m_startsSent = 0;
  std::atomic<bool> m_isStopping = false;
  std::thread m_thread;
};

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
  Writer writer(record, deployment.Controls());
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
  if (hasTrouble) {
    writer.Start();
  }
  std::this_thread::sleep_for(Millis{ 2'000 });
  Client client(record, "client");
  const std::string front = deployment.Front("edge-1");
  std::vector<std::string> accepted;
  for (std::size_t i = 0; i < kJobs; ++i) {
    if (client.Send(front, "POST", JobId(i), WriteJob()) == 200) {
      accepted.push_back(JobId(i));
    }
  }
  const std::int64_t acceptedAt = record.NowMs();
  std::this_thread::sleep_for(kFinish);
  std::size_t completed = 0;
  std::size_t stuck = 0;
  for (const std::string& job : accepted) {
    const std::string state = client.StateOf(front, job);
    const std::int64_t idleMs = fleet.IdleMsOf(job, acceptedAt);
    completed += state == "completed" ? 1 : 0;
    if ((state == "queued" || state == "running") && idleMs > kIdleMs &&
        fleet.CountRuns() == 0) {
      ++stuck;
      record.Add("LOST: job " + job + " is " + state +
                 ", no worker has run a task of it for " +
                 std::to_string(idleMs) + " ms, and all workers are idle");
    }
  }
  record.Add("accepted " + std::to_string(accepted.size()) + ", completed " +
             std::to_string(completed) + ", stuck " + std::to_string(stuck) +
             "; most starts in one answer to the other writer: " +
             std::to_string(writer.StartsSent()));
  if (deployment.HasOrders() || accepted.empty()) {
    return kNotRun;
  }
  if (stuck > 0) {
    return kBroken;
  }
  return completed == accepted.size() ? kHeld : kNotRun;
}
