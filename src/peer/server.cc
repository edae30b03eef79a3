#include "peer/peer.h"

#include <stdexcept>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>

#include "peer/convert.h"
#include "proto/peer.grpc.pb.h"

namespace lycheeplank::peer {

namespace {

constexpr int kMaxMessageBytes = 64 << 20;

// Calls of one method that wait for their reply.
template<typename Reply>
class PendingCalls
{
public:
  void Add(reducer::PeerCallId aCall,
           grpc::ServerUnaryReactor* aReactor,
           Reply* aReply)
  {
    const absl::MutexLock lock(&mutex_);
    calls_[aCall] = { aReactor, aReply };
  }

  // Ends a call with a reply; does nothing if the call has already ended.
  void Finish(reducer::PeerCallId aCall, Reply aReply)
  {
    Entry entry;
    {
      const absl::MutexLock lock(&mutex_);
      const auto found = calls_.find(aCall);
      if (found == calls_.end()) {
        return;
      }
      entry = found->second;
      calls_.erase(found);
    }
    *entry.reply_ = std::move(aReply);
    entry.reactor_->Finish(grpc::Status::OK);
  }

private:
  struct Entry
  {
    grpc::ServerUnaryReactor* reactor_ = nullptr;
    Reply* reply_ = nullptr;
  };

  absl::Mutex mutex_;
  absl::flat_hash_map<reducer::PeerCallId, Entry> calls_;
};

} // namespace

struct Server::Impl final : public Peer::CallbackService
{
  explicit Impl(PostEvent aPostEvent)
    : postEvent_(std::move(aPostEvent))
  {
  }

  grpc::ServerUnaryReactor* Claim(grpc::CallbackServerContext* aContext,
                                  const ClaimRequest* aRequest,
                                  ClaimReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    claimCalls_.Add(call, reactor, aReply);
    postEvent_(reducer::PeerRequestsClaim{ call, FromWire(*aRequest) });
    return reactor;
  }

  grpc::ServerUnaryReactor* RecordOutcome(grpc::CallbackServerContext* aContext,
                                          const OutcomeRequest* aRequest,
                                          OutcomeReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    outcomeCalls_.Add(call, reactor, aReply);
    postEvent_(reducer::PeerReportsOutcome{ call, FromWire(*aRequest) });
    return reactor;
  }

  grpc::ServerUnaryReactor* ClaimRunning(grpc::CallbackServerContext* aContext,
                                         const ClaimRunningRequest* aRequest,
                                         ClaimRunningReply* /*aReply*/) override
  {
    claims::Heartbeat running = FromWire(*aRequest);
    running.now_ = absl::Now();
    postEvent_(reducer::PeerSendsClaimHeartbeat{ std::move(running) });
    return FinishWithEmptyReply(aContext);
  }

  grpc::ServerUnaryReactor* Locate(grpc::CallbackServerContext* aContext,
                                   const LocateRequest* aRequest,
                                   LocateReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    locateCalls_.Add(call, reactor, aReply);
    postEvent_(reducer::PeerLocatesBlocks{ call, FromWire(*aRequest) });
    return reactor;
  }

  grpc::ServerUnaryReactor* ReportBlocks(grpc::CallbackServerContext* aContext,
                                         const ReportBlocksRequest* aRequest,
                                         ReportBlocksReply* /*aReply*/) override
  {
    postEvent_(reducer::PeerReportsBlocks{ HolderFromWire(*aRequest),
                                           SightingsFromWire(*aRequest),
                                           aRequest->inventory() });
    return FinishWithEmptyReply(aContext);
  }

  grpc::ServerUnaryReactor* FetchChunks(grpc::CallbackServerContext* aContext,
                                        const FetchChunksRequest* aRequest,
                                        FetchChunksReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    chunkCalls_.Add(call, reactor, aReply);
    postEvent_(reducer::PeerFetchesConfig{
      call, { aRequest->digests().begin(), aRequest->digests().end() } });
    return reactor;
  }

  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* aContext,
                                  const ProbeRequest* aRequest,
                                  ProbeReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    probeCalls_.Add(call, reactor, aReply);
    postEvent_(reducer::MembershipEvent{
      membership::ProbeReceived{ call, FromWire(*aRequest) } });
    return reactor;
  }

  grpc::ServerUnaryReactor* ProbeIndirect(grpc::CallbackServerContext* aContext,
                                          const ProbeIndirectRequest* aRequest,
                                          ProbeIndirectReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    indirectProbeCalls_.Add(call, reactor, aReply);
    postEvent_(reducer::MembershipEvent{ membership::IndirectProbeRequested{
      call, aRequest->suspect(), aRequest->suspect_address() } });
    return reactor;
  }

  // Ends a call with an empty reply, without waiting for the reducer.
  static grpc::ServerUnaryReactor* FinishWithEmptyReply(
    grpc::CallbackServerContext* aContext)
  {
    auto* reactor = aContext->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  const PostEvent postEvent_;
  std::atomic<reducer::PeerCallId> lastCall_{ 0 };
  PendingCalls<ClaimReply> claimCalls_;
  PendingCalls<OutcomeReply> outcomeCalls_;
  PendingCalls<LocateReply> locateCalls_;
  PendingCalls<FetchChunksReply> chunkCalls_;
  PendingCalls<ProbeReply> probeCalls_;
  PendingCalls<ProbeIndirectReply> indirectProbeCalls_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

Server::Server(const std::string& aAddress, PostEvent aPostEvent)
  : impl_(std::make_unique<Impl>(std::move(aPostEvent)))
{
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.AddListeningPort(
    aAddress, grpc::InsecureServerCredentials(), &impl_->port_);
  builder.RegisterService(impl_.get());
  impl_->server_ = builder.BuildAndStart();
  if (!impl_->server_ || impl_->port_ == 0) {
    throw std::runtime_error(absl::StrCat(
      "can't listen for peers on ", aAddress, "; choose a free address"));
  }
}

Server::~Server()
{
  impl_->server_->Shutdown(std::chrono::system_clock::now());
}

std::uint16_t
Server::Port() const
{
  return static_cast<std::uint16_t>(impl_->port_);
}

void
Server::Perform(const reducer::ReplyClaim& aReply)
{
  impl_->claimCalls_.Finish(aReply.callId_, ToWire(aReply.answer_));
}

void
Server::Perform(const reducer::ReplyOutcomeReport& aReply)
{
  OutcomeReply reply;
  reply.set_durable(aReply.durable_);
  impl_->outcomeCalls_.Finish(aReply.callId_, std::move(reply));
}

void
Server::Perform(const reducer::ReplyHolders& aReply)
{
  impl_->locateCalls_.Finish(aReply.callId_, ToWire(aReply.holders_));
}

void
Server::Perform(const reducer::ReplyConfig& aReply)
{
  impl_->chunkCalls_.Finish(aReply.callId_, ToWire(aReply.served_));
}

void
Server::Perform(const membership::AnswerProbe& aReply)
{
  impl_->probeCalls_.Finish(aReply.id_, ProbeReplyToWire(aReply.message_));
}

void
Server::Perform(const membership::AnswerIndirectProbe& aReply)
{
  ProbeIndirectReply reply;
  reply.set_reached(aReply.reached_);
  impl_->indirectProbeCalls_.Finish(aReply.id_, std::move(reply));
}

} // namespace lycheeplank::peer
