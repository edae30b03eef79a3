#ifndef LYCHEEPLANK_SRC_GATEWAY_EVENTS_H
#define LYCHEEPLANK_SRC_GATEWAY_EVENTS_H

#include <cstddef>
#include <cstdint>
#include <string>

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
  // Consumes aData and returns the events that are complete, byte for byte.
  // Leaves out events whose numeric id isn't above the last one: a stream that
  // continues at another target may repeat events that the caller has.
  std::string Take(std::string& aData);
  // Bytes of the event that isn't complete yet.
  const std::string& Rest() const { return rest_; }
  // Returns whether an event exceeds kMaxEventBytes; the caller must stop then.
  bool IsOverlong() const { return rest_.size() > kMaxEventBytes; }
  void Clear();
  const std::string& LastId() const { return lastId_; }
  std::uint64_t Count() const { return count_; }
  // Number of returned events with data. Comments only keep a connection open
  // and aren't progress of an answer.
  std::uint64_t DataCount() const { return dataCount_; }

private:
  std::string rest_;
  // Length of the prefix of rest_ in which no event ends.
  std::size_t searched_ = 0;
  std::string lastId_;
  absl::optional<std::uint64_t> lastNumber_;
  std::uint64_t count_ = 0;
  std::uint64_t dataCount_ = 0;
};

} // namespace lycheeplank::gateway

#endif
