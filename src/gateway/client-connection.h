#ifndef LYCHEEPLANK_SRC_GATEWAY_CLIENT_CONNECTION_H
#define LYCHEEPLANK_SRC_GATEWAY_CLIENT_CONNECTION_H

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>

#include "gateway/socket.h"
#include "http/reader.h"
#include "lycheeplank/core.h"

namespace lycheeplank::gateway {

// How a call on a connection ended.
enum class CallEnd
{
  Complete,
  // The connection ended before the first byte of an answer.
  NoAnswer,
  // It ended within the answer.
  Cut,
  // The peer sent what is no answer.
  Garbled,
};

inline constexpr std::array<core::Named<CallEnd>, 4> kCallEnds{ {
  { CallEnd::Complete, "complete" },
  { CallEnd::NoAnswer, "no_answer" },
  { CallEnd::Cut, "cut" },
  { CallEnd::Garbled, "garbled" },
} };

struct CallEvents
{
  // False if the answer belongs to an earlier call; it is passed over.
  std::function<bool(const http::ResponseHead& aHead)> onHead_;
  // Takes body bytes; what it leaves comes again with the next ones.
  std::function<void(std::string& aBody)> onBody_;
  std::function<void(CallEnd aEnd)> onEnd_;
};

// A connection to a target, a store or a peer that carries one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  explicit ClientConnection(std::shared_ptr<Socket> aSocket);

  // Starts to read; aOnLost runs once if the connection ends, or the peer
  // sends something, while no call is under way.
  void Open(std::function<void()> aOnLost);
  // Sends a request; aNoBody: its answer has no body, whatever its head says.
  void Start(absl::string_view aBytes, bool aNoBody, CallEvents aEvents);
  // The next call may go on this connection until aNow.
  bool IsReusable(absl::Time aNow) const;
  // Tells how long it has been without a call.
  absl::Duration IdleFor(absl::Time aNow) const { return aNow - idleSince_; }
  bool IsBusy() const { return busy_; }
  // Ends the connection; no handler runs after it.
  void Close();
  // Holds the peer back while the caller doesn't read.
  void SetReading(bool aReading) { socket_->SetReading(aReading); }

private:
  void OnData(std::string& aData);
  void OnClosed(PeerEnd aEnd);
  // Returns whether reading can go on with what is left.
  bool TakeHead();
  // The peer sends what is no answer without an end.
  bool IsEndless(absl::string_view aUnused) const;
  void Finish(CallEnd aEnd);

  std::shared_ptr<Socket> socket_;
  std::function<void()> onLost_;
  CallEvents events_;
  // Handlers of a closed connection, one of which may still run.
  CallEvents retired_;
  http::ResponseReader reader_{ false };
  bool noBody_ = false;
  bool busy_ = false;
  bool headSeen_ = false;
  bool skipping_ = false;
  bool spoiled_ = false;
  bool anyByte_ = false;
  // Interim answers, and answers to earlier calls, since the call was made.
  unsigned interim_ = 0;
  unsigned foreign_ = 0;
  std::size_t foreignBytes_ = 0;
  absl::Time idleSince_ = absl::InfinitePast();
  absl::Duration idleLimit_;
};

} // namespace lycheeplank::gateway

#endif
