#ifndef LYCHEEPLANK_SRC_GATEWAY_SOCKET_H
#define LYCHEEPLANK_SRC_GATEWAY_SOCKET_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

// Non-blocking sockets on one event loop.
namespace lycheeplank::gateway {

using Loop = boost::asio::io_context;
using Tcp = boost::asio::ip::tcp;

// The way in which the peer's side of a connection ended.
enum class PeerEnd
{
  // Closed in an orderly way.
  Closed,
  // Reset, timed out or failed otherwise.
  Broken,
};

struct SocketEvents
{
  // Bytes have arrived; the handler consumes what it can from the front.
  std::function<void(std::string& aData)> onData_;
  std::function<void(PeerEnd aEnd)> onClosed_;
  // All bytes have been handed to the kernel.
  std::function<void()> onDrained_;
};

// Sums over all sockets of a thread.
struct SocketTotals
{
  std::size_t open_ = 0;
  // Memory of the bytes that wait to be sent.
  std::size_t unsentBytes_ = 0;
};

SocketTotals&
TotalsOfSockets();

// A TCP connection with its buffers of unread and unsent bytes. After Close()
// no handler runs.
class Socket : public std::enable_shared_from_this<Socket>
{
public:
  explicit Socket(Tcp::socket aSocket);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Sets the handlers and starts reading.
  void Open(SocketEvents aEvents);
  void Send(absl::string_view aData);
  // Sends bytes that the caller keeps unchanged, without a copy of them.
  void SendShared(std::shared_ptr<const std::string> aData);
  std::size_t Unsent() const
  {
    return unsent_.size() - unsentFrom_ +
           (shared_ ? shared_->size() - sharedFrom_ : 0);
  }
  // Return when the peer last took bytes, since when bytes wait for it, and how
  // many it has taken since then.
  absl::Time SentAt() const { return sentAt_; }
  absl::Time WaitingSince() const { return waitingSince_; }
  std::uint64_t SentSince() const { return sentSince_; }
  // Lets the peer take nothing for up to kMaxWriteStall.
  void AllowPauses();
  // Stops or resumes reading, for backpressure on the peer.
  void SetReading(bool aReading);
  bool IsReading() const { return reading_; }
  // Sets a limit of bytes that are read before the handler runs.
  void SetMaxRead(std::size_t aBytes) { maxRead_ = aBytes; }
  // Returns the address of the peer without its port; empty if unknown.
  std::string PeerAddress() const;
  std::string& Unread() { return unread_; }
  void Close();
  // Sends the remaining bytes, for as long as the peer takes some of them
  // within kMaxWriteStall. Then closes the sending side, and closes the socket
  // when the peer has closed its side or after kFinishTime. Reads and drops
  // incoming bytes meanwhile, since unread ones would make the kernel reset the
  // connection and the last answer could be lost.
  void Finish();
  // Closes the connection with a TCP reset.
  void Reset();
  bool IsOpen() const { return isOpen_; }

private:
  void WaitRead();
  void WaitWrite();
  void Read();
  void Write();
  // Writes as much as the peer takes; returns the number of bytes.
  std::size_t WriteSome(absl::string_view aFirst, absl::string_view aSecond);
  void OnSent();
  // Frees the buffer of unsent bytes if it is empty, and updates the totals.
  void UpdateUnsent();
  // Closes the sending side if all bytes are sent, and starts the timer that
  // closes the socket.
  void ContinueFinish();

  Tcp::socket socket_;
  SocketEvents events_;
  std::string unread_;
  // Bytes to be sent, from unsentFrom_ on, and after them shared_ from
  // sharedFrom_ on.
  std::string unsent_;
  std::size_t unsentFrom_ = 0;
  std::shared_ptr<const std::string> shared_;
  std::size_t sharedFrom_ = 0;
  // Bytes of unsent_ that the totals include.
  std::size_t countedUnsent_ = 0;
  std::size_t maxRead_;
  absl::Time sentAt_ = absl::InfinitePast();
  absl::Time waitingSince_ = absl::InfinitePast();
  std::uint64_t sentSince_ = 0;
  bool isOpen_ = true;
  bool reading_ = true;
  bool readPending_ = false;
  bool writePending_ = false;
  bool writeFailed_ = false;
  bool isBlocked_ = false;
  bool finishing_ = false;
  bool allowsPauses_ = false;
  boost::asio::steady_timer finishTimer_;
};

// Sets the options of all connections: non-blocking, no delay of small writes,
// and timeouts that detect a dead peer.
void
Prepare(Tcp::socket& aSocket);

// How an attempt to connect ended.
enum class ConnectEnd
{
  Connected,
  // Nobody listens at the address.
  Refused,
  // It timed out or failed otherwise.
  Failed,
};

// Connects to an endpoint; passes null to aOnDone if that fails or times out.
void
Connect(Loop& aLoop,
        const Tcp::endpoint& aEndpoint,
        absl::Duration aTimeout,
        std::function<void(std::shared_ptr<Socket>, ConnectEnd)> aOnDone);

// Parses "IP:PORT"; returns an endpoint with port 0 if the text is invalid.
Tcp::endpoint
ParseEndpoint(absl::string_view aText);

// Accepts connections on an address until it is stopped or destroyed.
class Listener
{
public:
  using OnAccept = std::function<void(std::shared_ptr<Socket>)>;

  // Throws boost::system::system_error if it can't listen on the address.
  Listener(Loop& aLoop, const Tcp::endpoint& aEndpoint, OnAccept aOnAccept);
  std::uint16_t Port() const;
  void Stop();

private:
  void Accept();
  void AcceptLater();

  Tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  OnAccept onAccept_;
};

} // namespace lycheeplank::gateway

#endif
