// A fake upstream: announces itself to the entries, serves requests in its
// slots, counts the executions of each request id, and fails or hangs on
// demand.

#include "bamboostile/http/client.h"
#include "bamboostile/http/server.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <thread>

namespace {

namespace po = boost::program_options;
using namespace bamboostile;
using Json = nlohmann::json;

std::atomic<bool> g_stop = false;

struct Options
{
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::string m_rack;
  std::uint16_t m_port = 0;
  std::vector<std::string> m_entries;
  unsigned m_slots = 8;
  unsigned m_serviceMs = 5;
  unsigned m_announceMs = 1000;
  std::uint64_t m_incarnation = 1;
};

/** How requests are served; set by PUT /fake/mode. */
enum class Mode
{
  kServe,
  /** Answers 500 without delay. */
  kFail,
  /** Runs requests but withholds the answers. */
  kHang,
};

class Upstream
{
public:
  explicit Upstream(Options aOptions)
    : m_options(std::move(aOptions))
    , m_incarnation(m_options.m_incarnation)
  {
    http::ServerOptions server;
    server.m_address = "127.0.0.1";
    server.m_port = m_options.m_port;
    m_server = std::make_unique<http::Server>(
      server, [this](auto aExchange) { Handle(std::move(aExchange)); });
    m_server->Every(Millis{ 1 }, [this]() { FinishDue(); });
    m_server->Every(Millis{ m_options.m_announceMs },
                    [this]() { Announce("up"); });
  }

  bool Start(std::string& aReason) { return m_server->Start(aReason); }

  void AnnounceNow(const char* aState)
  {
    m_server->Post([this, aState]() { Announce(aState); });
  }

  void Stop()
  {
    m_client.Stop();
    m_server->Stop();
  }

private:
  struct Running
  {
    TimePoint m_due;
    std::shared_ptr<http::Exchange> m_exchange;
  };

  void Handle(std::shared_ptr<http::Exchange> aExchange)
  {
    const http::Request& request = aExchange->Incoming();
    if (request.m_target.rfind("/fake/", 0) == 0) {
      HandleControl(*aExchange);
      return;
    }
    if (m_running.size() < m_options.m_slots) {
      Run(std::move(aExchange));
    } else {
      m_queued.push_back(std::move(aExchange));
    }
  }

  void Run(std::shared_ptr<http::Exchange> aExchange)
  {
    const auto id =
      http::FindHeader(aExchange->Incoming().m_headers, "Idempotency-Key");
    ++m_runs[aExchange->Incoming().m_method + " " + id.value_or("-")];
    ++m_total;
    const Duration time = m_mode == Mode::kFail
                            ? Duration::zero()
                            : Duration{ Millis{ m_options.m_serviceMs } };
    m_running.push_back({ MonotonicNow() + time, std::move(aExchange) });
  }

  void FinishDue()
  {
    const TimePoint now = MonotonicNow();
    for (std::size_t i = 0; i < m_running.size();) {
      if (m_running[i].m_due > now || m_mode == Mode::kHang) {
        ++i;
        continue;
      }
      Finish(*m_running[i].m_exchange);
      m_running[i] = std::move(m_running.back());
      m_running.pop_back();
      if (!m_queued.empty()) {
        Run(std::move(m_queued.front()));
        m_queued.pop_front();
      }
    }
  }

  void Finish(http::Exchange& aExchange)
  {
    const auto id =
      http::FindHeader(aExchange.Incoming().m_headers, "Idempotency-Key");
    http::Response response;
    response.m_status = m_mode == Mode::kFail ? 500 : 200;
    response.m_reason = m_mode == Mode::kFail ? "Failed" : "OK";
    response.m_headers.push_back({ "Content-Type", "application/json" });
    response.m_body = Json{
      { "servedBy", m_options.m_id },
      { "requestId", id.value_or("") },
      { "echo", aExchange.Incoming().m_body }
    }.dump(-1, ' ', false, Json::error_handler_t::replace);
    aExchange.Respond(std::move(response));
  }

  void HandleControl(http::Exchange& aExchange)
  {
    const http::Request& request = aExchange.Incoming();
    http::Response response;
    if (request.m_target == "/fake/runs") {
      response.m_body = Json{ { "runs", m_runs }, { "total", m_total } }.dump();
    } else if (request.m_target == "/fake/mode") {
      SetMode(request.m_body);
    } else if (request.m_target == "/fake/announce") {
      m_isAnnouncing = request.m_body != "off";
    } else if (request.m_target == "/fake/leave") {
      m_isLeaving = true;
      Announce("leaving");
    } else if (request.m_target == "/fake/return") {
      m_isLeaving = false;
      Announce("up");
    } else if (request.m_target == "/fake/restart") {
      ++m_incarnation;
      m_sequence = 0;
      Announce("up");
    } else {
      response.m_status = 404;
    }
    aExchange.Respond(std::move(response));
  }

  void SetMode(const std::string& aName)
  {
    static const std::map<std::string, Mode> kModes{ { "serve", Mode::kServe },
                                                     { "fail", Mode::kFail },
                                                     { "hang", Mode::kHang } };
    const auto found = kModes.find(aName);
    m_mode = found == kModes.end() ? Mode::kServe : found->second;
  }

  void Announce(const std::string& aState)
  {
    if (!m_isAnnouncing || m_options.m_entries.empty()) {
      return;
    }
    // Round robin over the entries, as behind a load balancer.
    const std::string& entry =
      m_options.m_entries[m_nextEntry++ % m_options.m_entries.size()];
    const Json announcement{
      { "incarnation", m_incarnation },
      { "sequence", ++m_sequence },
      { "service", m_options.m_service },
      { "zone", m_options.m_zone },
      { "rack", m_options.m_rack },
      { "address", "127.0.0.1:" + std::to_string(m_options.m_port) },
      { "slots", m_options.m_slots },
      { "connections", 64 },
      { "cores", 16 },
      { "memoryMb", 32768 },
      { "accelerators", 0 },
      { "state", m_isLeaving ? "leaving" : aState }
    };
    http::Call call;
    call.m_address = entry;
    call.m_method = "PUT";
    call.m_target = "/v1/upstreams/" + m_options.m_id;
    call.m_body = std::make_shared<const std::string>(announcement.dump());
    call.m_timeout = Millis{ 4000 };
    call.m_atMostOnce = false;
    m_client.Start(std::move(call), [](const http::CallResult&) {});
  }

  Options m_options;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  bool m_isAnnouncing = true;
  bool m_isLeaving = false;
  std::size_t m_nextEntry = 0;
  Mode m_mode = Mode::kServe;
  std::vector<Running> m_running;
  std::deque<std::shared_ptr<http::Exchange>> m_queued;
  std::map<std::string, std::uint64_t> m_runs;
  std::uint64_t m_total = 0;
  http::Client m_client;
  std::unique_ptr<http::Server> m_server;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  po::options_description description("fake_upstream");
  description.add_options()("id", po::value(&options.m_id)->required())(
    "service", po::value(&options.m_service)->required())(
    "zone", po::value(&options.m_zone)->required())(
    "rack", po::value(&options.m_rack)->required())(
    "port", po::value(&options.m_port)->required())(
    "entry", po::value(&options.m_entries)->multitoken())(
    "slots", po::value(&options.m_slots))("service-ms",
                                          po::value(&options.m_serviceMs))(
    "announce-ms", po::value(&options.m_announceMs))(
    "incarnation", po::value(&options.m_incarnation));
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { g_stop = true; });
  std::signal(SIGINT, [](int) { g_stop = true; });
  Upstream upstream(options);
  std::string reason;
  if (!upstream.Start(reason)) {
    std::cerr << reason << "\n";
    return 1;
  }
  upstream.AnnounceNow("up");
  while (!g_stop) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
  }
  upstream.Stop();
  return 0;
}
