#include "platform/adapter.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>

#include "platform/settings.h"

namespace catalog = lycheeplank::catalog;
namespace core = lycheeplank::core;
namespace fleet = lycheeplank::fleet;
namespace gateway = lycheeplank::gateway;
namespace http = lycheeplank::http;
namespace cache_index = lycheeplank::cache_index;
namespace platform = lycheeplank::platform;
namespace replica = lycheeplank::replica;

namespace {

const char* kSettings = R"(
node: "n1"
zone: "a"
listen: {front: "10.0.0.1:1", ready: "10.0.0.1:2", control: "10.0.0.1:3",
         directory: "10.0.0.1:4"}
port-range: [7740, 7755]
seeds: ["10.0.0.2:3"]
bounds: {grace-s: 8, budget-ratio: 0.2, budget-slack: 56, version-ms: 6000}
infra: {address: "10.9.0.1:5", min-ttl-ms: 1000}
unknown: {field: 1}
)";

std::string
ErrorOf(const std::string& aText)
{
  return core::HandleError(
    [&]() -> core::Result<std::string> {
      BOOST_LEAF_AUTO(settings, platform::ParseSettings(aText));
      return "read " + settings.name_;
    },
    [](const core::Error& aError) { return aError.detail_; });
}

std::string
ValueOf(const http::Fields& aFields, const char* aName)
{
  const auto* value = http::FindField(aFields, aName);
  return value == nullptr ? "(none)" : *value;
}

replica::Item
MakeItem(const std::string& aKey, const std::string& aValue)
{
  return { aKey, aValue, 9, 9, false };
}

} // namespace

TEST_CASE("settings are read and checked")
{
  CHECK(ErrorOf(kSettings) == "read n1");
  std::string broken = kSettings;
  broken.replace(broken.find("zone"), 4, "xone");
  CHECK(ErrorOf(broken) == "settings: zone is missing");
  CHECK(ErrorOf("[1, 2]") == "settings: not a map of fields");
  CHECK(ErrorOf("a: [").find("settings: ") == 0);
  broken = kSettings;
  broken.replace(broken.find("grace-s: 8"), 10, "grace-s: x");
  CHECK(ErrorOf(broken).find("settings: ") == 0);
}

// Guards against scheduling by priority in a deployment that doesn't ask for
// it.
TEST_CASE("a policy of the settings enables scheduling by priority")
{
  const auto isOn = [](const std::string& aPolicies) {
    return core::HandleError(
      [&]() -> core::Result<bool> {
        BOOST_LEAF_AUTO(settings,
                        platform::ParseSettings(kSettings + aPolicies));
        return settings.priorityScheduling_;
      },
      [](const core::Error&) { return false; });
  };
  CHECK_FALSE(isOn(""));
  CHECK_FALSE(isOn("policies: pressure\n"));
  CHECK_FALSE(isOn("policies: [other, {pressure: 1}]\n"));
  CHECK(isOn("policies: [other, pressure]\n"));
}

TEST_CASE("the limits of the process are read from the settings")
{
  const auto read = [](const std::string& aText) {
    return core::HandleError(
      [&]() -> core::Result<gateway::Settings> {
        return platform::ParseSettings(aText);
      },
      [](const core::Error&) { return gateway::Settings(); });
  };
  auto settings = read(kSettings);
  CHECK(settings.memoryBytes_ == 0);
  CHECK(settings.maxDescriptors_ == 0);
  settings = read(std::string(kSettings) +
                  "limits: {cpu-share: 0.5, memory-mb: 110, max-fds: 4100}\n");
  CHECK(settings.cores_ == 0.5);
  CHECK(settings.memoryBytes_ == 110000000);
  CHECK(settings.maxDescriptors_ == 4100);
}

TEST_CASE("a caller's request is decoded")
{
  http::RequestHead head;
  head.fields_ = { { "host", "h.example" },
                   { "x-request-id", "r1" },
                   { "Authorization", "Token secret" },
                   { "X-Deadline-Ms", "1500" },
                   { "X-Model", "m" },
                   { "X-Token-Count", "1460,80" },
                   { "X-Prompt-Prefix", "5c:800,91:410,e4:250" } };
  const auto request = platform::ReadCaller(head);
  CHECK(request.id_ == "r1");
  CHECK(request.key_ == "secret");
  CHECK(*request.callerTimeout_ == absl::Milliseconds(1500));
  CHECK(request.promptTokens_ == 1460);
  CHECK(request.outputTokens_ == 80);
  REQUIRE(request.parts_.size() == 3);
  CHECK(request.parts_[1].id_ == "91");
  CHECK(request.parts_[1].tokens_ == 410);
}

TEST_CASE("a caller can't set the system's header fields")
{
  http::RequestHead head;
  for (const char* name : { "X-Tenant",
                            "x-cache-salt",
                            "X-Kv-Fetch",
                            "X-Kv-Save",
                            "X-Kv-Hold",
                            "X-Kv-Backup",
                            "Kv-From",
                            "X-Pin-Ms",
                            "X-Request-Priority",
                            "X-Expect-Instance",
                            "X-Expect-Version",
                            "Authorization",
                            "Connection",
                            "X-Named" }) {
    head.fields_.push_back({ name, "forged" });
  }
  head.fields_.push_back({ "Connection", "X-Named" });
  head.fields_.push_back({ "X-Other", "kept" });
  gateway::Attempt attempt;
  attempt.targetId_ = "i-1";
  attempt.workspace_ = "w";
  attempt.timeLeft_ = absl::Milliseconds(800);
  const auto fields = platform::TargetFields(head, attempt);
  for (const auto& field : fields) {
    CHECK(field.value_ != "forged");
  }
  CHECK(ValueOf(fields, "X-Other") == "kept");
  CHECK(ValueOf(fields, "X-Tenant") == "w");
  CHECK(ValueOf(fields, "X-Expect-Instance") == "i-1");
  CHECK(ValueOf(fields, "X-Deadline-Ms") == "800");
}

TEST_CASE("reads and saves have one address per part except the last")
{
  gateway::Attempt attempt;
  attempt.targetId_ = "i-1";
  attempt.timeLeft_ = absl::Seconds(1);
  attempt.weights_ = 3;
  attempt.cacheScope_ = "shared.m.3";
  attempt.parts_ = { { "10.0.0.1:1", "" }, { "", "10.0.0.2:1" } };
  attempt.readUntilMs_ = 5000;
  const auto fields = platform::TargetFields({}, attempt);
  CHECK(ValueOf(fields, "X-Kv-Fetch") == "10.0.0.1:1,-,-");
  CHECK(ValueOf(fields, "X-Kv-Save") == "-,10.0.0.2:1,-");
  CHECK(ValueOf(fields, "X-Kv-Until") == "5000");
  CHECK(ValueOf(fields, "X-Expect-Version") == "3");
  attempt.parts_ = { {}, {} };
  const auto none = platform::TargetFields({}, attempt);
  CHECK(ValueOf(none, "X-Kv-Fetch") == "(none)");
  CHECK(ValueOf(none, "X-Kv-Save") == "(none)");
}

TEST_CASE("a target's response is decoded")
{
  http::ResponseHead head;
  head.status_ = 503;
  head.fields_ = { { "X-Request-Id", "r1" },
                   { "X-Not-Run", "1" },
                   { "X-Server-Load", "3,0,8" },
                   { "X-Weight-Versions", "4" } };
  const auto answer = platform::ReadAnswer(head);
  CHECK(answer.notRun_);
  CHECK(answer.requestId_ == "r1");
  REQUIRE(answer.load_);
  CHECK(answer.load_->running_ == 3);
  CHECK(answer.weights_ == 4U);
  head.status_ = 421;
  head.fields_.clear();
  CHECK(platform::ReadAnswer(head).notRun_);
  head.status_ = 503;
  CHECK_FALSE(platform::ReadAnswer(head).notRun_);
}

// Guards against hosts that know no loads of targets that report a fourth
// figure, and against estimates from a figure that is an error.
TEST_CASE("the load of a target has three figures or four")
{
  const auto loadOf = [](const std::string& aText) {
    http::ResponseHead head;
    head.status_ = 200;
    head.fields_ = { { "X-Server-Load", aText } };
    return platform::ReadAnswer(head).load_;
  };
  REQUIRE(loadOf("3,2,8"));
  CHECK_FALSE(loadOf("3,2,8")->slowness_);
  REQUIRE(loadOf("3,2,8,250"));
  CHECK(loadOf("3,2,8,250")->running_ == 3);
  CHECK(loadOf("3,2,8,250")->waiting_ == 2);
  CHECK(loadOf("3,2,8,250")->slots_ == 8);
  CHECK(loadOf("3,2,8,250")->slowness_ == 2.5);
  CHECK(loadOf("3,2,8,97.5")->slowness_ == 0.975);
  for (const std::string wrong :
       { "0", "-5", "0.5", "5001", "nan", "inf", "", "x" }) {
    INFO(wrong);
    const auto load = loadOf("3,2,8," + wrong);
    REQUIRE(load);
    CHECK(load->running_ == 3);
    CHECK_FALSE(load->slowness_);
  }
  CHECK_FALSE(loadOf("3,2"));
  CHECK_FALSE(loadOf("3,2,8,100,1"));
  CHECK_FALSE(loadOf("3,2,x,100"));
}

TEST_CASE("a target's limit is decoded, and other text is none")
{
  const auto limitOf = [](const std::string& aText) {
    http::ResponseHead head;
    head.status_ = 200;
    head.fields_ = { { "Server-Limit", aText } };
    return platform::ReadAnswer(head).requestsPerSecond_;
  };
  CHECK(limitOf("1.7") == 1.7);
  CHECK(limitOf("0") == 0.0);
  for (const auto* text : { "", "-1", "nan", "inf", "2/s", "1,7" }) {
    CHECK_FALSE(limitOf(text).has_value());
  }
}

TEST_CASE("the catalogue is decoded")
{
  const auto read = platform::ReadCatalog(MakeItem("op/config", R"({
    "version": 7, "limits": {"max-header-bytes": 100, "max-body-bytes": 200,
    "header-timeout-ms": 300, "idle-timeout-ms": 400},
    "routes": [
      {"name": "r", "host": "h", "prefix": "/a/", "type": "stream",
       "timeout-ms": 15000, "goal-ms": 800, "priority": 1, "attempts": 2,
       "resumable": true, "gap-target-ms": 300,
       "backends": [{"service": "s", "weight": 90}]},
      {"name": "q", "host": "h", "prefix": "/b/", "type": "non_idempotent",
       "service": "t"}],
    "services": [
      {"name": "s", "max-conns": 370, "backend": {"batch-size": 64,
       "kv-capacity": 94229, "models": [{"name": "m"}]}},
      {"name": "t", "cold-s": 8, "warmup-per-s": 14},
      {"name": "c", "kv-store-addr": "10.0.0.1:1", "zone": "a",
       "kv-capacity": 1000, "net-mbps": 10, "max-inflight": 12}],
    "tenants": [{"name": "w", "api-keys": ["k"], "dedicated": true}]})"));
  REQUIRE(read);
  const auto* route = catalog::FindRoute(*read, "h", "/a/x");
  REQUIRE(route != nullptr);
  CHECK(catalog::MayRepeat(*route));
  CHECK(route->goal_ == absl::Milliseconds(800));
  CHECK(route->maxGap_ == absl::Milliseconds(3200));
  CHECK(catalog::FindRoute(*read, "h", "/b/x")->shares_[0].service_ == "t");
  CHECK(read->services_.at("s").memoryTokens_ == 94229);
  CHECK_FALSE(read->services_.at("t").isEngine_);
  CHECK(read->services_.at("t").coldFor_ == absl::Seconds(8));
  CHECK(read->services_.at("t").warmupPerSecond_ == 14.0);
  CHECK(read->services_.at("s").coldFor_ == absl::ZeroDuration());
  REQUIRE(read->stores_.size() == 1);
  CHECK(read->stores_[0].capacityTokens_ == 1000);
  CHECK(catalog::FindWorkspace(*read, "k")->isIsolated_);
  CHECK(read->limits_.idleTimeout_ == absl::Milliseconds(400));
}

TEST_CASE("keys name evacuated data centres")
{
  const auto item = platform::ItemNameOf("op/evacuate/zone-1");
  CHECK(item.kind_ == gateway::ItemKind::Evacuation);
  CHECK(item.name_ == "zone-1");
  CHECK(platform::ItemNameOf("op/evacuate/").kind_ == gateway::ItemKind::Other);
  CHECK(platform::ItemNameOf("op/evacuated/a").kind_ ==
        gateway::ItemKind::Other);
}

namespace {

// Returns the fields of a target's entry, each as it is written.
std::map<std::string, std::string>
EntryFields()
{
  return { { "service", R"("s")" }, { "address", R"("10.0.0.1:1")" },
           { "zone", R"("a")" },    { "version", R"("v1")" },
           { "batch-size", "64" },  { "state", R"("ready")" },
           { "warmup-ms", "2500" }, { "sequence", "4" } };
}

absl::optional<lycheeplank::fleet::Target>
ReadEntry(const std::map<std::string, std::string>& aFields)
{
  std::vector<std::string> fields;
  fields.reserve(aFields.size());
  for (const auto& [name, value] : aFields) {
    fields.push_back(absl::StrCat("\"", name, "\": ", value));
  }
  return platform::ReadTarget(MakeItem(
    "servers/i-1", absl::StrCat("{", absl::StrJoin(fields, ", "), "}")));
}

} // namespace

TEST_CASE("a target's entry is decoded")
{
  auto fields = EntryFields();
  const auto plain = ReadEntry(fields);
  REQUIRE(plain);
  CHECK(plain->bornMs_ == 0);
  CHECK(plain->weights_.empty());
  fields["born"] = "1700000000000";
  fields["phase"] = R"("both")";
  fields["models"] = R"([{"name": "m", "version": 2, "adapters": []}])";
  const auto whole = ReadEntry(fields);
  REQUIRE(whole);
  CHECK(whole->id_ == "i-1");
  CHECK(whole->service_ == "s");
  CHECK(whole->dataCentre_ == "a");
  CHECK(whole->slots_ == 64);
  CHECK(whole->weights_.at("m") == 2);
  CHECK(whole->bornMs_ == 1700000000000);
  CHECK(whole->warmup_ == absl::Milliseconds(2500));
  fields["state"] = R"("draining")";
  CHECK(ReadEntry(fields)->state_ == lycheeplank::fleet::TargetState::Leaving);
}

// Guards against an entry of another writer that takes the place of a target.
TEST_CASE("an entry with a field missing or of another type names no target")
{
  for (const auto& [name, value] : EntryFields()) {
    INFO(name);
    auto fields = EntryFields();
    fields.erase(name);
    CHECK_FALSE(ReadEntry(fields));
    const bool isText = value.front() == '"';
    for (const std::string other :
         { "null", "true", "{}", "[]", "-1", isText ? "5" : R"("5")" }) {
      INFO(other);
      fields[name] = other;
      CHECK_FALSE(ReadEntry(fields));
    }
  }
  for (const std::string born :
       { "null", R"("7")", "1.5", "1e300", "-1e300", "1e400", "-1" }) {
    INFO(born);
    auto fields = EntryFields();
    fields["born"] = born;
    CHECK_FALSE(ReadEntry(fields));
  }
  for (const std::string models : { "null",
                                    "5",
                                    "{}",
                                    R"(["m"])",
                                    R"([{"version": 1}])",
                                    R"([{"name": "m"}])",
                                    R"([{"name": "m", "version": "1"}])",
                                    R"([{"name": 5, "version": 1}])" }) {
    INFO(models);
    auto fields = EntryFields();
    fields["models"] = models;
    CHECK_FALSE(ReadEntry(fields));
  }
  auto fields = EntryFields();
  fields["state"] = R"("resting")";
  CHECK_FALSE(ReadEntry(fields));
  CHECK_FALSE(platform::ReadTarget(MakeItem("servers/i-1", "\xff\xfe")));
  CHECK_FALSE(platform::ReadTarget(MakeItem("servers/i-1", "[]")));
}

// Guards against an odd entry of another writer that ends the hosts which read
// it, or that they take for a target.
TEST_CASE("entries that are deeply nested or out of range yield no target")
{
  for (const std::string port :
       { "", ":", ":0", ":-1", ":65536", ":1e3", ":x" }) {
    INFO(port);
    auto fields = EntryFields();
    fields["address"] = absl::StrCat("\"10.0.0.1", port, "\"");
    CHECK_FALSE(ReadEntry(fields));
  }
  auto fields = EntryFields();
  fields["address"] = R"("10.0.0.1.5:1")";
  CHECK_FALSE(ReadEntry(fields));
  fields = EntryFields();
  fields["batch-size"] = "4294967296";
  const auto target = ReadEntry(fields);
  REQUIRE(target);
  CHECK(target->slots_ == std::numeric_limits<std::uint32_t>::max());
  constexpr std::size_t kDepth = 200000;
  for (const std::string open : { "[", "{\"a\":" }) {
    std::string nested;
    for (std::size_t i = 0; i < kDepth; ++i) {
      nested += open;
    }
    const std::string close(kDepth, open == "[" ? ']' : '}');
    const auto value = absl::StrCat(nested, "1", close);
    fields = EntryFields();
    fields["models"] = value;
    CHECK_FALSE(ReadEntry(fields));
    // The same in a field that isn't read.
    fields = EntryFields();
    fields["other"] = value;
    CHECK_FALSE(ReadEntry(fields));
    CHECK_FALSE(platform::ReadTarget(MakeItem("servers/i-1", value)));
    CHECK_FALSE(platform::ReadWeights(MakeItem("weights/m", nested)));
    CHECK_FALSE(platform::ReadCatalog(
      MakeItem("catalog", R"({"version": 1, "limits": )" + value + "}")));
  }
}

TEST_CASE("changes of cache stores are decoded")
{
  http::Answer answer;
  answer.status_ = 200;
  answer.body_ =
    R"({"boot-epoch": 7, "next": 12, "lost": true, "clock_ms": 55.0,
    "events": [[10, "+", "sc", "p", 80, "m"], [11, "-", "sc", "q", 0, "m"],
               ["x"], 5]})";
  const auto changes = platform::ReadChanges(answer);
  REQUIRE(changes);
  CHECK(changes->gap_);
  CHECK(changes->clockMs_ == 55);
  REQUIRE(changes->changes_.size() == 2);
  CHECK(changes->changes_[0].added_);
  CHECK_FALSE(changes->changes_[1].added_);
  answer.status_ = 429;
  CHECK_FALSE(platform::ReadChanges(answer));
}

TEST_CASE("calls to the store are encoded and their replies classified")
{
  gateway::StoreCommand command;
  command.operation_ = gateway::StoreOperation::Commit;
  command.key_ = "lycheeplank/x";
  command.expect_ = 0;
  command.value_ = "v";
  command.lease_ = 5;
  const auto call = platform::WriteStoreCall(command);
  CHECK(call.method_ == "POST");
  CHECK(call.body_.find("\"value\":\"dg==\"") != std::string::npos);
  using gateway::StoreOutcome;
  const auto outcome = [&](int aStatus, const std::string& aBody) {
    return platform::ReadStoreReply(command, { aStatus, {}, aBody }).outcome_;
  };
  CHECK(outcome(200, R"({"revision": 4})") == StoreOutcome::Ok);
  CHECK(outcome(200, "{") == StoreOutcome::Lost);
  CHECK(outcome(412, "{}") == StoreOutcome::Conflict);
  CHECK(outcome(404, "") == StoreOutcome::Absent);
  CHECK(outcome(410, "") == StoreOutcome::Compacted);
  CHECK(outcome(429, "") == StoreOutcome::Refused);
  CHECK(outcome(503, "") == StoreOutcome::Refused);
  CHECK(outcome(0, "") == StoreOutcome::Lost);
  CHECK(outcome(500, "") == StoreOutcome::Lost);
}

TEST_CASE("events of a watch are decoded, including deletions")
{
  gateway::StoreCommand command;
  command.operation_ = gateway::StoreOperation::Watch;
  command.key_ = "servers/";
  const auto reply = platform::ReadStoreReply(
    command, { 200, {}, R"({"events": [{"key": "servers/a", "value": "eA==",
      "revision": 4, "created": 4}, {"key": "servers/b", "revision": 5,
      "deleted": true}], "as-of": 6})" });
  REQUIRE(reply.items_.size() == 2);
  CHECK(reply.items_[0].value_ == "x");
  CHECK(reply.items_[1].deleted_);
  CHECK(reply.revision_ == 6);
}

TEST_CASE("an order has the target, the fence and the expected order count")
{
  const auto call = platform::WriteOrder({ "i-1", "m", 4, "host", 41, 2U });
  CHECK(ValueOf(call.fields_, "X-Expect-Instance") == "i-1");
  CHECK(call.body_.find("\"precondition\":2") != std::string::npos);
  CHECK(call.body_.find("\"fence\":41") != std::string::npos);
  using gateway::OrderOutcome;
  CHECK(platform::ReadOrderOutcome({ 412, {}, "" }) == OrderOutcome::Fenced);
  CHECK(platform::ReadOrderOutcome({ 0, {}, "" }) == OrderOutcome::Lost);
  CHECK(platform::ReadOrderOutcome({ 202, {}, "" }) == OrderOutcome::Accepted);
}
