#include "gateway/events.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace lycheeplank::gateway {

namespace {

// Length of the longest sequence that ends an event.
constexpr std::size_t kEndBytes = 4;

// Returns the position after the first complete event, or npos. aFrom: position
// before which no end sequence begins.
std::size_t
EndOfEvent(absl::string_view aText, std::size_t aFrom)
{
  const auto plain = aText.find("\n\n", aFrom);
  const auto withReturns = aText.find("\r\n\r\n", aFrom);
  if (plain == absl::string_view::npos &&
      withReturns == absl::string_view::npos) {
    return absl::string_view::npos;
  }
  return plain < withReturns ? plain + 2 : withReturns + 4;
}

bool
HasData(absl::string_view aEvent)
{
  return absl::StartsWith(aEvent, "data") ||
         absl::StrContains(aEvent, "\ndata");
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
  for (auto end = EndOfEvent(rest_, searched_); end != std::string::npos;
       end = EndOfEvent(rest_, 0)) {
    const auto event = rest_.substr(0, end);
    rest_.erase(0, end);
    searched_ = 0;
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
    dataCount_ += HasData(event) ? 1 : 0;
    whole += event;
  }
  searched_ = rest_.size() < kEndBytes ? 0 : rest_.size() - kEndBytes + 1;
  return whole;
}

void
EventSplitter::Clear()
{
  rest_.clear();
  searched_ = 0;
}

} // namespace lycheeplank::gateway
