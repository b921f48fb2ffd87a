#pragma once

#include "worker.h"

#include <cstring>
#include <fstream>
#include <iostream>

#include <csignal>

namespace review {

/** A process of the system under test. */
struct Process
{
  /** "core-1" or "edge-1", the machine. */
  std::string m_machine;
  /** "entry" or "control". */
  std::string m_role;
  std::string m_ip;
  /** Holds the id of the process, which changes when it is started again. */
  std::string m_pidFile;
};

/** Ports, the same on all machines. */
constexpr int kFrontPort = 8624;
constexpr int kReadinessPort = 8622;
constexpr int kControlPort = 8623;
constexpr int kPlatformPort = 8621;

/** The running deployment, as `run.sh` has started it. */
class Deployment
{
public:
  /** aFile: a line "MACHINE ROLE IP PIDFILE" for each process, and a line
   * "platform IP". */
  Deployment(const std::string& aFile, Record& aRecord)
    : m_record(aRecord)
  {
    std::ifstream file(aFile);
    for (Process process; file >> process.m_machine;) {
      if (process.m_machine == "platform") {
        file >> m_platformIp;
        continue;
      }
      file >> process.m_role >> process.m_ip >> process.m_pidFile;
      m_processes.push_back(process);
    }
  }

  std::vector<std::string> Controls() const
  {
    std::vector<std::string> controls;
    for (const Process& process : m_processes) {
      if (process.m_role == "control") {
        controls.push_back(AddressOf(process, kControlPort));
      }
    }
    return controls;
  }

  const Process& Find(const std::string& aMachine, const std::string& aRole)
  {
    return *std::find_if(
      m_processes.begin(), m_processes.end(), [&](const Process& aProcess) {
        return aProcess.m_machine == aMachine && aProcess.m_role == aRole;
      });
  }

  std::string Front(const std::string& aMachine)
  {
    return AddressOf(Find(aMachine, "entry"), kFrontPort);
  }

  /** Sends the signal to all processes of a machine. */
  void Signal(const std::string& aMachine, int aSignal)
  {
    for (const Process& process : m_processes) {
      if (process.m_machine == aMachine) {
        pid_t pid = 0;
        std::ifstream(process.m_pidFile) >> pid;
        if (pid > 0) {
          kill(pid, aSignal);
        }
      }
    }
    m_record.Add("machine " + aMachine + " gets " + strsignal(aSignal));
  }

  /** The machine of the process that leads; empty if none says so. */
  std::string LeaderMachine()
  {
    for (const Process& process : m_processes) {
      if (process.m_role != "control") {
        continue;
      }
      const auto answer =
        Call(AddressOf(process, kControlPort),
             WriteRequest("GET", "/bamboostile/config/read", process.m_ip, ""),
             Millis{ 500 });
      if (answer && answer->Status() == 200) {
        return process.m_machine;
      }
    }
    return {};
  }

  /** Serves the list of machines. A case that gets an order for one of them
   * could not run as it was meant. */
  bool StartPlatform()
  {
    m_platform = std::make_unique<Server>(
      m_platformIp + ":" + std::to_string(kPlatformPort),
      [this](const Message& aRequest) -> std::pair<int, std::string> {
        if (aRequest.m_first.starts_with("GET /bamboostile/machines")) {
          return { 200, R"({"machines":[],"next_token":""})" };
        }
        m_record.Add("platform gets " + aRequest.m_first + " " +
                     aRequest.m_body);
        m_hasOrders = true;
        return { 400, "{}" };
      });
    return m_platform->Start();
  }

  bool HasOrders() const { return m_hasOrders; }

  /** Calls the control plane as an operator does, at any process, until it gets
   * a 200. */
  bool Order(const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody,
             Millis aTimeout)
  {
    const auto deadline = Clock::now() + aTimeout;
    const auto controls = Controls();
    for (std::size_t i = 0; Clock::now() < deadline; ++i) {
      std::string address = controls[i % controls.size()];
      for (int redirects = 0; redirects < 3; ++redirects) {
        auto answer = Call(address,
                           WriteRequest(aMethod, aTarget, address, aBody),
                           Millis{ 1'000 });
        if (answer && answer->Status() == 200) {
          m_record.Add("operator: " + aMethod + " " + aTarget + " -> 200");
          return true;
        }
        if (!answer || answer->Status() != 307) {
          break;
        }
        const std::string location = answer->m_headers["location"];
        address = location.substr(7, location.find('/', 7) - 7);
      }
      std::this_thread::sleep_for(Millis{ 100 });
    }
    m_record.Add("operator: " + aMethod + " " + aTarget + " -> no 200");
    return false;
  }

  /** Waits until the entry of the machine reports itself ready. */
  bool AwaitReady(const std::string& aMachine, Millis aTimeout)
  {
    const std::string address =
      AddressOf(Find(aMachine, "entry"), kReadinessPort);
    const auto deadline = Clock::now() + aTimeout;
    while (Clock::now() < deadline) {
      const auto answer =
        Call(address,
             WriteRequest("GET", "/bamboostile/ready", address, ""),
             Millis{ 500 });
      if (answer && answer->Status() == 200) {
        return true;
      }
      std::this_thread::sleep_for(Millis{ 100 });
    }
    return false;
  }

private:
  static std::string AddressOf(const Process& aProcess, int aPort)
  {
    return aProcess.m_ip + ":" + std::to_string(aPort);
  }

  Record& m_record;
  std::vector<Process> m_processes;
  std::string m_platformIp;
  std::unique_ptr<Server> m_platform;
  std::atomic<bool> m_hasOrders = false;
};

constexpr const char* kHost = "pule25.example";
constexpr const char* kPrefix = "/puxa400/";
constexpr const char* kService = "huvo11a";

/** A configuration with one queue and one service. */
inline std::string
WriteConfig(int aVersion, int aMaxAttempts)
{
  return Json{
    { "version", aVersion },
    { "routes",
      { { { "name", "r-u6wsjnb" },
          { "host", kHost },
          { "path_prefix", kPrefix },
          { "type", "non_idempotent" },
          { "timeout_ms", 3000 },
          { "slo_ms", 3600 },
          { "priority", 0 },
          { "service", kService },
          { "max_attempts", aMaxAttempts },
          { "stretch", 1.6 } } } },
    { "services",
      { { { "name", kService },
          { "health_path", "/healthz" },
          { "max_conns", 64 },
          { "protocol", "h1" },
          { "tls", false },
          { "enforces_capacity", true },
          { "standby", false } } } },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 262144 },
        { "header_timeout_ms", 3000 },
        { "idle_timeout_ms", 15000 } } }
  }.dump();
}

/** A client of the queue. */
class Client
{
public:
  Client(Record& aRecord, std::string aName)
    : m_record(aRecord)
    , m_name(std::move(aName))
  {
  }

  /** Sends one request on a new connection; 0 without an answer in time. */
  int Send(const std::string& aFront,
           const std::string& aMethod,
           const std::string& aJob,
           const std::string& aBody = "",
           Millis aPatience = Millis{ 3'000 })
  {
    const std::string request = WriteRequest(
      aMethod, kPrefix + aJob, kHost, aBody, "Deadline-Ms: 3000\r\n");
    m_record.Add(m_name + ": " + aMethod + " " + aJob + " at " + aFront);
    const auto answer = Call(aFront, request, aPatience);
    m_lastBody = answer ? answer->m_body : "";
    const int status = answer ? answer->Status() : 0;
    m_record.Add(m_name + ": " + aMethod + " " + aJob + " -> " +
                 (answer ? std::to_string(status) + " " + m_lastBody
                         : "no answer in time"));
    return status;
  }

  /** The state of the job; empty without a clear answer. */
  std::string StateOf(const std::string& aFront, const std::string& aJob)
  {
    const int status = Send(aFront, "GET", aJob);
    if (status == 410) {
      return "410";
    }
    return status == 200 ? Json::parse(m_lastBody).value("state", "") : "";
  }

private:
  Record& m_record;
  std::string m_name;
  std::string m_lastBody;
};

/** Exit codes of a case. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

} // namespace review
