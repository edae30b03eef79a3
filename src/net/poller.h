#ifndef LYCHEEPLANK_SRC_NET_POLLER_H
#define LYCHEEPLANK_SRC_NET_POLLER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <sys/epoll.h>

#include <absl/time/time.h>
#include <curl/curl.h>

namespace lycheeplank::net {

// Tells which of many sockets are ready; the cost of waiting doesn't grow with
// those that aren't.
class Poller
{
public:
  // Sockets that are served before new calls and cancellations are looked at.
  static constexpr std::size_t kSocketsAtOnce = 32;
  using Events = std::array<epoll_event, kSocketsAtOnce>;

  // Throws std::runtime_error if there is no room for open files.
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Ends a wait early, from any thread.
  void Wake() const;
  // Watches a socket for what the library wants of it.
  void Watch(curl_socket_t aSocket, int aWhat) const;
  // Waits until sockets are ready or the time is over; returns how many are
  // in aEvents.
  std::size_t Wait(Events& aEvents, absl::Duration aLimit) const;
  // Whether an event is that of Wake, which is then taken back.
  bool TakeWake(const epoll_event& aEvent) const;

private:
  int epoll_;
  int wake_;
};

// Returns what a socket is ready for in the library's words.
int
ReadyFor(std::uint32_t aEvents);

} // namespace lycheeplank::net

#endif
