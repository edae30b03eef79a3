#include "gateway/log.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>
#include <utility>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Rate limit and burst of lines: several lines for each request that a host of
// the usual size handles.
constexpr double kLinesPerSecond = 400.0;
constexpr double kLineBurst = 2000.0;
// Limit of text that waits for a slow reader.
constexpr std::size_t kMaxUnwrittenBytes = 256U << 10U;
// A write of this size doesn't block once poll reports the pipe writable.
constexpr std::size_t kPipeBytes = 4096;

void
AppendEscaped(std::string& aText, absl::string_view aValue)
{
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aText.push_back('\\');
      aText.push_back(c);
    } else if (static_cast<unsigned char>(c) < ' ') {
      absl::StrAppend(
        &aText,
        "\\u00",
        absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
    } else {
      aText.push_back(c);
    }
  }
}

bool
IsWritable(int aHandle)
{
  pollfd poll{ aHandle, POLLOUT, 0 };
  return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
}

} // namespace

Line::Line(absl::string_view aEvent)
  : text_(absl::StrCat(",\"event\":\"", aEvent, "\""))
{
}

Line&
Line::Text(absl::string_view aName, absl::string_view aValue)
{
  absl::StrAppend(&text_, ",\"", aName, "\":\"");
  AppendEscaped(text_, aValue);
  text_.push_back('"');
  return *this;
}

Line&
Line::Flag(absl::string_view aName, bool aValue)
{
  absl::StrAppend(&text_, ",\"", aName, "\":", aValue ? "true" : "false");
  return *this;
}

Line&
Line::Age(absl::string_view aName, absl::Duration aValue)
{
  if (aValue == absl::InfiniteDuration() ||
      aValue == -absl::InfiniteDuration()) {
    absl::StrAppend(&text_, ",\"", aName, "\":null");
    return *this;
  }
  return Number(aName, absl::ToInt64Milliseconds(aValue));
}

Log::Log(std::string aHost, int aHandle)
  : host_(std::move(aHost))
  , handle_(aHandle)
  , tokens_(kLineBurst)
  , refilledAt_(Now())
{
}

bool
Log::TakeToken(absl::Time aNow)
{
  tokens_ = std::min(kLineBurst,
                     tokens_ + kLinesPerSecond *
                                 absl::ToDoubleSeconds(aNow - refilledAt_));
  refilledAt_ = aNow;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void
Log::Write(const Line& aLine)
{
  const auto now = Now();
  if (!TakeToken(now) || unwritten_.size() > kMaxUnwrittenBytes) {
    ++dropped_;
    return;
  }
  absl::StrAppend(&unwritten_,
                  "{\"at_ms\":",
                  absl::ToUnixMillis(absl::Now()),
                  ",\"host\":\"",
                  host_,
                  "\"",
                  aLine.Content());
  if (reportedDropped_ != dropped_) {
    absl::StrAppend(&unwritten_, ",\"dropped_lines\":", dropped_);
    reportedDropped_ = dropped_;
  }
  unwritten_ += "}\n";
  while (!unwritten_.empty() && IsWritable(handle_)) {
    const auto count = ::write(
      handle_, unwritten_.data(), std::min(kPipeBytes, unwritten_.size()));
    if (count <= 0) {
      break;
    }
    unwritten_.erase(0, static_cast<std::size_t>(count));
  }
}

} // namespace lycheeplank::gateway
