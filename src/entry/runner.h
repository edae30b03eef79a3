#ifndef LYCHEEPLANK_ENTRY_RUNNER_H
#define LYCHEEPLANK_ENTRY_RUNNER_H

#include <functional>
#include <memory>
#include <string>

#include "entry/open-requests.h"
#include "entry/relay.h"
#include "lycheeplank/metrics.h"
#include "lycheeplank/net.h"
#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// Sends requests to targets, relays the answers to callers and posts the
// results to the control thread. The answers are handled on the traffic
// threads.
class Runner
{
public:
  using Post = std::function<void(reducer::Event)>;

  // aSecret signs resume tokens; aPost posts events to the control thread.
  Runner(net::Client& aClient,
         OpenRequests& aOpenRequests,
         metrics::Registry& aMetrics,
         std::string aSecret,
         Post aPost);

  // Sends an attempt to its target.
  void Perform(const reducer::Dispatch& aDispatch);
  // Answers a request with an error and closes it.
  void Perform(const reducer::Refuse& aRefuse);
  // Cancels an attempt, and cancels its run on the target.
  void Perform(const reducer::CancelAttempt& aCancel);
  // Answers a call of a plain service and closes its request.
  void AnswerCall(const OpenRequestPtr& aOpenRequest,
                  int aStatus,
                  const std::string& aContentType,
                  std::string aBody);
  // Resumes the stream of a run, which may have been started by another host.
  void Resume(const std::shared_ptr<net::Exchange>& aExchange,
              const resume::Position& aPosition,
              const std::string& aModel,
              const std::string& aTargetUrl);

private:
  struct Attempt;

  void StartCompletion(const reducer::Dispatch& aDispatch,
                       const OpenRequestPtr& aOpenRequest);
  void StartCall(const reducer::Dispatch& aDispatch,
                 const OpenRequestPtr& aOpenRequest);
  // Returns the callbacks for the stream of an attempt.
  net::CallEvents MakeCallEvents(const std::shared_ptr<Attempt>& aAttempt);
  void OnData(const std::shared_ptr<Attempt>& aAttempt,
              absl::string_view aData);
  void OnEnd(const std::shared_ptr<Attempt>& aAttempt,
             const net::CallEnd& aEnd);
  // Reconnects to the run of an attempt whose stream was cut. Returns false if
  // the attempt can't be continued.
  bool TryContinueStream(const std::shared_ptr<Attempt>& aAttempt);
  // Posts the end of an attempt. If it completed, answers the caller first.
  // Ends of cancelled or replaced attempts are only counted.
  void EndAttempt(const std::shared_ptr<Attempt>& aAttempt,
                  reducer::AttemptResult aResult,
                  std::string aDetail,
                  std::string aVersion);

  net::Client& client_;
  OpenRequests& openRequests_;
  metrics::Registry& metrics_;
  const std::string secret_;
  const Post post_;
};

} // namespace lycheeplank::entry

#endif
