#pragma once

#include "crowd.h"
#include "processes.h"

#include "check.h"

#include <memory>

namespace clients_fixture {

using namespace bamboostile;
using Json = nlohmann::json;

inline constexpr std::size_t kKiB = 1024;
inline constexpr std::size_t kMiB = 1024 * kKiB;
/** Memory of each process's machine, in MiB. */
inline constexpr std::uint64_t kMemoryMb = 64;
inline constexpr std::uint64_t kMaxMemory = kMemoryMb * kMiB;
inline constexpr std::uint64_t kMaxDescriptors = 128;
/** Of these, a process needs some for files and for its own connections. */
inline constexpr std::uint64_t kOwnDescriptors = 16;
/** Largest body that an entry and a control replica read. */
inline constexpr std::size_t kEntryBody = 256 * kKiB;
inline constexpr std::size_t kControlBody = 4 * kMiB;
/** Ends a test that hangs. */
inline constexpr Millis kLimit{ 60'000 };
/** Longer than any test: connections are not closed for being idle. */
inline constexpr std::uint64_t kReadTimeoutMs = 600'000;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/** Sanitizers take many times the memory of the program. */
inline constexpr bool kChecksMemory = false;
#else
inline constexpr bool kChecksMemory = true;
#endif

/** A control replica and an entry on machines of little memory, with one queue.
 */
class Deployment
{
public:
  /** aEntryLimits: `limits` of the entry's settings. */
  Deployment(std::uint16_t aBasePort,
             Json aEntryLimits,
             std::optional<std::uint64_t> aMaxDescriptors = std::nullopt)
    : m_processes(aBasePort)
  {
    const Json hosting{ { "memoryMb", kMemoryMb } };
    m_processes.StartHostedControl(hosting, aMaxDescriptors);
    m_processes.StartHostedEntry(hosting, aEntryLimits, aMaxDescriptors);
    CHECK(m_processes.Until([this]() { return PutQueue(); }, kLimit));
    CheckServes();
  }

  explicit Deployment(std::uint16_t aBasePort)
    : Deployment(aBasePort, { { "readTimeoutMs", kReadTimeoutMs } })
  {
  }

  /** Checks that both processes live within their machines' memory, and that
   * an ordinary caller and an operator are answered. */
  void CheckSound()
  {
    m_processes.AwaitIdle("e1");
    m_processes.AwaitIdle("c1");
    CheckServes();
    for (const char* name : { "c1", "e1" }) {
      CHECK(m_processes.IsRunning(name));
      if (kChecksMemory) {
        CheckPeakMemory(name);
      }
    }
  }

  void CheckServes()
  {
    CHECK(m_processes.Until([this]() { return SubmitJob() == 200; }, kLimit));
    CHECK(m_processes.Until([this]() { return ReadQueues() == 200; }, kLimit));
  }

  void CheckDescriptors()
  {
    for (const char* name : { "c1", "e1" }) {
      m_processes.AwaitIdle(name);
      const std::size_t count = m_processes.CountDescriptors(name);
      const std::string text = name + (" has " + std::to_string(count));
      CHECK_TEXT(count <= kMaxDescriptors - kOwnDescriptors, text.c_str());
    }
  }

  std::uint32_t SubmitJob()
  {
    return Post(m_processes.CallersHttp(), NextJob(), kJob);
  }

  /** Returns the path of a job that has not been submitted. */
  std::string NextJob()
  {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", ++m_jobs);
    return "/q/" + std::string{ id };
  }

  /** Returns a configuration with the queue, and with others. */
  static std::string ConfigurationOf(int aVersion, int aOthers = 0)
  {
    std::string routes = RouteOf("q");
    for (int i = 0; i < aOthers; ++i) {
      routes += "," + RouteOf("q" + std::to_string(i));
    }
    return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
           routes + R"(],"services":[{"name":"desk"}],"limits":{}})";
  }

  test::Processes& Processes() { return m_processes; }

  static inline const std::string kJob =
    R"({"spec":"x","steps":[{"count":1}]})";

private:
  static std::string RouteOf(const std::string& aName)
  {
    return R"({"name":")" + aName + R"(","host":"host","path_prefix":"/)" +
           aName + R"(/","service":"desk","timeout_ms":3000,"slo_ms":3000})";
  }

  void CheckPeakMemory(const std::string& aName)
  {
    const std::uint64_t peak = m_processes.PeakMemory(aName);
    const std::string text =
      aName + ": at most " + std::to_string(peak / kMiB) + " MiB";
    CHECK_TEXT(peak > 0 && peak <= kMaxMemory, text.c_str());
  }

  bool PutQueue()
  {
    return Post(m_processes.ControlFrontHttp(),
                "/bamboostile/config/replace",
                ConfigurationOf(1)) == 200;
  }

  std::uint32_t ReadQueues()
  {
    return m_processes
      .Http(m_processes.ControlFrontHttp(), "GET", "/bamboostile/config/read")
      .m_response.m_status;
  }

  std::uint32_t Post(const std::string& aAddress,
                     const std::string& aTarget,
                     const std::string& aBody)
  {
    return m_processes
      .Http(aAddress, "POST", aTarget, { { "Host", "host" } }, aBody)
      .m_response.m_status;
  }

  test::Processes m_processes;
  unsigned m_jobs = 0;
};

} // namespace clients_fixture
