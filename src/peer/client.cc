#include "peer/peer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>

#include "peer/convert.h"
#include "proto/peer.grpc.pb.h"

namespace lycheeplank::peer {

namespace {

// The answer to a claim waits for the platform, so the timeout is longer than
// that of most calls.
constexpr absl::Duration kClaimTimeout = absl::Milliseconds(1500);
// Short, as a prompt can be placed without knowing the holders of its blocks.
constexpr absl::Duration kLocateTimeout = absl::Milliseconds(50);
// For calls that no request waits for.
constexpr absl::Duration kBackgroundTimeout = absl::Seconds(1);
constexpr absl::Duration kChunksTimeout = absl::Seconds(2);
constexpr int kMaxMessageBytes = 64 << 20;

// Context and messages of a call in progress. The callback that ends the call
// deletes it.
template<typename Request, typename Reply>
struct CallInProgress
{
  grpc::ClientContext context_;
  Request request_;
  Reply reply_;
};

} // namespace

struct Client::Impl
{
  using Stub = std::shared_ptr<Peer::Stub>;

  // Returns the stub for an address. Each address has one channel, which is
  // kept open.
  Stub StubForAddress(const std::string& aAddress)
  {
    const absl::MutexLock lock(&mutex_);
    Stub& stub = stubs_[aAddress];
    if (!stub) {
      grpc::ChannelArguments arguments;
      arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
      arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
      arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
      arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
      stub = Peer::NewStub(grpc::CreateCustomChannel(
        aAddress, grpc::InsecureChannelCredentials(), arguments));
    }
    return stub;
  }

  // Returns the stub for a host, or null if the host's address is unknown.
  Stub StubForHost(const std::string& aHost)
  {
    std::string address;
    {
      const absl::MutexLock lock(&mutex_);
      const auto found = addresses_.find(aHost);
      if (found == addresses_.end()) {
        return nullptr;
      }
      address = found->second;
    }
    return StubForAddress(address);
  }

  // Starts a call. aOnReply gets the reply, or null if the call failed; it runs
  // at once if aStub is null, else on a gRPC thread.
  template<typename Request, typename Reply, typename Method, typename OnReply>
  void StartCall(const Stub& aStub,
                 Method aMethod,
                 Request aRequest,
                 absl::Duration aTimeout,
                 OnReply aOnReply)
  {
    if (!aStub) {
      aOnReply(static_cast<const Reply*>(nullptr));
      return;
    }
    auto* call = new CallInProgress<Request, Reply>;
    call->request_ = std::move(aRequest);
    call->context_.set_deadline(absl::ToChronoTime(absl::Now() + aTimeout));
    (aStub->async()->*aMethod)(
      &call->context_,
      &call->request_,
      &call->reply_,
      [call, aStub, onReply = std::move(aOnReply)](
        const grpc::Status& aStatus) mutable {
        onReply(aStatus.ok() ? &call->reply_
                             : static_cast<const Reply*>(nullptr));
        delete call;
      });
  }

  // Sends aRequest to one home after the other until one answers, then posts
  // aEvent with the holders. If no home answers, posts it with homeAnswered_
  // false.
  void Locate(std::vector<std::string> aHomes,
              reducer::HoldersLocated aEvent,
              const LocateRequest& aRequest);

  PostEvent postEvent_;
  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::string> addresses_;
  absl::flat_hash_map<std::string, Stub> stubs_;
};

namespace {

using Async = Peer::StubInterface::async_interface;

// A stub method that takes a callback.
template<typename Request, typename Reply>
using CallbackMethod = void (Async::*)(grpc::ClientContext*,
                                       const Request*,
                                       Reply*,
                                       std::function<void(grpc::Status)>);

constexpr CallbackMethod<ClaimRequest, ClaimReply> kClaimMethod = &Async::Claim;
constexpr CallbackMethod<OutcomeRequest, OutcomeReply> kRecordOutcomeMethod =
  &Async::RecordOutcome;
constexpr CallbackMethod<ClaimRunningRequest, ClaimRunningReply>
  kClaimRunningMethod = &Async::ClaimRunning;
constexpr CallbackMethod<LocateRequest, LocateReply> kLocateMethod =
  &Async::Locate;
constexpr CallbackMethod<ReportBlocksRequest, ReportBlocksReply>
  kReportBlocksMethod = &Async::ReportBlocks;
constexpr CallbackMethod<FetchChunksRequest, FetchChunksReply>
  kFetchChunksMethod = &Async::FetchChunks;
constexpr CallbackMethod<ProbeRequest, ProbeReply> kProbeMethod = &Async::Probe;
constexpr CallbackMethod<ProbeIndirectRequest, ProbeIndirectReply>
  kProbeIndirectMethod = &Async::ProbeIndirect;

} // namespace

Client::Client(PostEvent aPostEvent)
  : impl_(std::make_unique<Impl>())
{
  impl_->postEvent_ = std::move(aPostEvent);
}

Client::~Client() = default;

void
Client::SetAddress(const std::string& aHost, const std::string& aAddress)
{
  const absl::MutexLock lock(&impl_->mutex_);
  impl_->addresses_[aHost] = aAddress;
}

void
Client::Perform(const reducer::RequestClaim& aEffect)
{
  impl_->StartCall<ClaimRequest, ClaimReply>(
    impl_->StubForHost(aEffect.host_),
    kClaimMethod,
    ToWire(aEffect.claim_),
    kClaimTimeout,
    [this, id = aEffect.id_, claimTry = aEffect.claimTry_](
      const ClaimReply* aReply) {
      reducer::ClaimAnswered event{ id, claimTry, aReply != nullptr, {} };
      if (aReply != nullptr) {
        event.answer_ = FromWire(*aReply);
      }
      impl_->postEvent_(std::move(event));
    });
}

void
Client::Perform(const reducer::ReportOutcome& aEffect)
{
  impl_->StartCall<OutcomeRequest, OutcomeReply>(
    impl_->StubForHost(aEffect.host_),
    kRecordOutcomeMethod,
    ToWire(aEffect.report_),
    kClaimTimeout,
    [this, effect = aEffect](const OutcomeReply* aReply) {
      impl_->postEvent_(reducer::OutcomeReportAnswered{ effect.id_,
                                                        effect.report_,
                                                        aReply != nullptr,
                                                        aReply != nullptr &&
                                                          aReply->durable() });
    });
}

void
Client::Perform(const reducer::SendClaimHeartbeat& aEffect)
{
  impl_->StartCall<ClaimRunningRequest, ClaimRunningReply>(
    impl_->StubForHost(aEffect.host_),
    kClaimRunningMethod,
    ToWire(aEffect.running_),
    kBackgroundTimeout,
    [](const ClaimRunningReply*) {});
}

void
Client::Impl::Locate(std::vector<std::string> aHomes,
                     reducer::HoldersLocated aEvent,
                     const LocateRequest& aRequest)
{
  if (aHomes.empty()) {
    aEvent.homeAnswered_ = false;
    postEvent_(std::move(aEvent));
    return;
  }
  const Stub stub = StubForHost(aHomes.front());
  aHomes.erase(aHomes.begin());
  StartCall<LocateRequest, LocateReply>(
    stub,
    kLocateMethod,
    aRequest,
    kLocateTimeout,
    [this, homes = std::move(aHomes), event = std::move(aEvent), aRequest](
      const LocateReply* aReply) mutable {
      if (aReply == nullptr) {
        Locate(std::move(homes), std::move(event), aRequest);
        return;
      }
      event.holders_ = FromWire(*aReply);
      postEvent_(std::move(event));
    });
}

void
Client::Perform(const reducer::QueryHomes& aEffect)
{
  impl_->Locate(aEffect.homes_,
                { aEffect.id_, aEffect.attempt_, {} },
                LocateToWire(aEffect.chain_));
}

void
Client::Perform(const reducer::ReportBlocksToHome& aEffect)
{
  impl_->StartCall<ReportBlocksRequest, ReportBlocksReply>(
    impl_->StubForHost(aEffect.host_),
    kReportBlocksMethod,
    ToWire(aEffect.holder_, aEffect.sightings_, aEffect.inventory_),
    kBackgroundTimeout,
    [](const ReportBlocksReply*) {});
}

void
Client::Perform(const config::FetchFromPeer& aEffect)
{
  FetchChunksRequest request;
  for (const auto& digest : aEffect.digests_) {
    request.add_digests(digest);
  }
  impl_->StartCall<FetchChunksRequest, FetchChunksReply>(
    impl_->StubForAddress(aEffect.peer_.address_),
    kFetchChunksMethod,
    std::move(request),
    kChunksTimeout,
    [this, id = aEffect.id_](const FetchChunksReply* aReply) {
      config::PeerReply answer;
      answer.id_ = id;
      answer.reached_ = aReply != nullptr;
      if (aReply != nullptr) {
        answer.head_ = aReply->head();
        for (const auto& chunk : aReply->chunks()) {
          answer.chunks_.push_back({ chunk.digest(), chunk.content() });
        }
      }
      impl_->postEvent_(reducer::ConfigEvent{ std::move(answer) });
    });
}

void
Client::Perform(const config::RequestRevision& aEffect)
{
  impl_->StartCall<FetchChunksRequest, FetchChunksReply>(
    impl_->StubForAddress(aEffect.peer_.address_),
    kFetchChunksMethod,
    FetchChunksRequest(),
    kBackgroundTimeout,
    [this, peer = aEffect.peer_](const FetchChunksReply* aReply) {
      if (aReply != nullptr) {
        impl_->postEvent_(reducer::ConfigEvent{
          config::PeerRevisionReceived{ peer, aReply->revision() } });
      }
    });
}

void
Client::Perform(const membership::SendProbe& aEffect)
{
  impl_->StartCall<ProbeRequest, ProbeReply>(
    impl_->StubForAddress(aEffect.address_),
    kProbeMethod,
    ProbeToWire(aEffect.message_),
    aEffect.timeout_,
    [this, id = aEffect.id_](const ProbeReply* aReply) {
      if (aReply != nullptr) {
        impl_->postEvent_(reducer::MembershipEvent{
          membership::ProbeAnswered{ id, FromWire(*aReply) } });
      } else {
        impl_->postEvent_(
          reducer::MembershipEvent{ membership::ProbeFailed{ id } });
      }
    });
}

void
Client::Perform(const membership::RequestIndirectProbe& aEffect)
{
  ProbeIndirectRequest request;
  request.set_suspect(aEffect.suspect_);
  request.set_suspect_address(aEffect.suspectAddress_);
  request.set_timeout_ms(absl::ToInt64Milliseconds(aEffect.timeout_));
  impl_->StartCall<ProbeIndirectRequest, ProbeIndirectReply>(
    impl_->StubForAddress(aEffect.viaAddress_),
    kProbeIndirectMethod,
    std::move(request),
    aEffect.timeout_,
    [this, id = aEffect.id_](const ProbeIndirectReply* aReply) {
      impl_->postEvent_(
        reducer::MembershipEvent{ membership::IndirectProbeAnswered{
          id, aReply != nullptr && aReply->reached() } });
    });
}

} // namespace lycheeplank::peer
