#include "output.h"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace bamboostile::cli {

using Json = nlohmann::json;

std::string
HexOf(std::uint64_t aValue)
{
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << aValue;
  return text.str();
}

void
PrintReply(const GlobalOptions& aOptions,
           const std::string& aObject,
           const std::string& aOperation,
           const Reply& aReply)
{
  if (aOptions.m_json) {
    Json json = ToJson(aReply);
    json["operationId"] = aOperation;
    json["object"] = aObject;
    std::cout << json.dump() << "\n";
    return;
  }
  std::ostream& out = aReply.m_exit == ExitCode::kDone ? std::cout : std::cerr;
  out << aReply.m_outcome;
  if (!aObject.empty()) {
    out << " " << aObject;
  }
  if (aReply.m_revision != 0) {
    out << " revision=" << aReply.m_revision;
  }
  if (aReply.m_exit == ExitCode::kDone) {
    out << (aReply.m_inForce ? " in force everywhere" : "");
  }
  if (!aReply.m_message.empty()) {
    out << ": " << aReply.m_message;
  }
  if (!aReply.m_winner.empty()) {
    out << " (changed by " << aReply.m_winnerOperator << ", operation "
        << aReply.m_winner << ")";
  }
  out << "\n";
  if (aReply.m_exit == ExitCode::kUnknown) {
    out << "send it again with: --operation-id " << aOperation << "\n";
  }
}

std::optional<Json>
FetchStatus(const GlobalOptions& aOptions, Reply& aFailure)
{
  Session session(aOptions.m_control, aOptions.m_timeoutMs);
  return session.Status(aFailure);
}

ExitCode
PrintInputError(const std::string& aMessage)
{
  std::cerr << "bamboostile: " << aMessage << "\n";
  return ExitCode::kBadInput;
}

} // namespace bamboostile::cli
