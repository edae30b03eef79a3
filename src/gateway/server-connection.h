#ifndef LYCHEEPLANK_SRC_GATEWAY_SERVER_CONNECTION_H
#define LYCHEEPLANK_SRC_GATEWAY_SERVER_CONNECTION_H

#include <functional>
#include <memory>
#include <string>

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include "gateway/socket.h"
#include "http/reader.h"
#include "lycheeplank/catalog.h"

namespace lycheeplank::gateway {

class Server;

// A connection on which requests are read one after the other and answered in
// their order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(Server& aServer, std::shared_ptr<Socket> aSocket);

  void Open();
  // The request that is being answered, with its whole body.
  http::RequestHead& Head() { return reader_.Head(); }
  std::string& Body() { return reader_.Body(); }
  absl::Time ArrivedAt() const { return arrivedAt_; }

  // Answers with a whole body.
  void Reply(int aStatus, http::Fields aFields, absl::string_view aBody);
  // Starts an answer whose body follows. Without a length it is sent in
  // chunks, or ends with the connection where the caller knows no chunks.
  void Begin(int aStatus,
             absl::string_view aReason,
             http::Fields aFields,
             absl::optional<std::uint64_t> aLength);
  void Write(absl::string_view aData);
  void End();
  // Breaks the answer off, so that the caller sees that it isn't whole.
  void Abort();
  // Runs if the caller leaves before the answer has ended.
  void OnGone(std::function<void()> aAction) { onGone_ = std::move(aAction); }
  // Runs when what was written has left.
  void OnDrained(std::function<void()> aAction)
  {
    onDrained_ = std::move(aAction);
  }
  std::size_t Unsent() const { return socket_->Unsent(); }
  bool IsAnswering() const { return answering_; }

  // Ends what has waited for too long.
  void CheckTimes(absl::Time aNow);
  void Close();

private:
  void OnData();
  void OnClosed();
  void Refuse(http::ReadError aError);
  void EndAnswer();
  bool KeepsOpen() const;

  Server& server_;
  std::shared_ptr<Socket> socket_;
  http::RequestReader reader_;
  std::function<void()> onGone_;
  std::function<void()> onDrained_;
  absl::Time arrivedAt_ = absl::InfinitePast();
  absl::Time idleSince_;
  bool answering_ = false;
  bool continued_ = false;
  bool chunked_ = false;
  bool endsWithConnection_ = false;
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

// The connections of one address.
class Server
{
public:
  using Handler = std::function<void(const ServerConnectionPtr&)>;

  // The limits may change while it runs.
  Server(Loop& aLoop,
         const Tcp::endpoint& aEndpoint,
         std::function<catalog::RequestLimits()> aLimits,
         Handler aHandler);

  std::uint16_t Port() const { return listener_.Port(); }
  // Each answer is from now on the last one of its connection.
  void CloseAfterAnswers() { closing_ = true; }
  bool IsClosing() const { return closing_; }
  void StopListening() { listener_.Stop(); }
  void CheckTimes(absl::Time aNow);
  std::size_t Open() const { return connections_.size(); }

private:
  friend class ServerConnection;

  std::function<catalog::RequestLimits()> limits_;
  Handler handler_;
  absl::flat_hash_set<ServerConnectionPtr> connections_;
  bool closing_ = false;
  Listener listener_;
};

} // namespace lycheeplank::gateway

#endif
