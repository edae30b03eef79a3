#ifndef LYCHEEPLANK_SRC_GATEWAY_EVENTS_H
#define LYCHEEPLANK_SRC_GATEWAY_EVENTS_H

#include <cstddef>
#include <cstdint>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

namespace lycheeplank::gateway {

// Bytes of one event. Targets' events have some tens of bytes for each token;
// more than this is no event, and a host has little memory for each caller.
inline constexpr std::size_t kMostEventBytes = 256U << 10U;

// Splits a stream of server-sent events where one ends, so that only whole
// events are passed on and a cut stream can go on after the last of them.
class EventSplitter
{
public:
  // Takes bytes off aData and returns the whole events among them as they are.
  // Events with an id that isn't above the last one are left out: a stream that
  // goes on elsewhere may begin with what the caller has.
  std::string Take(std::string& aData);
  // Bytes of an event that isn't whole yet.
  const std::string& Rest() const { return rest_; }
  // An event has not ended within kMostEventBytes; nothing more is taken.
  bool IsOverlong() const { return rest_.size() > kMostEventBytes; }
  void Clear();
  const std::string& LastId() const { return lastId_; }
  std::uint64_t Count() const { return count_; }
  // Events with data that were passed on. Comments keep a connection open and
  // bring an answer no further.
  std::uint64_t DataCount() const { return dataCount_; }

private:
  std::string rest_;
  // Bytes of it in which no event ends.
  std::size_t searched_ = 0;
  std::string lastId_;
  absl::optional<std::uint64_t> lastNumber_;
  std::uint64_t count_ = 0;
  std::uint64_t dataCount_ = 0;
};

} // namespace lycheeplank::gateway

#endif
