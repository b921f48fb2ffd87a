// Fills in a settings template of the deploy folder:
//   render_settings TEMPLATE < FIELDS > SETTINGS
// FIELDS are lines NAME=JSON; what a template may hold is said in DEPLOY.md.

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using Json = nlohmann::json;

struct Scope
{
  const Json* m_fields = nullptr;
  const Json* m_entry = nullptr;
};

Json
Find(const Scope& aScope, const std::string& aName)
{
  if (aName == ".") {
    return aScope.m_entry != nullptr ? *aScope.m_entry : *aScope.m_fields;
  }
  Json value = *aScope.m_fields;
  std::istringstream parts(aName);
  for (std::string part; std::getline(parts, part, '.');) {
    if (value.is_object() && value.contains(part)) {
      value = Json(value.at(part));
    } else if (value.is_array() && std::stoul(part) < value.size()) {
      value = Json(value.at(std::stoul(part)));
    } else {
      return nullptr;
    }
  }
  return value;
}

std::string
ToText(const Json& aValue)
{
  if (aValue.is_null()) {
    return "";
  }
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

std::string
Render(const std::string& aTemplate, const Scope& aScope, bool aIsLast)
{
  std::string text;
  std::size_t at = 0;
  while (at < aTemplate.size()) {
    const std::size_t open = aTemplate.find("{{", at);
    text += aTemplate.substr(at, open - at);
    if (open == std::string::npos) {
      break;
    }
    const std::size_t close = aTemplate.find("}}", open);
    const std::string tag = aTemplate.substr(open + 2, close - open - 2);
    at = close + 2;
    if (tag == ",") {
      text += aIsLast ? "" : ",";
    } else if (tag[0] == '#') {
      const std::string end = "{{/" + tag.substr(1) + "}}";
      const std::size_t until = aTemplate.find(end, at);
      const std::string body = aTemplate.substr(at, until - at);
      at = until + end.size();
      const Json value = Find(aScope, tag.substr(1));
      if (value.is_array()) {
        for (std::size_t i = 0; i < value.size(); ++i) {
          text +=
            Render(body, { aScope.m_fields, &value[i] }, i + 1 == value.size());
        }
      } else if (!value.is_null() && value != false) {
        text += Render(body, { aScope.m_fields, &value }, true);
      }
    } else if (const auto bar = tag.find("|json"); bar != std::string::npos) {
      text += Find(aScope, tag.substr(0, bar)).dump();
    } else {
      text += ToText(Find(aScope, tag));
    }
  }
  return text;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "render_settings TEMPLATE < FIELDS > SETTINGS\n";
    return 2;
  }
  std::ifstream file(aArguments[1]);
  std::ostringstream content;
  content << file.rdbuf();
  Json fields = Json::object();
  for (std::string line; std::getline(std::cin, line);) {
    const std::size_t equals = line.find('=');
    std::string path = "/" + line.substr(0, equals);
    std::replace(path.begin(), path.end(), '.', '/');
    fields[Json::json_pointer(path)] = Json::parse(line.substr(equals + 1));
  }
  std::cout << Render(content.str(), { &fields, nullptr }, true);
  return 0;
}
