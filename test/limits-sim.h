#ifndef LYCHEEPLANK_TEST_LIMITS_SIM_H
#define LYCHEEPLANK_TEST_LIMITS_SIM_H

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>

#include "lycheeplank/target_limits.h"

// Simulates hosts that keep the limits of targets, in virtual time, with lost
// and delayed messages, freezes, restarts and hosts that leave.
namespace lycheeplank::test {

namespace limits = target_limits;

class LimitsSim
{
public:
  struct Options
  {
    std::size_t hosts_ = 8;
    std::size_t targets_ = 1;
    double requestsPerSecond_ = 100.0;
    double lostShare_ = 0.0;
    std::uint64_t seed_ = 1;
    // Requests prefer cold targets to others, as empty ones are preferred, and
    // go to another target if they are denied a permit. Otherwise each request
    // has one target.
    bool prefersCold_ = false;
  };
  struct Arrival
  {
    absl::Time at_;
    std::size_t host_ = 0;
  };
  struct Target
  {
    // No value while the target names no limit.
    absl::optional<double> perSecond_;
    std::vector<Arrival> arrivals_;
  };

  explicit LimitsSim(const Options& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
    , targets_(aOptions.targets_)
    , hosts_(aOptions.hosts_)
  {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      list_[NameOf(i)] = { { NameOf(i), DataCentreOf(i), "", "", 1.0, false } };
      Start(i);
      ScheduleTick(i);
    }
    ScheduleRequest();
  }

  absl::Time Now() const { return now_; }
  Target& TargetAt(std::size_t aTarget) { return targets_.at(aTarget); }
  std::size_t Refused() const { return refused_; }

  // Runs an action at a time.
  void At(absl::Time aTime, std::function<void()> aAction)
  {
    events_.emplace(std::max(aTime, now_), std::move(aAction));
  }

  void RunUntil(absl::Time aEnd)
  {
    while (!events_.empty() && events_.begin()->first <= aEnd) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = aEnd;
  }

  // Returns the host that issues the permits of a target.
  std::size_t Issuer(std::size_t aTarget) const
  {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const auto found = hosts_[i].state_.records_.find(IdOf(aTarget));
      if (found != hosts_[i].state_.records_.end() && found->second.issues_) {
        return i;
      }
    }
    return 0;
  }

  void Freeze(std::size_t aHost, absl::Duration aTime)
  {
    hosts_[aHost].frozenUntil_ = now_ + aTime;
    Disturb(aHost, now_ + aTime);
  }

  // Lets a target crash. The hosts find out within 0.3 s, and again when they
  // try it later; each time they take it for cold for aColdFor.
  void Crash(std::size_t aTarget, double aPerSecond, absl::Duration aColdFor)
  {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      for (const double after : { 0.0, 1.5 }) {
        At(now_ + Between(after, after + 0.3),
           [this, host, aTarget, aPerSecond, aColdFor] {
             RunOn(host, [this, host, aTarget, aPerSecond, aColdFor] {
               hosts_[host].down_.insert(aTarget);
               NoteCold(host, aTarget, aPerSecond, aColdFor);
             });
           });
      }
    }
  }

  // Lets a target return under the same id, cold for aColdFor. The hosts use
  // its old entry again at some time within two seconds, and hear of its new
  // one within 2.5 s.
  void Return(std::size_t aTarget, double aPerSecond, absl::Duration aColdFor)
  {
    const auto born = ++born_;
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      At(now_ + Between(0.0, 2.0),
         [this, host, aTarget] { hosts_[host].down_.erase(aTarget); });
      const auto heardAfter = Between(0.0, 2.5);
      At(now_ + heardAfter,
         [this, host, aTarget, aPerSecond, born, left = aColdFor - heardAfter] {
           RunOn(host, [this, host, aTarget, aPerSecond, born, left] {
             auto& to = hosts_[host];
             to.down_.erase(aTarget);
             auto target = to.members_.at(IdOf(aTarget)).target_;
             target.bornMs_ = born;
             fleet::UpdateTarget(to.members_,
                                 target,
                                 { 0, static_cast<std::uint64_t>(1 + born) },
                                 now_);
             limits::Apply(to.state_, to.members_.at(target.id_));
             NoteCold(host, aTarget, aPerSecond, left);
           });
         });
    }
  }

  // Number of asks that hosts have sent to others.
  std::size_t Asks() const { return asks_; }

  // Restarts a host; it loses its state.
  void Restart(std::size_t aHost)
  {
    Start(aHost);
    Disturb(aHost, now_);
  }

  void SetLeaving(std::size_t aHost, bool aIsLeaving)
  {
    list_[NameOf(aHost)].entry_.leaving_ = aIsLeaving;
    Disturb(aHost, now_);
  }

  // Returns whether a host was frozen or restarted within aTime before aAt.
  bool IsDisturbed(std::size_t aHost,
                   absl::Time aAt,
                   absl::Duration aTime) const
  {
    return std::any_of(
      disturbances_.begin(), disturbances_.end(), [&](const auto& aEntry) {
        return aEntry.host_ == aHost && aEntry.begin_ <= aAt &&
               aAt <= aEntry.end_ + aTime;
      });
  }

private:
  struct Ask
  {
    std::size_t target_ = 0;
    absl::Time at_;
    bool isLastChoice_ = false;
    // Targets that have denied the request a permit.
    std::set<std::size_t> denied_;
  };
  struct SimHost
  {
    limits::State state_;
    fleet::Members members_;
    std::map<std::uint64_t, Ask> asks_;
    // Targets that the host takes for crashed.
    std::set<std::size_t> down_;
    absl::Time frozenUntil_ = absl::InfinitePast();
    std::uint64_t start_ = 0;
  };
  struct Disturbance
  {
    std::size_t host_ = 0;
    absl::Time begin_;
    absl::Time end_;
  };

  static std::string NameOf(std::size_t aHost)
  {
    return absl::StrCat("h", aHost);
  }
  static std::string DataCentreOf(std::size_t aHost)
  {
    return absl::StrCat("dc", aHost % 4);
  }
  static std::string IdOf(std::size_t aTarget)
  {
    return absl::StrCat("t", aTarget);
  }

  void Disturb(std::size_t aHost, absl::Time aEnd)
  {
    disturbances_.push_back({ aHost, now_, aEnd });
  }

  absl::Duration Delay()
  {
    return absl::Milliseconds(
      std::uniform_real_distribution<>(1.0, 6.0)(random_));
  }

  absl::Duration Between(double aLeast, double aMost)
  {
    return absl::Seconds(
      std::uniform_real_distribution<>(aLeast, aMost)(random_));
  }

  void NoteCold(std::size_t aHost,
                std::size_t aTarget,
                double aPerSecond,
                absl::Duration aFor)
  {
    auto& host = hosts_[aHost];
    limits::NoteCold(host.state_,
                     host.members_.at(IdOf(aTarget)),
                     aPerSecond,
                     now_ + aFor,
                     now_);
    Tick(aHost);
  }

  // Sends a request to a cold target if one grants it a permit, else to another
  // one.
  void RequestAny(std::size_t aHost, const std::set<std::size_t>& aDenied)
  {
    const auto& host = hosts_[aHost];
    std::vector<std::size_t> cold;
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const auto& member = host.members_.at(IdOf(i));
      if (host.down_.count(i) == 0 && aDenied.count(i) == 0 &&
          now_ >= member.noPermitUntil_) {
        (member.isCold_ ? cold : others).push_back(i);
      }
    }
    if (!cold.empty() && aDenied.size() < kMaxColdAsks) {
      Request(aHost, cold[random_() % cold.size()], aDenied);
    } else if (!others.empty()) {
      Request(aHost, others[random_() % others.size()], aDenied);
    } else {
      ++refused_;
    }
  }

  void Start(std::size_t aHost)
  {
    auto& host = hosts_[aHost];
    host.state_ = limits::State();
    host.state_.self_ = NameOf(aHost);
    host.asks_.clear();
    host.members_.clear();
    ++host.start_;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      fleet::Target target;
      target.id_ = IdOf(i);
      target.dataCentre_ = absl::StrCat("dc", i % 4);
      fleet::UpdateTarget(host.members_, target, { 0, 1 }, now_);
    }
  }

  // Runs an action of a host; a frozen host runs it after the freeze.
  void RunOn(std::size_t aHost, std::function<void()> aAction)
  {
    if (now_ < hosts_[aHost].frozenUntil_) {
      At(hosts_[aHost].frozenUntil_,
         [this, aHost, aAction] { RunOn(aHost, aAction); });
      return;
    }
    aAction();
  }

  void ScheduleTick(std::size_t aHost)
  {
    At(now_ + limits::kTickPeriod, [this, aHost] {
      RunOn(aHost, [this, aHost] {
        Tick(aHost);
        ScheduleTick(aHost);
      });
    });
  }

  void ScheduleRequest()
  {
    const auto pause =
      std::exponential_distribution<>(options_.requestsPerSecond_)(random_);
    At(now_ + absl::Seconds(pause), [this] {
      const std::size_t host = random_() % hosts_.size();
      const std::size_t target = random_() % targets_.size();
      if (now_ >= hosts_[host].frozenUntil_) {
        if (options_.prefersCold_) {
          RequestAny(host, {});
        } else {
          Request(host, target, {});
        }
      }
      ScheduleRequest();
    });
  }

  void Post(std::size_t aFrom, const std::string& aTo, limits::Message aMessage)
  {
    if (std::uniform_real_distribution<>()(random_) < options_.lostShare_) {
      return;
    }
    aMessage.sender_ = NameOf(aFrom);
    aMessage.dataCentre_ = DataCentreOf(aFrom);
    const auto to = static_cast<std::size_t>(std::stoul(aTo.substr(1)));
    At(now_ + Delay(), [this, to, aMessage] {
      RunOn(to, [this, to, aMessage] { Receive(to, aMessage); });
    });
  }

  void Broadcast(std::size_t aFrom, const limits::Message& aMessage)
  {
    for (const auto& [name, host] : list_) {
      if (name != NameOf(aFrom)) {
        Post(aFrom, name, aMessage);
      }
    }
  }

  void Tick(std::size_t aHost)
  {
    auto& host = hosts_[aHost];
    limits::Message message;
    message.kind_ = limits::MessageKind::Announcement;
    for (const auto& target :
         limits::Tick(host.state_, list_, host.members_, now_)) {
      message.limits_.push_back(
        *limits::StatementOf(host.state_, target, now_));
    }
    if (!message.limits_.empty()) {
      Broadcast(aHost, message);
    }
  }

  void Request(std::size_t aHost,
               std::size_t aTarget,
               const std::set<std::size_t>& aDenied)
  {
    auto& host = hosts_[aHost];
    const auto id = IdOf(aTarget);
    const auto& member = host.members_.at(id);
    if (!member.requestsPerSecond_) {
      Send(aHost, aTarget);
      return;
    }
    if (now_ < member.noPermitUntil_) {
      ++refused_;
      return;
    }
    const auto issuer = limits::IssuerOf(host.state_, list_, id, now_);
    if (issuer == NameOf(aHost)) {
      Decide(aHost,
             { aTarget, now_, IsLast(), aDenied },
             limits::Issue(host.state_, id, IsLast(), now_));
      return;
    }
    limits::Message message;
    message.kind_ = limits::MessageKind::Ask;
    message.ask_ = random_();
    message.isLastChoice_ = IsLast();
    message.limits_.push_back(limits::AskOf(host.state_, member, now_));
    host.asks_[message.ask_] = { aTarget, now_, IsLast(), aDenied };
    ++asks_;
    Post(aHost, issuer, message);
    At(now_ + kAskTimeout, [this, aHost, ask = message.ask_] {
      RunOn(aHost, [this, aHost, ask] {
        if (const auto node = hosts_[aHost].asks_.extract(ask)) {
          Decide(aHost, node.mapped(), kUnanswered);
        }
      });
    });
  }

  // A request that may go to other targets is not refused.
  bool IsLast() const { return !options_.prefersCold_; }

  void Decide(std::size_t aHost, const Ask& aAsk, const limits::Permit& aPermit)
  {
    hosts_[aHost].members_.at(IdOf(aAsk.target_)).noPermitUntil_ =
      now_ + aPermit.nextPermit_;
    if (limits::MaySend(aPermit)) {
      Send(aHost, aAsk.target_);
    } else if (options_.prefersCold_) {
      auto denied = aAsk.denied_;
      denied.insert(aAsk.target_);
      RequestAny(aHost, denied);
    } else {
      ++refused_;
    }
  }

  void Send(std::size_t aHost, std::size_t aTarget)
  {
    const auto sentAt = now_;
    At(now_ + Delay(), [this, aHost, aTarget, sentAt] {
      auto& target = targets_[aTarget];
      target.arrivals_.push_back({ now_, aHost });
      At(now_ + absl::Milliseconds(20),
         [this,
          aHost,
          aTarget,
          sentAt,
          start = hosts_[aHost].start_,
          named = target.perSecond_] {
           RunOn(aHost, [this, aHost, aTarget, sentAt, start, named] {
             if (hosts_[aHost].start_ == start) {
               Answer(aHost, aTarget, named, sentAt);
             }
           });
         });
    });
  }

  void Answer(std::size_t aHost,
              std::size_t aTarget,
              absl::optional<double> aNamed,
              absl::Time aSentAt)
  {
    auto& host = hosts_[aHost];
    const auto id = IdOf(aTarget);
    const auto change = limits::Note(
      host.state_, host.members_.at(id), aNamed, aNamed ? now_ : aSentAt, now_);
    if (change == limits::Change::None) {
      return;
    }
    Tick(aHost);
    limits::Message message;
    message.limits_.push_back(*limits::StatementOf(host.state_, id, now_));
    if (change != limits::Change::Changed) {
      Broadcast(aHost, message);
    } else if (const auto issuer =
                 limits::IssuerOf(host.state_, list_, id, now_);
               issuer != NameOf(aHost)) {
      Post(aHost, issuer, message);
    }
  }

  void Receive(std::size_t aHost, const limits::Message& aMessage)
  {
    auto& host = hosts_[aHost];
    for (const auto& statement : aMessage.limits_) {
      limits::Note(host.state_,
                   host.members_.at(statement.target_),
                   statement.perSecond_,
                   now_ - statement.age_,
                   now_);
    }
    if (aMessage.kind_ == limits::MessageKind::Announcement) {
      for (const auto& statement : aMessage.limits_) {
        limits::NoteIssuer(host.state_,
                           list_,
                           statement.target_,
                           aMessage.sender_,
                           aMessage.dataCentre_,
                           now_);
      }
    }
    if (aMessage.kind_ == limits::MessageKind::Reply) {
      if (const auto node = host.asks_.extract(aMessage.ask_)) {
        const bool late = now_ - node.mapped().at_ > kAskTimeout;
        Decide(aHost, node.mapped(), late ? kUnanswered : aMessage.permit_);
      }
      return;
    }
    Tick(aHost);
    if (aMessage.kind_ == limits::MessageKind::Ask) {
      limits::Message reply;
      reply.kind_ = limits::MessageKind::Reply;
      reply.ask_ = aMessage.ask_;
      reply.permit_ = limits::IssueFor(host.state_,
                                       host.members_,
                                       aMessage.limits_.front(),
                                       aMessage.isLastChoice_,
                                       now_);
      Post(aHost, aMessage.sender_, reply);
    }
  }

  static constexpr absl::Duration kAskTimeout = absl::Milliseconds(80);
  static constexpr limits::Permit kUnanswered{ limits::Verdict::NoIssuer,
                                               limits::kNoIssuerPause,
                                               limits::kNoIssuerPause };
  // As in the gateway.
  static constexpr std::size_t kMaxColdAsks = 3;

  Options options_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::multimap<absl::Time, std::function<void()>> events_;
  std::vector<Target> targets_;
  std::vector<SimHost> hosts_;
  entry_hosts::Hosts list_;
  std::vector<Disturbance> disturbances_;
  std::size_t refused_ = 0;
  std::size_t asks_ = 0;
  std::int64_t born_ = 0;
};

} // namespace lycheeplank::test

#endif
