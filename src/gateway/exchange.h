#ifndef LYCHEEPLANK_SRC_GATEWAY_EXCHANGE_H
#define LYCHEEPLANK_SRC_GATEWAY_EXCHANGE_H

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "gateway/answer-head.h"
#include "gateway/events.h"
#include "gateway/host.h"
#include "gateway/poison-blocks.h"
#include "gateway/server-connection.h"
#include "gateway/timer.h"
#include "lycheeplank/retry.h"

namespace lycheeplank::gateway {

// Retry-After of refused requests, before jitter: the time in which a running
// request ends and frees a place, and in which a failed target is replaced.
inline constexpr absl::Duration kRetryAfterFull = absl::Milliseconds(200);
inline constexpr absl::Duration kRetryAfterNoTarget = absl::Milliseconds(500);
// Retry-After of requests whose targets are all evacuated. An operator ends an
// evacuation after minutes, so a sooner retry is refused again.
inline constexpr absl::Duration kRetryAfterEvacuated = absl::Seconds(2);

// Lowest HTTP status that reports a server error.
inline constexpr int kServerError = 500;

// Why a stream that has ended regularly can't be shown to be whole.
enum class StreamFault
{
  None,
  // It ends within an event.
  PartialEvent,
  // It ends with its connection, and its target died at that time.
  TargetDied,
  NoEvents,
  // It ends before an event that the caller has, or that an earlier target
  // began.
  EarlyEnd,
  // Its last number leaps, though the others don't.
  MissingEvent,
};

inline constexpr std::array<core::Named<StreamFault>, 6> kStreamFaults{ {
  { StreamFault::None, "none" },
  { StreamFault::PartialEvent, "partial_event" },
  { StreamFault::TargetDied, "target_died" },
  { StreamFault::NoEvents, "no_events" },
  { StreamFault::EarlyEnd, "early_end" },
  { StreamFault::MissingEvent, "missing_event" },
} };

// What decides the placement of a request, apart from the costs of its prompt.
struct PlacementInput
{
  const catalog::Catalog& catalog_;
  const std::string& service_;
  const CallerRequest& request_;
  std::size_t bodyBytes_ = 0;
  // Time until the request's goal, negative after it.
  absl::Duration goalLeft_;
  // See PriorityOf.
  std::uint32_t priority_ = 0;
  // Decides whether the request prefers another data centre, see
  // PreferredDataCentre; none does with 1.
  double awayDraw_ = 1.0;
};

// Returns whether requests of a service wait for memory by priority.
bool
WaitsByPriority(const Host& aHost,
                const catalog::Catalog& aCatalog,
                const std::string& aService);

// Returns the priority of a request, 0 for urgent ones.
std::uint32_t
PriorityOf(const Host& aHost,
           const catalog::Catalog& aCatalog,
           const catalog::Route& aRoute,
           const catalog::Workspace* aWorkspace,
           const std::string& aService);

// Returns the properties of a request that has been sent to no target, without
// the costs of its prompt and the needs of requests that wait before it. They
// refer to the input's texts and to the host's state.
fleet::RequestSpec
DescribePlacement(const Host& aHost,
                  const PlacementInput& aInput,
                  absl::Time aNow);

// Handles one request of a caller from its arrival to its final answer. Keeps
// itself alive through the callbacks that it registers.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(Host& aHost, ServerConnectionPtr aCaller);

  void Start();
  // Refuses the request if it waits to be sent and the stopping host has no
  // time for its answer.
  void RefuseIfTooLate();
  // Ends the request because the host exits.
  void EndForExit();
  // Limits the time until which a request that was sent may begin at its
  // target, because newer weights have been published.
  void LimitBegin();

  // Returns the service that the request uses; empty before it is known.
  const std::string& Service() const { return service_; }
  // Returns the average number of KV cache tokens that the request occupies at
  // a target while it runs.
  std::uint64_t HeldTokens() const;

private:
  // Validation and placement.

  // Answers or refuses a request that can't be served; returns whether it can.
  bool Validate();
  // Returns whether the host stops and has no time for the answer if the
  // request is sent now.
  bool IsTooLate() const;
  void TryNextTarget();
  std::uint32_t Priority() const;
  bool IsUrgent() const;
  // Returns the longest idle time of a connection that may be reused for a
  // request which must not run twice.
  absl::Duration NonRepeatableIdle() const;
  // Returns whether the request occupies a small share of a target's memory.
  bool IsSmall() const;
  // Queues the request until a target has memory for it.
  void Enqueue();
  // Returns its entry in the waiting queue.
  request_queue::QueuedRequest QueueEntry() const;
  // Returns whether it has arrived while others wait that go before it.
  bool MustWait() const;
  // Returns what decides whether it waits.
  overload::Situation Assess();
  // Refuses it by the rules of priority scheduling.
  void RefuseOverload(overload::Reason aReason);
  // Returns whether it waits for memory by priority.
  bool WaitsByPriority() const;
  // Raises the memory that the request leaves to more urgent ones to what the
  // waiting ones before it need, and keeps the held share that the placement
  // was described with.
  void ReserveForQueue(fleet::RequestSpec& aSpec, absl::Time aNow);
  // aAvoidsLimited: considers no targets whose requests need a permit.
  fleet::Choice ChooseTarget(bool aAvoidsLimited = false);
  // Asks for a permit and goes on with the decision. aIsLastChoice: no target
  // is left that needs none, so a denial refuses the request.
  void AskForPermit(const std::string& aTarget, bool aIsLastChoice);
  // Ends the request if it is known to crash targets; returns whether it is.
  bool EndIfBlocked();
  // Lets the request wait, or refuses it, if it may be the cause of crashes
  // that haven't been evaluated; returns whether it must not be sent now.
  bool WaitIfSuspected();
  // Withdraws the request from its target if it has been blocked and its answer
  // hasn't begun.
  void WithdrawIfBlocked();
  SentRequest Evidence() const;
  // Counts a request that is sent to another data centre by the reason.
  void CountSentAway(absl::string_view aDataCentre);
  // Ends the request because no target may get it.
  void EndWithoutTarget();
  // Ends the request because it may not be sent: cuts an answer that has begun,
  // reports aReason if the request may have run, and refuses it otherwise.
  void EndUnsent(absl::string_view aReason,
                 absl::string_view aRefusal,
                 absl::Duration aRetryAfter);
  // Plans which parts of the prompt a target with these weights reads from
  // cache stores and which it saves there.
  // aReadEnd: see ReadEnd.
  cache_index::Plan PlanCacheReads(std::uint64_t aWeights,
                                   absl::string_view aDataCentre,
                                   absl::Time aReadEnd);
  std::uint64_t ComputedTokens(const cache_index::Plan& aPlan) const;
  absl::Duration ReadTime() const;
  // Returns when reads that the request starts now must have ended. aListedAt:
  // see part_use::LatestReadEnd.
  absl::Time ReadEnd(std::uint64_t aWeights, absl::Time aListedAt);
  void RecordCacheReads(absl::Duration aTook);
  // Returns whether the target itself has answered, not another one at its
  // address.
  bool IsFromTarget() const;
  // Returns the slowness in the head of the target's answer; 1 if it names
  // none.
  double ReportedSlowness() const;
  // Records that the target reports itself closed or leaving in its answer.
  void ApplyTargetState();
  // Records the limit of requests that the target names in its answer, or that
  // it names none.
  void ApplyTargetLimit();
  // Returns the version of the request's model at a target; 0 if it names none
  // or the target hasn't the model.
  std::uint64_t WeightsAt(const fleet::Member& aMember) const;
  // Gives up a target that the request hasn't been sent to. Says nothing about
  // the target's health.
  void ChooseAgain();
  Attempt MakeAttempt(const fleet::Member& aMember);
  void Connect(const fleet::Choice& aChoice);
  void Send(ConnectionPtr aConnection);

  // Answers.
  bool OnHead(const http::ResponseHead& aHead);
  void OnBody(std::string& aBody);
  void OnEnd(CallEnd aEnd);
  void ForwardEvents(std::string& aBody);
  // Forwards whole events. aHaveData: they aren't only comments.
  void WriteEvents(absl::string_view aEvents, bool aHaveData);
  // Writes bytes of an answer that has begun to the caller; stops reading from
  // the target while the caller is slow.
  void WriteToCaller(absl::string_view aBytes);
  // Updates the host's count of buffered answer bytes.
  void UpdateBufferedBytes();
  // Fails the attempt because a part of its answer exceeds its size limit.
  void AbandonOversized(absl::string_view aPart, std::size_t aBytes);
  // Fails the attempt because the target sent an event that can't belong to the
  // stream. The events before it have been forwarded.
  void AbandonInvalid();
  // Fails the attempt because the head of its answer is none of the request.
  void AbandonHead(HeadFault aFault);
  // Counts a broken answer by its end and fails the attempt.
  void EndBroken(absl::string_view aEnd);
  void BeginAnswer();
  // Returns whether the target refuses the request without stating that it
  // hasn't run it. Its status would promise that to the caller.
  bool IsUnprovenRefusal() const;
  // Returns whether the body of the answer is only delivered as a whole, if at
  // all.
  bool IsBufferedToEnd() const;
  // Returns whether the caller has received events.
  bool IsStreamBegun() const { return answerBegun_ && events_.DataCount() > 0; }
  // Returns why the events of a stream that has ended regularly can't be all.
  StreamFault FaultOfStream() const;
  void FinishStream(CallEnd aEnd);
  // Ends the stream, or fails the attempt, when it is known whether the target
  // ended the answer or died.
  void CheckStreamEnd();
  void JudgeStreamEnd(std::uint64_t aAttempt,
                      absl::Time aEndedAt,
                      absl::optional<ConnectEnd> aConnect);
  void EndStream();
  // Learns how the ids of the service's events follow each other.
  void RecordEventIds();
  void DeliverBuffered();

  // Ends of attempts and of the exchange.
  void EndAttempt(retry::AttemptEnd aEnd);
  void ReleaseTarget(fleet::CallResult aResult);
  // Returns the target of the present attempt; null if it isn't listed or has
  // started again since.
  fleet::Member* CalledMember() const;
  // Returns whether the target has started again since the attempt began.
  bool HasTargetRestarted() const;
  void TakeNextStep(retry::AttemptEnd aEnd);
  // Refuses the request with aRetryAfter plus jitter, or exactly that time.
  void Refuse(absl::string_view aReason, absl::Duration aRetryAfter);
  void RefuseUntil(absl::string_view aReason, absl::Duration aRetryAfter);
  void Answer(int aStatus, absl::string_view aReason);
  // Starts the timer that ends the attempt if the target makes no progress
  // within the limit.
  void StartSilenceTimer(absl::Duration aLimit);
  bool IsTargetDown() const;
  // Returns whether this host itself has not read from the target: because the
  // caller is slow, or because the event loop stalled.
  bool IsPausedLocally() const;
  // Returns whether another target could take over the request now.
  bool CanFailOver();
  void OnSilence();
  // Returns until when the request may begin at a target with a version of the
  // weights; infinite future if that is the newest one, or 0.
  absl::Time BeginLimit(std::uint64_t aWeights) const;
  // Starts the timer that withdraws the request from a target with outdated
  // weights if the answer doesn't begin in time.
  void StartWeightsTimer();
  void OnDeadline();
  // Ends the request, whatever it waits for.
  void GiveUp(absl::string_view aReason, absl::Duration aRetryAfter);
  void OnGone();
  void Close(absl::string_view aOutcome,
             int aStatus,
             absl::string_view aReason);

  // Counts a refusal and adds what decided it to the request's log line.
  void CountRefusal(absl::string_view aReason, Line& aLine);

  absl::Duration TimeLeft() const;
  absl::Duration RefusalPause(absl::string_view aReason);
  retry_budget::Ledger& Ledger() { return host_.resendBudgets_[service_]; }

  Host& host_;
  ServerConnectionPtr caller_;
  CallerRequest request_;
  // The catalog at arrival; owns what route_ and workspace_ point to.
  catalog::CatalogPtr catalog_;
  const catalog::Route* route_ = nullptr;
  const catalog::Workspace* workspace_ = nullptr;
  std::string service_;
  // Hash of what all attempts of the caller have in common; empty if the
  // request isn't valid.
  std::string fingerprint_;
  poison::Traits traits_;
  absl::Time arrivedAt_ = absl::InfinitePast();
  absl::Time deadline_ = absl::InfiniteFuture();
  Timer deadlineTimer_;
  Timer silenceTimer_;
  Timer weightsTimer_;
  Timer waitTimer_;
  Timer endTimer_;

  retry::History history_;
  std::vector<std::string> tried_;
  // The current attempt.
  std::string targetId_;
  // Start time of the target process that received the request, in
  // milliseconds since 1970.
  std::int64_t targetBornMs_ = 0;
  ConnectionPtr connection_;
  std::uint64_t attemptNumber_ = 0;
  absl::Time sentAt_ = absl::InfinitePast();
  absl::Time firstByteAt_ = absl::InfinitePast();
  std::uint64_t computedTokens_ = 0;
  std::uint64_t readTokens_ = 0;
  fleet::CallSize size_;
  // Until when the request may wait for the evaluation of crashes; set when it
  // first waits.
  absl::Time waitEndsAt_ = absl::InfiniteFuture();
  // Id of its entry in the waiting queue; 0 if it isn't queued.
  std::uint64_t waiterId_ = 0;
  // Target for which the request has a permit; empty without one.
  std::string permittedTarget_;
  // What decided that the request is refused; no value without priority
  // scheduling.
  absl::optional<overload::Situation> refusal_;
  absl::Duration retryAfter_ = absl::ZeroDuration();
  bool isAskingForPermit_ = false;
  // A call is recorded at the current target.
  bool holdsTarget_ = false;
  // Number of permits that the request has asked for.
  std::uint32_t permitAsks_ = 0;
  // Number of these for targets that are cold.
  std::uint32_t coldAsks_ = 0;
  fleet::Choice choice_;
  std::uint64_t attemptWeights_ = 0;
  std::vector<cache_index::PartPlan> attemptParts_;
  // Random number in [0, 1) that decides, for all parts and attempts alike,
  // whether the request reads from a slow cache store.
  double readDraw_ = 0.0;
  // Random number in [0, 1) that decides whether the request is part of the
  // surplus that leaves the data centre.
  double awayDraw_ = 0.0;

  // The current answer.
  http::ResponseHead head_;
  TargetAnswer answer_;
  std::string body_;
  // Bytes of body_ that are included in the host's count of buffered bytes.
  std::size_t bufferedBytes_ = 0;
  // Bytes received since the silence timer was last started.
  std::size_t bytesSinceProgress_ = 0;
  EventSplitter events_;
  // How the answer was broken, as it is counted; empty if it wasn't.
  absl::string_view brokenEnd_;
  bool headAccepted_ = false;
  bool isEvents_ = false;
  bool answerBegun_ = false;
  // All bytes of a stream have arrived, and its end is being checked.
  bool isEndChecked_ = false;
  bool readingPaused_ = false;
  bool ended_ = false;
};

// Calls a member function of all open requests, which may end them.
void
ForEachOpen(const Host& aHost, void (Exchange::*aAction)());

// Refuses the waiting requests for whose answers a stopping host has no time;
// call it periodically.
void
RefuseLateRequests(Host& aHost);

// Ends all open requests because the host exits: refuses those that haven't
// run, reports a timeout for those that may have, and cuts begun answers.
void
EndRequests(Host& aHost);

// Limits the time until which sent requests may begin, see
// Exchange::LimitBegin; call it when weights have been published.
void
LimitBegins(Host& aHost);

} // namespace lycheeplank::gateway

#endif
