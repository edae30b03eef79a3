#include "lycheeplank/spillover.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include "lycheeplank/fleet.h"

namespace fleet = lycheeplank::fleet;
namespace spillover = lycheeplank::spillover;
using spillover::Reason;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);
constexpr absl::string_view kService = "s";

spillover::Times
MakeTimes()
{
  return { absl::Milliseconds(500),
           absl::Milliseconds(75),
           absl::Milliseconds(1500) };
}

// Updates a state as often as a host does within the given time.
void
UpdateFor(spillover::State& aState,
          const std::vector<spillover::DataCentre>& aDataCentres,
          absl::Duration aTime = absl::Seconds(5),
          const spillover::Times& aTimes = MakeTimes())
{
  static absl::Time now = kNow;
  for (const auto end = now + aTime; now < end;
       now += absl::Milliseconds(100)) {
    spillover::Update(aState, aDataCentres, "a", aTimes, now);
  }
}

} // namespace

TEST_CASE("the scarcer resource decides how many targets a demand takes")
{
  CHECK(spillover::NeedOf({ 96.0, 94000.0 }, 48.0, 94000.0) == 2.0);
  CHECK(spillover::NeedOf({ 6.0, 470000.0 }, 48.0, 94000.0) == 5.0);
  CHECK(spillover::NeedOf({ 12.0, 470000.0 }, 6.0, 0.0) == 2.0);
}

// Guards against a full data centre that keeps its callers: where requests are
// refused at once, few of them run or wait there.
TEST_CASE("refused requests count as demand for the time of a run")
{
  const auto times = MakeTimes();
  spillover::RefusedDemand refused;
  // 100 requests a second of 2,400 tokens.
  auto now = kNow;
  for (int i = 0; i < 1000; ++i, now += absl::Milliseconds(10)) {
    spillover::AddRefused(refused, 2400.0, times.run_, now);
  }
  const auto demand = spillover::RefusedAt(refused, times.run_, now);
  CHECK(demand.calls_ == Approx(150.0).epsilon(0.02));
  CHECK(demand.tokens_ == Approx(150.0 * 2400.0).epsilon(0.02));
  const auto later =
    spillover::RefusedAt(refused, times.run_, now + 5 * times.run_);
  CHECK(later.calls_ < 2.0);
  CHECK(spillover::RefusedAt({}, times.run_, now).calls_ == 0.0);
}

// Guards against a demand that is counted twice, as a part and in the total, or
// that is believed after its host has ended.
TEST_CASE("the total of a demand replaces its parts while it is recent")
{
  const auto a = spillover::NameHash("a");
  const auto service = spillover::NameHash("s");
  spillover::DemandReports reports;
  CHECK_FALSE(spillover::TotalOf(reports, a, service, kNow));
  reports["h1"] = { { { a, service, false, { 3.0, 300.0 } } }, kNow };
  reports["h2"] = { { { a, service, false, { 5.0, 500.0 } },
                      { a, service + 1, false, { 50.0, 0.0 } } },
                    kNow + absl::Milliseconds(900) };
  const auto later = kNow + absl::Milliseconds(950);
  CHECK(spillover::TotalOf(reports, a, service, later)->calls_ == 8.0);
  CHECK(spillover::TotalRows(reports, later).size() == 2);
  CHECK(spillover::TotalRows(reports, later)[0].isTotal_);
  reports["collector"] = { { { a, service, true, { 9.0, 900.0 } } }, kNow };
  CHECK(spillover::TotalOf(reports, a, service, later)->tokens_ == 900.0);
  const auto end = kNow + absl::Milliseconds(1100);
  CHECK(spillover::TotalOf(reports, a, service, end)->calls_ == 5.0);
  CHECK_FALSE(spillover::TotalOf(reports, a, service, kNow + absl::Seconds(2)));
}

// Guards against a forwarder that passes the demand of its own hosts on as that
// of the data centre, and against one that reports the total, or other hosts,
// as its hosts' part.
TEST_CASE("a forwarder tells received totals and the sum of its hosts' parts")
{
  const auto a = spillover::NameHash("a");
  const auto service = spillover::NameHash("s");
  spillover::DemandReports reports;
  reports["h1"] = { { { a, service, false, { 3.0, 300.0 } } }, kNow };
  reports["h2"] = { { { a, service, false, { 5.0, 500.0 } } }, kNow };
  reports["h3"] = { { { a, service, false, { 7.0, 700.0 } } }, kNow };
  CHECK(spillover::ReceivedTotals(reports, kNow).empty());
  reports["collector"] = { { { a, service, true, { 90.0, 9.0 } },
                             { a + 1, service, true, { 4.0, 4.0 } } },
                           kNow };
  const auto totals = spillover::ReceivedTotals(reports, kNow);
  REQUIRE(totals.size() == 2);
  CHECK(totals[0].isTotal_);
  CHECK(totals[0].demand_.calls_ + totals[1].demand_.calls_ == 94.0);
  const std::vector<std::string> hosts{ "h1", "h2", "h4", "collector" };
  const auto parts = spillover::SumParts(reports, hosts, kNow);
  REQUIRE(parts.size() == 1);
  CHECK_FALSE(parts[0].isTotal_);
  CHECK(parts[0].dataCentre_ == a);
  CHECK(parts[0].demand_.calls_ == 8.0);
  CHECK(parts[0].demand_.tokens_ == 800.0);
  const auto end = kNow + absl::Seconds(2);
  CHECK(spillover::ReceivedTotals(reports, end).empty());
  CHECK(spillover::SumParts(reports, hosts, end).empty());
}

// Guards against requests that leave while the near targets suffice, and
// against more of them than the surplus.
TEST_CASE("only the surplus leaves, divided by room")
{
  spillover::State state;
  UpdateFor(state, { { "a", true, 8.0, 10.0 }, { "b", true, 2.0, 10.0 } });
  CHECK(state.reason_ == Reason::Enough);
  CHECK(state.share_ == 0.0);
  const std::vector<spillover::DataCentre> uneven{ { "a", true, 11.0, 10.0 },
                                                   { "b", true, 2.5, 10.0 },
                                                   { "c", true, 6.5, 10.0 } };
  UpdateFor(state, uneven);
  CHECK(state.reason_ == Reason::Surplus);
  CHECK(state.share_ == Approx(2.5 / 11.0).margin(0.005));
  std::map<std::string, int> sent;
  for (int i = 0; i < 10000; ++i) {
    ++sent[std::string(spillover::DrawDestination(state, i / 10000.0))];
  }
  CHECK(sent["b"] + sent["c"] == Approx(2273).margin(60));
  CHECK(sent["b"] == Approx(3 * sent["c"]).epsilon(0.02));
}

// Guards against two overloaded data centres that both count on the same room,
// and against requests that are exchanged between full ones.
TEST_CASE("data centres with a surplus divide the room")
{
  spillover::State state;
  UpdateFor(state,
            { { "a", true, 12.5, 10.0 },
              { "b", true, 10.5, 10.0 },
              { "c", true, 5.5, 10.0 } });
  // 3 of 6 targets' work finds room.
  CHECK(state.share_ == Approx(2.0 / 12.5).margin(0.005));
  UpdateFor(state, { { "a", true, 12.5, 10.0 }, { "b", true, 10.5, 10.0 } });
  CHECK(state.reason_ == Reason::NoRoom);
  CHECK(state.share_ == 0.0);
}

// Guards against requests to a data centre of which nothing is known, of this
// one by a host that hears nobody, or over a link that makes them late.
TEST_CASE("requests stay without recent figures or behind a slow link")
{
  spillover::State state;
  UpdateFor(state, { { "a", true, 11.0, 10.0 }, { "b", true, 2.0, 10.0 } });
  REQUIRE(state.share_ > 0.1);
  UpdateFor(state,
            { { "a", true, 11.0, 10.0 }, { "b", false, 0.0, 10.0 } },
            absl::Milliseconds(100));
  CHECK(state.reason_ == Reason::Unknown);
  CHECK(state.share_ == 0.0);
  UpdateFor(state, { { "a", true, 11.0, 10.0 }, { "b", true, 2.0, 10.0 } });
  REQUIRE(state.share_ > 0.1);
  UpdateFor(state,
            { { "a", false, 11.0, 10.0 }, { "b", true, 2.0, 10.0 } },
            absl::Milliseconds(100));
  CHECK(state.share_ == 0.0);
  UpdateFor(state,
            { { "a", true, 11.0, 10.0 }, { "b", true, 2.0, 10.0, 8.0 } });
  CHECK(state.reason_ == Reason::NoGain);
  CHECK(state.share_ == 0.0);
  // Callers with more time gain nothing by leaving.
  UpdateFor(state,
            { { "a", true, 9.0, 10.0 }, { "b", true, 2.0, 10.0 } },
            absl::Seconds(5),
            { absl::Seconds(2), absl::Milliseconds(75), absl::Seconds(1.5) });
  CHECK(state.reason_ == Reason::NoGain);
}

// Guards against a share that is switched on and off by small changes of the
// load around the threshold.
TEST_CASE("the decision to leave has a hysteresis")
{
  spillover::State state;
  const std::vector<spillover::DataCentre> above{ { "a", true, 9.2, 10.0 },
                                                  { "b", true, 2.0, 10.0 } };
  const std::vector<spillover::DataCentre> below{ { "a", true, 8.85, 10.0 },
                                                  { "b", true, 2.0, 10.0 } };
  UpdateFor(state, below);
  CHECK(state.share_ == 0.0);
  UpdateFor(state, above);
  CHECK(state.share_ > 0.0);
  for (int i = 0; i < 20; ++i) {
    UpdateFor(state, i % 2 == 0 ? below : above, absl::Milliseconds(300));
    CHECK(state.share_ > 0.0);
  }
  UpdateFor(state, { { "a", true, 7.0, 10.0 }, { "b", true, 2.0, 10.0 } });
  CHECK(state.share_ == 0.0);
}

TEST_CASE("a change of the share is logged once")
{
  spillover::State state;
  const std::vector<spillover::DataCentre> uneven{ { "a", true, 14.0, 10.0 },
                                                   { "b", true, 1.0, 10.0 } };
  int lines = 0;
  for (int i = 0; i < 100; ++i) {
    lines +=
      spillover::Update(
        state, uneven, "a", MakeTimes(), kNow + i * absl::Milliseconds(100))
        ? 1
        : 0;
  }
  CHECK(lines >= 2);
  CHECK(lines <= 6);
  CHECK(spillover::Reset(state, Reason::Inactive));
  CHECK_FALSE(spillover::Reset(state, Reason::Inactive));
}

TEST_CASE("all requests leave a data centre that has lost its targets")
{
  spillover::State state;
  UpdateFor(state, { { "a", true, 3.0, 0.0 }, { "b", true, 2.0, 10.0 } });
  CHECK(state.reason_ == Reason::NoTargets);
  CHECK(state.share_ > 0.95);
  CHECK(spillover::DrawDestination(state, 0.5) == "b");
}

namespace {

// A deployment of three data centres with equal engines under a load, in
// virtual time. A request waits at its engine while the engine's memory is
// full. Hosts of one data centre share a view of the targets' loads that is
// refreshed like gossip refreshes it; each host decides by itself from the
// demands that were true some hundred milliseconds before.
struct Model
{
  struct Request
  {
    int home_ = 0;
    std::size_t host_ = 0;
    double arrival_ = 0.0;
    double draw_ = 0.0;
    double nominal_ = 0.0;
  };

  struct Engine
  {
    int dataCentre_ = 0;
    double slowness_ = 1.0;
    std::uint64_t held_ = 0;
    std::deque<Request> queue_;
  };

  struct Host
  {
    int dataCentre_ = 0;
    spillover::State state_;
    double calls_ = 0.0;
  };

  struct Counts
  {
    int arrived_ = 0;
    int left_ = 0;
    int inGoal_ = 0;
  };

  static constexpr int kDataCentres = 3;
  static constexpr std::uint64_t kTokens = 12000;
  static constexpr std::uint64_t kMemory = 94000;
  // Whole requests that an engine's memory holds.
  static constexpr double kRequestsPerEngine = 7.0;
  static constexpr double kGoal = 0.5;
  static constexpr double kStart = 0.075;
  static constexpr double kRun = 1.5;
  // Age of the shared demands and loads, and the time after which callers
  // leave.
  static constexpr double kDelay = 0.3;
  static constexpr double kPatience = 2.0;

  Model(std::size_t aHosts, int aEngines, bool aSpills)
    : spills_(aSpills)
    , hosts_(aHosts)
    , engines_(static_cast<std::size_t>(aEngines))
  {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].dataCentre_ = static_cast<int>(i) % kDataCentres;
    }
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i].dataCentre_ = static_cast<int>(i) % kDataCentres;
      fleet::Target target;
      target.id_ = absl::StrCat("t", i);
      target.service_ = std::string(kService);
      target.dataCentre_ = NameOf(engines_[i].dataCentre_);
      target.slots_ = 64;
      target.weights_["m"] = 1;
      for (auto& view : views_) {
        fleet::UpdateTarget(view, target, { 0, 1 }, absl::InfinitePast());
      }
    }
  }

  static std::string NameOf(int aDataCentre)
  {
    return absl::StrCat("dc", aDataCentre);
  }

  // Requests per second that a data centre's engines can serve.
  double Capacity() const
  {
    return static_cast<double>(engines_.size()) / kDataCentres *
           kRequestsPerEngine / (kStart + kRun);
  }

  absl::Time At(double aSeconds) const
  {
    return kNow + absl::Seconds(aSeconds);
  }

  void Schedule(double aAt, std::function<void()> aAction)
  {
    events_.push({ aAt, next_++, std::move(aAction) });
  }

  void RunUntil(double aEnd)
  {
    if (now_ == 0.0) {
      for (int i = 0; i < kDataCentres; ++i) {
        Arrive(i);
      }
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        Decide(
          i, 0.1 * static_cast<double>(i) / static_cast<double>(hosts_.size()));
      }
      Refresh();
    }
    while (!events_.empty() && events_.top().at_ < aEnd) {
      auto event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.action_();
    }
    now_ = aEnd;
  }

  void Arrive(int aDataCentre)
  {
    const double rate = rates_.at(aDataCentre);
    const double gap =
      rate > 0.0 ? std::exponential_distribution<>(rate)(random_) : 0.05;
    Schedule(now_ + gap, [this, aDataCentre, rate] {
      if (rate > 0.0) {
        const auto count = (hosts_.size() + kDataCentres - 1 -
                            static_cast<std::size_t>(aDataCentre)) /
                           kDataCentres;
        Request request{ aDataCentre,
                         static_cast<std::size_t>(aDataCentre) +
                           kDataCentres * (random_() % count),
                         now_,
                         std::uniform_real_distribution<>()(random_),
                         0.0 };
        ++counts_.at(aDataCentre).arrived_;
        hosts_[request.host_].calls_ += 1.0;
        Place(request, 0);
      }
      Arrive(aDataCentre);
    });
  }

  void Place(Request aRequest, int aTry)
  {
    auto& host = hosts_[aRequest.host_];
    if (now_ - aRequest.arrival_ > kPatience) {
      host.calls_ -= 1.0;
      return;
    }
    const auto destination =
      std::string(spillover::DrawDestination(host.state_, aRequest.draw_));
    const auto home = NameOf(aRequest.home_);
    fleet::RequestSpec question;
    question.service_ = kService;
    question.dataCentre_ = destination.empty() ? home : destination;
    question.model_ = "m";
    question.costs_ = { { 1, absl::ZeroDuration(), 3000, 0 } };
    question.heldTokens_ = kTokens;
    question.memoryTokens_ = kMemory;
    question.bytes_ = 30000;
    question.goal_ =
      absl::Seconds(std::max(0.1, aRequest.arrival_ + kGoal - now_));
    question.seed_ = random_();
    question.useSampling_ = true;
    question.isUrgent_ = isUrgent_;
    auto& view = views_.at(aRequest.home_);
    const auto choice =
      fleet::ChooseTarget(view, question, fleet::EngineSpeed(), At(now_));
    if (choice.id_.empty() || choice.memoryFull_) {
      Schedule(now_ + 0.05,
               [this, aRequest, aTry] { Place(aRequest, aTry + 1); });
      return;
    }
    const auto index = std::stoul(choice.id_.substr(1));
    auto& engine = engines_[index];
    auto& member = view.at(choice.id_);
    fleet::RecordCallStart(member, { 3000, kTokens, false }, At(now_));
    if (engine.dataCentre_ != aRequest.home_) {
      ++counts_.at(aRequest.home_).left_;
    }
    aRequest.nominal_ = choice.nominalSeconds_;
    engine.queue_.push_back(aRequest);
    StartWaiting(index, now_);
  }

  void StartWaiting(std::size_t aEngine, double aSentAt)
  {
    auto& engine = engines_[aEngine];
    while (!engine.queue_.empty() && engine.held_ + kTokens <= kMemory) {
      const auto request = engine.queue_.front();
      engine.queue_.pop_front();
      engine.held_ += kTokens;
      const double link =
        engine.dataCentre_ == request.home_ ? 0.0005 : 2.0 * linkDelay_;
      const double first = now_ + link + engine.slowness_ * kStart;
      if (first - request.arrival_ <= kGoal) {
        ++counts_.at(request.home_).inGoal_;
      }
      auto& member = views_.at(request.home_).at(absl::StrCat("t", aEngine));
      Schedule(first, [&member, request, first, aSentAt] {
        fleet::RecordFirstByte(member,
                               { 3000, kTokens, false },
                               absl::Seconds(first - aSentAt),
                               request.nominal_);
      });
      Schedule(first + engine.slowness_ * kRun,
               [this, &member, aEngine, request] {
                 engines_[aEngine].held_ -= kTokens;
                 hosts_[request.host_].calls_ -= 1.0;
                 fleet::RecordCallEnd(member,
                                      { 3000, kTokens, false },
                                      fleet::CallResult::Answered,
                                      At(now_));
                 StartWaiting(aEngine, now_);
               });
    }
  }

  // Shares the loads that other data centres' hosts have at each target, and
  // records the demand of each data centre.
  void Refresh()
  {
    std::array<double, kDataCentres> demand{};
    for (const auto& host : hosts_) {
      demand.at(host.dataCentre_) += host.calls_;
    }
    demands_.push_back(demand);
    for (int from = 0; from < kDataCentres; ++from) {
      const auto loads = fleet::SumLoads(views_.at(from), {}, At(now_));
      for (int to = 0; to < kDataCentres; ++to) {
        if (to != from) {
          fleet::SetPeerLoads(views_.at(to), NameOf(from), loads, At(now_));
        }
      }
    }
    Schedule(now_ + 0.25, [this] { Refresh(); });
  }

  void Decide(std::size_t aHost, double aIn)
  {
    Schedule(now_ + aIn, [this, aHost] {
      auto& host = hosts_[aHost];
      const auto age = static_cast<std::size_t>(kDelay / 0.25) + 1;
      if (spills_ && demands_.size() > age) {
        const auto& demand = demands_[demands_.size() - age];
        std::vector<spillover::DataCentre> dataCentres;
        fleet::RequestSpec question;
        question.service_ = kService;
        for (const auto& zone :
             fleet::TargetsByDataCentre(views_.at(host.dataCentre_),
                                        question,
                                        kGoal / kStart,
                                        At(now_))) {
          const auto index = zone.dataCentre_[2] - '0';
          dataCentres.push_back(
            { zone.dataCentre_,
              true,
              spillover::NeedOf(
                { demand.at(index), demand.at(index) * kTokens },
                zone.slots_,
                kMemory),
              static_cast<double>(zone.targets_),
              zone.slowness_ });
        }
        spillover::Update(host.state_,
                          dataCentres,
                          NameOf(host.dataCentre_),
                          MakeTimes(),
                          At(now_));
      }
      if (aHost < kDataCentres) {
        shares_.at(aHost).push_back({ now_, host.state_.share_ });
      }
      Decide(aHost, 0.1);
    });
  }

  // Returns least and largest share of the first host of a data centre since a
  // time.
  std::pair<double, double> ShareRange(int aDataCentre, double aSince) const
  {
    std::pair<double, double> range{ 1.0, 0.0 };
    for (const auto& [at, share] : shares_.at(aDataCentre)) {
      if (at >= aSince) {
        range = { std::min(range.first, share), std::max(range.second, share) };
      }
    }
    return range;
  }

  // Returns how often the first host of a data centre began or ceased to send
  // requests away since a time.
  int Switches(int aDataCentre, double aSince) const
  {
    int switches = 0;
    bool was = false;
    for (const auto& [at, share] : shares_.at(aDataCentre)) {
      const bool is = share > 0.0;
      switches += at >= aSince && is != was ? 1 : 0;
      was = is;
    }
    return switches;
  }

  // Takes the targets of a data centre out of use; they end their requests.
  void RemoveTargets(int aDataCentre)
  {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].dataCentre_ == aDataCentre) {
        for (auto& view : views_) {
          view.at(absl::StrCat("t", i)).target_.state_ =
            fleet::TargetState::Leaving;
        }
      }
    }
  }

  double InGoal() const
  {
    int arrived = 0;
    int inGoal = 0;
    for (const auto& count : counts_) {
      arrived += count.arrived_;
      inGoal += count.inGoal_;
    }
    return static_cast<double>(inGoal) / arrived;
  }

  double Left(int aDataCentre) const
  {
    const auto& count = counts_.at(aDataCentre);
    return static_cast<double>(count.left_) / std::max(1, count.arrived_);
  }

  void ClearCounts() { counts_ = {}; }

  struct Event
  {
    double at_;
    std::uint64_t order_;
    std::function<void()> action_;
    friend bool operator<(const Event& aLeft, const Event& aRight)
    {
      return std::tie(aLeft.at_, aLeft.order_) >
             std::tie(aRight.at_, aRight.order_);
    }
  };

  bool spills_;
  bool isUrgent_ = true;
  std::vector<Host> hosts_;
  std::vector<Engine> engines_;
  std::array<fleet::Members, kDataCentres> views_;
  std::array<double, kDataCentres> rates_{};
  std::array<Counts, kDataCentres> counts_{};
  std::vector<std::array<double, kDataCentres>> demands_;
  std::array<std::vector<std::pair<double, double>>, kDataCentres> shares_;
  double linkDelay_ = 0.004;
  double now_ = 0.0;
  std::uint64_t next_ = 0;
  std::mt19937_64 random_{ 9 };
  std::priority_queue<Event> events_;
};

struct Size
{
  std::size_t hosts_;
  int engines_;
};

Size
AnySize()
{
  return GENERATE(Size{ 8, 12 }, Size{ 78, 60 }, Size{ 300, 240 });
}

// Returns rates at which the callers of the first data centre are 2.2 times as
// many as those of each other, and all together take a share of the capacity.
std::array<double, 3>
UnevenRates(const Model& aModel, double aLoad)
{
  const double one = aLoad * 3.0 * aModel.Capacity() / 4.2;
  return { 2.2 * one, one, one };
}

// What a run of the model gave after the time in which the share settles.
struct Outcome
{
  double inGoal_ = 0.0;
  // Share of the requests of each data centre that left it.
  std::array<double, 3> left_{};
  // Least and largest share that the first data centre's first host computed,
  // and how often it began or ceased to send requests away.
  double minShare_ = 0.0;
  double maxShare_ = 0.0;
  int switches_ = 0;
};

Outcome
RunModel(Model& aModel, double aSettled, double aEnd)
{
  aModel.RunUntil(aSettled);
  aModel.ClearCounts();
  aModel.RunUntil(aEnd);
  Outcome outcome;
  outcome.inGoal_ = aModel.InGoal();
  for (int i = 0; i < Model::kDataCentres; ++i) {
    outcome.left_.at(i) = aModel.Left(i);
  }
  std::tie(outcome.minShare_, outcome.maxShare_) =
    aModel.ShareRange(0, aSettled);
  outcome.switches_ = aModel.Switches(0, aSettled);
  return outcome;
}

std::string
Describe(const Outcome& aOutcome)
{
  return absl::StrCat("in goal ",
                      aOutcome.inGoal_,
                      ", left ",
                      aOutcome.left_[0],
                      " ",
                      aOutcome.left_[1],
                      " ",
                      aOutcome.left_[2],
                      ", share ",
                      aOutcome.minShare_,
                      " to ",
                      aOutcome.maxShare_,
                      ", switched ",
                      aOutcome.switches_);
}

} // namespace

// Guards against callers that wait in one data centre while the targets of the
// others are idle. Load: 70% of all capacity, 110% in one data centre. Urgent
// requests don't wait at the hosts for memory, so that by the present choice
// none of them leaves.
TEST_CASE("the surplus of uneven demand leaves and answers come in time")
{
  const auto size = AnySize();
  const bool isUrgent = GENERATE(true, false);
  std::array<Outcome, 2> outcomes;
  for (const bool spills : { false, true }) {
    Model model(size.hosts_, size.engines_, spills);
    model.isUrgent_ = isUrgent;
    model.rates_ = UnevenRates(model, 0.7);
    outcomes.at(spills ? 1 : 0) = RunModel(model, 8.0, 28.0);
  }
  const auto& [present, spilling] = outcomes;
  INFO(size.hosts_ << " hosts, urgent " << isUrgent << ": " << Describe(present)
                   << "; with spillover " << Describe(spilling));
  // A quarter of the first data centre's work doesn't fit there.
  CHECK(spilling.left_[0] > 0.1);
  CHECK(spilling.left_[0] < 0.3);
  CHECK(spilling.left_[1] + spilling.left_[2] < 0.03);
  if (isUrgent) {
    CHECK(spilling.inGoal_ > present.inGoal_ + 0.3);
  } else {
    CHECK(spilling.inGoal_ > present.inGoal_ - 0.01);
  }
  // The demand itself varies by 17, 8 and 4%.
  CHECK(spilling.maxShare_ - spilling.minShare_ <
        (size.hosts_ == 8 ? 0.5 : 0.3));
}

// Guards against a share that stays behind when the callers have moved, and
// against requests that leave a data centre that has room again.
TEST_CASE("the share follows callers that move to another data centre")
{
  const auto size = AnySize();
  std::array<Outcome, 2> outcomes;
  for (const bool spills : { false, true }) {
    Model model(size.hosts_, size.engines_, spills);
    model.rates_ = UnevenRates(model, 0.7);
    model.RunUntil(10.0);
    std::swap(model.rates_[0], model.rates_[1]);
    outcomes.at(spills ? 1 : 0) = RunModel(model, 14.0, 26.0);
  }
  const auto& [present, spilling] = outcomes;
  INFO(size.hosts_ << " hosts: " << Describe(present) << "; with spillover "
                   << Describe(spilling));
  CHECK(spilling.left_[0] < 0.03);
  CHECK(spilling.left_[1] > 0.08);
  CHECK(spilling.left_[1] < 0.3);
  CHECK(spilling.inGoal_ > present.inGoal_);
}

// Guards against data centres that send each other requests because a third of
// the targets is slow everywhere. Load: half of the capacity, evenly.
TEST_CASE("little leaves when a third of the targets everywhere is slow")
{
  const auto size = AnySize();
  std::array<Outcome, 2> outcomes;
  for (const bool spills : { false, true }) {
    Model model(size.hosts_, size.engines_, spills);
    for (std::size_t i = 0; i < model.engines_.size(); ++i) {
      model.engines_[i].slowness_ = i / 3 % 3 == 0 ? 2.0 : 1.0;
    }
    model.rates_.fill(0.5 * model.Capacity());
    outcomes.at(spills ? 1 : 0) = RunModel(model, 8.0, 24.0);
  }
  const auto& [present, spilling] = outcomes;
  INFO(size.hosts_ << " hosts: " << Describe(present) << "; with spillover "
                   << Describe(spilling));
  for (const auto left : spilling.left_) {
    CHECK(left < (size.hosts_ == 8 ? 0.15 : 0.05));
  }
  CHECK(spilling.inGoal_ > present.inGoal_ - 0.01);
}

// Guards against callers of a data centre without targets that wait, or crowd
// a single other data centre. Load: 55% of all capacity before the loss.
TEST_CASE("a data centre that lost its targets sends all requests away")
{
  const auto size = AnySize();
  Model model(size.hosts_, size.engines_, true);
  model.rates_.fill(0.55 * model.Capacity());
  model.RunUntil(5.0);
  model.RemoveTargets(0);
  const auto outcome = RunModel(model, 8.0, 20.0);
  INFO(size.hosts_ << " hosts: " << Describe(outcome));
  CHECK(outcome.left_[0] == 1.0);
  CHECK(outcome.left_[1] + outcome.left_[2] < 0.2);
  CHECK(outcome.inGoal_ > 0.95);
}

// Guards against a data centre whose callers wait for its slow targets. Load:
// half of the capacity, evenly; all targets of one data centre are slow.
TEST_CASE("requests leave a data centre whose targets are slow")
{
  const auto size = AnySize();
  std::array<Outcome, 2> outcomes;
  for (const bool spills : { false, true }) {
    Model model(size.hosts_, size.engines_, spills);
    for (auto& engine : model.engines_) {
      engine.slowness_ = engine.dataCentre_ == 0 ? 2.2 : 1.0;
    }
    model.rates_.fill(0.5 * model.Capacity());
    outcomes.at(spills ? 1 : 0) = RunModel(model, 8.0, 24.0);
  }
  const auto& [present, spilling] = outcomes;
  INFO(size.hosts_ << " hosts: " << Describe(present) << "; with spillover "
                   << Describe(spilling));
  CHECK(spilling.left_[0] > 0.05);
  CHECK(spilling.left_[0] < 0.4);
  CHECK(spilling.left_[1] + spilling.left_[2] < 0.05);
  CHECK(spilling.inGoal_ > present.inGoal_ + 0.05);
}

// Guards against two data centres that send each other requests when all have
// more to do. Load: 55% of all capacity, all of it on two thirds of the targets
// after the loss.
TEST_CASE("little leaves when the callers of a lost data centre have moved")
{
  const auto size = AnySize();
  std::array<Outcome, 2> outcomes;
  for (const bool spills : { false, true }) {
    Model model(size.hosts_, size.engines_, spills);
    model.rates_.fill(0.55 * model.Capacity());
    model.RunUntil(5.0);
    model.RemoveTargets(0);
    model.rates_ = { 0.0, 1.5 * model.rates_[1], 1.5 * model.rates_[2] };
    outcomes.at(spills ? 1 : 0) = RunModel(model, 8.0, 24.0);
  }
  const auto& [present, spilling] = outcomes;
  INFO(size.hosts_ << " hosts: " << Describe(present) << "; with spillover "
                   << Describe(spilling));
  CHECK(spilling.left_[1] + spilling.left_[2] < 0.2);
  CHECK(spilling.inGoal_ > present.inGoal_ - 0.01);
}

// Guards against requests that are sent over a slow link as if it were a fast
// one. Load: as with uneven demand, but each way takes 300 ms. The hosts learn
// it from answers, so the share falls in the course of some seconds.
TEST_CASE("a slow link lessens what is sent away")
{
  const auto size = AnySize();
  const auto outcomeOf = [&size](bool aSpills, double aLinkDelay) {
    Model model(size.hosts_, size.engines_, aSpills);
    model.rates_ = UnevenRates(model, 0.7);
    model.RunUntil(6.0);
    model.linkDelay_ = aLinkDelay;
    return RunModel(model, 14.0, 30.0);
  };
  const auto present = outcomeOf(false, 0.3);
  const auto fast = outcomeOf(true, 0.004);
  const auto slow = outcomeOf(true, 0.3);
  INFO(size.hosts_ << " hosts: " << Describe(present) << "; fast "
                   << Describe(fast) << "; slow " << Describe(slow));
  CHECK(slow.left_[0] < 0.85 * fast.left_[0]);
  CHECK(slow.inGoal_ > present.inGoal_);
}
