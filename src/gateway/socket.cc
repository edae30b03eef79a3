#include "gateway/socket.h"

#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

#include <absl/strings/numbers.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lycheeplank::gateway {

namespace {

using boost::system::error_code;
namespace asio = boost::asio;

// Size of the read buffer; larger than the links' TCP windows.
constexpr std::size_t kReadBufferBytes = 64U << 10U;
// Limit of bytes read from one connection before others are served.
constexpr std::size_t kMaxReadBytes = 256U << 10U;
// Limit of connections that wait to be accepted.
constexpr int kBacklog = 1024;
// TCP_USER_TIMEOUT: a peer that acknowledges nothing for this time counts as
// gone. Shorter than the times in which the loss of leases and the leaving of
// targets must be detected. The kernel also applies it to a peer whose window
// stays closed because it doesn't read.
constexpr unsigned kUserTimeoutMs = 1500;
// TCP keep-alive probes: idle time before the first, interval, and number of
// lost probes after which the connection fails.
constexpr int kProbeStartSeconds = 1;
constexpr int kProbePeriodSeconds = 1;
constexpr int kProbeLosses = 2;
// Time in which a peer must close its side after the last answer.
constexpr auto kFinishTime = std::chrono::seconds(1);
// Longest time in which a slow peer takes nothing. The kernel takes more bytes
// only when a good part of its buffer, which may have megabytes, is free.
constexpr auto kMaxWriteStall = std::chrono::seconds(20);

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // Where the operating system lacks an option, the connection works without
  // it; the timeouts of calls still apply.
  (void)setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

void
Prepare(Tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.non_blocking(true, ignored);
  const int handle = aSocket.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeStartSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbePeriodSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbeLosses);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

Socket::Socket(Tcp::socket aSocket)
  : socket_(std::move(aSocket))
  , finishTimer_(socket_.get_executor())
{
  Prepare(socket_);
}

Socket::~Socket() = default;

void
Socket::Open(SocketEvents aEvents)
{
  events_ = std::move(aEvents);
  WaitRead();
}

void
Socket::AllowPauses()
{
  if (!std::exchange(allowsPauses_, true) && isOpen_) {
    SetOption(
      socket_.native_handle(),
      IPPROTO_TCP,
      TCP_USER_TIMEOUT,
      static_cast<int>(std::chrono::milliseconds(kMaxWriteStall).count()));
  }
}

void
Socket::SetReading(bool aReading)
{
  reading_ = aReading;
  WaitRead();
}

void
Socket::WaitRead()
{
  if (!isOpen_ || readPending_ || !reading_) {
    return;
  }
  readPending_ = true;
  socket_.async_wait(Tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& aError) {
                       self->readPending_ = false;
                       if (self->isOpen_ &&
                           aError != asio::error::operation_aborted) {
                         self->Read();
                       }
                     });
}

void
Socket::Read()
{
  if (!reading_) {
    return;
  }
  static thread_local std::array<char, kReadBufferBytes> buffer;
  error_code error;
  std::size_t total = 0;
  while (total < kMaxReadBytes) {
    const auto count = socket_.read_some(asio::buffer(buffer), error);
    unread_.append(buffer.data(), count);
    total += count;
    if (error || count < buffer.size()) {
      break;
    }
  }
  const auto self = shared_from_this();
  if (total > 0 && events_.onData_) {
    events_.onData_(unread_);
  }
  if (error && error != asio::error::would_block && isOpen_) {
    const auto onClosed = std::move(events_.onClosed_);
    // The kernel reports a reset or a timeout only once. After a write has
    // failed with it, reads end as after an orderly close.
    const auto end = error == asio::error::eof && !writeFailed_
                       ? PeerEnd::Closed
                       : PeerEnd::Broken;
    if (onClosed) {
      onClosed(end);
    }
    Close();
    return;
  }
  WaitRead();
}

void
Socket::Send(absl::string_view aData)
{
  if (!isOpen_ || writeFailed_) {
    return;
  }
  CopyShared();
  unsent_.append(aData.data(), aData.size());
  if (!writePending_) {
    Write();
  }
}

void
Socket::SendShared(std::shared_ptr<const std::string> aText)
{
  if (!isOpen_ || writeFailed_) {
    return;
  }
  CopyShared();
  shared_ = std::move(aText);
  sharedSent_ = 0;
  if (!writePending_) {
    Write();
  }
}

void
Socket::CopyShared()
{
  if (shared_) {
    unsent_.append(*shared_, sharedSent_);
    shared_ = nullptr;
  }
}

void
Socket::Write()
{
  while (Unsent() > 0 && WriteSome()) {
  }
  if (shared_ && sharedSent_ == shared_->size()) {
    shared_ = nullptr;
  }
}

bool
Socket::WriteSome()
{
  error_code error;
  if (!unsent_.empty()) {
    const auto count = socket_.write_some(asio::buffer(unsent_), error);
    unsent_.erase(0, count);
  } else {
    sharedSent_ +=
      socket_.write_some(asio::buffer(*shared_) + sharedSent_, error);
  }
  if (error == asio::error::would_block) {
    WaitWrite();
    return false;
  }
  if (error) {
    // The reading side reports the failure, after the bytes that the peer sent
    // earlier.
    writeFailed_ = true;
    unsent_.clear();
    shared_ = nullptr;
    return false;
  }
  return true;
}

void
Socket::WaitWrite()
{
  writePending_ = true;
  socket_.async_wait(Tcp::socket::wait_write,
                     [self = shared_from_this()](const error_code& aError) {
                       self->writePending_ = false;
                       if (!self->isOpen_ ||
                           aError == asio::error::operation_aborted) {
                         return;
                       }
                       self->Write();
                       self->OnSent();
                     });
}

void
Socket::OnSent()
{
  if (finishing_) {
    ContinueFinish();
    return;
  }
  if (Unsent() > 0) {
    return;
  }
  if (events_.onDrained_) {
    events_.onDrained_();
  }
}

void
Socket::Close()
{
  if (!isOpen_) {
    return;
  }
  isOpen_ = false;
  finishTimer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  // Destroys the handlers later: they may own this socket's owner, and one of
  // them may be running.
  asio::post(socket_.get_executor(),
             [events = std::make_shared<SocketEvents>(std::move(events_))] {});
  events_ = {};
}

void
Socket::Finish()
{
  if (!isOpen_ || finishing_) {
    return;
  }
  finishing_ = true;
  events_.onDrained_ = nullptr;
  events_.onData_ = [](std::string& aData) { aData.clear(); };
  unread_.clear();
  reading_ = true;
  ContinueFinish();
  WaitRead();
}

void
Socket::ContinueFinish()
{
  if (Unsent() == 0) {
    error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  finishTimer_.expires_after(Unsent() == 0 ? kFinishTime : kMaxWriteStall);
  finishTimer_.async_wait(
    [self = shared_from_this()](const error_code& aError) {
      if (aError != asio::error::operation_aborted) {
        self->Close();
      }
    });
}

void
Socket::Reset()
{
  if (isOpen_) {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }
}

void
Connect(Loop& aLoop,
        const Tcp::endpoint& aEndpoint,
        absl::Duration aTimeout,
        std::function<void(std::shared_ptr<Socket>, ConnectEnd)> aOnDone)
{
  struct State
  {
    State(Loop& aOwner)
      : socket_(aOwner)
      , timer_(aOwner)
    {
    }
    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::function<void(std::shared_ptr<Socket>, ConnectEnd)> onDone_;
  };
  auto state = std::make_shared<State>(aLoop);
  state->onDone_ = std::move(aOnDone);
  state->timer_.expires_after(absl::ToChronoNanoseconds(aTimeout));
  state->timer_.async_wait([state](const error_code& aError) {
    if (!aError && state->onDone_) {
      const auto onDone = std::exchange(state->onDone_, nullptr);
      error_code ignored;
      state->socket_.close(ignored);
      onDone(nullptr, ConnectEnd::Failed);
    }
  });
  state->socket_.async_connect(aEndpoint, [state](const error_code& aError) {
    if (!state->onDone_) {
      return;
    }
    const auto onDone = std::exchange(state->onDone_, nullptr);
    state->timer_.cancel();
    if (aError) {
      onDone(nullptr,
             aError == asio::error::connection_refused ? ConnectEnd::Refused
                                                       : ConnectEnd::Failed);
      return;
    }
    onDone(std::make_shared<Socket>(std::move(state->socket_)),
           ConnectEnd::Connected);
  });
}

Tcp::endpoint
ParseEndpoint(absl::string_view aText)
{
  const auto colon = aText.rfind(':');
  int port = 0;
  error_code error;
  if (colon == absl::string_view::npos ||
      !absl::SimpleAtoi(aText.substr(colon + 1), &port) || port <= 0 ||
      port > UINT16_MAX) {
    return {};
  }
  const auto address =
    asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  return error ? Tcp::endpoint{}
               : Tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

Listener::Listener(Loop& aLoop,
                   const Tcp::endpoint& aEndpoint,
                   OnAccept aOnAccept)
  : acceptor_(aLoop)
  , onAccept_(std::move(aOnAccept))
{
  acceptor_.open(aEndpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(aEndpoint);
  acceptor_.listen(kBacklog);
  Accept();
}

std::uint16_t
Listener::Port() const
{
  return acceptor_.local_endpoint().port();
}

void
Listener::Stop()
{
  error_code ignored;
  acceptor_.close(ignored);
}

void
Listener::Accept()
{
  acceptor_.async_accept([this](const error_code& aError, Tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      onAccept_(std::make_shared<Socket>(std::move(aSocket)));
    }
    if (acceptor_.is_open()) {
      Accept();
    }
  });
}

} // namespace lycheeplank::gateway
