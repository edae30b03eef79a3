#include "gateway/app.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <unistd.h>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/signal_set.hpp>

#include "gateway/clock.h"
#include "gateway/exchange.h"
#include "gateway/follower.h"
#include "gateway/gossip.h"
#include "gateway/host.h"
#include "gateway/owner.h"
#include "gateway/peer-follower.h"
#include "gateway/peers.h"
#include "gateway/presence.h"
#include "gateway/server-connection.h"
#include "gateway/stores.h"

namespace lycheeplank::gateway {

namespace {

// Period of the work that is due now and then.
constexpr absl::Duration kSweepPeriod = absl::Milliseconds(250);
// Runs end every few milliseconds on busy targets; each look has a cost.
constexpr absl::Duration kWaitingPeriod = absl::Milliseconds(25);
// Period of the account of what the host has cost.
constexpr absl::Duration kUsagePeriod = absl::Seconds(10);
// Callers keep a list of addresses up to three times its life.
constexpr int kListLives = 3;
// Kept back from the grace time for the end of the process itself.
constexpr absl::Duration kExitMargin = absl::Milliseconds(450);
// After the last answer the process waits so long for callers to close.
constexpr absl::Duration kLastAnswerTime = absl::Milliseconds(200);

class App
{
public:
  App(Loop& aLoop,
      const Settings& aSettings,
      const Adapter& aAdapter,
      Reload aReload)
    : loop_(aLoop)
    , host_(aLoop, aSettings, aAdapter, STDOUT_FILENO)
    , reload_(std::move(aReload))
    , sweepTimer_(aLoop)
    , waitingTimer_(aLoop)
    , endTimer_(aLoop)
    , signals_(aLoop, SIGTERM, SIGINT, SIGHUP)
    , presence_(std::make_shared<Presence>(host_))
    , owner_(std::make_shared<Owner>(host_))
    , peerServer_(host_)
    , peerFollower_(std::make_shared<PeerFollower>(host_))
    , storeFollowers_(host_)
  {
  }

  void Start()
  {
    const auto& settings = host_.settings_;
    host_.log_.Write(Line("started")
                       .Text("data_centre", settings.dataCentre_)
                       .Text("caller_address", settings.callerAddress_)
                       .Text("store_address", settings.storeAddress_));
    for (const auto& [mechanism, name] : mechanisms::kMechanisms) {
      if (!Uses(host_, mechanism)) {
        host_.log_.Write(Line("mechanism_off").Text("mechanism", name));
      }
    }
    Listen(settings.callerAddress_, [this](const auto& aCaller) {
      std::make_shared<Exchange>(host_, aCaller)->Start();
    });
    Listen(settings.entriesAddress_,
           [this](const auto& aCaller) { AnswerLocal(aCaller); });
    Listen(settings.readyAddress_,
           [this](const auto& aCaller) { AnswerLocal(aCaller); });
    Listen(settings.peerAddress_,
           [this](const auto& aCaller) { peerServer_.Answer(aCaller); });
    const auto address =
      ParseEndpoint(settings.callerAddress_).address().to_string();
    if (settings.gossipPort_ != 0) {
      gossip_ = std::make_unique<Gossip>(
        host_, absl::StrCat(address, ":", settings.gossipPort_));
      host_.onLoad_ = [this] { gossip_->Changed(); };
    }
    if (settings.metricsPort_ != 0) {
      Listen(absl::StrCat(address, ":", settings.metricsPort_),
             [this](const auto& aCaller) {
               aCaller->Reply(200,
                              { { "Content-Type", "text/plain" } },
                              host_.metrics_.Text());
             });
    }
    host_.onChange_.emplace_back([this] { storeFollowers_.Update(); });
    host_.onChange_.emplace_back([this] { owner_->OnChange(); });
    host_.onChange_.emplace_back([this] { ServeIfReady(); });
    host_.onStoreBack_ = [this](absl::Time aBackAt) {
      for (const auto& follower : followers_) {
        follower->Renew(aBackAt);
      }
    };
    host_.onEra_ = [this] { OnEra(); };
    host_.onFeed_ = [this] { peerServer_.Changed(); };
    host_.onRole_ = [this] { OnRole(); };
    peerFollower_->Start();
    auto prefixes = host_.adapter_.prefixes_();
    for (auto& prefix : prefixes) {
      followers_.push_back(
        std::make_shared<Follower>(host_, std::move(prefix)));
      followers_.back()->Start();
    }
    WaitSignal();
    SweepLater();
    StartWaitingLater();
  }

private:
  void Listen(const std::string& aAddress, Server::Handler aHandler)
  {
    servers_.push_back(std::make_unique<Server>(
      loop_,
      ParseEndpoint(aAddress),
      [this] {
        return host_.catalog_ ? host_.catalog_->limits_
                              : catalog::RequestLimits();
      },
      std::move(aHandler)));
  }

  void OnRole()
  {
    if (host_.role_ != Role::Told) {
      for (const auto& follower : followers_) {
        follower->Resume();
      }
    }
    storeFollowers_.Update();
  }

  void OnEra()
  {
    owner_->OnEra();
    presence_->Renew();
    for (const auto& follower : followers_) {
      follower->Restart();
    }
  }

  void AnswerLocal(const ServerConnectionPtr& aCaller)
  {
    switch (host_.adapter_.readLocal_(aCaller->Head())) {
      case LocalCall::Entries:
        AnswerEntries(aCaller);
        return;
      case LocalCall::Ready:
        aCaller->Reply(CanServe(host_) && !host_.stopping_ ? 200 : 503, {}, "");
        return;
      case LocalCall::None:
        aCaller->Reply(404, {}, "");
        return;
    }
  }

  void AnswerEntries(const ServerConnectionPtr& aCaller)
  {
    const auto addresses = entry_hosts::PickAddresses(
      host_.hosts_,
      host_.adapter_.entriesDataCentre_(aCaller->Head()),
      host_.random_());
    host_.metrics_.Count("address_lists_total");
    if (addresses.empty()) {
      aCaller->Reply(503, {}, "");
      return;
    }
    aCaller->Reply(
      200,
      { { "Content-Type", "application/json" } },
      host_.adapter_.writeEntries_(addresses, host_.settings_.listLife_));
  }

  void ServeIfReady()
  {
    if (!present_ && CanServe(host_) && !host_.stopping_) {
      present_ = true;
      host_.log_.Write(Line("serving"));
      presence_->Start();
      owner_->Start();
    }
  }

  // Requests wait for memory that other hosts' requests free as well.
  void StartWaitingLater()
  {
    waitingTimer_.Set(kWaitingPeriod, [this] {
      NoteTurn(host_.pulse_, Now());
      StartWaiting(host_);
      StartWaitingLater();
    });
  }

  void SweepLater()
  {
    sweepTimer_.Set(kSweepPeriod, [this] {
      const auto now = Now();
      Sweep(host_);
      for (const auto& server : servers_) {
        server->CheckTimes(now);
      }
      UpdateGauges();
      LogUsage(now);
      SweepLater();
    });
  }

  // What the host has cost so far, for the operator's account.
  void LogUsage(absl::Time aNow)
  {
    if (aNow - usageAt_ < kUsagePeriod) {
      return;
    }
    usageAt_ = aNow;
    Line line("usage");
    for (const auto& [operation, name] : kStoreOperations) {
      line.Number(absl::StrCat("store_", name),
                  host_.store_.calls_.at(static_cast<std::size_t>(operation)));
    }
    line.Number("connections_opened", host_.targets_.Opened())
      .Number("calls_opened", host_.calls_.Opened())
      .Text("role", core::NameOf(kRoles, host_.role_));
    host_.log_.Write(line);
  }

  void UpdateGauges()
  {
    auto& metrics = host_.metrics_;
    metrics.Set("requests_open", static_cast<double>(host_.requestsOpen_));
    metrics.Set("targets", static_cast<double>(host_.members_.size()));
    metrics.Set("hosts", static_cast<double>(host_.hosts_.size()));
    metrics.Set("connections_opened",
                static_cast<double>(host_.targets_.Opened()));
    metrics.Set("endless_answers", static_cast<double>(host_.calls_.Endless()));
    metrics.Set("held_answer_bytes", static_cast<double>(host_.heldBytes_));
    metrics.Set("log_lines_dropped", static_cast<double>(host_.log_.Dropped()));
  }

  void WaitSignal()
  {
    signals_.async_wait(
      [this](const boost::system::error_code& aError, int aSignal) {
        if (aError) {
          return;
        }
        if (aSignal == SIGHUP) {
          TakeSettings();
        } else {
          Stop(aSignal);
        }
        WaitSignal();
      });
  }

  void TakeSettings()
  {
    auto settings = reload_();
    host_.log_.Write(
      Line("settings_reloaded").Flag("readable", settings.has_value()));
    if (!settings) {
      return;
    }
    // Addresses stay as they are until the next start.
    auto& current = host_.settings_;
    current.resendRatio_ = settings->resendRatio_;
    current.resendSlack_ = settings->resendSlack_;
    current.resendWindow_ = settings->resendWindow_;
    current.weightsTime_ = settings->weightsTime_;
    current.listLife_ = settings->listLife_;
    current.graceTime_ = settings->graceTime_;
  }

  void Stop(int aSignal)
  {
    if (std::exchange(host_.stopping_, true)) {
      return;
    }
    host_.stoppedAt_ = Now();
    host_.log_.Write(Line("stopping")
                       .Number("signal", aSignal)
                       .Number("requests_open", host_.requestsOpen_));
    owner_->Leave();
    presence_->Leave();
    TellPeers(host_, { { Notice::Kind::HostLeaves, host_.settings_.name_ } });
    for (const auto& server : servers_) {
      server->CloseAfterAnswers();
    }
    CheckEnd();
  }

  bool IsGraceOver() const
  {
    return Now() - host_.stoppedAt_ > host_.settings_.graceTime_ - kExitMargin;
  }

  // Ends once nobody can hold a list with this host any more and all requests
  // are answered, those of the last moment too, or when the grace time is
  // nearly over.
  void CheckEnd()
  {
    const bool over = IsGraceOver();
    const bool forgotten =
      Now() - host_.stoppedAt_ >
      kListLives * host_.settings_.listLife_ + kLastAnswerTime;
    const bool mayEnd = over || (forgotten && host_.requestsOpen_ == 0);
    if (mayEnd && !std::exchange(gone_, true)) {
      presence_->End();
    }
    endTimer_.Set(kLastAnswerTime, [this, over, mayEnd] {
      if (over || (mayEnd && host_.requestsOpen_ == 0)) {
        End();
      } else {
        CheckEnd();
      }
    });
  }

  void End()
  {
    host_.log_.Write(Line("stopped")
                       .Number("requests_open", host_.requestsOpen_)
                       .Age("after_ms", Now() - host_.stoppedAt_));
    loop_.stop();
  }

  Loop& loop_;
  Host host_;
  Reload reload_;
  Timer sweepTimer_;
  Timer waitingTimer_;
  Timer endTimer_;
  boost::asio::signal_set signals_;
  std::shared_ptr<Presence> presence_;
  std::shared_ptr<Owner> owner_;
  PeerServer peerServer_;
  std::shared_ptr<PeerFollower> peerFollower_;
  StoreFollowers storeFollowers_;
  std::unique_ptr<Gossip> gossip_;
  std::vector<std::shared_ptr<Follower>> followers_;
  std::vector<std::unique_ptr<Server>> servers_;
  absl::Time usageAt_ = Now();
  bool present_ = false;
  // Its entry has been taken off the list of hosts.
  bool gone_ = false;
};

} // namespace

int
Run(const Settings& aSettings, const Adapter& aAdapter, const Reload& aReload)
{
  std::signal(SIGPIPE, SIG_IGN);
  // One thread runs the loop.
  Loop loop(1);
  App app(loop, aSettings, aAdapter, aReload);
  app.Start();
  loop.run();
  // What is still open ends with the process; nothing has to be written back.
  std::_Exit(0);
}

} // namespace lycheeplank::gateway
