#pragma once

#include "bamboostile/http/client.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace bamboostile::test {

/** What a command printed and how it ended. */
struct Output
{
  int m_exit = -1;
  std::string m_text;
};

/**
 * @brief Real daemons and fakes on loopback, on ports of this test alone.
 *
 * Starts programs from the build folder and ends each of them by its id.
 */
class Processes
{
public:
  /** aBasePort: 100 ports from here on belong to this test. */
  explicit Processes(std::uint16_t aBasePort);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  void StartControl(int aNumber);
  /** A replica that forms its group from the seeds by itself. */
  void StartSeededControl(int aNumber, bool aFormGroup);
  /** It is a seed too, but keeps no log and has no vote. */
  void StartControlWithoutDisk(int aNumber);
  /** A group of its own whose instances the fake platform hosts. */
  void StartHostedControl();
  /** Hosts workers 1 to aWorkers, which it restarts as orders say. */
  void StartPlatform(int aWorkers, std::vector<std::string> aMore = {});
  /** A fake worker that the fake platform can restart. */
  void StartHostedWorker(int aNumber);
  /** Of what the fake platform printed: lines that begin with aWord. */
  std::vector<std::string> PlatformLines(const std::string& aWord) const;
  /** Where the platform's operators call the control group. */
  std::string ControlFrontHttp() const;
  /** A fake worker; what it started is in its log. */
  void StartWorker(int aNumber, std::vector<std::string> aMore = {});
  /** Starts of tasks whose end as done that worker had been told is noted. */
  int StartsAfterNoted(int aWorker) const;
  /** How often the workers have started each task, by its name. */
  std::map<std::string, int> TaskStarts() const;
  void StartEntry(int aNumber);
  void StartEntryKnowing(int aNumber, const std::vector<std::string>& aControl);
  void StartUpstream(int aNumber,
                     const std::string& aService,
                     std::vector<std::string> aMore = {});
  /** Starts a group of three, three entries, a service and a pool. */
  void StartAll();

  void Signal(const std::string& aName, int aSignal);
  /** Waits for the end and returns the exit code, -1 for a signal. */
  int Wait(const std::string& aName);
  /** Has the process ended by itself, with code 0? */
  bool HasEndedWell(const std::string& aName);
  void Kill(const std::string& aName);

  Output Cli(std::vector<std::string> aWords);
  nlohmann::json Status();
  /** Runs the fake caller against all entries and returns its summary. */
  nlohmann::json Call(std::vector<std::string> aMore);
  /** The same beside whatever the test does next. */
  void StartCaller(const std::string& aName, std::vector<std::string> aMore);
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
  pid_t Spawn(const std::string& aName, const std::vector<std::string>& aWords);
  void StartControlWith(int aNumber, nlohmann::json aMore);
  std::vector<std::string> CallerWords(std::vector<std::string> aMore) const;

  std::uint16_t m_base;
  std::filesystem::path m_folder;
  std::map<std::string, pid_t> m_running;
  std::set<int> m_upstreams;
  http::Client m_client;
};

} // namespace bamboostile::test
