#include "gateway/events.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace lycheeplank::gateway {

namespace {

// Returns the end of the first whole event, or npos.
std::size_t
EndOfEvent(absl::string_view aText)
{
  const auto plain = aText.find("\n\n");
  const auto withReturns = aText.find("\r\n\r\n");
  if (plain == absl::string_view::npos &&
      withReturns == absl::string_view::npos) {
    return absl::string_view::npos;
  }
  return plain < withReturns ? plain + 2 : withReturns + 4;
}

absl::optional<std::string>
IdOf(absl::string_view aEvent)
{
  for (absl::string_view line : absl::StrSplit(aEvent, '\n')) {
    if (absl::ConsumePrefix(&line, "id:")) {
      return std::string(absl::StripAsciiWhitespace(line));
    }
  }
  return absl::nullopt;
}

} // namespace

std::string
EventSplitter::Take(std::string& aData)
{
  rest_ += aData;
  aData.clear();
  std::string whole;
  for (auto end = EndOfEvent(rest_); end != std::string::npos;
       end = EndOfEvent(rest_)) {
    const auto event = rest_.substr(0, end);
    rest_.erase(0, end);
    std::uint64_t number = 0;
    const auto id = IdOf(event);
    const bool isNumber = id && absl::SimpleAtoi(*id, &number);
    if (isNumber && lastNumber_ && number <= *lastNumber_) {
      continue;
    }
    if (isNumber) {
      lastNumber_ = number;
    }
    if (id) {
      lastId_ = *id;
    }
    ++count_;
    whole += event;
  }
  return whole;
}

} // namespace lycheeplank::gateway
