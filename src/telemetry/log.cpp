#include "bamboostile/telemetry/log.h"

#include <easylogging++.h>

#include <ctime>

INITIALIZE_EASYLOGGINGPP

namespace bamboostile::telemetry {

namespace {

std::string g_instance;
Level g_level = Level::kInfo;

const char*
NameOf(Level aLevel)
{
  switch (aLevel) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "info";
}

std::string
Timestamp()
{
  std::timespec now{};
  std::timespec_get(&now, TIME_UTC);
  std::tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  constexpr long kNanosPerMilli = 1'000'000;
  char text[40];
  const std::size_t length =
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + length,
                sizeof(text) - length,
                ".%03ldZ",
                now.tv_nsec / kNanosPerMilli);
  return text;
}

} // namespace

std::optional<Level>
ParseLevel(const std::string& aName)
{
  for (const Level level :
       { Level::kDebug, Level::kInfo, Level::kWarning, Level::kError }) {
    if (aName == NameOf(level)) {
      return level;
    }
  }
  return std::nullopt;
}

void
InitLog(const std::string& aInstance,
        Level aLevel,
        const std::optional<std::string>& aFile)
{
  g_instance = aInstance;
  g_level = aLevel;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            aFile ? "true" : "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput,
                            aFile ? "false" : "true");
  if (aFile) {
    configuration.setGlobally(el::ConfigurationType::Filename, *aFile);
  }
  el::Loggers::reconfigureLogger("default", configuration);
}

LogLine::LogLine(Level aLevel, std::string aEvent)
  : m_level(aLevel)
{
  m_json["event"] = std::move(aEvent);
}

void
LogLine::Write()
{
  if (m_level < g_level) {
    return;
  }
  m_json["time"] = Timestamp();
  m_json["level"] = NameOf(m_level);
  m_json["instance"] = g_instance;
  // Fields may contain bytes from callers. Invalid UTF-8 is replaced, so that a
  // malicious header cannot corrupt the log or cause an exception here.
  const std::string text =
    m_json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  switch (m_level) {
    case Level::kDebug:
    case Level::kInfo:
      LOG(INFO) << text;
      break;
    case Level::kWarning:
      LOG(WARNING) << text;
      break;
    case Level::kError:
      LOG(ERROR) << text;
      break;
  }
}

} // namespace bamboostile::telemetry
