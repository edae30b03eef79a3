#ifndef LYCHEEPLANK_SRC_CORE_JSON_H
#define LYCHEEPLANK_SRC_CORE_JSON_H

#include <cmath>
#include <cstdint>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>
#include <nlohmann/json.hpp>

// Readers of JSON fields that may be absent or of another type.
namespace lycheeplank::json {

using Json = nlohmann::json;

// Larger integers aren't exact in JSON numbers.
inline constexpr double kMaxExact = 9007199254740991.0;

// Arrays and objects within each other; copying a value takes stack for each.
inline constexpr int kMaxDepth = 64;

// Returns whether a text nests arrays and objects deeper than kMaxDepth. Other
// texts than JSON may yield either.
inline bool
IsTooDeep(absl::string_view aText)
{
  int depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char c = aText[i];
    if (isInString) {
      i += c == '\\' ? 1 : 0;
      isInString = c != '"';
    } else if (c == '"') {
      isInString = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

// Parses a text; returns a discarded value if it is not JSON or too deep.
inline Json
ParseJson(absl::string_view aText)
{
  if (IsTooDeep(aText)) {
    return Json(Json::value_t::discarded);
  }
  return Json::parse(aText.begin(), aText.end(), nullptr, false);
}

inline const Json*
Member(const Json& aObject, const char* aName)
{
  if (!aObject.is_object()) {
    return nullptr;
  }
  const auto found = aObject.find(aName);
  return found == aObject.end() ? nullptr : &*found;
}

inline std::string
TextOf(const Json& aObject, const char* aName)
{
  const auto* value = Member(aObject, aName);
  return value != nullptr && value->is_string() ? value->get<std::string>()
                                                : std::string();
}

inline double
NumberOf(const Json& aObject, const char* aName, double aDefault = 0.0)
{
  const auto* value = Member(aObject, aName);
  return value != nullptr && value->is_number() ? value->get<double>()
                                                : aDefault;
}

inline std::uint64_t
CountOf(const Json& aObject, const char* aName, std::uint64_t aDefault = 0)
{
  const auto* value = Member(aObject, aName);
  return value != nullptr && value->is_number_unsigned()
           ? value->get<std::uint64_t>()
           : aDefault;
}

// Returns a whole number from 0 to kMaxExact, however it is written; nothing if
// the field is absent or something else.
inline absl::optional<std::uint64_t>
WholeOf(const Json& aObject, const char* aName)
{
  const auto number = NumberOf(aObject, aName, -1.0);
  return number >= 0.0 && number <= kMaxExact && std::floor(number) == number
           ? absl::make_optional(static_cast<std::uint64_t>(number))
           : absl::nullopt;
}

inline bool
FlagOf(const Json& aObject, const char* aName)
{
  const auto* value = Member(aObject, aName);
  return value != nullptr && value->is_boolean() && value->get<bool>();
}

// Returns the array of a field, or an empty one.
inline const Json&
ListOf(const Json& aObject, const char* aName)
{
  static const Json kEmpty = Json::array();
  const auto* value = Member(aObject, aName);
  return value != nullptr && value->is_array() ? *value : kEmpty;
}

} // namespace lycheeplank::json

#endif
