#ifndef LYCHEEPLANK_SRC_GATEWAY_SERVER_CONNECTION_H
#define LYCHEEPLANK_SRC_GATEWAY_SERVER_CONNECTION_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include "gateway/socket.h"
#include "http/reader.h"
#include "lycheeplank/body_budget.h"
#include "lycheeplank/catalog.h"

namespace lycheeplank::gateway {

class CallerGuard;
class Server;

// A caller's connection. Reads requests one after the other and answers them in
// order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(Server& aServer, std::shared_ptr<Socket> aSocket);

  void Open();
  // Return the head and the complete body of the current request.
  http::RequestHead& Head() { return reader_.Head(); }
  const std::string& Body() const { return *body_; }
  std::shared_ptr<const std::string> SharedBody() const { return body_; }
  absl::Time ArrivedAt() const { return arrivedAt_; }

  // Sends a complete answer.
  void Reply(int aStatus, http::Fields aFields, absl::string_view aBody);
  // The same with a body that answers to other callers share.
  void ReplyShared(int aStatus,
                   http::Fields aFields,
                   std::shared_ptr<const std::string> aBody);
  // Starts an answer whose body follows. Without a length the body is sent in
  // chunks, or up to the end of the connection if the caller uses HTTP/1.0.
  void Begin(int aStatus,
             absl::string_view aReason,
             http::Fields aFields,
             absl::optional<std::uint64_t> aLength);
  void Write(absl::string_view aData);
  void End();
  // Cuts the answer so that the caller can see that it is incomplete.
  void Abort();
  // Sets an action to run if the caller disconnects before the answer ends.
  void OnGone(std::function<void()> aAction) { onGone_ = std::move(aAction); }
  // Sets an action to run whenever all written bytes have been sent.
  void OnDrained(std::function<void()> aAction)
  {
    onDrained_ = std::move(aAction);
  }
  std::size_t Unsent() const { return socket_->Unsent(); }
  void AllowPauses() { socket_->AllowPauses(); }
  bool IsAnswering() const { return answering_; }

  // For the guard of the process.
  const std::string& Address() const { return address_; }
  const Socket& PeerSocket() const { return *socket_; }
  // Returns whether callers use the server, not other hosts or the platform.
  bool IsOfCaller() const;
  bool IsIdle() const;
  bool IsReadingRequest() const;
  absl::Time IdleSince() const { return idleSince_; }
  // Removes the connection from the guard.
  void Deregister();
  // Goes on reading a request that has got its memory.
  void OnMemory();
  // Refuses the request that is being read.
  void EndUnread(body_budget::Reason aReason);
  // Closes the connection although an answer may not be sent.
  void Disconnect(body_budget::Reason aReason);

  // Enforces the timeouts of idle connections and of requests being read.
  void CheckTimeouts(absl::Time aNow);
  void Close();

private:
  void OnData();
  // Records the arrival of a request and the limits that hold for it.
  void BeginRequest();
  void OnClosed();
  void Refuse(http::ReadError aError);
  void Note(body_budget::Reason aReason);
  // Returns whether the request that is being read has memory for its next
  // bytes; stops reading or refuses it if it hasn't. aRead: bytes that have
  // arrived.
  bool HasMemory(std::size_t aRead);
  // Returns the memory of the request that is being read.
  std::uint64_t HeldMemory() const;
  // Returns the memory that the request may need until it has been read.
  std::uint64_t NeededMemory() const;
  void KeepBody();
  void ReleaseMemory();
  void EndAnswer();
  // Goes on with the next request, which may have arrived.
  void Continue();
  bool KeepsAlive() const;

  Server& server_;
  std::shared_ptr<Socket> socket_;
  http::RequestReader reader_{ http::ReadLimits() };
  // Limits of the request that is being read.
  catalog::RequestLimits limits_;
  std::string address_;
  // Id at the guard; 0 without one.
  std::uint64_t id_ = 0;
  // Body of the request that is answered.
  std::shared_ptr<const std::string> body_ = std::make_shared<std::string>();
  // Unparsed bytes after the last read.
  std::size_t leftover_ = 0;
  // Memory that the guard has granted, and whether it knows of the request.
  std::uint64_t granted_ = 0;
  std::uint64_t asked_ = 0;
  bool isRecorded_ = false;
  bool waits_ = false;
  absl::Time grantedAt_ = absl::InfinitePast();
  std::function<void()> onGone_;
  std::function<void()> onDrained_;
  absl::Time arrivedAt_ = absl::InfinitePast();
  absl::Time idleSince_;
  bool answering_ = false;
  // The next request isn't read before the peer has taken the answers.
  bool isBlocked_ = false;
  // The loop will go on with the next request.
  bool continues_ = false;
  bool expectHandled_ = false;
  bool chunked_ = false;
  bool endsWithConnection_ = false;
  // The head of the answer has told the caller that the connection closes.
  bool announcedClose_ = false;
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

// Listens on one address and owns its connections.
class Server
{
public:
  using Handler = std::function<void(const ServerConnectionPtr&)>;

  // aLimits is called when the first bytes of a request arrive, and for the
  // timeout of idle connections. aGuard may be null; aExtra: see
  // CallerGuard::MayAccept.
  Server(Loop& aLoop,
         const Tcp::endpoint& aEndpoint,
         std::function<catalog::RequestLimits()> aLimits,
         Handler aHandler,
         CallerGuard* aGuard = nullptr,
         std::uint64_t aExtra = 0);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const { return listener_.Port(); }
  // From now on closes each connection after its next answer.
  void CloseAfterAnswers() { closing_ = true; }
  bool IsClosing() const { return closing_; }
  void StopListening() { listener_.Stop(); }
  void CheckTimeouts(absl::Time aNow);
  std::size_t Open() const { return connections_.size(); }
  // Returns whether bytes of answers wait for slow callers.
  bool HasUnsent() const;

private:
  friend class ServerConnection;

  Loop& loop_;
  std::function<catalog::RequestLimits()> limits_;
  CallerGuard* guard_;
  std::uint64_t extra_;
  Handler handler_;
  absl::flat_hash_set<ServerConnectionPtr> connections_;
  // Sockets that send the rest of their last answers.
  std::vector<std::weak_ptr<Socket>> finishing_;
  bool closing_ = false;
  Listener listener_;
};

} // namespace lycheeplank::gateway

#endif
