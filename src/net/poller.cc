#include "net/poller.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>

namespace lycheeplank::net {

Poller::Poller()
  : epoll_(epoll_create1(EPOLL_CLOEXEC))
  , wake_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wake_;
  if (epoll_ < 0 || wake_ < 0 ||
      epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event) != 0) {
    throw std::runtime_error(absl::StrCat("can't watch sockets: ",
                                          std::strerror(errno),
                                          "; raise the limit of open files"));
  }
}

Poller::~Poller()
{
  close(wake_);
  close(epoll_);
}

void
Poller::Wake() const
{
  eventfd_write(wake_, 1);
}

void
Poller::Watch(curl_socket_t aSocket, int aWhat) const
{
  epoll_event event{};
  event.data.fd = aSocket;
  if (aWhat == CURL_POLL_REMOVE) {
    epoll_ctl(epoll_, EPOLL_CTL_DEL, aSocket, &event);
    return;
  }
  event.events = ((aWhat & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                 ((aWhat & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
  if (epoll_ctl(epoll_, EPOLL_CTL_MOD, aSocket, &event) != 0) {
    epoll_ctl(epoll_, EPOLL_CTL_ADD, aSocket, &event);
  }
}

std::size_t
Poller::Wait(Events& aEvents, absl::Duration aLimit) const
{
  const auto limit = absl::ToInt64Milliseconds(
    absl::Ceil(std::max(aLimit, absl::ZeroDuration()), absl::Milliseconds(1)));
  const int ready = epoll_wait(epoll_,
                               aEvents.data(),
                               static_cast<int>(aEvents.size()),
                               static_cast<int>(limit));
  return static_cast<std::size_t>(std::max(0, ready));
}

bool
Poller::TakeWake(const epoll_event& aEvent) const
{
  eventfd_t count = 0;
  return aEvent.data.fd == wake_ && eventfd_read(wake_, &count) == 0;
}

int
ReadyFor(std::uint32_t aEvents)
{
  return ((aEvents & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0) |
         ((aEvents & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
         ((aEvents & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0);
}

} // namespace lycheeplank::net
