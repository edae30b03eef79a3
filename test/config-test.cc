#include "lycheeplank/config.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>

namespace config = lycheeplank::config;

namespace {

constexpr absl::string_view kDocument = R"(# revision: 7
# The schools' part.
workspaces:
  owner: members-desk
  entries:
    nursing:
      key_digests:
        - 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
      share: 2.5
      max_running: 32
      max_waiting: 64
      requests_per_second: 40
    trades:
      share: 1

models:
  owner: wording-team
  entries:
    wording:
      versions: {v1: 0.9, v2: 0.1}
      adapters: [formal]
      block_tokens: 2000
      kv_bytes_per_token: 1kB
      max_tokens: 2048
      objective: {ttft_weight: 3, recompute_weight: 0.1, link_weight: 0}
      policy: estimate

services:
  owner: registry-team
  entries:
    registry:
      calls:
        issue: {repeatable: false, timeout: 5s}
        check: {}

rules:
  owner: members-desk
  entries:
    all-wording: {workspaces: ["*"], models: [wording]}
    nursing-issues:
      workspaces: [nursing]
      services: [registry]
      data_centres: [lagos-west-1]

targets:
  owner: machines
  entries:
    w1:
      kind: engine
      url: http://10.1.0.1:8000
      data_centre: lagos-west-1
      serves: wording
      prefill_tokens_per_second: 18000
      honours_fencing: false
    r1: {kind: service, url: "http://10.1.0.2:8000", data_centre: lagos-west-2,
         serves: registry}

stores:
  owner: machines
  entries:
    s1:
      url: http://10.1.0.3:8000
      data_centre: lagos-west-1
      memory_bytes: 64GiB
      disk_bytes: 2TB
      link_bytes_per_second: 125MB

limits:
  owner: on-call
  values:
    claim_retention: 24h
    caller_retry_window: 12h
    max_loading: 3
# The end.
)";

std::vector<config::Problem>
ProblemsOf(absl::string_view aText)
{
  const auto document = config::Split(aText);
  auto problems = document.problems_;
  for (auto& problem : config::Check(document.sections_).problems_) {
    problems.push_back(std::move(problem));
  }
  return problems;
}

std::string
DescribeAll(const std::vector<config::Problem>& aProblems)
{
  std::string text;
  for (const auto& problem : aProblems) {
    absl::StrAppend(&text, config::Describe(problem), "\n");
  }
  return text;
}

// Returns the document with one text, which it must contain, replaced.
std::string
Edited(absl::string_view aFrom, absl::string_view aTo)
{
  REQUIRE(absl::StrContains(kDocument, aFrom));
  return absl::StrReplaceAll(kDocument, { { aFrom, aTo } });
}

// Returns the content of a file in the source folder. The test may be started
// in that folder or in the build folder.
std::string
SourceFile(const std::string& aName)
{
  for (const std::string folder : { "", "../" }) {
    if (std::ifstream file(folder + aName); file) {
      std::ostringstream text;
      text << file.rdbuf();
      return text.str();
    }
  }
  FAIL("start the test in the source or the build folder: no " << aName);
  return "";
}

// Returns the allowed fields that the message about an unknown field lists.
std::vector<std::string>
AllowedFields(absl::string_view aText)
{
  constexpr absl::string_view kMark = "allowed are ";
  const auto problems = ProblemsOf(aText);
  for (const auto& problem : problems) {
    const std::size_t at = problem.message_.find(kMark.data());
    if (at != std::string::npos) {
      return absl::StrSplit(problem.message_.substr(at + kMark.size()), ", ");
    }
  }
  FAIL("no fields listed: " << DescribeAll(problems));
  return {};
}

std::size_t
CountTargets(const config::Config& aConfig, config::TargetKind aKind)
{
  return static_cast<std::size_t>(std::count_if(
    aConfig.targets_.begin(), aConfig.targets_.end(), [&](const auto& aEntry) {
      return aEntry.second.kind_ == aKind;
    }));
}

} // namespace

TEST_CASE("a document with all sections is parsed")
{
  const auto document = config::Split(kDocument);
  REQUIRE(document.problems_.empty());
  REQUIRE(document.sections_.size() == config::kSections.size());
  CHECK(document.sections_[0].owner_ == "members-desk");
  const auto checked = config::Check(document.sections_);
  INFO(DescribeAll(checked.problems_));
  REQUIRE(checked.problems_.empty());
  const auto& read = checked.config_;
  CHECK(read.workspaces_.at("nursing").share_ == 2.5);
  CHECK(read.workspaces_.at("nursing").maxRunning_ == 32);
  CHECK(read.workspaces_.at("nursing").requestsPerSecond_ == 40);
  CHECK(read.workspaceByKeyDigest_.at(
          "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8") ==
        "nursing");
  const auto& model = read.models_.at("wording");
  REQUIRE(model.versions_.size() == 2);
  CHECK(model.versions_[1].name_ == "v2");
  CHECK(model.versions_[1].share_ == 0.1);
  CHECK(model.kvBytesPerToken_ == 1000);
  CHECK(model.objective_.ttftWeight_ == 3);
  const auto& calls = read.services_.at("registry").calls_;
  CHECK_FALSE(calls.at("issue").repeatable_);
  CHECK(calls.at("issue").timeout_ == absl::Seconds(5));
  CHECK(calls.at("check").repeatable_);
  CHECK_FALSE(read.targets_.at("w1").honoursFencing_);
  CHECK(read.targets_.at("r1").kind_ == config::TargetKind::Service);
  CHECK(read.stores_.at("s1").memoryBytes_ == 64ULL << 30U);
  CHECK(read.stores_.at("s1").diskBytes_ == 2000000000000ULL);
  CHECK(read.stores_.at("s1").linkBytesPerSecond_ == 125e6);
  CHECK(read.limits_.maxLoading_ == 3);
  CHECK(read.limits_.claimRetention_ == absl::Hours(24));
}

TEST_CASE("splitting and joining a document keeps its sections and comments")
{
  const auto document = config::Split(kDocument);
  const std::string joined = config::Join(document.sections_);
  CHECK(absl::StrContains(joined, "# The schools' part."));
  CHECK(absl::StrContains(joined, "# The end."));
  CHECK_FALSE(absl::StrContains(joined, "# revision:"));
  const auto again = config::Split(joined);
  REQUIRE(again.sections_.size() == document.sections_.size());
  for (std::size_t i = 0; i < again.sections_.size(); ++i) {
    CHECK(again.sections_[i].text_ == document.sections_[i].text_);
  }
}

TEST_CASE("rules decide which workspace may use a model or service in which "
          "data centre")
{
  using config::TargetKind;
  const auto checked = config::Check(config::Split(kDocument).sections_);
  const auto allowed = [&](absl::string_view aWorkspace,
                           TargetKind aKind,
                           absl::string_view aServes,
                           absl::string_view aDataCentre) {
    return config::IsAllowed(
      checked.config_, aWorkspace, aKind, aServes, aDataCentre);
  };
  CHECK(allowed("trades", TargetKind::Engine, "wording", "lagos-west-3"));
  CHECK(allowed("nursing", TargetKind::Service, "registry", "lagos-west-1"));
  CHECK(allowed("nursing", TargetKind::Service, "registry", ""));
  CHECK_FALSE(
    allowed("nursing", TargetKind::Service, "registry", "lagos-west-2"));
  CHECK_FALSE(
    allowed("trades", TargetKind::Service, "registry", "lagos-west-1"));
  CHECK_FALSE(allowed("nobody", TargetKind::Engine, "wording", ""));
  CHECK_FALSE(allowed("nursing", TargetKind::Service, "wording", ""));
}

TEST_CASE("each kind of mistake is reported with its section, line and field")
{
  struct Mistake
  {
    absl::string_view from_;
    absl::string_view to_;
    absl::string_view expected_;
  };
  const std::vector<Mistake> mistakes{
    { "max_waiting: 64",
      "max_wating: 64",
      "workspaces line 11, "
      "entries.nursing.max_wating: is no field of this; allowed are "
      "key_digests, share, max_running, max_waiting" },
    { "share: 2.5", "share: nan", "'nan' is not a number from 0.001 to" },
    { "share: 2.5", "share: -1", "'-1' is not a number" },
    { "share: 2.5", "share: [1]", "a list is not a number" },
    { "max_running: 32", "max_running: 0", "a whole number from 1 to" },
    { "max_running: 32", "max_running: 1.5", "a whole number from 1 to" },
    { "share: 2.5", "share: 2\n      share: 3", "is given twice" },
    { "    trades:",
      "    nursing:",
      "workspaces line 13, entries.nursing: is "
      "given twice" },
    { "5e884898", "zz884898", "64 hexadecimal digits" },
    { "      share: 1\n",
      "      key_digests: [5E884898da28047151d0e56f8dc6292773603d0d6aabbdd62a1"
      "1ef721d1542d8]\n",
      "is already a key of workspace nursing" },
    { "{v1: 0.9, v2: 0.1}", "{v1: 0, v2: 0}", "shares sum to zero" },
    { "{v1: 0.9, v2: 0.1}", "{}", "shares sum to zero" },
    { "{v1: 0.9, v2: 0.1}", "[v1]", "a list is not a mapping" },
    { "ttft_weight: 3, recompute_weight: 0.1",
      "ttft_weight: 0, recompute_weight: 0",
      "weights sum to zero" },
    { "policy: estimate", "policy: best", "one of estimate, round-robin" },
    { "1kB", "1 stone", "a size like 64MB" },
    { "timeout: 5s", "timeout: 5", "a duration like 14s" },
    { "timeout: 5s", "timeout: inf", "a duration like 14s" },
    { "repeatable: false", "repeatable: no", "true or false" },
    { "models: [wording]",
      "models: [wordnig]",
      "rules line 39, entries.all-wording.models: 'wordnig' is not in section "
      "models" },
    { "services: [registry]", "services: [x]", "not in section services" },
    { "workspaces: [nursing]", "workspaces: [x]", "not in section workspaces" },
    { "serves: wording",
      "serves: x",
      "targets line 52, entries.w1.serves: 'x' "
      "is not in section models" },
    { "kind: engine", "kind: service", "not in section services" },
    { "      kind: engine\n", "", "entries.w1.kind: is missing" },
    { "10.1.0.2", "10.1.0.1", "is also the address of r1" },
    { "10.1.0.3", "10.1.0.1", "is also the address of w1" },
    { "http://10.1.0.3:8000", "10.1.0.3:8000", "an address like http://" },
    { "http://10.1.0.3:8000", "http://10.1.0.3:80000", "an address like" },
    { "claim_retention: 24h",
      "claim_retention: 12h",
      "not longer than caller_retry_window" },
    { "claim_retention: 24h", "default_deadline: 2h", "max_deadline" },
    { "  owner: on-call\n", "", "limits line 69, owner: is missing" },
    { "stores:", "shops:", "is not a section; allowed are workspaces, models" },
    { "stores:", "targets:", "is given twice" },
    { "{v1: 0.9, v2: 0.1}", "&a {v1: *a}", "aliases like *name" },
    { "[formal]", "[formal", "is not valid YAML" },
    { "[formal]", "[formal, formal]", "'formal' is given twice" },
    { "    wording:\n", "    \"*\":\n", "the key '*' is not a name" },
  };
  for (const auto& mistake : mistakes) {
    const std::string text =
      DescribeAll(ProblemsOf(Edited(mistake.from_, mistake.to_)));
    INFO(mistake.to_ << "\nexpected: " << mistake.expected_ << "\n" << text);
    CHECK(absl::StrContains(text, mistake.expected_));
  }
}

TEST_CASE("the example documents are valid and have the expected sizes")
{
  struct Expected
  {
    std::string name_;
    std::size_t engines_;
  };
  for (const auto& [name, engines] : { Expected{ "co-operative.yaml", 20 },
                                       Expected{ "authority.yaml", 12 } }) {
    INFO(name);
    const std::string text = SourceFile("examples/" + name);
    INFO(DescribeAll(ProblemsOf(text)));
    CHECK(ProblemsOf(text).empty());
    const auto checked = config::Check(config::Split(text).sections_);
    CHECK(checked.config_.workspaces_.size() == 10);
    CHECK(checked.config_.workspaceByKeyDigest_.size() == 10);
    CHECK(CountTargets(checked.config_, config::TargetKind::Engine) == engines);
    CHECK(CountTargets(checked.config_, config::TargetKind::Service) == 4);
    CHECK(checked.config_.stores_.size() == 2);
  }
}

TEST_CASE("the reference page lists every field of every section")
{
  const std::string page = SourceFile("docs/configuration.md");
  std::size_t fields = 0;
  for (const std::string path :
       { "workspaces: {owner: a, entries: {e: {FIELD: 1}}}",
         "models: {owner: a, entries: {e: {FIELD: 1}}}",
         "models: {owner: a, entries: {e: {objective: {FIELD: 1}}}}",
         "services: {owner: a, entries: {e: {FIELD: 1}}}",
         "services: {owner: a, entries: {e: {calls: {c: {FIELD: 1}}}}}",
         "rules: {owner: a, entries: {e: {FIELD: 1}}}",
         "targets: {owner: a, entries: {e: {FIELD: 1}}}",
         "stores: {owner: a, entries: {e: {FIELD: 1}}}",
         "limits: {owner: a, values: {FIELD: 1}}" }) {
    for (const auto& field : AllowedFields(path)) {
      INFO(path << " " << field);
      CHECK(absl::StrContains(page, absl::StrCat("| `", field, "` |")));
      ++fields;
    }
  }
  CHECK(fields == 47);
}

TEST_CASE("an empty document has no sections and the default limits")
{
  CHECK(ProblemsOf("").empty());
  CHECK(ProblemsOf("# only a comment\n---\n").empty());
  CHECK(ProblemsOf("models:\n  owner: a\n  entries:\n").empty());
  CHECK_FALSE(ProblemsOf("models:\n").empty());
  CHECK_FALSE(ProblemsOf("models: 3\n").empty());
  CHECK_FALSE(ProblemsOf("hello\n").empty());
}

namespace {

// Checks that Check and CheckChanges return the same result for a document.
void
CheckBothWays(const std::string& aBefore, const std::string& aAfter)
{
  const auto before = config::Split(aBefore);
  const auto basis = config::Check(before.sections_);
  REQUIRE(basis.problems_.empty());
  const auto after = config::Split(aAfter);
  const auto whole = config::Check(after.sections_);
  const auto changes =
    config::CheckChanges(after.sections_, before.sections_, basis.config_);
  INFO(aAfter);
  CHECK(DescribeAll(changes.problems_) == DescribeAll(whole.problems_));
  if (whole.problems_.empty()) {
    CHECK(changes.config_ == whole.config_);
  }
}

std::string
Replaced(const std::string& aOld, const std::string& aNew)
{
  return absl::StrReplaceAll(kDocument, { { aOld, aNew } });
}

} // namespace

TEST_CASE("checking only the changes gives the same result as a full check")
{
  const std::string document(kDocument);
  CheckBothWays(document, document);
  // An entry is changed, added or renamed; a value, an owner or white space is
  // changed; or a section is removed.
  CheckBothWays(document, Replaced("18000", "19000"));
  CheckBothWays(
    document, Replaced("    w1:\n", "    w0:\n      kind: engine\n    w1:\n"));
  CheckBothWays(document, Replaced("    w1:\n", "    w9:\n"));
  CheckBothWays(document, Replaced("max_loading: 3", "max_loading: 4"));
  CheckBothWays(document, Replaced("owner: machines", "owner: others"));
  CheckBothWays(document, Replaced("\nstores:", "\n\nstores:"));
  CheckBothWays(document, document.substr(0, document.find("stores:")));
}

TEST_CASE("a section that can't be split by lines is checked in full")
{
  const std::string document(kDocument);
  // A scalar of several lines, a repeated name, an unclosed bracket, a quoted
  // name, and an anchor.
  CheckBothWays(document,
                Replaced("      serves: wording\n",
                         "      serves: \"wording\n    r7: x\"\n"));
  CheckBothWays(document, Replaced("    s1:\n", "    s1: {}\n    s1:\n"));
  CheckBothWays(document, Replaced("    w1:\n", "    w1: {kind: engine\n"));
  CheckBothWays(document, Replaced("    w1:\n", "    \"w1\":\n"));
  CheckBothWays(document,
                Replaced("  entries:\n    w1:", "  entries: &a\n    w1:"));
  CheckBothWays(Replaced("    w1:\n", "    \"w1\":\n"), document);
}

TEST_CASE("problems in a change are reported with line numbers of the document")
{
  const std::string document(kDocument);
  CheckBothWays(document, Replaced("18000", "a lot"));
  CheckBothWays(document, Replaced("serves: wording", "serves: nothing"));
  CheckBothWays(document, Replaced("s1:\n", "s1:\n      colour: red\n"));
}

TEST_CASE("random changes give the same result as a full check")
{
  std::mt19937_64 random(7);
  const std::string document(kDocument);
  for (int i = 0; i < 300; ++i) {
    std::string changed = document;
    const std::size_t at = random() % changed.size();
    const std::size_t length = random() % 12;
    const std::string piece =
      document.substr(random() % document.size(), random() % 12);
    changed.replace(at, std::min(length, changed.size() - at), piece);
    CheckBothWays(document, changed);
  }
}

TEST_CASE("damaged documents never crash the parser")
{
  constexpr int kRounds = 400;
  constexpr absl::string_view kPieces[] = {
    ":",    "-", "{",        "}",    "[",     "]",     "&a ", "*a",
    "!!x ", "|", ">",        "\n",   "  ",    "\"",    "'",   "#",
    "? ",   "%", "\x00\xff", "<<: ", "---\n", "1e999", "~",
  };
  std::mt19937_64 random(20);
  for (int round = 0; round < kRounds; ++round) {
    std::string text(kDocument);
    const auto edits = 1 + random() % 6;
    for (std::uint64_t i = 0; i < edits; ++i) {
      const std::size_t at = random() % text.size();
      const auto piece = kPieces[random() % std::size(kPieces)];
      switch (random() % 3) {
        case 0:
          text.insert(at, piece.data(), piece.size());
          break;
        case 1:
          text.erase(at, random() % 40);
          break;
        default:
          text[at] = static_cast<char>(random());
      }
      text += "\n";
    }
    INFO(text);
    CHECK_NOTHROW(ProblemsOf(text));
  }
}

TEST_CASE("deep nesting and oversized documents are rejected")
{
  const std::string deep(200000, '[');
  CHECK_FALSE(ProblemsOf("models: " + deep).empty());
  CHECK_FALSE(ProblemsOf("models:\n  entries: " + deep).empty());
  const std::string longText(config::kMaxDocumentBytes + 1, '#');
  CHECK_FALSE(ProblemsOf(longText).empty());
}
