#include "cli/program.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cli/table.h"
#include "lycheeplank/config.h"
#include "lycheeplank/net.h"

namespace cli = lycheeplank::cli;
namespace config = lycheeplank::config;
namespace net = lycheeplank::net;
using Json = nlohmann::json;

namespace {

constexpr absl::string_view kOperatorKey = "operator-key";
const std::string kLimitsSection =
  "limits:\n  owner: on-call\n  values:\n    max_loading: 3\n";
const std::string kStoresSection = "stores:\n  owner: machines\n  entries:\n";

// A prepared answer; with status 0 the connection is aborted without an answer.
struct ScriptedAnswer
{
  int status_ = 200;
  std::string body_;
};

// An entry host that returns prepared answers and records the bodies of the
// requests.
class FakeEntry
{
public:
  FakeEntry()
    : server_(net::ServerOptions(),
              [this](const auto& aExchange) { HandleRequest(*aExchange); })
  {
  }

  std::string Address() const
  {
    return absl::StrCat("127.0.0.1:", server_.Port());
  }

  // Sets the answers to a call such as "GET /path". They are returned in turn;
  // the last one is repeated.
  void SetAnswers(const std::string& aCall,
                  std::vector<ScriptedAnswer> aAnswers)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    answers_[aCall] = std::move(aAnswers);
  }

  // Returns the bodies of the received requests of a call.
  std::vector<std::string> ReceivedBodies(const std::string& aCall)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return bodies_[aCall];
  }

private:
  void HandleRequest(net::Exchange& aExchange)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto& request = aExchange.request_;
    const std::string call = absl::StrCat(request.method_, " ", request.path_);
    bodies_[call].push_back(request.body_);
    if (net::FindField(request.headers_, "Authorization") !=
        absl::StrCat("Bearer ", kOperatorKey)) {
      aExchange.Reply(
        401, {}, R"({"type":"x/wrong_key","title":"The key is not known"})");
      return;
    }
    auto& answers = answers_[call];
    if (answers.empty()) {
      aExchange.Reply(404, {}, R"({"title":"There is nothing here"})");
      return;
    }
    const ScriptedAnswer answer = answers.front();
    if (answers.size() > 1) {
      answers.erase(answers.begin());
    }
    if (answer.status_ == 0) {
      aExchange.Abort();
      return;
    }
    aExchange.Reply(answer.status_, {}, answer.body_);
  }

  std::mutex mutex_;
  std::map<std::string, std::vector<ScriptedAnswer>> answers_;
  std::map<std::string, std::vector<std::string>> bodies_;
  net::Server server_;
};

// The exit status and the output of a run of the client.
struct RunResult
{
  int code_ = 0;
  std::string out_;
  std::string err_;
};

// Runs the client with the given command line and standard input. The addresses
// of the entry hosts and the operators' key are set in the environment.
RunResult
RunClient(const std::string& aEntries,
          const std::string& aCommandLine,
          const std::string& aInput = "")
{
  ::setenv("LYCHEEPLANK_ENTRIES", aEntries.c_str(), 1);
  ::setenv("LYCHEEPLANK_OPERATOR_KEY", std::string(kOperatorKey).c_str(), 1);
  std::vector<std::string> words{ "lycheeplank" };
  for (const auto word : absl::StrSplit(aCommandLine, ' ', absl::SkipEmpty())) {
    words.emplace_back(word);
  }
  std::vector<const char*> arguments;
  arguments.reserve(words.size());
  for (const auto& word : words) {
    arguments.push_back(word.c_str());
  }
  std::istringstream in(aInput);
  std::ostringstream out;
  std::ostringstream err;
  const int code = cli::Run(
    static_cast<int>(arguments.size()), arguments.data(), { in, out, err });
  return { code, out.str(), err.str() };
}

// Returns a configuration of the sections limits, with the given text, and
// stores.
std::string
ConfigBody(int aRevision, const std::string& aLimits)
{
  return Json({ { "revision", aRevision },
                { "sections",
                  { { { "name", "limits" },
                      { "owner", "on-call" },
                      { "revision", aRevision },
                      { "text", aLimits } },
                    { { "name", "stores" },
                      { "owner", "machines" },
                      { "revision", 1 },
                      { "text", kStoresSection } } } } })
    .dump();
}

// Returns the configuration status of the live hosts h1 and h2, with the given
// revisions, and the dead host h3.
std::string
StatusBody(int aFirst, int aSecond)
{
  return Json({ { "revision", 8 },
                { "hosts",
                  { { { "name", "h1" },
                      { "status", "alive" },
                      { "revision", aFirst } },
                    { { "name", "h2" },
                      { "status", "suspect" },
                      { "revision", aSecond } },
                    { { "name", "h3" },
                      { "status", "dead" },
                      { "revision", 1 } } } } })
    .dump();
}

// Returns the output of "config show" with an edited number in section limits.
std::string
EditedDocument(FakeEntry& aEntry)
{
  const auto shown = RunClient(aEntry.Address(), "config show");
  REQUIRE(shown.code_ == 0);
  return absl::StrReplaceAll(shown.out_,
                             { { "max_loading: 3", "max_loading: 4" } });
}

} // namespace

TEST_CASE("help, version and usage errors have their exit codes")
{
  const auto help = RunClient("", "--help");
  CHECK(help.code_ == 0);
  CHECK(absl::StrContains(help.out_, "Exit codes:"));
  CHECK(absl::StrContains(help.out_, "LYCHEEPLANK_ENTRIES"));
  CHECK(RunClient("", "config apply --help").code_ == 0);
  const auto version = RunClient("", "--version");
  CHECK(version.code_ == 0);
  CHECK(version.out_ == "lycheeplank 0.1.0\n");
  CHECK(RunClient("", "").code_ == 2);
  CHECK(RunClient("", "nonsense").code_ == 2);
  CHECK(RunClient("", "hosts").code_ == 2);
  CHECK(RunClient("127.0.0.1:9", "hosts --output xml").code_ == 2);
  CHECK(RunClient("127.0.0.1:9", "hosts --output yaml").code_ == 2);
  CHECK(RunClient("127.0.0.1:9", "config apply - --wait soon").code_ == 2);
}

TEST_CASE("key digest prints the SHA-256 digest of the key without its newline")
{
  const auto result = RunClient("", "key digest", "password\n");
  CHECK(result.code_ == 0);
  CHECK(result.out_ ==
        "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef72"
        "1d1542d8\n");
  CHECK(RunClient("", "key digest", "\n").code_ == 2);
}

TEST_CASE("config check needs no entry host")
{
  CHECK(RunClient("", "config check -", kLimitsSection).code_ == 0);
  const auto wrong = RunClient(
    "", "config check -", "\nlimits:\n  owner: a\n  values: {x: 1}\n");
  CHECK(wrong.code_ == 3);
  CHECK(absl::StrContains(wrong.err_, "-:4: limits.values.x: is no field"));
  const auto asJson = RunClient("", "config check - --output json", "x: 1\n");
  CHECK(asJson.code_ == 3);
  CHECK(Json::parse(asJson.out_).at("problems").size() >= 1);
  CHECK(RunClient("", "config check /nonexistent/file").code_ == 1);
}

TEST_CASE("the output of config show can be split and contains its revision")
{
  FakeEntry entry;
  entry.SetAnswers("GET /v1/admin/config",
                   { { 200, ConfigBody(7, kLimitsSection) } });
  const auto shown = RunClient(entry.Address(), "config show --output yaml");
  REQUIRE(shown.code_ == 0);
  CHECK(absl::StartsWith(shown.out_, "# revision: 7 "));
  const auto document = config::Split(shown.out_);
  CHECK(document.problems_.empty());
  REQUIRE(document.sections_.size() == 2);
  CHECK(document.sections_[1].text_ == kLimitsSection);
  const auto table = RunClient(entry.Address(), "config show --output table");
  CHECK(absl::StrContains(table.out_, "SECTION  OWNER     REVISION  BYTES\n"));
  CHECK(absl::StrContains(table.out_, "limits   on-call   7"));
  const auto one = RunClient(entry.Address(), "config show --section limits");
  CHECK_FALSE(absl::StrContains(one.out_, "stores:"));
  const auto asJson =
    RunClient(entry.Address(), "config show --section limits --output json");
  CHECK(Json::parse(asJson.out_).at("sections").size() == 1);
  CHECK(RunClient(entry.Address(), "config show --section x").code_ == 1);
}

TEST_CASE("config diff shows the changed lines")
{
  FakeEntry entry;
  entry.SetAnswers("GET /v1/admin/config",
                   { { 200, ConfigBody(7, kLimitsSection) } });
  const auto edited = EditedDocument(entry);
  const auto diff = RunClient(entry.Address(), "config diff -", edited);
  CHECK(diff.code_ == 0);
  CHECK(diff.out_ == "section limits\n@@ -4 +4 @@\n-    max_loading: 3\n"
                     "+    max_loading: 4\n");
}

TEST_CASE("config apply sends the base revision and waits for every live host")
{
  FakeEntry entry;
  entry.SetAnswers("GET /v1/admin/config",
                   { { 200, ConfigBody(7, kLimitsSection) } });
  entry.SetAnswers("POST /v1/admin/config",
                   { { 200, R"({"revision":8,"hosts":[]})" } });
  entry.SetAnswers("GET /v1/admin/config/status",
                   { { 200, StatusBody(8, 7) },
                     { 503, R"({"title":"not ready"})" },
                     { 200, StatusBody(8, 8) } });
  const auto edited = EditedDocument(entry);
  const auto result =
    RunClient(entry.Address(), "config apply - --author ngozi", edited);
  INFO(result.err_);
  CHECK(result.code_ == 0);
  CHECK(result.out_ == "revision 8 accepted\n");
  CHECK(absl::StrContains(result.err_, "1 of 2 hosts have revision 8"));
  CHECK(absl::StrContains(result.err_, "2 of 2 hosts have revision 8"));
  const auto bodies = entry.ReceivedBodies("POST /v1/admin/config");
  REQUIRE(bodies.size() == 1);
  const Json sent = Json::parse(bodies[0]);
  CHECK(sent.at("base_revision") == 7);
  CHECK(sent.at("author") == "ngozi");
  REQUIRE(sent.at("sections").size() == 1);
  CHECK(sent.at("sections")[0].at("name") == "limits");
}

TEST_CASE("config apply names the hosts that lag")
{
  FakeEntry entry;
  entry.SetAnswers("GET /v1/admin/config",
                   { { 200, ConfigBody(7, kLimitsSection) } });
  entry.SetAnswers("POST /v1/admin/config", { { 200, R"({"revision":8})" } });
  entry.SetAnswers("GET /v1/admin/config/status",
                   { { 200, StatusBody(8, 7) } });
  const auto edited = EditedDocument(entry);
  const auto result =
    RunClient(entry.Address(), "config apply - --wait 300ms", edited);
  CHECK(result.code_ == 6);
  CHECK(absl::StrContains(result.err_, "not known to be in force on: h2"));
  const auto asJson = RunClient(
    entry.Address(), "config apply - --wait 300ms --output json", edited);
  CHECK(asJson.code_ == 6);
  CHECK(Json::parse(asJson.out_).at("lagging") == Json({ "h2" }));
  CHECK(RunClient(entry.Address(), "config apply - --wait 0s", edited).code_ ==
        0);
}

TEST_CASE("config apply does not revert sections that others changed")
{
  FakeEntry entry;
  entry.SetAnswers("GET /v1/admin/config",
                   { { 200, ConfigBody(7, kLimitsSection) } });
  const auto shown = RunClient(entry.Address(), "config show");
  const std::string newer =
    absl::StrReplaceAll(kLimitsSection, { { "loading: 3", "loading: 9" } });
  entry.SetAnswers("GET /v1/admin/config", { { 200, ConfigBody(8, newer) } });
  entry.SetAnswers("POST /v1/admin/config", { { 200, R"({"revision":9})" } });
  const auto edited = absl::StrReplaceAll(
    shown.out_, { { "owner: machines", "owner: hardware" } });
  CHECK(RunClient(entry.Address(), "config apply - --wait 0s", edited).code_ ==
        0);
  const auto bodies = entry.ReceivedBodies("POST /v1/admin/config");
  REQUIRE(bodies.size() == 1);
  const Json sent = Json::parse(bodies[0]);
  REQUIRE(sent.at("sections").size() == 1);
  CHECK(sent.at("sections")[0].at("name") == "stores");
}

TEST_CASE("config apply without a base revision needs --force")
{
  FakeEntry entry;
  entry.SetAnswers("GET /v1/admin/config", { { 200, ConfigBody(7, "") } });
  entry.SetAnswers("POST /v1/admin/config", { { 200, R"({"revision":8})" } });
  const auto refused =
    RunClient(entry.Address(), "config apply -", kLimitsSection);
  CHECK(refused.code_ == 2);
  CHECK(absl::StrContains(refused.err_, "--force"));
  CHECK(entry.ReceivedBodies("POST /v1/admin/config").empty());
  const auto forced = RunClient(
    entry.Address(), "config apply - --force --wait 0s", kLimitsSection);
  CHECK(forced.code_ == 0);
  const Json sent =
    Json::parse(entry.ReceivedBodies("POST /v1/admin/config").at(0));
  CHECK(sent.at("base_revision") == 7);
}

TEST_CASE("errors of entry hosts have their exit codes")
{
  FakeEntry entry;
  entry.SetAnswers("GET /v1/admin/config",
                   { { 200, ConfigBody(7, kLimitsSection) } });
  const auto edited = EditedDocument(entry);
  entry.SetAnswers(
    "POST /v1/admin/config",
    { { 409,
        R"({"type":"https://x/config_conflict","title":"Changed",)"
        R"json("detail":"limits (revision 8)","remedy":"Edit again."})json" } });
  const auto conflict = RunClient(entry.Address(), "config apply -", edited);
  CHECK(conflict.code_ == 4);
  CHECK(absl::StrContains(conflict.err_, "Changed: limits (revision 8)\n"));
  CHECK(absl::StrContains(conflict.err_, "Edit again."));
  entry.SetAnswers(
    "POST /v1/admin/config",
    { { 422,
        R"({"title":"Invalid","problems":[{"section":"rules","line":3,)"
        R"("field":"entries.a.models","message":"'m' is not in models"}]})" } });
  const auto invalid = RunClient(entry.Address(), "config apply -", edited);
  CHECK(invalid.code_ == 3);
  CHECK(absl::StrContains(invalid.err_,
                          "-:3: rules.entries.a.models: 'm' is not in"));
  entry.SetAnswers("POST /v1/admin/rollouts",
                   { { 409, R"({"title":"Runs"})" } });
  CHECK(RunClient(entry.Address(), "rollout start m v2").code_ == 1);
  entry.SetAnswers("GET /v1/admin/hosts", { { 200, "not json" } });
  CHECK(RunClient(entry.Address(), "hosts").code_ == 1);
  entry.SetAnswers("GET /v1/admin/hosts", { { 200, R"({"hosts":3})" } });
  CHECK(RunClient(entry.Address(), "hosts").code_ <= 1);
}

TEST_CASE("config apply checks the document before it sends it")
{
  FakeEntry entry;
  entry.SetAnswers("GET /v1/admin/config",
                   { { 200, ConfigBody(7, kLimitsSection) } });
  const auto edited = absl::StrReplaceAll(
    EditedDocument(entry), { { "max_loading: 4", "max_loading: no" } });
  const auto result = RunClient(entry.Address(), "config apply -", edited);
  CHECK(result.code_ == 3);
  CHECK(absl::StrContains(result.err_, "-:9: limits.values.max_loading"));
  CHECK(entry.ReceivedBodies("POST /v1/admin/config").empty());
}

TEST_CASE("the next entry host is tried when one fails")
{
  FakeEntry broken;
  FakeEntry entry;
  const std::string hosts =
    R"({"hosts":[{"name":"h1","status":"alive","data_centre":"lagos-west-1",)"
    R"("http_address":"10.0.0.1:80","config_revision":8,)"
    R"("load_permille":120}]})";
  entry.SetAnswers("GET /v1/admin/hosts", { { 200, hosts } });
  broken.SetAnswers("GET /v1/admin/hosts",
                    { { 503, R"({"title":"Not ready"})" } });
  const std::string both =
    absl::StrCat("127.0.0.1:1,", broken.Address(), ",", entry.Address());
  const auto result = RunClient(both, "hosts");
  CHECK(result.code_ == 0);
  CHECK(result.out_ ==
        "HOST  STATUS  DATA CENTRE   ADDRESS      REVISION  LOAD PERMILLE\n"
        "h1    alive   lagos-west-1  10.0.0.1:80  8         120\n");
  CHECK(RunClient("127.0.0.1:1", "hosts").code_ == 5);
  CHECK(RunClient(broken.Address(), "hosts").code_ == 1);
  broken.SetAnswers("GET /v1/admin/hosts", { { 0, "" } });
  CHECK(RunClient(both, "hosts").code_ == 0);
}

TEST_CASE("a rollout start that may have been carried out is not sent again")
{
  FakeEntry broken;
  FakeEntry entry;
  broken.SetAnswers("POST /v1/admin/rollouts", { { 0, "" } });
  entry.SetAnswers("POST /v1/admin/rollouts",
                   { { 200, R"({"rollout":"r1"})" } });
  const std::string both = absl::StrCat(broken.Address(), ",", entry.Address());
  const auto result = RunClient(both, "rollout start wording 2026-12");
  CHECK(result.code_ == 1);
  CHECK(absl::StrContains(result.err_, "may have been carried out"));
  CHECK(entry.ReceivedBodies("POST /v1/admin/rollouts").empty());
  CHECK(broken.ReceivedBodies("POST /v1/admin/rollouts").size() == 1);
  const std::string first = absl::StrCat("127.0.0.1:1,", entry.Address());
  const auto started = RunClient(first, "rollout start wording 2026-12");
  CHECK(started.code_ == 0);
  CHECK(started.out_ == "rollout r1 started\n");
}

TEST_CASE("lists are printed as tables and as JSON")
{
  FakeEntry entry;
  entry.SetAnswers(
    "GET /v1/admin/targets",
    { { 200, R"({"targets":[{"name":"w1","kind":"engine"}]})" } });
  entry.SetAnswers("GET /v1/admin/stores", { { 200, R"({"stores":[]})" } });
  entry.SetAnswers(
    "GET /v1/admin/config/history",
    { { 200,
        R"({"changes":[{"revision":8,"unix_ms":1800000000000,)"
        R"("author":"ngozi\u001b[2J","sections":["limits","rules"]}]})" } });
  entry.SetAnswers("GET /v1/admin/config/status",
                   { { 200, StatusBody(8, 7) } });
  entry.SetAnswers("GET /v1/admin/rollouts", { { 200, R"({"rollouts":[]})" } });
  entry.SetAnswers("DELETE /v1/admin/rollouts/wording", { { 200, "{}" } });
  entry.SetAnswers(
    "GET /v1/admin/requests/r1",
    { { 200,
        R"({"id":"r1","workspace":"nursing","kind":"completion","events":)"
        R"([{"unix_ms":1800000000000,"what":"admitted","detail":"queue 2"},)"
        R"({"unix_ms":1800000000250,"what":"sent","detail":"to w1"}]})" } });
  const auto run = [&](const std::string& aCommandLine) {
    const auto result = RunClient(entry.Address(), aCommandLine);
    INFO(result.err_);
    CHECK(result.code_ == 0);
    return result.out_;
  };
  CHECK(absl::StrContains(run("targets"), "w1      engine  -"));
  CHECK(Json::parse(run("targets --output json")).contains("targets"));
  CHECK(absl::StartsWith(run("stores"), "STORE  "));
  CHECK(absl::StrContains(run("config history"),
                          "8         2027-01-15 08:00:00.000Z  ngozi?[2J  "
                          "limits,rules"));
  CHECK(absl::StrContains(run("config status"), "h2    suspect  7"));
  CHECK(absl::StartsWith(run("rollout status"), "MODEL  "));
  CHECK(run("rollout stop wording") == "rollout of wording stopped\n");
  CHECK(absl::StrContains(run("request r1"), "sent        to w1"));
  CHECK(absl::StrContains(run("explain r1"), "08:00:00.250Z  sent"));
}

TEST_CASE("DiffLines returns the changed lines in hunks")
{
  CHECK(cli::DiffLines("a\nb\n", "a\nb\n").empty());
  CHECK(cli::DiffLines("a\nb\nc\n", "a\nc\n") == "@@ -2 +2 @@\n-b\n");
  CHECK(cli::DiffLines("", "a\n") == "@@ -1 +1 @@\n+a\n");
  CHECK(cli::DiffLines("a\nx\nb\ny\n", "a\nz\nb\nw\n") ==
        "@@ -2 +2 @@\n-x\n+z\n@@ -4 +4 @@\n-y\n+w\n");
  std::string left;
  std::string right;
  for (int i = 0; i < 5000; ++i) {
    absl::StrAppend(&left, "l", i, "\n");
    absl::StrAppend(&right, "r", i, "\n");
  }
  CHECK(absl::StrContains(cli::DiffLines(left, right), "-l4999\n+r0\n"));
}

TEST_CASE("route prints the decision and the candidates of a gateway host")
{
  std::mutex mutex;
  std::string path;
  std::string key = "none";
  const auto body =
    Json({ { "host", "h1" },
           { "route", "r" },
           { "service", "s" },
           { "priority", 1 },
           { "decision",
             { { "outcome", "reject" },
               { "target", "" },
               { "reason", "targets_closed" },
               { "status", 503 },
               { "retry_after_ms", 700 } } },
           { "candidates",
             { { { "target", "t1" }, { "excluded", "closed" } } } } })
      .dump();
  net::Server host(net::ServerOptions(), [&](const auto& aExchange) {
    const std::lock_guard<std::mutex> lock(mutex);
    path = aExchange->request_.path_;
    key = std::string(
      net::FindField(aExchange->request_.headers_, "Authorization"));
    aExchange->Reply(200, {}, body);
  });
  const auto address = absl::StrCat("127.0.0.1:", host.Port());
  const auto result = RunClient(
    address, "route chat.example /chat/x --model m --prompt-tokens 3000");
  INFO(result.err_);
  CHECK(result.code_ == 0);
  CHECK(absl::StrContains(result.out_, "targets_closed"));
  CHECK(absl::StrContains(result.out_, "700"));
  CHECK(absl::StrContains(result.out_, "t1"));
  CHECK(absl::StrContains(path, "/peer/route"));
  // The operators' key isn't sent to gateway hosts.
  CHECK_FALSE(absl::StrContains(key, kOperatorKey));
  const auto json =
    RunClient(address, "route chat.example /chat/x --output json");
  CHECK(Json::parse(json.out_).at("decision").at("status") == 503);
  CHECK(RunClient(address, "route chat.example").code_ == 2);
}
