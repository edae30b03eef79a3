#ifndef LYCHEEPLANK_SRC_GATEWAY_EVENTS_H
#define LYCHEEPLANK_SRC_GATEWAY_EVENTS_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

#include "gateway/event-ids.h"

namespace lycheeplank::gateway {

// Size limit of one event. Targets' events have some tens of bytes per token,
// so that larger ones can't be valid, and a host has little memory per caller.
inline constexpr std::size_t kMaxEventBytes = 256U << 10U;

// Splits a stream of server-sent events at the ends of events, so that only
// whole events are forwarded and a cut stream can continue after the last one.
// Lines end with LF, CRLF or CR, and fields are read as the standard of
// server-sent events defines.
class EventSplitter
{
public:
  // From now on each event must have data and, as its only id, a number above
  // the last one. Events are returned with LF as the end of lines and without
  // comments, so that each reader reads what was checked. aLastId: id before
  // the first event; empty at the start of a stream. Any first number is taken
  // if it isn't a number. aIds: how the service's ids follow each other, which
  // must outlive this object; consecutive ones, from 1, without it. While that
  // isn't known, an event whose number leaps is held back until another leap
  // follows.
  void ExpectNumbers(absl::string_view aLastId, const EventIds* aIds = nullptr);
  bool IsNumbered() const { return isNumbered_; }
  // Consumes aData and returns the events that are complete, byte for byte
  // unless they are numbered. Leaves out events whose numeric id isn't above
  // the last one: a stream that continues at another target may repeat events
  // that the caller has. Stops at the first invalid event.
  std::string Take(std::string& aData);
  // Returns whether an event of a numbered stream is invalid; the caller must
  // stop then.
  bool IsInvalid() const { return isInvalid_; }
  // Bytes of the event that isn't complete yet.
  std::string Rest() const { return event_.text_ + line_; }
  // Returns whether an event, or a line of one, has begun and isn't complete.
  bool IsWithinEvent() const;
  // Returns whether an event, or all that came since the last event with data,
  // exceeds kMaxEventBytes; the caller must stop then.
  bool IsOverlong() const { return UnusedBytes() > kMaxEventBytes; }
  // Bytes of the event that isn't complete yet, or of all that came since the
  // last event with data if these are more.
  std::size_t UnusedBytes() const
  {
    return std::max(event_.text_.size() + line_.size(), idleBytes_);
  }
  // Returns whether the target's events end before the last event that the
  // caller has or that an earlier target began, so that they can't be the whole
  // rest of the stream.
  bool EndsBeforeLast() const
  {
    return lastNumber_ && ((leftOut_ && *leftOut_ < *lastNumber_) ||
                           begunNumber_ > *lastNumber_);
  }
  // Returns whether events before the one that is held back are missing, as far
  // as the other numbers tell.
  bool LacksEvents() const { return HoldsLeap() && consecutive_ > 0; }
  // Returns the event that is held back, if there is one, because the stream
  // has ended and none follows.
  std::string ReleaseHeld();
  // How the ids of this target's events follow each other.
  IdPattern SeenPattern() const
  {
    return hasLeapt_          ? IdPattern::Leaping
           : consecutive_ > 0 ? IdPattern::Consecutive
                              : IdPattern::Unknown;
  }
  // Begins with the events of another target.
  void Clear();
  // Number of events with data of this target, those left out included.
  std::uint64_t TargetCount() const { return targetCount_; }
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
    HoldBack,
    Stop,
  };

  // The lines of an event so far.
  struct Event
  {
    std::string text_;
    // The last id, and the number that it consists of.
    std::string id_;
    absl::optional<std::uint64_t> number_;
    std::size_t ids_ = 0;
    bool hasFields_ = false;
    bool hasData_ = false;
    bool isMalformed_ = false;
    // It has fields other than those that only set up a reader.
    bool hasContent_ = false;
  };

  // Adds a line without its end; aEnd: the bytes of the end.
  void AddLine(absl::string_view aLine, absl::string_view aEnd);
  // Ends the event and appends it to aWhole if it is to be forwarded.
  void EndEvent(std::string& aWhole);
  Step Check() const;
  Step CheckNumber(std::uint64_t aNumber) const;
  // Returns whether the event that is held back isn't one before the due one.
  bool HoldsLeap() const { return held_ && held_->number_ > dueNumber_; }
  // Counts an event that is to be forwarded and appends it to aWhole.
  void Forward(const Event& aEvent, std::string& aWhole);

  // The line and the event that aren't complete yet.
  std::string line_;
  Event event_;
  // The last line ended with CR: LF would belong to its end.
  bool mayEndWithLineFeed_ = false;
  bool isFirstLine_ = true;
  // Bytes of comments and left out events since the last event with data.
  std::size_t idleBytes_ = 0;
  std::string lastId_;
  absl::optional<std::uint64_t> lastNumber_;
  // The number after the last one; no value if any may follow.
  absl::optional<std::uint64_t> dueNumber_;
  const EventIds* ids_ = nullptr;
  absl::optional<Event> held_;
  // This target's numbers have leapt, and how often they haven't.
  bool hasLeapt_ = false;
  std::uint64_t consecutive_ = 0;
  std::uint64_t count_ = 0;
  std::uint64_t dataCount_ = 0;
  std::uint64_t targetCount_ = 0;
  bool isNumbered_ = false;
  bool isInvalid_ = false;
  // Number of the last event if it was left out.
  absl::optional<std::uint64_t> leftOut_;
  // Number of an event that an earlier target began and didn't end.
  std::uint64_t begunNumber_ = 0;
};

} // namespace lycheeplank::gateway

#endif
