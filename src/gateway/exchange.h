#ifndef LYCHEEPLANK_SRC_GATEWAY_EXCHANGE_H
#define LYCHEEPLANK_SRC_GATEWAY_EXCHANGE_H

#include <memory>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "gateway/events.h"
#include "gateway/host.h"
#include "gateway/server-connection.h"
#include "gateway/timer.h"
#include "lycheeplank/retry.h"

namespace lycheeplank::gateway {

// Pauses after which a refused caller finds a place: the time in which one
// running request ends, and in which a failed target is replaced.
inline constexpr absl::Duration kPauseFull = absl::Milliseconds(200);
inline constexpr absl::Duration kPauseNoTarget = absl::Milliseconds(500);

// First status of the answers that tell of an error of the server.
inline constexpr int kServerError = 500;

// One request of a caller, from its arrival to its final answer.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(Host& aHost, ServerConnectionPtr aCaller);

  void Start();

private:
  // Deciding.
  bool Check();
  // Whether a request that arrives at a stopping host can be answered.
  bool EndsBeforeStop() const;
  void Try();
  std::uint32_t Priority() const;
  bool IsUrgent() const;
  // How long a connection may have been idle that a call goes on which may run
  // once.
  absl::Duration OnceIdle() const;
  // Tokens that its run holds in a target's memory on average, and whether
  // that is little.
  std::uint64_t HeldTokens() const;
  bool IsSmall() const;
  // Waits until a target has memory for it.
  void Wait();
  fleet::Choice ChooseTarget();
  double UnheardTokens(absl::Time aNow) const;
  // What a target with these weights reads from cache stores and keeps there.
  cache_index::Plan PlanParts(std::uint64_t aWeights,
                              absl::string_view aDataCentre);
  std::uint64_t ComputedTokens(const cache_index::Plan& aPlan) const;
  absl::Duration ReadTime() const;
  void NoteReads(absl::Duration aTook);
  // Takes in what the target says of itself in an answer.
  void NoteTarget();
  Attempt MakeAttempt(const fleet::Member& aMember);
  void Connect(const fleet::Choice& aChoice);
  void Send(ConnectionPtr aConnection);

  // Answers.
  bool OnHead(const http::ResponseHead& aHead);
  void OnBody(std::string& aBody);
  void OnEnd(CallEnd aEnd);
  void Relay(std::string& aBody);
  // Hands bytes of an answer that has begun to the caller, and holds the target
  // back while the caller is slow.
  void PassToCaller(absl::string_view aBytes);
  // Counts the bytes of the answer that are held back.
  void CountHeld();
  // Gives an answer up that has no end.
  void EndEndless(absl::string_view aPart, std::size_t aBytes);
  void BeginAnswer();
  void FinishStream(CallEnd aEnd);
  void DeliverWhole();

  // Ends.
  void EndAttempt(retry::AttemptEnd aEnd);
  void LeaveTarget(fleet::CallResult aResult);
  void Follow(retry::AttemptEnd aEnd);
  void Refuse(absl::string_view aReason, absl::Duration aRetryAfter);
  void Answer(int aStatus, absl::string_view aReason);
  // Gives the target up if nothing comes for so long.
  void WatchSilence(absl::Duration aLimit);
  bool IsTargetDown() const;
  // Bytes of the target can't have been read: the caller is slow, or this host
  // stood still.
  bool IsOwnPause() const;
  // Another target could take the request over from the present one.
  bool CanGoOn();
  void OnSilence();
  // Takes the request back from a target with old weights if it doesn't begin
  // there in time.
  void WatchWeights();
  void OnDeadline();
  void OnGone();
  void Close(absl::string_view aOutcome,
             int aStatus,
             absl::string_view aReason);

  absl::Duration TimeLeft() const;
  absl::Duration RefusalPause(absl::string_view aReason);
  retry_budget::Ledger& Ledger() { return host_.resends_[service_]; }

  Host& host_;
  ServerConnectionPtr caller_;
  CallerRequest request_;
  // The catalog in force at arrival; routes and workspaces point into it.
  catalog::CatalogPtr catalog_;
  const catalog::Route* route_ = nullptr;
  const catalog::Workspace* workspace_ = nullptr;
  std::string service_;
  absl::Time arrivedAt_ = absl::InfinitePast();
  absl::Time deadline_ = absl::InfiniteFuture();
  Timer deadlineTimer_;
  Timer silenceTimer_;
  Timer weightsTimer_;

  retry::History history_;
  std::vector<std::string> tried_;
  // The attempt under way.
  std::string targetId_;
  // The start of the target that the request went to.
  std::int64_t targetBornMs_ = 0;
  ConnectionPtr connection_;
  std::uint64_t attempt_ = 0;
  absl::Time sentAt_ = absl::InfinitePast();
  absl::Time firstByteAt_ = absl::InfinitePast();
  std::uint64_t computedTokens_ = 0;
  std::uint64_t readTokens_ = 0;
  fleet::CallSize size_;
  // Its place among the waiting requests; 0 if it doesn't wait.
  std::uint64_t waiter_ = 0;
  fleet::Choice choice_;
  std::uint64_t attemptWeights_ = 0;
  std::vector<cache_index::PartPlan> attemptParts_;
  // Decides, for all parts and attempts, whether a slow store is read from.
  double readDraw_ = 0.0;

  // The answer under way.
  http::ResponseHead head_;
  TargetAnswer answer_;
  std::string body_;
  // Bytes of it that the host counts as held back.
  std::size_t heldBytes_ = 0;
  // Bytes since the watch for silence was last set.
  std::size_t newBytes_ = 0;
  EventSplitter events_;
  bool headTaken_ = false;
  bool isEvents_ = false;
  bool begun_ = false;
  bool paused_ = false;
  bool ended_ = false;
};

} // namespace lycheeplank::gateway

#endif
