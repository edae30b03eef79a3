#ifndef LYCHEEPLANK_SRC_GATEWAY_EVENTS_H
#define LYCHEEPLANK_SRC_GATEWAY_EVENTS_H

#include <cstdint>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

namespace lycheeplank::gateway {

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
  void Clear() { rest_.clear(); }
  const std::string& LastId() const { return lastId_; }
  std::uint64_t Count() const { return count_; }

private:
  std::string rest_;
  std::string lastId_;
  absl::optional<std::uint64_t> lastNumber_;
  std::uint64_t count_ = 0;
};

} // namespace lycheeplank::gateway

#endif
