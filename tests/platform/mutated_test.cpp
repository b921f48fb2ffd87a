#include "decode.h"

#include "check.h"

#include <array>
#include <random>

using namespace bamboostile;

namespace {

/** Minimum number of mutated inputs per test run; the environment variable
 * BAMBOOSTILE_MUTATIONS sets a larger number. */
constexpr int kMinInputs = 10'000;
constexpr std::uint64_t kSeed = 20'261;

/** One valid body of each kind of message that other programs send. */
const std::array<std::string, 6> kValidBodies{
  R"({"spec":"t","steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,)"
  R"("estimate_ms":900,"affinity":"r1-3","image":"i","gang":true},)"
  R"({"count":2,"depends_on":[0],"long_running":true,"miss_allowed":1}],)"
  R"("repeat_count":2,"start_at_ms":5,"interval_ms":7})",
  R"({"version":3,"services":[{"name":"s","standby":true}],"routes":[{"name":)"
  R"("r","host":"h","path_prefix":"/p/","service":"s","timeout_ms":3000,)"
  R"("slo_ms":3600,"max_attempts":3,"stretch":1.6,)"
  R"("advice":{"decision_ms":5,"per_worker_ms":1,"valid_ms":900}}]})",
  R"({"machine":"m","service":"s","zone":"z","labels":["a","r1-3"],"seq":4,)"
  R"("address":"10.0.0.9:80","capacity":8,"version":"v1",)"
  R"("warmup_left_ms":0,"clock_ms":5000,)"
  R"("free_capacity":{"cpu":64000,"mem_mb":9,"gpu":0},"state":"draining",)"
  R"("remaining_ms":700,"active":[["5c0e.0.1.17",2,"saved",41,12]],)"
  R"("finished":[[58,"5c0e.0.1.9",1,"done",""]]})",
  R"({"wave":1,"machines":["m-1","m-2"],"within_s":20.5,"cap":1})",
  R"({"machines":[{"machine":"m","pool":"p","state":"up"},)"
  R"({"machine":"n","pool":"p","state":"moving"}],"next_token":"2"})",
  R"({"reason":"busy"})",
};

constexpr std::array<const char*, 14> kValues{
  "null",
  "7",
  "-1",
  "1e99",
  "true",
  "\"\"",
  "\"\\u0000\"",
  "[]",
  "{}",
  "[[",
  "}",
  "0.5",
  "99999999999999999999",
  "\"up\"",
};

/** Applies one to four changes, each of which overwrites, removes, duplicates
 * or replaces some bytes. */
std::string
Mutate(std::string aBody, std::mt19937_64& aRandom)
{
  const std::size_t changes = 1 + aRandom() % 4;
  for (std::size_t i = 0; i < changes && !aBody.empty(); ++i) {
    const std::size_t at = aRandom() % aBody.size();
    const std::size_t count = 1 + aRandom() % 8;
    switch (aRandom() % 4) {
      case 0:
        aBody[at] = static_cast<char>(aRandom());
        break;
      case 1:
        aBody.erase(at, count);
        break;
      case 2:
        aBody.insert(at, aBody.substr(aRandom() % aBody.size(), count));
        break;
      default:
        aBody.replace(at, count, kValues[aRandom() % kValues.size()]);
        break;
    }
  }
  return aBody;
}

/** Tells whether a body is read or its invalid field is named. */
template<typename Read>
bool
IsReadOrNamed(const Read& aRead)
{
  platform::InvalidField invalid;
  return aRead(invalid).has_value() || !invalid.m_field.empty();
}

bool
IsHandled(const std::string& aBody)
{
  using platform::InvalidField;
  platform::ReadInstanceAnswer(409, aBody);
  return IsReadOrNamed([&](InvalidField& aInvalid) {
           return platform::ReadJob(aBody, aInvalid);
         }) &&
         IsReadOrNamed([&](InvalidField& aInvalid) {
           return platform::ReadRoutes(aBody, aInvalid);
         }) &&
         IsReadOrNamed([&](InvalidField& aInvalid) {
           return platform::ReadReport("w", aBody, aInvalid);
         }) &&
         IsReadOrNamed([&](InvalidField& aInvalid) {
           return platform::ReadWave(aBody, aInvalid);
         }) &&
         IsReadOrNamed([&](InvalidField& aInvalid) {
           return platform::ReadInstances(aBody, aInvalid);
         });
}

int
InputCount()
{
  const char* requested = std::getenv("BAMBOOSTILE_MUTATIONS");
  return requested == nullptr ? kMinInputs
                              : std::max(kMinInputs, std::atoi(requested));
}

} // namespace

TEST_GROUP(MutatedMessages){};

// Guards against a reader that throws on unexpected bytes from another program:
// the thread has no handler, so the exception would end the process.
TEST(MutatedMessages, AnyBytes_AreReadOrTheirFieldIsNamed)
{
  std::mt19937_64 random(kSeed);
  const int count = InputCount();
  for (int i = 0; i < count; ++i) {
    const std::string body = Mutate(
      kValidBodies[static_cast<std::size_t>(i) % kValidBodies.size()], random);
    CHECK_TEXT(IsHandled(body), body.c_str());
  }
}

TEST(MutatedMessages, ReasonOfAnotherType_IsUnclear)
{
  CHECK(platform::ReadInstanceAnswer(409, R"({"reason":7})") ==
        placement::InstanceAnswer::kUnclear);
}

// Guards against one unreadable entry, written by another program, that makes
// the whole list invalid: no instance would leave standby while it is there.
TEST(MutatedMessages, UnreadableEntryInList_OthersAreRead)
{
  platform::InvalidField invalid;
  const auto page = platform::ReadInstances(
    R"({"machines":[{"machine":7,"pool":"p","state":"up"},"text",
        {"machine":"a","pool":"p","state":"sleeping"},{"pool":"p"},
        {"machine":"b","pool":"p","state":"up"},
        {"machine":"c","pool":["p"],"state":"up"}]})",
    invalid);
  CHECK(page.has_value());
  LONGS_EQUAL(2, page->m_instances.size());
  CHECK(page->m_instances[0].m_state != placement::InstanceState::kUp);
  CHECK_STRING("b", page->m_instances[1].m_id.Get());
  CHECK(page->m_instances[1].m_state == placement::InstanceState::kUp);
  LONGS_EQUAL(4, page->m_unreadableCount);
}
