#ifndef LYCHEEPLANK_TEST_CLAIMS_FAKES_H
#define LYCHEEPLANK_TEST_CLAIMS_FAKES_H

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include "lycheeplank/claims.h"
#include "lycheeplank/platform.h"

// A virtual clock and an in-memory platform for tests of the claims.
namespace lycheeplank::claims::test {

// Runs functions in the order of their virtual times.
struct Timeline
{
  using Task = std::function<void()>;

  void At(absl::Time aTime, Task aTask)
  {
    tasks_.emplace(std::make_pair(aTime, ++lastSequence_), std::move(aTask));
  }
  void After(absl::Duration aDelay, Task aTask)
  {
    At(now_ + aDelay, std::move(aTask));
  }
  void RunUntil(absl::Time aEnd)
  {
    while (!tasks_.empty() && tasks_.begin()->first.first <= aEnd) {
      auto first = tasks_.extract(tasks_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = aEnd;
  }

  absl::Time now_ = absl::FromUnixSeconds(1800000000);
  std::uint64_t lastSequence_ = 0;
  std::map<std::pair<absl::Time, std::uint64_t>, Task> tasks_;
};

// Probability of each platform fault, in thousandths of the calls.
struct PlatformFaults
{
  int refused_ = 0;
  // The command and its reply are lost; the command has no effect.
  int lostBeforeEffect_ = 0;
  // The reply is lost after the command took effect.
  int lostAfterEffect_ = 0;
  // The reply is lost and the command takes effect later.
  int delayedEffect_ = 0;
  // The command and its reply are delayed, but not lost.
  int slowCall_ = 0;
  bool isDown_ = false;
  // Writes take effect regardless of the version that they expect.
  bool ignoresExpectedVersion_ = false;
};

// An in-memory version of the key-value service in docs/stand-ins.md, without
// its HTTP interface.
struct FakePlatform
{
  struct Value
  {
    std::uint64_t version_ = 0;
    std::string value_;
  };

  platform::Reply Apply(const platform::Command& aCommand)
  {
    ++calls_;
    bytesWritten_ += aCommand.operation_ == platform::Operation::Write
                       ? aCommand.value_.size()
                       : 0;
    platform::Reply reply;
    reply.id_ = aCommand.id_;
    switch (aCommand.operation_) {
      case platform::Operation::Read:
        return Read(aCommand, std::move(reply));
      case platform::Operation::Write:
        return Write(aCommand, std::move(reply));
      case platform::Operation::Delete:
        reply.outcome_ = values_.erase(aCommand.key_) > 0
                           ? platform::Outcome::Ok
                           : platform::Outcome::Absent;
        return reply;
      case platform::Operation::List:
        return List(aCommand, std::move(reply));
      default:
        reply.outcome_ = platform::Outcome::Refused;
        return reply;
    }
  }

  platform::Reply Read(const platform::Command& aCommand,
                       platform::Reply aReply)
  {
    const auto found = values_.find(aCommand.key_);
    aReply.outcome_ = platform::Outcome::Absent;
    if (found != values_.end()) {
      aReply.outcome_ = platform::Outcome::Ok;
      aReply.version_ = found->second.version_;
      aReply.value_ = found->second.value_;
    }
    return aReply;
  }

  platform::Reply Write(const platform::Command& aCommand,
                        platform::Reply aReply)
  {
    const auto found = values_.find(aCommand.key_);
    const std::uint64_t current =
      found == values_.end() ? 0 : found->second.version_;
    if (aCommand.expect_ && *aCommand.expect_ != current &&
        !faults_.ignoresExpectedVersion_) {
      aReply.outcome_ = platform::Outcome::Conflict;
      aReply.version_ = current;
      if (found != values_.end()) {
        aReply.value_ = found->second.value_;
      }
      return aReply;
    }
    values_[aCommand.key_] = { ++lastVersion_, aCommand.value_ };
    ++writes_;
    largestValue_ = std::max(largestValue_, aCommand.value_.size());
    aReply.outcome_ = platform::Outcome::Ok;
    aReply.version_ = lastVersion_;
    return aReply;
  }

  platform::Reply List(const platform::Command& aCommand,
                       platform::Reply aReply)
  {
    constexpr std::size_t kPageSize = 5;
    aReply.outcome_ = platform::Outcome::Ok;
    for (auto at =
           values_.upper_bound(std::max(aCommand.key_, aCommand.value_));
         at != values_.end() && absl::StartsWith(at->first, aCommand.key_);
         ++at) {
      if (aReply.entries_.size() == kPageSize) {
        aReply.more_ = true;
        break;
      }
      aReply.entries_.push_back({ at->first, at->second.version_ });
    }
    return aReply;
  }

  std::map<std::string, Value> values_;
  std::uint64_t lastVersion_ = 0;
  PlatformFaults faults_;
  std::uint64_t calls_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t bytesWritten_ = 0;
  std::size_t largestValue_ = 0;
};

// Returns a UUIDv7 with the given time and serial number.
inline std::string
TimedKey(absl::Time aTime, std::uint64_t aSerial)
{
  const auto ms = static_cast<std::uint64_t>(absl::ToUnixMillis(aTime));
  return absl::StrFormat(
    "%08x-%04x-7000-8000-%012x", ms >> 16U, ms & 0xffffU, aSerial);
}

} // namespace lycheeplank::claims::test

#endif
