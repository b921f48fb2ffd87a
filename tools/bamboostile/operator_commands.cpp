#include "commands.h"
#include "output.h"
#include "review.h"

#include <boost/program_options.hpp>
#include <capnp/compat/json.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace bamboostile::cli {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;
using CallBuilder = schema::OperatorCall::Builder;

std::string
RandomOperationId()
{
  std::random_device device;
  const std::uint64_t value =
    static_cast<std::uint64_t>(device()) << 32 | device();
  return "op-" + HexOf(value);
}

/** Submits a call and prints the reply. Without --expect, the expected revision
 * is the current one of the object. Without --operation-id, the id is random.
 */
ExitCode
SubmitCall(const GlobalOptions& aOptions,
           const std::function<void(CallBuilder)>& aFillCall)
{
  capnp::MallocMessageBuilder message;
  CallBuilder call = message.initRoot<schema::OperatorCall>();
  aFillCall(call);
  const std::string operationId = aOptions.m_operationId.empty()
                                    ? RandomOperationId()
                                    : aOptions.m_operationId;
  call.setOperationId(ToText(operationId));
  call.setOperator(ToText(aOptions.m_operator));
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  std::string object;
  if (aOptions.m_expectedRevision) {
    call.setExpectedRevision(*aOptions.m_expectedRevision);
  } else {
    Reply failure;
    const auto status = session.Status(failure);
    if (!status) {
      PrintReply(aOptions, "", operationId, failure);
      return failure.m_exit;
    }
    const CallDiff diff = DiffCall(call, *status);
    object = diff.m_object;
    call.setExpectedRevision(diff.m_revision);
  }
  const Reply reply = session.Submit(call);
  PrintReply(aOptions, object, operationId, reply);
  return reply.m_exit;
}

/** Arguments of one command: an action, an id and named options. */
struct ParsedArguments
{
  std::string m_action;
  std::string m_id;
  po::variables_map m_values;
  std::string m_error;

  std::string StringOption(const char* aName) const
  {
    return m_values.count(aName) > 0 ? m_values[aName].as<std::string>() : "";
  }
};

ParsedArguments
Parse(const Arguments& aArguments, const po::options_description& aOptions)
{
  ParsedArguments parsed;
  po::options_description all;
  all.add(aOptions);
  all.add_options()("action",
                    po::value<std::string>())("id", po::value<std::string>());
  po::positional_options_description positions;
  positions.add("action", 1).add("id", 1);
  try {
    po::store(po::command_line_parser(aArguments)
                .options(all)
                .positional(positions)
                .run(),
              parsed.m_values);
    parsed.m_action = parsed.StringOption("action");
    parsed.m_id = parsed.StringOption("id");
  } catch (const po::error& error) {
    parsed.m_error = error.what();
  }
  return parsed;
}

ExitCode
UnknownAction(const char* aCommand, const ParsedArguments& aParsed)
{
  if (!aParsed.m_error.empty()) {
    return PrintInputError(aParsed.m_error);
  }
  return PrintInputError(
    std::string{ aCommand } + ": unknown action '" + aParsed.m_action +
    "', or its id is missing; see bamboostile " + aCommand + " --help");
}

/** Prints one list of the status as a table of the given fields. */
ExitCode
List(const GlobalOptions& aOptions,
     const char* aList,
     const std::vector<std::string>& aFields)
{
  Reply failure;
  const auto status = FetchStatus(aOptions, failure);
  if (!status) {
    PrintReply(aOptions, "", "-", failure);
    return failure.m_exit;
  }
  const Json& list = status->at(aList);
  if (aOptions.m_json) {
    std::cout << list.dump() << "\n";
    return ExitCode::kDone;
  }
  std::vector<std::vector<std::string>> rows{ aFields };
  for (const Json& item : list) {
    std::vector<std::string> row;
    for (const std::string& field : aFields) {
      const Json value = field == "revision" && item.contains("change")
                           ? item.at("change").at("revision")
                           : item.value(field, Json{});
      row.push_back(value.is_string() ? value.get<std::string>()
                                      : value.dump());
    }
    rows.push_back(std::move(row));
  }
  std::vector<std::size_t> widths(aFields.size(), 0);
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << row[i];
    }
    std::cout << "\n";
  }
  return ExitCode::kDone;
}

std::optional<Json>
FindInStatus(const GlobalOptions& aOptions,
             const char* aList,
             const std::string& aId)
{
  Reply failure;
  const auto status = FetchStatus(aOptions, failure);
  if (!status) {
    return std::nullopt;
  }
  for (const Json& item : status->at(aList)) {
    if (item.at("id") == aId) {
      return item;
    }
  }
  return std::nullopt;
}

} // namespace

ExitCode
RunPool(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  po::options_description options;
  options.add_options()("service", po::value<std::string>())(
    "home", po::value<std::string>());
  const ParsedArguments parsed = Parse(aArguments, options);
  if (parsed.m_action == "list") {
    return List(
      aOptions, "pools", { "id", "service", "home", "draining", "revision" });
  }
  if (!parsed.m_error.empty() || parsed.m_id.empty()) {
    return UnknownAction("pool", parsed);
  }
  if (parsed.m_action == "put") {
    if (parsed.StringOption("service").empty()) {
      return PrintInputError("--service: missing");
    }
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      auto put = aCall.initPutPool();
      put.setPool(ToText(parsed.m_id));
      put.setService(ToText(parsed.StringOption("service")));
      put.setHome(ToText(parsed.StringOption("home")));
    });
  }
  if (parsed.m_action == "drain" || parsed.m_action == "resume") {
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      auto drain = aCall.initDrainPool();
      drain.setPool(ToText(parsed.m_id));
      drain.setDraining(parsed.m_action == "drain");
    });
  }
  if (parsed.m_action == "remove") {
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      aCall.setRemovePool(ToText(parsed.m_id));
    });
  }
  return UnknownAction("pool", parsed);
}

ExitCode
RunService(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  po::options_description options;
  options.add_options()("max-unavailable-percent", po::value<std::uint32_t>())(
    "survive-rack", po::value<bool>())("default-timeout-ms",
                                       po::value<std::uint32_t>())(
    "retry-budget-percent", po::value<std::uint32_t>())(
    "queue-limit", po::value<std::uint32_t>())("post-is-idempotent",
                                               po::value<bool>());
  const ParsedArguments parsed = Parse(aArguments, options);
  if (parsed.m_action == "list") {
    return List(aOptions,
                "services",
                { "id",
                  "maxUnavailablePercent",
                  "surviveRack",
                  "defaultTimeoutMs",
                  "retryBudgetPercent",
                  "queueLimit",
                  "postIsIdempotent",
                  "revision" });
  }
  if (!parsed.m_error.empty() || parsed.m_id.empty()) {
    return UnknownAction("service", parsed);
  }
  if (parsed.m_action == "remove") {
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      aCall.setRemoveService(ToText(parsed.m_id));
    });
  }
  if (parsed.m_action != "put") {
    return UnknownAction("service", parsed);
  }
  // Options that are not given keep the service's current values, not the
  // schema's defaults.
  const Json current =
    FindInStatus(aOptions, "services", parsed.m_id).value_or(Json::object());
  const auto number =
    [&](const char* aOption, const char* aField, std::uint32_t aDefault) {
      return parsed.m_values.count(aOption) > 0
               ? parsed.m_values[aOption].as<std::uint32_t>()
               : current.value(aField, aDefault);
    };
  const auto flag = [&](const char* aOption, const char* aField) {
    return parsed.m_values.count(aOption) > 0
             ? parsed.m_values[aOption].as<bool>()
             : current.value(aField, false);
  };
  return SubmitCall(aOptions, [&](CallBuilder aCall) {
    auto put = aCall.initPutService();
    put.setId(ToText(parsed.m_id));
    put.setMaxUnavailablePercent(number("max-unavailable-percent",
                                        "maxUnavailablePercent",
                                        put.getMaxUnavailablePercent()));
    put.setDefaultTimeoutMs(number(
      "default-timeout-ms", "defaultTimeoutMs", put.getDefaultTimeoutMs()));
    put.setRetryBudgetPercent(number("retry-budget-percent",
                                     "retryBudgetPercent",
                                     put.getRetryBudgetPercent()));
    put.setQueueLimit(number("queue-limit", "queueLimit", put.getQueueLimit()));
    put.setSurviveRack(flag("survive-rack", "surviveRack"));
    put.setPostIsIdempotent(flag("post-is-idempotent", "postIsIdempotent"));
  });
}

ExitCode
RunInstance(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  po::options_description options;
  options.add_options()("pool", po::value<std::string>());
  const ParsedArguments parsed = Parse(aArguments, options);
  if (parsed.m_action == "list") {
    return List(aOptions,
                "instances",
                { "id",
                  "service",
                  "pool",
                  "zone",
                  "rack",
                  "state",
                  "cordoned",
                  "lost",
                  "wave",
                  "empty",
                  "revision" });
  }
  if (!parsed.m_error.empty() || parsed.m_id.empty()) {
    return UnknownAction("instance", parsed);
  }
  if (parsed.m_action == "move") {
    if (parsed.StringOption("pool").empty()) {
      return PrintInputError("--pool: missing");
    }
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      auto move = aCall.initMoveInstance();
      move.setInstance(ToText(parsed.m_id));
      move.setPool(ToText(parsed.StringOption("pool")));
    });
  }
  if (parsed.m_action == "cordon" || parsed.m_action == "uncordon") {
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      auto cordon = aCall.initCordonInstance();
      cordon.setInstance(ToText(parsed.m_id));
      cordon.setCordoned(parsed.m_action == "cordon");
    });
  }
  if (parsed.m_action == "remove") {
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      aCall.setRemoveInstance(ToText(parsed.m_id));
    });
  }
  return UnknownAction("instance", parsed);
}

ExitCode
RunWave(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  po::options_description options;
  options.add_options()("pool", po::value<std::string>());
  const ParsedArguments parsed = Parse(aArguments, options);
  if (parsed.m_action == "list") {
    return List(aOptions,
                "waves",
                { "id", "pool", "state", "reason", "instances", "revision" });
  }
  if (parsed.m_action == "plan" && !parsed.StringOption("pool").empty()) {
    Reply failure;
    const auto status = FetchStatus(aOptions, failure);
    if (!status) {
      PrintReply(aOptions, "", "-", failure);
      return failure.m_exit;
    }
    const Json& plans = status->at("wavePlans");
    if (!plans.contains(parsed.StringOption("pool"))) {
      return PrintInputError("--pool: '" + parsed.StringOption("pool") +
                             "' does not exist");
    }
    const Json& plan = plans.at(parsed.StringOption("pool"));
    std::cout << plan.dump(aOptions.m_json ? -1 : 2) << "\n";
    return plan.at("blocked").get<std::string>().empty() ? ExitCode::kDone
                                                         : ExitCode::kRefused;
  }
  if (!parsed.m_error.empty() || parsed.m_id.empty()) {
    return UnknownAction("wave", parsed);
  }
  if (parsed.m_action == "create") {
    if (parsed.StringOption("pool").empty()) {
      return PrintInputError("--pool: missing");
    }
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      auto create = aCall.initCreateWave();
      create.setWave(ToText(parsed.m_id));
      create.setPool(ToText(parsed.StringOption("pool")));
    });
  }
  const auto set = [&](schema::WaveTarget aState) {
    return SubmitCall(aOptions, [&](CallBuilder aCall) {
      auto change = aCall.initSetWaveState();
      change.setWave(ToText(parsed.m_id));
      change.setState(aState);
    });
  };
  if (parsed.m_action == "start" || parsed.m_action == "resume") {
    return set(schema::WaveTarget::RUNNING);
  }
  if (parsed.m_action == "pause") {
    return set(schema::WaveTarget::PAUSED);
  }
  if (parsed.m_action == "cancel") {
    return set(schema::WaveTarget::CANCELLED);
  }
  return UnknownAction("wave", parsed);
}

ExitCode
RunConfig(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  const std::string action = aArguments.empty() ? "" : aArguments.front();
  if (action != "show" && action != "status" && action != "set") {
    return PrintInputError("config: show, status or set FIELD=VALUE");
  }
  Reply failure;
  const auto status = FetchStatus(aOptions, failure);
  if (!status) {
    PrintReply(aOptions, "", "-", failure);
    return failure.m_exit;
  }
  Json config = status->at("config");
  if (action == "show") {
    std::cout << config.dump(aOptions.m_json ? -1 : 2) << "\n";
    return ExitCode::kDone;
  }
  if (action == "status") {
    Json versions = Json::object();
    for (const Json& entry : status->at("entries")) {
      versions[entry.at("id").get<std::string>()] = entry.at("revision");
    }
    const Json summary{ { "accepted", config.at("change").at("revision") },
                        { "view", status->at("viewRevision") },
                        { "entries", versions } };
    std::cout << summary.dump(aOptions.m_json ? -1 : 2) << "\n";
    return ExitCode::kDone;
  }
  config.erase("change");
  for (std::size_t i = 1; i < aArguments.size(); ++i) {
    const std::size_t equals = aArguments[i].find('=');
    const std::string field = aArguments[i].substr(0, equals);
    if (equals == std::string::npos || !config.contains(field)) {
      return PrintInputError(
        "config: '" + aArguments[i] +
        "' is not FIELD=VALUE with a field listed by config show");
    }
    const std::string text = aArguments[i].substr(equals + 1);
    const Json value =
      field == "note" ? Json(text) : Json::parse(text, nullptr, false);
    if (value.type() != config[field].type()) {
      std::string error = field;
      error.append(": '").append(text).append("' has another type than ");
      return PrintInputError(error.append(config[field].dump()));
    }
    config[field] = value;
  }
  GlobalOptions options = aOptions;
  if (!options.m_expectedRevision) {
    options.m_expectedRevision =
      status->at("config").at("change").at("revision").get<std::uint64_t>();
  }
  return SubmitCall(options, [&](CallBuilder aCall) {
    auto set = aCall.initSetConfig();
    const capnp::JsonCodec codec;
    codec.decode(ToText(config.dump()), set);
  });
}

ExitCode
RunControl(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  const ParsedArguments parsed = Parse(aArguments, {});
  if (parsed.m_action == "list") {
    return List(aOptions,
                "replicas",
                { "id", "address", "voter", "leader", "behind", "regressed" });
  }
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  Reply reply;
  if (parsed.m_action == "init") {
    reply = session.Control(schema::ControlChange::INIT, "", "");
  } else if (parsed.m_action == "add" && !parsed.m_id.empty()) {
    reply = session.Control(schema::ControlChange::ADD, "", parsed.m_id);
  } else if (parsed.m_action == "remove" && !parsed.m_id.empty()) {
    reply = session.Control(schema::ControlChange::REMOVE, parsed.m_id, "");
  } else {
    return UnknownAction("control", parsed);
  }
  PrintReply(aOptions, "control " + parsed.m_action, "-", reply);
  return reply.m_exit;
}

ExitCode
RunStatus(const GlobalOptions& aOptions, const Arguments& /*aArguments*/)
{
  Reply failure;
  const auto status = FetchStatus(aOptions, failure);
  if (!status) {
    PrintReply(aOptions, "", "-", failure);
    return failure.m_exit;
  }
  if (aOptions.m_json) {
    std::cout << status->dump() << "\n";
    return ExitCode::kDone;
  }
  std::cout << "term " << status->at("term") << ", commit "
            << status->at("commit") << ", snapshot " << status->at("snapshot")
            << ", view " << status->at("viewRevision") << ", outcomes "
            << status->at("outcomes") << "\n";
  for (const Json& replica : status->at("replicas")) {
    std::cout << "replica " << replica.at("id").get<std::string>() << " "
              << replica.at("address").get<std::string>()
              << (replica.at("leader").get<bool>() ? " leader" : "")
              << (replica.at("voter").get<bool>() ? "" : " learner")
              << (replica.at("regressed").get<bool>() ? " regressed" : "")
              << " behind=" << replica.at("behind") << "\n";
  }
  for (const Json& entry : status->at("entries")) {
    std::cout << "entry " << entry.at("id").get<std::string>() << " zone "
              << entry.at("zone").get<std::string>() << " revision "
              << entry.at("revision") << "\n";
  }
  for (const Json& service : status->at("services")) {
    std::size_t usable = 0;
    std::size_t total = 0;
    for (const Json& instance : status->at("instances")) {
      if (instance.at("service") == service.at("id")) {
        ++total;
        const bool isUnusable =
          instance.at("lost").get<bool>() ||
          instance.at("cordoned").get<bool>() || instance.at("state") != "up" ||
          instance.at("pool").is_null() || !instance.at("wave").is_null();
        usable += isUnusable ? 0 : 1;
      }
    }
    std::cout << "service " << service.at("id").get<std::string>() << " usable "
              << usable << " of " << total << "\n";
  }
  for (const Json& wave : status->at("waves")) {
    std::cout << "wave " << wave.at("id").get<std::string>() << " "
              << wave.at("state").get<std::string>() << " "
              << wave.at("reason").get<std::string>() << "\n";
  }
  return ExitCode::kDone;
}

} // namespace bamboostile::cli
