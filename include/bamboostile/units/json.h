#pragma once

#include "bamboostile/units/strong.h"
#include "bamboostile/units/time.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <variant>

namespace bamboostile {

template<typename Tag, typename T>
void
to_json(nlohmann::json& aJson, const Strong<Tag, T>& aValue)
{
  aJson = aValue.Get();
}

template<typename Tag, typename T>
void
from_json(const nlohmann::json& aJson, Strong<Tag, T>& aValue)
{
  aValue = Strong<Tag, T>{ aJson.get<T>() };
}

} // namespace bamboostile

/** A variant is stored as [position, value]. New alternatives must be appended,
 * so that data written by an older build stays readable. */
template<typename... Ts>
struct nlohmann::adl_serializer<std::variant<Ts...>>
{
  using Variant = std::variant<Ts...>;

  static void to_json(nlohmann::json& aJson, const Variant& aValue)
  {
    std::visit(
      [&](const auto& aAlternative) {
        aJson = nlohmann::json::array({ aValue.index(), aAlternative });
      },
      aValue);
  }

  static void from_json(const nlohmann::json& aJson, Variant& aValue)
  {
    Read(aJson.at(0).get<std::size_t>(),
         aJson.at(1),
         aValue,
         std::index_sequence_for<Ts...>{});
  }

private:
  template<std::size_t... Is>
  static void Read(std::size_t aPosition,
                   const nlohmann::json& aJson,
                   Variant& aValue,
                   std::index_sequence<Is...> /*unused*/)
  {
    const bool isKnown =
      ((aPosition == Is
          ? (aValue = aJson.get<std::variant_alternative_t<Is, Variant>>(),
             true)
          : false) ||
       ...);
    if (!isKnown) {
      throw nlohmann::json::other_error::create(
        501, "unknown alternative " + std::to_string(aPosition), &aJson);
    }
  }
};

template<typename T>
struct nlohmann::adl_serializer<std::optional<T>>
{
  static void to_json(nlohmann::json& aJson, const std::optional<T>& aValue)
  {
    aJson = aValue ? nlohmann::json(*aValue) : nlohmann::json(nullptr);
  }

  static void from_json(const nlohmann::json& aJson, std::optional<T>& aValue)
  {
    aValue = aJson.is_null() ? std::optional<T>{} : aJson.get<T>();
  }
};

template<>
struct nlohmann::adl_serializer<std::chrono::milliseconds>
{
  static void to_json(nlohmann::json& aJson, std::chrono::milliseconds aValue)
  {
    aJson = aValue.count();
  }

  static void from_json(const nlohmann::json& aJson,
                        std::chrono::milliseconds& aValue)
  {
    aValue = std::chrono::milliseconds{ aJson.get<std::int64_t>() };
  }
};
