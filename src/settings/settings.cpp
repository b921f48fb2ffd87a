#include "bamboostile/settings/settings.h"

#include "settings_schema.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <arpa/inet.h>

#include <fstream>
#include <sstream>

namespace bamboostile::settings {

namespace {

using Json = nlohmann::json;

constexpr unsigned long kMaxPort = 65535;

ValidationError
MakeError(const std::string& aFile,
          std::string aField,
          std::string aValue,
          std::string aAllowed)
{
  return { aFile, std::move(aField), std::move(aValue), std::move(aAllowed) };
}

/** Converts valijson's "<root>[a][b]" to "a.b". */
std::string
FieldName(const std::string& aContext)
{
  std::string name;
  for (const char c : aContext.substr(aContext.find('[') == std::string::npos
                                        ? aContext.size()
                                        : aContext.find('['))) {
    if (c == '[') {
      name += name.empty() ? "" : ".";
    } else if (c != ']') {
      name += c;
    }
  }
  return name.empty() ? "(top)" : name;
}

std::string
ValueAt(const Json& aJson, const std::string& aField)
{
  const Json* at = &aJson;
  std::istringstream parts(aField);
  std::string part;
  while (std::getline(parts, part, '.')) {
    if (at->is_object() && at->contains(part)) {
      at = &(*at)[part];
    } else if (at->is_array() && !part.empty() &&
               part.find_first_not_of("0123456789") == std::string::npos &&
               std::stoul(part) < at->size()) {
      at = &(*at)[std::stoul(part)];
    } else {
      break;
    }
  }
  return at->dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool
CheckSchema(const Json& aJson,
            const std::string& aFile,
            ValidationError& aError)
{
  const Json schemaJson = Json::parse(kSettingsSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaJson);
  parser.populateSchema(schemaAdapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter target(aJson);
  if (validator.validate(schema, target, &results)) {
    return true;
  }
  // The error with the deepest context names the field; the others name
  // the enclosing objects.
  valijson::ValidationResults::Error deepest;
  valijson::ValidationResults::Error next;
  std::string deepestContext;
  while (results.popError(next)) {
    std::string context;
    for (const std::string& part : next.context) {
      context += part;
    }
    if (deepestContext.empty() || context.size() >= deepestContext.size()) {
      deepestContext = context;
      deepest = next;
    }
  }
  const std::string field = FieldName(deepestContext);
  aError = MakeError(aFile, field, ValueAt(aJson, field), deepest.description);
  return false;
}

template<typename T>
void
ReadIfPresent(const Json& aJson, const char* aKey, T& aTarget)
{
  if (aJson.contains(aKey)) {
    aTarget = aJson.at(aKey).get<T>();
  }
}

void
ReadSeconds(const Json& aJson, const char* aKey, Millis& aTarget)
{
  if (aJson.contains(aKey)) {
    const std::chrono::duration<double> seconds{ aJson.at(aKey).get<double>() };
    aTarget = std::chrono::ceil<Millis>(seconds);
  }
}

std::optional<std::string>
ReadText(const Json& aJson, const char* aKey)
{
  return aJson.contains(aKey)
           ? std::optional{ aJson.at(aKey).get<std::string>() }
           : std::nullopt;
}

Limits
ReadLimits(const Json& aJson)
{
  Limits limits;
  std::int64_t readTimeoutMs = limits.m_readTimeout.count();
  std::int64_t headTimeoutMs = limits.m_headTimeout.count();
  std::int64_t maxTimeoutMs = limits.m_maxTimeout.count();
  ReadIfPresent(aJson, "bodyBytes", limits.m_bodyBytes);
  ReadIfPresent(aJson, "headerBytes", limits.m_headerBytes);
  ReadIfPresent(aJson, "connections", limits.m_connections);
  ReadIfPresent(aJson, "readTimeoutMs", readTimeoutMs);
  ReadIfPresent(aJson, "headTimeoutMs", headTimeoutMs);
  ReadIfPresent(aJson, "maxTimeoutMs", maxTimeoutMs);
  limits.m_readTimeout = Millis{ readTimeoutMs };
  limits.m_headTimeout = Millis{ headTimeoutMs };
  limits.m_maxTimeout = Millis{ maxTimeoutMs };
  return limits;
}

bool
ReadAddresses(const Json& aJson,
              const std::string& aFile,
              Settings& aSettings,
              ValidationError& aError)
{
  const auto read = [&](const Json& aText, const std::string& aField) {
    auto address = ParseAddress(aText.get<std::string>());
    if (!address) {
      aError = MakeError(
        aFile, aField, aText.dump(), "an IP address and a port, 1 to 65535");
    }
    return address;
  };
  for (std::size_t i = 0; i < aJson.at("control").size(); ++i) {
    const auto seed =
      read(aJson.at("control")[i], "control." + std::to_string(i));
    if (!seed) {
      return false;
    }
    aSettings.m_controlSeeds.push_back(*seed);
  }
  if (aJson.contains("rpc")) {
    aSettings.m_rpc = read(aJson.at("rpc"), "rpc");
  }
  if (aJson.contains("http")) {
    aSettings.m_http = read(aJson.at("http"), "http");
  }
  if (aJson.contains("platform")) {
    aSettings.m_platform = read(aJson.at("platform"), "platform");
  }
  return aError.m_field.empty();
}

bool
ReadHosting(const Json& aJson,
            const std::string& aFile,
            Settings& aSettings,
            ValidationError& aError)
{
  if (!aJson.contains("hosting")) {
    return true;
  }
  const Json& from = aJson.at("hosting");
  Hosting& to = aSettings.m_hosting.emplace();
  const auto read = [&](const char* aKey, std::optional<Address>& aTarget) {
    if (!from.contains(aKey)) {
      return;
    }
    aTarget = ParseAddress(from.at(aKey).get<std::string>());
    if (!aTarget) {
      aError = MakeError(aFile,
                         std::string{ "hosting." } + aKey,
                         from.at(aKey).dump(),
                         "an IP address and a port, 1 to 65535");
    }
  };
  read("callers", to.m_callers);
  read("readiness", to.m_readiness);
  read("workers", to.m_workers);
  read("instances", to.m_instances);
  ReadIfPresent(from, "formGroup", to.m_formGroup);
  ReadIfPresent(from, "toleratedLosses", to.m_toleratedLosses);
  ReadIfPresent(from, "ordersPerSecond", to.m_ordersPerSecond);
  ReadIfPresent(from, "memoryMb", to.m_memoryMb);
  ReadIfPresent(from, "maxDescriptors", to.m_maxDescriptors);
  ReadSeconds(from, "maintenanceSeconds", to.m_expectedDowntime);
  ReadSeconds(from, "moveSeconds", to.m_moveDuration);
  to.m_handoverDelay =
    Millis{ from.value("leaderGapMs", to.m_handoverDelay.count()) };
  if (from.contains("rpcPort")) {
    to.m_rpcPort = from.at("rpcPort").get<std::uint16_t>();
    for (Address& seed : aSettings.m_controlSeeds) {
      seed.m_port = *to.m_rpcPort;
    }
  }
  return aError.m_field.empty();
}

/** The schema admits only known names. */
void
ReadMechanisms(const Json& aJson, placement::Mechanisms& aMechanisms)
{
  for (const Json& name : aJson.value("mechanismsOn", Json::array())) {
    aMechanisms.SwitchOn(*placement::MechanismOf(name.get<std::string>()));
  }
  for (const Json& name : aJson.value("mechanismsOff", Json::array())) {
    aMechanisms.SwitchOff(*placement::MechanismOf(name.get<std::string>()));
  }
}

bool
CheckConsistency(const Settings& aSettings,
                 const std::string& aFile,
                 ValidationError& aError)
{
  if (aSettings.m_control && !aSettings.m_rpc) {
    aError = MakeError(
      aFile, "rpc", "(missing)", "an address; the role control requires one");
    return false;
  }
  // On a hosting platform, control replicas may run without a disk.
  if (aSettings.m_control && !aSettings.m_dataFolder && !aSettings.m_hosting) {
    aError = MakeError(aFile,
                       "dataFolder",
                       "(missing)",
                       "a folder on a disk; the role control requires one");
    return false;
  }
  const bool isHostedEntry =
    aSettings.m_hosting && aSettings.m_hosting->m_callers;
  if (aSettings.m_entry && !aSettings.m_http && !isHostedEntry) {
    aError = MakeError(
      aFile, "http", "(missing)", "an address; the role entry requires one");
    return false;
  }
  if (aSettings.m_rpc && aSettings.m_http &&
      *aSettings.m_rpc == *aSettings.m_http) {
    aError = MakeError(aFile,
                       "http",
                       aSettings.m_http->ToText(),
                       "an address that differs from rpc");
    return false;
  }
  if (aSettings.m_trace.m_file && aSettings.m_trace.m_url) {
    aError = MakeError(
      aFile, "trace.url", *aSettings.m_trace.m_url, "either url or file");
    return false;
  }
  return true;
}

} // namespace

std::string
Address::ToText() const
{
  return m_host + ":" + std::to_string(m_port);
}

std::optional<Address>
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = aText.substr(0, colon);
  const std::string port = aText.substr(colon + 1);
  const bool isNumber =
    !port.empty() && port.size() <= 5 &&
    port.find_first_not_of("0123456789") == std::string::npos;
  if (!isNumber || std::stoul(port) == 0 || std::stoul(port) > kMaxPort) {
    return std::nullopt;
  }
  std::string unbracketed = host;
  if (unbracketed.size() > 2 && unbracketed.front() == '[' &&
      unbracketed.back() == ']') {
    unbracketed = unbracketed.substr(1, unbracketed.size() - 2);
  }
  in_addr ipv4{};
  in6_addr ipv6{};
  if (inet_pton(AF_INET, unbracketed.c_str(), &ipv4) != 1 &&
      inet_pton(AF_INET6, unbracketed.c_str(), &ipv6) != 1) {
    return std::nullopt;
  }
  return Address{ std::move(host),
                  static_cast<std::uint16_t>(std::stoul(port)) };
}

std::string
ToText(const ValidationError& aError)
{
  return aError.m_file + ": " + aError.m_field + ": found " + aError.m_value +
         "; allowed: " + aError.m_allowed;
}

std::optional<Settings>
Load(const std::string& aFile, ValidationError& aError)
{
  std::ifstream in(aFile);
  if (!in) {
    aError =
      MakeError(aFile, "(file)", "no readable file", "a readable JSON file");
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return Parse(text.str(), aFile, aError);
}

std::optional<Settings>
Parse(const std::string& aText,
      const std::string& aFile,
      ValidationError& aError)
{
  Json json;
  try {
    json = Json::parse(aText);
  } catch (const Json::parse_error& error) {
    aError = MakeError(aFile,
                       "(byte " + std::to_string(error.byte) + ")",
                       "invalid JSON",
                       "a JSON object");
    return std::nullopt;
  }
  if (!CheckSchema(json, aFile, aError)) {
    return std::nullopt;
  }
  Settings settings;
  settings.m_instance = InstanceId{ json.at("instance").get<std::string>() };
  settings.m_zone = ZoneId{ json.at("zone").get<std::string>() };
  settings.m_rack = RackId{ json.value("rack", std::string{}) };
  for (const Json& role : json.at("roles")) {
    settings.m_control = settings.m_control || role == "control";
    settings.m_entry = settings.m_entry || role == "entry";
  }
  if (!ReadAddresses(json, aFile, settings, aError) ||
      !ReadHosting(json, aFile, settings, aError)) {
    return std::nullopt;
  }
  settings.m_dataFolder = ReadText(json, "dataFolder");
  ReadIfPresent(json, "snapshotEvery", settings.m_snapshotEvery);
  ReadMechanisms(json, settings.m_mechanisms);
  settings.m_limits = ReadLimits(json.value("limits", Json::object()));
  const Json log = json.value("log", Json::object());
  ReadIfPresent(log, "level", settings.m_logLevel);
  settings.m_logFile = ReadText(log, "file");
  const Json trace = json.value("trace", Json::object());
  settings.m_trace.m_file = ReadText(trace, "file");
  settings.m_trace.m_url = ReadText(trace, "url");
  ReadIfPresent(trace, "samplePercent", settings.m_trace.m_samplePercent);
  if (!CheckConsistency(settings, aFile, aError)) {
    return std::nullopt;
  }
  return settings;
}

std::vector<std::string>
SeedsOf(const Settings& aSettings)
{
  std::vector<std::string> seeds;
  for (const Address& seed : aSettings.m_controlSeeds) {
    seeds.push_back(seed.ToText());
  }
  return seeds;
}

} // namespace bamboostile::settings
