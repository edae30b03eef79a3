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

// Calls of one kind that wait for their answer.
template<typename Reply>
class Waiting
{
public:
  void Add(reducer::PeerCallId aCall,
           grpc::ServerUnaryReactor* aReactor,
           Reply* aReply)
  {
    const absl::MutexLock lock(&mutex_);
    calls_[aCall] = { aReactor, aReply };
  }

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
  explicit Impl(Post aPost)
    : post_(std::move(aPost))
  {
  }

  grpc::ServerUnaryReactor* Claim(grpc::CallbackServerContext* aContext,
                                  const ClaimRequest* aRequest,
                                  ClaimReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    claims_.Add(call, reactor, aReply);
    post_(reducer::PeerRequestsClaim{ call, FromWire(*aRequest) });
    return reactor;
  }

  grpc::ServerUnaryReactor* RecordOutcome(grpc::CallbackServerContext* aContext,
                                          const OutcomeRequest* aRequest,
                                          OutcomeReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    outcomes_.Add(call, reactor, aReply);
    post_(reducer::PeerReportsOutcome{ call, FromWire(*aRequest) });
    return reactor;
  }

  grpc::ServerUnaryReactor* ClaimRunning(grpc::CallbackServerContext* aContext,
                                         const ClaimRunningRequest* aRequest,
                                         ClaimRunningReply* /*aReply*/) override
  {
    claims::Heartbeat running = FromWire(*aRequest);
    running.now_ = absl::Now();
    post_(reducer::PeerSendsClaimHeartbeat{ std::move(running) });
    return FinishAtOnce(aContext);
  }

  grpc::ServerUnaryReactor* Locate(grpc::CallbackServerContext* aContext,
                                   const LocateRequest* aRequest,
                                   LocateReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    locates_.Add(call, reactor, aReply);
    post_(reducer::PeerLocatesBlocks{ call, FromWire(*aRequest) });
    return reactor;
  }

  grpc::ServerUnaryReactor* ReportBlocks(grpc::CallbackServerContext* aContext,
                                         const ReportBlocksRequest* aRequest,
                                         ReportBlocksReply* /*aReply*/) override
  {
    post_(reducer::PeerReportsBlocks{ HolderFromWire(*aRequest),
                                      SightingsFromWire(*aRequest),
                                      aRequest->inventory() });
    return FinishAtOnce(aContext);
  }

  grpc::ServerUnaryReactor* FetchChunks(grpc::CallbackServerContext* aContext,
                                        const FetchChunksRequest* aRequest,
                                        FetchChunksReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    configs_.Add(call, reactor, aReply);
    post_(reducer::PeerFetchesConfig{
      call, { aRequest->digests().begin(), aRequest->digests().end() } });
    return reactor;
  }

  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* aContext,
                                  const ProbeRequest* aRequest,
                                  ProbeReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    probes_.Add(call, reactor, aReply);
    post_(reducer::MembershipEvent{
      membership::ProbeReceived{ call, FromWire(*aRequest) } });
    return reactor;
  }

  grpc::ServerUnaryReactor* ProbeIndirect(grpc::CallbackServerContext* aContext,
                                          const ProbeIndirectRequest* aRequest,
                                          ProbeIndirectReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    const reducer::PeerCallId call = ++lastCall_;
    indirects_.Add(call, reactor, aReply);
    post_(reducer::MembershipEvent{ membership::IndirectProbeRequested{
      call, aRequest->suspect(), aRequest->suspect_address() } });
    return reactor;
  }

  static grpc::ServerUnaryReactor* FinishAtOnce(
    grpc::CallbackServerContext* aContext)
  {
    auto* reactor = aContext->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  const Post post_;
  std::atomic<reducer::PeerCallId> lastCall_{ 0 };
  Waiting<ClaimReply> claims_;
  Waiting<OutcomeReply> outcomes_;
  Waiting<LocateReply> locates_;
  Waiting<FetchChunksReply> configs_;
  Waiting<ProbeReply> probes_;
  Waiting<ProbeIndirectReply> indirects_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

Server::Server(const std::string& aAddress, Post aPost)
  : impl_(std::make_unique<Impl>(std::move(aPost)))
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
  impl_->claims_.Finish(aReply.callId_, ToWire(aReply.answer_));
}

void
Server::Perform(const reducer::ReplyOutcomeReport& aReply)
{
  OutcomeReply reply;
  reply.set_durable(aReply.durable_);
  impl_->outcomes_.Finish(aReply.callId_, std::move(reply));
}

void
Server::Perform(const reducer::ReplyHolders& aReply)
{
  impl_->locates_.Finish(aReply.callId_, ToWire(aReply.holders_));
}

void
Server::Perform(const reducer::ReplyConfig& aReply)
{
  impl_->configs_.Finish(aReply.callId_, ToWire(aReply.served_));
}

void
Server::Perform(const membership::AnswerProbe& aReply)
{
  impl_->probes_.Finish(aReply.id_, ProbeReplyToWire(aReply.message_));
}

void
Server::Perform(const membership::AnswerIndirectProbe& aReply)
{
  ProbeIndirectReply reply;
  reply.set_reached(aReply.reached_);
  impl_->indirects_.Finish(aReply.id_, std::move(reply));
}

} // namespace lycheeplank::peer
