#include "clients_fixture.h"
#include "raw_server.h"

#include <csignal>

using namespace clients_fixture;
using test::Chunks;
using test::Crowd;
using test::PostHead;

namespace {

const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kConfigTarget = "/bamboostile/config/replace";

std::string
Length(std::uint64_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes) + "\r\n";
}

/** A chunked body of aBytes, which misses its end. */
std::string
Unfinished(const std::string& aTarget,
           std::size_t aBytes,
           std::size_t aChunkBytes)
{
  return PostHead(aTarget, kChunked) +
         Chunks(std::string(aBytes, ' '), aChunkBytes);
}

std::uint16_t
PortOf(const std::string& aAddress)
{
  return static_cast<std::uint16_t>(
    std::stoi(aAddress.substr(aAddress.rfind(':') + 1)));
}

/** A valid job whose body has aBytes. */
std::string
LargeJob(std::size_t aBytes)
{
  const std::string begin = R"({"spec":"x","steps":[{"count":1,"requires":")";
  const std::string end = R"("}]})";
  return begin + std::string(aBytes - begin.size() - end.size(), 'x') + end;
}

} // namespace

TEST_GROUP(Clients){};

// Guards against memory that grows with the number of chunks of a body.
TEST(Clients, BodiesInOneByteChunksAtEntry_StayOpen_MemoryIsBounded)
{
  Deployment deployment(25100);
  Crowd crowd(deployment.Processes().CallersHttp(), 20);
  crowd.Write(Unfinished("/q/", kEntryBody - 1, 1));
  deployment.CheckSound();
}

// Guards against a process that ends as many clients send bodies at once.
TEST(Clients, ManyBodiesAtEntry_StayOpen_MemoryIsBounded)
{
  Deployment deployment(25200);
  Crowd crowd(deployment.Processes().CallersHttp(), 300);
  crowd.Write(Unfinished("/q/", kEntryBody - 1, 64 * kKiB));
  deployment.CheckSound();
}

// Guards against bodies without an end that are kept beyond the limit.
TEST(Clients, BodiesWithoutEndAtEntry_StayOpen_MemoryIsBounded)
{
  Deployment deployment(25300);
  Crowd crowd(deployment.Processes().CallersHttp(), 300);
  crowd.Write(Unfinished("/q/", 4 * kEntryBody - 1, 64 * kKiB));
  deployment.CheckSound();
}

// Guards against a listener for probes that reads bodies into memory.
TEST(Clients, ManyBodiesAtReadiness_StayOpen_MemoryIsBounded)
{
  Deployment deployment(25400);
  Crowd crowd(deployment.Processes().ReadinessHttp(), 200);
  crowd.Write(Unfinished("/bamboostile/ready", 4 * kEntryBody - 1, 64 * kKiB));
  deployment.CheckSound();
}

// Guards against memory that grows with the number of chunks of a body.
TEST(Clients, BodiesInOneByteChunksAtControl_StayOpen_MemoryIsBounded)
{
  Deployment deployment(25500);
  Crowd crowd(deployment.Processes().ControlFrontHttp(), 4);
  crowd.Write(Unfinished(kConfigTarget, kControlBody - 1, 1));
  deployment.CheckSound();
}

// Guards against a process that ends as many clients send bodies at once.
TEST(Clients, ManyBodiesAtControl_StayOpen_MemoryIsBounded)
{
  Deployment deployment(25600);
  Crowd crowd(deployment.Processes().ControlFrontHttp(), 32);
  crowd.Write(Unfinished(kConfigTarget, kControlBody - 1, 64 * kKiB));
  deployment.CheckSound();
}

// Guards against bodies that take many times their bytes once decoded.
TEST(Clients, DeepBodyAtControl_IsWhole_MemoryIsBounded)
{
  Deployment deployment(25700);
  Crowd crowd(deployment.Processes().ControlFrontHttp(), 1);
  crowd.Write(PostHead(kConfigTarget, Length(kControlBody)) +
              std::string(kControlBody, '['));
  deployment.CheckSound();
}

// Guards against a configuration that takes many times its bytes once it is in
// force.
TEST(Clients, LargeConfigurationAtControl_IsWhole_MemoryIsBounded)
{
  Deployment deployment(26700);
  Crowd crowd(deployment.Processes().ControlFrontHttp(), 1);
  const std::string body = Deployment::ConfigurationOf(2, 30'000);
  crowd.Write(PostHead(kConfigTarget, Length(body.size())) + body);
  deployment.CheckSound();
}

// Guards against copies of large bodies whose requests are being handled.
TEST(Clients, ManyLargeConfigurationsAtControl_AreWhole_MemoryIsBounded)
{
  Deployment deployment(26600);
  Crowd crowd(deployment.Processes().ControlFrontHttp(), 32);
  std::string body = Deployment::ConfigurationOf(2);
  body += std::string(kMiB - body.size(), ' ');
  crowd.Write(PostHead(kConfigTarget, Length(body.size())) + body);
  deployment.CheckSound();
}

// Guards against requests that wait for an answer, each with its body.
TEST(Clients, ManyRequestsWaitForFrozenLeader_MemoryIsBounded)
{
  Deployment deployment(25800);
  deployment.Processes().Signal("c1", SIGSTOP);
  Crowd crowd(deployment.Processes().CallersHttp(), 300);
  const std::string job = LargeJob(kEntryBody);
  crowd.Write(PostHead(deployment.NextJob(), Length(job.size())) + job);
  deployment.Processes().Signal("c1", SIGCONT);
  deployment.CheckSound();
}

// Guards against a listener that accepts nothing any more once the process has
// run out of descriptors.
TEST(Clients, MoreClientsThanDescriptorsAtControl_Leave_ProcessServesAgain)
{
  Deployment deployment(
    25900, { { "readTimeoutMs", kReadTimeoutMs } }, kMaxDescriptors);
  {
    Crowd crowd(deployment.Processes().ControlFrontHttp(), 300);
    crowd.Write("P");
    deployment.CheckDescriptors();
  }
  deployment.CheckSound();
}

// The same at an entry, whose settings allow more connections than the process
// has descriptors.
TEST(Clients, MoreClientsThanDescriptorsAtEntry_Leave_ProcessServesAgain)
{
  Deployment deployment(
    26000, { { "readTimeoutMs", kReadTimeoutMs } }, kMaxDescriptors);
  {
    Crowd crowd(deployment.Processes().CallersHttp(), 300);
    crowd.Write("P");
    deployment.CheckDescriptors();
  }
  deployment.CheckSound();
}

// Guards against callers that wait behind idle connections and halves of
// headers for as long as those may stay.
TEST(Clients, IdleClientsTakeAllPlacesAtEntry_Stay_CallersAreServed)
{
  Deployment deployment(
    26100, { { "readTimeoutMs", kReadTimeoutMs }, { "connections", 64 } });
  Crowd idle(deployment.Processes().CallersHttp(), 100);
  Crowd halves(deployment.Processes().CallersHttp(), 100);
  halves.Write("POST /q/ HTTP/1.1\r\nHost: ho");
  deployment.CheckSound();
}

// Guards against a refusal that its sender never hears.
TEST(Clients, BodyFarOverLimit_IsAnsweredAsNotRun)
{
  Deployment deployment(26200);
  const std::uint16_t port = PortOf(deployment.Processes().CallersHttp());
  for (const std::string& request :
       { PostHead("/q/", Length(1'000'000'000'000)) + "x",
         Unfinished("/q/", 4 * kEntryBody, 64 * kKiB) }) {
    const std::string answer = test::Exchange(port, request, 5'000);
    CHECK(answer.rfind("HTTP/1.1 413", 0) == 0);
    CHECK(answer.find("not-run") != std::string::npos);
  }
  deployment.CheckSound();
}

// Guards against limits that turn away one request that is within them.
TEST(Clients, OneBodyInOneByteChunks_IsServed)
{
  Deployment deployment(26300);
  const std::uint16_t port = PortOf(deployment.Processes().CallersHttp());
  std::string job = Deployment::kJob;
  job += std::string(kEntryBody - job.size(), ' ');
  const std::string answer = test::Exchange(
    port,
    PostHead(deployment.NextJob(), kChunked) + Chunks(job, 1) + "0\r\n\r\n",
    5'000);
  CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
  deployment.CheckSound();
}
