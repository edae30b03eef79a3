#ifndef LYCHEEPLANK_SRC_GATEWAY_SOCKET_H
#define LYCHEEPLANK_SRC_GATEWAY_SOCKET_H

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

// How the peer's side of a connection ended.
enum class PeerEnd
{
  // Closed in the regular way.
  Closed,
  // Reset, timed out or otherwise broken.
  Broken,
};

struct SocketEvents
{
  // More bytes are in; the handler takes what it can off the front.
  std::function<void(std::string& aData)> onData_;
  std::function<void(PeerEnd aEnd)> onClosed_;
  // All that was sent has left.
  std::function<void()> onDrained_;
};

// A connection with its unread and unsent bytes. After Close() no handler runs.
class Socket : public std::enable_shared_from_this<Socket>
{
public:
  explicit Socket(Tcp::socket aSocket);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Sets the handlers and starts to read.
  void Open(SocketEvents aEvents);
  void Send(absl::string_view aData);
  std::size_t Unsent() const { return unsent_.size(); }
  // Stops or goes on with reading, to hold back a peer that is too fast.
  void SetReading(bool aReading);
  std::string& Unread() { return unread_; }
  void Close();
  // Closes once all is sent and the peer has closed too, or a second later, so
  // that the last answer isn't lost with bytes that come in meanwhile.
  void Finish();
  // Closes so that the peer sees a reset.
  void Reset();
  bool IsOpen() const { return isOpen_; }

private:
  void WaitRead();
  void WaitWrite();
  void Read();
  void Write();
  void OnSent();

  Tcp::socket socket_;
  SocketEvents events_;
  std::string unread_;
  std::string unsent_;
  bool isOpen_ = true;
  bool reading_ = true;
  bool waitsRead_ = false;
  bool waitsWrite_ = false;
  bool writeFailed_ = false;
  bool finishing_ = false;
  boost::asio::steady_timer finishTimer_;
};

// Sets what all connections need: no delay of small writes, non-blocking, and
// a bound on the time in which a silent peer is found out.
void
Prepare(Tcp::socket& aSocket);

// Connects within a time; hands over null if that fails.
void
Connect(Loop& aLoop,
        const Tcp::endpoint& aEndpoint,
        absl::Duration aTimeout,
        std::function<void(std::shared_ptr<Socket>)> aOnDone);

// Reads "IP:PORT"; an endpoint with port 0 if the text is none.
Tcp::endpoint
ParseEndpoint(absl::string_view aText);

// Accepts connections on an address for as long as it lives.
class Listener
{
public:
  using OnAccept = std::function<void(std::shared_ptr<Socket>)>;

  // Throws boost::system::system_error if the address can't be used.
  Listener(Loop& aLoop, const Tcp::endpoint& aEndpoint, OnAccept aOnAccept);
  std::uint16_t Port() const;
  void Stop();

private:
  void Accept();

  Tcp::acceptor acceptor_;
  OnAccept onAccept_;
};

} // namespace lycheeplank::gateway

#endif
