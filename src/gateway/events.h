#ifndef LYCHEEPLANK_SRC_GATEWAY_EVENTS_H
#define LYCHEEPLANK_SRC_GATEWAY_EVENTS_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

namespace lycheeplank::gateway {

// Size limit of one event. Targets' events have some tens of bytes per token,
// so that larger ones can't be valid, and a host has little memory per caller.
inline constexpr std::size_t kMaxEventBytes = 256U << 10U;

// Splits a stream of server-sent events at the ends of events, so that only
// whole events are forwarded and a cut stream can continue after the last one.
class EventSplitter
{
public:
  // From now on each event must have data and, as its only id, the number that
  // follows the last one. aLastId: id before the first event; empty if the
  // stream starts with event 1. Any first number is taken if it isn't a number.
  void ExpectNumbers(absl::string_view aLastId);
  bool IsNumbered() const { return isNumbered_; }
  // Consumes aData and returns the events that are complete, byte for byte.
  // Leaves out events whose numeric id isn't above the last one: a stream that
  // continues at another target may repeat events that the caller has. Stops at
  // the first invalid event.
  std::string Take(std::string& aData);
  // Returns whether an event of a numbered stream is invalid; the caller must
  // stop then.
  bool IsInvalid() const { return isInvalid_; }
  // Bytes of the event that isn't complete yet.
  const std::string& Rest() const { return rest_; }
  // Returns whether an event, or all that came since the last event with data,
  // exceeds kMaxEventBytes; the caller must stop then.
  bool IsOverlong() const
  {
    return std::max(rest_.size(), idleBytes_) > kMaxEventBytes;
  }
  std::size_t UnusedBytes() const { return rest_.size() + idleBytes_; }
  void Clear();
  const std::string& LastId() const { return lastId_; }
  std::uint64_t Count() const { return count_; }
  // Number of returned events with data. Comments only keep a connection open
  // and aren't progress of an answer.
  std::uint64_t DataCount() const { return dataCount_; }

private:
  // What to do with an event.
  enum class Step
  {
    Forward,
    LeaveOut,
    Stop,
  };

  Step Check(absl::string_view aEvent,
             const std::vector<absl::string_view>& aIds) const;

  std::string rest_;
  // Length of the prefix of rest_ in which no event ends.
  std::size_t searched_ = 0;
  // Bytes of comments and left out events since the last event with data.
  std::size_t idleBytes_ = 0;
  std::string lastId_;
  absl::optional<std::uint64_t> lastNumber_;
  std::uint64_t count_ = 0;
  std::uint64_t dataCount_ = 0;
  bool isNumbered_ = false;
  bool isInvalid_ = false;
};

} // namespace lycheeplank::gateway

#endif
