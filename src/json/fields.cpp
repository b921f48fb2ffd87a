#include "bamboostile/json/fields.h"

#include <limits>

namespace bamboostile::json {

namespace {

/** Values of a document, counting those inside others. Each takes up to some
 * 100 bytes once parsed, however short it is. A body of so many bytes cannot
 * hold more. */
constexpr std::size_t kMaxValues = std::size_t{ 256 } * 1024;

/** Returns an upper bound of the values of a document: each but the first one
 * follows an opening bracket or a comma, or a key that does. */
std::size_t
CountValues(const std::string& aBody)
{
  std::size_t count = 1;
  bool isInString = false;
  for (std::size_t i = 0; i < aBody.size(); ++i) {
    const char next = aBody[i];
    if (next == '"') {
      isInString = !isInString;
    } else if (isInString) {
      i += next == '\\' ? 1 : 0;
    } else {
      count += next == '[' || next == '{' || next == ',' ? 1 : 0;
    }
  }
  return count;
}

} // namespace

std::string
ToJson(const InvalidField& aInvalid)
{
  return Json{
    { "field", aInvalid.m_field }, { "allowed", aInvalid.m_allowed }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void
Reject(const std::string& aField, const std::string& aAllowed)
{
  throw InvalidFieldError{ { aField, aAllowed } };
}

Json
ParseUntrusted(const std::string& aBody)
{
  const bool isTooMuch =
    aBody.size() > kMaxValues && CountValues(aBody) > kMaxValues;
  return isTooMuch ? Json(Json::value_t::discarded)
                   : Json::parse(aBody, nullptr, false);
}

Json
ParseObject(const std::string& aBody)
{
  Json json = ParseUntrusted(aBody);
  if (!json.is_object()) {
    Reject("(body)",
           "a whole JSON object of at most " + std::to_string(kMaxValues) +
             " values");
  }
  return json;
}

const Json*
Find(const Json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found == aObject.end() || found->is_null() ? nullptr : &*found;
}

const Json&
ListAt(const Json& aObject, const char* aKey, bool aRequired)
{
  static const Json kEmpty = Json::array();
  const Json* value = Find(aObject, aKey);
  if (value == nullptr && !aRequired) {
    return kEmpty;
  }
  if (value == nullptr || !value->is_array()) {
    Reject(aKey, "a list");
  }
  return *value;
}

std::int64_t
IntegerOf(const Json& aValue,
          const std::string& aField,
          std::int64_t aMin,
          std::int64_t aMax)
{
  const bool isInteger = aValue.is_number_integer();
  const bool tooLarge =
    aValue.is_number_unsigned() &&
    aValue.get<std::uint64_t>() > static_cast<std::uint64_t>(aMax);
  if (!isInteger || tooLarge || aValue.get<std::int64_t>() < aMin ||
      aValue.get<std::int64_t>() > aMax) {
    Reject(aField,
           "a whole number from " + std::to_string(aMin) + " to " +
             std::to_string(aMax));
  }
  return aValue.get<std::int64_t>();
}

std::uint32_t
CountOf(const Json& aValue, const char* aField)
{
  return static_cast<std::uint32_t>(
    IntegerOf(aValue, aField, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::string
StringOf(const Json& aValue, const char* aField)
{
  if (!aValue.is_string()) {
    Reject(aField, "a string");
  }
  return aValue.get<std::string>();
}

std::int64_t
IntegerAt(const Json& aObject, const char* aKey)
{
  const Json* value = Find(aObject, aKey);
  return value == nullptr ? 0 : IntegerOf(*value, aKey, 0, kMaxInteger);
}

std::uint32_t
CountAt(const Json& aObject, const char* aKey)
{
  const Json* value = Find(aObject, aKey);
  return value == nullptr ? 0 : CountOf(*value, aKey);
}

Millis
MillisAt(const Json& aObject, const char* aKey)
{
  return Millis{ IntegerAt(aObject, aKey) };
}

double
NumberAt(const Json& aObject, const char* aKey, double aDefault)
{
  const Json* value = Find(aObject, aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_number()) {
    Reject(aKey, "a number");
  }
  return value->get<double>();
}

bool
BoolAt(const Json& aObject, const char* aKey, bool aDefault)
{
  const Json* value = Find(aObject, aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    Reject(aKey, "true or false");
  }
  return value->get<bool>();
}

std::string
StringAt(const Json& aObject, const char* aKey)
{
  const Json* value = Find(aObject, aKey);
  return value == nullptr ? std::string{} : StringOf(*value, aKey);
}

std::string
NonEmptyStringAt(const Json& aObject, const char* aKey)
{
  std::string name = StringAt(aObject, aKey);
  if (name.empty()) {
    Reject(aKey, "a string that is not empty");
  }
  return name;
}

} // namespace bamboostile::json
