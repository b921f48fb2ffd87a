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

Problem
MakeProblem(const std::string& aFile,
            std::string aField,
            std::string aValue,
            std::string aAllowed)
{
  return { aFile, std::move(aField), std::move(aValue), std::move(aAllowed) };
}

/** valijson names places as "<root>[a][b]"; people write "a.b". */
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
CheckSchema(const Json& aJson, const std::string& aFile, Problem& aProblem)
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
  // The deepest finding names the field; the others are the objects around.
  valijson::ValidationResults::Error finding;
  valijson::ValidationResults::Error next;
  std::string where;
  while (results.popError(next)) {
    std::string context;
    for (const std::string& part : next.context) {
      context += part;
    }
    if (where.empty() || context.size() >= where.size()) {
      where = context;
      finding = next;
    }
  }
  const std::string field = FieldName(where);
  aProblem =
    MakeProblem(aFile, field, ValueAt(aJson, field), finding.description);
  return false;
}

template<typename T>
void
Take(const Json& aJson, const char* aKey, T& aTo)
{
  if (aJson.contains(aKey)) {
    aTo = aJson.at(aKey).get<T>();
  }
}

void
TakeSeconds(const Json& aJson, const char* aKey, Millis& aTo)
{
  if (aJson.contains(aKey)) {
    const std::chrono::duration<double> seconds{ aJson.at(aKey).get<double>() };
    aTo = std::chrono::ceil<Millis>(seconds);
  }
}

std::optional<std::string>
TakeText(const Json& aJson, const char* aKey)
{
  return aJson.contains(aKey)
           ? std::optional{ aJson.at(aKey).get<std::string>() }
           : std::nullopt;
}

Limits
ReadLimits(const Json& aJson)
{
  Limits limits;
  std::int64_t read = limits.m_readTimeout.count();
  std::int64_t longest = limits.m_maxTimeout.count();
  Take(aJson, "bodyBytes", limits.m_bodyBytes);
  Take(aJson, "headerBytes", limits.m_headerBytes);
  Take(aJson, "connections", limits.m_connections);
  Take(aJson, "readTimeoutMs", read);
  Take(aJson, "maxTimeoutMs", longest);
  limits.m_readTimeout = Millis{ read };
  limits.m_maxTimeout = Millis{ longest };
  return limits;
}

bool
ReadAddresses(const Json& aJson,
              const std::string& aFile,
              Settings& aSettings,
              Problem& aProblem)
{
  const auto read = [&](const Json& aText, const std::string& aField) {
    auto address = ParseAddress(aText.get<std::string>());
    if (!address) {
      aProblem = MakeProblem(
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
  return aProblem.m_field.empty();
}

bool
ReadHosting(const Json& aJson,
            const std::string& aFile,
            Settings& aSettings,
            Problem& aProblem)
{
  if (!aJson.contains("hosting")) {
    return true;
  }
  const Json& from = aJson.at("hosting");
  Hosting& to = aSettings.m_hosting.emplace();
  const auto read = [&](const char* aKey, std::optional<Address>& aTo) {
    if (!from.contains(aKey)) {
      return;
    }
    aTo = ParseAddress(from.at(aKey).get<std::string>());
    if (!aTo) {
      aProblem = MakeProblem(aFile,
                             std::string{ "hosting." } + aKey,
                             from.at(aKey).dump(),
                             "an IP address and a port, 1 to 65535");
    }
  };
  read("callers", to.m_callers);
  read("readiness", to.m_readiness);
  read("workers", to.m_workers);
  read("instances", to.m_instances);
  Take(from, "formGroup", to.m_formGroup);
  Take(from, "toleratedLosses", to.m_toleratedLosses);
  Take(from, "ordersPerSecond", to.m_ordersPerSecond);
  TakeSeconds(from, "maintenanceSeconds", to.m_maintenanceTakes);
  TakeSeconds(from, "moveSeconds", to.m_moveTakes);
  to.m_betweenLeaders =
    Millis{ from.value("leaderGapMs", to.m_betweenLeaders.count()) };
  if (from.contains("rpcPort")) {
    to.m_rpcPort = from.at("rpcPort").get<std::uint16_t>();
    for (Address& seed : aSettings.m_controlSeeds) {
      seed.m_port = *to.m_rpcPort;
    }
  }
  return aProblem.m_field.empty();
}

bool
CheckMeaning(const Settings& aSettings,
             const std::string& aFile,
             Problem& aProblem)
{
  if (aSettings.m_control && !aSettings.m_rpc) {
    aProblem = MakeProblem(
      aFile, "rpc", "(missing)", "an address, as the role control needs one");
    return false;
  }
  // On a hosting platform, instances without a disk serve as control too.
  if (aSettings.m_control && !aSettings.m_dataFolder && !aSettings.m_hosting) {
    aProblem = MakeProblem(aFile,
                           "dataFolder",
                           "(missing)",
                           "a folder on a disk, as the role control needs one");
    return false;
  }
  const bool isHostedEntry =
    aSettings.m_hosting && aSettings.m_hosting->m_callers;
  if (aSettings.m_entry && !aSettings.m_http && !isHostedEntry) {
    aProblem = MakeProblem(
      aFile, "http", "(missing)", "an address, as the role entry needs one");
    return false;
  }
  if (aSettings.m_rpc && aSettings.m_http &&
      *aSettings.m_rpc == *aSettings.m_http) {
    aProblem = MakeProblem(aFile,
                           "http",
                           aSettings.m_http->ToText(),
                           "an address that differs from rpc");
    return false;
  }
  if (aSettings.m_trace.m_file && aSettings.m_trace.m_url) {
    aProblem = MakeProblem(
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
  const bool digits = !port.empty() && port.size() <= 5 &&
                      port.find_first_not_of("0123456789") == std::string::npos;
  if (!digits || std::stoul(port) == 0 || std::stoul(port) > kMaxPort) {
    return std::nullopt;
  }
  std::string bare = host;
  if (bare.size() > 2 && bare.front() == '[' && bare.back() == ']') {
    bare = bare.substr(1, bare.size() - 2);
  }
  in_addr four{};
  in6_addr six{};
  if (inet_pton(AF_INET, bare.c_str(), &four) != 1 &&
      inet_pton(AF_INET6, bare.c_str(), &six) != 1) {
    return std::nullopt;
  }
  return Address{ std::move(host),
                  static_cast<std::uint16_t>(std::stoul(port)) };
}

std::string
ToText(const Problem& aProblem)
{
  return aProblem.m_file + ": " + aProblem.m_field + ": found " +
         aProblem.m_value + "; allowed: " + aProblem.m_allowed;
}

std::optional<Settings>
Load(const std::string& aFile, Problem& aProblem)
{
  std::ifstream in(aFile);
  if (!in) {
    aProblem =
      MakeProblem(aFile, "(file)", "nothing readable", "a readable JSON file");
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return Parse(text.str(), aFile, aProblem);
}

std::optional<Settings>
Parse(const std::string& aText, const std::string& aFile, Problem& aProblem)
{
  Json json;
  try {
    json = Json::parse(aText);
  } catch (const Json::parse_error& error) {
    aProblem = MakeProblem(aFile,
                           "(byte " + std::to_string(error.byte) + ")",
                           "no JSON there",
                           "a JSON object");
    return std::nullopt;
  }
  if (!CheckSchema(json, aFile, aProblem)) {
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
  if (!ReadAddresses(json, aFile, settings, aProblem) ||
      !ReadHosting(json, aFile, settings, aProblem)) {
    return std::nullopt;
  }
  settings.m_dataFolder = TakeText(json, "dataFolder");
  Take(json, "snapshotEvery", settings.m_snapshotEvery);
  for (const Json& name : json.value("mechanismsOff", Json::array())) {
    if (const auto off = placement::MechanismOf(name.get<std::string>())) {
      settings.m_mechanisms.SwitchOff(*off);
    }
  }
  settings.m_limits = ReadLimits(json.value("limits", Json::object()));
  const Json log = json.value("log", Json::object());
  Take(log, "level", settings.m_logLevel);
  settings.m_logFile = TakeText(log, "file");
  const Json trace = json.value("trace", Json::object());
  settings.m_trace.m_file = TakeText(trace, "file");
  settings.m_trace.m_url = TakeText(trace, "url");
  Take(trace, "samplePercent", settings.m_trace.m_samplePercent);
  if (!CheckMeaning(settings, aFile, aProblem)) {
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
