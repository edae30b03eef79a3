#ifndef LYCHEEPLANK_SRC_GATEWAY_TIMER_H
#define LYCHEEPLANK_SRC_GATEWAY_TIMER_H

#include <algorithm>
#include <functional>
#include <utility>

#include <absl/time/time.h>
#include <boost/asio/steady_timer.hpp>

#include "gateway/socket.h"

namespace lycheeplank::gateway {

// A one-shot timer. Setting it again cancels the earlier action.
class Timer
{
public:
  explicit Timer(Loop& aLoop)
    : timer_(aLoop)
  {
  }

  void Set(absl::Duration aAfter, std::function<void()> aAction)
  {
    timer_.expires_after(
      absl::ToChronoNanoseconds(std::max(aAfter, absl::ZeroDuration())));
    timer_.async_wait(
      [action = std::move(aAction)](const boost::system::error_code& aError) {
        if (!aError) {
          action();
        }
      });
  }
  void Cancel() { timer_.cancel(); }

private:
  boost::asio::steady_timer timer_;
};

} // namespace lycheeplank::gateway

#endif
