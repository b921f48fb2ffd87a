#include "commands.h"
#include "output.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace bamboostile::cli {

namespace {

using Json = nlohmann::json;
using Fetch = std::optional<std::string> (Session::*)(Reply&);

void
PrintFields(const Json& aObject)
{
  for (const auto& [field, value] : aObject.items()) {
    if (field != "name" && !value.is_structured()) {
      std::cout << " " << field << "=" << value;
    }
  }
  std::cout << "\n";
}

/** Prints the fields of the report itself, then one line for each of its rows.
 * aRows: the field that holds them; aKind: what a row describes. */
void
PrintReport(const Json& aReport, const char* aRows, const char* aKind)
{
  std::cout << aRows;
  PrintFields(aReport);
  for (const Json& row : aReport.at(aRows)) {
    std::cout << aKind << " " << row.at("name").get<std::string>();
    PrintFields(row);
  }
}

ExitCode
RunReport(const GlobalOptions& aOptions,
          const Arguments& aArguments,
          Fetch aFetch,
          const char* aRows,
          const char* aKind)
{
  if (!aArguments.empty()) {
    return PrintInputError(std::string{ aRows } + ": takes no arguments");
  }
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  Reply reply;
  const auto json = (session.*aFetch)(reply);
  if (!json) {
    PrintReply(aOptions, aRows, "-", reply);
    return reply.m_exit;
  }
  if (aOptions.m_json) {
    std::cout << *json << "\n";
  } else {
    PrintReport(Json::parse(*json), aRows, aKind);
  }
  return ExitCode::kDone;
}

} // namespace

ExitCode
RunPools(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  return RunReport(aOptions, aArguments, &Session::Pools, "pools", "pool");
}

ExitCode
RunAdmission(const GlobalOptions& aOptions, const Arguments& aArguments)
{
  return RunReport(
    aOptions, aArguments, &Session::Admission, "queues", "queue");
}

} // namespace bamboostile::cli
