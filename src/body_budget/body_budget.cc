#include "lycheeplank/body_budget.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lycheeplank::body_budget {

namespace {

// Memory of a process that isn't used for callers: the program, the
// configuration, the state of targets and hosts. A host at rest takes 9 MB, and
// one of 78 hosts 12 MB.
constexpr std::uint64_t kBaseBytes = 24U << 20U;
// Shares of the rest. What is left covers fragmentation and work in progress.
constexpr double kBodyShare = 0.5;
constexpr double kAnswerShare = 0.15;
constexpr double kUnsentShare = 0.15;
constexpr double kConnectionShare = 0.1;
// Least share of the memory that callers get on very small hosts.
constexpr std::uint64_t kLeastPart = 4;
// Memory of a connection beside its buffers.
constexpr std::uint64_t kConnectionBytes = 6U << 10U;
constexpr std::uint64_t kLeastConnections = 16;

std::uint64_t
Share(std::uint64_t aBytes, double aShare)
{
  return static_cast<std::uint64_t>(static_cast<double>(aBytes) * aShare);
}

std::uint64_t
ShareOfBudget(const Budget& aBudget, double aShare)
{
  return aBudget.bytes_ == std::numeric_limits<std::uint64_t>::max()
           ? aBudget.bytes_
           : Share(aBudget.bytes_, aShare);
}

bool
IsLarge(std::uint64_t aBytes)
{
  return aBytes > kSmallBytes;
}

void
SetHeld(Budget& aBudget, Request& aRequest, std::uint64_t aHeld)
{
  auto& ofAddress = aBudget.usedByAddress_[aRequest.address_];
  aBudget.used_ += aHeld - aRequest.held_;
  ofAddress += aHeld - aRequest.held_;
  aBudget.largeUsed_ += (IsLarge(aHeld) ? aHeld : 0) -
                        (IsLarge(aRequest.held_) ? aRequest.held_ : 0);
  aRequest.held_ = aHeld;
  if (ofAddress == 0) {
    aBudget.usedByAddress_.erase(aRequest.address_);
  }
}

void
StopWaiting(Budget& aBudget, Request& aRequest)
{
  if (aRequest.wanted_ != 0) {
    --aBudget.waiting_;
    aRequest.wanted_ = 0;
  }
}

std::uint64_t
UsedBy(const Budget& aBudget, const std::string& aAddress)
{
  const auto found = aBudget.usedByAddress_.find(aAddress);
  return found == aBudget.usedByAddress_.end() ? 0 : found->second;
}

// Returns whether a request may have aBytes in all.
bool
Fits(const Budget& aBudget, const Request& aRequest, std::uint64_t aBytes)
{
  const auto others = aBudget.used_ - aRequest.held_;
  if (others + aBytes > aBudget.bytes_) {
    return false;
  }
  // One request of an address, and one large request, may exceed the shares.
  const auto othersOfAddress =
    UsedBy(aBudget, aRequest.address_) - aRequest.held_;
  if (othersOfAddress > kSmallBytes &&
      othersOfAddress + aBytes > ShareOfBudget(aBudget, kAddressShare)) {
    return false;
  }
  const auto otherLarge =
    aBudget.largeUsed_ - (IsLarge(aRequest.held_) ? aRequest.held_ : 0);
  return !IsLarge(aBytes) || otherLarge == 0 ||
         otherLarge + aBytes <= ShareOfBudget(aBudget, kLargeShare);
}

double
RecentBytes(const Request& aRequest, absl::Time aNow)
{
  const double periods =
    absl::FDivDuration(aNow - aRequest.notedAt_, kProgressTime);
  return aRequest.recentBytes_ * std::exp(-std::max(0.0, periods));
}

void
Admit(Budget& aBudget, Request& aRequest, std::uint64_t aBytes, absl::Time aNow)
{
  StopWaiting(aBudget, aRequest);
  SetHeld(aBudget, aRequest, aBytes);
  aRequest.admittedAt_ = aNow;
}

std::vector<std::uint64_t>
WaitingInOrder(const Budget& aBudget)
{
  std::vector<std::tuple<std::uint64_t, std::uint64_t>> order;
  for (const auto& [id, request] : aBudget.requests_) {
    if (request.wanted_ != 0) {
      order.emplace_back(UsedBy(aBudget, request.address_), id);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<std::uint64_t> ids;
  ids.reserve(order.size());
  for (const auto& [used, id] : order) {
    ids.push_back(id);
  }
  return ids;
}

// Ends incomplete requests until aBytes are freed, those with the least
// progress first. aAll: also those that make progress.
void
EndLeastProgress(const Budget& aBudget,
                 std::uint64_t aBytes,
                 bool aAll,
                 absl::Time aNow,
                 absl::Time aReadSince,
                 Decision& aDecision)
{
  std::vector<std::tuple<double, std::uint64_t, std::uint64_t>> order;
  for (const auto& [id, request] : aBudget.requests_) {
    const auto recent = RecentBytes(request, aNow);
    const bool isStalled =
      request.wanted_ == 0 && recent < kMinRecentBytes &&
      aNow - std::max(request.admittedAt_, aReadSince) >= kProgressTime;
    if (!request.isComplete_ && request.held_ > 0 && (aAll || isStalled)) {
      order.emplace_back(recent, id, request.held_);
    }
  }
  std::sort(order.begin(), order.end());
  std::uint64_t freed = 0;
  for (const auto& [recent, id, held] : order) {
    if (freed >= aBytes) {
      return;
    }
    freed += held;
    aDecision.ended_.push_back({ id, Reason::StalledBody });
  }
}

} // namespace

Memory
MemoryOf(std::uint64_t aMemoryBytes, std::uint64_t aDescriptors)
{
  Memory memory;
  if (aMemoryBytes > 0) {
    const auto usable =
      std::max(aMemoryBytes - std::min(aMemoryBytes, kBaseBytes),
               aMemoryBytes / kLeastPart);
    memory.bodyBytes_ = Share(usable, kBodyShare);
    memory.answerBytes_ = Share(usable, kAnswerShare);
    memory.unsentBytes_ = Share(usable, kUnsentShare);
    memory.connections_ = Share(usable, kConnectionShare) / kConnectionBytes;
  }
  if (aDescriptors > 0) {
    memory.connections_ =
      std::min(memory.connections_,
               aDescriptors - std::min(aDescriptors, kReservedDescriptors));
  }
  memory.connections_ = std::max(memory.connections_, kLeastConnections);
  return memory;
}

void
RecordHeld(Budget& aBudget,
           std::uint64_t aId,
           const std::string& aAddress,
           std::uint64_t aHeld,
           std::uint64_t aRead,
           absl::Time aNow)
{
  auto [found, isNew] = aBudget.requests_.try_emplace(aId);
  auto& request = found->second;
  if (isNew) {
    request.address_ = aAddress;
    request.admittedAt_ = aNow;
    request.notedAt_ = aNow;
  }
  request.recentBytes_ = std::min(
    kMaxRecentBytes, RecentBytes(request, aNow) + static_cast<double>(aRead));
  request.notedAt_ = aNow;
  SetHeld(aBudget, request, std::max(request.held_, aHeld));
}

Answer
Reserve(Budget& aBudget,
        std::uint64_t aId,
        std::uint64_t aBytes,
        absl::Time aNow)
{
  auto& request = aBudget.requests_.at(aId);
  if (aBytes > aBudget.bytes_) {
    return Answer::TooLarge;
  }
  if (request.wanted_ == 0 && Fits(aBudget, request, aBytes)) {
    Admit(aBudget, request, aBytes, aNow);
    return Answer::Granted;
  }
  if (request.wanted_ == 0) {
    ++aBudget.waiting_;
    request.waitsSince_ = aNow;
  }
  request.wanted_ = aBytes;
  return Answer::Waits;
}

void
Complete(Budget& aBudget, std::uint64_t aId, std::uint64_t aHeld)
{
  const auto found = aBudget.requests_.find(aId);
  if (found != aBudget.requests_.end()) {
    StopWaiting(aBudget, found->second);
    SetHeld(aBudget, found->second, aHeld);
    found->second.isComplete_ = true;
  }
}

void
Release(Budget& aBudget, std::uint64_t aId)
{
  const auto found = aBudget.requests_.find(aId);
  if (found != aBudget.requests_.end()) {
    StopWaiting(aBudget, found->second);
    SetHeld(aBudget, found->second, 0);
    aBudget.requests_.erase(found);
  }
}

Decision
Decide(Budget& aBudget, absl::Time aNow, absl::Time aReadSince)
{
  Decision decision;
  std::uint64_t missing = 0;
  if (aBudget.waiting_ > 0) {
    for (const auto id : WaitingInOrder(aBudget)) {
      auto& request = aBudget.requests_.at(id);
      if (Fits(aBudget, request, request.wanted_)) {
        Admit(aBudget, request, request.wanted_, aNow);
        decision.granted_.push_back(id);
      } else if (aNow - request.waitsSince_ > kMaxWait) {
        decision.ended_.push_back({ id, Reason::NoMemory });
      } else {
        missing += request.wanted_ - request.held_;
      }
    }
  }
  if (aBudget.used_ > aBudget.bytes_) {
    EndLeastProgress(aBudget,
                     aBudget.used_ - aBudget.bytes_,
                     true,
                     aNow,
                     aReadSince,
                     decision);
  } else if (missing > 0) {
    EndLeastProgress(aBudget, missing, false, aNow, aReadSince, decision);
  }
  return decision;
}

std::vector<std::uint64_t>
SlowestReaders(std::vector<Reader> aReaders,
               std::uint64_t aExcess,
               absl::Time aNow)
{
  const auto rate = [aNow](const Reader& aReader) {
    // Nothing can be said yet about a peer whose bytes have just begun to wait.
    const auto time = std::max(aNow - aReader.since_, kProgressTime);
    return static_cast<double>(aReader.sent_) / absl::ToDoubleSeconds(time);
  };
  std::sort(aReaders.begin(),
            aReaders.end(),
            [&](const Reader& aFirst, const Reader& aSecond) {
              return std::make_tuple(rate(aFirst), aFirst.since_, aFirst.id_) <
                     std::make_tuple(
                       rate(aSecond), aSecond.since_, aSecond.id_);
            });
  std::vector<std::uint64_t> ids;
  std::uint64_t freed = 0;
  for (const auto& reader : aReaders) {
    if (freed >= aExcess) {
      break;
    }
    freed += reader.unsent_;
    ids.push_back(reader.id_);
  }
  return ids;
}

std::size_t
LeastUseful(const std::vector<Idle>& aIdle)
{
  const auto found = std::max_element(
    aIdle.begin(), aIdle.end(), [](const Idle& aFirst, const Idle& aSecond) {
      return std::make_tuple(aFirst.ofAddress_, aSecond.since_) <
             std::make_tuple(aSecond.ofAddress_, aFirst.since_);
    });
  return static_cast<std::size_t>(found - aIdle.begin());
}

} // namespace lycheeplank::body_budget
