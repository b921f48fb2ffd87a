#include "commands.h"
#include "output.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace bamboostile::cli {

namespace {

using Json = nlohmann::json;

std::string
LimitText(const Json& aCap, const char* aField)
{
  const auto limit = aCap.at(aField).get<std::int64_t>();
  return limit == 0 ? "-" : std::to_string(limit);
}

void
PrintRow(const Json& aRow)
{
  const Json& cap = aRow.at("cap");
  const Json& running = aRow.at("running");
  std::cout << "workspace " << aRow.at("name").get<std::string>() << " weight "
            << aRow.at("weight") << " share " << aRow.at("share");
  for (const char* field : { "cpuMillis", "memoryMb", "accelerators" }) {
    std::cout << " " << field << " " << running.at(field) << "/"
              << LimitText(cap, field);
  }
  std::cout << " accepted " << aRow.at("accepted") << " refused "
            << aRow.at("refused");
  if (aRow.at("waitsForCap").get<bool>()) {
    std::cout << " waits-for-cap-ms " << aRow.at("waitsForCapMs");
  }
  std::cout << "\n";
}

} // namespace

ExitCode
RunWorkspaces(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  if (!aArguments.empty()) {
    return PrintInputError("workspaces: takes no arguments");
  }
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  Reply reply;
  const auto json = session.Workspaces(reply);
  if (!json) {
    PrintReply(aOptions, "workspaces", "-", reply);
    return reply.m_exit;
  }
  if (aOptions.m_json) {
    std::cout << *json << "\n";
    return ExitCode::kDone;
  }
  const Json report = Json::parse(*json);
  std::cout << "version " << report.at("version") << " needs-keys "
            << report.at("needsKeys") << " counted-for-ms "
            << report.at("countedForMs") << "\n";
  for (const Json& row : report.at("workspaces")) {
    PrintRow(row);
  }
  return ExitCode::kDone;
}

} // namespace bamboostile::cli
