#include "processes.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <set>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bamboostile::test {

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr int kGroup = 3;
constexpr Millis kStartupTimeout{ 15'000 };

std::string
Loopback(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/** Returns the daemon to test. BAMBOOSTILE_DAEMON selects another build's
 * daemon, which runs against the same fakes. */
std::string
DaemonPath()
{
  const char* configured = std::getenv("BAMBOOSTILE_DAEMON");
  return configured == nullptr ? BAMBOOSTILE_DAEMON : configured;
}

std::string
ReadAll(const fs::path& aFile)
{
  std::ifstream in(aFile);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace

Processes::Processes(std::uint16_t aBasePort)
  : m_basePort(aBasePort)
  , m_folder(fs::temp_directory_path() /
             ("bamboostile-" + std::to_string(aBasePort) + "-" +
              std::to_string(getpid())))
{
  fs::remove_all(m_folder);
  fs::create_directories(m_folder);
}

Processes::~Processes()
{
  while (!m_running.empty()) {
    Kill(m_running.begin()->first);
  }
  if (std::getenv("BAMBOOSTILE_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    fs::remove_all(m_folder, ignored);
  }
}

std::string
Processes::Rpc(int aNumber) const
{
  return Loopback(m_basePort + aNumber);
}

std::string
Processes::EntryHttp(int aNumber) const
{
  return Loopback(m_basePort + 10 + aNumber);
}

std::string
Processes::UpstreamHttp(int aNumber) const
{
  return Loopback(m_basePort + 30 + aNumber);
}

std::string
Processes::PlatformHttp() const
{
  return Loopback(m_basePort + 60);
}

std::string
Processes::ControlFrontHttp() const
{
  return Loopback(m_basePort + 61);
}

std::string
Processes::CallersHttp() const
{
  return Loopback(m_basePort + 62);
}

std::string
Processes::ReadinessHttp() const
{
  return Loopback(m_basePort + 63);
}

pid_t
Processes::Spawn(const std::string& aName,
                 const std::vector<std::string>& aArguments,
                 std::optional<std::uint64_t> aMaxDescriptors)
{
  const fs::path log = m_folder / (aName + ".log");
  std::vector<char*> arguments;
  for (const std::string& word : aArguments) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t child = fork();
  if (child == 0) {
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    if (aMaxDescriptors) {
      const rlimit limit{ *aMaxDescriptors, *aMaxDescriptors };
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  m_running[aName] = child;
  return child;
}

std::string
Processes::ControlHttp(int aNumber) const
{
  return Loopback(m_basePort + 50 + aNumber);
}

void
Processes::StartControl(int aNumber)
{
  StartControlWith(aNumber, Json::object());
}

void
Processes::StartSeededControl(int aNumber, bool aFormGroup)
{
  StartControlWith(aNumber,
                   { { "control", { Rpc(1), Rpc(2), Rpc(3) } },
                     { "hosting", { { "formGroup", aFormGroup } } } });
}

void
Processes::StartControlWithoutDisk(int aNumber)
{
  StartControlWith(aNumber,
                   { { "control", { Rpc(1), Rpc(2), Rpc(3) } },
                     { "hosting", { { "formGroup", true } } },
                     { "dataFolder", nullptr } });
}

void
Processes::StartHostedControl()
{
  StartControlWith(1,
                   { { "control", { Rpc(1) } },
                     { "hosting",
                       { { "formGroup", true },
                         { "workers", ControlFrontHttp() },
                         { "instances", PlatformHttp() },
                         { "maintenanceSeconds", 2 } } } });
}

void
Processes::StartHostedControl(const Json& aHosting,
                              std::optional<std::uint64_t> aMaxDescriptors)
{
  Json hosting{ { "formGroup", true }, { "workers", ControlFrontHttp() } };
  hosting.update(aHosting);
  StartControlWith(
    1, { { "control", { Rpc(1) } }, { "hosting", hosting } }, aMaxDescriptors);
}

void
Processes::StartHostedEntry(const Json& aHosting,
                            const Json& aLimits,
                            std::optional<std::uint64_t> aMaxDescriptors)
{
  Json hosting{ { "callers", CallersHttp() },
                { "readiness", ReadinessHttp() } };
  hosting.update(aHosting);
  const Json settings{ { "instance", "e1" },     { "zone", "z1" },
                       { "roles", { "entry" } }, { "control", { Rpc(1) } },
                       { "hosting", hosting },   { "limits", aLimits } };
  const fs::path file = m_folder / "e1.json";
  std::ofstream(file) << settings.dump();
  Spawn("e1", { DaemonPath(), "--settings", file.string() }, aMaxDescriptors);
}

void
Processes::StartPlatform(int aWorkers, std::vector<std::string> aExtra)
{
  std::vector<std::string> arguments{ BAMBOOSTILE_FAKES "/fake_platform",
                                      "--port",
                                      std::to_string(m_basePort + 60) };
  arguments.insert(arguments.end(), aExtra.begin(), aExtra.end());
  arguments.push_back("--instance");
  for (int i = 1; i <= aWorkers; ++i) {
    arguments.push_back("k" + std::to_string(i) + "=" +
                        Loopback(m_basePort + 70 + i));
  }
  Spawn("platform", arguments);
}

void
Processes::StartHostedWorker(int aNumber)
{
  StartWorker(aNumber, { "--port", std::to_string(m_basePort + 70 + aNumber) });
}

std::vector<std::string>
Processes::PlatformLines(const std::string& aWord) const
{
  std::vector<std::string> lines;
  std::ifstream in(m_folder / "platform.log");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind(aWord + " ", 0) == 0) {
      lines.push_back(line);
    }
  }
  return lines;
}

void
Processes::StartWorker(int aNumber, std::vector<std::string> aExtra)
{
  const std::string name = "k" + std::to_string(aNumber);
  std::vector<std::string> arguments{
    BAMBOOSTILE_FAKES "/fake_worker", "--id", name, "--service", "desk"
  };
  arguments.insert(arguments.end(), aExtra.begin(), aExtra.end());
  arguments.push_back("--control");
  for (int i = 1; i <= kGroup; ++i) {
    arguments.push_back(ControlHttp(i));
  }
  Spawn(name, arguments);
}

std::map<std::string, int>
Processes::TaskStarts() const
{
  const std::string mark = "start ";
  std::map<std::string, int> starts;
  for (const auto& entry : fs::directory_iterator(m_folder)) {
    if (entry.path().filename().string().front() != 'k') {
      continue;
    }
    std::ifstream in(entry.path());
    std::string line;
    while (std::getline(in, line)) {
      if (line.rfind(mark, 0) == 0) {
        ++starts[line.substr(mark.size())];
      }
    }
  }
  return starts;
}

int
Processes::CountRestartsAfterDone(int aWorker) const
{
  std::ifstream in(m_folder / ("k" + std::to_string(aWorker) + ".log"));
  std::set<std::string> noted;
  int count = 0;
  for (std::string line; std::getline(in, line);) {
    std::istringstream fields(line);
    std::string event;
    std::string task;
    fields >> event >> task;
    count += event == "start" && noted.contains(task) ? 1 : 0;
    if (event == "noted") {
      noted.insert(task);
    }
  }
  return count;
}

void
Processes::StartControlWith(int aNumber,
                            Json aExtra,
                            std::optional<std::uint64_t> aMaxDescriptors)
{
  const std::string name = "c" + std::to_string(aNumber);
  Json settings{
    { "instance", name },       { "zone", "z" + std::to_string(aNumber) },
    { "roles", { "control" } }, { "control", { Rpc(aNumber) } },
    { "rpc", Rpc(aNumber) },    { "http", ControlHttp(aNumber) },
    { "snapshotEvery", 200 },   { "dataFolder", (m_folder / name).string() }
  };
  settings.update(aExtra);
  if (settings["dataFolder"].is_null()) {
    settings.erase("dataFolder");
  }
  const fs::path file = m_folder / (name + ".json");
  std::ofstream(file) << settings.dump();
  Spawn(name, { DaemonPath(), "--settings", file.string() }, aMaxDescriptors);
}

void
Processes::StartEntry(int aNumber)
{
  StartEntryWithControl(aNumber, { Rpc(1), Rpc(2), Rpc(3) });
}

void
Processes::StartEntryWithControl(int aNumber,
                                 const std::vector<std::string>& aControl)
{
  const std::string name = "e" + std::to_string(aNumber);
  const Json settings{
    { "instance", name },           { "zone", "z" + std::to_string(aNumber) },
    { "roles", { "entry" } },       { "control", aControl },
    { "http", EntryHttp(aNumber) }, { "limits", { { "readTimeoutMs", 1500 } } }
  };
  const fs::path file = m_folder / (name + ".json");
  std::ofstream(file) << settings.dump();
  Spawn(name, { DaemonPath(), "--settings", file.string() });
}

void
Processes::StartUpstream(int aNumber,
                         const std::string& aService,
                         std::vector<std::string> aExtra)
{
  const std::string number = std::to_string(aNumber);
  m_upstreams.insert(aNumber);
  std::vector<std::string> arguments{ BAMBOOSTILE_FAKES "/fake_upstream",
                                      "--id",
                                      "w" + number,
                                      "--service",
                                      aService,
                                      "--zone",
                                      "z" + number,
                                      "--rack",
                                      "r" + number,
                                      "--port",
                                      std::to_string(m_basePort + 30 +
                                                     aNumber) };
  arguments.insert(arguments.end(), aExtra.begin(), aExtra.end());
  arguments.push_back("--entry");
  for (int i = 1; i <= kGroup; ++i) {
    arguments.push_back(EntryHttp(i));
  }
  Spawn("w" + number, arguments);
}

void
Processes::StartAll()
{
  for (int i = 1; i <= kGroup; ++i) {
    StartControl(i);
    StartEntry(i);
  }
  Until(
    [this]() {
      return Cli({ "control", "init" }).m_exit == 0;
    },
    kStartupTimeout);
  for (int i = 2; i <= kGroup; ++i) {
    Until(
      [&]() {
        return Cli({ "control", "add", Rpc(i) }).m_exit == 0;
      },
      kStartupTimeout);
  }
  Until(
    [this]() {
      const Json status = Status();
      std::size_t voters = 0;
      for (const Json& replica : status.value("replicas", Json::array())) {
        voters += replica.at("voter").get<bool>() ? 1 : 0;
      }
      return voters == kGroup && status.at("entries").size() == kGroup;
    },
    kStartupTimeout);
  Cli({ "service", "put", "desk", "--max-unavailable-percent", "50" });
  Cli({ "pool", "put", "old", "--service", "desk" });
}

void
Processes::Signal(const std::string& aName, int aSignal)
{
  kill(m_running.at(aName), aSignal);
}

int
Processes::Wait(const std::string& aName)
{
  int status = 0;
  waitpid(m_running.at(aName), &status, 0);
  m_running.erase(aName);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool
Processes::HasExitedCleanly(const std::string& aName)
{
  int status = 0;
  if (waitpid(m_running.at(aName), &status, WNOHANG) <= 0) {
    return false;
  }
  m_running.erase(aName);
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

void
Processes::Kill(const std::string& aName)
{
  Signal(aName, SIGKILL);
  Wait(aName);
}

bool
Processes::IsRunning(const std::string& aName)
{
  const auto found = m_running.find(aName);
  if (found == m_running.end()) {
    return false;
  }
  int status = 0;
  if (waitpid(found->second, &status, WNOHANG) == 0) {
    return true;
  }
  m_running.erase(found);
  return false;
}

std::uint64_t
Processes::PeakMemory(const std::string& aName) const
{
  const std::string key = "VmHWM:";
  constexpr std::uint64_t kKiB = 1024;
  std::ifstream in("/proc/" + std::to_string(m_running.at(aName)) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind(key, 0) == 0) {
      return std::stoull(line.substr(key.size())) * kKiB;
    }
  }
  return 0;
}

std::uint64_t
Processes::ProcessorTicks(const std::string& aName) const
{
  // proc(5): the name, in parentheses, may contain blanks; user and system time
  // are the 12th and 13th field after it.
  constexpr int kFieldsBefore = 11;
  const std::string text =
    ReadAll("/proc/" + std::to_string(m_running.at(aName)) + "/stat");
  const std::size_t nameEnd = text.rfind(')');
  if (nameEnd == std::string::npos) {
    return 0;
  }
  std::istringstream fields(text.substr(nameEnd + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i) {
    fields >> skipped;
  }
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  fields >> user >> system;
  return user + system;
}

void
Processes::AwaitIdle(const std::string& aName)
{
  constexpr Millis kWindow{ 300 };
  constexpr std::uint64_t kIdleTicks = 2;
  constexpr int kIdleWindows = 3;
  int idleWindows = 0;
  Until(
    [&]() {
      const std::uint64_t before = ProcessorTicks(aName);
      std::this_thread::sleep_for(kWindow);
      const bool isIdle = ProcessorTicks(aName) <= before + kIdleTicks;
      idleWindows = isIdle ? idleWindows + 1 : 0;
      return idleWindows == kIdleWindows;
    },
    kStartupTimeout);
}

std::size_t
Processes::CountDescriptors(const std::string& aName) const
{
  const fs::path folder =
    "/proc/" + std::to_string(m_running.at(aName)) + "/fd";
  return static_cast<std::size_t>(
    std::distance(fs::directory_iterator(folder), fs::directory_iterator{}));
}

Output
Processes::Cli(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), BAMBOOSTILE_CLI);
  aArguments.push_back("--control");
  aArguments.push_back(Rpc(1) + "," + Rpc(2) + "," + Rpc(3));
  const fs::path log = m_folder / "cli.log";
  fs::remove(log);
  Spawn("cli", aArguments);
  Output output;
  output.m_exit = Wait("cli");
  output.m_text = ReadAll(log);
  return output;
}

Json
Processes::Status()
{
  const Output output = Cli({ "status", "--json" });
  const Json json = Json::parse(output.m_text, nullptr, false);
  return json.is_object() ? json : Json::object();
}

std::string
Processes::LeaderName()
{
  const Json status = Status();
  for (const Json& replica : status.value("replicas", Json::array())) {
    if (replica.at("leader").get<bool>()) {
      return replica.at("id");
    }
  }
  return "";
}

std::vector<std::string>
Processes::CallerArguments(std::vector<std::string> aExtra) const
{
  std::vector<std::string> arguments{ BAMBOOSTILE_FAKES "/fake_caller",
                                      "--service",
                                      "desk" };
  arguments.insert(arguments.end(), aExtra.begin(), aExtra.end());
  arguments.push_back("--entry");
  for (int i = 1; i <= kGroup; ++i) {
    arguments.push_back(EntryHttp(i));
  }
  arguments.push_back("--upstream");
  for (const int number : m_upstreams) {
    arguments.push_back(UpstreamHttp(number));
  }
  return arguments;
}

void
Processes::StartCaller(const std::string& aName,
                       std::vector<std::string> aExtra)
{
  Spawn(aName, CallerArguments(std::move(aExtra)));
}

Json
Processes::CallerResult(const std::string& aName)
{
  Wait(aName);
  return Json::parse(ReadAll(m_folder / (aName + ".log")), nullptr, false);
}

Json
Processes::Call(std::vector<std::string> aExtra)
{
  fs::remove(m_folder / "caller.log");
  StartCaller("caller", std::move(aExtra));
  return CallerResult("caller");
}

http::CallResult
Processes::Http(const std::string& aAddress,
                const std::string& aMethod,
                const std::string& aTarget,
                http::Headers aHeaders,
                const std::string& aBody,
                Millis aTimeout)
{
  http::Call call;
  call.m_address = aAddress;
  call.m_method = aMethod;
  call.m_target = aTarget;
  call.m_headers = std::move(aHeaders);
  call.m_timeout = aTimeout;
  call.m_atMostOnce = true;
  if (!aBody.empty()) {
    call.m_body = std::make_shared<const std::string>(aBody);
  }
  auto promise = std::make_shared<std::promise<http::CallResult>>();
  m_client.Start(std::move(call), [promise](http::CallResult aResult) {
    promise->set_value(std::move(aResult));
  });
  return promise->get_future().get();
}

bool
Processes::Until(const std::function<bool()>& aDone, Millis aLimit)
{
  const TimePoint until = MonotonicNow() + aLimit;
  while (MonotonicNow() < until) {
    if (aDone()) {
      return true;
    }
    std::this_thread::sleep_for(Millis{ 50 });
  }
  return aDone();
}

std::uint64_t
Processes::RunsAt(int aUpstream, const std::string& aId)
{
  const auto result = Http(UpstreamHttp(aUpstream), "GET", "/fake/runs");
  const Json body = Json::parse(result.m_response.m_body, nullptr, false);
  return body.is_object() ? body.at("runs").value(aId, 0ULL) : 0;
}

std::uint64_t
Processes::TotalAt(int aUpstream)
{
  const auto result = Http(UpstreamHttp(aUpstream), "GET", "/fake/runs");
  const Json body = Json::parse(result.m_response.m_body, nullptr, false);
  return body.is_object() ? body.value("total", 0ULL) : 0;
}

} // namespace bamboostile::test
