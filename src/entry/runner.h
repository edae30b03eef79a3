#ifndef LYCHEEPLANK_ENTRY_RUNNER_H
#define LYCHEEPLANK_ENTRY_RUNNER_H

#include <functional>
#include <memory>
#include <string>

#include "entry/relay.h"
#include "entry/ticket.h"
#include "lycheeplank/metrics.h"
#include "lycheeplank/net.h"
#include "lycheeplank/reducer.h"

namespace lycheeplank::entry {

// Carries out the effects that concern requests, on the traffic threads.
class Runner
{
public:
  using Post = std::function<void(reducer::Event)>;

  // aSecret signs resume tokens; aPost hands events to the control thread.
  Runner(net::Client& aClient,
         Tickets& aTickets,
         metrics::Registry& aMetrics,
         std::string aSecret,
         Post aPost);

  // Sends an attempt to its target.
  void Perform(const reducer::Dispatch& aDispatch);
  // Gives a request its final answer.
  void Perform(const reducer::Refuse& aRefuse);
  // Stops an attempt and tells the target.
  void Perform(const reducer::CancelAttempt& aCancel);
  // Answers a call of a plain service and closes its ticket.
  void AnswerCall(const TicketPtr& aTicket,
                  int aStatus,
                  const std::string& aContentType,
                  std::string aBody);
  // Goes on with the stream of a run that any host may have started.
  void Resume(const std::shared_ptr<net::Exchange>& aExchange,
              const resume::Position& aPosition,
              const std::string& aModel,
              const std::string& aTargetUrl);

private:
  struct Attempt;

  void StartCompletion(const reducer::Dispatch& aDispatch,
                       const TicketPtr& aTicket);
  void StartCall(const reducer::Dispatch& aDispatch, const TicketPtr& aTicket);
  // Returns what happens with the stream of an attempt.
  net::CallEvents EventsOf(const std::shared_ptr<Attempt>& aAttempt);
  void OnData(const std::shared_ptr<Attempt>& aAttempt,
              absl::string_view aData);
  void OnEnd(const std::shared_ptr<Attempt>& aAttempt,
             const net::CallEnd& aEnd);
  bool TryContinue(const std::shared_ptr<Attempt>& aAttempt);
  void Conclude(const std::shared_ptr<Attempt>& aAttempt,
                reducer::AttemptResult aResult,
                std::string aDetail,
                std::string aVersion);

  net::Client& client_;
  Tickets& tickets_;
  metrics::Registry& metrics_;
  const std::string secret_;
  const Post post_;
};

} // namespace lycheeplank::entry

#endif
