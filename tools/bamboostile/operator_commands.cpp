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
using Call = schema::OperatorCall::Builder;

std::string
RandomOperationId()
{
  std::random_device device;
  const std::uint64_t value =
    static_cast<std::uint64_t>(device()) << 32 | device();
  return "op-" + HexOf(value);
}

/** Fills in what the operator left out, sends the call and prints the
 * answer. The revision comes from the present state unless given. */
ExitCode
Send(const Common& aCommon, const std::function<void(Call)>& aFill)
{
  capnp::MallocMessageBuilder message;
  Call call = message.initRoot<schema::OperatorCall>();
  aFill(call);
  const std::string operation =
    aCommon.m_operationId.empty() ? RandomOperationId() : aCommon.m_operationId;
  call.setOperationId(operation);
  call.setOperator(aCommon.m_operator);
  Session session(aCommon.m_control, aCommon.m_patienceMs);
  std::string object;
  if (aCommon.m_expected) {
    call.setExpectedRevision(*aCommon.m_expected);
  } else {
    Reply failure;
    const auto status = session.Status(failure);
    if (!status) {
      Print(aCommon, "", operation, failure);
      return failure.m_exit;
    }
    const Review review = ReviewCall(call, *status);
    object = review.m_object;
    call.setExpectedRevision(review.m_revision);
  }
  const Reply reply = session.Submit(call);
  Print(aCommon, object, operation, reply);
  return reply.m_exit;
}

/** The words of one subcommand: an action, an id, and named options. */
struct Parsed
{
  std::string m_action;
  std::string m_id;
  po::variables_map m_values;
  std::string m_problem;

  std::string Text(const char* aName) const
  {
    return m_values.count(aName) > 0 ? m_values[aName].as<std::string>() : "";
  }
};

Parsed
Parse(const Words& aWords, const po::options_description& aOptions)
{
  Parsed parsed;
  po::options_description all;
  all.add(aOptions);
  all.add_options()("action",
                    po::value<std::string>())("id", po::value<std::string>());
  po::positional_options_description positions;
  positions.add("action", 1).add("id", 1);
  try {
    po::store(
      po::command_line_parser(aWords).options(all).positional(positions).run(),
      parsed.m_values);
    parsed.m_action = parsed.Text("action");
    parsed.m_id = parsed.Text("id");
  } catch (const po::error& error) {
    parsed.m_problem = error.what();
  }
  return parsed;
}

ExitCode
UnknownAction(const char* aCommand, const Parsed& aParsed)
{
  if (!aParsed.m_problem.empty()) {
    return BadInput(aParsed.m_problem);
  }
  return BadInput(std::string{ aCommand } + ": '" + aParsed.m_action +
                  "' is no action of it, or its id is missing; see "
                  "bamboostile " +
                  aCommand + " --help");
}

/** Prints chosen fields of a list in the status as a table. */
ExitCode
List(const Common& aCommon,
     const char* aList,
     const std::vector<std::string>& aFields)
{
  Reply failure;
  const auto status = FetchStatus(aCommon, failure);
  if (!status) {
    Print(aCommon, "", "-", failure);
    return failure.m_exit;
  }
  const Json& list = status->at(aList);
  if (aCommon.m_json) {
    std::cout << list.dump() << "\n";
    return ExitCode::kDone;
  }
  std::vector<std::vector<std::string>> rows{ aFields };
  for (const Json& one : list) {
    std::vector<std::string> row;
    for (const std::string& field : aFields) {
      const Json value = field == "revision" && one.contains("change")
                           ? one.at("change").at("revision")
                           : one.value(field, Json{});
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
FindInStatus(const Common& aCommon, const char* aList, const std::string& aId)
{
  Reply failure;
  const auto status = FetchStatus(aCommon, failure);
  if (!status) {
    return std::nullopt;
  }
  for (const Json& one : status->at(aList)) {
    if (one.at("id") == aId) {
      return one;
    }
  }
  return std::nullopt;
}

} // namespace

ExitCode
RunPool(const Common& aCommon, const Words& aWords)
{
  po::options_description options;
  options.add_options()("service", po::value<std::string>())(
    "home", po::value<std::string>());
  const Parsed parsed = Parse(aWords, options);
  if (parsed.m_action == "list") {
    return List(
      aCommon, "pools", { "id", "service", "home", "draining", "revision" });
  }
  if (!parsed.m_problem.empty() || parsed.m_id.empty()) {
    return UnknownAction("pool", parsed);
  }
  if (parsed.m_action == "put") {
    if (parsed.Text("service").empty()) {
      return BadInput("--service: it is missing");
    }
    return Send(aCommon, [&](Call aCall) {
      auto put = aCall.initPutPool();
      put.setPool(parsed.m_id);
      put.setService(parsed.Text("service"));
      put.setHome(parsed.Text("home"));
    });
  }
  if (parsed.m_action == "drain" || parsed.m_action == "resume") {
    return Send(aCommon, [&](Call aCall) {
      auto drain = aCall.initDrainPool();
      drain.setPool(parsed.m_id);
      drain.setDraining(parsed.m_action == "drain");
    });
  }
  if (parsed.m_action == "remove") {
    return Send(aCommon, [&](Call aCall) { aCall.setRemovePool(parsed.m_id); });
  }
  return UnknownAction("pool", parsed);
}

ExitCode
RunService(const Common& aCommon, const Words& aWords)
{
  po::options_description options;
  options.add_options()("max-unavailable-percent", po::value<std::uint32_t>())(
    "survive-rack", po::value<bool>())("default-timeout-ms",
                                       po::value<std::uint32_t>())(
    "retry-budget-percent", po::value<std::uint32_t>())(
    "queue-limit", po::value<std::uint32_t>())("post-is-idempotent",
                                               po::value<bool>());
  const Parsed parsed = Parse(aWords, options);
  if (parsed.m_action == "list") {
    return List(aCommon,
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
  if (!parsed.m_problem.empty() || parsed.m_id.empty()) {
    return UnknownAction("service", parsed);
  }
  if (parsed.m_action == "remove") {
    return Send(aCommon,
                [&](Call aCall) { aCall.setRemoveService(parsed.m_id); });
  }
  if (parsed.m_action != "put") {
    return UnknownAction("service", parsed);
  }
  // What is not named keeps its present value, not the schema's default.
  const Json now =
    FindInStatus(aCommon, "services", parsed.m_id).value_or(Json::object());
  const auto number =
    [&](const char* aOption, const char* aField, std::uint32_t aDefault) {
      return parsed.m_values.count(aOption) > 0
               ? parsed.m_values[aOption].as<std::uint32_t>()
               : now.value(aField, aDefault);
    };
  const auto flag = [&](const char* aOption, const char* aField) {
    return parsed.m_values.count(aOption) > 0
             ? parsed.m_values[aOption].as<bool>()
             : now.value(aField, false);
  };
  return Send(aCommon, [&](Call aCall) {
    auto put = aCall.initPutService();
    put.setId(parsed.m_id);
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
RunInstance(const Common& aCommon, const Words& aWords)
{
  po::options_description options;
  options.add_options()("pool", po::value<std::string>());
  const Parsed parsed = Parse(aWords, options);
  if (parsed.m_action == "list") {
    return List(aCommon,
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
  if (!parsed.m_problem.empty() || parsed.m_id.empty()) {
    return UnknownAction("instance", parsed);
  }
  if (parsed.m_action == "move") {
    if (parsed.Text("pool").empty()) {
      return BadInput("--pool: it is missing");
    }
    return Send(aCommon, [&](Call aCall) {
      auto move = aCall.initMoveInstance();
      move.setInstance(parsed.m_id);
      move.setPool(parsed.Text("pool"));
    });
  }
  if (parsed.m_action == "cordon" || parsed.m_action == "uncordon") {
    return Send(aCommon, [&](Call aCall) {
      auto cordon = aCall.initCordonInstance();
      cordon.setInstance(parsed.m_id);
      cordon.setCordoned(parsed.m_action == "cordon");
    });
  }
  if (parsed.m_action == "remove") {
    return Send(aCommon,
                [&](Call aCall) { aCall.setRemoveInstance(parsed.m_id); });
  }
  return UnknownAction("instance", parsed);
}

ExitCode
RunWave(const Common& aCommon, const Words& aWords)
{
  po::options_description options;
  options.add_options()("pool", po::value<std::string>());
  const Parsed parsed = Parse(aWords, options);
  if (parsed.m_action == "list") {
    return List(aCommon,
                "waves",
                { "id", "pool", "state", "reason", "instances", "revision" });
  }
  if (parsed.m_action == "plan" && !parsed.Text("pool").empty()) {
    Reply failure;
    const auto status = FetchStatus(aCommon, failure);
    if (!status) {
      Print(aCommon, "", "-", failure);
      return failure.m_exit;
    }
    const Json& plans = status->at("wavePlans");
    if (!plans.contains(parsed.Text("pool"))) {
      return BadInput("--pool: '" + parsed.Text("pool") + "' does not exist");
    }
    const Json& plan = plans.at(parsed.Text("pool"));
    std::cout << plan.dump(aCommon.m_json ? -1 : 2) << "\n";
    return plan.at("blocked").get<std::string>().empty() ? ExitCode::kDone
                                                         : ExitCode::kRefused;
  }
  if (!parsed.m_problem.empty() || parsed.m_id.empty()) {
    return UnknownAction("wave", parsed);
  }
  if (parsed.m_action == "create") {
    if (parsed.Text("pool").empty()) {
      return BadInput("--pool: it is missing");
    }
    return Send(aCommon, [&](Call aCall) {
      auto create = aCall.initCreateWave();
      create.setWave(parsed.m_id);
      create.setPool(parsed.Text("pool"));
    });
  }
  const auto set = [&](schema::WaveTarget aState) {
    return Send(aCommon, [&](Call aCall) {
      auto change = aCall.initSetWaveState();
      change.setWave(parsed.m_id);
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
RunConfig(const Common& aCommon, const Words& aWords)
{
  const std::string action = aWords.empty() ? "" : aWords.front();
  if (action != "show" && action != "status" && action != "set") {
    return BadInput("config: show, status or set FIELD=VALUE");
  }
  Reply failure;
  const auto status = FetchStatus(aCommon, failure);
  if (!status) {
    Print(aCommon, "", "-", failure);
    return failure.m_exit;
  }
  Json config = status->at("config");
  if (action == "show") {
    std::cout << config.dump(aCommon.m_json ? -1 : 2) << "\n";
    return ExitCode::kDone;
  }
  if (action == "status") {
    Json versions = Json::object();
    for (const Json& entry : status->at("entries")) {
      versions[entry.at("id").get<std::string>()] = entry.at("revision");
    }
    const Json shown{ { "accepted", config.at("change").at("revision") },
                      { "view", status->at("viewRevision") },
                      { "entries", versions } };
    std::cout << shown.dump(aCommon.m_json ? -1 : 2) << "\n";
    return ExitCode::kDone;
  }
  config.erase("change");
  for (std::size_t i = 1; i < aWords.size(); ++i) {
    const std::size_t equals = aWords[i].find('=');
    const std::string field = aWords[i].substr(0, equals);
    if (equals == std::string::npos || !config.contains(field)) {
      return BadInput("config: '" + aWords[i] +
                      "' is not FIELD=VALUE with a field of config show");
    }
    const std::string text = aWords[i].substr(equals + 1);
    const Json value =
      field == "note" ? Json(text) : Json::parse(text, nullptr, false);
    if (value.type() != config[field].type()) {
      std::string problem = field;
      problem.append(": '").append(text).append("' is not like ");
      return BadInput(problem.append(config[field].dump()));
    }
    config[field] = value;
  }
  Common common = aCommon;
  if (!common.m_expected) {
    common.m_expected =
      status->at("config").at("change").at("revision").get<std::uint64_t>();
  }
  return Send(common, [&](Call aCall) {
    auto set = aCall.initSetConfig();
    const capnp::JsonCodec codec;
    codec.decode(kj::StringPtr(config.dump().c_str()), set);
  });
}

ExitCode
RunControl(const Common& aCommon, const Words& aWords)
{
  const Parsed parsed = Parse(aWords, {});
  if (parsed.m_action == "list") {
    return List(aCommon,
                "replicas",
                { "id", "address", "voter", "leader", "behind", "regressed" });
  }
  Session session(aCommon.m_control, aCommon.m_patienceMs);
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
  Print(aCommon, "control " + parsed.m_action, "-", reply);
  return reply.m_exit;
}

ExitCode
RunStatus(const Common& aCommon, const Words& /*aWords*/)
{
  Reply failure;
  const auto status = FetchStatus(aCommon, failure);
  if (!status) {
    Print(aCommon, "", "-", failure);
    return failure.m_exit;
  }
  if (aCommon.m_json) {
    std::cout << status->dump() << "\n";
    return ExitCode::kDone;
  }
  std::cout << "term " << status->at("term") << ", commit "
            << status->at("commit") << ", snapshot " << status->at("snapshot")
            << ", view " << status->at("viewRevision") << ", outcomes "
            << status->at("outcomes") << "\n";
  for (const Json& one : status->at("replicas")) {
    std::cout << "replica " << one.at("id").get<std::string>() << " "
              << one.at("address").get<std::string>()
              << (one.at("leader").get<bool>() ? " leader" : "")
              << (one.at("voter").get<bool>() ? "" : " learner")
              << (one.at("regressed").get<bool>() ? " regressed" : "")
              << " behind=" << one.at("behind") << "\n";
  }
  for (const Json& one : status->at("entries")) {
    std::cout << "entry " << one.at("id").get<std::string>() << " zone "
              << one.at("zone").get<std::string>() << " revision "
              << one.at("revision") << "\n";
  }
  for (const Json& one : status->at("services")) {
    std::size_t usable = 0;
    std::size_t all = 0;
    for (const Json& instance : status->at("instances")) {
      if (instance.at("service") == one.at("id")) {
        ++all;
        const bool out =
          instance.at("lost").get<bool>() ||
          instance.at("cordoned").get<bool>() || instance.at("state") != "up" ||
          instance.at("pool").is_null() || !instance.at("wave").is_null();
        usable += out ? 0 : 1;
      }
    }
    std::cout << "service " << one.at("id").get<std::string>() << " usable "
              << usable << " of " << all << "\n";
  }
  for (const Json& one : status->at("waves")) {
    std::cout << "wave " << one.at("id").get<std::string>() << " "
              << one.at("state").get<std::string>() << " "
              << one.at("reason").get<std::string>() << "\n";
  }
  return ExitCode::kDone;
}

} // namespace bamboostile::cli
