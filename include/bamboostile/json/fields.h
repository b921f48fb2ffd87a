#pragma once

#include "bamboostile/units/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

/**
 * @file
 * @brief Reads untrusted JSON: every function checks type and range, and names
 * the field that is invalid.
 */
namespace bamboostile::json {

using Json = nlohmann::json;

/** Larger than any valid time or count, and exact in a double. */
constexpr std::int64_t kMaxInteger = std::int64_t{ 1 } << 52;

/** The first invalid field, and a description of the allowed values. */
struct InvalidField
{
  std::string m_field;
  std::string m_allowed;
};

/** Returns a JSON body that tells a caller which field is invalid. */
std::string ToJson(const InvalidField& aInvalid);

/** Thrown for an invalid field; CatchInvalidField() turns it into a result. */
struct InvalidFieldError
{
  InvalidField m_invalidField;
};

[[noreturn]] void Reject(const std::string& aField,
                         const std::string& aAllowed);

/** Returns a discarded value if the body is no JSON, has so many values that it
 * would take many times its bytes, or is nested so deep that copying it would
 * overrun the stack. */
Json ParseUntrusted(const std::string& aBody);
Json ParseObject(const std::string& aBody);
/** Returns null if the field is absent or null. */
const Json* Find(const Json& aObject, const char* aKey);
const Json& ListAt(const Json& aObject,
                   const char* aKey,
                   bool aRequired = false);

std::int64_t IntegerOf(const Json& aValue,
                       const std::string& aField,
                       std::int64_t aMin,
                       std::int64_t aMax);
std::uint32_t CountOf(const Json& aValue, const char* aField);
std::string StringOf(const Json& aValue, const char* aField);

/** The functions below return aDefault, 0 or the empty string if the field is
 * absent. */
std::int64_t IntegerAt(const Json& aObject, const char* aKey);
std::uint32_t CountAt(const Json& aObject, const char* aKey);
Millis MillisAt(const Json& aObject, const char* aKey);
double NumberAt(const Json& aObject, const char* aKey, double aDefault = 0);
bool BoolAt(const Json& aObject, const char* aKey, bool aDefault = false);
std::string StringAt(const Json& aObject, const char* aKey);
/** Rejects a field that is absent or empty. */
std::string NonEmptyStringAt(const Json& aObject, const char* aKey);

/** Rejects an id that IsIdText() does not allow. */
void CheckId(const std::string& aText, const char* aField);
/** Rejects a name that is longer than an id may be. */
void CheckLength(const std::string& aText, const char* aField);

/** Runs a reader; if it rejects a field, returns nullopt and sets aInvalid. */
template<typename Fn>
auto
CatchInvalidField(InvalidField& aInvalid, Fn aRead)
  -> std::optional<decltype(aRead())>
{
  try {
    return aRead();
  } catch (const InvalidFieldError& invalid) {
    aInvalid = invalid.m_invalidField;
  } catch (const Json::exception& error) {
    aInvalid = { "(body)", error.what() };
  }
  return std::nullopt;
}

} // namespace bamboostile::json
