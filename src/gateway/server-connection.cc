#include "gateway/server-connection.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "gateway/clock.h"

namespace lycheeplank::gateway {

namespace {

// Limit of bytes of pipelined requests that are read while one is answered.
// Once it is exceeded, the host stops reading.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;
// Timeout of a request with its body. Callers on slow links send the largest
// bodies in some seconds.
constexpr absl::Duration kBodyTimeout = absl::Seconds(20);
constexpr int kRequestTimeout = 408;
constexpr int kHeaderTooLarge = 431;
constexpr int kBodyTooLarge = 413;
constexpr int kBadRequest = 400;
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
  , reader_({ aServer.limits_().headerBytes_, aServer.limits_().bodyBytes_ })
  , idleSince_(Now())
{
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
                  } });
}

void
ServerConnection::OnData()
{
  auto& data = socket_->Unread();
  if (answering_) {
    if (data.size() > kMaxReadAheadBytes) {
      socket_->SetReading(false);
    }
    return;
  }
  if (arrivedAt_ == absl::InfinitePast()) {
    arrivedAt_ = Now();
  }
  const auto error = reader_.Feed(data);
  if (error != http::ReadError::None) {
    Refuse(error);
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
    server_.handler_(shared_from_this());
  }
}

void
ServerConnection::Refuse(http::ReadError aError)
{
  const int status = aError == http::ReadError::HeaderTooLarge ? kHeaderTooLarge
                     : aError == http::ReadError::BodyTooLarge ? kBodyTooLarge
                                                               : kBadRequest;
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
    server_.connections_.erase(self);
    return;
  }
  const auto limits = server_.limits_();
  reader_ = http::RequestReader({ limits.headerBytes_, limits.bodyBytes_ });
  answering_ = false;
  expectHandled_ = false;
  arrivedAt_ = absl::InfinitePast();
  idleSince_ = Now();
  socket_->SetReading(true);
  if (!socket_->Unread().empty()) {
    OnData();
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
  const auto limits = server_.limits_();
  if (arrivedAt_ == absl::InfinitePast()) {
    if (aNow - idleSince_ > limits.idleTimeout_) {
      Close();
    }
    return;
  }
  const auto limit = reader_.HeadDone() ? kBodyTimeout : limits.headerTimeout_;
  if (aNow - arrivedAt_ > limit) {
    answering_ = true;
    reader_.Head().keepAlive_ = false;
    Reply(kRequestTimeout, {}, "");
  }
}

Server::Server(Loop& aLoop,
               const Tcp::endpoint& aEndpoint,
               std::function<catalog::RequestLimits()> aLimits,
               Handler aHandler)
  : limits_(std::move(aLimits))
  , handler_(std::move(aHandler))
  , listener_(aLoop, aEndpoint, [this](std::shared_ptr<Socket> aSocket) {
    const auto connection =
      std::make_shared<ServerConnection>(*this, std::move(aSocket));
    connections_.insert(connection);
    connection->Open();
  })
{
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
