#include "entry/app.h"

#include <thread>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "adapters/platform.h"
#include "entry/admin.h"
#include "entry/api.h"
#include "entry/control.h"
#include "entry/poller.h"
#include "entry/problem.h"
#include "entry/runner.h"
#include "entry/steward-link.h"
#include "entry/trace.h"
#include "peer/peer.h"

namespace lycheeplank::entry {

namespace {

// Number of hosts listed by GET /v1/entries.
constexpr std::size_t kMaxListedEntries = 3;
// Maximum time for which an outcome waits to share a write with other records.
// It is short because the caller is answered only after the outcome is
// recorded.
constexpr absl::Duration kOutcomeDelay = absl::Milliseconds(10);
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(50);
// Control calls have their own HTTP client, so that they don't delay the
// threads that read from targets.
constexpr unsigned kControlClientThreads = 1;

reducer::State
MakeControlState(const Settings& aSettings,
                 const std::string& aPeerAddress,
                 const std::string& aHttpAddress)
{
  reducer::State state;
  state.self_ = { aSettings.name_, aSettings.dataCentre_ };
  state.seed_ = core::StableHash(aSettings.name_);
  state.configSync_.host_ = aSettings.name_;
  state.claims_.settings_.instance_ = core::RandomId();
  state.claims_.settings_.outcomeDelay_ = kOutcomeDelay;
  membership::HostState self;
  self.name_ = aSettings.name_;
  self.peerAddress_ = aPeerAddress;
  self.httpAddress_ = aHttpAddress;
  self.dataCentre_ = aSettings.dataCentre_;
  state.membership_ =
    membership::MakeInitialState(self, {}, absl::Now(), aSettings.peers_);
  return state;
}

} // namespace

struct App::Impl
{
  explicit Impl(const Settings& aSettings);

  void Post(reducer::Event aEvent)
  {
    stopper_.StopIfReached(StopPointBefore(aEvent));
    control_->Post(std::move(aEvent));
  }
  void Perform(const reducer::Effect& aEffect);
  void Serve(const std::shared_ptr<net::Exchange>& aExchange);
  void ServeHealth(net::Exchange& aExchange);
  std::string EntriesJson(const std::string& aWorkspace);
  void UpdateGauges();

  const Settings settings_;
  Stopper stopper_;
  metrics::Registry metrics_;
  SnapshotHolder snapshots_;
  OpenRequests openRequests_;
  RequestTraces requestTraces_;
  net::Client targetClient_;
  net::Client controlClient_;
  adapters::PlatformClient platform_;
  Runner runner_;
  StewardLink steward_;
  peer::Client peers_;
  std::unique_ptr<peer::Server> peerServer_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<Admin> admin_;
  std::unique_ptr<Poller> poller_;
  std::unique_ptr<ApiContext> api_;
  std::unique_ptr<net::Server> server_;
  absl::Mutex mutex_;
  // Earliest time at which the host may stop listening.
  absl::Time drainedAfter_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
};

namespace {

// Performs each kind of effect.
struct Performer
{
  App::Impl& app_;

  void operator()(const reducer::Dispatch& aEffect) const
  {
    app_.runner_.Perform(aEffect);
  }
  void operator()(const reducer::Refuse& aEffect) const
  {
    app_.runner_.Perform(aEffect);
  }
  void operator()(const reducer::CancelAttempt& aEffect) const
  {
    app_.runner_.Perform(aEffect);
  }
  void operator()(const reducer::ForgetRequest& aEffect) const
  {
    app_.openRequests_.Remove(aEffect.id_);
  }
  void operator()(const reducer::AnswerCall& aEffect) const
  {
    if (const OpenRequestPtr openRequest = app_.openRequests_.Find(aEffect.id_);
        openRequest) {
      app_.runner_.AnswerCall(openRequest,
                              static_cast<int>(aEffect.answer_.status_),
                              aEffect.answer_.contentType_,
                              aEffect.answer_.body_);
    }
  }
  void operator()(const reducer::FetchInventory& aEffect) const
  {
    app_.poller_->FetchInventory(aEffect.target_);
  }
  void operator()(const reducer::QueryLoads& aEffect) const
  {
    app_.poller_->FetchLoads(aEffect);
  }
  void operator()(const reducer::FetchStoreInventory& aEffect) const
  {
    app_.poller_->FetchStoreInventory(aEffect.store_);
  }
  void operator()(const reducer::ReportRun& aEffect) const
  {
    app_.steward_.Perform(aEffect);
  }
  void operator()(const reducer::SendCommand& aEffect) const
  {
    app_.metrics_.Count("platform_commands_total");
    app_.platform_.Execute(
      aEffect.command_,
      [&app = app_, module = aEffect.module_, claim = WritesClaims(aEffect)](
        platform::Reply aReply) {
        if (claim) {
          app.stopper_.StopIfReached(StopPoint::ClaimWritten);
        }
        app.Post(reducer::PlatformReplied{ module, std::move(aReply) });
      });
  }
  void operator()(const reducer::PublishConfig& aEffect) const
  {
    LOG(INFO) << "event=config_in_force revision="
              << aEffect.accepted_->config_->revision_;
    app_.snapshots_.Update([&](Snapshot& aSnapshot) {
      aSnapshot.config_ = aEffect.accepted_->config_;
    });
  }
  void operator()(const reducer::PublishHosts& aEffect) const
  {
    std::vector<placement::Follower> hosts;
    for (const auto& host : aEffect.liveHosts_) {
      app_.peers_.SetAddress(host.name_, host.peerAddress_);
      hosts.push_back({ host.name_, host.dataCentre_ });
    }
    LOG(INFO) << "event=live_hosts count=" << hosts.size();
    app_.poller_->SetHosts(std::move(hosts));
  }
  void operator()(const reducer::PublishServing& aEffect) const
  {
    LOG(INFO) << "event=serving isolated=" << aEffect.isolated_
              << " draining=" << aEffect.draining_;
    app_.snapshots_.Update([&](Snapshot& aSnapshot) {
      aSnapshot.isolated_ = aEffect.isolated_;
      aSnapshot.draining_ = aEffect.draining_;
    });
    const absl::MutexLock lock(&app_.mutex_);
    app_.drainedAfter_ = aEffect.drainedAfter_;
  }
  void operator()(const config::CheckDocument& aEffect) const
  {
    // Checking a long document takes a while, so it runs on a thread of its
    // own and doesn't block the control thread.
    std::thread([&app = app_, order = aEffect] {
      app.Post(reducer::ConfigEvent{ config::RunCheck(order) });
    }).detach();
  }
  void operator()(const config::AnswerEdit& aEffect) const
  {
    app_.admin_->Perform(aEffect);
  }
  void operator()(const reducer::LogLine& aEffect) const
  {
    LOG(INFO) << aEffect.line_;
  }
  void operator()(const reducer::IncrementCounter& aEffect) const
  {
    app_.metrics_.Count(aEffect.name_, aEffect.label_, aEffect.value_);
  }
  void operator()(const reducer::TraceDecision& aEffect) const
  {
    app_.requestTraces_.Add(aEffect);
    LOG(INFO) << "event=" << aEffect.event_ << " request=" << aEffect.request_
              << " " << aEffect.detail_;
  }
  void operator()(const reducer::ReplyClaim& aEffect) const
  {
    app_.peerServer_->Perform(aEffect);
  }
  void operator()(const reducer::ReplyOutcomeReport& aEffect) const
  {
    app_.peerServer_->Perform(aEffect);
  }
  void operator()(const reducer::ReplyHolders& aEffect) const
  {
    app_.peerServer_->Perform(aEffect);
  }
  void operator()(const reducer::ReplyConfig& aEffect) const
  {
    app_.peerServer_->Perform(aEffect);
  }
  void operator()(const membership::AnswerProbe& aEffect) const
  {
    app_.peerServer_->Perform(aEffect);
  }
  void operator()(const membership::AnswerIndirectProbe& aEffect) const
  {
    app_.peerServer_->Perform(aEffect);
  }
  // All other effects are calls to peers.
  template<typename Other>
  void operator()(const Other& aEffect) const
  {
    app_.peers_.Perform(aEffect);
  }
};

} // namespace

App::Impl::Impl(const Settings& aSettings)
  : settings_(aSettings)
  , stopper_(aSettings.stopAt_, aSettings.stopAtCount_)
  , targetClient_(aSettings.clientThreads_)
  , controlClient_(kControlClientThreads)
  , platform_(controlClient_, aSettings.platformUrl_, aSettings.name_)
  , runner_(targetClient_,
            openRequests_,
            metrics_,
            aSettings.tokenSecret_,
            [this](reducer::Event aEvent) { Post(std::move(aEvent)); })
  , steward_(controlClient_, aSettings.stewardUrl_, aSettings.tokenSecret_)
  , peers_([this](reducer::Event aEvent) { Post(std::move(aEvent)); })
{
  const auto post = [this](reducer::Event aEvent) { Post(std::move(aEvent)); };
  net::ServerOptions options;
  options.address_ = aSettings.address_;
  options.port_ = aSettings.httpPort_;
  options.threads_ = aSettings.httpThreads_;
  server_ = std::make_unique<net::Server>(
    options, [this](const std::shared_ptr<net::Exchange>& aExchange) {
      Serve(aExchange);
    });
  peerServer_ = std::make_unique<peer::Server>(
    absl::StrCat(aSettings.address_, ":", aSettings.peerPort_), post);
  control_ = std::make_unique<Control>(
    MakeControlState(
      aSettings,
      absl::StrCat(aSettings.address_, ":", peerServer_->Port()),
      absl::StrCat("http://", aSettings.address_, ":", server_->Port())),
    [this](const reducer::Effect& aEffect) { Perform(aEffect); });
  admin_ = std::make_unique<Admin>(*control_,
                                   requestTraces_,
                                   platform_,
                                   snapshots_,
                                   aSettings.operatorKeyDigest_);
  poller_ = std::make_unique<Poller>(
    controlClient_,
    snapshots_,
    placement::Follower{ aSettings.name_, aSettings.dataCentre_ },
    post,
    [this] { return openRequests_.Size() > 0; });
  api_ = std::make_unique<ApiContext>(
    ApiContext{ snapshots_,
                openRequests_,
                runner_,
                metrics_,
                post,
                aSettings.tokenSecret_,
                [this](const std::string& aWorkspace) {
                  return EntriesJson(aWorkspace);
                } });
  control_->Start();
  poller_->Start();
  steward_.Start();
}

void
App::Impl::Perform(const reducer::Effect& aEffect)
{
  stopper_.StopIfReached(StopPointBefore(aEffect));
  absl::visit(Performer{ *this }, aEffect);
  stopper_.StopIfReached(StopPointAfter(aEffect));
}

void
App::Impl::Serve(const std::shared_ptr<net::Exchange>& aExchange)
{
  const std::string& path = aExchange->request_.path_;
  if (!api_) {
    ReplyProblem(
      *aExchange, { core::ErrorKind::NotReady, "the host is starting" }, "");
  } else if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
    ServeHealth(*aExchange);
  } else if (!steward_.Serve(*control_, aExchange) &&
             !admin_->Serve(aExchange) && !ServeCaller(*api_, aExchange)) {
    ReplyProblem(*aExchange, { core::ErrorKind::UnknownPath, path }, "");
  }
}

void
App::Impl::ServeHealth(net::Exchange& aExchange)
{
  const std::string& path = aExchange.request_.path_;
  if (path == "/metrics") {
    UpdateGauges();
    aExchange.Reply(200,
                    { { "Content-Type", "text/plain; version=0.0.4" } },
                    metrics_.Text());
    return;
  }
  if (path == "/healthz") {
    aExchange.Reply(200, { { "Content-Type", "text/plain" } }, "ok\n");
    return;
  }
  const SnapshotPtr snapshot = snapshots_.Get();
  if (!snapshot->config_ || snapshot->isolated_) {
    ReplyProblem(aExchange,
                 { core::ErrorKind::NotReady,
                   snapshot->isolated_
                     ? "the host can reach neither the platform nor "
                       "its peers"
                     : "the host has not loaded a configuration yet" },
                 "");
  } else if (snapshot->draining_) {
    ReplyProblem(
      aExchange, { core::ErrorKind::Draining, "the host is draining" }, "");
  } else {
    aExchange.Reply(200, { { "Content-Type", "text/plain" } }, "ready\n");
  }
}

std::string
App::Impl::EntriesJson(const std::string& aWorkspace)
{
  membership::Entries entries;
  control_->Inspect([&](const reducer::State& aState) {
    entries =
      membership::EntriesFor(aState.membership_, aWorkspace, kMaxListedEntries);
  });
  nlohmann::json body{ { "ttl_ms", absl::ToInt64Milliseconds(entries.ttl_) },
                       { "entries", nlohmann::json::array() } };
  for (const auto& host : entries.hosts_) {
    body["entries"].push_back(
      { { "name", host.name_ }, { "http", host.httpAddress_ } });
  }
  return body.dump();
}

void
App::Impl::UpdateGauges()
{
  metrics_.Set("open_requests", static_cast<double>(openRequests_.Size()));
  metrics_.Set("open_exchanges", static_cast<double>(server_->OpenExchanges()));
}

App::App(const Settings& aSettings)
  : impl_(std::make_unique<Impl>(aSettings))
{
  LOG(INFO) << "event=started name=" << aSettings.name_
            << " http_port=" << impl_->server_->Port()
            << " peer_port=" << impl_->peerServer_->Port();
  std::printf("listening http_port=%u peer_port=%u\n",
              static_cast<unsigned>(impl_->server_->Port()),
              static_cast<unsigned>(impl_->peerServer_->Port()));
  std::fflush(stdout);
}

App::~App() = default;

void
App::Drain()
{
  impl_->Post(reducer::DrainRequested{});
  while (true) {
    {
      const absl::MutexLock lock(&impl_->mutex_);
      if (impl_->drainedAfter_ <= absl::Now()) {
        break;
      }
    }
    absl::SleepFor(kDrainPollInterval);
  }
  impl_->server_->StopListening();
  while (impl_->server_->OpenExchanges() > 0 ||
         impl_->openRequests_.Size() > 0) {
    absl::SleepFor(kDrainPollInterval);
  }
  LOG(INFO) << "event=drained";
}

} // namespace lycheeplank::entry
