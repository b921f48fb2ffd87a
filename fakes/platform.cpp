// A fake platform that hosts instances and restarts their fake upstreams or
// workers through POST /fake/restart. It serves:
//   POST /v1/restart/{instance}?incarnation=N   restarts an incarnation once
//   POST /bamboostile/machine-upkeep, /bamboostile/machine-move
//   GET /bamboostile/machines
// It prints each order that arrives and each instance that goes down. Orders
// can be made to fail in the ways of a platform behind a network.

#include "raw_server.h"

#include "bamboostile/http/client.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace {

namespace po = boost::program_options;
using namespace bamboostile;
using Json = nlohmann::json;

std::atomic<bool> g_stop = false;

constexpr int kIdleTimeoutMs = 60'000;
constexpr Millis kLateAnswerDelay{ 2000 };
constexpr Millis kLateExecutionDelay{ 1700 };

/** Writes a line in one piece, since each connection has its own thread. */
void
Print(const std::string& aLine)
{
  std::cout << aLine + "\n" << std::flush;
}

/** Injected failure of an order. "Before" means that it is not executed. */
enum class Failure
{
  kNone,
  /** Executed; a connection that served an earlier request is then closed
   * without an answer. */
  kReusedClosed,
  kClosed,
  kClosedBefore,
  kUnavailable,
  kUnavailableBefore,
  kAnsweredLate,
  /** No answer; executed kLateExecutionDelay later, after the sender has timed
   * out. */
  kExecutedLate,
};

const std::map<std::string, Failure> kFailures{
  { "none", Failure::kNone },
  { "kept-closed", Failure::kReusedClosed },
  { "closed", Failure::kClosed },
  { "closed-before", Failure::kClosedBefore },
  { "unavailable", Failure::kUnavailable },
  { "unavailable-before", Failure::kUnavailableBefore },
  { "answered-late", Failure::kAnsweredLate },
  { "obeyed-late", Failure::kExecutedLate },
};

struct Options
{
  std::uint16_t m_port = 0;
  std::map<std::string, std::string> m_addresses;
  unsigned m_downMs = 2000;
  Failure m_failure = Failure::kNone;
  /** Every n-th order fails; 1 means all. */
  unsigned m_failEvery = 1;
};

struct Reply
{
  int m_status = 200;
  std::string m_body;
};

struct HostedInstance
{
  std::string m_address;
  std::string m_pool = "desk";
  std::string m_state = "up";
  TimePoint m_downUntil;
  std::uint64_t m_highestToken = 0;
  std::set<std::uint64_t> m_maintainedWaves;
};

/** The hosted instances and the effects of orders on them. Thread-safe. */
class Hosting
{
public:
  explicit Hosting(Options aOptions)
    : m_options(std::move(aOptions))
  {
    for (const auto& [name, address] : m_options.m_addresses) {
      m_instances[name].m_address = address;
    }
  }

  Reply Maintain(const Json& aBody, std::uint64_t aToken)
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_instances.find(aBody.at("machine"));
    if (found == m_instances.end()) {
      return { 400, "" };
    }
    HostedInstance& instance = found->second;
    const auto wave = aBody.at("wave").get<std::uint64_t>();
    const bool isDone = instance.m_maintainedWaves.contains(wave);
    if (const auto refusal = CheckRefusal(instance, aToken)) {
      return *refusal;
    }
    if (isDone) {
      return {};
    }
    instance.m_maintainedWaves.insert(wave);
    TakeDown(found->first, instance, "upkeep");
    Print("down " + found->first + " wave " + std::to_string(wave) + " of " +
          std::to_string(CountInMaintenance()));
    return {};
  }

  Reply Move(const Json& aBody, std::uint64_t aToken)
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_instances.find(aBody.at("machine"));
    if (found == m_instances.end()) {
      return { 400, "" };
    }
    HostedInstance& instance = found->second;
    const auto pool = aBody.at("pool").get<std::string>();
    if (const auto refusal = CheckRefusal(instance, aToken)) {
      return *refusal;
    }
    if (instance.m_pool != pool) {
      instance.m_pool = pool;
      TakeDown(found->first, instance, "moving");
    }
    return {};
  }

  Reply List()
  {
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    for (const auto& [name, instance] : m_instances) {
      rows.push_back({ { "machine", name },
                       { "pool", instance.m_pool },
                       { "state", StateOf(instance) } });
    }
    return { 200, Json{ { "machines", rows }, { "next_token", "" } }.dump() };
  }

  Reply Restart(const std::string& aName, const std::string& aTarget)
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_instances.find(aName);
    if (found == m_instances.end()) {
      return { 404, "" };
    }
    if (m_restarts.insert(aTarget).second) {
      SendRestart(found->second, "");
    }
    return {};
  }

private:
  static std::string StateOf(const HostedInstance& aInstance)
  {
    return MonotonicNow() < aInstance.m_downUntil ? aInstance.m_state : "up";
  }

  static std::optional<Reply> CheckRefusal(HostedInstance& aInstance,
                                           std::uint64_t aToken)
  {
    if (aToken < aInstance.m_highestToken) {
      return Reply{ 409, R"({"reason":"fence"})" };
    }
    aInstance.m_highestToken = aToken;
    if (StateOf(aInstance) != "up") {
      return Reply{ 409, R"({"reason":"busy"})" };
    }
    return std::nullopt;
  }

  int CountInMaintenance() const
  {
    int down = 0;
    for (const auto& [name, instance] : m_instances) {
      down += StateOf(instance) == "upkeep" ? 1 : 0;
    }
    return down;
  }

  void TakeDown(const std::string& aName,
                HostedInstance& aInstance,
                const char* aState)
  {
    aInstance.m_state = aState;
    aInstance.m_downUntil = MonotonicNow() + Millis{ m_options.m_downMs };
    SendRestart(aInstance,
                "?downMs=" + std::to_string(m_options.m_downMs) +
                  "&service=" + aInstance.m_pool);
    Print(std::string{ aState } + " " + aName);
  }

  void SendRestart(const HostedInstance& aInstance, const std::string& aQuery)
  {
    http::Call call;
    call.m_address = aInstance.m_address;
    call.m_method = "POST";
    call.m_target = "/fake/restart" + aQuery;
    call.m_timeout = Millis{ 2000 };
    m_client.Start(std::move(call), [](const http::CallResult&) {});
  }

  Options m_options;
  std::mutex m_mutex;
  std::map<std::string, HostedInstance> m_instances;
  std::set<std::string> m_restarts;
  http::Client m_client;
};

/** Serves HTTP connections and injects the failure that the options name. */
class Frontend
{
public:
  explicit Frontend(const Options& aOptions)
    : m_options(aOptions)
    , m_hosting(aOptions)
    , m_server([this](int aSocket, int) { Serve(aSocket); }, aOptions.m_port)
  {
  }

private:
  struct Request
  {
    std::string m_target;
    std::uint64_t m_token = 0;
    std::string m_body;
  };

  static std::string HeaderOf(const std::string& aHead,
                              const std::string& aName)
  {
    const std::size_t at = aHead.find("\r\n" + aName + ": ");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + aName.size() + 4;
    return aHead.substr(from, aHead.find("\r\n", from) - from);
  }

  static std::optional<Request> Read(int aSocket)
  {
    const std::string head = test::ReadHead(aSocket, kIdleTimeoutMs);
    if (head.empty()) {
      return std::nullopt;
    }
    Request request;
    const std::size_t from = head.find(' ') + 1;
    request.m_target = head.substr(from, head.find(' ', from) - from);
    const std::string token = HeaderOf(head, "Fencing-Token");
    request.m_token = token.empty() ? 0 : std::stoull(token);
    const std::string length = HeaderOf(head, "Content-Length");
    request.m_body =
      test::ReadBody(aSocket, length.empty() ? 0 : std::stoul(length));
    return request;
  }

  static void Answer(int aSocket, const Reply& aReply)
  {
    test::Write(
      aSocket,
      "HTTP/1.1 " + std::to_string(aReply.m_status) +
        " answered\r\nContent-Length: " + std::to_string(aReply.m_body.size()) +
        "\r\n\r\n" + aReply.m_body);
  }

  void Serve(int aSocket)
  {
    bool isReused = false;
    while (auto request = Read(aSocket)) {
      const bool isOrder =
        request->m_target.rfind("/bamboostile/machine-", 0) == 0;
      if (!isOrder) {
        Answer(aSocket, Handle(*request));
      } else if (!HandleOrder(aSocket, *request, isReused)) {
        return;
      }
      isReused = true;
    }
  }

  /** Serves an order; returns whether the connection stays open. */
  bool HandleOrder(int aSocket, const Request& aRequest, bool aIsReused)
  {
    Print("order " + aRequest.m_target + " " + aRequest.m_body);
    const bool isFailing = ++m_orders % m_options.m_failEvery == 0;
    switch (isFailing ? m_options.m_failure : Failure::kNone) {
      case Failure::kNone:
        break;
      case Failure::kReusedClosed:
        if (aIsReused) {
          Handle(aRequest);
          return false;
        }
        break;
      case Failure::kClosed:
        Handle(aRequest);
        return false;
      case Failure::kClosedBefore:
        return false;
      case Failure::kUnavailable:
        Handle(aRequest);
        Answer(aSocket, { 503, "" });
        return true;
      case Failure::kUnavailableBefore:
        Answer(aSocket, { 503, "" });
        return true;
      case Failure::kAnsweredLate: {
        const Reply reply = Handle(aRequest);
        std::this_thread::sleep_for(kLateAnswerDelay);
        Answer(aSocket, reply);
        return true;
      }
      case Failure::kExecutedLate:
        std::this_thread::sleep_for(kLateExecutionDelay);
        Handle(aRequest);
        return false;
    }
    Answer(aSocket, Handle(aRequest));
    return true;
  }

  Reply Handle(const Request& aRequest)
  {
    const std::string restart = "/v1/restart/";
    const std::string& target = aRequest.m_target;
    if (target.rfind(restart, 0) == 0) {
      const std::size_t end = target.find('?');
      return m_hosting.Restart(
        target.substr(restart.size(), end - restart.size()), target);
    }
    if (target.rfind("/bamboostile/machines", 0) == 0) {
      return m_hosting.List();
    }
    const Json body = Json::parse(aRequest.m_body, nullptr, false);
    if (target == "/bamboostile/machine-upkeep") {
      return m_hosting.Maintain(body, aRequest.m_token);
    }
    if (target == "/bamboostile/machine-move") {
      return m_hosting.Move(body, aRequest.m_token);
    }
    return { 404, "" };
  }

  Options m_options;
  Hosting m_hosting;
  std::atomic<unsigned> m_orders = 0;
  test::RawServer m_server;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  std::vector<std::string> instances;
  std::string failure = "none";
  po::options_description description("fake_platform");
  description.add_options()("port", po::value(&options.m_port)->required())(
    "instance",
    po::value(&instances)->multitoken()->required(),
    "NAME=IP:PORT")("down-ms", po::value(&options.m_downMs))(
    "fails", po::value(&failure))("fails-every",
                                  po::value(&options.m_failEvery));
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, description), values);
    po::notify(values);
    options.m_failure = kFailures.at(failure);
  } catch (const std::exception& error) {
    std::cerr << "fake_platform: " << error.what() << "\n";
    return 2;
  }
  for (const std::string& instance : instances) {
    const std::size_t equals = instance.find('=');
    options.m_addresses[instance.substr(0, equals)] =
      instance.substr(equals + 1);
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { g_stop = true; });
  const Frontend frontend(options);
  while (!g_stop) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
  }
  // Exits without destructors, which would wait for idle connections.
  std::_Exit(0);
}
