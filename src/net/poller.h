#ifndef LYCHEEPLANK_SRC_NET_POLLER_H
#define LYCHEEPLANK_SRC_NET_POLLER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <sys/epoll.h>

#include <absl/time/time.h>
#include <curl/curl.h>

namespace lycheeplank::net {

// Waits with epoll for sockets that are ready. The cost of a wait doesn't grow
// with the number of idle sockets.
class Poller
{
public:
  // Maximum number of ready sockets that are handled before new calls and
  // cancellations are taken.
  static constexpr std::size_t kMaxSocketsPerWait = 32;
  using Events = std::array<epoll_event, kMaxSocketsPerWait>;

  // Throws std::runtime_error if the limit of open files is reached.
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Makes the current or next Wait return early. May be called from any thread.
  void Wake() const;
  // Watches a socket for the events that libcurl is interested in, or stops
  // watching it; aInterest is one of CURL_POLL_*.
  void Watch(curl_socket_t aSocket, int aInterest) const;
  // Waits until sockets are ready or aTimeout has passed; returns the number of
  // events written to aEvents.
  std::size_t Wait(Events& aEvents, absl::Duration aTimeout) const;
  // Returns whether an event was caused by Wake and, if so, resets the wake-up.
  bool ConsumeWake(const epoll_event& aEvent) const;

private:
  int epollFd_;
  int wakeFd_;
};

// Converts epoll events to libcurl's CURL_CSELECT_* bits.
int
ToCurlReadiness(std::uint32_t aEvents);

} // namespace lycheeplank::net

#endif
