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
  // The connection closed before the first byte of an answer.
  NoAnswer,
  // The connection closed within the answer.
  Cut,
  // The peer sent bytes that aren't a valid answer.
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
  // Returns false if the answer belongs to an earlier call and is to be
  // skipped.
  std::function<bool(const http::ResponseHead& aHead)> onHead_;
  // Consumes body bytes from the front; the rest is passed again with the next
  // bytes.
  std::function<void(std::string& aBody)> onBody_;
  std::function<void(CallEnd aEnd)> onEnd_;
};

// A client connection to a target, a store or a peer. Carries one call at a
// time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  explicit ClientConnection(std::shared_ptr<Socket> aSocket);

  // Starts reading. aOnLost runs once if the connection closes or the peer
  // sends bytes while no call is in progress.
  void Open(std::function<void()> aOnLost);
  // Sends a request, and after it the bytes of aBody if it isn't null.
  // aHasNoBody: the answer has no body, whatever its head states.
  void Start(absl::string_view aBytes,
             bool aHasNoBody,
             CallEvents aEvents,
             std::shared_ptr<const std::string> aBody = nullptr);
  // Returns whether a new call may use this connection at aNow.
  bool IsReusable(absl::Time aNow) const;
  // Returns the time since the last call ended.
  absl::Duration IdleFor(absl::Time aNow) const { return aNow - idleSince_; }
  bool IsBusy() const { return busy_; }
  // Returns whether the connection is open as far as the host can notice: while
  // it doesn't read, it isn't told of an end.
  bool IsSeenOpen() const { return socket_->IsOpen() && socket_->IsReading(); }
  // Closes the connection; no handler runs afterwards.
  void Close();
  // Stops or resumes reading, for backpressure on the peer.
  void SetReading(bool aReading) { socket_->SetReading(aReading); }

private:
  void OnData(std::string& aData);
  void OnClosed(PeerEnd aEnd);
  // Handles a complete head; returns whether a call is still in progress.
  bool TakeHead();
  // Returns whether the peer exceeds a limit for bytes that don't advance the
  // answer.
  bool ExceedsLimits(absl::string_view aUnparsed) const;
  void Finish(CallEnd aEnd);

  std::shared_ptr<Socket> socket_;
  std::function<void()> onLost_;
  CallEvents events_;
  // Handlers of a closed connection, kept alive because one of them may still
  // be running.
  CallEvents closedEvents_;
  http::ResponseReader reader_{ false };
  bool hasNoBody_ = false;
  bool busy_ = false;
  bool headSeen_ = false;
  bool skipsAnswer_ = false;
  bool unusable_ = false;
  bool hasReceived_ = false;
  // Interim answers, and answers to earlier calls, since the call started.
  unsigned interimAnswers_ = 0;
  unsigned foreignAnswers_ = 0;
  std::size_t foreignBytes_ = 0;
  absl::Time idleSince_ = absl::InfinitePast();
  absl::Duration idleLimit_;
};

} // namespace lycheeplank::gateway

#endif
