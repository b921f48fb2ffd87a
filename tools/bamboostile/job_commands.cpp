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
ReadFile(const std::string& aName)
{
  std::ifstream in(aName);
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
List(const Common& aCommon)
{
  Session session(aCommon.m_control, aCommon.m_patienceMs);
  Reply reply;
  const auto table = session.Queues(reply);
  if (!table) {
    Print(aCommon, "queue list", "-", reply);
    return reply.m_exit;
  }
  Json queues = Json::array();
  for (const fleet::QueueRoute& route : table->m_routes) {
    queues.push_back(ToJson(route));
  }
  if (aCommon.m_json) {
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
Apply(const Common& aCommon, const std::string& aFile)
{
  const auto text = ReadFile(aFile);
  if (!text) {
    return BadInput(aFile + ": it cannot be read");
  }
  capnp::MallocMessageBuilder message;
  auto table = message.initRoot<schema::QueueTable>();
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  const auto failure = kj::runCatchingExceptions(
    [&]() { codec.decode(kj::StringPtr(text->c_str()), table); });
  KJ_IF_MAYBE (exception, failure) {
    return BadInput(aFile + ": " + exception->getDescription().cStr());
  }
  const fleet::RouteFinding finding =
    fleet::Check(wire::Read(table.asReader()));
  if (finding.m_problem != fleet::RouteProblem::kNone) {
    return BadInput(aFile + ": " + finding.m_name + ": " +
                    fleet::Describe(finding.m_problem));
  }
  Session session(aCommon.m_control, aCommon.m_patienceMs);
  const Reply reply = session.ReplaceQueues(table);
  Print(aCommon, "queue apply " + aFile, "-", reply);
  return reply.m_exit;
}

ExitCode
Call(const Common& aCommon,
     const std::string& aWhat,
     const jobs::QueueCall& aCall)
{
  Session session(aCommon.m_control, aCommon.m_patienceMs);
  Reply reply;
  const auto answer = session.CallQueue(aCall, reply);
  if (!answer || answer->m_outcome != jobs::QueueOutcome::kOk) {
    Print(aCommon, aWhat, "-", reply);
    return reply.m_exit;
  }
  Json json{ { "outcome", jobs::Describe(answer->m_outcome) } };
  if (answer->m_pending) {
    json["pending"] = *answer->m_pending;
  } else if (aCall.m_kind == jobs::CallKind::kLook) {
    json["state"] = wire::NameOf(answer->m_state);
    if (!answer->m_detail.empty()) {
      json["reason"] = answer->m_detail;
    }
  }
  if (aCommon.m_json) {
    std::cout << json.dump() << "\n";
  } else {
    std::cout << aWhat;
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
RunQueue(const Common& aCommon, const Words& aWords)
{
  if (aWords.size() == 1 && aWords[0] == "list") {
    return List(aCommon);
  }
  if (aWords.size() == 2 && aWords[0] == "apply") {
    return Apply(aCommon, aWords[1]);
  }
  if (aWords.size() == 2 && aWords[0] == "show") {
    jobs::QueueCall call;
    call.m_path = "/" + aWords[1] + "/";
    return Call(aCommon, "queue " + aWords[1], call);
  }
  return BadInput("queue: list, show NAME or apply FILE");
}

ExitCode
RunJob(const Common& aCommon, const Words& aWords)
{
  constexpr std::size_t kShort = 3;
  constexpr std::size_t kWithFile = 5;
  if (aWords.size() < kShort) {
    return BadInput("job: submit, show or cancel, then QUEUE and ID");
  }
  const std::string& action = aWords[0];
  jobs::QueueCall call;
  call.m_path = "/" + aWords[1] + "/" + aWords[2];
  if (action == "submit" && aWords.size() == kWithFile &&
      aWords[3] == "--file") {
    const auto text = ReadFile(aWords[4]);
    if (!text) {
      return BadInput("--file: " + aWords[4] + " cannot be read");
    }
    json::BadField bad;
    auto spec = wire::ReadJobSpec(*text, bad);
    if (!spec) {
      return BadInput(aWords[4] + ": " + bad.m_field +
                      ": allowed: " + bad.m_allowed);
    }
    call.m_kind = jobs::CallKind::kSubmit;
    call.m_spec = std::move(*spec);
  } else if (action == "submit") {
    return BadInput("--file: the job's description is missing");
  } else if (action == "cancel" && aWords.size() == kShort) {
    call.m_kind = jobs::CallKind::kCancel;
  } else if (action != "show" || aWords.size() != kShort) {
    return BadInput("job: submit, show or cancel, then QUEUE and ID");
  }
  return Call(aCommon, "job " + aWords[2] + " " + action, call);
}

} // namespace bamboostile::cli
