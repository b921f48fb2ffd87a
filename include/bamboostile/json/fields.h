#pragma once

#include "bamboostile/units/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

/**
 * @file
 * @brief Reading JSON that strangers send: every helper checks the type and
 * the range, and names the field where they are wrong.
 */
namespace bamboostile::json {

using Json = nlohmann::json;

/** Larger than any time or number that is meant; exact in a double. */
constexpr std::int64_t kMaxWhole = std::int64_t{ 1 } << 52;

/** The first field that is wrong, and what would be right. */
struct BadField
{
  std::string m_field;
  std::string m_allowed;
};

/** A JSON body that tells a caller which field was wrong. */
std::string ToJson(const BadField& aBad);

/** Thrown by the helpers; Guarded() turns it into a result. */
struct Wrong
{
  BadField m_bad;
};

[[noreturn]] void Reject(const std::string& aField,
                         const std::string& aAllowed);

Json ParseObject(const std::string& aBody);
/** Absent and null are the same. */
const Json* Find(const Json& aFrom, const char* aKey);
const Json& ListAt(const Json& aFrom, const char* aKey, bool aRequired = false);

std::int64_t Whole(const Json& aValue,
                   const std::string& aField,
                   std::int64_t aMin,
                   std::int64_t aMax);
std::uint32_t CountOf(const Json& aValue, const char* aField);
std::string TextOf(const Json& aValue, const char* aField);

/** These take 0, false or the empty string where the field is absent. */
std::int64_t WholeAt(const Json& aFrom, const char* aKey);
std::uint32_t CountAt(const Json& aFrom, const char* aKey);
Millis MillisAt(const Json& aFrom, const char* aKey);
double NumberAt(const Json& aFrom, const char* aKey, double aDefault = 0);
bool FlagAt(const Json& aFrom, const char* aKey, bool aDefault = false);
std::string TextAt(const Json& aFrom, const char* aKey);
/** Must be there and not empty. */
std::string NameAt(const Json& aFrom, const char* aKey);

/** Runs a reader; nothing, and aBad set, where it rejected something. */
template<typename Fn>
auto
Guarded(BadField& aBad, Fn aRead) -> std::optional<decltype(aRead())>
{
  try {
    return aRead();
  } catch (const Wrong& wrong) {
    aBad = wrong.m_bad;
  } catch (const Json::exception& error) {
    aBad = { "(body)", error.what() };
  }
  return std::nullopt;
}

} // namespace bamboostile::json
