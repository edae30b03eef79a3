#include "gateway/events.h"

#include <algorithm>
#include <array>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

namespace lycheeplank::gateway {

namespace {

constexpr absl::string_view kByteOrderMark = "\xEF\xBB\xBF";

// Fields that a line without a colon may name.
constexpr std::array<absl::string_view, 4> kStandardFields{ "data",
                                                            "event",
                                                            "id",
                                                            "retry" };

// Returns the number that an id consists of in its shortest form.
absl::optional<std::uint64_t>
NumberOf(absl::string_view aId)
{
  std::uint64_t number = 0;
  return absl::SimpleAtoi(aId, &number) && absl::StrCat(number) == aId
           ? absl::make_optional(number)
           : absl::nullopt;
}

// Returns whether a line names a field. Standard readers ignore other lines,
// but a sound target sends none.
bool
IsFieldLine(absl::string_view aName, bool aHasColon)
{
  if (!aHasColon) {
    return std::find(kStandardFields.begin(), kStandardFields.end(), aName) !=
           kStandardFields.end();
  }
  return std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
    return absl::ascii_isalnum(aByte) || aByte == '-' || aByte == '_';
  });
}

} // namespace

void
EventSplitter::ExpectNumbers(absl::string_view aLastId, const EventIds* aIds)
{
  isNumbered_ = true;
  ids_ = aIds;
  lastNumber_ = NumberOf(aLastId);
  dueNumber_ = aLastId.empty() ? 1 : lastNumber_;
  if (lastNumber_) {
    ++*dueNumber_;
  }
}

EventSplitter::Step
EventSplitter::CheckNumber(std::uint64_t aNumber) const
{
  if (held_) {
    // A single leap is rather a missing event than the service's way.
    const auto before = *held_->number_;
    return aNumber > before && (!HoldsLeap() || aNumber - before > 1)
             ? Step::Forward
             : Step::Stop;
  }
  if (lastNumber_ && aNumber <= *lastNumber_) {
    // After a leap, a number that goes back shows that the leap wasn't sound.
    return hasLeapt_ ? Step::Stop : Step::LeaveOut;
  }
  if (!event_.hasData_) {
    return Step::Stop;
  }
  if (!dueNumber_ || aNumber == *dueNumber_) {
    return Step::Forward;
  }
  const auto pattern =
    ids_ == nullptr ? IdPattern::Consecutive : ids_->pattern_;
  if (pattern == IdPattern::Unknown) {
    return hasLeapt_ ? Step::Forward : Step::HoldBack;
  }
  return pattern == IdPattern::Leaping ? Step::Forward : Step::Stop;
}

EventSplitter::Step
EventSplitter::Check() const
{
  if (isNumbered_) {
    return event_.ids_ == 1 && event_.number_ && !event_.isMalformed_
             ? CheckNumber(*event_.number_)
             : Step::Stop;
  }
  return event_.number_ && lastNumber_ && event_.number_ <= lastNumber_
           ? Step::LeaveOut
           : Step::Forward;
}

void
EventSplitter::AddLine(absl::string_view aLine, absl::string_view aEnd)
{
  if (!isNumbered_) {
    absl::StrAppend(&event_.text_, aLine, aEnd);
  }
  if (std::exchange(isFirstLine_, false)) {
    absl::ConsumePrefix(&aLine, kByteOrderMark);
  }
  if (aLine.empty() || absl::StartsWith(aLine, ":")) {
    idleBytes_ += isNumbered_ ? aLine.size() + aEnd.size() : 0;
    return;
  }
  if (isNumbered_) {
    absl::StrAppend(&event_.text_, aLine, "\n");
  }
  event_.hasFields_ = true;
  const auto colon = aLine.find(':');
  const auto name = aLine.substr(0, colon);
  event_.isMalformed_ |= !IsFieldLine(name, colon != absl::string_view::npos);
  event_.hasContent_ |= name != "retry" && name != "event";
  if (name == "data") {
    event_.hasData_ = true;
  } else if (name == "id") {
    auto value = colon == absl::string_view::npos ? absl::string_view()
                                                  : aLine.substr(colon + 1);
    absl::ConsumePrefix(&value, " ");
    event_.id_ = std::string(value);
    event_.number_ = NumberOf(value);
    ++event_.ids_;
  }
}

void
EventSplitter::EndEvent(std::string& aWhole)
{
  const bool isComment = !event_.hasFields_;
  if (isNumbered_ && !event_.hasContent_) {
    // By the standard this is no event, and readers ignore it.
    idleBytes_ += event_.text_.size();
    event_ = {};
    return;
  }
  const auto step = isComment ? Step::Forward : Check();
  const bool isLeap = isNumbered_ && dueNumber_ && event_.number_ &&
                      *event_.number_ > *dueNumber_;
  if (step == Step::Stop) {
    // The leap itself may be the service's way to number events.
    hasLeapt_ = hasLeapt_ || (isLeap && !held_ && event_.hasData_);
    isInvalid_ = true;
    return;
  }
  const auto event = std::exchange(event_, {});
  const bool isForwarded = step == Step::Forward;
  idleBytes_ =
    event.hasData_ && isForwarded ? 0 : idleBytes_ + event.text_.size();
  targetCount_ += event.hasData_ ? 1 : 0;
  leftOut_ = step == Step::LeaveOut ? event.number_ : absl::nullopt;
  if (step == Step::HoldBack) {
    held_ = event;
  }
  if (!isForwarded) {
    return;
  }
  if (held_) {
    Forward(*std::exchange(held_, absl::nullopt), aWhole);
    hasLeapt_ = true;
  } else if (dueNumber_ && event.number_) {
    hasLeapt_ = hasLeapt_ || event.number_ != dueNumber_;
    consecutive_ += targetCount_ > 1 && event.number_ == dueNumber_ ? 1 : 0;
  }
  Forward(event, aWhole);
}

void
EventSplitter::Forward(const Event& aEvent, std::string& aWhole)
{
  if (aEvent.ids_ > 0) {
    lastId_ = aEvent.id_;
    if (aEvent.number_) {
      lastNumber_ = aEvent.number_;
      dueNumber_ = *aEvent.number_ + 1;
    }
  }
  ++count_;
  dataCount_ += aEvent.hasData_ ? 1 : 0;
  absl::StrAppend(&aWhole, aEvent.text_, isNumbered_ ? "\n" : "");
}

std::string
EventSplitter::ReleaseHeld()
{
  std::string whole;
  if (held_) {
    Forward(*std::exchange(held_, absl::nullopt), whole);
  }
  return whole;
}

std::string
EventSplitter::Take(std::string& aData)
{
  std::string whole;
  absl::string_view rest = aData;
  while (!rest.empty() && !isInvalid_ && idleBytes_ <= kMaxEventBytes) {
    if (std::exchange(mayEndWithLineFeed_, false) &&
        absl::ConsumePrefix(&rest, "\n")) {
      // A pair that was split between two reads: the line has ended already,
      // and perhaps its event.
      if (!isNumbered_ && (!event_.text_.empty() || !leftOut_)) {
        (event_.text_.empty() ? whole : event_.text_) += '\n';
      }
      continue;
    }
    const auto size = rest.find_first_of("\r\n");
    if (size == absl::string_view::npos) {
      absl::StrAppend(&line_, rest);
      break;
    }
    const bool isReturn = rest[size] == '\r';
    const bool isPair =
      isReturn && size + 1 < rest.size() && rest[size + 1] == '\n';
    const auto end = rest.substr(size, isPair ? 2 : 1);
    mayEndWithLineFeed_ = isReturn && !isPair;
    absl::StrAppend(&line_, rest.substr(0, size));
    rest.remove_prefix(size + end.size());
    const bool isBlank = line_.empty();
    AddLine(line_, end);
    line_.clear();
    if (isBlank) {
      EndEvent(whole);
    }
  }
  aData.clear();
  return whole;
}

bool
EventSplitter::IsWithinEvent() const
{
  return event_.hasFields_ || !(absl::StripAsciiWhitespace(line_).empty() ||
                                absl::StartsWith(line_, ":"));
}

void
EventSplitter::Clear()
{
  if (isNumbered_ && !isInvalid_ && !event_.isMalformed_ && event_.ids_ == 1 &&
      event_.number_ && event_.number_ == dueNumber_) {
    begunNumber_ = *event_.number_;
  }
  line_.clear();
  event_ = {};
  mayEndWithLineFeed_ = false;
  isFirstLine_ = true;
  idleBytes_ = 0;
  isInvalid_ = false;
  leftOut_.reset();
  held_.reset();
  hasLeapt_ = false;
  consecutive_ = 0;
  targetCount_ = 0;
}

} // namespace lycheeplank::gateway
