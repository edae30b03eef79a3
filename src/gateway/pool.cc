#include "gateway/pool.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "gateway/clock.h"
#include "gateway/timer.h"

namespace lycheeplank::gateway {

namespace {

// Connecting to another data centre takes milliseconds.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
// The peer may have closed a connection unnoticed within this time; a call on
// it may then fail, and its owner repeats it.
constexpr absl::Duration kMaxIdle = absl::Seconds(30);

// A transfer that makes progress may take longer than its call's timeout: its
// size grows with the number of routes and targets, and links differ. It fails
// if nothing arrives for kStallTimeout, or if it is slower than
// kMinBytesPerSecond.
constexpr absl::Duration kStallTimeout = absl::Seconds(1);
constexpr double kMinBytesPerSecond = 64U << 10U;

} // namespace

struct FetchState
{
  explicit FetchState(Loop& aLoop)
    : timer_(aLoop)
  {
  }
  Timer timer_;
  ConnectionPtr connection_;
  http::Answer answer_;
  // Time by which the answer has to begin.
  absl::Time deadline_;
  absl::Time headAt_ = absl::InfiniteFuture();
  absl::Time receivedAt_ = absl::InfinitePast();
  std::function<void(http::Answer)> onAnswer_;
};

namespace {

void
FinishFetch(const std::shared_ptr<FetchState>& aState, bool aIsComplete)
{
  if (!aState->onAnswer_) {
    return;
  }
  aState->timer_.Cancel();
  const auto onAnswer = std::exchange(aState->onAnswer_, nullptr);
  auto& answer = aState->answer_;
  if (!aIsComplete) {
    const auto received = answer.received_;
    answer = {};
    answer.received_ = received;
  }
  answer.transferTime_ =
    std::max(absl::ZeroDuration(), Now() - aState->headAt_);
  onAnswer(std::move(answer));
}

// Returns the time at which the call fails unless more of its answer arrives.
absl::Time
DeadlineOf(const FetchState& aState)
{
  const auto received = static_cast<double>(aState.answer_.received_);
  const auto slowest =
    aState.deadline_ + absl::Seconds(received / kMinBytesPerSecond);
  return std::max(aState.deadline_,
                  std::min(aState.receivedAt_ + kStallTimeout, slowest));
}

void
AbandonFetch(const std::shared_ptr<FetchState>& aState)
{
  if (const auto connection = std::exchange(aState->connection_, nullptr)) {
    connection->Close();
  }
  FinishFetch(aState, false);
}

void
CheckDeadline(const std::shared_ptr<FetchState>& aState)
{
  if (const auto left = DeadlineOf(*aState) - Now();
      left > absl::ZeroDuration()) {
    aState->timer_.Set(left, [aState] { CheckDeadline(aState); });
  } else {
    AbandonFetch(aState);
  }
}

std::string
WriteCall(const std::string& aAddress, const http::Call& aCall)
{
  auto fields = aCall.fields_;
  fields.insert(fields.begin(), { "Host", aAddress });
  if (!aCall.body_.empty() || aCall.method_ == "POST") {
    fields.push_back({ "Content-Length", absl::StrCat(aCall.body_.size()) });
  }
  return http::WriteRequestHead(aCall.method_, aCall.target_, fields) +
         aCall.body_;
}

void
StartFetch(Pool& aPool,
           const std::shared_ptr<FetchState>& aState,
           const std::string& aAddress,
           const http::Call& aCall)
{
  CallEvents events;
  events.onHead_ = [aState](const http::ResponseHead& aHead) {
    aState->headAt_ = Now();
    aState->answer_.status_ = aHead.status_;
    aState->answer_.fields_ = aHead.fields_;
    return true;
  };
  events.onBody_ =
    [aState, &aPool, limit = aCall.maxAnswerBytes_](std::string& aBody) {
      aState->answer_.received_ += aBody.size();
      aState->receivedAt_ = Now();
      aState->answer_.body_ += aBody;
      aBody.clear();
      if (aState->answer_.body_.size() > limit) {
        aPool.CountOversized();
        AbandonFetch(aState);
      }
    };
  events.onEnd_ = [aState, &aPool, aAddress](CallEnd aEnd) {
    const auto connection = std::exchange(aState->connection_, nullptr);
    if (connection && aEnd == CallEnd::Complete) {
      aPool.Return(aAddress, connection);
    }
    FinishFetch(aState, aEnd == CallEnd::Complete);
  };
  aState->connection_->Start(
    WriteCall(aAddress, aCall), aCall.method_ == "HEAD", std::move(events));
}

} // namespace

ConnectionPtr
Pool::Take(const std::string& aPeer, absl::Duration aMaxIdle)
{
  const auto found = idle_.find(aPeer);
  if (found == idle_.end()) {
    return nullptr;
  }
  const auto now = Now();
  auto& kept = found->second;
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (connection->IsReusable(now)) {
      if (connection->IdleFor(now) < aMaxIdle) {
        return connection;
      }
      // The others have been idle for even longer.
      kept.push_back(connection);
      return nullptr;
    }
    connection->Close();
  }
  return nullptr;
}

void
Pool::Connect(const std::string& aPeer,
              const std::string& aAddress,
              absl::Duration aTimeout,
              std::function<void(ConnectionPtr)> aOnDone)
{
  if (const auto kept = idle_.find(aPeer);
      kept != idle_.end() && !kept->second.empty()) {
    const auto oldest = kept->second.front();
    kept->second.erase(kept->second.begin());
    oldest->Close();
  }
  Open(aPeer,
       aAddress,
       aTimeout,
       [onDone = std::move(aOnDone)](ConnectionPtr aConnection, ConnectEnd) {
         onDone(std::move(aConnection));
       });
}

void
Pool::OpenSpare(const std::string& aPeer,
                const std::string& aAddress,
                absl::Duration aTimeout,
                std::function<void(ConnectEnd)> aOnDone)
{
  Open(aPeer,
       aAddress,
       aTimeout,
       [this, aPeer, onDone = std::move(aOnDone)](
         const ConnectionPtr& aConnection, ConnectEnd aEnd) {
         if (aConnection) {
           Return(aPeer, aConnection);
         }
         onDone(aEnd);
       });
}

void
Pool::Open(const std::string& aPeer,
           const std::string& aAddress,
           absl::Duration aTimeout,
           std::function<void(ConnectionPtr, ConnectEnd)> aOnDone)
{
  ++opened_;
  gateway::Connect(
    loop_,
    ParseEndpoint(aAddress),
    aTimeout,
    [this, aPeer, onDone = std::move(aOnDone)](std::shared_ptr<Socket> aSocket,
                                               ConnectEnd aEnd) {
      onDone(aSocket ? Adopt(aPeer, std::move(aSocket)) : nullptr, aEnd);
    });
}

ConnectionPtr
Pool::Adopt(const std::string& aPeer, std::shared_ptr<Socket> aSocket)
{
  auto connection = std::make_shared<ClientConnection>(std::move(aSocket));
  connection->Open([this, aPeer, weak = std::weak_ptr(connection)] {
    const auto found = idle_.find(aPeer);
    if (found != idle_.end()) {
      auto& kept = found->second;
      kept.erase(std::remove(kept.begin(), kept.end(), weak.lock()),
                 kept.end());
    }
  });
  all_[aPeer].push_back(connection);
  return connection;
}

void
Pool::RecordLoss(const std::string& aPeer, absl::Time aNow)
{
  losses_[aPeer] = aNow;
}

absl::Time
Pool::LastLoss(const std::string& aPeer) const
{
  const auto found = losses_.find(aPeer);
  return found == losses_.end() ? absl::InfinitePast() : found->second;
}

bool
Pool::IsConnected(const std::string& aPeer) const
{
  const auto found = all_.find(aPeer);
  return found != all_.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [](const auto& aOne) {
             const auto connection = aOne.lock();
             return connection && connection->IsSeenOpen();
           });
}

void
Pool::Return(const std::string& aPeer, const ConnectionPtr& aConnection)
{
  if (aConnection->IsReusable(Now())) {
    idle_[aPeer].push_back(aConnection);
  } else {
    aConnection->Close();
  }
}

void
Pool::Drop(const std::string& aPeer)
{
  const auto found = idle_.find(aPeer);
  if (found == idle_.end()) {
    return;
  }
  const auto kept = std::move(found->second);
  idle_.erase(found);
  for (const auto& connection : kept) {
    connection->Close();
  }
}

void
Pool::Sweep(absl::Time aNow)
{
  for (auto& [peer, kept] : idle_) {
    const auto over =
      std::stable_partition(kept.begin(), kept.end(), [aNow](const auto& aOne) {
        return aOne->IsReusable(aNow);
      });
    const std::vector<ConnectionPtr> closing(over, kept.end());
    kept.erase(over, kept.end());
    for (const auto& connection : closing) {
      connection->Close();
    }
  }
  absl::erase_if(idle_,
                 [](const auto& aEntry) { return aEntry.second.empty(); });
  for (auto& [peer, known] : all_) {
    known.erase(std::remove_if(known.begin(),
                               known.end(),
                               [](const auto& aOne) { return aOne.expired(); }),
                known.end());
  }
  absl::erase_if(all_,
                 [](const auto& aEntry) { return aEntry.second.empty(); });
  absl::erase_if(losses_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kLossMemory;
  });
}

bool
PendingFetch::IsReceiving() const
{
  const auto state = state_.lock();
  return state && state->onAnswer_ && state->answer_.received_ > 0;
}

void
PendingFetch::Cancel()
{
  if (const auto state = state_.lock()) {
    state->onAnswer_ = nullptr;
    state->timer_.Cancel();
    AbandonFetch(state);
  }
}

PendingFetch
Fetch(Pool& aPool,
      Loop& aLoop,
      const std::string& aAddress,
      const http::Call& aCall,
      absl::Duration aTimeout,
      std::function<void(http::Answer)> aOnAnswer)
{
  const auto state = std::make_shared<FetchState>(aLoop);
  state->onAnswer_ = std::move(aOnAnswer);
  state->deadline_ = Now() + aTimeout;
  CheckDeadline(state);
  state->connection_ = aPool.Take(aAddress, kMaxIdle);
  if (state->connection_) {
    StartFetch(aPool, state, aAddress, aCall);
    return PendingFetch(state);
  }
  aPool.Connect(aAddress,
                aAddress,
                std::min(kConnectTimeout, aTimeout),
                [&aPool, state, aAddress, aCall](ConnectionPtr aConnection) {
                  if (!aConnection || !state->onAnswer_) {
                    if (aConnection) {
                      aConnection->Close();
                    }
                    FinishFetch(state, false);
                    return;
                  }
                  state->connection_ = std::move(aConnection);
                  StartFetch(aPool, state, aAddress, aCall);
                });
  return PendingFetch(state);
}

} // namespace lycheeplank::gateway
