#include "standin/standin.h"

#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "lycheeplank/core.h"
#include "lycheeplank/net.h"
#include "standin/link.h"
#include "standin/prefix-cache.h"
#include "standin/token-text.h"

namespace core = lycheeplank::core;
namespace net = lycheeplank::net;
using namespace lycheeplank::standin;
using Json = nlohmann::json;

namespace {

constexpr std::uint32_t kBlockTokens = 4;
constexpr std::size_t kBlockBytes = kBlockTokens * core::kBytesPerToken;
constexpr absl::Duration kWaitTimeout = absl::Seconds(10);

std::string
UrlOf(const StandinServer& aServer, absl::string_view aPath = "")
{
  return absl::StrCat("http://127.0.0.1:", aServer.Port(), aPath);
}

// Calls a stand-in and waits for the response.
net::Answer
Send(const StandinServer& aServer,
     const std::string& aMethod,
     absl::string_view aPath,
     const std::string& aBody = "",
     std::vector<net::Field> aHeaders = {})
{
  static net::Client client;
  return client.FetchAndWait(
    { aMethod, UrlOf(aServer, aPath), std::move(aHeaders), aBody });
}

Json
Get(const StandinServer& aServer, absl::string_view aPath)
{
  const auto answer = Send(aServer, "GET", aPath);
  REQUIRE(answer.Ok());
  return Json::parse(answer.body_);
}

void
SetFault(const StandinServer& aServer, const Json& aFault)
{
  REQUIRE(Send(aServer, "POST", "/fault", aFault.dump()).Ok());
}

// Waits until a condition holds; returns false on a timeout.
template<typename Condition>
bool
Eventually(Condition aCondition)
{
  const absl::Time end = absl::Now() + kWaitTimeout;
  while (absl::Now() < end) {
    if (aCondition()) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(5));
  }
  return false;
}

std::string
VersionOf(const net::Answer& aAnswer)
{
  return std::string(net::FindField(aAnswer.headers_, "X-Version"));
}

// Returns the events of a run's stream as JSON; the end marker is a string.
std::vector<Json>
EventsOf(const net::Answer& aAnswer)
{
  net::SseParser parser;
  std::vector<Json> events;
  for (const auto& event : parser.Feed(aAnswer.body_)) {
    events.push_back(event.data_ == "[DONE]" ? Json("[DONE]")
                                             : Json::parse(event.data_));
  }
  return events;
}

std::string
TextOf(const std::vector<Json>& aEvents)
{
  std::string text;
  for (const Json& event : aEvents) {
    if (event.is_object() && event.contains("text")) {
      text += event["text"].get<std::string>();
    }
  }
  return text;
}

std::string
ExpectedText(const std::string& aPrompt,
             const std::string& aVersion,
             std::uint64_t aTokens)
{
  const std::uint64_t seed = TextSeed(aPrompt, "wording", aVersion);
  std::string text;
  for (std::uint64_t at = 0; at < aTokens; ++at) {
    text += TokenText(seed, at);
  }
  return text;
}

EngineOptions
FastEngine()
{
  EngineOptions options;
  options.blockTokens_ = kBlockTokens;
  options.tokenTime_ = absl::Milliseconds(1);
  options.prefillTokensPerSecond_ = 1e6;
  return options;
}

// Returns a prompt of whole blocks, one for each letter; equal letters give
// equal text.
std::string
Prompt(absl::string_view aBlocks)
{
  std::string prompt;
  for (const char letter : aBlocks) {
    prompt.append(kBlockBytes, letter);
  }
  return prompt;
}

Json
RunBody(const std::string& aId, const std::string& aPrompt, int aTokens = 3)
{
  return { { "model", "wording" },
           { "prompt", aPrompt },
           { "max_tokens", aTokens },
           { "run_id", aId },
           { "cache_salt", "w1" } };
}

std::vector<Json>
Complete(const StandinServer& aEngine, const Json& aBody)
{
  const auto answer = Send(aEngine, "POST", "/v1/completions", aBody.dump());
  REQUIRE(answer.Ok());
  auto events = EventsOf(answer);
  REQUIRE(events.size() >= 2);
  REQUIRE(events.back() == "[DONE]");
  return events;
}

// Exports blocks and returns the finished export.
Json
ExportAndWait(const StandinServer& aEngine,
              const StandinServer& aStore,
              const Json& aKeys)
{
  const auto answer =
    Send(aEngine,
         "POST",
         "/v1/exports",
         Json({ { "store_url", UrlOf(aStore) }, { "blocks", aKeys } }).dump());
  REQUIRE(answer.end_.status_ == 202);
  const std::string path =
    "/v1/exports/" + Json::parse(answer.body_)["export"].get<std::string>();
  Json state;
  REQUIRE(Eventually([&] {
    state = Get(aEngine, path);
    return state["state"] != "running";
  }));
  return state;
}

// Writes and commits a block and returns its generation.
std::uint64_t
WriteBlock(const StandinServer& aStore,
           const std::string& aKey,
           const std::string& aPayload,
           std::uint64_t aBytes = 1000)
{
  const auto begun = Send(aStore,
                          "POST",
                          absl::StrCat("/v1/blocks/", aKey, "/begin"),
                          Json({ { "bytes", aBytes },
                                 { "checksum", core::Sha256Hex(aPayload) },
                                 { "length", aPayload.size() },
                                 { "root", aKey } })
                            .dump());
  REQUIRE(begun.Ok());
  const auto generation =
    Json::parse(begun.body_)["generation"].get<std::uint64_t>();
  const std::string query = absl::StrCat("?generation=", generation);
  REQUIRE(Send(aStore, "PUT", "/v1/blocks/" + aKey + query, aPayload).Ok());
  REQUIRE(Send(aStore, "POST", "/v1/blocks/" + aKey + "/commit" + query).Ok());
  return generation;
}

std::string
BlockPath(const std::string& aKey, std::uint64_t aGeneration)
{
  return absl::StrCat("/v1/blocks/", aKey, "?generation=", aGeneration);
}

const std::string kKey(32, 'a');
const std::string kOtherKey(32, 'b');

} // namespace

TEST_CASE("a fault is set, applied and cleared, and an unknown one is refused")
{
  const auto service = StartService({});
  SetFault(*service, { { "fault", "down" }, { "ms", 0 } });
  CHECK_FALSE(Send(*service, "GET", "/healthz").end_.completed_);
  CHECK(Get(*service, "/executions").contains("calls"));
  SetFault(*service, { { "fault", "none" } });
  CHECK(Send(*service, "GET", "/healthz").Ok());
  const auto unknown =
    Send(*service, "POST", "/fault", R"({"fault":"earthquake"})");
  CHECK(unknown.end_.status_ == 400);
}

TEST_CASE("a stand-in that is down for a limited time recovers by itself")
{
  const auto service = StartService({});
  SetFault(*service, { { "fault", "down" }, { "ms", 100 } });
  CHECK_FALSE(Send(*service, "GET", "/healthz").end_.completed_);
  CHECK(Eventually([&] { return Send(*service, "GET", "/healthz").Ok(); }));
}

TEST_CASE("a call with a lost reply is executed, a refused call is not")
{
  const auto service = StartService({});
  SetFault(
    *service,
    { { "fault", "lose_reply" }, { "count", 1 }, { "match", "/issue" } });
  CHECK(Send(*service, "POST", "/v1/calls/other", "x").Ok());
  CHECK_FALSE(Send(*service, "POST", "/v1/calls/issue", "x").end_.completed_);
  CHECK(Get(*service, "/executions")["calls"].size() == 2);

  SetFault(*service,
           { { "fault", "refuse" }, { "count", 1 }, { "status", 503 } });
  CHECK(Send(*service, "POST", "/v1/calls/issue", "x").end_.status_ == 503);
  CHECK(Get(*service, "/executions")["calls"].size() == 2);
  CHECK(Send(*service, "POST", "/v1/calls/issue", "x").Ok());
}

TEST_CASE("a slow stand-in replies late but completely")
{
  const auto service = StartService({});
  SetFault(*service, { { "fault", "slow" }, { "ms", 50 }, { "factor", 2 } });
  const absl::Time start = absl::Now();
  CHECK(Send(*service, "POST", "/v1/calls/issue", "x").Ok());
  CHECK(absl::Now() - start >= absl::Milliseconds(50));
}

TEST_CASE("a service reports the calls it executed and their attempts")
{
  const auto service = StartService({});
  const auto answer =
    Send(*service,
         "POST",
         "/v1/calls/issue",
         "body",
         { { "Idempotency-Key", "k" }, { "X-Attempt", "a" } });
  CHECK(Json::parse(answer.body_) ==
        Json({ { "serial", 1 }, { "call", "issue" }, { "echo", "body" } }));
  const Json call = Get(*service, "/executions")["calls"][0];
  CHECK(call["key"] == "k");
  CHECK(call["attempt"] == "a");
  CHECK(call["body_digest"] == core::Sha256Hex("body"));
  SetFault(*service, { { "fault", "leaving" } });
  CHECK(Get(*service, "/v1/load")["leaving"] == true);
}

TEST_CASE("load reports are outdated by the configured lag")
{
  ServiceOptions options;
  options.reportLag_ = absl::Hours(1);
  const auto service = StartService(options);
  CHECK(Get(*service, "/v1/load")["leaving"] == false);
  SetFault(*service, { { "fault", "leaving" } });
  CHECK(Get(*service, "/v1/load")["leaving"] == false);
}

TEST_CASE("the platform supports compare-and-swap writes")
{
  const auto platform = StartPlatform({});
  const auto absent = Send(*platform, "GET", "/v1/kv?key=a");
  CHECK(absent.end_.status_ == 404);
  CHECK(VersionOf(absent) == "0");
  const auto first = Send(*platform, "PUT", "/v1/kv?key=a&expect=0", "one");
  CHECK(first.Ok());
  const auto second = Send(*platform, "PUT", "/v1/kv?key=a&expect=0", "two");
  CHECK(second.end_.status_ == 409);
  CHECK(second.body_ == "one");
  CHECK(VersionOf(second) == VersionOf(first));
  CHECK(Send(*platform, "PUT", "/v1/kv?key=a", "three").Ok());
  const auto read = Send(*platform, "GET", "/v1/kv?key=a");
  CHECK(read.body_ == "three");
  CHECK(VersionOf(read) != VersionOf(first));
}

TEST_CASE("versions are not reused after a deletion")
{
  const auto platform = StartPlatform({});
  const auto first = Send(*platform, "PUT", "/v1/kv?key=a&expect=0", "one");
  const std::string path = "/v1/kv?key=a&expect=" + VersionOf(first);
  CHECK(Send(*platform, "DELETE", "/v1/kv?key=a&expect=99").end_.status_ ==
        409);
  CHECK(Send(*platform, "DELETE", path).Ok());
  const auto second = Send(*platform, "PUT", "/v1/kv?key=a&expect=0", "two");
  CHECK(second.Ok());
  CHECK(VersionOf(second) != VersionOf(first));
  CHECK(Send(*platform, "DELETE", path).end_.status_ == 409);
}

TEST_CASE("a value over the limit is refused")
{
  const auto platform = StartPlatform({});
  const std::string limit(1UL << 20U, 'x');
  CHECK(Send(*platform, "PUT", "/v1/kv?key=a", limit).Ok());
  CHECK(Send(*platform, "PUT", "/v1/kv?key=a", limit + "x").end_.status_ ==
        413);
}

TEST_CASE("a list continues after the last key of the previous page")
{
  const auto platform = StartPlatform({});
  for (const auto* key : { "a/3", "b/1", "a/1", "a/2" }) {
    Send(*platform, "PUT", absl::StrCat("/v1/kv?key=", key), "xy");
  }
  const Json first = Get(*platform, "/v1/list?prefix=a/&limit=2");
  CHECK(first["more"] == true);
  REQUIRE(first["entries"].size() == 2);
  CHECK(first["entries"][1]["key"] == "a/2");
  CHECK(first["entries"][1]["size"] == 2);
  const Json second = Get(*platform, "/v1/list?prefix=a/&limit=2&after=a/2");
  CHECK(second["more"] == false);
  REQUIRE(second["entries"].size() == 1);
  CHECK(second["entries"][0]["key"] == "a/3");
}

TEST_CASE("a watch replies on a change, a deletion and a timeout")
{
  const auto platform = StartPlatform({});
  CHECK(
    Send(*platform, "GET", "/v1/watch?key=a&version=0&wait=10").end_.status_ ==
    304);
  auto changed = std::async(std::launch::async, [&] {
    return Send(*platform, "GET", "/v1/watch?key=a&version=0&wait=9000");
  });
  const auto first = Send(*platform, "PUT", "/v1/kv?key=a", "one");
  CHECK(changed.get().body_ == "one");
  auto deleted = std::async(std::launch::async, [&] {
    return Send(*platform,
                "GET",
                "/v1/watch?key=a&wait=9000&version=" + VersionOf(first));
  });
  CHECK(Send(*platform, "DELETE", "/v1/kv?key=a").Ok());
  CHECK(deleted.get().end_.status_ == 404);
}

TEST_CASE("the keys of an expired or ended lease are deleted")
{
  const auto platform = StartPlatform({});
  const auto create = [&](int aTtl) {
    const auto answer =
      Send(*platform, "POST", absl::StrCat("/v1/leases?ttl=", aTtl));
    return Json::parse(answer.body_)["lease"].get<std::string>();
  };
  const std::string brief = create(30);
  const std::string ended = create(60000);
  Send(*platform, "PUT", "/v1/kv?key=a&lease=" + brief, "x");
  Send(*platform, "PUT", "/v1/kv?key=b&lease=" + ended, "x");
  CHECK(Eventually([&] {
    return Send(*platform, "GET", "/v1/kv?key=a").end_.status_ == 404;
  }));
  CHECK(Send(*platform, "POST", "/v1/leases/" + brief + "/keepalive")
          .end_.status_ == 404);
  CHECK(
    Send(*platform, "PUT", "/v1/kv?key=a&lease=" + brief, "x").end_.status_ ==
    404);
  CHECK(Send(*platform, "POST", "/v1/leases/" + ended + "/keepalive").Ok());
  CHECK(Send(*platform, "GET", "/v1/kv?key=b").Ok());
  CHECK(Send(*platform, "DELETE", "/v1/leases/" + ended).Ok());
  CHECK(Send(*platform, "GET", "/v1/kv?key=b").end_.status_ == 404);
}

TEST_CASE("a key rewritten without its lease survives the end of the lease")
{
  const auto platform = StartPlatform({});
  const auto answer = Send(*platform, "POST", "/v1/leases?ttl=60000");
  const auto lease = Json::parse(answer.body_)["lease"].get<std::string>();
  Send(*platform, "PUT", "/v1/kv?key=a&lease=" + lease, "x");
  Send(*platform, "PUT", "/v1/kv?key=a", "y");
  CHECK(Send(*platform, "DELETE", "/v1/leases/" + lease).Ok());
  CHECK(Send(*platform, "GET", "/v1/kv?key=a").body_ == "y");
}

TEST_CASE(
  "the platform refuses calls over its rate limits and counts all calls")
{
  PlatformOptions options;
  options.writesPerSecond_ = 3;
  const auto platform = StartPlatform(options);
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    const auto answer = Send(
      *platform, "PUT", "/v1/kv?key=claims/a", "x", { { "X-Caller", "c" } });
    refused += answer.end_.status_ == 429 ? 1 : 0;
    CHECK((answer.Ok() || net::HasField(answer.headers_, "Retry-After")));
  }
  CHECK(refused > 0);
  CHECK(refused < 10);
  CHECK(Send(*platform, "GET", "/v1/kv?key=claims/a").Ok());
  const Json calls = Get(*platform, "/calls");
  CHECK(calls["total"] == 11);
  CHECK(calls["by_kind"]["put"] == 10);
  CHECK(calls["by_prefix"]["claims/"] == 11);
  CHECK(calls["by_caller"]["c"] == 10);
}

TEST_CASE("the host list shows changes after the configured lag")
{
  PlatformOptions options;
  options.hostListLag_ = absl::Milliseconds(100);
  const auto platform = StartPlatform(options);
  CHECK(Send(*platform, "PUT", "/v1/hosts/h1", R"({"role":"entry"})").Ok());
  CHECK(Get(*platform, "/v1/hosts")["hosts"].empty());
  CHECK(Eventually(
    [&] { return Get(*platform, "/v1/hosts")["hosts"].size() == 1; }));
  const Json before = Get(*platform, "/v1/hosts");
  CHECK(before["hosts"][0]["name"] == "h1");
  CHECK(Send(*platform, "DELETE", "/v1/hosts/h1").Ok());
  CHECK(
    Eventually([&] { return Get(*platform, "/v1/hosts")["hosts"].empty(); }));
  CHECK(Get(*platform, "/v1/hosts")["revision"] > before["revision"]);
}

TEST_CASE("a run streams its start, its tokens, its end and the end marker")
{
  const auto engine = StartEngine(FastEngine());
  const std::string prompt = Prompt("ab") + "tail";
  const auto events = Complete(*engine, RunBody("r1", prompt));
  REQUIRE(events.size() == 6);
  CHECK(events[0] == Json({ { "event", "start" },
                            { "run_id", "r1" },
                            { "weight_version", "v1" },
                            { "prompt_tokens", 2 * kBlockTokens + 1 },
                            { "cached_blocks", 0 },
                            { "imported_blocks", 0 } }));
  CHECK(TextOf(events) == ExpectedText(prompt, "v1", 3));
  CHECK(events[4]["finish_reason"] == "length");
  CHECK(events[4]["tokens"] == 3);
  const auto chain =
    core::BlockChain({ "w1", "wording", "v1", "" }, prompt, kBlockTokens);
  CHECK(events[4]["blocks"] ==
        Json({ core::ToHex(chain[0]), core::ToHex(chain[1]) }));
}

TEST_CASE("a prefix is cached for its own workspace only")
{
  const auto engine = StartEngine(FastEngine());
  Complete(*engine, RunBody("r1", Prompt("ab")));
  CHECK(Complete(*engine, RunBody("r2", Prompt("abc")))[0]["cached_blocks"] ==
        2);
  Json other = RunBody("r3", Prompt("ab"));
  other["cache_salt"] = "w2";
  CHECK(Complete(*engine, other)[0]["cached_blocks"] == 0);
  const Json runs = Get(*engine, "/executions")["runs"];
  REQUIRE(runs.size() == 3);
  CHECK(runs[1]["computed_tokens"] == kBlockTokens);
  REQUIRE(runs[1]["blocks"].size() == 2);
  CHECK(runs[1]["blocks"][0]["cache_salt"] == "w1");
  CHECK(runs[1]["blocks"][0]["generation"] == 0);
}

TEST_CASE("an engine refuses duplicate runs, wrong versions and, while "
          "leaving, all runs")
{
  const auto engine = StartEngine(FastEngine());
  const Json body = RunBody("r1", Prompt("a"));
  Complete(*engine, body);
  const auto send = [&](const Json& aBody) {
    return Send(*engine, "POST", "/v1/completions", aBody.dump());
  };
  const auto duplicate = send(body);
  CHECK(duplicate.end_.status_ == 409);
  CHECK(Json::parse(duplicate.body_)["error"] == "duplicate_run");
  Json versioned = RunBody("r2", Prompt("a"));
  versioned["weight_version"] = "v9";
  const auto version = send(versioned);
  CHECK(version.end_.status_ == 409);
  CHECK(Json::parse(version.body_) ==
        Json({ { "error", "weight_version" }, { "serving", "v1" } }));
  SetFault(*engine, { { "fault", "leaving" } });
  CHECK(send(RunBody("r3", Prompt("a"))).end_.status_ == 503);
  CHECK(Get(*engine, "/executions")["runs"].size() == 1);
}

TEST_CASE("a stream can be resumed from any token, also after its end")
{
  const auto engine = StartEngine(FastEngine());
  const auto whole = Complete(*engine, RunBody("r1", Prompt("a"), 10));
  const auto rest = EventsOf(Send(*engine, "GET", "/v1/runs/r1/stream?from=7"));
  REQUIRE(rest.size() == 5);
  CHECK(rest[0]["index"] == 7);
  CHECK(TextOf(rest) == TextOf(whole).substr(28));
  CHECK(rest.back() == "[DONE]");
  CHECK(EventsOf(Send(*engine, "GET", "/v1/runs/r1/stream?from=0")) == whole);
  CHECK(Send(*engine, "GET", "/v1/runs/r9/stream?from=0").end_.status_ == 404);
}

TEST_CASE("a reader that requests later tokens waits for them")
{
  EngineOptions options = FastEngine();
  options.prefillTokensPerSecond_ = 100;
  const auto engine = StartEngine(options);
  auto whole = std::async(std::launch::async, [&] {
    return Complete(*engine, RunBody("r1", Prompt("abc"), 10));
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["running"] == 1; }));
  const auto rest = EventsOf(Send(*engine, "GET", "/v1/runs/r1/stream?from=8"));
  REQUIRE(rest.size() == 4);
  CHECK(rest[0]["index"] == 8);
  CHECK(TextOf(rest) == TextOf(whole.get()).substr(32));
}

TEST_CASE("a run whose response was aborted continues and can be resumed")
{
  const auto engine = StartEngine(FastEngine());
  SetFault(
    *engine,
    { { "fault", "lose_reply" }, { "count", 1 }, { "match", "completions" } });
  const std::string prompt = Prompt("a");
  CHECK_FALSE(
    Send(*engine, "POST", "/v1/completions", RunBody("r1", prompt, 20).dump())
      .end_.completed_);
  const auto events =
    EventsOf(Send(*engine, "GET", "/v1/runs/r1/stream?from=0"));
  CHECK(TextOf(events) == ExpectedText(prompt, "v1", 20));
}

TEST_CASE(
  "an engine that goes down aborts its streams while their runs continue")
{
  EngineOptions options = FastEngine();
  options.tokenTime_ = absl::Milliseconds(10);
  const auto engine = StartEngine(options);
  const std::string prompt = Prompt("a");
  auto cut = std::async(std::launch::async, [&] {
    return Send(
      *engine, "POST", "/v1/completions", RunBody("r1", prompt, 40).dump());
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["running"] == 1; }));
  SetFault(*engine, { { "fault", "down" }, { "ms", 50 } });
  CHECK_FALSE(cut.get().end_.completed_);
  CHECK(Eventually([&] { return Send(*engine, "GET", "/healthz").Ok(); }));
  const auto events =
    EventsOf(Send(*engine, "GET", "/v1/runs/r1/stream?from=0"));
  CHECK(TextOf(events) == ExpectedText(prompt, "v1", 40));
}

TEST_CASE("a watch is aborted when the platform goes down")
{
  const auto platform = StartPlatform({});
  auto watch = std::async(std::launch::async, [&] {
    return Send(*platform, "GET", "/v1/watch?key=a&version=0&wait=9000");
  });
  REQUIRE(Eventually(
    [&] { return Get(*platform, "/calls")["by_kind"].contains("watch"); }));
  SetFault(*platform, { { "fault", "down" }, { "ms", 0 } });
  CHECK_FALSE(watch.get().end_.completed_);
}

TEST_CASE("a cancelled run ends early and frees its slot")
{
  EngineOptions options = FastEngine();
  options.tokenTime_ = absl::Milliseconds(20);
  options.maxRuns_ = 1;
  const auto engine = StartEngine(options);
  auto first = std::async(std::launch::async, [&] {
    return Complete(*engine, RunBody("r1", Prompt("a"), 100000));
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["running"] == 1; }));
  auto second = std::async(std::launch::async, [&] {
    return Complete(*engine, RunBody("r2", Prompt("b"), 1));
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["waiting"] == 1; }));
  CHECK(Send(*engine, "POST", "/v1/runs/r1/cancel").Ok());
  const auto events = first.get();
  CHECK(events[events.size() - 2]["finish_reason"] == "cancelled");
  CHECK(TextOf(second.get()) == ExpectedText(Prompt("b"), "v1", 1));
  CHECK(Send(*engine, "POST", "/v1/runs/r9/cancel").end_.status_ == 404);
  CHECK(Eventually([&] { return Get(*engine, "/v1/load")["running"] == 0; }));
}

TEST_CASE("a waiting run that is cancelled is never executed")
{
  EngineOptions options = FastEngine();
  options.tokenTime_ = absl::Milliseconds(20);
  options.maxRuns_ = 1;
  const auto engine = StartEngine(options);
  auto first = std::async(std::launch::async, [&] {
    return Complete(*engine, RunBody("r1", Prompt("a"), 100000));
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["running"] == 1; }));
  auto second = std::async(std::launch::async, [&] {
    return Complete(*engine, RunBody("r2", Prompt("b"), 1));
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["waiting"] == 1; }));
  CHECK(Send(*engine, "POST", "/v1/runs/r2/cancel").Ok());
  CHECK(second.get()[0]["tokens"] == 0);
  CHECK(Send(*engine, "POST", "/v1/runs/r1/cancel").Ok());
  first.get();
  CHECK(Get(*engine, "/executions")["runs"].size() == 1);
}

TEST_CASE("interactive runs start before waiting batch runs")
{
  EngineOptions options = FastEngine();
  options.tokenTime_ = absl::Milliseconds(20);
  options.maxRuns_ = 1;
  const auto engine = StartEngine(options);
  const auto start = [&](const std::string& aId, const std::string& aPriority) {
    Json body = RunBody(aId, Prompt("a"), aId == "first" ? 100000 : 1);
    body["priority"] = aPriority;
    return std::async(std::launch::async,
                      [&engine, body] { return Complete(*engine, body); });
  };
  auto first = start("first", "interactive");
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["running"] == 1; }));
  auto batch = start("batch", "batch");
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["waiting"] == 1; }));
  auto interactive = start("interactive", "interactive");
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["waiting"] == 2; }));
  CHECK(Send(*engine, "POST", "/v1/runs/first/cancel").Ok());
  first.get();
  batch.get();
  interactive.get();
  const Json runs = Get(*engine, "/executions")["runs"];
  REQUIRE(runs.size() == 3);
  CHECK(runs[1]["run_id"] == "interactive");
  CHECK(runs[2]["run_id"] == "batch");
}

TEST_CASE("a full cache evicts the least recently used prefix")
{
  EngineOptions options = FastEngine();
  options.cacheBlocks_ = 3;
  const auto engine = StartEngine(options);
  Complete(*engine, RunBody("r1", Prompt("ab")));
  Complete(*engine, RunBody("r2", Prompt("c")));
  Complete(*engine, RunBody("r3", Prompt("ab")));
  Complete(*engine, RunBody("r4", Prompt("d")));
  CHECK(Get(*engine, "/v1/load")["cache_blocks_used"] == 3);
  CHECK(Complete(*engine, RunBody("r5", Prompt("ab")))[0]["cached_blocks"] ==
        2);
  CHECK(Complete(*engine, RunBody("r6", Prompt("c")))[0]["cached_blocks"] == 0);
}

TEST_CASE("the cache events match the contents of the cache")
{
  EngineOptions options = FastEngine();
  options.cacheBlocks_ = 3;
  const auto engine = StartEngine(options);
  for (const auto* blocks : { "ab", "cd", "ae", "f", "ab" }) {
    Complete(*engine, RunBody(core::RandomId(), Prompt(blocks)));
  }
  std::set<std::string> held;
  std::uint64_t last = 0;
  const Json events = Get(*engine, "/v1/events?after=0");
  for (const Json& event : events["events"]) {
    CHECK(event["seq"] == ++last);
    if (event["kind"] == "stored") {
      held.insert(event["block"].get<std::string>());
    } else {
      held.erase(event["block"].get<std::string>());
    }
  }
  const Json blocks = Get(*engine, "/v1/blocks");
  CHECK(events["last_seq"] == last);
  CHECK(blocks["last_seq"] == last);
  CHECK(blocks["blocks"].size() == held.size());
  for (const Json& block : blocks["blocks"]) {
    CHECK(held.count(block["block"].get<std::string>()) == 1);
  }
  CHECK(Get(*engine, absl::StrCat("/v1/events?after=", last - 1))["events"]
          .size() == 1);
}

TEST_CASE("cache events arrive late and with gaps")
{
  EngineOptions options = FastEngine();
  options.eventLag_ = absl::Milliseconds(200);
  const auto engine = StartEngine(options);
  SetFault(*engine, { { "fault", "gaps" }, { "every", 2 } });
  Complete(*engine, RunBody("r1", Prompt("abcd")));
  CHECK(Get(*engine, "/v1/events?after=0")["events"].empty());
  CHECK(Eventually(
    [&] { return Get(*engine, "/v1/events?after=0")["last_seq"] == 4; }));
  const Json events = Get(*engine, "/v1/events?after=0")["events"];
  REQUIRE(events.size() == 2);
  CHECK(events[0]["seq"] == 1);
  CHECK(events[1]["seq"] == 3);
}

TEST_CASE("blocks are transferred between engines through a store")
{
  const auto store = StartStore({});
  const auto from = StartEngine(FastEngine());
  const auto to = StartEngine(FastEngine());
  const std::string prompt = Prompt("abc");
  const auto events = Complete(*from, RunBody("r1", prompt));
  const Json done =
    ExportAndWait(*from, *store, events[events.size() - 2]["blocks"]);
  CHECK(done["state"] == "done");
  CHECK(done["weight_version"] == "v1");
  REQUIRE(done["blocks"].size() == 3);
  CHECK(done["blocks"][0]["bytes"] == kBlockTokens * 1000);

  Json body = RunBody("r2", prompt);
  body["import"] = { { "store_url", UrlOf(*store) },
                     { "blocks", done["blocks"] } };
  const auto imported = Complete(*to, body);
  CHECK(imported[0]["imported_blocks"] == 3);
  CHECK(imported[0]["cached_blocks"] == 0);
  CHECK(TextOf(imported) == ExpectedText(prompt, "v1", 3));
  const Json run = Get(*to, "/executions")["runs"][0];
  CHECK(run["computed_tokens"] == 0);
  CHECK(run["blocks"][0]["cache_salt"] == "w1");
  CHECK(run["blocks"][0]["generation"] == done["blocks"][0]["generation"]);
  CHECK(Get(*store, "/v1/load")["link_bytes_total"] == 6 * kBlockTokens * 1000);
}

TEST_CASE("an import of another workspace's block is discarded")
{
  const auto store = StartStore({});
  const auto engine = StartEngine(FastEngine());
  const std::string prompt = Prompt("a");
  const auto key = core::ToHex(
    core::BlockChain({ "w1", "wording", "v1", "" }, prompt, kBlockTokens)[0]);
  const auto payload = [&](const std::string& aSalt) {
    return Json({ { "key", key },
                  { "root", key },
                  { "cache_salt", aSalt },
                  { "model", "wording" },
                  { "weight_version", "v1" },
                  { "adapter", "" } })
      .dump();
  };
  const auto run = [&](const std::string& aId, std::uint64_t aGeneration) {
    Json body = RunBody(aId, prompt);
    body["import"] = {
      { "store_url", UrlOf(*store) },
      { "blocks", { { { "key", key }, { "generation", aGeneration } } } }
    };
    return Complete(*engine, body)[0];
  };
  const auto foreign = WriteBlock(*store, key, payload("w2"));
  CHECK(run("r1", foreign)["imported_blocks"] == 0);
  const auto fenced = StartEngine(FastEngine());
  const auto own = WriteBlock(*store, key, payload("w1"));
  Json stale = RunBody("r2", prompt);
  stale["import"] = { { "store_url", UrlOf(*store) },
                      { "blocks",
                        { { { "key", key }, { "generation", foreign } } } } };
  CHECK(Complete(*fenced, stale)[0]["imported_blocks"] == 0);
  const auto fresh = StartEngine(FastEngine());
  stale["import"]["blocks"][0]["generation"] = own;
  CHECK(Complete(*fresh, stale)[0]["imported_blocks"] == 1);
}

TEST_CASE("a run completes without imported blocks if the store is unreachable")
{
  std::string url;
  {
    const auto store = StartStore({});
    url = UrlOf(*store);
  }
  const auto engine = StartEngine(FastEngine());
  const std::string prompt = Prompt("a");
  const auto key = core::ToHex(
    core::BlockChain({ "w1", "wording", "v1", "" }, prompt, kBlockTokens)[0]);
  Json body = RunBody("r1", prompt);
  body["import"] = { { "store_url", url },
                     { "blocks",
                       { { { "key", key }, { "generation", 1 } } } } };
  const auto events = Complete(*engine, body);
  CHECK(events[0]["imported_blocks"] == 0);
  CHECK(TextOf(events) == ExpectedText(prompt, "v1", 3));
}

TEST_CASE("an export to a full store fails")
{
  const auto store = StartStore({});
  SetFault(*store, { { "fault", "full" } });
  const auto engine = StartEngine(FastEngine());
  const auto events = Complete(*engine, RunBody("r1", Prompt("a")));
  const Json done =
    ExportAndWait(*engine, *store, events[events.size() - 2]["blocks"]);
  CHECK(done["state"] == "failed");
  CHECK(done["blocks"].empty());
}

TEST_CASE("new weights are fetched from the platform and clear the cache")
{
  PlatformOptions platformOptions;
  platformOptions.weightFetchTime_ = absl::Milliseconds(50);
  const auto platform = StartPlatform(platformOptions);
  EngineOptions options = FastEngine();
  options.platformUrl_ = UrlOf(*platform);
  const auto engine = StartEngine(options);
  const std::string prompt = Prompt("a");
  Complete(*engine, RunBody("r1", prompt));
  const auto order = [&](std::uint64_t aFence, const std::string& aVersion) {
    return Send(*engine,
                "POST",
                "/v1/orders",
                Json({ { "fence", aFence },
                       { "order", "load_weights" },
                       { "version", aVersion } })
                  .dump());
  };
  CHECK(order(5, "v2").end_.status_ == 202);
  CHECK(Eventually(
    [&] { return Get(*engine, "/v1/orders")["weight_version"] == "v2"; }));
  CHECK(Get(*engine, "/v1/orders")["loading"] == "");
  CHECK(Get(*platform, "/calls")["by_kind"]["weights"] == 1);
  const auto events = Complete(*engine, RunBody("r2", prompt));
  CHECK(events[0]["cached_blocks"] == 0);
  CHECK(events[0]["weight_version"] == "v2");
  CHECK(TextOf(events) == ExpectedText(prompt, "v2", 3));
  const auto stale = order(4, "v3");
  CHECK(stale.end_.status_ == 409);
  CHECK(Json::parse(stale.body_) ==
        Json({ { "error", "stale_fence" }, { "highest", 5 } }));
}

TEST_CASE("an engine without fencing accepts a stale order")
{
  EngineOptions options = FastEngine();
  options.ignoreFencing_ = true;
  const auto engine = StartEngine(options);
  const auto order = [&](std::uint64_t aFence, const std::string& aVersion) {
    return Send(*engine,
                "POST",
                "/v1/orders",
                Json({ { "fence", aFence },
                       { "order", "load_weights" },
                       { "version", aVersion } })
                  .dump());
  };
  CHECK(order(5, "v2").end_.status_ == 202);
  CHECK(order(4, "v3").end_.status_ == 202);
  CHECK(Get(*engine, "/v1/orders") == Json({ { "weight_version", "v3" },
                                             { "loading", "" },
                                             { "highest_fence", 5 } }));
}

TEST_CASE("a run keeps its weight version when new weights are loaded")
{
  EngineOptions options = FastEngine();
  options.tokenTime_ = absl::Milliseconds(5);
  const auto engine = StartEngine(options);
  auto run = std::async(std::launch::async, [&] {
    return Complete(*engine, RunBody("r1", Prompt("a"), 40));
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["running"] == 1; }));
  CHECK(Send(*engine,
             "POST",
             "/v1/orders",
             R"({"fence":1,"order":"load_weights","version":"v2"})")
          .Ok());
  const auto events = run.get();
  CHECK(events[events.size() - 2]["weight_version"] == "v1");
  CHECK(TextOf(events) == ExpectedText(Prompt("a"), "v1", 40));
}

TEST_CASE("a waiting run is refused if its weight version is replaced")
{
  EngineOptions options = FastEngine();
  options.tokenTime_ = absl::Milliseconds(20);
  options.maxRuns_ = 1;
  const auto engine = StartEngine(options);
  auto first = std::async(std::launch::async, [&] {
    return Complete(*engine, RunBody("r1", Prompt("a"), 100000));
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["running"] == 1; }));
  Json body = RunBody("r2", Prompt("b"), 1);
  body["weight_version"] = "v1";
  auto second = std::async(std::launch::async, [&] {
    return Send(*engine, "POST", "/v1/completions", body.dump());
  });
  REQUIRE(Eventually([&] { return Get(*engine, "/v1/load")["waiting"] == 1; }));
  Send(*engine,
       "POST",
       "/v1/orders",
       R"({"fence":1,"order":"load_weights","version":"v2"})");
  CHECK(Send(*engine, "POST", "/v1/runs/r1/cancel").Ok());
  first.get();
  CHECK(second.get().end_.status_ == 409);
  CHECK(Get(*engine, "/executions")["runs"].size() == 1);
}

TEST_CASE("a committed block can be read only by its own generation")
{
  const auto store = StartStore({});
  const auto generation = WriteBlock(*store, kKey, "payload");
  const auto answer = Send(*store, "GET", BlockPath(kKey, generation));
  CHECK(answer.body_ == "payload");
  CHECK(net::FindField(answer.headers_, "X-Checksum") ==
        core::Sha256Hex("payload"));
  CHECK(net::FindField(answer.headers_, "X-Bytes") == "1000");
  CHECK(Send(*store, "GET", BlockPath(kKey, generation + 1)).end_.status_ ==
        409);
  CHECK(Send(*store, "DELETE", BlockPath(kKey, generation)).Ok());
  CHECK(Send(*store, "GET", BlockPath(kKey, generation)).end_.status_ == 409);
  CHECK(WriteBlock(*store, kKey, "payload") > generation);
}

TEST_CASE("a block that is partly written or damaged is not committed")
{
  const auto store = StartStore({});
  const auto begun =
    Send(*store,
         "POST",
         "/v1/blocks/" + kKey + "/begin",
         Json({ { "bytes", 10 }, { "checksum", core::Sha256Hex("payload") } })
           .dump());
  const auto generation =
    Json::parse(begun.body_)["generation"].get<std::uint64_t>();
  const std::string commit =
    absl::StrCat("/v1/blocks/", kKey, "/commit?generation=", generation);
  CHECK(Send(*store, "POST", commit).end_.status_ == 409);
  CHECK(Send(*store, "PUT", BlockPath(kKey, generation), "payl").Ok());
  CHECK(Send(*store, "POST", commit).end_.status_ == 409);
  CHECK(Send(*store, "GET", BlockPath(kKey, generation)).end_.status_ == 409);
  CHECK(Get(*store, "/v1/blocks")["blocks"].empty());
}

TEST_CASE("a pinned block is neither freed nor replaced")
{
  const auto store = StartStore({});
  const auto generation = WriteBlock(*store, kKey, "payload");
  const auto answer =
    Send(*store,
         "POST",
         absl::StrCat(
           "/v1/pins?key=", kKey, "&generation=", generation, "&ttl=60000"));
  const auto pin = Json::parse(answer.body_)["pin"].get<std::string>();
  CHECK(Send(*store, "DELETE", BlockPath(kKey, generation)).end_.status_ ==
        409);
  CHECK(Send(*store, "DELETE", "/v1/pins/" + pin).Ok());
  CHECK(Send(*store, "DELETE", BlockPath(kKey, generation)).Ok());
}

TEST_CASE("a block is not freed while it is being read")
{
  StoreOptions options;
  options.linkBytesPerSecond_ = 1'000'000;
  const auto store = StartStore(options);
  const auto generation = WriteBlock(*store, kKey, "payload");
  // With this factor the read takes two seconds.
  Send(*store, "POST", "/fault", R"({"fault":"slow","factor":2000})");
  auto read = std::async(std::launch::async, [&] {
    return Send(*store, "GET", BlockPath(kKey, generation));
  });
  REQUIRE(Eventually(
    [&] { return Get(*store, "/v1/load")["link_backlog_bytes"] > 0; }));
  Send(*store, "DELETE", BlockPath(kKey, generation));
  CHECK(read.get().body_ == "payload");
  Send(*store, "DELETE", BlockPath(kKey, generation));
  const Json blocks = Get(*store, "/executions")["blocks"];
  REQUIRE(blocks.size() == 4);
  CHECK(blocks[0]["call"] == "commit");
  CHECK(blocks[1]["refusal"] == "pinned");
  CHECK(blocks[2]["call"] == "read");
  CHECK(blocks[2]["refusal"] == "");
  CHECK(blocks[3]["call"] == "free");
  CHECK(blocks[3]["refusal"] == "");
}

TEST_CASE("a restarted store can restore its previous contents")
{
  const auto store = StartStore({});
  const auto generation = WriteBlock(*store, kKey, "payload");
  const auto path = std::filesystem::temp_directory_path() /
                    ("contents-" + core::RandomId() + ".json");
  std::ofstream(path) << Get(*store, "/contents").dump();
  StoreOptions options;
  options.contentsFile_ = path;
  const auto again = StartStore(options);
  std::filesystem::remove(path);
  CHECK(Send(*again, "GET", BlockPath(kKey, generation)).body_ == "payload");
  CHECK(Get(*again, "/v1/load")["disk_used"] == 1000);
  CHECK(Get(*again, "/v1/load")["instance"] !=
        Get(*store, "/v1/load")["instance"]);
  CHECK(WriteBlock(*again, kKey, "payload") > generation);
}

TEST_CASE("an engine reports its orders, loads and imports")
{
  const auto engine = StartEngine(FastEngine());
  const auto order = [&](int aFence, const std::string& aVersion) {
    Send(*engine,
         "POST",
         "/v1/orders",
         Json({ { "fence", aFence },
                { "order", "load_weights" },
                { "version", aVersion } })
           .dump());
  };
  order(2, "v2");
  order(1, "v3");
  Json body = RunBody("r1", Prompt("a"));
  const auto chain =
    core::BlockChain({ "w1", "wording", "v2", "" }, Prompt("a"), kBlockTokens);
  body["import"] = { { "store_url", "http://127.0.0.1:1" },
                     { "blocks", Json::array() } };
  body["import"]["blocks"].push_back(
    { { "key", core::ToHex(chain[0]) }, { "generation", 1 } });
  Complete(*engine, body);
  const Json record = Get(*engine, "/executions");
  REQUIRE(record["orders"].size() == 2);
  CHECK(record["orders"][0]["taken"] == true);
  CHECK(record["orders"][1]["taken"] == false);
  REQUIRE(record["loads"].size() == 1);
  CHECK(record["loads"][0]["version"] == "v2");
  CHECK(record["loads"][0]["ok"] == true);
  REQUIRE(record["imports"].size() == 1);
  CHECK(record["imports"][0]["run_id"] == "r1");
  CHECK(record["imports"][0]["fault"] == "transfer");
}

TEST_CASE(
  "blocks move to disk when memory is full, writes fail when the disk is full")
{
  StoreOptions options;
  options.memoryBytes_ = 1000;
  options.diskBytes_ = 1000;
  const auto store = StartStore(options);
  const auto first = WriteBlock(*store, kKey, "one");
  const auto second = WriteBlock(*store, kOtherKey, "two");
  const Json blocks = Get(*store, "/v1/blocks")["blocks"];
  REQUIRE(blocks.size() == 2);
  CHECK(blocks[0]["tier"] == "disk");
  CHECK(blocks[1]["tier"] == "memory");
  CHECK(Send(*store, "GET", BlockPath(kKey, first)).body_ == "one");
  CHECK(Send(*store, "GET", BlockPath(kOtherKey, second)).body_ == "two");
  const auto third =
    Send(*store,
         "POST",
         absl::StrCat("/v1/blocks/", std::string(32, 'c'), "/begin"),
         Json({ { "bytes", 1000 }, { "checksum", "x" } }).dump());
  CHECK(third.end_.status_ == 507);
  CHECK(Get(*store, "/v1/load")["disk_used"] == 1000);
}

TEST_CASE("transfers on a link run one after the other")
{
  Link link;
  link.bytesPerSecond_ = 100;
  const absl::Time now = absl::FromUnixSeconds(1000);
  CHECK(ScheduleTransfer(link, 100, 1.0, now) == now + absl::Seconds(1));
  CHECK(ScheduleTransfer(link, 50, 2.0, now) == now + absl::Seconds(2));
  CHECK(BacklogBytes(link, 1.0, now + absl::Seconds(1)) == 100);
  CHECK(BacklogBytes(link, 1.0, now + absl::Seconds(3)) == 0);
  CHECK(link.bytesTotal_ == 150);
  const absl::Time later = now + absl::Seconds(10);
  CHECK(ScheduleTransfer(link, 100, 1.0, later) == later + absl::Seconds(1));
}

TEST_CASE("blocks in use are not evicted")
{
  PrefixCache cache;
  cache.capacity_ = 2;
  const std::vector<core::BlockKey> keys{ { 0, 1 }, { 0, 2 }, { 0, 3 } };
  CHECK(Insert(cache, keys[0], {}));
  CHECK(Insert(cache, keys[1], {}));
  Retain(cache, { keys[0], keys[1] });
  CHECK_FALSE(Insert(cache, keys[2], {}));
  Release(cache, { keys[0], keys[1] });
  CHECK(Insert(cache, keys[2], {}));
  CHECK(CountCachedPrefix(cache, { keys[0], keys[1] }) == 1);
}
