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
  : epollFd_(epoll_create1(EPOLL_CLOEXEC))
  , wakeFd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wakeFd_;
  if (epollFd_ < 0 || wakeFd_ < 0 ||
      epoll_ctl(epollFd_, EPOLL_CTL_ADD, wakeFd_, &event) != 0) {
    throw std::runtime_error(absl::StrCat("can't watch sockets: ",
                                          std::strerror(errno),
                                          "; raise the limit of open files"));
  }
}

Poller::~Poller()
{
  close(wakeFd_);
  close(epollFd_);
}

void
Poller::Wake() const
{
  eventfd_write(wakeFd_, 1);
}

void
Poller::Watch(curl_socket_t aSocket, int aInterest) const
{
  epoll_event event{};
  event.data.fd = aSocket;
  if (aInterest == CURL_POLL_REMOVE) {
    epoll_ctl(epollFd_, EPOLL_CTL_DEL, aSocket, &event);
    return;
  }
  event.events = ((aInterest & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                 ((aInterest & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
  if (epoll_ctl(epollFd_, EPOLL_CTL_MOD, aSocket, &event) != 0) {
    epoll_ctl(epollFd_, EPOLL_CTL_ADD, aSocket, &event);
  }
}

std::size_t
Poller::Wait(Events& aEvents, absl::Duration aTimeout) const
{
  const auto milliseconds = absl::ToInt64Milliseconds(absl::Ceil(
    std::max(aTimeout, absl::ZeroDuration()), absl::Milliseconds(1)));
  const int ready = epoll_wait(epollFd_,
                               aEvents.data(),
                               static_cast<int>(aEvents.size()),
                               static_cast<int>(milliseconds));
  return static_cast<std::size_t>(std::max(0, ready));
}

bool
Poller::ConsumeWake(const epoll_event& aEvent) const
{
  eventfd_t count = 0;
  return aEvent.data.fd == wakeFd_ && eventfd_read(wakeFd_, &count) == 0;
}

int
ToCurlReadiness(std::uint32_t aEvents)
{
  return ((aEvents & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0) |
         ((aEvents & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
         ((aEvents & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0);
}

} // namespace lycheeplank::net
