// A fake worker: reports to the leader of the control replicas, runs a task by
// waiting for a fixed time, and prints "start" for each start and "noted" for
// each successful end that the leader has acknowledged. SIGUSR1 simulates a
// crash and restart of the process, by default under the same id. POST
// /fake/restart?downMs=N&service=NAME simulates a restart by the platform.

#include "bamboostile/http/client.h"
#include "bamboostile/http/server.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

namespace po = boost::program_options;
using namespace bamboostile;
using Json = nlohmann::json;

std::atomic<bool> g_stop = false;
std::atomic<bool> g_crash = false;

struct Options
{
  std::string m_id;
  std::string m_service;
  std::vector<std::string> m_control;
  unsigned m_cpuMillis = 4000;
  unsigned m_taskMs = 50;
  /** A task with this payload crashes the worker at its start; empty for
   * none. */
  std::string m_crashPayload;
  unsigned m_restartMs = 2000;
  /** Use another worker id for each incarnation, and omit its start time. */
  bool m_newIdPerIncarnation = false;
  /** HTTP port on which the platform requests restarts; 0 for none. */
  std::uint16_t m_port = 0;
};

/** A restart requested by the platform. */
struct RestartRequest
{
  Millis m_downtime{};
  std::string m_service;
};

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  const std::size_t at = aTarget.find(aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t from = at + aName.size() + 1;
  return aTarget.substr(from, aTarget.find('&', from) - from);
}

/** An active run of a task. */
struct ActiveRun
{
  Json m_order;
  TimePoint m_startedAt;
};

class Worker
{
public:
  explicit Worker(Options aOptions)
    : m_options(std::move(aOptions))
  {
  }

  bool Listen()
  {
    if (m_options.m_port == 0) {
      return true;
    }
    http::ServerOptions options;
    options.m_address = "127.0.0.1";
    options.m_port = m_options.m_port;
    m_server = std::make_unique<http::Server>(
      options, [this](const auto& aExchange) { OnRestart(*aExchange); });
    std::string reason;
    return m_server->Start(reason);
  }

  void Run()
  {
    SetStartTime();
    while (!g_stop) {
      if (g_crash.exchange(false)) {
        m_isCrashed = true;
      }
      FinishRuns();
      const Json answer = Report();
      if (!answer.is_null()) {
        ApplyAnswer(answer);
      }
      if (const auto restart = TakeRestartRequest()) {
        m_options.m_service = restart->m_service;
        SimulateDowntime(restart->m_downtime);
      } else if (m_isCrashed) {
        SimulateDowntime(Millis{ m_options.m_restartMs });
      }
      std::this_thread::sleep_for(Millis{ 20 });
    }
    Post("/leave", Identity());
  }

private:
  void SetStartTime()
  {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    m_startedAtMs = std::chrono::duration_cast<Millis>(now).count();
  }

  Json Identity() const
  {
    return m_options.m_newIdPerIncarnation
             ? Json::object()
             : Json{ { "startedAtMs", m_startedAtMs } };
  }

  void FinishRuns()
  {
    const TimePoint now = MonotonicNow();
    if (now > m_leaseEnd) {
      for (const auto& [key, run] : m_running) {
        AddEnd(run.m_order, "leaseExpired");
      }
      m_running.clear();
    }
    std::erase_if(m_running, [&](const auto& aEntry) {
      const ActiveRun& run = aEntry.second;
      if (now < run.m_startedAt + Millis{ m_options.m_taskMs }) {
        return false;
      }
      AddEnd(run.m_order, "done");
      return true;
    });
  }

  void OnRestart(http::Exchange& aExchange)
  {
    const std::string& target = aExchange.Incoming().m_target;
    {
      const std::lock_guard lock(m_mutex);
      m_restartRequest =
        RestartRequest{ Millis{ std::stol(QueryValue(target, "downMs")) },
                        QueryValue(target, "service") };
    }
    aExchange.Respond(http::Response{});
  }

  std::optional<RestartRequest> TakeRestartRequest()
  {
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_restartRequest, std::nullopt);
  }

  /** Sleeps, then continues as a new incarnation on the same instance, without
   * runs. */
  void SimulateDowntime(Millis aDowntime)
  {
    m_isCrashed = false;
    ++m_incarnation;
    m_sequence = 0;
    m_lastEnd = 0;
    m_fencingToken = 0;
    m_running.clear();
    m_endReports.clear();
    std::this_thread::sleep_for(aDowntime);
    SetStartTime();
  }

  std::string Id() const
  {
    return m_incarnation == 0 || !m_options.m_newIdPerIncarnation
             ? m_options.m_id
             : m_options.m_id + "-" + std::to_string(m_incarnation);
  }

  void AddEnd(const Json& aOrder, const char* aEndReason)
  {
    Json end = aOrder;
    end["number"] = ++m_lastEnd;
    end["how"] = aEndReason;
    end["checkpoint"] = "";
    end.erase("payload");
    m_endReports.push_back(std::move(end));
  }

  Json Report()
  {
    Json report = Identity();
    report.update({ { "instance", m_options.m_id },
                    { "service", m_options.m_service },
                    { "cpuMillis", m_options.m_cpuMillis },
                    { "memoryMb", 4096 },
                    { "sequence", ++m_sequence },
                    { "active", Json::array() },
                    { "ended", m_endReports } });
    for (const auto& [key, run] : m_running) {
      Json row = run.m_order;
      row["percent"] = 100;
      row.erase("payload");
      report["active"].push_back(std::move(row));
    }
    m_sentAt = MonotonicNow();
    return Post("/report", report);
  }

  Json Post(const std::string& aAction, const Json& aBody)
  {
    http::Call call;
    call.m_address = m_options.m_control[m_nextControl];
    call.m_method = "POST";
    call.m_target = "/v1/workers/" + Id() + aAction;
    call.m_body = std::make_shared<const std::string>(aBody.dump());
    call.m_timeout = std::chrono::seconds{ 1 };
    call.m_atMostOnce = false;
    std::promise<http::CallResult> done;
    m_client.Start(std::move(call), [&](http::CallResult aResult) {
      done.set_value(std::move(aResult));
    });
    const http::CallResult result = done.get_future().get();
    if (result.m_end != http::CallEnd::kAnswered ||
        result.m_response.m_status != 200) {
      m_nextControl = (m_nextControl + 1) % m_options.m_control.size();
      return nullptr;
    }
    return Json::parse(result.m_response.m_body, nullptr, false);
  }

  void ApplyAnswer(const Json& aAnswer)
  {
    if (aAnswer.at("fencingToken") < m_fencingToken) {
      return;
    }
    m_fencingToken = aAnswer.at("fencingToken").get<std::uint64_t>();
    m_leaseEnd = m_sentAt + Millis{ aAnswer.at("leaseMs").get<unsigned>() };
    const auto ackedUpTo = aAnswer.at("ackedUpTo").get<std::uint64_t>();
    std::erase_if(m_endReports, [&](const Json& aEnd) {
      const bool isAcked = aEnd.at("number").get<std::uint64_t>() <= ackedUpTo;
      if (isAcked && aEnd.at("how") == "done") {
        std::cout << "noted " << KeyOf(aEnd) << std::endl;
      }
      return isAcked;
    });
    for (const Json& order : aAnswer.at("stop")) {
      const auto found = m_running.find(KeyOf(order));
      if (found != m_running.end()) {
        AddEnd(order, "stopped");
        m_running.erase(found);
      }
    }
    for (const Json& order : aAnswer.at("start")) {
      if (m_running
            .try_emplace(KeyOf(order), ActiveRun{ order, MonotonicNow() })
            .second) {
        std::cout << "start " << KeyOf(order) << std::endl;
        m_isCrashed = m_isCrashed || Crashes(order);
      }
    }
  }

  bool Crashes(const Json& aOrder) const
  {
    return !m_options.m_crashPayload.empty() &&
           aOrder.at("payload") == m_options.m_crashPayload;
  }

  static std::string KeyOf(const Json& aOrder)
  {
    return aOrder.at("job").get<std::string>() + "." +
           aOrder.at("occurrence").dump() + "." + aOrder.at("step").dump() +
           "." + aOrder.at("index").dump();
  }

  Options m_options;
  http::Client m_client;
  std::unique_ptr<http::Server> m_server;
  std::mutex m_mutex;
  std::optional<RestartRequest> m_restartRequest;
  std::size_t m_nextControl = 0;
  unsigned m_incarnation = 0;
  std::int64_t m_startedAtMs = 0;
  bool m_isCrashed = false;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_lastEnd = 0;
  std::uint64_t m_fencingToken = 0;
  TimePoint m_sentAt;
  TimePoint m_leaseEnd;
  std::map<std::string, ActiveRun> m_running;
  std::vector<Json> m_endReports;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  po::options_description description("fake_worker");
  description.add_options()("id", po::value(&options.m_id)->required())(
    "service", po::value(&options.m_service)->required())(
    "control", po::value(&options.m_control)->multitoken()->required())(
    "cpu-millis",
    po::value(&options.m_cpuMillis))("task-ms", po::value(&options.m_taskMs))(
    "crash-payload", po::value(&options.m_crashPayload))(
    "restart-ms", po::value(&options.m_restartMs))(
    "new-ids", po::bool_switch(&options.m_newIdPerIncarnation))(
    "port", po::value(&options.m_port));
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "fake_worker: " << error.what() << "\n";
    return 2;
  }
  std::signal(SIGTERM, [](int) { g_stop = true; });
  // Simulates a crash and restart.
  std::signal(SIGUSR1, [](int) { g_crash = true; });
  std::signal(SIGPIPE, SIG_IGN);
  Worker worker(std::move(options));
  if (!worker.Listen()) {
    std::cerr << "fake_worker: cannot listen\n";
    return 1;
  }
  worker.Run();
  return 0;
}
