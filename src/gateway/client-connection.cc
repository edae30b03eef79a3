#include "gateway/client-connection.h"

#include <utility>

#include <absl/strings/numbers.h>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Idle time that a peer allows if it names none; shorter than common servers'
// defaults of five seconds and more.
constexpr absl::Duration kDefaultIdleLimit = absl::Seconds(4);
// Taken off the idle time that a peer names, which it gives in whole seconds
// and counts from an earlier moment.
constexpr absl::Duration kIdleMargin = absl::Milliseconds(800);

// Bytes that the reader can't use yet: a head, a chunk's size with its
// extensions, or trailing fields. As many as a head may have.
constexpr std::size_t kMostUnusedBytes = 64U << 10U;
// Interim answers before the final one; HTTP knows four kinds.
constexpr unsigned kMostInterim = 16;
// Answers to earlier calls, and bytes of them, that are passed over before the
// own one.
constexpr unsigned kMostForeign = 4;
constexpr std::size_t kMostForeignBytes = 1U << 20U;

absl::Duration
IdleLimitOf(const http::ResponseHead& aHead)
{
  const auto* value = http::FindField(aHead.fields_, "keep-alive");
  if (value == nullptr) {
    return kDefaultIdleLimit;
  }
  const auto at = value->find("timeout=");
  int seconds = 0;
  if (at == std::string::npos) {
    return kDefaultIdleLimit;
  }
  const auto rest = absl::string_view(*value).substr(at + 8);
  if (!absl::SimpleAtoi(rest.substr(0, rest.find(',')), &seconds)) {
    return kDefaultIdleLimit;
  }
  return absl::Seconds(seconds) - kIdleMargin;
}

bool
IsInterim(const http::ResponseHead& aHead)
{
  return aHead.status_ / 100 == 1;
}

} // namespace

ClientConnection::ClientConnection(std::shared_ptr<Socket> aSocket)
  : socket_(std::move(aSocket))
  , idleSince_(Now())
  , idleLimit_(kDefaultIdleLimit)
{
}

void
ClientConnection::Open(std::function<void()> aOnLost)
{
  onLost_ = std::move(aOnLost);
  const auto self = shared_from_this();
  socket_->Open({ [self](std::string& aData) { self->OnData(aData); },
                  [self](PeerEnd aEnd) { self->OnClosed(aEnd); },
                  {} });
}

void
ClientConnection::Start(absl::string_view aBytes,
                        bool aNoBody,
                        CallEvents aEvents)
{
  events_ = std::move(aEvents);
  noBody_ = aNoBody;
  reader_ = http::ResponseReader(aNoBody);
  busy_ = true;
  headSeen_ = false;
  skipping_ = false;
  anyByte_ = false;
  interim_ = 0;
  foreign_ = 0;
  foreignBytes_ = 0;
  socket_->Send(aBytes);
}

bool
ClientConnection::IsReusable(absl::Time aNow) const
{
  return socket_->IsOpen() && !busy_ && !spoiled_ &&
         aNow - idleSince_ < idleLimit_;
}

void
ClientConnection::Close()
{
  retired_ = std::move(events_);
  events_ = {};
  onLost_ = nullptr;
  spoiled_ = true;
  busy_ = false;
  socket_->Close();
}

bool
ClientConnection::TakeHead()
{
  const auto& head = reader_.Head();
  if (IsInterim(head)) {
    ++interim_;
    reader_ = http::ResponseReader(noBody_);
    return true;
  }
  headSeen_ = true;
  idleLimit_ = IdleLimitOf(head);
  skipping_ = events_.onHead_ && !events_.onHead_(head);
  foreign_ += skipping_ ? 1 : 0;
  spoiled_ = spoiled_ || skipping_ || !head.keepAlive_;
  return busy_;
}

bool
ClientConnection::IsEndless(absl::string_view aUnused) const
{
  const bool waits = !reader_.Done();
  return (waits && aUnused.size() > kMostUnusedBytes) ||
         interim_ > kMostInterim || foreign_ > kMostForeign ||
         foreignBytes_ > kMostForeignBytes;
}

void
ClientConnection::OnData(std::string& aData)
{
  const auto self = shared_from_this();
  if (!busy_) {
    // Bytes that no call asked for belong to nobody.
    spoiled_ = true;
    aData.clear();
    if (const auto onLost = std::exchange(onLost_, nullptr)) {
      onLost();
    }
    Close();
    return;
  }
  anyByte_ = true;
  while (busy_) {
    const auto error = reader_.Feed(aData);
    if (reader_.HeadDone() && !headSeen_) {
      const bool interim = IsInterim(reader_.Head());
      if (!TakeHead()) {
        return;
      }
      if (interim) {
        continue;
      }
    }
    if (skipping_) {
      foreignBytes_ += reader_.Body().size();
      reader_.Body().clear();
    } else if (!reader_.Body().empty() && events_.onBody_) {
      events_.onBody_(reader_.Body());
    }
    if (!busy_) {
      return;
    }
    if (error != http::ReadError::None || IsEndless(aData)) {
      Finish(headSeen_ && !skipping_ ? CallEnd::Cut : CallEnd::Garbled);
      return;
    }
    if (!reader_.Done()) {
      return;
    }
    if (skipping_) {
      reader_ = http::ResponseReader(noBody_);
      headSeen_ = false;
      skipping_ = false;
      continue;
    }
    // More bytes than the answer has, or a request that the peer hasn't read
    // whole: what comes next could not be told apart.
    spoiled_ = spoiled_ || !aData.empty() || socket_->Unsent() > 0;
    Finish(CallEnd::Complete);
    return;
  }
}

void
ClientConnection::OnClosed(PeerEnd aEnd)
{
  const auto self = shared_from_this();
  spoiled_ = true;
  if (!busy_) {
    if (const auto onLost = std::exchange(onLost_, nullptr)) {
      onLost();
    }
    return;
  }
  const bool complete =
    aEnd == PeerEnd::Closed && !skipping_ && headSeen_ && reader_.Finish();
  Finish(complete                  ? CallEnd::Complete
         : headSeen_ && !skipping_ ? CallEnd::Cut
         : anyByte_                ? CallEnd::Garbled
                                   : CallEnd::NoAnswer);
}

void
ClientConnection::Finish(CallEnd aEnd)
{
  busy_ = false;
  idleSince_ = Now();
  spoiled_ = spoiled_ || aEnd != CallEnd::Complete;
  if (spoiled_) {
    onLost_ = nullptr;
    socket_->Close();
  }
  const auto events = std::move(events_);
  events_ = {};
  if (events.onEnd_) {
    events.onEnd_(aEnd);
  }
}

} // namespace lycheeplank::gateway
