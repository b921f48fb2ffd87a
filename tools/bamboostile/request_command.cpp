#include "commands.h"

#include "bamboostile/http/client.h"

#include <boost/program_options.hpp>

#include <future>
#include <iostream>

namespace bamboostile::cli {

namespace {

namespace po = boost::program_options;

/** Exceeds every deadline that an entry grants. */
constexpr Millis kCallTimeout{ 75'000 };

ExitCode
ExitCodeOf(const std::optional<std::string>& aOutcome)
{
  if (aOutcome == "done") {
    return ExitCode::kDone;
  }
  return aOutcome == "not-run" ? ExitCode::kRefused : ExitCode::kUnknown;
}

} // namespace

ExitCode
RunRequest(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  po::options_description options;
  options.add_options()("method", po::value<std::string>())(
    "target", po::value<std::string>())("entry", po::value<std::string>())(
    "key", po::value<std::string>())("timeout-ms", po::value<std::string>())(
    "class", po::value<std::string>())("attempt", po::value<std::string>())(
    "body", po::value<std::string>());
  po::positional_options_description positionalOptions;
  positionalOptions.add("method", 1).add("target", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(aArguments)
                .options(options)
                .positional(positionalOptions)
                .run(),
              values);
  } catch (const po::error& error) {
    return PrintInputError(error.what());
  }
  for (const char* name : { "method", "target", "entry" }) {
    if (values.count(name) == 0) {
      return PrintInputError(std::string{ name } + ": missing");
    }
  }
  const auto text = [&](const char* aName) {
    return values[aName].as<std::string>();
  };
  http::Call call;
  call.m_address = text("entry");
  call.m_method = text("method");
  call.m_target = text("target");
  call.m_timeout = kCallTimeout;
  call.m_atMostOnce = true;
  const std::pair<const char*, const char*> headers[] = {
    { "key", "Idempotency-Key" },
    { "timeout-ms", "Bamboostile-Timeout-Ms" },
    { "class", "Bamboostile-Class" },
    { "attempt", "Bamboostile-Attempt" }
  };
  for (const auto& [option, header] : headers) {
    if (values.count(option) > 0) {
      call.m_headers.push_back({ header, text(option) });
    }
  }
  if (values.count("body") > 0) {
    call.m_body = std::make_shared<const std::string>(text("body"));
  }
  http::Client client;
  std::promise<http::CallResult> promise;
  client.Start(call, [&](http::CallResult aResult) {
    promise.set_value(std::move(aResult));
  });
  const http::CallResult result = promise.get_future().get();
  if (result.m_end != http::CallEnd::kAnswered) {
    std::cerr << "unknown: " << result.m_detail << "\n";
    return ExitCode::kUnknown;
  }
  const auto outcome =
    http::FindHeader(result.m_response.m_headers, "Bamboostile-Outcome");
  const std::string id =
    http::FindHeader(result.m_response.m_headers, "Bamboostile-Request-Id")
      .value_or("");
  if (aOptions.m_json) {
    std::cout << nlohmann::json{ { "status", result.m_response.m_status },
                                 { "outcome", outcome.value_or("") },
                                 { "requestId", id },
                                 { "body", result.m_response.m_body } }
                   .dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace)
              << "\n";
  } else {
    std::cout << result.m_response.m_status << " " << outcome.value_or("-")
              << " " << id << "\n"
              << result.m_response.m_body;
  }
  return ExitCodeOf(outcome);
}

} // namespace bamboostile::cli
