// A fake caller: sends GET and POST requests to several entries, repeats a
// request under the same id if no answer came, and then compares the outcomes
// with the executions that the upstreams counted.

#include "bamboostile/http/client.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

namespace po = boost::program_options;
using namespace bamboostile;
using Json = nlohmann::json;

struct Options
{
  std::vector<std::string> m_entries;
  std::vector<std::string> m_upstreams;
  std::vector<std::string> m_services;
  unsigned m_count = 100;
  unsigned m_workers = 4;
  unsigned m_postPercent = 50;
  unsigned m_timeoutMs = 3000;
  /** Pause of a worker thread after each request. */
  unsigned m_pauseMs = 0;
  unsigned m_bodyBytes = 64;
  unsigned m_maxAttempts = 5;
  std::string m_prefix = "r";
  /** Call the upstreams directly, as a baseline. */
  bool m_direct = false;
};

enum class Outcome
{
  kDone,
  kNotRun,
  kUnknown,
  /** No attempt was answered with an outcome. */
  kNone,
};

struct Results
{
  std::mutex m_mutex;
  std::map<std::string, Outcome> m_outcomes;
  std::vector<double> m_latenciesMs;
  std::uint64_t m_foreignAnswers = 0;
};

http::CallResult
CallAndWait(http::Client& aClient, http::Call aCall)
{
  auto promise = std::make_shared<std::promise<http::CallResult>>();
  aClient.Start(std::move(aCall), [promise](http::CallResult aResult) {
    promise->set_value(std::move(aResult));
  });
  return promise->get_future().get();
}

http::Call
MakeCall(const Options& aOptions, unsigned aNumber, const std::string& aId)
{
  http::Call call;
  const bool post = aNumber * 37 % 100 < aOptions.m_postPercent;
  call.m_method = post ? "POST" : "GET";
  call.m_target =
    "/" + aOptions.m_services[aNumber % aOptions.m_services.size()] + "/item";
  call.m_headers = { { "Idempotency-Key", aId },
                     { "Bamboostile-Timeout-Ms",
                       std::to_string(aOptions.m_timeoutMs) } };
  if (post) {
    call.m_body = std::make_shared<const std::string>(
      aId + std::string(aOptions.m_bodyBytes, 'x'));
  }
  call.m_timeout = Millis{ aOptions.m_timeoutMs + 5000 };
  // A retry inside the HTTP client would hide how the entry handles a repeated
  // request.
  call.m_atMostOnce = !aOptions.m_direct && post;
  return call;
}

Outcome
OutcomeOf(const http::CallResult& aResult)
{
  const auto outcome =
    http::FindHeader(aResult.m_response.m_headers, "Bamboostile-Outcome");
  if (outcome == "done") {
    return Outcome::kDone;
  }
  if (outcome == "not-run") {
    return Outcome::kNotRun;
  }
  return outcome == "unknown" ? Outcome::kUnknown : Outcome::kNone;
}

/** Whether an answer belongs to another request, or is incomplete. */
bool
IsForeign(const http::CallResult& aResult, const std::string& aId)
{
  const Json body = Json::parse(aResult.m_response.m_body, nullptr, false);
  return !body.is_object() || body.value("requestId", "") != aId;
}

void
SendRequest(const Options& aOptions,
            unsigned aNumber,
            http::Client& aClient,
            Results& aResults)
{
  const std::string id = aOptions.m_prefix + std::to_string(aNumber);
  const TimePoint start = MonotonicNow();
  Outcome outcome = Outcome::kNone;
  bool isForeign = false;
  for (unsigned i = 0; i < aOptions.m_maxAttempts && outcome == Outcome::kNone;
       ++i) {
    http::Call call = MakeCall(aOptions, aNumber, id);
    const auto& targets =
      aOptions.m_direct ? aOptions.m_upstreams : aOptions.m_entries;
    call.m_address = targets[(aNumber + i) % targets.size()];
    const auto result = CallAndWait(aClient, std::move(call));
    if (result.m_end == http::CallEnd::kAnswered) {
      outcome = aOptions.m_direct ? Outcome::kDone : OutcomeOf(result);
      isForeign = outcome == Outcome::kDone && IsForeign(result, id);
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds{ 100 });
    }
  }
  const std::chrono::duration<double, std::milli> elapsed =
    MonotonicNow() - start;
  const std::lock_guard lock(aResults.m_mutex);
  aResults.m_outcomes[id] = outcome;
  aResults.m_foreignAnswers += isForeign ? 1 : 0;
  aResults.m_latenciesMs.push_back(elapsed.count());
}

/** Executions of each request, summed over all upstreams. */
std::map<std::string, std::uint64_t>
CollectRuns(const Options& aOptions, http::Client& aClient)
{
  std::map<std::string, std::uint64_t> runs;
  for (const std::string& upstream : aOptions.m_upstreams) {
    http::Call call;
    call.m_address = upstream;
    call.m_method = "GET";
    call.m_target = "/fake/runs";
    call.m_timeout = Millis{ 2000 };
    const auto result = CallAndWait(aClient, std::move(call));
    const Json body = Json::parse(result.m_response.m_body, nullptr, false);
    if (!body.is_object()) {
      continue;
    }
    for (const auto& [id, count] : body.at("runs").items()) {
      runs[id] += count.get<std::uint64_t>();
    }
  }
  return runs;
}

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto index = static_cast<std::size_t>(
    aFraction * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

Json
Summarize(const Options& aOptions,
          const Results& aResults,
          const std::map<std::string, std::uint64_t>& aRuns,
          double aSeconds)
{
  std::map<Outcome, std::uint64_t> counts;
  std::uint64_t doubled = 0;
  std::uint64_t falseNotRun = 0;
  for (const auto& [id, outcome] : aResults.m_outcomes) {
    ++counts[outcome];
    const auto runs = aRuns.find("POST " + id);
    if (runs == aRuns.end()) {
      continue;
    }
    doubled += runs->second > 1 ? 1 : 0;
    falseNotRun += outcome == Outcome::kNotRun ? 1 : 0;
  }
  return { { "served", counts[Outcome::kDone] },
           { "notRun", counts[Outcome::kNotRun] },
           { "unknown", counts[Outcome::kUnknown] },
           { "lost", counts[Outcome::kNone] + aResults.m_foreignAnswers },
           { "doubled", doubled },
           { "falseNotRun", falseNotRun },
           { "p50Ms", Quantile(aResults.m_latenciesMs, 0.5) },
           { "p99Ms", Quantile(aResults.m_latenciesMs, 0.99) },
           { "maxMs", Quantile(aResults.m_latenciesMs, 1) },
           { "perSecond", aOptions.m_count / aSeconds } };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  po::options_description description("fake_caller");
  description.add_options()("entry",
                            po::value(&options.m_entries)->multitoken())(
    "upstream", po::value(&options.m_upstreams)->multitoken())(
    "service", po::value(&options.m_services)->multitoken()->required())(
    "count", po::value(&options.m_count))("workers",
                                          po::value(&options.m_workers))(
    "post-percent", po::value(&options.m_postPercent))(
    "timeout-ms", po::value(&options.m_timeoutMs))(
    "pause-ms", po::value(&options.m_pauseMs))("body-bytes",
                                               po::value(&options.m_bodyBytes))(
    "tries", po::value(&options.m_maxAttempts))(
    "prefix", po::value(&options.m_prefix))("direct", "call upstreams");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, description), values);
    po::notify(values);
    options.m_direct = values.count("direct") > 0;
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  Results results;
  std::atomic<unsigned> next = 0;
  const TimePoint start = MonotonicNow();
  std::vector<std::thread> workers;
  for (unsigned i = 0; i < options.m_workers; ++i) {
    workers.emplace_back([&]() {
      http::Client client;
      for (unsigned n = next++; n < options.m_count; n = next++) {
        SendRequest(options, n, client, results);
        std::this_thread::sleep_for(
          std::chrono::milliseconds{ options.m_pauseMs });
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  const std::chrono::duration<double> elapsed = MonotonicNow() - start;
  http::Client client;
  const auto runs = CollectRuns(options, client);
  std::cout << Summarize(options, results, runs, elapsed.count()).dump()
            << "\n";
  return 0;
}
