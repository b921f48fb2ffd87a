#include "bamboostile/settings/settings.h"

#include "check.h"

#include <nlohmann/json.hpp>

using namespace bamboostile;
using Json = nlohmann::json;

TEST_GROUP(Settings)
{
  Json m_valid = Json::parse(R"({
    "instance": "e1", "zone": "west-1", "roles": ["entry"],
    "control": ["127.0.0.1:7101"], "http": "127.0.0.1:8080"
  })");

  std::string ErrorIn(const Json& aJson)
  {
    settings::ValidationError error;
    const auto settings = settings::Parse(aJson.dump(), "file.json", error);
    return settings ? "" : settings::ToText(error);
  }

  void ExpectError(const Json& aJson, const char* aField, const char* aValue)
  {
    const std::string text = ErrorIn(aJson);
    const std::string start =
      std::string{ "file.json: " } + aField + ": found " + aValue;
    CHECK_STRING(start, text.substr(0, start.size()));
    CHECK(text.find("allowed: ") != std::string::npos);
  }
};

TEST(Settings, ValidSettings_Parsed_HaveNoError)
{
  CHECK_STRING("", ErrorIn(m_valid));
}

TEST(Settings, WrongType_NamesFieldAndValue)
{
  m_valid["zone"] = 7;
  ExpectError(m_valid, "zone", "7");
}

TEST(Settings, NestedField_OutOfRange_IsNamed)
{
  m_valid["limits"] = { { "bodyBytes", 0 } };
  ExpectError(m_valid, "limits.bodyBytes", "0");
}

TEST(Settings, LimitsOfClients_AreRead)
{
  m_valid["limits"] = { { "headTimeoutMs", 700 } };
  m_valid["hosting"] = { { "maxDescriptors", 500 } };
  settings::ValidationError error;
  const auto settings = settings::Parse(m_valid.dump(), "file.json", error);
  CHECK(settings.has_value());
  LONGS_EQUAL(700, settings->m_limits.m_headTimeout.count());
  LONGS_EQUAL(500, settings->m_hosting->m_maxDescriptors);
  m_valid["hosting"] = { { "maxDescriptors", 1 } };
  ExpectError(m_valid, "hosting.maxDescriptors", "1");
}

TEST(Settings, UnknownRole_IsNamed)
{
  m_valid["roles"] = { "worker" };
  ExpectError(m_valid, "roles.0", "\"worker\"");
}

TEST(Settings, PortOutOfRange_IsNamed)
{
  m_valid["control"] = { "127.0.0.1:70000" };
  ExpectError(m_valid, "control.0", "\"127.0.0.1:70000\"");
}

TEST(Settings, ControlWithoutDisk_IsNamed)
{
  m_valid["roles"] = { "control" };
  m_valid["rpc"] = "127.0.0.1:7101";
  ExpectError(m_valid, "dataFolder", "(missing)");
}

TEST(Settings, ConflictingPorts_AreNamed)
{
  m_valid["rpc"] = "127.0.0.1:8080";
  ExpectError(m_valid, "http", "127.0.0.1:8080");
}

TEST(Settings, NotJson_ReportsByteOffset)
{
  settings::ValidationError error;
  CHECK_FALSE(settings::Parse("{\"instance\": ", "f", error).has_value());
  CHECK_STRING("(byte 14)", error.m_field);
}

TEST(Settings, UnknownField_IsRefused)
{
  m_valid["upstreams"] = Json::array();
  CHECK(ErrorIn(m_valid).find("upstreams") != std::string::npos);
}

TEST(Settings, ControlWithoutFolder_ValidOnlyOnHostingPlatform)
{
  m_valid["roles"] = { "control" };
  m_valid["rpc"] = "127.0.0.1:7101";
  ExpectError(m_valid, "dataFolder", "(missing)");
  m_valid["hosting"] = Json::object();
  CHECK_STRING("", ErrorIn(m_valid));
}

TEST(Settings, MechanismOff_IsReadAndAnUnknownOneIsNamed)
{
  using placement::Mechanism;
  m_valid["mechanismsOff"] = { "moves" };
  settings::ValidationError error;
  const auto settings = settings::Parse(m_valid.dump(), "f", error);
  CHECK_FALSE(settings->m_mechanisms.Has(Mechanism::kMoves));
  CHECK(settings->m_mechanisms.Has(Mechanism::kStandby));
  m_valid["mechanismsOff"] = { "magic" };
  ExpectError(m_valid, "mechanismsOff.0", "\"magic\"");
}

// Guards against a mechanism that is both switched on and off: off wins.
TEST(Settings, OptInMechanism_SwitchedOn_IsUsedUnlessSwitchedOff)
{
  settings::ValidationError error;
  const auto hasAdmission = [&]() {
    return settings::Parse(m_valid.dump(), "f", error)
      ->m_mechanisms.Has(placement::Mechanism::kAdmission);
  };
  CHECK_FALSE(hasAdmission());
  m_valid["mechanismsOn"] = { "admission" };
  CHECK(hasAdmission());
  m_valid["mechanismsOff"] = { "admission" };
  CHECK_FALSE(hasAdmission());
  m_valid["mechanismsOn"] = { "moves" };
  ExpectError(m_valid, "mechanismsOn.0", "\"moves\"");
}
