#include "gateway/events.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace lycheeplank::gateway {

namespace {

// Length of the longest sequence that ends an event.
constexpr std::size_t kEndBytes = 4;

// Returns the position after the first complete event, or npos. aFrom: position
// before which no end sequence begins. Reads each byte once, since a target may
// send very short events without end.
std::size_t
EndOfEvent(absl::string_view aText, std::size_t aFrom)
{
  for (auto at = aText.find('\n', aFrom); at != absl::string_view::npos;
       at = aText.find('\n', at + 1)) {
    const auto next = aText.substr(at + 1, 2);
    if (absl::StartsWith(next, "\n")) {
      return at + 2;
    }
    if (next == "\r\n" && at > 0 && aText[at - 1] == '\r') {
      return at + 3;
    }
  }
  return absl::string_view::npos;
}

bool
HasData(absl::string_view aEvent)
{
  return absl::StartsWith(aEvent, "data") ||
         absl::StrContains(aEvent, "\ndata");
}

bool
IsComment(absl::string_view aEvent)
{
  for (const absl::string_view line : absl::StrSplit(aEvent, '\n')) {
    if (!absl::StripAsciiWhitespace(line).empty() &&
        !absl::StartsWith(line, ":")) {
      return false;
    }
  }
  return true;
}

std::vector<absl::string_view>
IdsOf(absl::string_view aEvent)
{
  std::vector<absl::string_view> ids;
  for (absl::string_view line : absl::StrSplit(aEvent, '\n')) {
    if (absl::ConsumePrefix(&line, "id:")) {
      ids.push_back(absl::StripAsciiWhitespace(line));
    }
  }
  return ids;
}

// Returns the number that an id consists of in its shortest form.
absl::optional<std::uint64_t>
NumberOf(absl::string_view aId)
{
  std::uint64_t number = 0;
  return absl::SimpleAtoi(aId, &number) && absl::StrCat(number) == aId
           ? absl::make_optional(number)
           : absl::nullopt;
}

} // namespace

void
EventSplitter::ExpectNumbers(absl::string_view aLastId)
{
  isNumbered_ = true;
  lastNumber_ = aLastId.empty() ? 0 : NumberOf(aLastId);
}

EventSplitter::Step
EventSplitter::Check(absl::string_view aEvent,
                     const std::vector<absl::string_view>& aIds) const
{
  if (IsComment(aEvent)) {
    return Step::Forward;
  }
  const auto number = aIds.empty() ? absl::nullopt : NumberOf(aIds.front());
  if (number && lastNumber_ && *number <= *lastNumber_) {
    return Step::LeaveOut;
  }
  const bool isNext = number && (!lastNumber_ || *number == *lastNumber_ + 1);
  return !isNumbered_ || (isNext && aIds.size() == 1 && HasData(aEvent))
           ? Step::Forward
           : Step::Stop;
}

std::string
EventSplitter::Take(std::string& aData)
{
  rest_ += aData;
  aData.clear();
  std::string whole;
  std::size_t begin = 0;
  for (auto end = EndOfEvent(rest_, searched_);
       end != std::string::npos && idleBytes_ <= kMaxEventBytes;
       end = EndOfEvent(rest_, begin)) {
    const auto event = absl::string_view(rest_).substr(begin, end - begin);
    const auto ids = IdsOf(event);
    const auto step = Check(event, ids);
    if (step == Step::Stop) {
      isInvalid_ = true;
      break;
    }
    begin = end;
    const bool hasData = HasData(event) && step == Step::Forward;
    idleBytes_ = hasData ? 0 : idleBytes_ + event.size();
    if (step == Step::LeaveOut) {
      continue;
    }
    if (!ids.empty()) {
      lastId_ = std::string(ids.front());
      if (const auto number = NumberOf(lastId_)) {
        lastNumber_ = number;
      }
    }
    ++count_;
    dataCount_ += hasData ? 1 : 0;
    whole.append(event.data(), event.size());
  }
  rest_.erase(0, begin);
  searched_ = rest_.size() < kEndBytes ? 0 : rest_.size() - kEndBytes + 1;
  return whole;
}

void
EventSplitter::Clear()
{
  rest_.clear();
  searched_ = 0;
  idleBytes_ = 0;
  isInvalid_ = false;
}

} // namespace lycheeplank::gateway
