#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <set>

namespace review {

using Json = nlohmann::json;

/** A larger answer does not acknowledge a heartbeat. */
constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;

struct Bounds
{
  /** max_hold_ms. */
  Millis m_maxHold{ 10'000 };
  Millis m_gangTimeout{ 3'000 };
  Millis m_checkpointInterval{ 2'000 };
  Millis m_restore{ 250 };
  Millis m_stop{ 200 };
};

/** The name ID.K.STEP.INDEX without its index. */
inline std::string
StepOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

/**
 * @brief Workers that report by heartbeats and execute the orders in the
 * answers.
 *
 * The `spec` of a job is a JSON object with `work_ms` and, where they apply,
 * `count` (of a gang), `saves` (it saves its progress) and `lasts` (it runs
 * until it is stopped).
 */
class Fleet
{
public:
  Fleet(Record& aRecord, Bounds aBounds, std::vector<std::string> aControls)
    : m_record(aRecord)
    , m_bounds(aBounds)
    , m_controls(std::move(aControls))
  {
  }

  ~Fleet()
  {
    m_isStopping = true;
    for (auto& worker : m_workers) {
      worker->m_thread.join();
    }
    if (m_ticker.joinable()) {
      m_ticker.join();
    }
  }

  void Add(const std::string& aName,
           const std::string& aService,
           int aCpuMillis,
           int aMemoryMb = 32'768)
  {
    auto worker = std::make_unique<Worker>();
    worker->m_name = aName;
    worker->m_service = aService;
    worker->m_cpuMillis = aCpuMillis;
    worker->m_memoryMb = aMemoryMb;
    worker->m_born = std::chrono::duration_cast<Millis>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
    m_workers.push_back(std::move(worker));
  }

  void Start()
  {
    m_ticker = std::thread([this]() {
      while (!m_isStopping) {
        Tick();
        std::this_thread::sleep_for(Millis{ 10 });
      }
    });
    for (auto& worker : m_workers) {
      worker->m_thread = std::thread([this, &worker]() { Run(*worker); });
    }
  }

  std::size_t Size() const { return m_workers.size(); }

  /** From now on, or no longer, the worker fails all that it starts. */
  void SetFaulty(std::size_t aWorker, bool aIsFaulty)
  {
    const std::lock_guard lock(m_mutex);
    m_workers[aWorker]->m_isFaulty = aIsFaulty;
    m_record.Add("worker " + m_workers[aWorker]->m_name +
                 (aIsFaulty ? " fails all that it starts"
                            : " no longer fails what it starts"));
  }

  /** Cuts the worker off from all machines of the system, or joins it again.
   * It runs on. */
  void SetCutOff(std::size_t aWorker, bool aIsCutOff)
  {
    const std::lock_guard lock(m_mutex);
    m_workers[aWorker]->m_isCutOff = aIsCutOff;
    m_record.Add("worker " + m_workers[aWorker]->m_name +
                 (aIsCutOff ? " is cut off and runs on" : " is joined again"));
  }

  /** The worker that runs the task; nothing if none does. */
  std::optional<std::size_t> FindWorkerOf(const std::string& aTask)
  {
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      if (m_workers[i]->m_runs.contains(aTask)) {
        return i;
      }
    }
    return std::nullopt;
  }

  struct StartedRun
  {
    std::int64_t m_atMs = 0;
    std::string m_task;
    std::uint64_t m_run = 0;
    std::string m_saved;
  };
  struct End
  {
    std::int64_t m_atMs = 0;
    std::string m_task;
    std::uint64_t m_run = 0;
    std::string m_how;
  };

  std::vector<StartedRun> Starts()
  {
    const std::lock_guard lock(m_mutex);
    return m_starts;
  }
  std::vector<End> Ends()
  {
    const std::lock_guard lock(m_mutex);
    return m_ends;
  }

  /** Time since a worker last ran a task of the job; since aAcceptedAt if none
   * has. */
  std::int64_t IdleMsOf(const std::string& aJob, std::int64_t aAcceptedAt)
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& worker : m_workers) {
      for (const auto& [task, run] : worker->m_runs) {
        if (task.starts_with(aJob)) {
          return 0;
        }
      }
    }
    std::int64_t lastMs = aAcceptedAt;
    for (const End& end : m_ends) {
      if (end.m_task.starts_with(aJob)) {
        lastMs = end.m_atMs;
      }
    }
    return m_record.NowMs() - lastMs;
  }

  std::size_t CountRuns()
  {
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& worker : m_workers) {
      count += worker->m_runs.size();
    }
    return count;
  }

private:
  struct ActiveRun
  {
    std::uint64_t m_run = 0;
    Json m_spec;
    std::string m_saved;
    Clock::time_point m_startedAt;
    /** When all members were present; for others when they started. */
    std::optional<Clock::time_point> m_worksSince;
    std::optional<Clock::time_point> m_stopsAt;
    bool m_isFailing = false;
    /** Work done before this run, by the checkpoint that it was given. */
    Millis m_resumedFrom{};
  };

  struct Worker
  {
    std::string m_name;
    std::string m_service;
    int m_cpuMillis = 0;
    int m_memoryMb = 0;
    std::int64_t m_born = 0;
    bool m_isFaulty = false;
    bool m_isCutOff = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_fencingToken = 0;
    Clock::time_point m_leaseEnd;
    std::map<std::string, ActiveRun> m_runs;
    std::vector<Json> m_finished;
    /** The highest run that was stopped or ended here, by task. */
    std::map<std::string, std::uint64_t> m_over;
    Clock::time_point m_nextBeat;
    std::size_t m_control = 0;
    std::string m_target;
    std::thread m_thread;
  };

  static std::string ToText(Millis aProgress)
  {
    char text[17];
    std::snprintf(text,
                  sizeof(text),
                  "%016llx",
                  static_cast<unsigned long long>(aProgress.count()));
    return text;
  }

  Millis ProgressOf(const ActiveRun& aRun, Clock::time_point aNow) const
  {
    if (!aRun.m_worksSince) {
      return aRun.m_resumedFrom;
    }
    const auto worked = aNow - *aRun.m_worksSince;
    return aRun.m_resumedFrom + std::chrono::duration_cast<Millis>(
                                  std::max(worked, Clock::duration::zero()));
  }

  void Finish(Worker& aWorker, const std::string& aTask, const char* aHow)
  {
    const auto found = aWorker.m_runs.find(aTask);
    const ActiveRun& run = found->second;
    m_record.Add("worker " + aWorker.m_name + " ends " + aTask + " run " +
                 std::to_string(run.m_run) + " " + aHow);
    m_ends.push_back({ m_record.NowMs(), aTask, run.m_run, aHow });
    aWorker.m_finished.push_back(
      { ++aWorker.m_lastEnd,
        aTask,
        run.m_run,
        aHow,
        std::string{ aHow } == "done" ? "" : run.m_saved });
    auto& over = aWorker.m_over[aTask];
    over = std::max(over, run.m_run);
    const auto soon = Clock::now() + Millis{ 50 };
    aWorker.m_nextBeat = std::min(aWorker.m_nextBeat, soon);
    aWorker.m_runs.erase(found);
  }

  /** All present members of the gang, with their workers. */
  std::vector<std::pair<Worker*, std::string>> MembersOf(
    const std::string& aTask,
    const ActiveRun& aRun)
  {
    std::vector<std::pair<Worker*, std::string>> members;
    for (auto& worker : m_workers) {
      for (auto& [task, run] : worker->m_runs) {
        if (StepOf(task) == StepOf(aTask) && run.m_run == aRun.m_run) {
          members.emplace_back(worker.get(), task);
        }
      }
    }
    return members;
  }

  static bool IsGang(const ActiveRun& aRun)
  {
    return aRun.m_spec.contains("count");
  }
  static bool Lasts(const ActiveRun& aRun)
  {
    return aRun.m_spec.value("lasts", false);
  }

  // All members of a run must carry the same checkpoint, so members that carry
  // another one do not make a gang complete.
  void StartGangIfComplete(const std::string& aTask,
                           ActiveRun& aRun,
                           Clock::time_point aNow)
  {
    auto members = MembersOf(aTask, aRun);
    std::erase_if(members, [&](const auto& aMember) {
      return aMember.first->m_runs.at(aMember.second).m_saved != aRun.m_saved;
    });
    if (members.size() < aRun.m_spec.at("count").get<std::size_t>()) {
      return;
    }
    m_record.Add("gang " + StepOf(aTask) + " run " +
                 std::to_string(aRun.m_run) + " is complete and works");
    const auto from =
      aNow + (aRun.m_saved.empty() ? Millis{} : m_bounds.m_restore);
    for (auto& [worker, task] : members) {
      worker->m_runs.at(task).m_worksSince = from;
    }
  }

  void BreakGang(const std::string& aTask, const ActiveRun& aRun)
  {
    for (auto& [worker, task] : MembersOf(aTask, aRun)) {
      if (task != aTask) {
        Finish(*worker, task, "broken");
      }
    }
  }

  /** Ends a run, and with it the others of its gang if it had begun to work. */
  void EndRun(Worker& aWorker, const std::string& aTask, const char* aHow)
  {
    const ActiveRun run = aWorker.m_runs.at(aTask);
    Finish(aWorker, aTask, aHow);
    if (IsGang(run) && run.m_worksSince) {
      BreakGang(aTask, run);
    }
  }

  void TickRun(Worker& aWorker,
               const std::string& aTask,
               Clock::time_point aNow)
  {
    ActiveRun& run = aWorker.m_runs.at(aTask);
    const Millis work{ run.m_spec.value("work_ms", 1'000) };
    if (run.m_stopsAt) {
      if (aNow >= *run.m_stopsAt) {
        EndRun(aWorker, aTask, "stopped");
      }
      return;
    }
    if (run.m_isFailing) {
      if (aNow >= run.m_startedAt + Millis{ 20 }) {
        EndRun(aWorker, aTask, "failed");
      }
      return;
    }
    if (!run.m_worksSince) {
      if (aNow >= run.m_startedAt + m_bounds.m_gangTimeout) {
        EndRun(aWorker, aTask, "alone");
      } else {
        StartGangIfComplete(aTask, run, aNow);
      }
      return;
    }
    const Millis progress = ProgressOf(run, aNow);
    const auto steps = progress / m_bounds.m_checkpointInterval;
    const Millis saved = steps * m_bounds.m_checkpointInterval;
    if (run.m_spec.value("saves", false) && saved > run.m_resumedFrom) {
      run.m_saved = ToText(saved);
    }
    if (progress < work || Lasts(run)) {
      return;
    }
    if (!IsGang(run)) {
      EndRun(aWorker, aTask, "done");
      return;
    }
    for (auto& [worker, task] : MembersOf(aTask, ActiveRun(run))) {
      Finish(*worker, task, "done");
    }
  }

  void Tick()
  {
    const std::lock_guard lock(m_mutex);
    const auto now = Clock::now();
    for (auto& worker : m_workers) {
      std::vector<std::string> tasks;
      for (const auto& [task, run] : worker->m_runs) {
        tasks.push_back(task);
      }
      const bool isLapsed = now > worker->m_leaseEnd;
      for (const std::string& task : tasks) {
        if (!worker->m_runs.contains(task)) {
          continue;
        }
        if (isLapsed) {
          EndRun(*worker, task, "lapsed");
        } else {
          TickRun(*worker, task, now);
        }
      }
    }
  }

  std::string WriteBeat(Worker& aWorker)
  {
    const auto now = Clock::now();
    Json body{ { "service", aWorker.m_service },
               { "address", "127.0.0.1:9" },
               { "zone", "galway-a" },
               { "version", "v1" },
               { "capacity", 8 },
               { "state", "ready" },
               { "warmup_left_ms", 0 },
               { "machine", "m-" + aWorker.m_name },
               { "free_capacity",
                 { { "cpu", aWorker.m_cpuMillis },
                   { "mem_mb", aWorker.m_memoryMb },
                   { "gpu", 0 } } },
               { "labels", { "a", "r1-1" } },
               { "clock_ms", m_record.NowMs() },
               { "born", aWorker.m_born },
               { "seq", ++aWorker.m_sequence },
               { "active", Json::array() },
               { "finished", aWorker.m_finished } };
    for (const auto& [task, run] : aWorker.m_runs) {
      const auto work = std::max(1, run.m_spec.value("work_ms", 1'000));
      const auto percent = std::min<std::int64_t>(
        Lasts(run) ? 100 : 99, ProgressOf(run, now).count() * 100 / work);
      body["active"].push_back({ task, run.m_run, run.m_saved, percent, 0 });
    }
    return body.dump();
  }

  void ApplyStart(Worker& aWorker, const Json& aStart)
  {
    const std::string task = aStart.at(0);
    ActiveRun run;
    run.m_run = aStart.at(1);
    run.m_spec = Json::parse(aStart.at(2).get<std::string>());
    run.m_saved = aStart.at(3);
    const auto over = aWorker.m_over.find(task);
    const bool isOld =
      over != aWorker.m_over.end() && run.m_run <= over->second;
    if (isOld || aWorker.m_runs.contains(task)) {
      m_record.Add("worker " + aWorker.m_name + " refuses " + task);
      aWorker.m_finished.push_back(
        { ++aWorker.m_lastEnd, task, run.m_run, "refused", "" });
      return;
    }
    run.m_startedAt = Clock::now();
    run.m_isFailing = aWorker.m_isFaulty;
    if (!run.m_saved.empty()) {
      run.m_resumedFrom = Millis{ std::stoll(run.m_saved, nullptr, 16) };
    }
    if (!IsGang(run)) {
      run.m_worksSince = run.m_startedAt;
    }
    m_starts.push_back({ m_record.NowMs(), task, run.m_run, run.m_saved });
    m_record.Add(
      "worker " + aWorker.m_name + " starts " + task + " run " +
      std::to_string(run.m_run) +
      (run.m_saved.empty() ? "" : " from checkpoint " + run.m_saved));
    aWorker.m_runs.emplace(task, std::move(run));
  }

  void ApplyOrders(Worker& aWorker,
                   const Json& aOrders,
                   Clock::time_point aSentAt)
  {
    const auto token = aOrders.value("fencing_token", std::uint64_t{ 0 });
    if (token < aWorker.m_fencingToken) {
      return;
    }
    aWorker.m_fencingToken = token;
    const auto acked = aOrders.value("ack_cursor", std::uint64_t{ 0 });
    std::erase_if(aWorker.m_finished, [&](const Json& aEnd) {
      return aEnd.at(0).get<std::uint64_t>() <= acked;
    });
    for (const Json& stop : aOrders.value("stop", Json::array())) {
      const auto found = aWorker.m_runs.find(stop.at(0).get<std::string>());
      if (found != aWorker.m_runs.end() && found->second.m_run == stop.at(1) &&
          !found->second.m_stopsAt) {
        found->second.m_stopsAt = Clock::now() + m_bounds.m_stop;
      }
    }
    if (!aOrders.contains("hold_ms")) {
      return;
    }
    const Millis hold =
      std::min(m_bounds.m_maxHold, Millis{ aOrders.at("hold_ms") });
    aWorker.m_leaseEnd = std::max(aWorker.m_leaseEnd, aSentAt + hold);
    for (const Json& start : aOrders.value("start", Json::array())) {
      ApplyStart(aWorker, start);
    }
  }

  void Run(Worker& aWorker)
  {
    Connection connection;
    while (!m_isStopping) {
      std::string body;
      {
        const std::lock_guard lock(m_mutex);
        if (!aWorker.m_isCutOff && Clock::now() >= aWorker.m_nextBeat) {
          body = WriteBeat(aWorker);
        }
      }
      if (body.empty()) {
        if (aWorker.m_isCutOff) {
          connection.Close();
        }
        std::this_thread::sleep_for(Millis{ 5 });
        continue;
      }
      Beat(aWorker, connection, body);
    }
  }

  void Beat(Worker& aWorker, Connection& aConnection, const std::string& aBody)
  {
    const auto sentAt = Clock::now();
    const auto deadline = sentAt + Millis{ 1'000 };
    std::string address = aWorker.m_target.empty()
                            ? m_controls[aWorker.m_control]
                            : aWorker.m_target;
    const std::string path =
      "/bamboostile/instances/i-" + aWorker.m_name + "/heartbeat";
    Message answer;
    bool isAnswered = false;
    // A redirect is followed twice.
    for (int i = 0; i < 3; ++i) {
      if (!aConnection.IsOpen() &&
          !aConnection.Open(address, Millis{ 1'000 })) {
        break;
      }
      if (!aConnection.Send(WriteRequest("POST", path, address, aBody)) ||
          aConnection.Receive(answer, deadline) != ReadEnd::kComplete) {
        aConnection.Close();
        break;
      }
      isAnswered =
        answer.Status() == 200 && answer.m_body.size() <= kMaxAnswerBytes;
      if (answer.m_body.size() > kMaxAnswerBytes) {
        m_record.Add("worker " + aWorker.m_name + " drops an answer of " +
                     std::to_string(answer.m_body.size()) + " bytes");
      }
      if (answer.Status() != 307) {
        break;
      }
      const std::string location = answer.m_headers["location"];
      address = location.substr(7, location.find('/', 7) - 7);
      aConnection.Close();
    }
    const std::lock_guard lock(m_mutex);
    if (!isAnswered || aWorker.m_isCutOff || Clock::now() > deadline) {
      aConnection.Close();
      aWorker.m_target.clear();
      aWorker.m_control = (aWorker.m_control + 1) % m_controls.size();
      aWorker.m_nextBeat = Clock::now() + Millis{ 50 };
      return;
    }
    const Json orders = Json::parse(answer.m_body, nullptr, false);
    aWorker.m_target = orders.value("heartbeat_addr", address);
    if (aWorker.m_target != address) {
      aConnection.Close();
    }
    aWorker.m_nextBeat =
      Clock::now() + Millis{ orders.value("idle_beat_ms", 1'500) };
    ApplyOrders(aWorker, orders, sentAt);
  }

  Record& m_record;
  Bounds m_bounds;
  std::vector<std::string> m_controls;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<StartedRun> m_starts;
  std::vector<End> m_ends;
  std::atomic<bool> m_isStopping = false;
  std::thread m_ticker;
};

} // namespace review
