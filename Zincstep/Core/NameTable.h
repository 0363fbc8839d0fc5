#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace zincstep {

/// Text names of an enum, one row per value.
template <class E, std::size_t N>
using NameTable = std::array<std::pair<E, std::string_view>, N>;

/// Returns the name of `aValue`, or `unknown` if the table has no row for it.
template <class E, std::size_t N>
constexpr std::string_view NameIn(const NameTable<E, N>& aTable, E aValue) {
  for (const auto& [value, name] : aTable) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

/// Returns the value with the name `aName`, if there is one.
template <class E, std::size_t N>
constexpr std::optional<E> ValueIn(const NameTable<E, N>& aTable,
                                   std::string_view aName) {
  for (const auto& [value, name] : aTable) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace zincstep
