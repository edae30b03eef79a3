#include "config/reader.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/strip.h>

namespace lycheeplank::config {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kDigestDigits = 64;
constexpr std::size_t kMaxQuotedLength = 40;
constexpr std::uint32_t kMaxPort = 65535;

struct SizeUnit
{
  absl::string_view name_;
  double bytes_;
};

// Longer names come first, because "B" is also a suffix of "MiB".
constexpr std::array<SizeUnit, 10> kSizeUnits{ {
  { "KiB", 1024.0 },
  { "MiB", 1048576.0 },
  { "GiB", 1073741824.0 },
  { "TiB", 1099511627776.0 },
  { "kB", 1e3 },
  { "KB", 1e3 },
  { "MB", 1e6 },
  { "GB", 1e9 },
  { "TB", 1e12 },
  { "B", 1.0 },
} };

constexpr absl::string_view kNameHint =
  "is not a name; allowed are letters, digits, '.', '_' and '-', at most 128, "
  "starting with a letter or digit";

// Returns a node's value, quoted, truncated and with printable characters only,
// for use in a message.
std::string
QuotedValue(const YAML::Node& aNode)
{
  if (!aNode.IsScalar()) {
    return aNode.IsMap()        ? "a mapping"
           : aNode.IsSequence() ? "a list"
                                : "an empty value";
  }
  std::string text = aNode.Scalar().substr(0, kMaxQuotedLength);
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aChar) { return !absl::ascii_isprint(aChar); },
    '?');
  return absl::StrCat("'", text, "'");
}

void
AddValueProblem(Reader& aReader,
                const LocatedNode& aLocated,
                absl::string_view aAllowed)
{
  AddProblem(aReader,
             LineOf(aReader, aLocated.node_),
             aLocated.path_,
             absl::StrCat(QuotedValue(aLocated.node_), " is not ", aAllowed));
}

bool
InRange(double aValue, Range aRange)
{
  return aValue >= aRange.min_ && aValue <= aRange.max_;
}

std::string
RangeText(Range aRange)
{
  return absl::StrCat(aRange.min_, " to ", aRange.max_);
}

bool
IsName(absl::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxNameLength ||
      !absl::ascii_isalnum(aText[0])) {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return absl::ascii_isalnum(aChar) || aChar == '.' || aChar == '_' ||
           aChar == '-';
  });
}

bool
IsUrl(absl::string_view aText)
{
  if (!absl::ConsumePrefix(&aText, "http://")) {
    return false;
  }
  const std::size_t colon = aText.rfind(':');
  if (colon == absl::string_view::npos || colon == 0) {
    return false;
  }
  const absl::string_view port = aText.substr(colon + 1);
  std::uint32_t number = 0;
  return std::all_of(port.begin(), port.end(), absl::ascii_isdigit) &&
         absl::SimpleAtoi(port, &number) && number > 0 && number <= kMaxPort &&
         std::all_of(aText.begin(), aText.begin() + colon, [](char aChar) {
           return absl::ascii_isalnum(aChar) || aChar == '.' || aChar == '-' ||
                  aChar == '[' || aChar == ']' || aChar == ':';
         });
}

bool
ParseSize(absl::string_view aText, double& aBytes)
{
  double factor = 1.0;
  for (const auto& unit : kSizeUnits) {
    if (absl::ConsumeSuffix(&aText, unit.name_)) {
      factor = unit.bytes_;
      break;
    }
  }
  double number = 0;
  if (!absl::SimpleAtod(aText, &number)) {
    return false;
  }
  aBytes = number * factor;
  return true;
}

} // namespace

void
AddProblem(Reader& aReader,
           std::uint32_t aLine,
           std::string aField,
           std::string aMessage)
{
  if (aReader.problems_.size() < kMaxProblems) {
    aReader.problems_.push_back(
      { aReader.section_, aLine, std::move(aField), std::move(aMessage) });
  }
}

void
AddFieldProblem(Reader& aReader,
                const std::string& aField,
                std::string aMessage)
{
  const auto found = aReader.lines_.find(aField);
  const std::uint32_t line =
    found == aReader.lines_.end() ? aReader.firstLine_ : found->second;
  AddProblem(aReader, line, aField, std::move(aMessage));
}

std::uint32_t
LineOf(const Reader& aReader, const YAML::Node& aNode)
{
  const int line = aNode.Mark().line;
  return aReader.firstLine_ + (line > 0 ? static_cast<std::uint32_t>(line) : 0);
}

std::string
SubPath(const std::string& aPath, absl::string_view aField)
{
  return aPath.empty() ? std::string(aField) : absl::StrCat(aPath, ".", aField);
}

void
ReadNumber(Reader& aReader,
           const LocatedNode& aLocated,
           Range aRange,
           double& aOut)
{
  double value = 0;
  if (!aLocated.node_.IsScalar() ||
      !absl::SimpleAtod(aLocated.node_.Scalar(), &value) ||
      !InRange(value, aRange)) {
    AddValueProblem(
      aReader, aLocated, absl::StrCat("a number from ", RangeText(aRange)));
    return;
  }
  aOut = value;
}

void
ReadNumber(Reader& aReader,
           const LocatedNode& aLocated,
           Range aRange,
           std::uint32_t& aOut)
{
  std::uint32_t value = 0;
  if (!aLocated.node_.IsScalar() ||
      !absl::SimpleAtoi(aLocated.node_.Scalar(), &value) ||
      !InRange(value, aRange)) {
    AddValueProblem(aReader,
                    aLocated,
                    absl::StrCat("a whole number from ", RangeText(aRange)));
    return;
  }
  aOut = value;
}

void
ReadSize(Reader& aReader,
         const LocatedNode& aLocated,
         Range aRange,
         double& aOut)
{
  double bytes = 0;
  if (!aLocated.node_.IsScalar() ||
      !ParseSize(aLocated.node_.Scalar(), bytes) || !InRange(bytes, aRange)) {
    AddValueProblem(aReader,
                    aLocated,
                    absl::StrCat("a size like 64MB or 1GiB from ",
                                 RangeText(aRange),
                                 " bytes"));
    return;
  }
  aOut = bytes;
}

void
ReadSize(Reader& aReader,
         const LocatedNode& aLocated,
         Range aRange,
         std::uint64_t& aOut)
{
  double bytes = static_cast<double>(aOut);
  ReadSize(aReader, aLocated, aRange, bytes);
  aOut = static_cast<std::uint64_t>(std::llround(bytes));
}

void
ReadDuration(Reader& aReader,
             const LocatedNode& aLocated,
             Range aSeconds,
             absl::Duration& aOut)
{
  absl::Duration value;
  if (!aLocated.node_.IsScalar() ||
      !absl::ParseDuration(aLocated.node_.Scalar(), &value) ||
      !InRange(absl::ToDoubleSeconds(value), aSeconds)) {
    AddValueProblem(
      aReader,
      aLocated,
      absl::StrCat("a duration like 14s or 24h from ",
                   absl::FormatDuration(absl::Seconds(aSeconds.min_)),
                   " to ",
                   absl::FormatDuration(absl::Seconds(aSeconds.max_))));
    return;
  }
  aOut = value;
}

void
ReadFlag(Reader& aReader, const LocatedNode& aLocated, bool& aOut)
{
  const std::string& text = aLocated.node_.Scalar();
  if (text != "true" && text != "false") {
    AddValueProblem(aReader, aLocated, "true or false");
    return;
  }
  aOut = text == "true";
}

void
ReadChoice(Reader& aReader,
           const LocatedNode& aLocated,
           const std::string& aAllowed,
           const std::function<bool(absl::string_view)>& aAssign)
{
  if (!aLocated.node_.IsScalar() || !aAssign(aLocated.node_.Scalar())) {
    AddValueProblem(aReader, aLocated, absl::StrCat("one of ", aAllowed));
  }
}

void
ReadName(Reader& aReader, const LocatedNode& aLocated, std::string& aOut)
{
  if (!aLocated.node_.IsScalar() || !IsName(aLocated.node_.Scalar())) {
    AddProblem(aReader,
               LineOf(aReader, aLocated.node_),
               aLocated.path_,
               absl::StrCat(QuotedValue(aLocated.node_), " ", kNameHint));
    return;
  }
  aOut = aLocated.node_.Scalar();
}

void
ReadNames(Reader& aReader,
          const LocatedNode& aLocated,
          bool aStarAllowed,
          std::vector<std::string>& aOut)
{
  if (!aLocated.node_.IsSequence()) {
    AddValueProblem(aReader, aLocated, "a list of names like [a, b]");
    return;
  }
  absl::flat_hash_set<std::string> seen;
  for (const auto& item : aLocated.node_) {
    std::string name;
    if (aStarAllowed && item.IsScalar() && item.Scalar() == "*") {
      name = "*";
    } else {
      ReadName(aReader, { aLocated.path_, item }, name);
    }
    if (name.empty()) {
      continue;
    }
    if (!seen.insert(name).second) {
      AddProblem(
        aReader,
        LineOf(aReader, item),
        aLocated.path_,
        absl::StrCat("'", name, "' is given twice; remove one of them"));
      continue;
    }
    aOut.push_back(std::move(name));
  }
}

void
ReadUrl(Reader& aReader, const LocatedNode& aLocated, std::string& aOut)
{
  if (!aLocated.node_.IsScalar() || !IsUrl(aLocated.node_.Scalar())) {
    AddValueProblem(aReader, aLocated, "an address like http://10.0.0.1:8000");
    return;
  }
  aOut = aLocated.node_.Scalar();
}

void
ReadDigests(Reader& aReader,
            const LocatedNode& aLocated,
            std::vector<std::string>& aOut)
{
  if (!aLocated.node_.IsSequence()) {
    AddValueProblem(aReader, aLocated, "a list of SHA-256 digests");
    return;
  }
  for (const auto& item : aLocated.node_) {
    const std::string digest = absl::AsciiStrToLower(item.Scalar());
    if (digest.size() != kDigestDigits ||
        !std::all_of(digest.begin(), digest.end(), absl::ascii_isxdigit)) {
      AddValueProblem(aReader,
                      { aLocated.path_, item },
                      "a SHA-256 digest of 64 hexadecimal digits, as "
                      "'lycheeplank key digest' prints it");
      continue;
    }
    aOut.push_back(digest);
  }
}

void
ForEachPair(Reader& aReader,
            const LocatedNode& aLocated,
            const std::function<void(const std::string& aKey,
                                     const LocatedNode& aValue)>& aVisit)
{
  if (!aLocated.node_.IsMap()) {
    AddValueProblem(aReader, aLocated, "a mapping of names to values");
    return;
  }
  absl::flat_hash_set<std::string> seen;
  for (const auto& pair : aLocated.node_) {
    const std::uint32_t line = LineOf(aReader, pair.first);
    if (!pair.first.IsScalar() || !IsName(pair.first.Scalar())) {
      AddProblem(
        aReader,
        line,
        aLocated.path_,
        absl::StrCat("the key ", QuotedValue(pair.first), " ", kNameHint));
      continue;
    }
    const std::string& key = pair.first.Scalar();
    const std::string path = SubPath(aLocated.path_, key);
    if (!seen.insert(key).second) {
      AddProblem(aReader, line, path, "is given twice; remove one of them");
      continue;
    }
    aReader.lines_[path] = line;
    aVisit(key, { path, pair.second });
  }
}

void
AddUnknownFieldProblem(Reader& aReader,
                       const LocatedNode& aLocated,
                       const std::vector<absl::string_view>& aAllowed)
{
  AddFieldProblem(aReader,
                  aLocated.path_,
                  absl::StrCat("is no field of this; allowed are ",
                               absl::StrJoin(aAllowed, ", ")));
}

} // namespace lycheeplank::config
