#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace bamboostile::telemetry {

enum class Level
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

std::optional<Level> ParseLevel(const std::string& aName);

/** Must be called once, before any thread logs. Without a file, lines go to
 * standard error. */
void InitLog(const std::string& aInstance,
             Level aLevel,
             const std::optional<std::string>& aFile);

/**
 * @brief A log line: a JSON object on a line of its own.
 *
 * Usage: `LogLine(Level::kInfo, "lease lost").With("request", id).Write();`
 */
class LogLine
{
public:
  LogLine(Level aLevel, std::string aEvent);

  template<typename T>
  LogLine& With(const char* aKey, const T& aValue)
  {
    m_json[aKey] = aValue;
    return *this;
  }

  void Write();

private:
  Level m_level;
  nlohmann::json m_json;
};

} // namespace bamboostile::telemetry
