#include "peer/peer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>

#include "peer/convert.h"
#include "proto/peer.grpc.pb.h"

namespace lycheeplank::peer {

namespace {

// A claim waits for the platform, so it gets more time than other calls.
constexpr absl::Duration kClaimTimeout = absl::Milliseconds(1500);
// A prompt without a known holder can still be placed.
constexpr absl::Duration kLocateTimeout = absl::Milliseconds(50);
constexpr absl::Duration kNewsTimeout = absl::Seconds(1);
constexpr absl::Duration kChunksTimeout = absl::Seconds(2);
constexpr int kMaxMessageBytes = 64 << 20;

// A call under way; deletes itself at its end.
template<typename Request, typename Reply>
struct Flight
{
  grpc::ClientContext context_;
  Request request_;
  Reply reply_;
};

} // namespace

struct Client::Impl
{
  using Stub = std::shared_ptr<Peer::Stub>;

  // Returns the stub of an address; channels are shared and kept.
  Stub StubAt(const std::string& aAddress)
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

  Stub StubOf(const std::string& aHost)
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
    return StubAt(address);
  }

  // Runs a call and hands over its reply, or null if it failed.
  template<typename Request, typename Reply, typename Method, typename OnReply>
  void Run(const Stub& aStub,
           Method aMethod,
           Request aRequest,
           absl::Duration aTimeout,
           OnReply aOnReply)
  {
    if (!aStub) {
      aOnReply(static_cast<const Reply*>(nullptr));
      return;
    }
    auto* flight = new Flight<Request, Reply>;
    flight->request_ = std::move(aRequest);
    flight->context_.set_deadline(absl::ToChronoTime(absl::Now() + aTimeout));
    (aStub->async()->*aMethod)(
      &flight->context_,
      &flight->request_,
      &flight->reply_,
      [flight, aStub, onReply = std::move(aOnReply)](
        const grpc::Status& aStatus) mutable {
        onReply(aStatus.ok() ? &flight->reply_
                             : static_cast<const Reply*>(nullptr));
        delete flight;
      });
  }

  void Locate(std::vector<std::string> aHomes,
              reducer::HoldersLocated aEvent,
              const LocateRequest& aRequest);

  Post post_;
  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::string> addresses_;
  absl::flat_hash_map<std::string, Stub> stubs_;
};

namespace {

using Async = Peer::StubInterface::async_interface;

// The variant of each method that takes a callback.
template<typename Request, typename Reply>
using CallbackMethod = void (Async::*)(grpc::ClientContext*,
                                       const Request*,
                                       Reply*,
                                       std::function<void(grpc::Status)>);

constexpr CallbackMethod<ClaimRequest, ClaimReply> kClaim = &Async::Claim;
constexpr CallbackMethod<OutcomeRequest, OutcomeReply> kRecordOutcome =
  &Async::RecordOutcome;
constexpr CallbackMethod<ClaimRunningRequest, ClaimRunningReply> kClaimRunning =
  &Async::ClaimRunning;
constexpr CallbackMethod<LocateRequest, LocateReply> kLocate = &Async::Locate;
constexpr CallbackMethod<ReportBlocksRequest, ReportBlocksReply> kReportBlocks =
  &Async::ReportBlocks;
constexpr CallbackMethod<FetchChunksRequest, FetchChunksReply> kFetchChunks =
  &Async::FetchChunks;
constexpr CallbackMethod<ProbeRequest, ProbeReply> kProbe = &Async::Probe;
constexpr CallbackMethod<ProbeIndirectRequest, ProbeIndirectReply>
  kProbeIndirect = &Async::ProbeIndirect;

} // namespace

Client::Client(Post aPost)
  : impl_(std::make_unique<Impl>())
{
  impl_->post_ = std::move(aPost);
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
  impl_->Run<ClaimRequest, ClaimReply>(
    impl_->StubOf(aEffect.host_),
    kClaim,
    ToWire(aEffect.claim_),
    kClaimTimeout,
    [this, id = aEffect.id_, ask = aEffect.claimTry_](
      const ClaimReply* aReply) {
      reducer::ClaimAnswered event{ id, ask, aReply != nullptr, {} };
      if (aReply != nullptr) {
        event.answer_ = FromWire(*aReply);
      }
      impl_->post_(std::move(event));
    });
}

void
Client::Perform(const reducer::ReportOutcome& aEffect)
{
  impl_->Run<OutcomeRequest, OutcomeReply>(
    impl_->StubOf(aEffect.host_),
    kRecordOutcome,
    ToWire(aEffect.report_),
    kClaimTimeout,
    [this, effect = aEffect](const OutcomeReply* aReply) {
      impl_->post_(reducer::OutcomeReportAnswered{ effect.id_,
                                                   effect.report_,
                                                   aReply != nullptr,
                                                   aReply != nullptr &&
                                                     aReply->durable() });
    });
}

void
Client::Perform(const reducer::SendClaimHeartbeat& aEffect)
{
  impl_->Run<ClaimRunningRequest, ClaimRunningReply>(
    impl_->StubOf(aEffect.host_),
    kClaimRunning,
    ToWire(aEffect.running_),
    kNewsTimeout,
    [](const ClaimRunningReply*) {});
}

void
Client::Impl::Locate(std::vector<std::string> aHomes,
                     reducer::HoldersLocated aEvent,
                     const LocateRequest& aRequest)
{
  if (aHomes.empty()) {
    aEvent.homeAnswered_ = false;
    post_(std::move(aEvent));
    return;
  }
  const Stub stub = StubOf(aHomes.front());
  aHomes.erase(aHomes.begin());
  Run<LocateRequest, LocateReply>(
    stub,
    kLocate,
    aRequest,
    kLocateTimeout,
    [this, homes = std::move(aHomes), event = std::move(aEvent), aRequest](
      const LocateReply* aReply) mutable {
      if (aReply == nullptr) {
        Locate(std::move(homes), std::move(event), aRequest);
        return;
      }
      event.holders_ = FromWire(*aReply);
      post_(std::move(event));
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
  impl_->Run<ReportBlocksRequest, ReportBlocksReply>(
    impl_->StubOf(aEffect.host_),
    kReportBlocks,
    ToWire(aEffect.holder_, aEffect.sightings_, aEffect.inventory_),
    kNewsTimeout,
    [](const ReportBlocksReply*) {});
}

void
Client::Perform(const config::FetchFromPeer& aEffect)
{
  FetchChunksRequest request;
  for (const auto& digest : aEffect.digests_) {
    request.add_digests(digest);
  }
  impl_->Run<FetchChunksRequest, FetchChunksReply>(
    impl_->StubAt(aEffect.peer_.address_),
    kFetchChunks,
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
      impl_->post_(reducer::ConfigEvent{ std::move(answer) });
    });
}

void
Client::Perform(const config::RequestRevision& aEffect)
{
  impl_->Run<FetchChunksRequest, FetchChunksReply>(
    impl_->StubAt(aEffect.peer_.address_),
    kFetchChunks,
    FetchChunksRequest(),
    kNewsTimeout,
    [this, peer = aEffect.peer_](const FetchChunksReply* aReply) {
      if (aReply != nullptr) {
        impl_->post_(reducer::ConfigEvent{
          config::PeerRevisionReceived{ peer, aReply->revision() } });
      }
    });
}

void
Client::Perform(const membership::SendProbe& aEffect)
{
  impl_->Run<ProbeRequest, ProbeReply>(
    impl_->StubAt(aEffect.address_),
    kProbe,
    ProbeToWire(aEffect.message_),
    aEffect.timeout_,
    [this, id = aEffect.id_](const ProbeReply* aReply) {
      if (aReply != nullptr) {
        impl_->post_(reducer::MembershipEvent{
          membership::ProbeAnswered{ id, FromWire(*aReply) } });
      } else {
        impl_->post_(reducer::MembershipEvent{ membership::ProbeFailed{ id } });
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
  impl_->Run<ProbeIndirectRequest, ProbeIndirectReply>(
    impl_->StubAt(aEffect.viaAddress_),
    kProbeIndirect,
    std::move(request),
    aEffect.timeout_,
    [this, id = aEffect.id_](const ProbeIndirectReply* aReply) {
      impl_->post_(reducer::MembershipEvent{ membership::IndirectProbeAnswered{
        id, aReply != nullptr && aReply->reached() } });
    });
}

} // namespace lycheeplank::peer
