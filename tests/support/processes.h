#pragma once

#include "bamboostile/http/client.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace bamboostile::test {

/** Output and exit code of a command. */
struct Output
{
  int m_exit = -1;
  std::string m_text;
};

/**
 * @brief Runs real daemons and fakes on loopback, on ports of one test.
 *
 * Starts programs from the build folder and ends each by its process id.
 */
class Processes
{
public:
  /** The test owns 100 ports from aBasePort on. */
  explicit Processes(std::uint16_t aBasePort);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  void StartControl(int aNumber);
  /** Starts a replica that has the seeds of its group and, with aFormGroup, may
   * form the group by itself. */
  void StartSeededControl(int aNumber, bool aFormGroup);
  /** Starts a seed that keeps no log and has no vote. */
  void StartControlWithoutDisk(int aNumber);
  /** Starts a group of one replica whose instances the fake platform hosts. */
  void StartHostedControl();
  /** Starts a control replica that forms a group by itself, for callers that
   * the test doesn't trust. */
  void StartHostedControl(const nlohmann::json& aHosting,
                          std::optional<std::uint64_t> aMaxDescriptors);
  /** Starts an entry for callers of queues, whose leader is replica 1. */
  void StartHostedEntry(const nlohmann::json& aHosting,
                        const nlohmann::json& aLimits,
                        std::optional<std::uint64_t> aMaxDescriptors);
  /** Starts a fake platform that hosts workers 1 to aWorkers and restarts them
   * as ordered. */
  void StartPlatform(int aWorkers, std::vector<std::string> aExtra = {});
  /** Starts a fake worker that the fake platform can restart. */
  void StartHostedWorker(int aNumber);
  /** Returns the lines of the fake platform's output that begin with aWord. */
  std::vector<std::string> PlatformLines(const std::string& aWord) const;
  /** Address where the platform's operators call the control group. */
  std::string ControlFrontHttp() const;
  /** Addresses of the entry that StartHostedEntry() starts. */
  std::string CallersHttp() const;
  std::string ReadinessHttp() const;
  /** Starts a fake worker, which logs the tasks that it starts. */
  void StartWorker(int aNumber, std::vector<std::string> aExtra = {});
  /** Counts the worker's starts of tasks whose end as done had already been
   * acknowledged to it. */
  int CountRestartsAfterDone(int aWorker) const;
  /** Returns how often the workers have started each task, by task name. */
  std::map<std::string, int> TaskStarts() const;
  void StartEntry(int aNumber);
  void StartEntryWithControl(int aNumber,
                             const std::vector<std::string>& aControl);
  void StartUpstream(int aNumber,
                     const std::string& aService,
                     std::vector<std::string> aExtra = {});
  /** Starts a group of three, three entries, a service and a pool. */
  void StartAll();

  void Signal(const std::string& aName, int aSignal);
  /** Waits until the process ends; returns its exit code, or -1 after a signal.
   */
  int Wait(const std::string& aName);
  /** Returns whether the process has exited by itself with code 0. */
  bool HasExitedCleanly(const std::string& aName);
  void Kill(const std::string& aName);
  bool IsRunning(const std::string& aName);
  /** Returns the largest resident size that the process has had, in bytes; 0
   * once it has ended. */
  std::uint64_t PeakMemory(const std::string& aName) const;
  std::size_t CountDescriptors(const std::string& aName) const;
  /** Waits until the process has dealt with all that it was sent. */
  void AwaitIdle(const std::string& aName);

  Output Cli(std::vector<std::string> aArguments);
  nlohmann::json Status();
  /** Runs the fake caller against all entries and returns its summary. */
  nlohmann::json Call(std::vector<std::string> aExtra);
  /** Starts the fake caller in the background; CallerResult() waits for it. */
  void StartCaller(const std::string& aName, std::vector<std::string> aExtra);
  nlohmann::json CallerResult(const std::string& aName);

  http::CallResult Http(const std::string& aAddress,
                        const std::string& aMethod,
                        const std::string& aTarget,
                        http::Headers aHeaders = {},
                        const std::string& aBody = "",
                        Millis aTimeout = Millis{ 10'000 });
  bool Until(const std::function<bool()>& aDone, Millis aLimit);
  std::string LeaderName();

  std::string Rpc(int aNumber) const;
  std::string EntryHttp(int aNumber) const;
  std::string ControlHttp(int aNumber) const;
  std::string UpstreamHttp(int aNumber) const;
  std::string PlatformHttp() const;
  std::filesystem::path Folder() const { return m_folder; }
  std::uint64_t RunsAt(int aUpstream, const std::string& aId);
  std::uint64_t TotalAt(int aUpstream);

private:
  /** With aMaxDescriptors, the process may open no more. */
  pid_t Spawn(const std::string& aName,
              const std::vector<std::string>& aArguments,
              std::optional<std::uint64_t> aMaxDescriptors = std::nullopt);
  /** Returns the processor time that the process has used, in clock ticks. */
  std::uint64_t ProcessorTicks(const std::string& aName) const;
  void StartControlWith(
    int aNumber,
    nlohmann::json aExtra,
    std::optional<std::uint64_t> aMaxDescriptors = std::nullopt);
  std::vector<std::string> CallerArguments(
    std::vector<std::string> aExtra) const;

  std::uint16_t m_basePort;
  std::filesystem::path m_folder;
  std::map<std::string, pid_t> m_running;
  std::set<int> m_upstreams;
  http::Client m_client;
};

} // namespace bamboostile::test
