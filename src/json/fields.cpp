#include "bamboostile/json/fields.h"

#include "bamboostile/units/id_text.h"

#include <algorithm>
#include <limits>

namespace bamboostile::json {

namespace {

/** Values of a document, counting those inside others. Each takes up to some
 * 100 bytes once parsed, however short it is. */
constexpr std::size_t kMaxValues = std::size_t{ 256 } * 1024;

/** Lists and objects inside each other. No message has more than five; the
 * parser's values are copied and written by recursion. */
constexpr std::size_t kMaxDepth = 32;

/** Upper bounds of what a document holds. */
struct Extent
{
  /** Each value but the first one follows an opening bracket or a comma, or a
   * key that does. */
  std::size_t m_values = 1;
  std::size_t m_depth = 0;
};

Extent
Measure(const std::string& aBody)
{
  Extent extent;
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < aBody.size(); ++i) {
    const char next = aBody[i];
    if (next == '"') {
      isInString = !isInString;
    } else if (isInString) {
      i += next == '\\' ? 1 : 0;
    } else if (next == '[' || next == '{') {
      ++extent.m_values;
      extent.m_depth = std::max(extent.m_depth, ++depth);
    } else if (next == ']' || next == '}') {
      depth -= depth > 0 ? 1 : 0;
    } else if (next == ',') {
      ++extent.m_values;
    }
  }
  return extent;
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
  const Extent extent = Measure(aBody);
  const bool isTooMuch =
    extent.m_values > kMaxValues || extent.m_depth > kMaxDepth;
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
             " values, nested at most " + std::to_string(kMaxDepth) + " deep");
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

void
CheckId(const std::string& aText, const char* aField)
{
  if (!IsIdText(aText)) {
    Reject(aField, kIdTextAllowed);
  }
}

void
CheckLength(const std::string& aText, const char* aField)
{
  if (aText.size() > kMaxIdBytes) {
    Reject(aField, "at most " + std::to_string(kMaxIdBytes) + " bytes");
  }
}

} // namespace bamboostile::json
