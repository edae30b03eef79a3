#include "load/run.h"

#include <atomic>
#include <set>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <absl/synchronization/mutex.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "load/completion-reader.h"
#include "load/experiment-report.h"
#include "load/report.h"
#include "load/statistics.h"
#include "standin/standin.h"

namespace config = lycheeplank::config;
namespace core = lycheeplank::core;
namespace net = lycheeplank::net;
namespace standin = lycheeplank::standin;
using namespace lycheeplank::load;
using Json = nlohmann::json;

namespace {

constexpr std::uint32_t kBlockTokens = 8;

TraceOptions
ShortTrace(Profile aProfile)
{
  TraceOptions options;
  options.profile_ = aProfile;
  options.requestsPerSecond_ = 40.0;
  options.duration_ = absl::Seconds(1);
  options.minReuseGap_ = absl::Milliseconds(100);
  options.workspaces_ = 3;
  return options;
}

// Returns a trace of drafts that arrive at the given seconds and use the given
// documents.
Trace
DraftTrace(const std::vector<std::pair<double, std::uint32_t>>& aDrafts,
           std::vector<Document> aDocuments)
{
  Trace trace;
  trace.documents_ = std::move(aDocuments);
  std::vector<absl::Duration> last(trace.documents_.size(),
                                   absl::InfiniteDuration());
  for (const auto& [second, document] : aDrafts) {
    Arrival arrival;
    arrival.at_ = absl::Seconds(second);
    arrival.document_ = document;
    if (last[document] != absl::InfiniteDuration()) {
      arrival.reuseGap_ = arrival.at_ - last[document];
    }
    last[document] = arrival.at_;
    trace.arrivals_.push_back(arrival);
  }
  return trace;
}

std::vector<Origin>
OriginsOf(const std::vector<BoundStep>& aSteps)
{
  std::vector<Origin> origins;
  origins.reserve(aSteps.size());
  for (const BoundStep& step : aSteps) {
    origins.push_back(step.origin_);
  }
  return origins;
}

// How the fake entry host misbehaves.
struct Misbehaviour
{
  // Cuts each stream once, after half of its tokens.
  bool cutStreams_ = false;
  // Answers each completion with the text of another prompt.
  bool answerOtherPrompts_ = false;
  // Sends each call to the service twice.
  bool duplicateCalls_ = false;
  // Executes calls and then refuses them as not executed.
  bool falselyRefuseCalls_ = false;
  // Refuses completions.
  bool refuseCompletions_ = false;
};

std::string
Url(std::uint16_t aPort)
{
  return absl::StrCat("http://127.0.0.1:", aPort);
}

// An entry host that generates completions itself and forwards service calls.
class FakeEntry
{
public:
  FakeEntry(Misbehaviour aMisbehaviour, std::string aServiceUrl)
    : misbehaviour_(aMisbehaviour)
    , serviceUrl_(std::move(aServiceUrl))
    , server_({}, [this](const std::shared_ptr<net::Exchange>& aExchange) {
      Handle(aExchange);
    })
  {
  }

  std::string HttpUrl() const { return Url(server_.Port()); }

private:
  using ExchangePtr = std::shared_ptr<net::Exchange>;

  void Handle(const ExchangePtr& aExchange)
  {
    const std::string& path = aExchange->request_.path_;
    if (path == "/v1/entries") {
      const Json list{ { "ttl_ms", 1000 },
                       { "entries",
                         { { { "name", "e1" }, { "http", HttpUrl() } } } } };
      aExchange->Reply(200, {}, list.dump());
    } else if (path == "/v1/completions") {
      Complete(aExchange);
    } else {
      ForwardToService(aExchange);
    }
  }

  void Complete(const ExchangePtr& aExchange)
  {
    if (misbehaviour_.refuseCompletions_) {
      aExchange->Reply(503, {}, R"({"kind":"queue_full","run":"no"})");
      return;
    }
    const Json body = Json::parse(aExchange->request_.body_);
    const auto prompt = body.at("prompt").get<std::string>();
    const auto tokens = body.at("max_tokens").get<std::uint32_t>();
    const std::string text =
      ExpectedText(misbehaviour_.answerOtherPrompts_ ? prompt + "x" : prompt,
                   "wording",
                   "v1",
                   tokens);
    std::uint32_t next = 0;
    const auto resumed =
      net::FindField(aExchange->request_.headers_, "Last-Event-ID");
    const bool cut = misbehaviour_.cutStreams_ && resumed.empty();
    if (absl::SimpleAtoi(resumed, &next)) {
      ++next;
    }
    aExchange->BeginStream(200, {});
    for (; next < (cut ? tokens / 2 : tokens); ++next) {
      const Json event{
        { "choices",
          { { { "index", 0 }, { "text", text.substr(next * 4ULL, 4) } } } }
      };
      aExchange->Write(net::FormatSse(absl::StrCat(next), event.dump()));
    }
    if (cut) {
      aExchange->Abort();
      return;
    }
    aExchange->Write(net::FormatSse(
      "", R"({"choices":[{"text":"","finish_reason":"length"}]})"));
    aExchange->Write(net::FormatSse("", "[DONE]"));
    aExchange->End();
  }

  void ForwardToService(const ExchangePtr& aExchange)
  {
    net::Call call;
    call.method_ = "POST";
    const std::string& path = aExchange->request_.path_;
    call.url_ = serviceUrl_ + "/v1/calls" + path.substr(path.find_last_of('/'));
    call.headers_ = { { "Idempotency-Key",
                        std::string(net::FindField(aExchange->request_.headers_,
                                                   "Idempotency-Key")) } };
    call.body_ = aExchange->request_.body_;
    if (misbehaviour_.duplicateCalls_) {
      client_.Fetch(call, [](net::Answer&&) {});
    }
    client_.Fetch(call, [this, aExchange](net::Answer&& aAnswer) {
      if (misbehaviour_.falselyRefuseCalls_) {
        aExchange->Reply(503, {}, R"({"kind":"no_target","run":"no"})");
      } else {
        aExchange->Reply(aAnswer.end_.status_, {}, aAnswer.body_);
      }
    });
  }

  Misbehaviour misbehaviour_;
  std::string serviceUrl_;
  net::Client client_;
  net::Server server_;
};

// Runs a short trace against a fake entry host and real stand-ins. The given
// fault is injected halfway through the trace.
Report
RunWithFakeEntry(Misbehaviour aMisbehaviour,
                 Profile aProfile = Profile::CoOperative,
                 FaultKind aFault = FaultKind::None)
{
  standin::EngineOptions engineOptions;
  engineOptions.blockTokens_ = kBlockTokens;
  const auto engine = standin::StartEngine(engineOptions);
  const auto service = standin::StartService({});
  const auto store = standin::StartStore({});
  FakeEntry entry(aMisbehaviour, Url(service->Port()));
  Cluster cluster;
  cluster.entries_ = { { "e1", entry.HttpUrl() } };
  cluster.engines_ = { { "g1", Url(engine->Port()) } };
  cluster.services_ = { { "s1", Url(service->Port()) } };
  cluster.stores_ = { { "t1", Url(store->Port()) } };
  cluster.workspaces_ = { { "w1", "k1" }, { "w2", "k2" } };
  const auto commands = PlanFault(cluster, aFault, 1);
  REQUIRE(commands);
  return MakeReport(RunTrace(
    cluster, ShortTrace(aProfile), { absl::Milliseconds(500), *commands }));
}

// Returns a cluster whose members have no running process.
Cluster
UnservedCluster(std::size_t aEngines, std::size_t aStores)
{
  Cluster cluster;
  for (std::size_t at = 0; at < aEngines; ++at) {
    cluster.engines_.push_back({ absl::StrCat("engine-", at), Url(1) });
  }
  for (std::size_t at = 0; at < aStores; ++at) {
    cluster.stores_.push_back({ absl::StrCat("store-", at), Url(1) });
  }
  return cluster;
}

// Returns "name body" for each command, or the kind of the error if planning
// fails.
std::vector<std::string>
PlannedCommands(const Cluster& aCluster, FaultKind aKind, std::uint64_t aSeed)
{
  return core::HandleError(
    [&]() -> core::Result<std::vector<std::string>> {
      BOOST_LEAF_AUTO(commands, PlanFault(aCluster, aKind, aSeed));
      std::vector<std::string> texts;
      texts.reserve(commands.size());
      for (const FaultCommand& command : commands) {
        texts.push_back(
          absl::StrCat(command.member_.name_, " ", command.body_));
      }
      return texts;
    },
    [](const core::Error& aError) {
      return std::vector<std::string>{ std::string(
        core::TraitsOf(aError.kind_).name_) };
    });
}

} // namespace

TEST_CASE(
  "equal options give equal traces and another seed gives another trace")
{
  TraceOptions options = ShortTrace(Profile::CoOperative);
  options.duration_ = absl::Seconds(20);
  const auto fingerprint = [](const Trace& aTrace) {
    std::string text;
    for (const Arrival& arrival : aTrace.arrivals_) {
      absl::StrAppend(&text,
                      absl::ToInt64Microseconds(arrival.at_),
                      core::NameOf(kTasks, arrival.task_),
                      arrival.workspace_,
                      arrival.document_,
                      arrival.nonce_);
    }
    return text;
  };
  const std::string first = fingerprint(MakeTrace(options));
  CHECK(first == fingerprint(MakeTrace(options)));
  options.seed_ = 2;
  CHECK(first != fingerprint(MakeTrace(options)));
}

TEST_CASE("arrivals have the configured rate, are in order and precede the end")
{
  TraceOptions options = ShortTrace(Profile::Authority);
  options.duration_ = absl::Seconds(100);
  const Trace trace = MakeTrace(options);
  CHECK(trace.arrivals_.size() > 3600);
  CHECK(trace.arrivals_.size() < 4400);
  absl::Duration last = absl::ZeroDuration();
  for (const Arrival& arrival : trace.arrivals_) {
    CHECK(arrival.at_ >= last);
    last = arrival.at_;
  }
  CHECK(last < options.duration_);
}

TEST_CASE("each kind of request has its share of the arrivals")
{
  for (const auto& profile : kProfiles) {
    TraceOptions options = ShortTrace(profile.value_);
    options.duration_ = absl::Seconds(200);
    const Trace trace = MakeTrace(options);
    double shares = 0.0;
    for (const TaskTraits& task : TasksOf(profile.value_)) {
      const auto count = std::count_if(
        trace.arrivals_.begin(), trace.arrivals_.end(), [&](const auto& aEach) {
          return aEach.task_ == task.task_;
        });
      CHECK(static_cast<double>(count) / trace.arrivals_.size() ==
            Approx(task.share_).margin(0.03));
      shares += task.share_;
    }
    CHECK(shares == Approx(1.0));
  }
}

TEST_CASE("a document is reused by its own workspace after the shortest gap")
{
  TraceOptions options = ShortTrace(Profile::CoOperative);
  options.duration_ = absl::Seconds(20);
  options.minReuseGap_ = absl::Seconds(2);
  const Trace trace = MakeTrace(options);
  std::set<std::uint32_t> seen;
  std::size_t reuses = 0;
  for (const Arrival& arrival : trace.arrivals_) {
    if (arrival.task_ != Task::Draft) {
      continue;
    }
    const bool isNew = seen.insert(arrival.document_).second;
    CHECK(isNew == (arrival.reuseGap_ == absl::ZeroDuration()));
    CHECK((isNew || arrival.reuseGap_ >= options.minReuseGap_));
    CHECK(trace.documents_[arrival.document_].workspace_ == arrival.workspace_);
    reuses += isNew ? 0 : 1;
  }
  CHECK(reuses > 50);
}

TEST_CASE("prompts share the blocks of a common document and no others")
{
  const Trace trace =
    DraftTrace({ { 0, 0 }, { 1, 0 }, { 2, 1 } }, { { 0, 3 }, { 0, 3 } });
  const auto chain = [&](std::size_t aIndex) {
    Arrival arrival = trace.arrivals_[aIndex];
    arrival.nonce_ = aIndex;
    return core::BlockChain(
      {}, PromptOf(trace, arrival, kBlockTokens), kBlockTokens);
  };
  const auto first = chain(0);
  const auto second = chain(1);
  REQUIRE(first.size() >= 3);
  REQUIRE(second.size() >= 3);
  CHECK(std::equal(first.begin(), first.begin() + 3, second.begin()));
  CHECK(first[0] != chain(2)[0]);
}

TEST_CASE("percentiles are chosen by nearest rank")
{
  std::vector<double> samples;
  for (int i = 100; i > 0; --i) {
    samples.push_back(i);
  }
  const Summary summary = Summarise(samples);
  CHECK(summary.count_ == 100);
  CHECK(summary.mean_ == Approx(50.5));
  CHECK(summary.p50_ == 50.0);
  CHECK(summary.p95_ == 95.0);
  CHECK(summary.p99_ == 99.0);
  CHECK(summary.max_ == 100.0);
  CHECK(Summarise({}).p99_ == 0.0);
  CHECK(Summarise({ 7.0 }).p50_ == 7.0);
}

TEST_CASE("the bound caches the documents that are reused soonest")
{
  const Trace trace =
    DraftTrace({ { 0, 0 }, { 1, 1 }, { 2, 2 }, { 3, 1 }, { 4, 2 }, { 5, 0 } },
               { { 0, 2 }, { 0, 2 }, { 0, 2 } });
  Hardware hardware;
  hardware.blockTokens_ = 1000;
  hardware.prefillTokensPerSecond_ = 1000;
  hardware.kvBytesPerToken_ = 1;
  hardware.linkBytesPerSecond_ = 2000;
  hardware.cacheBlocks_ = 4;
  const auto steps = ClairvoyantBound(trace, hardware);
  CHECK(OriginsOf(steps) == std::vector<Origin>{ Origin::New,
                                                 Origin::New,
                                                 Origin::New,
                                                 Origin::Memory,
                                                 Origin::Memory,
                                                 Origin::Import });
  CHECK(steps[5].linkBytes_ == 2000);
  CHECK(absl::ToDoubleSeconds(steps[5].firstToken_) ==
        Approx(1.0).margin(0.05));
  CHECK(absl::ToDoubleSeconds(steps[0].firstToken_) ==
        Approx(2.0).margin(0.05));
}

TEST_CASE("the bound recomputes a document if the link is slower")
{
  const Trace trace = DraftTrace({ { 0, 0 }, { 1, 0 } }, { { 0, 2 } });
  Hardware hardware;
  hardware.blockTokens_ = 1000;
  hardware.prefillTokensPerSecond_ = 1000;
  hardware.kvBytesPerToken_ = 1000;
  hardware.linkBytesPerSecond_ = 1000;
  hardware.cacheBlocks_ = 1;
  const auto steps = ClairvoyantBound(trace, hardware);
  CHECK(steps[1].origin_ == Origin::Recompute);
  const BoundSummary summary = SummariseBound(steps);
  CHECK(summary.recomputedShare_ == Approx(0.5).margin(0.01));
  CHECK(summary.linkBytes_ == 0);
}

TEST_CASE("latencies before the end of the warm-up are not reported")
{
  RunResult result;
  result.trace_ =
    DraftTrace({ { 0, 0 }, { 1, 1 }, { 2, 0 } }, { { 0, 2 }, { 0, 4 } });
  result.trace_.options_.warmUp_ = absl::Seconds(1);
  for (const double milliseconds : { 900.0, 20.0, 10.0 }) {
    Outcome outcome;
    outcome.end_ = EndState::Answered;
    outcome.firstToken_ = absl::Milliseconds(milliseconds);
    result.outcomes_.push_back(outcome);
  }
  const Report report = MakeReport(result);
  CHECK(report.answered_ == 3);
  CHECK(report.firstToken_.count_ == 2);
  CHECK(report.firstToken_.max_ == 20.0);
  Hardware hardware;
  hardware.cacheBlocks_ = 8;
  const auto steps = ClairvoyantBound(result.trace_, hardware);
  CHECK(SummariseBound(steps).firstToken_.count_ == 3);
  const auto warm = SummariseBound(steps, absl::Seconds(2));
  CHECK(warm.firstToken_.count_ == 1);
  CHECK(warm.recomputedShare_ == SummariseBound(steps).recomputedShare_);
}

TEST_CASE("a stream is parsed across chunk boundaries")
{
  Completion completion;
  net::SseParser parser;
  const std::string stream =
    net::FormatSse("a", R"({"choices":[{"text":" abc"}]})") +
    net::FormatSse("b", R"({"choices":[{"text":" def"}]})") +
    net::FormatSse("",
                   R"({"choices":[{"text":"","finish_reason":"length"}]})") +
    net::FormatSse("", "[DONE]");
  for (const char byte : stream) {
    ParseChunk(
      completion, parser, absl::string_view(&byte, 1), absl::UnixEpoch());
  }
  CHECK(completion.text_ == " abc def");
  CHECK(completion.tokens_ == 2);
  CHECK(completion.tokenGaps_.size() == 1);
  CHECK(completion.lastEventId_ == "b");
  CHECK(completion.done_);
}

TEST_CASE("an error within a stream is a refusal")
{
  Completion completion;
  net::SseParser parser;
  ParseChunk(
    completion,
    parser,
    net::FormatSse("", R"({"error":{"kind":"target_failed","run":"yes"}})"),
    absl::UnixEpoch());
  REQUIRE(completion.problem_);
  CHECK(completion.problem_->kind_ == "target_failed");
  CHECK(completion.problem_->runState_ == "yes");
}

TEST_CASE("a completion is correct under any weight version that was served")
{
  Completion completion;
  completion.text_ = ExpectedText("p", "wording", "v2", 3);
  completion.tokens_ = 3;
  completion.done_ = true;
  completion.finishReason_ = "length";
  CHECK(IsCorrect(completion, "p", "wording", { "v1", "v2" }, 3));
  CHECK_FALSE(IsCorrect(completion, "p", "wording", { "v1" }, 3));
  CHECK_FALSE(IsCorrect(completion, "q", "wording", { "v1", "v2" }, 3));
  CHECK_FALSE(IsCorrect(completion, "p", "wording", { "v1", "v2" }, 4));
  completion.done_ = false;
  CHECK_FALSE(IsCorrect(completion, "p", "wording", { "v1", "v2" }, 3));
}

TEST_CASE("the audit counts foreign and stale blocks, and calls by key")
{
  Audit audit;
  const Json engine{
    { "runs",
      { { { "cache_salt", "w0" },
          { "weight_version", "v1" },
          { "prompt_tokens", 5 },
          { "computed_tokens", 5 },
          { "cached_blocks", 0 },
          { "imported_blocks", 0 },
          { "blocks", Json::array() } },
        { { "cache_salt", "w1" },
          { "weight_version", "v2" },
          { "prompt_tokens", 30 },
          { "computed_tokens", 10 },
          { "cached_blocks", 2 },
          { "imported_blocks", 0 },
          { "blocks",
            { { { "cache_salt", "w1" }, { "weight_version", "v1" } },
              { { "cache_salt", "w2" }, { "weight_version", "v2" } } } } } } }
  };
  AddEngineRuns(audit, engine.dump(), 1);
  CHECK(audit.runs_ == 1);
  CHECK(audit.promptTokens_ == 30);
  CHECK(audit.computedTokens_ == 10);
  CHECK(audit.foreignBlocks_ == 1);
  CHECK(audit.staleBlocks_ == 1);
  AddServiceCalls(audit, R"({"calls":[{"key":"a"},{"key":""},{"key":"a"}]})");
  CHECK(audit.callsByKey_.at("a") == 2);
  CHECK(audit.callsByKey_.size() == 1);
}

TEST_CASE("a cluster file without entry hosts is rejected")
{
  const auto read = [](const std::string& aText) {
    return core::HandleError(
      [&]() -> core::Result<std::string> {
        BOOST_LEAF_AUTO(cluster, ParseCluster(aText));
        return cluster.engines_.at(0).http_;
      },
      [](const core::Error& aError) {
        return std::string(core::TraitsOf(aError.kind_).name_);
      });
  };
  CHECK(read("{}") == "config_invalid");
  CHECK(read(R"({"entries":[],"targets":[],"stores":[],"workspaces":[]})") ==
        "config_invalid");
  CHECK(read(R"({"entries":[{"name":"e","http":"h"}],
                 "targets":[{"name":"g","kind":"engine","http":"x"}],
                 "stores":[],"workspaces":[{"name":"w","key":"k"}]})") == "x");
}

TEST_CASE("a run against a correct system is clean")
{
  for (const auto& profile : kProfiles) {
    const Report report = RunWithFakeEntry({}, profile.value_);
    CHECK(report.requests_ > 20);
    CHECK(report.answered_ == report.requests_);
    CHECK(report.repeats_ == 0);
    CHECK(IsClean(report));
    CHECK(FormatTable(report).find("answered") != std::string::npos);
    CHECK(Json::parse(FormatJson(report)).at("clean") == true);
  }
}

TEST_CASE("cut streams are resumed and completed")
{
  Misbehaviour misbehaviour;
  misbehaviour.cutStreams_ = true;
  const Report report = RunWithFakeEntry(misbehaviour);
  CHECK(report.resumes_ > 0);
  CHECK(IsClean(report));
}

TEST_CASE("answers to other prompts are detected")
{
  Misbehaviour misbehaviour;
  misbehaviour.answerOtherPrompts_ = true;
  const Report report = RunWithFakeEntry(misbehaviour);
  CHECK(report.wrong_ > 0);
  CHECK_FALSE(IsClean(report));
}

TEST_CASE("calls that were executed twice are detected")
{
  Misbehaviour misbehaviour;
  misbehaviour.duplicateCalls_ = true;
  const Report report = RunWithFakeEntry(misbehaviour, Profile::Authority);
  CHECK(report.duplicates_ > 0);
  CHECK_FALSE(IsClean(report));
}

TEST_CASE("refused calls that were executed are detected")
{
  Misbehaviour misbehaviour;
  misbehaviour.falselyRefuseCalls_ = true;
  const Report report = RunWithFakeEntry(misbehaviour);
  CHECK(report.falseRefusals_ > 0);
  CHECK(report.refusals_.at("no_target") > 0);
  CHECK_FALSE(IsClean(report));
}

TEST_CASE("refusals are counted by kind")
{
  Misbehaviour misbehaviour;
  misbehaviour.refuseCompletions_ = true;
  const Report report = RunWithFakeEntry(misbehaviour);
  CHECK(report.refusals_.at("queue_full") > 0);
  CHECK(report.refusals_.size() == 1);
}

TEST_CASE(
  "the kind of fault sets the number of members and the seed selects them")
{
  const Cluster cluster = UnservedCluster(8, 2);
  CHECK(PlannedCommands(cluster, FaultKind::None, 1).empty());
  std::set<std::vector<std::string>> stores;
  std::set<std::vector<std::string>> engines;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto down = PlannedCommands(cluster, FaultKind::StoreDown, seed);
    REQUIRE(down.size() == 1);
    CHECK(absl::EndsWith(down[0], R"( {"fault":"down"})"));
    stores.insert(down);
    const auto slow = PlannedCommands(cluster, FaultKind::SlowLink, seed);
    REQUIRE(slow.size() == 1);
    CHECK(absl::StartsWith(slow[0], "store-"));
    CHECK(absl::EndsWith(slow[0], R"( {"fault":"slow","factor":10})"));
    const auto gone = PlannedCommands(cluster, FaultKind::EnginesDown, seed);
    REQUIRE(gone.size() == 2);
    CHECK(absl::StartsWith(gone[0], "engine-"));
    CHECK(gone[0] < gone[1]);
    CHECK(gone == PlannedCommands(cluster, FaultKind::EnginesDown, seed));
    engines.insert(gone);
  }
  CHECK(stores.size() == 2);
  CHECK(engines.size() > 2);
}

TEST_CASE("a cluster that is too small for a fault is rejected")
{
  const std::vector<std::string> refused{ "config_invalid" };
  CHECK(PlannedCommands(UnservedCluster(3, 0), FaultKind::StoreDown, 1) ==
        refused);
  CHECK(PlannedCommands(UnservedCluster(3, 0), FaultKind::SlowLink, 1) ==
        refused);
  CHECK(PlannedCommands(UnservedCluster(2, 1), FaultKind::EnginesDown, 1) ==
        refused);
}

TEST_CASE("members are audited after their fault has ended")
{
  const Report report =
    RunWithFakeEntry({}, Profile::CoOperative, FaultKind::StoreDown);
  CHECK(report.unconfirmed_.empty());
  CHECK(IsClean(report));
  CHECK(report.unreachable_.empty());
}

TEST_CASE("a run with an unconfirmed fault is not clean")
{
  net::Client client;
  const auto commands =
    PlanFault(UnservedCluster(3, 1), FaultKind::StoreDown, 1);
  REQUIRE(commands);
  Report report;
  CHECK(IsClean(report));
  report.unconfirmed_ = SendFaultCommands(client, *commands);
  CHECK(report.unconfirmed_ == std::vector<std::string>{ "store-0" });
  CHECK_FALSE(IsClean(report));
}

TEST_CASE(
  "link utilisation is the bytes carried divided by the links' capacity")
{
  RunResult result;
  result.hardware_.linkBytesPerSecond_ = 100.0;
  result.hardware_.stores_ = 2;
  result.elapsed_ = absl::Seconds(10);
  result.audit_.linkBytes_ = 500;
  CHECK(MakeReport(result).linkUtilisation_ == Approx(0.25));
  result.elapsed_ = absl::ZeroDuration();
  CHECK(MakeReport(result).linkUtilisation_ == 0.0);
}

TEST_CASE(
  "the files of an experiment have a line for each policy and the bound")
{
  Report report;
  report.firstToken_.p50_ = 12.0;
  report.firstToken_.p95_ = 30.0;
  report.bound_.firstToken_.p95_ = 20.0;
  report.recomputedShare_ = 0.25;
  report.linkUtilisation_ = 0.5;
  report.refusals_ = { { "no_target", 1 }, { "queue_full", 2 } };
  Report slower = report;
  slower.firstToken_.p50_ = 14.0;
  const std::vector<PolicyResult> results{
    { config::Policy::Estimate, { report, slower } },
    { config::Policy::Sticky, { report, report } }
  };
  CHECK(FormatPolicyCsv(results) ==
        "policy,p50,p95,p99,recomputed_share,link_bytes,link_use\n"
        "estimate,13.00,30.00,0.00,0.2500,0,0.5000\n"
        "sticky,12.00,30.00,0.00,0.2500,0,0.5000\n"
        "bound,0.00,20.00,0.00,0.0000,0,0.0000\n");
  CHECK(absl::StrContains(FormatRunCsv({}, results),
                          "estimate,2,14.00,30.00,0.00,0.2500,0,0.5000\n"));
  const FaultOptions fault{ FaultKind::SlowLink, absl::Seconds(7) };
  const std::string text = FormatExperiment({}, fault, results);
  CHECK(absl::StrContains(text, "with the fault slow-link at 7 s"));
  CHECK(absl::StrContains(text, "| estimate | 13 (12 to 14) | 30 | +50% |"));
  CHECK(absl::StrContains(text, "| estimate | no_target 2, queue_full 4 |"));
  CHECK(absl::StrContains(text, "| sticky | 12 |"));
  CHECK(absl::StrContains(text, "| clairvoyant bound |"));
}
