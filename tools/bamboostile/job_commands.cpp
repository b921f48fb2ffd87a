#include "commands.h"
#include "output.h"

#include "bamboostile/schema/text.h"
#include "bamboostile/wire/jobs_json.h"
#include "bamboostile/wire/queue_codec.h"
#include "bamboostile/workspaces/key_digest.h"

#include <capnp/compat/json.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace bamboostile::cli {

namespace {

using Json = nlohmann::json;

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

Json
ToJson(const fleet::QueueRoute& aRoute)
{
  return { { "name", aRoute.m_name },
           { "service", aRoute.m_service.Get() },
           { "timeoutMs", aRoute.m_timeout.count() },
           { "objectiveMs", aRoute.m_objective.count() },
           { "stretch", aRoute.m_stretch },
           { "priority", aRoute.m_priority },
           { "maxAttempts", aRoute.m_maxAttempts },
           { "public", aRoute.m_isPublic } };
}

/** Shows how many keys a workspace has, but no key and no digest. */
Json
ToJson(const workspaces::Workspace& aWorkspace)
{
  return { { "name", aWorkspace.m_id.Get() },
           { "keys", aWorkspace.m_keys.size() },
           { "weight", aWorkspace.m_weight },
           { "cap",
             { { "cpuMillis", aWorkspace.m_cap.m_cpuMillis },
               { "memoryMb", aWorkspace.m_cap.m_memoryMb },
               { "accelerators", aWorkspace.m_cap.m_accelerators } } } };
}

/** Returns the rows of a table by kind and name. */
std::map<std::string, Json>
RowsOf(const fleet::RouteTable& aTable)
{
  std::map<std::string, Json> rows;
  for (const fleet::QueueRoute& route : aTable.m_routes) {
    rows["queue " + route.m_name] = ToJson(route);
  }
  if (aTable.m_workspaces) {
    for (const workspaces::Workspace& workspace : *aTable.m_workspaces) {
      rows["workspace " + workspace.m_id.Get()] = ToJson(workspace);
    }
  }
  return rows;
}

ExitCode
List(const GlobalOptions& aOptions)
{
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  Reply reply;
  const auto table = session.Queues(reply);
  if (!table) {
    PrintReply(aOptions, "queue list", "-", reply);
    return reply.m_exit;
  }
  Json queues = Json::array();
  for (const fleet::QueueRoute& route : table->m_routes) {
    queues.push_back(ToJson(route));
  }
  if (aOptions.m_json) {
    Json json{ { "version", table->m_version }, { "queues", queues } };
    if (table->m_workspaces) {
      json["workspaces"] = Json::array();
      for (const workspaces::Workspace& workspace : *table->m_workspaces) {
        json["workspaces"].push_back(ToJson(workspace));
      }
    }
    std::cout << json.dump() << "\n";
    return ExitCode::kDone;
  }
  std::cout << "version " << table->m_version << "\n";
  for (const Json& queue : queues) {
    std::cout << "queue " << queue.at("name").get<std::string>() << " service "
              << queue.at("service").get<std::string>() << " priority "
              << queue.at("priority") << " attempts " << queue.at("maxAttempts")
              << "\n";
  }
  return ExitCode::kDone;
}

/** Replaces keys by their digests, so that no message holds a key. */
void
DigestKeys(schema::QueueTable::Builder aTable)
{
  if (!aTable.hasWorkspaces()) {
    return;
  }
  const fleet::RouteTable read = wire::Read(aTable.asReader());
  const auto& workspaces = *read.m_workspaces;
  auto list = aTable.getWorkspaces();
  for (unsigned i = 0; i < list.size(); ++i) {
    const auto& digests = workspaces[i].m_keys;
    list[i].disownApiKeys();
    auto to = list[i].initKeyDigests(static_cast<unsigned>(digests.size()));
    for (unsigned k = 0; k < to.size(); ++k) {
      to.set(k, ToText(digests[k].Get()));
    }
  }
}

/** Returns the names of workspaces in both tables whose keys differ. */
std::vector<std::string>
ChangedKeys(const fleet::RouteTable& aLeft, const fleet::RouteTable& aRight)
{
  std::map<WorkspaceId, std::set<workspaces::KeyDigest>> keys;
  for (const auto& workspace :
       aLeft.m_workspaces.value_or(std::vector<workspaces::Workspace>{})) {
    keys[workspace.m_id] = { workspace.m_keys.begin(), workspace.m_keys.end() };
  }
  std::vector<std::string> changed;
  for (const auto& workspace :
       aRight.m_workspaces.value_or(std::vector<workspaces::Workspace>{})) {
    const auto found = keys.find(workspace.m_id);
    const std::set<workspaces::KeyDigest> desired{ workspace.m_keys.begin(),
                                                   workspace.m_keys.end() };
    if (found != keys.end() && found->second != desired) {
      changed.push_back(workspace.m_id.Get());
    }
  }
  return changed;
}

/** Reads a table from a JSON file. If the file is invalid, prints why and
 * returns false. */
bool
ReadTable(const std::string& aFile, schema::QueueTable::Builder aTable)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    PrintInputError(aFile + ": cannot be read");
    return false;
  }
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  const auto failure =
    kj::runCatchingExceptions([&]() { codec.decode(ToText(*text), aTable); });
  KJ_IF_MAYBE (exception, failure) {
    PrintInputError(aFile + ": " + exception->getDescription().cStr());
    return false;
  }
  DigestKeys(aTable);
  const fleet::RouteValidation validation =
    fleet::ValidateRoutes(wire::Read(aTable.asReader()));
  if (!validation.IsValid()) {
    PrintInputError(aFile + ": " + validation.m_name + ": " +
                    validation.Reason());
    return false;
  }
  return true;
}

ExitCode
Apply(const GlobalOptions& aOptions, const std::string& aFile)
{
  capnp::MallocMessageBuilder message;
  auto table = message.initRoot<schema::QueueTable>();
  if (!ReadTable(aFile, table)) {
    return ExitCode::kBadInput;
  }
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  const Reply reply = session.ReplaceQueues(table);
  PrintReply(aOptions, "queue apply " + aFile, "-", reply);
  return reply.m_exit;
}

/** Prints what `apply` would change. */
ExitCode
Diff(const GlobalOptions& aOptions, const std::string& aFile)
{
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::QueueTable>();
  if (!ReadTable(aFile, builder)) {
    return ExitCode::kBadInput;
  }
  const fleet::RouteTable desired = wire::Read(builder.asReader());
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  Reply reply;
  const auto current = session.Queues(reply);
  if (!current) {
    PrintReply(aOptions, "queue diff " + aFile, "-", reply);
    return reply.m_exit;
  }
  const auto before = RowsOf(*current);
  const auto after = RowsOf(desired);
  std::cout << "version: " << current->m_version << " -> " << desired.m_version
            << "\n";
  for (const auto& [name, row] : before) {
    if (!after.contains(name)) {
      std::cout << name << ": removed\n";
    }
  }
  for (const auto& [name, row] : after) {
    const auto old = before.find(name);
    const Json patch =
      Json::diff(old == before.end() ? Json::object() : old->second, row);
    for (const Json& change : patch) {
      std::cout << name << " " << change.at("path").get<std::string>() << ": "
                << change.value("value", Json{}).dump() << "\n";
    }
  }
  for (const std::string& name : ChangedKeys(*current, desired)) {
    std::cout << "workspace " << name << ": keys\n";
  }
  return ExitCode::kDone;
}

ExitCode
SendQueueCall(const GlobalOptions& aOptions,
              const std::string& aLabel,
              const jobs::QueueCall& aCall)
{
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  Reply reply;
  const auto answer = session.CallQueue(aCall, reply);
  if (!answer || answer->m_outcome != jobs::QueueOutcome::kOk) {
    PrintReply(aOptions, aLabel, "-", reply);
    return reply.m_exit;
  }
  Json json{ { "outcome", jobs::Describe(answer->m_outcome) } };
  if (answer->m_pending) {
    json["pending"] = *answer->m_pending;
  } else if (aCall.m_kind == jobs::CallKind::kQuery) {
    json["state"] = wire::NameOf(answer->m_state);
    if (!answer->m_detail.empty()) {
      json["reason"] = answer->m_detail;
    }
  }
  if (aOptions.m_json) {
    std::cout << json.dump() << "\n";
  } else {
    std::cout << aLabel;
    for (const char* key : { "state", "reason", "pending" }) {
      if (json.contains(key)) {
        std::cout << " " << key << "=" << json.at(key);
      }
    }
    std::cout << "\n";
  }
  return ExitCode::kDone;
}

/** Removes `--api-key-file FILE` from the arguments and reads the key. If the
 * file is invalid, prints why and returns false. A key among the arguments
 * would be visible to other users of the machine. */
bool
TakeKey(Arguments& aArguments, workspaces::KeyDigest& aKey)
{
  const auto option =
    std::find(aArguments.begin(), aArguments.end(), "--api-key-file");
  if (option == aArguments.end()) {
    return true;
  }
  if (std::next(option) == aArguments.end()) {
    PrintInputError("--api-key-file: the file is missing");
    return false;
  }
  auto key = ReadFile(*std::next(option));
  if (!key) {
    PrintInputError("--api-key-file: " + *std::next(option) +
                    " cannot be read");
    return false;
  }
  key->erase(key->find_last_not_of("\r\n") + 1);
  aKey = workspaces::DigestKey(*key);
  aArguments.erase(option, std::next(option, 2));
  return true;
}

} // namespace

ExitCode
RunQueue(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  if (aArguments.size() == 1 && aArguments[0] == "list") {
    return List(aOptions);
  }
  if (aArguments.size() == 2 && aArguments[0] == "apply") {
    return Apply(aOptions, aArguments[1]);
  }
  if (aArguments.size() == 2 && aArguments[0] == "diff") {
    return Diff(aOptions, aArguments[1]);
  }
  Arguments arguments = aArguments;
  jobs::QueueCall call;
  if (!TakeKey(arguments, call.m_key)) {
    return ExitCode::kBadInput;
  }
  if (arguments.size() == 2 && arguments[0] == "show") {
    call.m_path = "/" + arguments[1] + "/";
    return SendQueueCall(aOptions, "queue " + arguments[1], call);
  }
  return PrintInputError("queue: list, show NAME, diff FILE or apply FILE");
}

ExitCode
RunJob(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  Arguments arguments = aArguments;
  jobs::QueueCall call;
  if (!TakeKey(arguments, call.m_key)) {
    return ExitCode::kBadInput;
  }
  constexpr std::size_t kArgumentCount = 3;
  constexpr std::size_t kArgumentCountWithFile = 5;
  if (arguments.size() < kArgumentCount) {
    return PrintInputError("job: submit, show or cancel, then QUEUE and ID");
  }
  const std::string& action = arguments[0];
  call.m_path = "/" + arguments[1] + "/" + arguments[2];
  if (action == "submit" && arguments.size() == kArgumentCountWithFile &&
      arguments[3] == "--file") {
    const auto text = ReadFile(arguments[4]);
    if (!text) {
      return PrintInputError("--file: " + arguments[4] + " cannot be read");
    }
    json::InvalidField invalidField;
    auto spec = wire::ReadJobSpec(*text, invalidField);
    if (!spec) {
      return PrintInputError(arguments[4] + ": " + invalidField.m_field +
                             ": allowed: " + invalidField.m_allowed);
    }
    call.m_kind = jobs::CallKind::kSubmit;
    call.m_spec = std::move(*spec);
  } else if (action == "submit") {
    return PrintInputError("--file: the job specification is missing");
  } else if (action == "cancel" && arguments.size() == kArgumentCount) {
    call.m_kind = jobs::CallKind::kCancel;
  } else if (action != "show" || arguments.size() != kArgumentCount) {
    return PrintInputError("job: submit, show or cancel, then QUEUE and ID");
  }
  return SendQueueCall(aOptions, "job " + arguments[2] + " " + action, call);
}

} // namespace bamboostile::cli
