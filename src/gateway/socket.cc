#include "gateway/socket.h"

#include <algorithm>
#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

#include <absl/strings/numbers.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

using boost::system::error_code;
namespace asio = boost::asio;

// Size of the read buffer; larger than the links' TCP windows.
constexpr std::size_t kReadBufferBytes = 64U << 10U;
// Limit of bytes read from one connection before others are served.
constexpr std::size_t kMaxReadBytes = 256U << 10U;
// Memory of an empty buffer that a connection keeps for its next bytes.
constexpr std::size_t kMaxKeptBytes = 4U << 10U;
// Sent bytes at the front of a buffer from which they are removed, if they are
// half of it. Removing them with each write would take time quadratic in the
// size of the buffer.
constexpr std::size_t kMaxSentBytes = 64U << 10U;
// Pause after an error of accept, such as a lack of descriptors, which would
// otherwise be reported again at once.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
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

void
FreeIfEmpty(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kMaxKeptBytes) {
    std::string().swap(aBuffer);
  }
}

} // namespace

SocketTotals&
TotalsOfSockets()
{
  static thread_local SocketTotals totals;
  return totals;
}

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
  , maxRead_(kMaxReadBytes)
  , finishTimer_(socket_.get_executor())
{
  Prepare(socket_);
  ++TotalsOfSockets().open_;
}

Socket::~Socket()
{
  auto& totals = TotalsOfSockets();
  totals.open_ -= isOpen_ ? 1 : 0;
  totals.unsentBytes_ -= countedUnsent_;
}

std::string
Socket::PeerAddress() const
{
  error_code error;
  const auto peer = socket_.remote_endpoint(error);
  return error ? std::string() : peer.address().to_string();
}

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
  const auto limit = maxRead_;
  while (total < limit) {
    const auto wanted = std::min(buffer.size(), limit - total);
    const auto count =
      socket_.read_some(asio::buffer(buffer.data(), wanted), error);
    unread_.append(buffer.data(), count);
    total += count;
    if (error || count < wanted) {
      break;
    }
  }
  const auto self = shared_from_this();
  if (total > 0 && events_.onData_) {
    events_.onData_(unread_);
  }
  FreeIfEmpty(unread_);
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
  if (shared_) {
    unsent_.append(*shared_, sharedFrom_);
    shared_.reset();
  }
  if (Unsent() == 0 && !writePending_) {
    aData.remove_prefix(WriteSome(aData, {}));
    if (writeFailed_) {
      return;
    }
  }
  unsent_.append(aData.data(), aData.size());
  UpdateUnsent();
  if (!aData.empty() && !writePending_) {
    WaitWrite();
  }
}

void
Socket::SendShared(std::shared_ptr<const std::string> aData)
{
  if (!isOpen_ || writeFailed_) {
    return;
  }
  if (shared_) {
    Send(*aData);
    return;
  }
  shared_ = std::move(aData);
  sharedFrom_ = 0;
  if (!writePending_) {
    Write();
  }
}

std::size_t
Socket::WriteSome(absl::string_view aFirst, absl::string_view aSecond)
{
  std::size_t total = 0;
  isBlocked_ = false;
  while (!aFirst.empty() || !aSecond.empty()) {
    const std::array<asio::const_buffer, 2> buffers{
      asio::const_buffer(aFirst.data(), aFirst.size()),
      asio::const_buffer(aSecond.data(), aSecond.size())
    };
    error_code error;
    const auto count = socket_.write_some(buffers, error);
    total += count;
    const auto fromFirst = std::min(count, aFirst.size());
    aFirst.remove_prefix(fromFirst);
    aSecond.remove_prefix(count - fromFirst);
    if (error == asio::error::would_block) {
      isBlocked_ = true;
      break;
    }
    if (error) {
      // The reading side reports the failure, after the bytes that the peer
      // sent earlier.
      writeFailed_ = true;
      unsent_.clear();
      unsentFrom_ = 0;
      shared_.reset();
      UpdateUnsent();
      break;
    }
  }
  if (total > 0) {
    sentAt_ = Now();
    sentSince_ += total;
  }
  return total;
}

void
Socket::UpdateUnsent()
{
  if (unsentFrom_ == unsent_.size()) {
    unsent_.clear();
    unsentFrom_ = 0;
    FreeIfEmpty(unsent_);
  } else if (unsentFrom_ > kMaxSentBytes && 2 * unsentFrom_ > unsent_.size()) {
    unsent_.erase(0, unsentFrom_);
    unsentFrom_ = 0;
  }
  if (Unsent() == 0) {
    waitingSince_ = absl::InfinitePast();
  } else if (waitingSince_ == absl::InfinitePast()) {
    waitingSince_ = Now();
    sentSince_ = 0;
  }
  auto& total = TotalsOfSockets().unsentBytes_;
  total -= countedUnsent_;
  countedUnsent_ = unsent_.empty() ? 0 : unsent_.capacity();
  total += countedUnsent_;
}

void
Socket::Write()
{
  const auto first = absl::string_view(unsent_).substr(unsentFrom_);
  const auto second =
    shared_ ? absl::string_view(*shared_).substr(sharedFrom_) : "";
  const auto sent = WriteSome(first, second);
  if (writeFailed_) {
    return;
  }
  const auto fromFirst = std::min(sent, first.size());
  unsentFrom_ += fromFirst;
  sharedFrom_ += sent - fromFirst;
  if (shared_ && sharedFrom_ == shared_->size()) {
    shared_.reset();
  }
  UpdateUnsent();
  if (isBlocked_) {
    WaitWrite();
  }
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
  --TotalsOfSockets().open_;
  unsent_.clear();
  unsentFrom_ = 0;
  shared_.reset();
  UpdateUnsent();
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
  const bool isSent = Unsent() == 0;
  if (isSent) {
    error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  finishTimer_.expires_after(isSent ? kFinishTime : kMaxWriteStall);
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
  , pause_(aLoop)
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
    if (aError) {
      AcceptLater();
      return;
    }
    onAccept_(std::make_shared<Socket>(std::move(aSocket)));
    if (acceptor_.is_open()) {
      Accept();
    }
  });
}

void
Listener::AcceptLater()
{
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const error_code& aError) {
    if (!aError && acceptor_.is_open()) {
      Accept();
    }
  });
}

} // namespace lycheeplank::gateway
