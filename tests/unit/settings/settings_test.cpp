#include "bamboostile/settings/settings.h"

#include "check.h"

#include <nlohmann/json.hpp>

using namespace bamboostile;
using Json = nlohmann::json;

TEST_GROUP(Settings)
{
  Json m_sound = Json::parse(R"({
    "instance": "e1", "zone": "west-1", "roles": ["entry"],
    "control": ["127.0.0.1:7101"], "http": "127.0.0.1:8080"
  })");

  std::string ProblemWith(const Json& aJson)
  {
    settings::Problem problem;
    const auto settings = settings::Parse(aJson.dump(), "file.json", problem);
    return settings ? "" : settings::ToText(problem);
  }

  void Names(const Json& aJson, const char* aField, const char* aValue)
  {
    const std::string text = ProblemWith(aJson);
    const std::string start =
      std::string{ "file.json: " } + aField + ": found " + aValue;
    CHECK_STRING(start, text.substr(0, start.size()));
    CHECK(text.find("allowed: ") != std::string::npos);
  }
};

TEST(Settings, Sound_Parsed_HasNoProblem)
{
  CHECK_STRING("", ProblemWith(m_sound));
}

TEST(Settings, WrongType_NamesFieldAndValue)
{
  m_sound["zone"] = 7;
  Names(m_sound, "zone", "7");
}

TEST(Settings, NestedField_OutOfRange_IsNamed)
{
  m_sound["limits"] = { { "bodyBytes", 0 } };
  Names(m_sound, "limits.bodyBytes", "0");
}

TEST(Settings, UnknownRole_IsNamed)
{
  m_sound["roles"] = { "worker" };
  Names(m_sound, "roles.0", "\"worker\"");
}

TEST(Settings, PortOutOfRange_IsNamed)
{
  m_sound["control"] = { "127.0.0.1:70000" };
  Names(m_sound, "control.0", "\"127.0.0.1:70000\"");
}

TEST(Settings, ControlWithoutDisk_IsNamed)
{
  m_sound["roles"] = { "control" };
  m_sound["rpc"] = "127.0.0.1:7101";
  Names(m_sound, "dataFolder", "(missing)");
}

TEST(Settings, PortsThatClash_AreNamed)
{
  m_sound["rpc"] = "127.0.0.1:8080";
  Names(m_sound, "http", "127.0.0.1:8080");
}

TEST(Settings, NotJson_NamesThePlace)
{
  settings::Problem problem;
  CHECK_FALSE(settings::Parse("{\"instance\": ", "f", problem).has_value());
  CHECK_STRING("(byte 14)", problem.m_field);
}

TEST(Settings, UnknownField_IsRefused)
{
  m_sound["upstreams"] = Json::array();
  CHECK(ProblemWith(m_sound).find("upstreams") != std::string::npos);
}

TEST(Settings, ControlWithoutFolder_SoundOnlyOnAHostingPlatform)
{
  m_sound["roles"] = { "control" };
  m_sound["rpc"] = "127.0.0.1:7101";
  Names(m_sound, "dataFolder", "(missing)");
  m_sound["hosting"] = Json::object();
  CHECK_STRING("", ProblemWith(m_sound));
}

TEST(Settings, MechanismOff_IsReadAndAnUnknownOneIsNamed)
{
  using placement::Mechanism;
  m_sound["mechanismsOff"] = { "moves" };
  settings::Problem problem;
  const auto settings = settings::Parse(m_sound.dump(), "f", problem);
  CHECK_FALSE(settings->m_mechanisms.Has(Mechanism::kMoves));
  CHECK(settings->m_mechanisms.Has(Mechanism::kStandby));
  m_sound["mechanismsOff"] = { "magic" };
  Names(m_sound, "mechanismsOff.0", "\"magic\"");
}
