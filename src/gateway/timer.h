#ifndef LYCHEEPLANK_SRC_GATEWAY_TIMER_H
#define LYCHEEPLANK_SRC_GATEWAY_TIMER_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include <absl/time/time.h>
#include <boost/asio/steady_timer.hpp>

#include "gateway/socket.h"

namespace lycheeplank::gateway {

// A one-shot timer. Setting, cancelling or destroying it discards the earlier
// action, even if its time has already come and the loop hasn't run it yet.
class Timer
{
public:
  explicit Timer(Loop& aLoop)
    : timer_(aLoop)
  {
  }
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Set(absl::Duration aAfter, std::function<void()> aAction)
  {
    Cancel();
    timer_.expires_after(
      absl::ToChronoNanoseconds(std::max(aAfter, absl::ZeroDuration())));
    timer_.async_wait(
      [action = std::move(aAction), latest = generation_, own = *generation_](
        const boost::system::error_code& aError) {
        if (!aError && *latest == own) {
          action();
        }
      });
  }
  void Cancel()
  {
    // The loop runs an expired wait as a success even if it is cancelled now.
    ++*generation_;
    timer_.cancel();
  }

private:
  boost::asio::steady_timer timer_;
  // Shared with the waits, which may outlast the timer.
  std::shared_ptr<std::uint64_t> generation_ =
    std::make_shared<std::uint64_t>(0);
};

} // namespace lycheeplank::gateway

#endif
