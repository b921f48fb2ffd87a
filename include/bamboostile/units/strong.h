#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace bamboostile {

/**
 * @brief A value that is compatible only with values of the same tag.
 *
 * Ids and counts of different kinds share a representation (a string, a
 * 64-bit number); the tag makes them distinct types at compile time.
 */
template<typename Tag, typename T>
class Strong
{
public:
  using Value = T;

  Strong() = default;
  explicit Strong(T aValue)
    : m_value(std::move(aValue))
  {
  }

  const T& Get() const noexcept { return m_value; }

  auto operator<=>(const Strong&) const = default;

private:
  T m_value{};
};

} // namespace bamboostile

template<typename Tag, typename T>
struct std::hash<bamboostile::Strong<Tag, T>>
{
  std::size_t operator()(const bamboostile::Strong<Tag, T>& aValue) const
  {
    return std::hash<T>{}(aValue.Get());
  }
};
