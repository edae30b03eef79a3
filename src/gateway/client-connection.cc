#include "gateway/client-connection.h"

#include <utility>

#include <absl/strings/numbers.h>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Idle limit for peers that announce none; shorter than the defaults of common
// servers, which are five seconds or more.
constexpr absl::Duration kDefaultIdleLimit = absl::Seconds(4);
// Subtracted from the idle limit that a peer announces: it is given in whole
// seconds and starts earlier than this host's measurement.
constexpr absl::Duration kIdleMargin = absl::Milliseconds(800);

// Limit of bytes that the reader can't parse yet: an incomplete head, chunk
// size with extensions, or trailer. Equal to the limit of a head.
constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;
// Limit of interim answers before the final one; HTTP defines four kinds.
constexpr unsigned kMaxInterimAnswers = 16;
// Limits of answers to earlier calls, and of their bytes, that are skipped
// before the expected answer.
constexpr unsigned kMaxForeignAnswers = 4;
constexpr std::size_t kMaxForeignBytes = 1U << 20U;

// Memory that a connection keeps for the next bytes of an answer.
constexpr std::size_t kMaxKeptBytes = 16U << 10U;
// Lowest status of an answer that reports no success.
constexpr int kRedirect = 300;

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
                        bool aHasNoBody,
                        CallEvents aEvents,
                        std::shared_ptr<const std::string> aBody)
{
  events_ = std::move(aEvents);
  hasNoBody_ = aHasNoBody;
  reader_ = http::ResponseReader(aHasNoBody);
  busy_ = true;
  headSeen_ = false;
  skipsAnswer_ = false;
  hasReceived_ = false;
  interimAnswers_ = 0;
  foreignAnswers_ = 0;
  foreignBytes_ = 0;
  socket_->Send(aBytes);
  if (aBody) {
    socket_->SendShared(std::move(aBody));
  }
}

bool
ClientConnection::IsReusable(absl::Time aNow) const
{
  return socket_->IsOpen() && !busy_ && !unusable_ &&
         aNow - idleSince_ < idleLimit_;
}

void
ClientConnection::Close()
{
  closedEvents_ = std::move(events_);
  events_ = {};
  onLost_ = nullptr;
  unusable_ = true;
  busy_ = false;
  socket_->Close();
}

bool
ClientConnection::TakeHead()
{
  const auto& head = reader_.Head();
  if (IsInterim(head)) {
    ++interimAnswers_;
    reader_ = http::ResponseReader(hasNoBody_);
    return true;
  }
  headSeen_ = true;
  idleLimit_ = IdleLimitOf(head);
  skipsAnswer_ = events_.onHead_ && !events_.onHead_(head);
  foreignAnswers_ += skipsAnswer_ ? 1 : 0;
  unusable_ = unusable_ || skipsAnswer_ || !head.keepAlive_;
  return busy_;
}

bool
ClientConnection::ExceedsLimits(absl::string_view aUnparsed) const
{
  const bool waits = !reader_.Done();
  return (waits && aUnparsed.size() > kMaxUnparsedBytes) ||
         interimAnswers_ > kMaxInterimAnswers ||
         foreignAnswers_ > kMaxForeignAnswers ||
         foreignBytes_ > kMaxForeignBytes;
}

void
ClientConnection::OnData(std::string& aData)
{
  const auto self = shared_from_this();
  if (!busy_) {
    // Bytes without a call in progress can't be assigned to any request.
    unusable_ = true;
    aData.clear();
    if (const auto onLost = std::exchange(onLost_, nullptr)) {
      onLost();
    }
    Close();
    return;
  }
  hasReceived_ = true;
  while (busy_) {
    const auto error = reader_.Feed(aData);
    if (reader_.HeadDone() && !headSeen_) {
      const bool interim = IsInterim(reader_.Head());
      if (!TakeHead()) {
        return;
      }
      if (interim) {
        if (ExceedsLimits(aData)) {
          Finish(CallEnd::Garbled);
          return;
        }
        continue;
      }
    }
    if (skipsAnswer_) {
      foreignBytes_ += reader_.Body().size();
      reader_.Body().clear();
    } else if (!reader_.Body().empty() && events_.onBody_) {
      events_.onBody_(reader_.Body());
    }
    if (auto& body = reader_.Body();
        body.empty() && body.capacity() > kMaxKeptBytes) {
      std::string().swap(body);
    }
    if (!busy_) {
      return;
    }
    if (error != http::ReadError::None || ExceedsLimits(aData)) {
      Finish(headSeen_ && !skipsAnswer_ ? CallEnd::Cut : CallEnd::Garbled);
      return;
    }
    if (!reader_.Done()) {
      return;
    }
    if (skipsAnswer_) {
      reader_ = http::ResponseReader(hasNoBody_);
      headSeen_ = false;
      skipsAnswer_ = false;
      continue;
    }
    // After surplus bytes, or if the peer hasn't read the whole request, the
    // next answer couldn't be delimited.
    unusable_ = unusable_ || !aData.empty() || socket_->Unsent() > 0;
    Finish(CallEnd::Complete);
    return;
  }
}

void
ClientConnection::OnClosed(PeerEnd aEnd)
{
  const auto self = shared_from_this();
  unusable_ = true;
  if (!busy_) {
    if (const auto onLost = std::exchange(onLost_, nullptr)) {
      onLost();
    }
    return;
  }
  // A peer that hasn't got the whole request can't know that it succeeds.
  const bool isEarly =
    socket_->Unsent() > 0 && headSeen_ && reader_.Head().status_ < kRedirect;
  const bool complete = aEnd == PeerEnd::Closed && !skipsAnswer_ && headSeen_ &&
                        !isEarly && reader_.Finish();
  Finish(complete                     ? CallEnd::Complete
         : headSeen_ && !skipsAnswer_ ? CallEnd::Cut
         : hasReceived_               ? CallEnd::Garbled
                                      : CallEnd::NoAnswer);
}

void
ClientConnection::Finish(CallEnd aEnd)
{
  busy_ = false;
  idleSince_ = Now();
  unusable_ = unusable_ || aEnd != CallEnd::Complete;
  if (unusable_) {
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
