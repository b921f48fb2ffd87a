#include "commands.h"
#include "output.h"

#include "bamboostile/wire/jobs_json.h"
#include "bamboostile/wire/queue_codec.h"

#include <capnp/compat/json.h>

#include <fstream>
#include <iostream>
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
           { "maxAttempts", aRoute.m_maxAttempts } };
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
    std::cout << Json{
      { "version", table->m_version }, { "queues", queues }
    }.dump() << "\n";
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

ExitCode
Apply(const GlobalOptions& aOptions, const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    return PrintInputError(aFile + ": cannot be read");
  }
  capnp::MallocMessageBuilder message;
  auto table = message.initRoot<schema::QueueTable>();
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  const auto failure = kj::runCatchingExceptions(
    [&]() { codec.decode(kj::StringPtr(text->c_str()), table); });
  KJ_IF_MAYBE (exception, failure) {
    return PrintInputError(aFile + ": " + exception->getDescription().cStr());
  }
  const fleet::RouteValidation validation =
    fleet::ValidateRoutes(wire::Read(table.asReader()));
  if (validation.m_problem != fleet::RouteProblem::kNone) {
    return PrintInputError(aFile + ": " + validation.m_name + ": " +
                           fleet::Describe(validation.m_problem));
  }
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  const Reply reply = session.ReplaceQueues(table);
  PrintReply(aOptions, "queue apply " + aFile, "-", reply);
  return reply.m_exit;
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
  if (aArguments.size() == 2 && aArguments[0] == "show") {
    jobs::QueueCall call;
    call.m_path = "/" + aArguments[1] + "/";
    return SendQueueCall(aOptions, "queue " + aArguments[1], call);
  }
  return PrintInputError("queue: list, show NAME or apply FILE");
}

ExitCode
RunJob(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  constexpr std::size_t kArgumentCount = 3;
  constexpr std::size_t kArgumentCountWithFile = 5;
  if (aArguments.size() < kArgumentCount) {
    return PrintInputError("job: submit, show or cancel, then QUEUE and ID");
  }
  const std::string& action = aArguments[0];
  jobs::QueueCall call;
  call.m_path = "/" + aArguments[1] + "/" + aArguments[2];
  if (action == "submit" && aArguments.size() == kArgumentCountWithFile &&
      aArguments[3] == "--file") {
    const auto text = ReadFile(aArguments[4]);
    if (!text) {
      return PrintInputError("--file: " + aArguments[4] + " cannot be read");
    }
    json::InvalidField invalidField;
    auto spec = wire::ReadJobSpec(*text, invalidField);
    if (!spec) {
      return PrintInputError(aArguments[4] + ": " + invalidField.m_field +
                             ": allowed: " + invalidField.m_allowed);
    }
    call.m_kind = jobs::CallKind::kSubmit;
    call.m_spec = std::move(*spec);
  } else if (action == "submit") {
    return PrintInputError("--file: the job specification is missing");
  } else if (action == "cancel" && aArguments.size() == kArgumentCount) {
    call.m_kind = jobs::CallKind::kCancel;
  } else if (action != "show" || aArguments.size() != kArgumentCount) {
    return PrintInputError("job: submit, show or cancel, then QUEUE and ID");
  }
  return SendQueueCall(aOptions, "job " + aArguments[2] + " " + action, call);
}

} // namespace bamboostile::cli
