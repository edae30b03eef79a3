#include "lycheeplank/request_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace lycheeplank::request_queue {

namespace {

auto
FindRequest(Queue& aQueue, std::uint64_t aId)
{
  return std::find_if(
    aQueue.entries_.begin(),
    aQueue.entries_.end(),
    [aId](const QueuedRequest& aRequest) { return aRequest.id_ == aId; });
}

bool
IsLate(const QueuedRequest& aRequest, absl::Time aNow)
{
  return aRequest.goalAt_ <= aNow;
}

// Returns whether requests of a service wait.
bool
HasRequests(const Queue& aQueue, const std::string& aService)
{
  return std::any_of(aQueue.entries_.begin(),
                     aQueue.entries_.end(),
                     [&aService](const QueuedRequest& aRequest) {
                       return aRequest.service_ == aService;
                     });
}

// Adds the time until aNow, in which requests of the service waited.
void
CountTime(Throughput& aThroughput, absl::Time aNow)
{
  if (aThroughput.countedTo_ == absl::InfinitePast()) {
    return;
  }
  const auto time =
    std::max(absl::ZeroDuration(), aNow - aThroughput.countedTo_);
  const double decay = std::exp(-absl::FDivDuration(time, kThroughputWindow));
  aThroughput.tokens_ *= decay;
  aThroughput.seconds_ =
    aThroughput.seconds_ * decay +
    absl::ToDoubleSeconds(kThroughputWindow) * (1.0 - decay);
  aThroughput.countedTo_ = aNow;
}

// Returns the start tag of a workspace's next request.
double
StartTag(const Turns& aTurns, const std::string& aWorkspace)
{
  const auto found = aTurns.finish_.find(aWorkspace);
  return found == aTurns.finish_.end()
           ? aTurns.virtualTime_
           : std::max(aTurns.virtualTime_, found->second);
}

// Charges a start to its workspace.
void
TakeTurn(Turns& aTurns, const QueuedRequest& aRequest)
{
  const double tag = StartTag(aTurns, aRequest.workspace_);
  aTurns.virtualTime_ = std::max(aTurns.virtualTime_, tag);
  aTurns.finish_[aRequest.workspace_] =
    tag + static_cast<double>(aRequest.tokens_);
  aTurns.started_[aRequest.workspace_] += static_cast<double>(aRequest.tokens_);
}

using RequestPointers = std::vector<const QueuedRequest*>;

// Appends requests of one service and priority so that their workspaces take
// turns; those of one workspace keep their order.
void
AppendInTurns(RequestPointers& aOrder,
              const RequestPointers& aRequests,
              const Turns& aTurns)
{
  absl::flat_hash_map<std::string, std::deque<const QueuedRequest*>> waiting;
  for (const auto* request : aRequests) {
    waiting[request->workspace_].push_back(request);
  }
  // Workspaces by start tag and by the arrival of their first request.
  std::set<std::tuple<double, absl::Time, std::string>> turns;
  for (const auto& [workspace, requests] : waiting) {
    turns.emplace(
      StartTag(aTurns, workspace), requests.front()->arrivedAt_, workspace);
  }
  while (!turns.empty()) {
    const auto [tag, arrivedAt, workspace] = *turns.begin();
    turns.erase(turns.begin());
    auto& requests = waiting[workspace];
    aOrder.push_back(requests.front());
    const auto finish = tag + static_cast<double>(requests.front()->tokens_);
    requests.pop_front();
    if (!requests.empty()) {
      turns.emplace(finish, requests.front()->arrivedAt_, workspace);
    }
  }
}

// Returns requests in the order of StartOrder.
RequestPointers
Order(const Queue& aQueue, const RequestPointers& aRequests, absl::Time aNow)
{
  // By lateness, priority and service.
  absl::btree_map<std::tuple<bool, std::uint32_t, std::string>, RequestPointers>
    groups;
  for (const auto* request : aRequests) {
    groups[{ IsLate(*request, aNow), request->priority_, request->service_ }]
      .push_back(request);
  }
  RequestPointers order;
  for (auto& [key, requests] : groups) {
    const auto priority = std::get<1>(key);
    const auto& service = std::get<2>(key);
    // Newest first.
    std::reverse(requests.begin(), requests.end());
    static const Turns kNoTurns;
    const auto turns = aQueue.turns_.find({ service, priority });
    AppendInTurns(
      order, requests, turns == aQueue.turns_.end() ? kNoTurns : turns->second);
  }
  return order;
}

// Returns the waiting requests of a request's service and itself, in the order
// of StartOrder.
RequestPointers
OrderWith(const Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow)
{
  RequestPointers requests;
  for (const auto& entry : aQueue.entries_) {
    if (entry.service_ == aRequest.service_ && entry.id_ != aRequest.id_) {
      requests.push_back(&entry);
    }
  }
  const auto later = std::find_if(
    requests.begin(), requests.end(), [&aRequest](const auto* aOther) {
      return aOther->arrivedAt_ > aRequest.arrivedAt_ ||
             (aOther->arrivedAt_ == aRequest.arrivedAt_ && aRequest.id_ != 0 &&
              aOther->id_ > aRequest.id_);
    });
  requests.insert(later, &aRequest);
  return Order(aQueue, requests, aNow);
}

RequestPointers
PointersTo(const Queue& aQueue)
{
  RequestPointers pointers;
  for (const auto& entry : aQueue.entries_) {
    pointers.push_back(&entry);
  }
  return pointers;
}

} // namespace

absl::optional<absl::Duration>
Enqueue(Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow)
{
  const auto wait = absl::Seconds(aQueue.startInterval_ *
                                  static_cast<double>(aQueue.entries_.size()));
  // The newest request may start first, so the queue is full only if its
  // expected wait exceeds the time that the caller waits.
  if (wait > aRequest.callerLeavesAt_ - aNow) {
    return wait - (aRequest.callerLeavesAt_ - aNow) / 2;
  }
  AddRequest(aQueue, aRequest, aNow);
  return absl::nullopt;
}

absl::optional<std::uint64_t>
NextToStart(const Queue& aQueue, absl::Time aNow)
{
  if (aQueue.entries_.empty()) {
    return absl::nullopt;
  }
  const auto& oldest = aQueue.entries_.front();
  if (oldest.goalAt_ > aNow) {
    return oldest.id_;
  }
  // The oldest request that can still meet its goal, or else the newest one.
  for (const auto& entry : aQueue.entries_) {
    if (entry.goalAt_ > aNow) {
      return entry.id_;
    }
  }
  return aQueue.entries_.back().id_;
}

std::vector<std::uint64_t>
SmallRequests(const Queue& aQueue)
{
  std::vector<std::uint64_t> ids;
  for (const auto& entry : aQueue.entries_) {
    if (entry.isSmall_) {
      ids.push_back(entry.id_);
    }
  }
  return ids;
}

void
StartRequest(Queue& aQueue, std::uint64_t aId, absl::Time aNow)
{
  const auto found = FindRequest(aQueue, aId);
  if (found == aQueue.entries_.end()) {
    return;
  }
  RecordStart(aQueue, *found, aNow);
  aQueue.entries_.erase(found);
  // Times with an empty queue do not count for the start rate.
  const auto since = std::max(aQueue.startedAt_, aQueue.nonEmptySince_);
  const auto interval = aNow - since;
  if (since != absl::InfinitePast()) {
    aQueue.startInterval_ +=
      kIntervalAverageWeight *
      (absl::ToDoubleSeconds(interval) - aQueue.startInterval_);
  }
  aQueue.startedAt_ = aNow;
}

bool
RemoveRequest(Queue& aQueue, std::uint64_t aId)
{
  const auto found = FindRequest(aQueue, aId);
  if (found == aQueue.entries_.end()) {
    return false;
  }
  aQueue.entries_.erase(found);
  return true;
}

std::vector<std::uint64_t>
RemoveExpired(Queue& aQueue, absl::Time aNow)
{
  std::vector<std::uint64_t> expired;
  auto& entries = aQueue.entries_;
  for (const auto& entry : entries) {
    if (entry.callerLeavesAt_ <= aNow) {
      expired.push_back(entry.id_);
    }
  }
  entries.erase(std::remove_if(entries.begin(),
                               entries.end(),
                               [aNow](const QueuedRequest& aRequest) {
                                 return aRequest.callerLeavesAt_ <= aNow;
                               }),
                entries.end());
  return expired;
}

void
AddRequest(Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow)
{
  if (aQueue.entries_.empty()) {
    aQueue.nonEmptySince_ = aNow;
  }
  if (!HasRequests(aQueue, aRequest.service_)) {
    auto& throughput = aQueue.throughputs_[aRequest.service_];
    if (aNow - throughput.startedAt_ > kThroughputLife) {
      throughput = Throughput();
    }
    throughput.countedTo_ = aNow;
    // A new contest for room begins.
    const auto begin = aQueue.turns_.lower_bound({ aRequest.service_, 0 });
    auto end = begin;
    while (end != aQueue.turns_.end() &&
           end->first.first == aRequest.service_) {
      ++end;
    }
    aQueue.turns_.erase(begin, end);
  }
  aQueue.entries_.push_back(aRequest);
}

void
RecordStart(Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow)
{
  if (!HasRequests(aQueue, aRequest.service_)) {
    return;
  }
  auto& throughput = aQueue.throughputs_[aRequest.service_];
  CountTime(throughput, aNow);
  throughput.tokens_ += static_cast<double>(aRequest.tokens_);
  throughput.startedAt_ = aNow;
  TakeTurn(aQueue.turns_[{ aRequest.service_, aRequest.priority_ }], aRequest);
}

std::vector<QueuedRequest>
StartOrder(const Queue& aQueue, absl::Time aNow)
{
  std::vector<QueuedRequest> order;
  for (const auto* request : Order(aQueue, PointersTo(aQueue), aNow)) {
    order.push_back(*request);
  }
  return order;
}

bool
MayPass(const Pass& aPass, const QueuedRequest& aRequest)
{
  const auto found = aPass.find(aRequest.service_);
  if (found == aPass.end()) {
    return true;
  }
  const auto& blocked = found->second.smallPriority_;
  return aRequest.isSmall_ && (!blocked || aRequest.priority_ < *blocked);
}

void
RecordBlocked(Pass& aPass, const QueuedRequest& aRequest)
{
  auto& blocked = aPass[aRequest.service_].smallPriority_;
  if (aRequest.isSmall_) {
    blocked =
      std::min(aRequest.priority_, blocked.value_or(aRequest.priority_));
  }
}

std::uint64_t
LargestBefore(const Queue& aQueue,
              const QueuedRequest& aRequest,
              absl::Time aNow)
{
  const bool isLate = IsLate(aRequest, aNow);
  std::uint64_t largest = 0;
  for (const auto& entry : aQueue.entries_) {
    if (entry.service_ == aRequest.service_ && !IsLate(entry, aNow) &&
        (isLate || entry.priority_ < aRequest.priority_)) {
      largest = std::max(largest, entry.tokens_);
    }
  }
  return largest;
}

bool
MustWait(const Queue& aQueue, const QueuedRequest& aRequest, absl::Time aNow)
{
  Pass pass;
  for (const auto* request : OrderWith(aQueue, aRequest, aNow)) {
    if (request == &aRequest) {
      break;
    }
    RecordBlocked(pass, *request);
  }
  return !MayPass(pass, aRequest);
}

absl::optional<double>
TokensPerSecond(const Queue& aQueue,
                const std::string& aService,
                std::uint64_t aTokens,
                absl::Time aNow)
{
  const auto found = aQueue.throughputs_.find(aService);
  if (found == aQueue.throughputs_.end()) {
    return absl::nullopt;
  }
  auto throughput = found->second;
  CountTime(throughput, aNow);
  if (throughput.seconds_ < absl::ToDoubleSeconds(kMinThroughputTime)) {
    return absl::nullopt;
  }
  return (throughput.tokens_ + static_cast<double>(aTokens)) /
         throughput.seconds_;
}

std::uint64_t
TokensBefore(const Queue& aQueue,
             const QueuedRequest& aRequest,
             absl::Time aNow)
{
  std::uint64_t tokens = 0;
  for (const auto* request : OrderWith(aQueue, aRequest, aNow)) {
    if (request == &aRequest) {
      break;
    }
    tokens += request->tokens_;
  }
  return tokens;
}

double
WorkspaceShare(const Queue& aQueue, const QueuedRequest& aRequest)
{
  const auto turns =
    aQueue.turns_.find({ aRequest.service_, aRequest.priority_ });
  if (turns == aQueue.turns_.end()) {
    return 1.0;
  }
  const auto& started = turns->second.started_;
  const double all = std::accumulate(
    started.begin(), started.end(), 0.0, [](double aSum, const auto& aEntry) {
      return aSum + aEntry.second;
    });
  const auto own = started.find(aRequest.workspace_);
  if (all <= 0.0) {
    return 1.0;
  }
  return own == started.end()
           ? 0.0
           : own->second * static_cast<double>(started.size()) / all;
}

} // namespace lycheeplank::request_queue
