#include "caller_front.h"
#include "control_front.h"
#include "instances_client.h"
#include "platform.h"
#include "probe_server.h"
#include "relay_front.h"

#include "bamboostile/control/job_service.h"
#include "bamboostile/control/node.h"
#include "bamboostile/control/relay.h"
#include "bamboostile/entry/frontend.h"
#include "bamboostile/entry/leader_watch.h"
#include "bamboostile/entry/link.h"
#include "bamboostile/settings/settings.h"
#include "bamboostile/telemetry/log.h"
#include "bamboostile/telemetry/trace.h"

#include <boost/program_options.hpp>

#include <kj/async-unix.h>

#include <csignal>
#include <iostream>
#include <random>
#include <thread>

namespace {

namespace po = boost::program_options;
using namespace bamboostile;
using telemetry::Level;
using telemetry::LogLine;

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;
/** Delay before the HTTP server stops, in which the last response is sent. */
constexpr auto kFlushDelay = std::chrono::milliseconds{ 300 };
/** Interval between attempts to open a data folder after a disk error. */
constexpr auto kReopenInterval = 500 * kj::MILLISECONDS;

/** The log since the last snapshot takes one part of this many of the memory.
 */
constexpr std::size_t kSnapshotsInMemory = 32;

std::size_t
MemoryBytes(const settings::Hosting& aHosting)
{
  constexpr std::size_t kMiB = 1024 * 1024;
  return aHosting.m_memoryMb * kMiB;
}

http::ClientLimits
ClientLimitsOf(const settings::Settings& aSettings)
{
  const auto& hosting = aSettings.m_hosting;
  const std::uint64_t memory = hosting && hosting->m_memoryMb > 0
                                 ? MemoryBytes(*hosting)
                                 : http::MemoryBudget::MachineMemory();
  std::uint64_t descriptors = http::ClientLimits::MaxDescriptors();
  if (hosting && hosting->m_maxDescriptors > 0) {
    descriptors =
      std::min<std::uint64_t>(descriptors, hosting->m_maxDescriptors);
  }
  http::ClientLimits limits = http::ClientLimits::For(memory, descriptors);
  limits.m_requestConnections = std::min<std::size_t>(
    limits.m_requestConnections, aSettings.m_limits.m_connections);
  return limits;
}

std::uint64_t
RandomUint63()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32 | device()) >> 1;
}

std::shared_ptr<opentracing::Tracer>
MakeTracer(const settings::Settings& aSettings)
{
  telemetry::TracerOptions options;
  options.m_instance = aSettings.m_instance.Get();
  options.m_samplePercent = aSettings.m_trace.m_samplePercent;
  options.m_seed = RandomUint63();
  if (aSettings.m_trace.m_file) {
    return telemetry::MakeTracer(
      options, telemetry::MakeFileSink(*aSettings.m_trace.m_file));
  }
  if (aSettings.m_trace.m_url) {
    const std::string hostAndPath =
      aSettings.m_trace.m_url->substr(std::string{ "http://" }.size());
    const std::size_t slash = hostAndPath.find('/');
    const std::string address = hostAndPath.substr(0, slash);
    const std::string target =
      slash == std::string::npos ? "/v1/traces" : hostAndPath.substr(slash);
    auto client = std::make_shared<http::Client>();
    return telemetry::MakeTracer(
      options, [client, address, target](std::string aDocument) {
        http::Call call;
        call.m_address = address;
        call.m_method = "POST";
        call.m_target = target;
        call.m_headers = { { "Content-Type", "application/json" } };
        call.m_body = std::make_shared<const std::string>(std::move(aDocument));
        call.m_timeout = std::chrono::seconds{ 5 };
        call.m_atMostOnce = false;
        client->Start(std::move(call), [](const http::CallResult&) {});
      });
  }
  return nullptr;
}

/** Owns the components of the process. The roles in the settings decide which
 * of them exist. */
class Daemon
{
public:
  Daemon(settings::Settings aSettings, std::string aSettingsFile)
    : m_settings(std::move(aSettings))
    , m_settingsFile(std::move(aSettingsFile))
    , m_clientLimits(ClientLimitsOf(m_settings))
  {
  }

  int Run()
  {
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    kj::UnixEventPort::captureSignal(SIGHUP);
    auto io = kj::setupAsyncIo();
    m_io = &io;
    if (m_settings.m_control && !StartControl()) {
      return kExitFailed;
    }
    if (m_settings.m_entry && !StartEntry()) {
      return kExitFailed;
    }
    LogLine(Level::kInfo, "started")
      .With("zone", m_settings.m_zone.Get())
      .With("control", m_settings.m_control)
      .With("entry", m_settings.m_entry)
      .Write();
    auto reloadLoop = ReloadLoop().eagerlyEvaluate(nullptr);
    const int code = WaitForStop().wait(io.waitScope);
    if (m_tracer) {
      m_tracer->Close();
    }
    if (m_frontend) {
      std::this_thread::sleep_for(kFlushDelay);
      m_frontend->Stop();
    }
    LogLine(Level::kInfo, "stopped").With("code", code).Write();
    // Exits without destructors: the objects on the event loop refer to each
    // other, and all durable state is already synced.
    std::cout.flush();
    std::_Exit(code);
  }

private:
  bool StartControl()
  {
    if (!m_settings.m_dataFolder) {
      return StartRelay(control::RelayKind::kWithoutDisk);
    }
    storage::Failure failure;
    if (auto folder = OpenDataFolder(failure)) {
      return StartReplica(std::move(*folder));
    }
    // A disk that is full or fails may recover, so opening is retried. A
    // corrupt folder needs an operator.
    const bool isRetryable =
      failure.m_error == storage::Error::kIo || storage::IsRetryable(failure);
    if (!isRetryable || !m_settings.m_hosting ||
        !StartRelay(control::RelayKind::kAwaitsDisk)) {
      return false;
    }
    m_reopenLoop = ReopenLoop().eagerlyEvaluate(nullptr);
    return true;
  }

  /** Runs a relay in place of a replica while no data folder is usable. */
  bool StartRelay(control::RelayKind aKind)
  {
    LogLine(Level::kInfo, "relay started, no data folder in use").Write();
    m_leaderWatch = std::make_unique<entry::LeaderWatch>(
      *m_io->provider, settings::SeedsOf(m_settings));
    const auto leader = [this]() { return m_leaderWatch->LeaderAddress(); };
    ListenForRpc(control::MakeRelayServer(aKind, leader));
    if (!m_settings.m_hosting->m_workers) {
      return true;
    }
    m_relayFront = std::make_unique<platform::RelayFront>(
      m_settings, leader, m_clientLimits);
    return StartFront(*m_relayFront);
  }

  kj::Promise<void> ReopenLoop()
  {
    return m_io->provider->getTimer()
      .afterDelay(kReopenInterval)
      .then([this]() -> kj::Promise<void> {
        storage::Failure failure;
        auto folder = OpenDataFolder(failure);
        if (!folder) {
          return ReopenLoop();
        }
        m_relayFront.reset();
        m_rpcListener = nullptr;
        if (!StartReplica(std::move(*folder))) {
          std::_Exit(kExitFailed);
        }
        return kj::READY_NOW;
      });
  }

  void ListenForRpc(schema::Control::Client aServer)
  {
    m_rpcListener =
      control::Listen(kj::mv(aServer),
                      *m_io->provider,
                      m_settings.m_rpc->ToText(),
                      m_clientLimits)
        .eagerlyEvaluate([](kj::Exception&& aException) {
          LogLine(Level::kError, "cannot listen for RPC")
            .With("reason", std::string{ aException.getDescription().cStr() })
            .Write();
          std::_Exit(kExitFailed);
        });
  }

  struct DataFolder
  {
    storage::OpenResult m_opened;
    std::unique_ptr<storage::LogStore> m_store;
  };

  std::optional<DataFolder> OpenDataFolder(storage::Failure& aFailure) const
  {
    DataFolder folder;
    storage::OpenResult& opened = folder.m_opened;
    folder.m_store = storage::LogStore::Open(
      *m_settings.m_dataFolder, m_settings.m_instance, opened, aFailure);
    if (!folder.m_store) {
      LogLine(Level::kError, "data folder cannot be used")
        .With("reason", storage::ToText(aFailure))
        .Write();
      return std::nullopt;
    }
    if (opened.m_truncatedTail) {
      LogLine(Level::kWarning, "incomplete last write truncated")
        .With("file", opened.m_truncatedTail->m_file.string())
        .With("offset", opened.m_truncatedTail->m_offset)
        .With("bytes", opened.m_truncatedTail->m_bytes)
        .Write();
    }
    LogLine(Level::kInfo, "data folder opened")
      .With("incarnation", opened.m_self.m_incarnation.Get())
      .With("fresh", opened.m_isNew)
      .Write();
    return folder;
  }

  bool StartReplica(DataFolder aFolder)
  {
    control::NodeOptions options;
    options.m_address = m_settings.m_rpc->ToText();
    options.m_snapshotEvery = m_settings.m_snapshotEvery;
    if (m_settings.m_platform) {
      m_restartClient = std::make_unique<daemon::RestartClient>(
        m_settings.m_platform->ToText());
      options.m_restart = [this](const fleet::Instance& aInstance) {
        m_restartClient->Restart(aInstance);
      };
    }
    if (m_settings.m_hosting && m_settings.m_hosting->m_memoryMb > 0) {
      options.m_snapshotEveryBytes =
        MemoryBytes(*m_settings.m_hosting) / kSnapshotsInMemory;
    }
    if (m_settings.m_hosting) {
      options.m_formGroup = m_settings.m_hosting->m_formGroup;
      options.m_membershipPolicy.m_targetVoters =
        2 * std::max(1U, m_settings.m_hosting->m_toleratedLosses) + 1;
      options.m_replica.m_maxVoters = options.m_membershipPolicy.m_targetVoters;
      options.m_replica.m_maxVotersInReplacement =
        2 * options.m_replica.m_maxVoters + 1;
      options.m_seeds = settings::SeedsOf(m_settings);
      options.m_membershipPolicy.m_minVoters = options.m_seeds.size();
    }
    m_node = std::make_unique<control::Node>(
      std::move(options),
      std::move(aFolder.m_opened),
      std::move(aFolder.m_store),
      *m_io->provider,
      [](const storage::Failure& aFailure) {
        // Votes and acknowledged entries must be durable, so a replica must not
        // continue without its disk.
        LogLine(Level::kError, "disk failure, process exits")
          .With("reason", storage::ToText(aFailure))
          .Write();
        std::_Exit(kExitFailed);
      });
    if (!StartJobs()) {
      return false;
    }
    ListenForRpc(control::MakeControlServer(*m_node, m_jobs.get()));
    if (m_settings.m_http && !m_settings.m_entry) {
      std::string reason;
      m_probes = std::make_unique<daemon::ProbeServer>(
        *m_settings.m_http, *m_jobs, m_clientLimits, reason);
      if (!m_probes->IsStarted()) {
        LogLine(Level::kError, "cannot listen for HTTP")
          .With("reason", reason)
          .Write();
        return false;
      }
      m_publishLoop = PublishLoop().eagerlyEvaluate(nullptr);
    }
    return true;
  }

  bool StartJobs()
  {
    control::JobServiceOptions options;
    options.m_mechanisms = m_settings.m_mechanisms;
    options.m_lease.m_mechanisms = m_settings.m_mechanisms;
    options.m_capacity.m_mechanisms = m_settings.m_mechanisms;
    const auto& hosting = m_settings.m_hosting;
    if (hosting && hosting->m_memoryMb > 0) {
      options.m_memory = jobs::MemoryLimit{ MemoryBytes(*hosting) };
    }
    if (hosting) {
      options.m_maintenance.m_expectedDowntime = hosting->m_expectedDowntime;
      options.m_maintenance.m_maxOrderDelay = hosting->m_handoverDelay;
      options.m_capacity.m_handoverDelay = hosting->m_handoverDelay;
      options.m_capacity.m_moveDuration = hosting->m_moveDuration;
      options.m_capacity.m_ordersPerSecond = hosting->m_ordersPerSecond;
    }
    if (hosting && hosting->m_instances) {
      m_instances = std::make_unique<platform::InstancesClient>(
        *hosting->m_instances, m_settings.m_instance);
      options.m_calls = m_instances->Calls();
    }
    m_jobs = std::make_unique<control::JobService>(
      *m_node, m_io->provider->getTimer(), std::move(options));
    if (!hosting || !hosting->m_workers) {
      return true;
    }
    m_controlFront = std::make_unique<platform::ControlFront>(
      m_settings, *m_jobs, m_clientLimits);
    return StartFront(*m_controlFront);
  }

  bool StartHostedEntry()
  {
    m_callerFront = std::make_unique<platform::CallerFront>(
      m_settings, *m_io->provider, m_clientLimits);
    return StartFront(*m_callerFront);
  }

  template<typename Front>
  static bool StartFront(Front& aFront)
  {
    std::string reason;
    if (aFront.Start(reason)) {
      return true;
    }
    LogLine(Level::kError, "cannot listen for HTTP")
      .With("reason", reason)
      .Write();
    return false;
  }

  kj::Promise<void> PublishLoop()
  {
    telemetry::Metrics metrics;
    consensus::Replica& replica = m_node->Replica();
    const bool isLeader = m_node->IsServing();
    metrics.Set("term", static_cast<double>(replica.CurrentTerm().Get()));
    metrics.Set("commit_index",
                static_cast<double>(replica.CommitIndex().Get()));
    metrics.Set("snapshot_index",
                static_cast<double>(replica.SnapshotIndex().Get()));
    metrics.Set("leader", isLeader ? 1 : 0);
    metrics.Set("outcomes",
                static_cast<double>(m_node->State().Outcomes().Size()));
    m_node->ExportMetrics(metrics);
    m_probes->Publish(replica.Leader().has_value(), metrics.Render());
    return m_io->provider->getTimer()
      .afterDelay(1 * kj::SECONDS)
      .then([this]() { return PublishLoop(); });
  }

  bool StartEntry()
  {
    if (m_settings.m_hosting && m_settings.m_hosting->m_callers) {
      return StartHostedEntry();
    }
    entry::FrontendOptions options;
    options.m_settings = m_settings;
    options.m_clientLimits = m_clientLimits;
    options.m_self = { m_settings.m_instance, Incarnation{ RandomUint63() } };
    options.m_engine.m_routing.m_seed = RandomUint63();
    m_tracer = MakeTracer(m_settings);
    const std::vector<std::string> seeds = settings::SeedsOf(m_settings);
    m_queues = std::make_unique<entry::QueueGateway>(*m_io->provider, seeds);
    m_frontend =
      std::make_unique<entry::Frontend>(options, m_inbox, *m_queues, m_tracer);
    std::string reason;
    if (!m_frontend->Start(reason)) {
      LogLine(Level::kError, "cannot listen for HTTP")
        .With("reason", reason)
        .Write();
      return false;
    }
    entry::LinkOptions linkOptions;
    linkOptions.m_self = options.m_self;
    linkOptions.m_zone = m_settings.m_zone;
    linkOptions.m_httpAddress = m_settings.m_http->ToText();
    linkOptions.m_seeds = seeds;
    m_link =
      std::make_unique<entry::Link>(linkOptions,
                                    *m_io->provider,
                                    m_inbox,
                                    [this](entry::LeaseGranted aLease) {
                                      m_frontend->OnLease(std::move(aLease));
                                    });
    return true;
  }

  /** Applies new seeds; all other settings need a restart. An invalid file
   * changes nothing. */
  void Reload()
  {
    settings::ValidationError problem;
    const auto loaded = settings::Load(m_settingsFile, problem);
    if (!loaded) {
      LogLine(Level::kError, "settings not reloaded")
        .With("reason", settings::ToText(problem))
        .Write();
      return;
    }
    const std::vector<std::string> seeds = settings::SeedsOf(*loaded);
    if (m_node && m_settings.m_hosting) {
      m_node->SetSeeds(seeds);
    }
    if (m_callerFront) {
      m_callerFront->SetSeeds(seeds);
    }
    if (m_leaderWatch) {
      m_leaderWatch->SetSeeds(seeds);
    }
    LogLine(Level::kInfo, "settings reloaded").With("seeds", seeds).Write();
  }

  kj::Promise<void> ReloadLoop()
  {
    return m_io->unixEventPort.onSignal(SIGHUP).then([this](auto&&) {
      Reload();
      return ReloadLoop();
    });
  }

  kj::Promise<void> StopSignal()
  {
    auto& port = m_io->unixEventPort;
    return port.onSignal(SIGTERM).ignoreResult().exclusiveJoin(
      port.onSignal(SIGINT).ignoreResult());
  }

  kj::Promise<int> WaitForStop()
  {
    return StopSignal().then([this]() {
      LogLine(Level::kInfo, "stopping").Write();
      if (!m_node) {
        return Drain();
      }
      // The next leader gives its orders a fixed time after its election.
      if (m_instances) {
        m_instances->StopOrders();
      }
      return m_node->Depart().then([this]() { return Drain(); });
    });
  }

  kj::Promise<int> Drain()
  {
    if (m_callerFront) {
      return m_callerFront->Drain().then([]() { return kExitDone; });
    }
    if (!m_frontend) {
      return kExitDone;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    m_drainFulfiller = kj::mv(pair.fulfiller);
    m_frontend->Drain([this]() {
      if (m_drainFulfiller->isWaiting()) {
        m_drainFulfiller->fulfill();
      }
    });
    auto finished = pair.promise.then([]() { return kExitDone; });
    auto forced = StopSignal().then([this]() {
      LogLine(Level::kWarning, "drain interrupted by a second signal")
        .With("abandonedRequests", m_frontend->OpenRequests())
        .Write();
      return kExitFailed;
    });
    return finished.exclusiveJoin(kj::mv(forced));
  }

  settings::Settings m_settings;
  std::string m_settingsFile;
  http::ClientLimits m_clientLimits;
  kj::AsyncIoContext* m_io = nullptr;
  std::unique_ptr<daemon::RestartClient> m_restartClient;
  std::unique_ptr<control::Node> m_node;
  std::unique_ptr<platform::InstancesClient> m_instances;
  std::unique_ptr<control::JobService> m_jobs;
  std::unique_ptr<platform::ControlFront> m_controlFront;
  std::unique_ptr<platform::CallerFront> m_callerFront;
  std::unique_ptr<entry::LeaderWatch> m_leaderWatch;
  std::unique_ptr<platform::RelayFront> m_relayFront;
  kj::Promise<void> m_reopenLoop = nullptr;
  kj::Promise<void> m_rpcListener = nullptr;
  kj::Promise<void> m_publishLoop = nullptr;
  std::unique_ptr<daemon::ProbeServer> m_probes;
  std::shared_ptr<opentracing::Tracer> m_tracer;
  rpc::Mailbox<entry::LinkMessage> m_inbox;
  std::unique_ptr<entry::QueueGateway> m_queues;
  std::unique_ptr<entry::Frontend> m_frontend;
  std::unique_ptr<entry::Link> m_link;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_drainFulfiller;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  po::options_description options("bamboostiled");
  options.add_options()("help,h", "show help")(
    "settings", po::value<std::string>(), "the settings file (JSON)")(
    "check", "check the settings and exit");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, options), values);
  } catch (const po::error& error) {
    std::cerr << "bamboostiled: " << error.what() << "\n";
    return kExitBadInput;
  }
  if (values.count("help") > 0) {
    std::cout << options
              << "\nExample: bamboostiled --settings "
                 "examples/settings/entry.json\n"
                 "Exit codes: 0 stopped as asked, 1 failed, 2 bad input.\n";
    return kExitDone;
  }
  if (values.count("settings") == 0) {
    std::cerr << "bamboostiled: --settings FILE is missing\n";
    return kExitBadInput;
  }
  settings::ValidationError problem;
  auto loaded = settings::Load(values["settings"].as<std::string>(), problem);
  if (!loaded) {
    std::cerr << "bamboostiled: " << settings::ToText(problem) << "\n";
    return kExitBadInput;
  }
  if (values.count("check") > 0) {
    std::cout << "the settings are valid\n";
    return kExitDone;
  }
  std::signal(SIGPIPE, SIG_IGN);
  telemetry::InitLog(loaded->m_instance.Get(),
                     *telemetry::ParseLevel(loaded->m_logLevel),
                     loaded->m_logFile);
  return Daemon(std::move(*loaded), values["settings"].as<std::string>()).Run();
}
