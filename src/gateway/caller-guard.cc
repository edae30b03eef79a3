#include "gateway/caller-guard.h"

#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

#include "gateway/server-connection.h"

namespace lycheeplank::gateway {

namespace {

using body_budget::Reason;

// Unsent bytes from which a reader can be disconnected as a slow one.
constexpr std::size_t kSlowReaderBytes = 16U << 10U;
// Retry-After of a request that found no memory, before jitter: the time in
// which bodies are read or found to make no progress.
constexpr absl::Duration kRetryAfterNoMemory = absl::Seconds(1);
// Descriptors that remain for the log, the event loop and new connections to
// targets when callers have all others.
constexpr std::uint64_t kLastDescriptors = 40;
// Time after which a request whose bytes haven't all arrived can be ended for
// another connection.
constexpr absl::Duration kSlowRequestTime = absl::Seconds(1);
constexpr absl::Duration kReportPeriod = absl::Seconds(1);

} // namespace

CallerGuard::CallerGuard(Host& aHost)
  : host_(aHost)
{
  budget_.bytes_ = aHost.memory_.bodyBytes_;
}

std::uint64_t
CallerGuard::Add(ServerConnection* aConnection, const std::string& aAddress)
{
  const auto id = nextId_++;
  connections_[id] = aConnection;
  ++ofAddress_[aAddress];
  return id;
}

void
CallerGuard::Remove(std::uint64_t aId, const std::string& aAddress)
{
  if (connections_.erase(aId) == 0) {
    return;
  }
  body_budget::Release(budget_, aId);
  const auto found = ofAddress_.find(aAddress);
  if (found != ofAddress_.end() && --found->second == 0) {
    ofAddress_.erase(found);
  }
}

void
CallerGuard::AddFinishing(const std::shared_ptr<Socket>& aSocket)
{
  finishing_[nextId_++] = aSocket;
}

bool
CallerGuard::MayAccept(std::uint64_t aExtra, absl::Time aNow)
{
  const auto descriptors = host_.settings_.maxDescriptors_;
  const auto lacks = [descriptors](std::uint64_t aReserve) {
    return descriptors > 0 && TotalsOfSockets().open_ + aReserve >= descriptors;
  };
  if (lacks(kLastDescriptors)) {
    CloseOldestFinished();
  }
  const bool isFull = connections_.size() >= host_.memory_.connections_ ||
                      lacks(kLastDescriptors);
  if (!isFull || CloseLeastUseful(aNow)) {
    return true;
  }
  return !lacks(kLastDescriptors / 2) &&
         connections_.size() < host_.memory_.connections_ + aExtra;
}

void
CallerGuard::CloseOldestFinished()
{
  for (const auto& [id, weak] : finishing_) {
    const auto socket = weak.lock();
    if (socket && socket->IsOpen() && socket->Unsent() == 0) {
      socket->Close();
      return;
    }
  }
}

bool
CallerGuard::CloseLeastUseful(absl::Time aNow)
{
  std::vector<body_budget::Idle> idle;
  std::vector<body_budget::Idle> slow;
  for (const auto& [id, connection] : connections_) {
    const auto count = ofAddress_.find(connection->Address());
    const auto ofAddress = count == ofAddress_.end() ? 1 : count->second;
    if (connection->IsIdle()) {
      idle.push_back({ id, connection->IdleSince(), ofAddress });
    } else if (connection->IsReadingRequest() &&
               aNow - connection->ArrivedAt() > kSlowRequestTime) {
      slow.push_back({ id, connection->ArrivedAt(), ofAddress });
    }
  }
  if (!idle.empty()) {
    auto* const connection =
      connections_.at(idle[body_budget::LeastUseful(idle)].id_);
    Note(Reason::IdleConnection, connection->Address());
    connection->Close();
    return true;
  }
  if (!slow.empty()) {
    connections_.at(slow[body_budget::LeastUseful(slow)].id_)
      ->EndUnread(Reason::TooManyConnections);
    return true;
  }
  return false;
}

std::string
CallerGuard::RetryAfter()
{
  return absl::StrCat(
    absl::ToDoubleSeconds(Jitter(host_, kRetryAfterNoMemory)));
}

void
CallerGuard::Note(Reason aReason, const std::string& aAddress)
{
  host_.metrics_.Count("caller_limits_total",
                       "reason",
                       core::NameOf(body_budget::kReasons, aReason));
  auto& count = counts_.at(static_cast<std::size_t>(aReason));
  ++count.count_;
  count.address_ = aAddress;
}

void
CallerGuard::Update(absl::Time aNow)
{
  if (aNow - std::exchange(updatedAt_, aNow) > body_budget::kProgressTime) {
    readSince_ = aNow;
  }
  if (budget_.waiting_ > 0 || budget_.used_ > budget_.bytes_) {
    const auto decision = body_budget::Decide(budget_, aNow, readSince_);
    const auto find = [this](std::uint64_t aId) {
      const auto found = connections_.find(aId);
      return found == connections_.end() ? nullptr : found->second;
    };
    for (const auto id : decision.granted_) {
      if (auto* const connection = find(id)) {
        connection->OnMemory();
      }
    }
    for (const auto& ended : decision.ended_) {
      if (auto* const connection = find(ended.id_)) {
        connection->EndUnread(ended.reason_);
      }
    }
  }
  DisconnectSlowReaders(aNow);
}

void
CallerGuard::DisconnectSlowReaders(absl::Time aNow)
{
  const auto limit = host_.memory_.unsentBytes_;
  if (TotalsOfSockets().unsentBytes_ <= limit) {
    return;
  }
  // The total includes what waits for targets and other hosts.
  std::vector<body_budget::Reader> readers;
  std::uint64_t unsent = 0;
  const auto add = [&](std::uint64_t aId, const Socket& aSocket) {
    unsent += aSocket.Unsent();
    if (aSocket.Unsent() > kSlowReaderBytes) {
      readers.push_back(
        { aId, aSocket.Unsent(), aSocket.SentSince(), aSocket.WaitingSince() });
    }
  };
  for (const auto& [id, connection] : connections_) {
    if (connection->IsOfCaller()) {
      add(id, connection->PeerSocket());
    }
  }
  for (const auto& [id, weak] : finishing_) {
    if (const auto socket = weak.lock()) {
      add(id, *socket);
    }
  }
  if (unsent <= limit) {
    return;
  }
  for (const auto id :
       body_budget::SlowestReaders(std::move(readers), unsent - limit, aNow)) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
      found->second->Disconnect(Reason::SlowReader);
    } else if (const auto socket = finishing_[id].lock()) {
      Note(Reason::SlowReader, socket->PeerAddress());
      socket->Reset();
    }
  }
}

void
CallerGuard::Report(absl::Time aNow)
{
  std::erase_if(finishing_, [](const auto& aEntry) {
    const auto socket = aEntry.second.lock();
    return !socket || !socket->IsOpen();
  });
  for (const auto& [reason, name] : body_budget::kReasons) {
    auto& count = counts_.at(static_cast<std::size_t>(reason));
    if (count.count_ == 0 || aNow - count.loggedAt_ < kReportPeriod) {
      continue;
    }
    count.loggedAt_ = aNow;
    host_.log_.Write(Line("caller_limit")
                       .Text("reason", name)
                       .Number("count", std::exchange(count.count_, 0))
                       .Text("address", count.address_)
                       .Number("body_bytes", budget_.used_)
                       .Number("waiting", budget_.waiting_)
                       .Number("unsent_bytes", TotalsOfSockets().unsentBytes_)
                       .Number("connections", connections_.size()));
  }
  auto& metrics = host_.metrics_;
  metrics.Set("caller_connections", static_cast<double>(connections_.size()));
  metrics.Set("caller_body_bytes", static_cast<double>(budget_.used_));
  metrics.Set("unsent_bytes",
              static_cast<double>(TotalsOfSockets().unsentBytes_));
}

} // namespace lycheeplank::gateway
