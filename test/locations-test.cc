#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <catch2/catch.hpp>

#include "lycheeplank/reducer.h"
#include "peer/convert.h"

namespace config = lycheeplank::config;
namespace core = lycheeplank::core;
namespace directory = lycheeplank::directory;
namespace peer = lycheeplank::peer;
namespace placement = lycheeplank::placement;
namespace reducer = lycheeplank::reducer;

// Simulates one entry host of a system of the designed size under a virtual
// clock. Measures how often it finds the holders of returning prompts, and the
// messages and bytes that this costs.

namespace {

constexpr std::size_t kHosts = 350;
constexpr std::size_t kTargets = 1200;
constexpr std::size_t kModels = 3;
constexpr std::size_t kDataCentres = 9;
constexpr std::size_t kBlocks = 20;
constexpr double kRequestsPerSecond = 5.1;
constexpr absl::Duration kTrialDuration = absl::Minutes(5);
constexpr absl::Duration kRunDuration = absl::Seconds(2);
constexpr absl::Duration kReplyDelay = absl::Milliseconds(1);
// Bytes of one load request and its answer on the loopback interface.
constexpr std::uint64_t kLoadRequestBytes = 311;

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

std::string
TargetName(std::size_t aIndex)
{
  return absl::StrCat("e", aIndex);
}

std::string
ModelName(std::size_t aIndex)
{
  return absl::StrCat("m", aIndex % kModels);
}

// Returns the model of a target; each data centre has targets of each model.
std::string
ModelOf(std::size_t aTarget)
{
  return ModelName(aTarget / kDataCentres);
}

std::string
DataCentreName(std::size_t aIndex)
{
  return absl::StrCat("d", aIndex % kDataCentres);
}

std::string
MakeDocument()
{
  std::string text = "workspaces:\n  owner: desk\n  entries:\n"
                     "    nursing: {max_running: 100000, max_waiting: 100000, "
                     "requests_per_second: 1000000}\n"
                     "models:\n  owner: models\n  entries:\n";
  for (std::size_t i = 0; i < kModels; ++i) {
    absl::StrAppend(&text,
                    "    ",
                    ModelName(i),
                    ": {versions: {v1: 1.0}, block_tokens: 2000}\n");
  }
  absl::StrAppend(
    &text,
    "    rare: {versions: {v1: 1.0}, block_tokens: 2000}\n"
    "services:\n  owner: services\n  entries:\n"
    "    registry: {calls: {check: {repeatable: true, timeout: "
    "5s}}}\n"
    "rules:\n  owner: desk\n  entries:\n"
    "    all: {workspaces: [\"*\"], models: [\"*\"], services: [\"*\"]}\n"
    "targets:\n  owner: machines\n  entries:\n");
  for (std::size_t i = 0; i < kTargets; ++i) {
    absl::StrAppend(&text,
                    "    ",
                    TargetName(i),
                    ": {kind: engine, url: \"http://10.0.",
                    i / 250,
                    ".",
                    i % 250,
                    ":1\", data_centre: ",
                    DataCentreName(i),
                    ", serves: ",
                    ModelOf(i),
                    "}\n");
  }
  // Two targets that are the only ones of their model or service, so that these
  // exist in one data centre only.
  absl::StrAppend(&text,
                  "    rare1: {kind: engine, url: \"http://10.1.0.1:1\", "
                  "data_centre: d0, serves: rare}\n"
                  "    desk1: {kind: service, url: \"http://10.1.0.2:1\", "
                  "data_centre: d0, serves: registry}\n");
  return text;
}

config::ConfigPtr
MakeConfig()
{
  const auto document = config::Split(MakeDocument());
  auto checked = config::Check(document.sections_);
  REQUIRE(checked.problems_.empty());
  checked.config_.revision_ = 1;
  return std::make_shared<const config::Config>(std::move(checked.config_));
}

// Counts of what one host sent and decided.
struct Figures
{
  std::uint32_t runs_ = 0;
  std::uint32_t refused_ = 0;
  std::map<std::string, std::uint32_t> dispatches_;
  // Runs on the engine that holds all blocks of the prompt.
  std::uint32_t atHolder_ = 0;
  // Those of them on engines that the host follows.
  std::uint32_t atFollowed_ = 0;
  std::uint32_t followedLoadRequests_ = 0;
  std::uint32_t holderLoadRequests_ = 0;
  // Maximum number of load requests within one second.
  std::uint32_t maxLoadRequestsInSecond_ = 0;
  std::uint32_t locates_ = 0;
  std::uint64_t locateBytes_ = 0;
  // Messages to homes about the results of runs.
  std::uint32_t runReports_ = 0;
  std::uint64_t runReportBytes_ = 0;
  // Messages to homes about cache events of engines.
  std::uint32_t events_ = 0;
  std::uint64_t eventBytes_ = 0;
};

// The parameters of a trial.
struct Trial
{
  // One of this many requests has a new prompt; 0 for none.
  std::uint32_t newPromptInterval_ = 0;
  // Holders don't answer load requests.
  bool unresponsive_ = false;
  // The host is no longer in the lists of hosts and serves its last requests.
  bool draining_ = false;
  bool leaving_ = false;
  std::string version_ = "v1";
};

// An entry host whose homes, targets and callers the test simulates.
class Host
{
public:
  explicit Host(Trial aTrial = {})
    : trial_(std::move(aTrial))
  {
    state_.self_ = { "h7", DataCentreName(7) };
    std::vector<std::string> names;
    for (std::size_t i = 0; i < kHosts; ++i) {
      names.push_back(absl::StrCat("h", i));
      if (!trial_.draining_ || names.back() != state_.self_.name_) {
        state_.liveHosts_.push_back({ names.back(), DataCentreName(i) });
      }
    }
    state_.homeHosts_ = directory::MakeHostSet(std::move(names));
    Send(reducer::ConfigInForce{ MakeConfig() });
    for (const auto& [name, target] : state_.config_->targets_) {
      if (placement::IsFollower(
            name,
            target.dataCentre_,
            state_.self_.name_,
            placement::IncludeSelf(state_.liveHosts_, state_.self_),
            state_.config_->targets_.size())) {
        followed_.push_back(name);
      }
    }
    REQUIRE_FALSE(followed_.empty());
  }

  // Simulates the arrival of a request for a model or service whose prompt no
  // target holds.
  void ArriveNew(const std::string& aServes, reducer::RequestKind aKind)
  {
    reducer::NewRequest request;
    request.id_ = ++lastId_;
    request.publicId_ = absl::StrCat("r", request.id_);
    request.workspace_ = "nursing";
    request.kind_ = aKind;
    request.modelOrService_ = aServes;
    request.promptTokens_ = 2000;
    request.maxTokens_ = 100;
    if (aKind == reducer::RequestKind::Completion) {
      request.blockHashes_ = { { 1, 2 } };
    }
    request.deadline_ = now_ + absl::Seconds(30);
    holderOf_[request.id_] = "";
    Send(reducer::RequestArrived{ request });
  }

  // Simulates returning prompts for the given time.
  void Run(absl::Duration aTime)
  {
    const absl::Time end = now_ + aTime;
    std::exponential_distribution<double> gap(kRequestsPerSecond);
    PollFollowed();
    Schedule(absl::Seconds(gap(random_)),
             [this, &gap] { ArriveReturning(gap); });
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto next = events_.begin();
      now_ = next->first;
      const auto action = std::move(next->second);
      events_.erase(next);
      action();
    }
    now_ = end;
  }

  // Returns whether the host polls the target's load continuously.
  bool Follows(const std::string& aTarget) const
  {
    return std::find(followed_.begin(), followed_.end(), aTarget) !=
           followed_.end();
  }

  std::size_t CountFollowed() const
  {
    return static_cast<std::size_t>(std::count_if(
      state_.targets_.begin(), state_.targets_.end(), [](const auto& aTarget) {
        return aTarget.second.followed_;
      }));
  }

  Figures figures_;

private:
  void Schedule(absl::Duration aDelay, std::function<void()> aAction)
  {
    events_.emplace(now_ + aDelay, std::move(aAction));
  }

  void CountLoadRequest()
  {
    loadRequestTimes_.push_back(now_);
    while (loadRequestTimes_.front() <= now_ - absl::Seconds(1)) {
      loadRequestTimes_.erase(loadRequestTimes_.begin());
    }
    figures_.maxLoadRequestsInSecond_ =
      std::max(figures_.maxLoadRequestsInSecond_,
               static_cast<std::uint32_t>(loadRequestTimes_.size()));
  }

  void Report(const std::string& aTarget,
              bool aLeaving = false,
              const std::string& aVersion = "v1")
  {
    reducer::TargetReported report;
    report.target_ = aTarget;
    report.reached_ = true;
    report.leaving_ = aLeaving;
    report.weightVersion_ = aVersion;
    Send(report);
  }

  // Polls one followed target after the other, as the poller does.
  void PollFollowed()
  {
    const std::string target = followed_[polled_++ % followed_.size()];
    ++figures_.followedLoadRequests_;
    CountLoadRequest();
    Report(target);
    Schedule(PollInterval(), [this] { PollFollowed(); });
  }

  absl::Duration PollInterval() const
  {
    return absl::Seconds(1.0 / placement::FollowedLoadRequestsPerSecond(
                                 followed_.size(), kTargets));
  }

  void ArriveReturning(std::exponential_distribution<double>& aGap)
  {
    reducer::NewRequest request;
    request.id_ = ++lastId_;
    request.publicId_ = absl::StrCat("r", request.id_);
    request.workspace_ = "nursing";
    const std::size_t holder = random_() % kTargets;
    request.modelOrService_ = ModelOf(holder);
    request.promptTokens_ = kBlocks * 2000;
    request.maxTokens_ = 100;
    for (std::size_t i = 0; i < kBlocks; ++i) {
      request.blockHashes_.push_back({ random_(), random_() });
    }
    request.deadline_ = now_ + absl::Seconds(30);
    const bool isNew =
      trial_.newPromptInterval_ > 0 && lastId_ % trial_.newPromptInterval_ == 0;
    holderOf_[request.id_] = isNew ? "" : TargetName(holder);
    Send(reducer::RequestArrived{ request });
    Schedule(absl::Seconds(aGap(random_)),
             [this, &aGap] { ArriveReturning(aGap); });
  }

  void Send(const reducer::Event& aEvent)
  {
    for (const auto& effect :
         reducer::Step(state_, { now_, random_() }, aEvent)) {
      absl::visit([this](const auto& aEffect) { Perform(aEffect); }, effect);
    }
  }

  template<typename Other>
  void Perform(const Other&)
  {
  }

  void Perform(const reducer::Refuse&) { ++figures_.refused_; }

  void Perform(const reducer::QueryHomes& aEffect)
  {
    ++figures_.locates_;
    figures_.locateBytes_ += peer::LocateToWire(aEffect.chain_).ByteSizeLong();
    reducer::HoldersLocated located{ aEffect.id_, aEffect.attempt_, {} };
    const std::string& holder = holderOf_.at(aEffect.id_);
    if (!holder.empty()) {
      located.holders_.push_back({ { holder, directory::HolderKind::Engine },
                                   static_cast<std::uint32_t>(kBlocks) });
    }
    figures_.locateBytes_ += peer::ToWire(located.holders_).ByteSizeLong();
    Schedule(kReplyDelay, [this, located] { Send(located); });
  }

  void Perform(const reducer::QueryLoads& aEffect)
  {
    for (const auto& target : aEffect.targets_) {
      ++figures_.holderLoadRequests_;
      CountLoadRequest();
      if (!trial_.unresponsive_) {
        Schedule(kReplyDelay, [this, target] {
          Report(target, trial_.leaving_, trial_.version_);
        });
      }
    }
    const reducer::LoadsCollected heard{ aEffect.id_, aEffect.attempt_ };
    Schedule(kReplyDelay, [this, heard] { Send(heard); });
  }

  void Perform(const reducer::ReportBlocksToHome& aEffect)
  {
    const std::uint64_t bytes =
      peer::ToWire(aEffect.holder_, aEffect.sightings_, aEffect.inventory_)
        .ByteSizeLong();
    (inCacheReport_ ? figures_.events_ : figures_.runReports_) += 1;
    (inCacheReport_ ? figures_.eventBytes_ : figures_.runReportBytes_) += bytes;
  }

  void Perform(const reducer::Dispatch& aEffect)
  {
    const std::string holder = holderOf_.at(aEffect.id_);
    if (holder.empty()) {
      ReportCacheChanges(aEffect.target_, aEffect.id_);
    }
    ++figures_.dispatches_[aEffect.target_];
    const bool atHolder = holder == aEffect.target_;
    figures_.runs_ += holder.empty() ? 0 : 1;
    figures_.atHolder_ += atHolder ? 1 : 0;
    figures_.atFollowed_ += atHolder && Follows(holder) ? 1 : 0;
    reducer::AttemptStarted started{ aEffect.id_,
                                     aEffect.attempt_,
                                     aEffect.weightVersion_,
                                     atHolder
                                       ? static_cast<std::uint32_t>(kBlocks)
                                       : 0 };
    Schedule(kReplyDelay, [this, started] { Send(started); });
    reducer::AttemptEnded ended{ aEffect.id_,
                                 aEffect.attempt_,
                                 reducer::AttemptResult::Completed };
    Schedule(kRunDuration, [this, ended] { Send(ended); });
  }

  // Simulates the cache events of an engine after a new prompt has replaced an
  // old one in its cache. Two hosts read these events. Spread evenly over all
  // hosts, this amounts to a host that reads the events of its own runs twice.
  void ReportCacheChanges(const std::string& aTarget, reducer::RequestId aId)
  {
    const auto& chain = state_.requests_.at(aId).chain_;
    if (chain.size() != kBlocks) {
      return;
    }
    reducer::CacheReported report;
    report.target_ = aTarget;
    directory::EventCursor& cursor = state_.targets_.at(aTarget).cursor_;
    cursor.needsInventory_ = false;
    const core::BlockKey root{ random_(), random_() };
    for (std::size_t i = 0; i < kBlocks; ++i) {
      const core::BlockKey freed{ random_(), random_() };
      report.sightings_.push_back({ i == 0 ? root : freed, root, false });
    }
    for (const auto& block : chain) {
      report.sightings_.push_back({ block, chain[0], true });
    }
    report.lastSequence_ = cursor.lastSeq_;
    Schedule(kRunDuration, [this, report] {
      inCacheReport_ = true;
      Send(report);
      Send(report);
      inCacheReport_ = false;
    });
  }

  const Trial trial_;
  reducer::State state_;
  absl::Time now_ = kStart;
  std::mt19937_64 random_{ 1 };
  std::vector<std::string> followed_;
  std::size_t polled_ = 0;
  bool inCacheReport_ = false;
  std::vector<absl::Time> loadRequestTimes_;
  std::multimap<absl::Time, std::function<void()>> events_;
  std::map<reducer::RequestId, std::string> holderOf_;
  reducer::RequestId lastId_ = 0;
};

double
BytesToHomes(const Figures& aFigures)
{
  return static_cast<double>(aFigures.locateBytes_ + aFigures.runReportBytes_ +
                             aFigures.eventBytes_);
}

std::string
Describe(const Figures& aFigures, absl::Duration aTime)
{
  const double seconds = absl::ToDoubleSeconds(aTime);
  const auto rate = [&](std::uint64_t aCount) {
    return absl::StrFormat("%.1f/s", static_cast<double>(aCount) / seconds);
  };
  const std::uint64_t loadRequests =
    aFigures.followedLoadRequests_ + aFigures.holderLoadRequests_;
  return absl::StrCat(
    "runs of returning prompts ",
    aFigures.runs_,
    ", at their holder ",
    aFigures.atHolder_,
    ", refused ",
    aFigures.refused_,
    "; load requests ",
    rate(loadRequests),
    " (holders ",
    rate(aFigures.holderLoadRequests_),
    ", most in a second ",
    aFigures.maxLoadRequestsInSecond_,
    "), bytes ",
    rate(loadRequests * kLoadRequestBytes),
    "; look-ups at homes ",
    rate(aFigures.locates_),
    ", bytes ",
    rate(aFigures.locateBytes_),
    "; reports of runs ",
    rate(aFigures.runReports_),
    ", bytes ",
    rate(aFigures.runReportBytes_),
    "; of cache events ",
    rate(aFigures.events_),
    ", bytes ",
    rate(aFigures.eventBytes_),
    "; all bytes to homes ",
    absl::StrFormat("%.0f/s", BytesToHomes(aFigures) / seconds));
}

// Runs a trial of five minutes in which one of aNewPromptInterval prompts is
// new; 0 for none.
Figures
RunTrial(std::uint32_t aNewPromptInterval)
{
  Trial trial;
  trial.newPromptInterval_ = aNewPromptInterval;
  Host host(trial);
  host.Run(kTrialDuration);
  return host.figures_;
}

} // namespace

TEST_CASE("figures of prompt locations", "[.figures]")
{
  for (const std::uint32_t newPromptInterval : { 0U, 20U, 5U, 1U }) {
    std::printf("new one in %u: %s\n",
                newPromptInterval,
                Describe(RunTrial(newPromptInterval), kTrialDuration).c_str());
  }
}

TEST_CASE(
  "returning prompts run on their holders in a system of the designed size")
{
  const Figures figures = RunTrial(0);
  INFO(Describe(figures, kTrialDuration));
  CHECK(figures.refused_ == 0);
  CHECK(figures.atHolder_ >= figures.runs_ * 0.95);
  CHECK(figures.maxLoadRequestsInSecond_ <= 24);
}

TEST_CASE("every request gets its answer although holders don't answer polls")
{
  Trial trial;
  trial.unresponsive_ = true;
  Host host(trial);
  host.Run(absl::Minutes(1));
  CHECK(host.figures_.refused_ == 0);
  CHECK(host.figures_.runs_ > 200);
  CHECK(host.figures_.maxLoadRequestsInSecond_ <= 24);
}

TEST_CASE("a holder that is leaving or has other weights gets no runs")
{
  Trial trial;
  trial.leaving_ = GENERATE(true, false);
  trial.version_ = trial.leaving_ ? "v1" : "v2";
  Host host(trial);
  host.Run(absl::Minutes(1));
  CHECK(host.figures_.refused_ == 0);
  CHECK(host.figures_.runs_ > 200);
  // Some holders are targets that the host follows.
  CHECK(host.figures_.atHolder_ == host.figures_.atFollowed_);
}

TEST_CASE(
  "messages about prompt locations stay within the limit for control traffic")
{
  // The limit for control traffic less all other control traffic. It is halved
  // because a host receives as much as it sends.
  constexpr double kLimitBytesPerSecond = (16384 - 10500) / 2.0;
  const Figures figures = RunTrial(GENERATE(0U, 20U, 5U));
  INFO(Describe(figures, kTrialDuration));
  CHECK(BytesToHomes(figures) / absl::ToDoubleSeconds(kTrialDuration) <=
        kLimitBytesPerSecond);
}

TEST_CASE("a host that follows no target of a model or service also serves it")
{
  Host host;
  const bool service = GENERATE(false, true);
  const std::string target = service ? "desk1" : "rare1";
  for (const auto* name : { "rare1", "desk1" }) {
    REQUIRE_FALSE(host.Follows(name));
  }
  for (int i = 0; i < 3; ++i) {
    host.ArriveNew(service ? "registry" : "rare",
                   service ? reducer::RequestKind::ServiceCall
                           : reducer::RequestKind::Completion);
  }
  host.Run(absl::Seconds(10));
  CHECK(host.figures_.refused_ == 0);
  CHECK(host.figures_.dispatches_[target] == 3);
}

TEST_CASE("a draining host goes on following its targets")
{
  Trial trial;
  trial.draining_ = true;
  const Host draining(trial);
  const Host listed;
  CHECK(listed.CountFollowed() > 20);
  CHECK(draining.CountFollowed() == listed.CountFollowed());
}
