#ifndef LYCHEEPLANK_SRC_GATEWAY_LOG_H
#define LYCHEEPLANK_SRC_GATEWAY_LOG_H

#include <cstdint>
#include <string>

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

// Structured log: one JSON object per line, usually on standard output. Lines
// that exceed the rate limit or the buffer for a slow reader are dropped and
// counted.
namespace lycheeplank::gateway {

// One line under construction:
//     log.Write(Line("refused").Text("id", id).Number("wait_ms", 12));
class Line
{
public:
  explicit Line(absl::string_view aEvent);

  Line& Text(absl::string_view aName, absl::string_view aValue);
  Line& Flag(absl::string_view aName, bool aValue);
  template<typename Value>
  Line& Number(absl::string_view aName, Value aValue)
  {
    absl::StrAppend(&text_, ",\"", aName, "\":", aValue);
    return *this;
  }
  // Adds a duration in whole milliseconds; null if infinite.
  Line& Age(absl::string_view aName, absl::Duration aValue);

  const std::string& Content() const { return text_; }

private:
  std::string text_;
};

class Log
{
public:
  // aHandle: file descriptor to write to.
  Log(std::string aHost, int aHandle);

  void Write(const Line& aLine);
  std::uint64_t Dropped() const { return dropped_; }

private:
  bool TakeToken(absl::Time aNow);

  const std::string host_;
  const int handle_;
  std::string unwritten_;
  double tokens_;
  absl::Time refilledAt_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reportedDropped_ = 0;
};

} // namespace lycheeplank::gateway

#endif
