#include "gateway/server-connection.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include "gateway/caller-guard.h"
#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Limit of bytes of pipelined requests that are read while one is answered.
// Once it is exceeded, the host stops reading.
constexpr std::size_t kMaxReadAheadBytes = 16U << 10U;
// Limits of one read, of a request without reserved memory and of others.
constexpr std::size_t kFirstReadBytes = 16U << 10U;
constexpr std::size_t kBodyReadBytes = 64U << 10U;
// Memory of a request that isn't counted; most requests have less.
constexpr std::size_t kUncountedBytes = 4U << 10U;
// Unsent bytes of answers from which the next request isn't read.
constexpr std::size_t kMaxUnsentAnswers = 16U << 10U;
// Time in which a caller that sends further requests must take some bytes of
// its answers, and the one for others, whose link may pause.
constexpr absl::Duration kPipelineTimeout = absl::Seconds(5);
constexpr absl::Duration kAnswerTimeout = absl::Seconds(20);
// Timeout of a request with its body. Callers on slow links send the largest
// bodies in some seconds.
constexpr absl::Duration kBodyTimeout = absl::Seconds(20);
constexpr int kRequestTimeout = 408;
constexpr int kHeaderTooLarge = 431;
constexpr int kBodyTooLarge = 413;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kHttp10 = 10;

bool
HasNoBody(int aStatus)
{
  return aStatus == 204 || aStatus == 304 || aStatus / 100 == 1;
}

bool
IsSending(const std::weak_ptr<Socket>& aSocket)
{
  const auto socket = aSocket.lock();
  return socket && socket->IsOpen() && socket->Unsent() > 0;
}

} // namespace

ServerConnection::ServerConnection(Server& aServer,
                                   std::shared_ptr<Socket> aSocket)
  : server_(aServer)
  , socket_(std::move(aSocket))
  , idleSince_(Now())
{
  socket_->SetMaxRead(kFirstReadBytes);
  if (server_.guard_ != nullptr) {
    address_ = socket_->PeerAddress();
    id_ = server_.guard_->Add(this, address_);
  }
}

void
ServerConnection::Deregister()
{
  if (server_.guard_ != nullptr && id_ != 0) {
    server_.guard_->Remove(std::exchange(id_, 0), address_);
  }
}

void
ServerConnection::Open()
{
  const auto self = shared_from_this();
  socket_->Open({ [self](std::string&) { self->OnData(); },
                  [self](PeerEnd) { self->OnClosed(); },
                  [self] {
                    if (self->onDrained_) {
                      self->onDrained_();
                    }
                    if (std::exchange(self->isBlocked_, false)) {
                      self->Continue();
                    }
                  } });
}

void
ServerConnection::OnData()
{
  auto& data = socket_->Unread();
  if (answering_ || isBlocked_ || waits_) {
    if (data.size() > kMaxReadAheadBytes) {
      socket_->SetReading(false);
    }
    return;
  }
  if (data.empty()) {
    return;
  }
  if (arrivedAt_ == absl::InfinitePast()) {
    BeginRequest();
  }
  const auto arrived = data.size() - std::min(leftover_, data.size());
  const auto error = reader_.Feed(data);
  leftover_ = data.size();
  if (error != http::ReadError::None) {
    Refuse(error);
    return;
  }
  if (!reader_.Done() && !HasMemory(arrived)) {
    return;
  }
  if (reader_.HeadDone() && !reader_.Done() && !expectHandled_) {
    const auto* expect = http::FindField(reader_.Head().fields_, "expect");
    if (expect != nullptr && absl::EqualsIgnoreCase(*expect, "100-continue")) {
      socket_->Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    expectHandled_ = true;
  }
  if (reader_.Done()) {
    answering_ = true;
    KeepBody();
    // Reading shows whether the caller disconnects during the answer.
    socket_->SetReading(data.size() <= kMaxReadAheadBytes);
    server_.handler_(shared_from_this());
  } else {
    socket_->SetReading(!waits_);
  }
}

void
ServerConnection::BeginRequest()
{
  arrivedAt_ = Now();
  // The limits may have changed since the connection opened or the last answer
  // ended.
  limits_ = server_.limits_();
  reader_.SetLimits({ limits_.headerBytes_, limits_.bodyBytes_ });
}

void
ServerConnection::KeepBody()
{
  auto& body = reader_.Body();
  if (body.capacity() > kUncountedBytes &&
      body.capacity() > body.size() + body.size() / 4) {
    body.shrink_to_fit();
  }
  const auto held = body.capacity();
  body_ = std::make_shared<const std::string>(std::move(body));
  if (server_.guard_ == nullptr) {
    return;
  }
  auto& budget = server_.guard_->Budget();
  if (held > kUncountedBytes) {
    isRecorded_ = true;
    body_budget::RecordHeld(budget, id_, address_, held, 0, Now());
  }
  if (isRecorded_) {
    body_budget::Complete(budget, id_, held);
  }
}

std::uint64_t
ServerConnection::HeldMemory() const
{
  // Behind the head, a read is freed as soon as it has been parsed.
  return reader_.Body().capacity() +
         (reader_.HeadDone() ? leftover_ : socket_->Unread().capacity());
}

std::uint64_t
ServerConnection::NeededMemory() const
{
  const auto held = HeldMemory();
  if (!reader_.HeadDone()) {
    return held;
  }
  if (const auto length = reader_.BodyLength()) {
    return std::max(held, *length);
  }
  // The next bytes may double the memory of a body in chunks.
  return 2 * held <= body_budget::kSmallBytes
           ? body_budget::kSmallBytes
           : std::max(held, limits_.bodyBytes_);
}

bool
ServerConnection::HasMemory(std::size_t aRead)
{
  if (server_.guard_ == nullptr) {
    return true;
  }
  const auto held = HeldMemory();
  const auto needed = NeededMemory();
  if (!isRecorded_ && needed <= kUncountedBytes) {
    return true;
  }
  auto& budget = server_.guard_->Budget();
  const auto now = Now();
  isRecorded_ = true;
  body_budget::RecordHeld(budget, id_, address_, held, aRead, now);
  if (needed <= std::max(granted_, body_budget::kUnreservedBytes)) {
    return true;
  }
  asked_ = needed;
  switch (body_budget::Reserve(budget, id_, needed, now)) {
    case body_budget::Answer::Granted:
      OnMemory();
      return true;
    case body_budget::Answer::Waits:
      waits_ = true;
      return true;
    case body_budget::Answer::TooLarge:
      EndUnread(body_budget::Reason::TooLarge);
      return false;
  }
  return true;
}

void
ServerConnection::OnMemory()
{
  granted_ = asked_;
  grantedAt_ = Now();
  socket_->SetMaxRead(granted_ > body_budget::kSmallBytes ? kBodyReadBytes
                                                          : kFirstReadBytes);
  if (std::exchange(waits_, false)) {
    socket_->SetReading(true);
  }
}

void
ServerConnection::ReleaseMemory()
{
  if (std::exchange(isRecorded_, false)) {
    body_budget::Release(server_.guard_->Budget(), id_);
  }
  granted_ = 0;
  asked_ = 0;
  waits_ = false;
  socket_->SetMaxRead(kFirstReadBytes);
}

bool
ServerConnection::IsOfCaller() const
{
  return server_.extra_ == 0;
}

bool
ServerConnection::IsIdle() const
{
  return !answering_ && !isBlocked_ && arrivedAt_ == absl::InfinitePast() &&
         socket_->Unsent() == 0 && socket_->Unread().empty();
}

bool
ServerConnection::IsReadingRequest() const
{
  return !answering_ && !isBlocked_ && arrivedAt_ != absl::InfinitePast();
}

void
ServerConnection::Note(body_budget::Reason aReason)
{
  if (server_.guard_ != nullptr) {
    server_.guard_->Note(aReason, address_);
  }
}

void
ServerConnection::EndUnread(body_budget::Reason aReason)
{
  if (!IsReadingRequest()) {
    return;
  }
  Note(aReason);
  answering_ = true;
  reader_.Head().keepAlive_ = false;
  const bool lacksMemory = aReason == body_budget::Reason::NoMemory ||
                           aReason == body_budget::Reason::TooLarge;
  Reply(lacksMemory ? kUnavailable : kRequestTimeout,
        { { "Retry-After", server_.guard_->RetryAfter() } },
        "");
}

void
ServerConnection::Disconnect(body_budget::Reason aReason)
{
  const auto self = shared_from_this();
  Note(aReason);
  socket_->Reset();
  OnClosed();
}

void
ServerConnection::Refuse(http::ReadError aError)
{
  const auto [status, reason] =
    aError == http::ReadError::HeaderTooLarge
      ? std::make_pair(kHeaderTooLarge, body_budget::Reason::HeadTooLarge)
    : aError == http::ReadError::BodyTooLarge
      ? std::make_pair(kBodyTooLarge, body_budget::Reason::BodyTooLarge)
      : std::make_pair(kBadRequest, body_budget::Reason::Malformed);
  Note(reason);
  answering_ = true;
  // The start of the next request can't be determined.
  reader_.Head().keepAlive_ = false;
  Reply(status, {}, "");
}

void
ServerConnection::OnClosed()
{
  if (const auto onGone = std::exchange(onGone_, nullptr)) {
    onGone();
  }
  Close();
}

void
ServerConnection::Close()
{
  onGone_ = nullptr;
  onDrained_ = nullptr;
  socket_->Close();
  ReleaseMemory();
  Deregister();
  server_.connections_.erase(shared_from_this());
}

bool
ServerConnection::KeepsAlive() const
{
  return reader_.Head().keepAlive_ && !server_.closing_ && !endsWithConnection_;
}

void
ServerConnection::Reply(int aStatus,
                        http::Fields aFields,
                        absl::string_view aBody)
{
  Begin(aStatus, http::ReasonOf(aStatus), std::move(aFields), aBody.size());
  Write(aBody);
  End();
}

void
ServerConnection::ReplyShared(int aStatus,
                              http::Fields aFields,
                              std::shared_ptr<const std::string> aBody)
{
  Begin(aStatus, http::ReasonOf(aStatus), std::move(aFields), aBody->size());
  if (reader_.Head().method_ != "HEAD") {
    socket_->SendShared(std::move(aBody));
  }
  End();
}

void
ServerConnection::Begin(int aStatus,
                        absl::string_view aReason,
                        http::Fields aFields,
                        absl::optional<std::uint64_t> aLength)
{
  const auto& head = reader_.Head();
  chunked_ = false;
  endsWithConnection_ = false;
  if (aLength) {
    if (!HasNoBody(aStatus)) {
      aFields.push_back({ "Content-Length", absl::StrCat(*aLength) });
    }
  } else if (head.version_ > kHttp10) {
    chunked_ = true;
    aFields.push_back({ "Transfer-Encoding", "chunked" });
  } else {
    endsWithConnection_ = true;
  }
  announcedClose_ = !KeepsAlive();
  if (announcedClose_) {
    aFields.push_back({ "Connection", "close" });
  } else if (head.version_ == kHttp10) {
    aFields.push_back({ "Connection", "keep-alive" });
  }
  socket_->Send(http::WriteResponseHead(aStatus, aReason, aFields));
}

void
ServerConnection::Write(absl::string_view aData)
{
  if (aData.empty() || reader_.Head().method_ == "HEAD") {
    return;
  }
  if (!chunked_) {
    socket_->Send(aData);
    return;
  }
  std::string chunk;
  http::AppendChunk(chunk, aData);
  socket_->Send(chunk);
}

void
ServerConnection::End()
{
  if (chunked_ && reader_.Head().method_ != "HEAD") {
    socket_->Send(http::kLastChunk);
  }
  EndAnswer();
}

void
ServerConnection::EndAnswer()
{
  const auto self = shared_from_this();
  onGone_ = nullptr;
  onDrained_ = nullptr;
  // A caller that wasn't told may be sending its next request.
  if (announcedClose_) {
    socket_->Finish();
    if (socket_->Unsent() > 0) {
      server_.finishing_.push_back(socket_);
    }
    if (server_.guard_ != nullptr) {
      server_.guard_->AddFinishing(socket_);
    }
    ReleaseMemory();
    Deregister();
    server_.connections_.erase(self);
    return;
  }
  ReleaseMemory();
  reader_ = http::RequestReader(http::ReadLimits());
  body_ = std::make_shared<std::string>();
  leftover_ = 0;
  answering_ = false;
  expectHandled_ = false;
  arrivedAt_ = absl::InfinitePast();
  idleSince_ = Now();
  if (socket_->Unsent() > kMaxUnsentAnswers) {
    isBlocked_ = true;
    socket_->SetReading(false);
    return;
  }
  Continue();
}

void
ServerConnection::Continue()
{
  if (socket_->Unread().empty()) {
    socket_->SetReading(true);
    return;
  }
  // Other connections take turns with the requests of this one, of which no
  // more are read meanwhile.
  socket_->SetReading(false);
  if (!std::exchange(continues_, true)) {
    boost::asio::post(server_.loop_, [self = shared_from_this()] {
      self->continues_ = false;
      if (self->socket_->IsOpen()) {
        self->OnData();
      }
    });
  }
}

void
ServerConnection::Abort()
{
  const auto self = shared_from_this();
  if (endsWithConnection_) {
    socket_->Reset();
  }
  Close();
}

void
ServerConnection::CheckTimeouts(absl::Time aNow)
{
  if (answering_) {
    return;
  }
  if (isBlocked_) {
    const auto limit =
      socket_->Unread().empty() ? kAnswerTimeout : kPipelineTimeout;
    if (aNow - std::max(socket_->SentAt(), idleSince_) > limit) {
      Disconnect(body_budget::Reason::UnreadAnswers);
    }
    return;
  }
  if (arrivedAt_ == absl::InfinitePast()) {
    if (aNow - idleSince_ > server_.limits_().idleTimeout_) {
      Close();
    }
    return;
  }
  const auto limit = reader_.HeadDone() ? kBodyTimeout : limits_.headerTimeout_;
  if (aNow - std::max(arrivedAt_, grantedAt_) > limit) {
    Note(body_budget::Reason::Timeout);
    answering_ = true;
    reader_.Head().keepAlive_ = false;
    Reply(kRequestTimeout, {}, "");
  }
}

Server::Server(Loop& aLoop,
               const Tcp::endpoint& aEndpoint,
               std::function<catalog::RequestLimits()> aLimits,
               Handler aHandler,
               CallerGuard* aGuard,
               std::uint64_t aExtra)
  : loop_(aLoop)
  , limits_(std::move(aLimits))
  , guard_(aGuard)
  , extra_(aExtra)
  , handler_(std::move(aHandler))
  , listener_(aLoop, aEndpoint, [this](std::shared_ptr<Socket> aSocket) {
    if (guard_ != nullptr && !guard_->MayAccept(extra_, Now())) {
      guard_->Note(body_budget::Reason::TooManyConnections,
                   aSocket->PeerAddress());
      aSocket->Close();
      return;
    }
    const auto connection =
      std::make_shared<ServerConnection>(*this, std::move(aSocket));
    connections_.insert(connection);
    connection->Open();
  })
{
}

Server::~Server()
{
  // Sockets own their connections until they are closed.
  const std::vector<ServerConnectionPtr> open(connections_.begin(),
                                              connections_.end());
  for (const auto& connection : open) {
    connection->Close();
  }
}

bool
Server::HasUnsent() const
{
  return std::any_of(finishing_.begin(), finishing_.end(), IsSending) ||
         std::any_of(connections_.begin(),
                     connections_.end(),
                     [](const auto& aOne) { return aOne->Unsent() > 0; });
}

void
Server::CheckTimeouts(absl::Time aNow)
{
  const std::vector<ServerConnectionPtr> open(connections_.begin(),
                                              connections_.end());
  for (const auto& connection : open) {
    connection->CheckTimeouts(aNow);
  }
  finishing_.erase(
    std::remove_if(finishing_.begin(),
                   finishing_.end(),
                   [](const auto& aOne) { return !IsSending(aOne); }),
    finishing_.end());
}

} // namespace lycheeplank::gateway
