#include "lycheeplank/admission.h"

#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <set>

#include <catch2/catch.hpp>

namespace admission = lycheeplank::admission;
namespace config = lycheeplank::config;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1700000000);

std::uint64_t
Seed(std::uint64_t aDefault)
{
  const char* text = std::getenv("LYCHEEPLANK_SEED");
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

admission::Request
MakeRequest(std::uint64_t aId,
            const std::string& aWorkspace,
            absl::Duration aCost = absl::Seconds(1),
            absl::Duration aDeadline = absl::Hours(1))
{
  admission::Request request;
  request.id_ = aId;
  request.workspace_ = aWorkspace;
  request.deadline_ = kStart + aDeadline;
  request.cost_ = aCost;
  return request;
}

admission::Quota
UnlimitedQuota(double aShare = 1.0)
{
  return { aShare, 10000, 10000, 1e6 };
}

std::uint64_t
RefusalCount(const admission::State& aState, admission::Refusal aRefusal)
{
  return aState.counters_.refusals_[static_cast<std::size_t>(aRefusal)];
}

} // namespace

TEST_CASE("slots under contention are divided by the shares")
{
  admission::State state;
  state.slots_ = 1;
  for (std::uint64_t i = 0; i < 400; ++i) {
    admission::Admit(
      state, MakeRequest(3 * i, "large"), UnlimitedQuota(3), kStart);
    admission::Admit(
      state, MakeRequest(3 * i + 1, "small"), UnlimitedQuota(1), kStart);
  }
  std::map<std::string, int> started;
  absl::Time now = kStart;
  for (int i = 0; i < 400; ++i) {
    const auto next = admission::StartNext(state, now);
    REQUIRE(next);
    ++started[next->workspace_];
    now += absl::Seconds(1);
    admission::FinishRequest(state, next->id_, now);
  }
  CHECK(started["large"] == Approx(300).margin(2));
  CHECK(started["small"] == Approx(100).margin(2));
}

TEST_CASE("an idle workspace doesn't save up service")
{
  admission::State state;
  state.slots_ = 1;
  absl::Time now = kStart;
  for (std::uint64_t i = 0; i < 100; ++i) {
    admission::Admit(state, MakeRequest(i, "busy"), UnlimitedQuota(), now);
  }
  for (int i = 0; i < 50; ++i) {
    const auto next = admission::StartNext(state, now);
    now += absl::Seconds(1);
    admission::FinishRequest(state, next->id_, now);
  }
  for (std::uint64_t i = 100; i < 200; ++i) {
    admission::Admit(state, MakeRequest(i, "late"), UnlimitedQuota(), now);
  }
  int late = 0;
  for (int i = 0; i < 40; ++i) {
    const auto next = admission::StartNext(state, now);
    late += next->workspace_ == "late" ? 1 : 0;
    now += absl::Seconds(1);
    admission::FinishRequest(state, next->id_, now);
  }
  CHECK(late == Approx(20).margin(1));
}

TEST_CASE("a run that takes longer than estimated is charged in full")
{
  admission::State state;
  state.slots_ = 1;
  for (std::uint64_t i = 0; i < 200; ++i) {
    admission::Admit(
      state, MakeRequest(2 * i, "slow"), UnlimitedQuota(), kStart);
    admission::Admit(
      state, MakeRequest(2 * i + 1, "quick"), UnlimitedQuota(), kStart);
  }
  std::map<std::string, double> seconds;
  absl::Time now = kStart;
  for (int i = 0; i < 200; ++i) {
    const auto next = admission::StartNext(state, now);
    const double took = next->workspace_ == "slow" ? 3.0 : 1.0;
    seconds[next->workspace_] += took;
    now += absl::Seconds(took);
    admission::FinishRequest(state, next->id_, now);
  }
  CHECK(seconds["slow"] == Approx(seconds["quick"]).margin(4));
}

TEST_CASE("interactive requests go first, and batch requests start before "
          "their deadline")
{
  admission::State state;
  state.slots_ = 1;
  auto digest = MakeRequest(1, "digests", absl::Seconds(1), absl::Seconds(100));
  digest.priority_ = admission::Priority::Batch;
  admission::Admit(state, digest, UnlimitedQuota(), kStart);
  absl::Time now = kStart;
  absl::Time digestStarted = absl::InfiniteFuture();
  for (std::uint64_t id = 2; id < 120; ++id) {
    admission::Admit(state, MakeRequest(id, "drafts"), UnlimitedQuota(), now);
    CHECK(admission::Expire(state, now).empty());
    const auto next = admission::StartNext(state, now);
    REQUIRE(next);
    if (next->id_ == digest.id_) {
      digestStarted = now;
    }
    now += absl::Seconds(1);
    admission::FinishRequest(state, next->id_, now);
  }
  CHECK(digestStarted > kStart + absl::Seconds(50));
  CHECK(digestStarted <= digest.deadline_ - digest.cost_);
  CHECK(state.counters_.promoted_ == 1);
}

TEST_CASE("a request that can't meet its deadline is refused at once")
{
  admission::State state;
  state.slots_ = 2;
  for (std::uint64_t i = 0; i < 40; ++i) {
    admission::Admit(state, MakeRequest(i, "w"), UnlimitedQuota(), kStart);
  }
  const auto late =
    admission::Admit(state,
                     MakeRequest(100, "w", absl::Seconds(1), absl::Hours(2)),
                     UnlimitedQuota(),
                     kStart);
  CHECK(late.verdict_ == admission::Verdict::Queued);
  auto urgent = MakeRequest(101, "w", absl::Seconds(9), absl::Seconds(8));
  const auto decision =
    admission::Admit(state, urgent, UnlimitedQuota(), kStart);
  CHECK(decision.verdict_ == admission::Verdict::Refused);
  CHECK(decision.refusal_ == admission::Refusal::DeadlineUnreachable);
  CHECK(decision.retryAfter_ >= absl::Seconds(1));
  CHECK(RefusalCount(state, admission::Refusal::DeadlineUnreachable) == 1);
}

TEST_CASE("the queue of one workspace doesn't delay another workspace")
{
  admission::State state;
  state.slots_ = 4;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    admission::Admit(state, MakeRequest(i, "flood"), UnlimitedQuota(), kStart);
  }
  for (int i = 0; i < 4; ++i) {
    REQUIRE(admission::StartNext(state, kStart));
  }
  const auto decision = admission::Admit(
    state,
    MakeRequest(5000, "calm", absl::Seconds(1), absl::Seconds(5)),
    UnlimitedQuota(),
    kStart);
  CHECK(decision.verdict_ == admission::Verdict::Queued);
  admission::FinishRequest(state, 0, kStart + absl::Seconds(1));
  CHECK(admission::StartNext(state, kStart + absl::Seconds(1))->id_ == 5000);
}

TEST_CASE("a waiting request expires once it can no longer meet its deadline")
{
  admission::State state;
  state.slots_ = 1;
  admission::Admit(state,
                   MakeRequest(1, "w", absl::Seconds(2), absl::Seconds(10)),
                   UnlimitedQuota(),
                   kStart);
  CHECK(admission::NextExpiry(state) == kStart + absl::Seconds(8));
  CHECK(admission::Expire(state, kStart + absl::Seconds(8)).empty());
  CHECK(!admission::StartNext(state, kStart + absl::Milliseconds(8001)));
  const auto expired =
    admission::Expire(state, kStart + absl::Milliseconds(8001));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].refusal_ == admission::Refusal::WaitedTooLong);
  CHECK(state.positions_.empty());
  CHECK(state.activeShare_ == 0.0);
}

TEST_CASE("the running and waiting limits of a workspace are enforced")
{
  admission::State state;
  state.slots_ = 100;
  const admission::Quota quota{ 1.0, 2, 3, 1e6 };
  for (std::uint64_t i = 0; i < 3; ++i) {
    const auto decision =
      admission::Admit(state, MakeRequest(i, "w"), quota, kStart);
    CHECK(decision.verdict_ == admission::Verdict::Queued);
  }
  const auto full = admission::Admit(state, MakeRequest(9, "w"), quota, kStart);
  CHECK(full.refusal_ == admission::Refusal::QueueFull);
  CHECK(admission::StartNext(state, kStart));
  CHECK(admission::StartNext(state, kStart));
  CHECK(!admission::StartNext(state, kStart));
  admission::FinishRequest(state, 0, kStart + absl::Seconds(1));
  CHECK(admission::StartNext(state, kStart + absl::Seconds(1)));
}

TEST_CASE("the rate limit spreads the retry times of refused callers")
{
  admission::State state;
  state.slots_ = 100;
  const admission::Quota quota{ 1.0, 100, 100, 2.0 };
  std::set<absl::Duration> times;
  int queued = 0;
  for (std::uint64_t i = 0; i < 22; ++i) {
    const auto decision =
      admission::Admit(state, MakeRequest(i, "w"), quota, kStart);
    if (decision.verdict_ == admission::Verdict::Queued) {
      ++queued;
      continue;
    }
    CHECK(decision.refusal_ == admission::Refusal::RateLimit);
    times.insert(decision.retryAfter_);
  }
  CHECK(queued == 2);
  CHECK(times.size() >= 19);
  CHECK(*times.rbegin() <= absl::Seconds(11));
}

TEST_CASE("a withdrawn request leaves the queue")
{
  admission::State state;
  state.slots_ = 1;
  admission::Admit(state, MakeRequest(1, "w"), UnlimitedQuota(), kStart);
  CHECK(admission::Withdraw(state, 1));
  CHECK(!admission::Withdraw(state, 1));
  CHECK(!admission::StartNext(state, kStart));
}

TEST_CASE("the state of idle workspaces is dropped")
{
  admission::State state;
  state.slots_ = 1;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const std::string name = "w" + std::to_string(i);
    admission::Admit(state, MakeRequest(i, name), UnlimitedQuota(), kStart);
    admission::Withdraw(state, i);
  }
  CHECK(state.workspaces_.size() == 1000);
  admission::RemoveIdleWorkspaces(state, kStart + absl::Minutes(3));
  CHECK(state.workspaces_.empty());
}

TEST_CASE("retries are limited to a share of the successes")
{
  admission::State state;
  config::Limits limits;
  limits.retryShare_ = 0.1;
  const admission::FailedAttempt attempt{
    "w", admission::RetryReason::TargetError, 1, kStart + absl::Hours(1), {}
  };
  int allowed = 0;
  for (int i = 0; i < 1000; ++i) {
    admission::RecordSuccess(state, "w", limits, kStart);
    const auto verdict = admission::TakeRetry(state, attempt, limits, kStart);
    allowed += verdict == admission::RetryVerdict::Allowed ? 1 : 0;
  }
  CHECK(allowed == Approx(101).margin(2));
}

TEST_CASE("a workspace can't use up the retry budget of another")
{
  admission::State state;
  const config::Limits limits;
  for (int i = 0; i < 2000; ++i) {
    admission::RecordSuccess(state, "calm", limits, kStart);
  }
  admission::FailedAttempt attempt{
    "broken", admission::RetryReason::TimedOut, 1, kStart + absl::Hours(1), {}
  };
  for (int i = 0; i < 500; ++i) {
    admission::TakeRetry(state, attempt, limits, kStart);
  }
  attempt.workspace_ = "calm";
  CHECK(admission::TakeRetry(state, attempt, limits, kStart) ==
        admission::RetryVerdict::Allowed);
}

TEST_CASE("a failing target is ejected and probed by one request")
{
  admission::TargetPool pool;
  admission::SetTargets(pool, { "t1", "t2", "t3", "t4" });
  for (int i = 0; i < 4; ++i) {
    CHECK(!admission::RecordFailure(pool, "t1", kStart));
  }
  CHECK(admission::RecordFailure(pool, "t1", kStart));
  CHECK(admission::AvailabilityOf(pool, "t1", kStart) ==
        admission::Availability::Ejected);
  const absl::Time later = kStart + absl::Seconds(3);
  REQUIRE(admission::AvailabilityOf(pool, "t1", later) ==
          admission::Availability::Probe);
  admission::RecordDispatch(pool, "t1", later);
  CHECK(admission::AvailabilityOf(pool, "t1", later) ==
        admission::Availability::Ejected);
  admission::RecordFailure(pool, "t1", later);
  CHECK(admission::AvailabilityOf(pool, "t1", later + absl::Seconds(3)) ==
        admission::Availability::Ejected);
  const absl::Time muchLater = later + absl::Seconds(6);
  REQUIRE(admission::AvailabilityOf(pool, "t1", muchLater) ==
          admission::Availability::Probe);
  admission::RecordDispatch(pool, "t1", muchLater);
  admission::RecordAnswer(pool, "t1", muchLater);
  CHECK(admission::AvailabilityOf(pool, "t1", muchLater) ==
        admission::Availability::Usable);
  CHECK(pool.ejectedCount_ == 0);
}

TEST_CASE("at most half of the targets are ejected")
{
  admission::TargetPool pool;
  std::vector<std::string> names;
  names.reserve(9);
  for (int i = 0; i < 9; ++i) {
    names.push_back("t" + std::to_string(i));
  }
  admission::SetTargets(pool, names);
  for (int round = 0; round < 50; ++round) {
    for (const auto& name : names) {
      admission::RecordFailure(pool, name, kStart);
    }
  }
  CHECK(pool.ejectedCount_ == 4);
}

namespace {

// An event of the overload simulation: an arrival or the end of an attempt.
struct SimEvent
{
  enum class Kind
  {
    Arrive,
    End,
  };
  absl::Time at_;
  std::uint64_t order_ = 0;
  Kind kind_ = Kind::Arrive;
  admission::Request request_;
  std::string target_;
  bool failed_ = false;
  std::uint32_t attempts_ = 1;

  friend bool operator<(const SimEvent& aLeft, const SimEvent& aRight)
  {
    return aLeft.at_ != aRight.at_ ? aLeft.at_ > aRight.at_
                                   : aLeft.order_ > aRight.order_;
  }
};

struct SimResult
{
  std::uint64_t arrivals_ = 0;
  std::uint64_t callerRetries_ = 0;
  std::uint64_t dispatched_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t failed_ = 0;
  // Answers and dispatches in the last third of the run, when the failing
  // targets are ejected.
  std::uint64_t lateAnswers_ = 0;
  std::uint64_t lateDispatches_ = 0;
};

constexpr int kSimTargets = 12;
constexpr std::uint32_t kRunsPerTarget = 4;
constexpr int kSimSeconds = 180;
constexpr double kLoadFactor = 2.0;
constexpr double kMeanCostSeconds = 0.4;

// The fault that begins after the first third of the run.
enum class SimFault
{
  // A third of the targets fail every request.
  TargetsGone,
  // All targets fail a third of their requests.
  AnswersFail,
};

// Simulates one host under twice the load that its targets can take, with a
// fault.
class OverloadSimulation
{
public:
  OverloadSimulation(std::uint64_t aSeed,
                     SimFault aFault,
                     const config::Limits& aLimits)
    : random_(aSeed)
    , fault_(aFault)
    , limits_(aLimits)
  {
    std::vector<std::string> names;
    for (int i = 0; i < kSimTargets; ++i) {
      names.push_back("t" + std::to_string(i));
      free_[names.back()] = kRunsPerTarget;
    }
    admission::SetTargets(pool_, names);
    state_.slots_ = kSimTargets * kRunsPerTarget;
  }

  SimResult Run()
  {
    AddArrivals();
    while (!events_.empty()) {
      const SimEvent event = events_.top();
      events_.pop();
      now_ = event.at_;
      Handle(event);
    }
    return result_;
  }

private:
  double Uniform()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  }

  void Push(SimEvent aEvent)
  {
    aEvent.order_ = order_++;
    events_.push(std::move(aEvent));
  }

  void AddArrivals()
  {
    const double capacity = kSimTargets * kRunsPerTarget / kMeanCostSeconds;
    std::exponential_distribution<double> gap(kLoadFactor * capacity);
    double at = 0.0;
    while ((at += gap(random_)) < kSimSeconds) {
      SimEvent event;
      event.at_ = kStart + absl::Seconds(at);
      event.request_ =
        MakeRequest(++order_, "w" + std::to_string(int(Uniform() * 10)));
      event.request_.cost_ = absl::Seconds(kMeanCostSeconds);
      Push(std::move(event));
    }
  }

  bool Fails(const std::string& aTarget)
  {
    const bool lost = fault_ == SimFault::TargetsGone
                        ? std::stoi(aTarget.substr(1)) % 3 == 0
                        : Uniform() < 1.0 / 3.0;
    return lost && now_ > kStart + absl::Seconds(kSimSeconds / 3);
  }

  bool IsLate() const
  {
    return now_ > kStart + absl::Seconds(2 * kSimSeconds / 3) &&
           now_ < kStart + absl::Seconds(kSimSeconds);
  }

  void Handle(const SimEvent& aEvent)
  {
    for (const auto& expired : admission::Expire(state_, now_)) {
      HandleRefusal(expired.request_, expired.retryAfter_);
    }
    if (aEvent.kind_ == SimEvent::Kind::Arrive) {
      Arrive(aEvent);
    } else {
      End(aEvent);
    }
    StartWaiting();
  }

  // A refused caller retries once, after the suggested time.
  void HandleRefusal(const admission::Request& aRequest,
                     absl::Duration aRetryAfter)
  {
    ++result_.refused_;
    const bool inTime =
      now_ + aRetryAfter < kStart + absl::Seconds(kSimSeconds);
    if (!inTime || !retriedIds_.insert(aRequest.id_).second) {
      return;
    }
    ++result_.callerRetries_;
    SimEvent again;
    again.at_ = now_ + aRetryAfter;
    again.request_ = aRequest;
    Push(std::move(again));
  }

  void Arrive(const SimEvent& aEvent)
  {
    ++result_.arrivals_;
    admission::Request request = aEvent.request_;
    request.deadline_ = now_ + absl::Seconds(3);
    const auto decision =
      admission::Admit(state_, request, UnlimitedQuota(), now_);
    if (decision.verdict_ == admission::Verdict::Refused) {
      HandleRefusal(request, decision.retryAfter_);
    }
  }

  void StartWaiting()
  {
    while (const auto request = admission::StartNext(state_, now_)) {
      Dispatch(*request, 1);
    }
  }

  std::string PickTarget()
  {
    std::string best;
    for (const auto& [name, free] : free_) {
      const auto is = admission::AvailabilityOf(pool_, name, now_);
      if (free == 0 || is == admission::Availability::Ejected) {
        continue;
      }
      if (is == admission::Availability::Probe) {
        return name;
      }
      if (best.empty() || free > free_.at(best)) {
        best = name;
      }
    }
    return best;
  }

  void Dispatch(const admission::Request& aRequest, std::uint32_t aAttempts)
  {
    const std::string target = PickTarget();
    if (target.empty()) {
      ++result_.failed_;
      admission::FinishRequest(state_, aRequest.id_, now_);
      return;
    }
    ++result_.dispatched_;
    result_.lateDispatches_ += IsLate() ? 1 : 0;
    --free_[target];
    admission::RecordDispatch(pool_, target, now_);
    SimEvent end;
    end.kind_ = SimEvent::Kind::End;
    end.request_ = aRequest;
    end.target_ = target;
    end.attempts_ = aAttempts;
    end.failed_ = Fails(target);
    end.at_ = now_ + aRequest.cost_ * (0.5 + Uniform());
    Push(std::move(end));
  }

  void End(const SimEvent& aEvent)
  {
    ++free_[aEvent.target_];
    if (!aEvent.failed_) {
      admission::RecordAnswer(pool_, aEvent.target_, now_);
      admission::RecordSuccess(
        state_, aEvent.request_.workspace_, limits_, now_);
      admission::FinishRequest(state_, aEvent.request_.id_, now_);
      ++result_.answered_;
      result_.lateAnswers_ += IsLate() ? 1 : 0;
      UpdateSlots();
      return;
    }
    admission::RecordFailure(pool_, aEvent.target_, now_);
    UpdateSlots();
    Retry(aEvent);
  }

  void Retry(const SimEvent& aEvent)
  {
    const admission::FailedAttempt attempt{ aEvent.request_.workspace_,
                                            admission::RetryReason::TargetError,
                                            aEvent.attempts_,
                                            aEvent.request_.deadline_,
                                            aEvent.request_.cost_ };
    const auto verdict = admission::TakeRetry(state_, attempt, limits_, now_);
    if (verdict == admission::RetryVerdict::Allowed) {
      ++result_.retries_;
      Dispatch(aEvent.request_, aEvent.attempts_ + 1);
      return;
    }
    ++result_.failed_;
    admission::FinishRequest(state_, aEvent.request_.id_, now_);
  }

  void UpdateSlots()
  {
    const auto used =
      kSimTargets - static_cast<std::uint32_t>(pool_.ejectedCount_);
    state_.slots_ = used * kRunsPerTarget;
  }

  std::mt19937_64 random_;
  SimFault fault_;
  config::Limits limits_;
  admission::State state_;
  admission::TargetPool pool_;
  std::map<std::string, std::uint32_t> free_;
  std::priority_queue<SimEvent> events_;
  std::set<std::uint64_t> retriedIds_;
  std::uint64_t order_ = 0;
  absl::Time now_ = kStart;
  SimResult result_;
};

} // namespace

namespace {

void
Print(const char* aName, const SimResult& aResult)
{
  std::printf("%s: arrivals=%llu returns=%llu dispatched=%llu retries=%llu "
              "answered=%llu refused=%llu failed=%llu\n",
              aName,
              static_cast<unsigned long long>(aResult.arrivals_),
              static_cast<unsigned long long>(aResult.callerRetries_),
              static_cast<unsigned long long>(aResult.dispatched_),
              static_cast<unsigned long long>(aResult.retries_),
              static_cast<unsigned long long>(aResult.answered_),
              static_cast<unsigned long long>(aResult.refused_),
              static_cast<unsigned long long>(aResult.failed_));
}

double
RetryShare(const SimResult& aResult)
{
  return double(aResult.retries_) / double(aResult.answered_);
}

} // namespace

TEST_CASE(
  "twofold overload with a third of the targets failing causes no retry storm")
{
  const config::Limits limits;
  const SimResult result =
    OverloadSimulation(Seed(7), SimFault::TargetsGone, limits).Run();
  Print("targets gone", result);
  const double lateCapacity = kSimTargets * kRunsPerTarget * 2.0 / 3.0 /
                              kMeanCostSeconds * kSimSeconds / 3.0;
  CHECK(double(result.lateAnswers_) > 0.9 * lateCapacity);
  CHECK(double(result.lateAnswers_) > 0.95 * double(result.lateDispatches_));
  CHECK(RetryShare(result) < limits.retryShare_ + 0.01);
}

TEST_CASE(
  "twofold overload with a third of the answers failing causes no retry storm")
{
  const config::Limits limits;
  const SimResult result =
    OverloadSimulation(Seed(7), SimFault::AnswersFail, limits).Run();
  Print("answers fail", result);
  CHECK(RetryShare(result) < limits.retryShare_ + 0.01);
  CHECK(double(result.lateAnswers_) > 0.6 * double(result.lateDispatches_));
}

TEST_CASE("the first failure after the host's start may be retried")
{
  admission::State state;
  const admission::FailedAttempt attempt{ "a",
                                          admission::RetryReason::TargetError,
                                          1,
                                          absl::InfiniteFuture(),
                                          absl::ZeroDuration() };
  CHECK(admission::TakeRetry(
          state, attempt, {}, absl::FromUnixSeconds(1'800'000'000)) ==
        admission::RetryVerdict::Allowed);
}

// Guards against shares that are rounded up, whose sum exceeds a workspace's
// limit when there are more hosts than requests it may run.
TEST_CASE("hosts keep a workspace's limits in total")
{
  const auto hosts = GENERATE(8U, 77U, 300U);
  config::Workspace workspace;
  workspace.maxRunning_ = 64;
  const auto quota = admission::QuotaOf(workspace, hosts);
  INFO(hosts << " hosts");
  CHECK(hosts * quota.maxRunning_ <= workspace.maxRunning_);
}

// Guards against a bucket of at least one request for each host, whose sum
// exceeds a second's worth when there are more hosts than that.
TEST_CASE("hosts keep a workspace's rate in total")
{
  const auto hosts = GENERATE(8U, 77U, 300U);
  config::Workspace workspace;
  workspace.requestsPerSecond_ = 10.0;
  const auto quota = admission::QuotaOf(workspace, hosts);
  unsigned admitted = 0;
  for (unsigned i = 0; i < hosts; ++i) {
    admission::State state;
    state.slots_ = 1;
    admission::Request request;
    request.workspace_ = "w";
    const auto decision =
      admission::Admit(state, request, quota, absl::FromUnixSeconds(1000));
    admitted += decision.verdict_ == admission::Verdict::Queued ? 1 : 0;
  }
  INFO(hosts << " hosts");
  CHECK(admitted <= 10);
}
