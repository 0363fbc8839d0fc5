#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace zincstep {

/// Maximum size of a value in the store.
inline constexpr std::size_t kValueBytes = 1'000'000;

inline std::string Repeat(std::string_view aText, std::size_t aCount) {
  std::string text;
  text.reserve(aText.size() * aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

/// Nested documents of about a megabyte: arrays, objects, both in turn, and
/// arrays that are never closed.
inline std::vector<std::string> NestedTexts() {
  constexpr std::size_t kArrays = kValueBytes / 2;
  constexpr std::size_t kObjects = kValueBytes / 7;
  constexpr std::size_t kPairs = kValueBytes / 8;
  return {Repeat("[", kArrays) + Repeat("]", kArrays),
          Repeat(R"({"a":)", kObjects) + "1" + Repeat("}", kObjects),
          Repeat(R"([{"a":)", kPairs) + "1" + Repeat("}]", kPairs),
          Repeat("[", 150'000) + Repeat("]", 150'000),
          Repeat("[", kValueBytes),
          Repeat(R"({"a":)", kValueBytes / 5)};
}

/// `NestedTexts`, each also as the field `aField` in the object whose other
/// fields are `aFields`.
inline std::vector<std::string> NestedIn(
    const std::string& aFields, const std::vector<std::string>& aNames) {
  std::vector<std::string> texts = NestedTexts();
  for (const std::string& nested : NestedTexts()) {
    for (const std::string& name : aNames) {
      texts.push_back("{" + aFields + (aFields.empty() ? "" : ",") + "\"" +
                      name + "\":" + nested + "}");
    }
  }
  return texts;
}

}  // namespace zincstep
