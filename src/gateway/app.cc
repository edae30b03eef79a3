#include "gateway/app.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <malloc.h>
#include <memory>
#include <unistd.h>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/signal_set.hpp>

#include "gateway/caller-guard.h"
#include "gateway/clock.h"
#include "gateway/exchange.h"
#include "gateway/follower.h"
#include "gateway/gossip.h"
#include "gateway/host-registration.h"
#include "gateway/host.h"
#include "gateway/owner.h"
#include "gateway/peer-follower.h"
#include "gateway/peers.h"
#include "gateway/server-connection.h"
#include "gateway/stores.h"

namespace lycheeplank::gateway {

namespace {

// Interval of periodic maintenance.
constexpr absl::Duration kSweepInterval = absl::Milliseconds(250);
// Interval of attempts to start waiting requests. Runs end every few
// milliseconds on busy targets, but each attempt costs processor time.
constexpr absl::Duration kWaitingInterval = absl::Milliseconds(25);
// Interval of the log line about the host's resource usage.
constexpr absl::Duration kUsageInterval = absl::Seconds(10);
// Callers keep an address list up to this many times its lifetime.
constexpr int kMaxListLifetimes = 3;
// Part of the grace time that is reserved for the exit of the process.
constexpr absl::Duration kExitMargin = absl::Milliseconds(450);
// Connections that the other servers of the process may have when callers have
// all that they may have; a part of the reserved descriptors.
constexpr std::uint64_t kExtraConnections = 100;
// Size from which the allocator returns freed memory to the system at once.
// Its own threshold rises to the size of the largest freed body, and then
// freed bodies stay in a fragmented heap.
constexpr int kDirectAllocationBytes = 128 << 10;
// Time after the last answer in which callers can close their connections.
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
    , guard_(host_)
    , reload_(std::move(aReload))
    , sweepTimer_(aLoop)
    , waitingTimer_(aLoop)
    , endTimer_(aLoop)
    , signals_(aLoop, SIGTERM, SIGINT, SIGHUP)
    , registration_(std::make_shared<HostRegistration>(host_))
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
    Listen(
      settings.callerAddress_,
      [this](const auto& aCaller) {
        std::make_shared<Exchange>(host_, aCaller)->Start();
      },
      0);
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
      host_.onLoad_ = [this] { gossip_->ScheduleSend(); };
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
    host_.onStoreRecovered_ = [this](absl::Time aBackAt) {
      for (const auto& follower : followers_) {
        follower->RetryStaleCall(aBackAt);
      }
    };
    host_.onNewEra_ = [this] { OnEra(); };
    host_.onFeed_ = [this] { peerServer_.OnNewRows(); };
    host_.onRole_ = [this] { OnRole(); };
    host_.onWeights_ = [this] { LimitBegins(host_); };
    peerFollower_->Start();
    auto prefixes = host_.adapter_.prefixes_();
    for (auto& prefix : prefixes) {
      followers_.push_back(
        std::make_shared<Follower>(host_, std::move(prefix)));
      followers_.back()->Start();
    }
    WaitSignal();
    ScheduleSweep();
    ScheduleWaiting();
  }

private:
  void Listen(const std::string& aAddress,
              Server::Handler aHandler,
              std::uint64_t aExtraConnections = kExtraConnections)
  {
    servers_.push_back(std::make_unique<Server>(
      loop_,
      ParseEndpoint(aAddress),
      [this] {
        return host_.catalog_ ? host_.catalog_->limits_
                              : catalog::RequestLimits();
      },
      std::move(aHandler),
      &guard_,
      aExtraConnections));
  }

  void OnRole()
  {
    if (host_.role_ != Role::Relayed) {
      for (const auto& follower : followers_) {
        follower->Resume();
      }
    }
    storeFollowers_.Update();
  }

  void OnEra()
  {
    owner_->OnNewEra();
    registration_->Reregister();
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
    if (!isAnnounced_ && CanServe(host_) && !host_.stopping_) {
      isAnnounced_ = true;
      host_.log_.Write(Line("serving"));
      registration_->Start();
      owner_->Start();
    }
  }

  // Polls, because requests of other hosts free memory at targets as well.
  void ScheduleWaiting()
  {
    waitingTimer_.Set(kWaitingInterval, [this] {
      RecordIteration(host_.stallDetector_, Now());
      StartWaitingRequests(host_);
      guard_.Update(Now());
      ScheduleWaiting();
    });
  }

  void ScheduleSweep()
  {
    sweepTimer_.Set(kSweepInterval, [this] {
      const auto now = Now();
      Sweep(host_);
      for (const auto& server : servers_) {
        server->CheckTimeouts(now);
      }
      guard_.Report(now);
      UpdateGauges();
      LogUsage(now);
      ScheduleSweep();
    });
  }

  // Logs the host's cumulative resource usage for operators.
  void LogUsage(absl::Time aNow)
  {
    if (aNow - usageLoggedAt_ < kUsageInterval) {
      return;
    }
    usageLoggedAt_ = aNow;
    Line line("usage");
    for (const auto& [operation, name] : kStoreOperations) {
      line.Number(absl::StrCat("store_", name),
                  host_.store_.calls_.at(static_cast<std::size_t>(operation)));
    }
    line.Number("connections_opened", host_.targetPool_.Opened())
      .Number("calls_opened", host_.callPool_.Opened())
      .Text("role", core::NameOf(kRoles, host_.role_));
    host_.log_.Write(line);
  }

  void UpdateGauges()
  {
    auto& metrics = host_.metrics_;
    metrics.Set("requests_open",
                static_cast<double>(host_.openRequests_.size()));
    metrics.Set("targets", static_cast<double>(host_.members_.size()));
    metrics.Set("unused_entries",
                static_cast<double>(host_.unusedEntries_.size()));
    metrics.Set("evacuated_data_centres",
                static_cast<double>(host_.evacuations_.size()));
    metrics.Set("targets_cold",
                static_cast<double>(std::count_if(
                  host_.members_.begin(),
                  host_.members_.end(),
                  [](const auto& aEntry) { return aEntry.second.isCold_; })));
    metrics.Set("hosts", static_cast<double>(host_.hosts_.size()));
    metrics.Set("connections_opened",
                static_cast<double>(host_.targetPool_.Opened()));
    metrics.Set("endless_answers",
                static_cast<double>(host_.callPool_.Oversized()));
    metrics.Set("held_answer_bytes", static_cast<double>(host_.bufferedBytes_));
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
          ReloadSettings();
        } else {
          Stop(aSignal);
        }
        WaitSignal();
      });
  }

  void ReloadSettings()
  {
    auto settings = reload_();
    host_.log_.Write(
      Line("settings_reloaded").Flag("readable", settings.has_value()));
    if (!settings) {
      return;
    }
    // Changed addresses take effect at the next start.
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
                       .Number("requests_open", host_.openRequests_.size()));
    owner_->Resign();
    registration_->MarkLeaving();
    BroadcastHostLeaving(host_);
    for (const auto& server : servers_) {
      server->CloseAfterAnswers();
    }
    CheckEnd();
  }

  bool IsGraceOver() const
  {
    return Now() - host_.stoppedAt_ > host_.settings_.graceTime_ - kExitMargin;
  }

  bool HasUnsentAnswers() const
  {
    return std::any_of(servers_.begin(), servers_.end(), [](const auto& aOne) {
      return aOne->HasUnsent();
    });
  }

  // Returns whether a request has no final answer, or a caller not all of it.
  bool IsAnswering() const
  {
    return !host_.openRequests_.empty() || HasUnsentAnswers();
  }

  // Ends the process when no caller can hold an address list with this host any
  // more and all requests are answered, including late ones, or when the grace
  // time is nearly over. Each request gets a final answer before.
  void CheckEnd()
  {
    RefuseLateRequests(host_);
    const bool over = IsGraceOver();
    if (over) {
      EndRequests(host_);
    }
    const bool forgotten =
      Now() - host_.stoppedAt_ >
      kMaxListLifetimes * host_.settings_.listLife_ + kLastAnswerTime;
    const bool mayEnd = over || (forgotten && !IsAnswering());
    if (mayEnd && !std::exchange(isWithdrawn_, true)) {
      registration_->Unregister();
    }
    endTimer_.Set(kLastAnswerTime, [this, over, mayEnd] {
      if (over || (mayEnd && !IsAnswering())) {
        End();
      } else {
        CheckEnd();
      }
    });
  }

  void End()
  {
    host_.log_.Write(Line("stopped")
                       .Number("requests_open", host_.openRequests_.size())
                       .Flag("answers_unsent", HasUnsentAnswers())
                       .Age("after_ms", Now() - host_.stoppedAt_));
    loop_.stop();
  }

  Loop& loop_;
  Host host_;
  CallerGuard guard_;
  Reload reload_;
  Timer sweepTimer_;
  Timer waitingTimer_;
  Timer endTimer_;
  boost::asio::signal_set signals_;
  std::shared_ptr<HostRegistration> registration_;
  std::shared_ptr<Owner> owner_;
  PeerServer peerServer_;
  std::shared_ptr<PeerFollower> peerFollower_;
  StoreFollowers storeFollowers_;
  std::unique_ptr<Gossip> gossip_;
  std::vector<std::shared_ptr<Follower>> followers_;
  std::vector<std::unique_ptr<Server>> servers_;
  absl::Time usageLoggedAt_ = Now();
  bool isAnnounced_ = false;
  // The host's entry has been deleted from the key-value service.
  bool isWithdrawn_ = false;
};

} // namespace

int
Run(const Settings& aSettings, const Adapter& aAdapter, const Reload& aReload)
{
  std::signal(SIGPIPE, SIG_IGN);
  (void)mallopt(M_MMAP_THRESHOLD, kDirectAllocationBytes);
  // One thread runs the loop.
  Loop loop(1);
  App app(loop, aSettings, aAdapter, aReload);
  app.Start();
  loop.run();
  // Skips destructors: the operating system closes what is open, and no state
  // needs to be saved.
  std::_Exit(0);
}

} // namespace lycheeplank::gateway
