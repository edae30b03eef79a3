#include "load/closed-loop.h"

#include <atomic>
#include <memory>

#include <absl/strings/match.h>
#include <absl/synchronization/blocking_counter.h>
#include <absl/time/clock.h>

namespace lycheeplank::load {

namespace {

// The start of a token's text in the event data of entry hosts and engines.
constexpr absl::string_view kTokenPrefix = "\"text\":\" ";

struct ClosedLoop
{
  net::Client& client_;
  const MakeCall& makeCall_;
  std::vector<CallTimes>& times_;
  absl::BlockingCounter& pending_;
  std::atomic<std::uint32_t> next_{ 0 };
};

void
CountTokens(CallTimes& aTimes, net::SseParser& aParser, absl::string_view aData)
{
  for (const auto& event : aParser.Feed(aData)) {
    if (!absl::StrContains(event.data_, kTokenPrefix)) {
      continue;
    }
    ++aTimes.tokens_;
    if (!aTimes.firstTokenAt_) {
      aTimes.firstTokenAt_ = absl::Now();
    }
  }
}

// Starts the next call if any is left.
void
StartNext(ClosedLoop& aLoop)
{
  const std::uint32_t index = aLoop.next_++;
  if (index >= aLoop.times_.size()) {
    return;
  }
  CallTimes& times = aLoop.times_[index];
  auto parser = std::make_shared<net::SseParser>();
  net::CallEvents events;
  events.onData_ = [&times, parser](absl::string_view aData) {
    CountTokens(times, *parser, aData);
  };
  events.onEnd_ = [&aLoop, &times](const net::CallEnd& aEnd) {
    times.endedAt_ = absl::Now();
    times.ok_ = aEnd.completed_ && aEnd.status_ / 100 == 2;
    StartNext(aLoop);
    aLoop.pending_.DecrementCount();
  };
  times.startedAt_ = absl::Now();
  aLoop.client_.Start(aLoop.makeCall_(index), std::move(events));
}

} // namespace

std::vector<CallTimes>
RunClosedLoop(net::Client& aClient,
              std::uint32_t aCalls,
              std::uint32_t aParallel,
              const MakeCall& aMakeCall)
{
  std::vector<CallTimes> times(aCalls);
  absl::BlockingCounter pending(static_cast<int>(aCalls));
  ClosedLoop loop{ aClient, aMakeCall, times, pending };
  for (std::uint32_t at = 0; at < aParallel; ++at) {
    StartNext(loop);
  }
  pending.Wait();
  return times;
}

} // namespace lycheeplank::load
