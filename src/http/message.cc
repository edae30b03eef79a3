#include "http/message.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>

namespace lycheeplank::http {

namespace {

constexpr std::array<absl::string_view, 9> kHopFields{
  "connection", "keep-alive", "proxy-connection",    "transfer-encoding",  "te",
  "trailer",    "upgrade",    "proxy-authorization", "proxy-authenticate",
};

void
AppendFields(std::string& aText, const Fields& aFields)
{
  for (const auto& field : aFields) {
    absl::StrAppend(&aText, field.name_, ": ", field.value_, "\r\n");
  }
  aText += "\r\n";
}

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = static_cast<char>(aDigit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string
Decode(absl::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() &&
        HexValue(aText[i + 1]) >= 0 && HexValue(aText[i + 2]) >= 0) {
      text.push_back(static_cast<char>(HexValue(aText[i + 1]) * 16 +
                                       HexValue(aText[i + 2])));
      i += 2;
    } else {
      text.push_back(aText[i] == '+' ? ' ' : aText[i]);
    }
  }
  return text;
}

} // namespace

const std::string*
FindField(const Fields& aFields, absl::string_view aName)
{
  const auto found =
    std::find_if(aFields.begin(), aFields.end(), [aName](const Field& aField) {
      return absl::EqualsIgnoreCase(aField.name_, aName);
    });
  return found == aFields.end() ? nullptr : &found->value_;
}

std::size_t
CountFields(const Fields& aFields, absl::string_view aName)
{
  return static_cast<std::size_t>(
    std::count_if(aFields.begin(), aFields.end(), [aName](const Field& aField) {
      return absl::EqualsIgnoreCase(aField.name_, aName);
    }));
}

Fields
EndToEndFields(const Fields& aFields)
{
  // Names that Connection lists; few heads have any.
  absl::flat_hash_set<std::string> listed;
  for (const auto& field : aFields) {
    if (absl::EqualsIgnoreCase(field.name_, "connection")) {
      for (const absl::string_view name :
           absl::StrSplit(field.value_, absl::ByAnyChar(", \t"))) {
        listed.insert(absl::AsciiStrToLower(name));
      }
    }
  }
  const auto isHopField = [&listed](const Field& aField) {
    return std::any_of(kHopFields.begin(),
                       kHopFields.end(),
                       [&aField](absl::string_view aName) {
                         return absl::EqualsIgnoreCase(aField.name_, aName);
                       }) ||
           (!listed.empty() &&
            listed.contains(absl::AsciiStrToLower(aField.name_)));
  };
  Fields forwarded;
  std::remove_copy_if(
    aFields.begin(), aFields.end(), std::back_inserter(forwarded), isHopField);
  return forwarded;
}

std::string
WriteRequestHead(absl::string_view aMethod,
                 absl::string_view aTarget,
                 const Fields& aFields)
{
  std::string text = absl::StrCat(aMethod, " ", aTarget, " HTTP/1.1\r\n");
  AppendFields(text, aFields);
  return text;
}

std::string
WriteResponseHead(int aStatus, absl::string_view aReason, const Fields& aFields)
{
  std::string text = absl::StrCat("HTTP/1.1 ", aStatus, " ", aReason, "\r\n");
  AppendFields(text, aFields);
  return text;
}

absl::string_view
ReasonOf(int aStatus)
{
  const auto text = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(static_cast<unsigned>(aStatus)));
  return { text.data(), text.size() };
}

void
AppendChunk(std::string& aOut, absl::string_view aData)
{
  if (!aData.empty()) {
    absl::StrAppend(&aOut, absl::Hex(aData.size()), "\r\n", aData, "\r\n");
  }
}

std::string
QueryParameter(absl::string_view aTarget, absl::string_view aName)
{
  const auto start = aTarget.find('?');
  if (start == absl::string_view::npos) {
    return {};
  }
  for (const absl::string_view part :
       absl::StrSplit(aTarget.substr(start + 1), '&')) {
    const auto equals = part.find('=');
    if (part.substr(0, equals) == aName && equals != absl::string_view::npos) {
      return Decode(part.substr(equals + 1));
    }
  }
  return {};
}

} // namespace lycheeplank::http
