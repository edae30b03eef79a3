#include <algorithm>
#include <ostream>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>

#include "cli/commands.h"
#include "cli/document.h"
#include "cli/table.h"

namespace lycheeplank::cli {

namespace {

constexpr absl::Duration kStatusPause = absl::Milliseconds(250);
// An entry host settles an edit within 30 s.
constexpr absl::Duration kApplyTimeout = absl::Seconds(40);

// The document that the entry hosts have in force.
struct Current
{
  std::uint64_t revision_ = 0;
  std::vector<config::Section> sections_;
  Json answer_;
};

core::Result<Current>
FetchCurrent(const Context& aContext)
{
  BOOST_LEAF_AUTO(answer, CallApi(aContext, { "GET", "/v1/admin/config" }));
  Current current;
  current.revision_ = answer.at("revision").get<std::uint64_t>();
  for (const auto& item : answer.at("sections")) {
    current.sections_.push_back({ item.at("name").get<std::string>(),
                                  item.value("owner", ""),
                                  item.at("text").get<std::string>() });
  }
  current.answer_ = std::move(answer);
  return current;
}

const config::Section*
Find(const std::vector<config::Section>& aSections, const std::string& aName)
{
  const auto found = std::find_if(
    aSections.begin(), aSections.end(), [&](const config::Section& aSection) {
      return aSection.name_ == aName;
    });
  return found == aSections.end() ? nullptr : &*found;
}

core::Result<void>
RefuseProblems(std::vector<config::Problem> aProblems)
{
  if (aProblems.empty()) {
    return {};
  }
  return FailWith({ ExitCode::InvalidDocument,
                    "the document is not valid",
                    "Correct the lines named above.",
                    std::move(aProblems) });
}

// Reads a file and takes it apart.
core::Result<config::Document>
SplitFile(const std::string& aText)
{
  config::Document document = config::Split(aText);
  BOOST_LEAF_CHECK(RefuseProblems(document.problems_));
  return document;
}

// Returns the sections to send: those that differ from the current ones and
// were edited since the document was shown.
std::vector<config::Section>
SectionsToSend(const config::Document& aDocument,
               const Current& aCurrent,
               const Base& aBase)
{
  std::vector<config::Section> sections;
  for (const auto& section : aDocument.sections_) {
    const auto* const current = Find(aCurrent.sections_, section.name_);
    const bool same = current != nullptr && current->text_ == section.text_;
    if (!same && IsEdited(aBase, section)) {
      sections.push_back(section);
    }
  }
  return sections;
}

// Checks the current document with the sections put in, so that mistakes are
// told with the lines of the file.
core::Result<void>
CheckMerged(const Current& aCurrent,
            const std::vector<config::Section>& aSections)
{
  std::vector<config::Section> merged = aSections;
  for (const auto& section : aCurrent.sections_) {
    if (Find(aSections, section.name_) == nullptr) {
      merged.push_back(section);
    }
  }
  return RefuseProblems(config::Check(merged).problems_);
}

core::Result<Base>
BaseOf(const std::string& aText, const Current& aCurrent, bool aForce)
{
  if (aForce) {
    return Base{ aCurrent.revision_ };
  }
  if (auto base = FindBase(aText)) {
    return *std::move(base);
  }
  return FailWith(
    { ExitCode::Usage,
      "the document does not say which revision it was made from",
      "Start from 'lycheeplank config show', whose first comment says so, or "
      "use --force to overwrite what others changed." });
}

std::string
EditBody(const ApplyOptions& aOptions,
         const Base& aBase,
         const std::vector<config::Section>& aSections)
{
  Json sections = Json::array();
  for (const auto& section : aSections) {
    sections.push_back(
      { { "name", section.name_ }, { "text", section.text_ } });
  }
  return Json({ { "base_revision", aBase.revision_ },
                { "author",
                  aOptions.author_.empty() ? "unknown" : aOptions.author_ },
                { "sections", sections } })
    .dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Which hosts have a revision.
struct Spread
{
  // Why it could not be found out; empty if it could.
  std::string failure_;
  std::size_t live_ = 0;
  std::vector<std::string> lagging_;
  Json hosts_;
};

core::Result<Spread>
FetchSpread(const Context& aContext, std::uint64_t aRevision)
{
  BOOST_LEAF_AUTO(answer,
                  CallApi(aContext, { "GET", "/v1/admin/config/status" }));
  Spread spread;
  spread.hosts_ = answer.at("hosts");
  for (const auto& host : spread.hosts_) {
    if (host.value("status", "") == "dead") {
      continue;
    }
    ++spread.live_;
    if (host.value("revision", std::uint64_t{ 0 }) < aRevision) {
      spread.lagging_.push_back(TextOf(host, "name"));
    }
  }
  return spread;
}

// Fetches the spread; a failure is no reason to give up, since the change is
// accepted already.
Spread
TrySpread(const Context& aContext, std::uint64_t aRevision)
{
  const auto failed = [](std::string aReason) {
    Spread spread;
    spread.failure_ = std::move(aReason);
    spread.hosts_ = Json::array();
    return spread;
  };
  return boost::leaf::try_handle_all(
    [&] { return FetchSpread(aContext, aRevision); },
    [&](const Failure& aFailure) { return failed(aFailure.message_); },
    [&] { return failed("an unknown error"); });
}

bool
InForce(const Spread& aSpread)
{
  return aSpread.failure_.empty() && aSpread.live_ > 0 &&
         aSpread.lagging_.empty();
}

// Waits until all live hosts have a revision, or the time is over.
Spread
AwaitSpread(const Context& aContext,
            std::uint64_t aRevision,
            absl::Duration aWait)
{
  const absl::Time deadline = absl::Now() + aWait;
  std::size_t shown = 0;
  while (true) {
    Spread spread = TrySpread(aContext, aRevision);
    const std::size_t have = spread.live_ - spread.lagging_.size();
    if (have != shown) {
      aContext.console_.err_ << have << " of " << spread.live_
                             << " hosts have revision " << aRevision << "\n";
      shown = have;
    }
    if (InForce(spread) || absl::Now() >= deadline) {
      return spread;
    }
    absl::SleepFor(kStatusPause);
  }
}

void
PrintApplied(const Context& aContext,
             std::uint64_t aRevision,
             const Spread& aSpread)
{
  if (aContext.settings_.output_ == Output::Json) {
    PrintJson(aContext,
              { { "revision", aRevision },
                { "hosts", aSpread.hosts_ },
                { "lagging", aSpread.lagging_ } });
    return;
  }
  aContext.console_.out_ << "revision " << aRevision << " accepted\n";
}

// Says which hosts lag, or why that is not known.
std::string
Laggards(const Spread& aSpread)
{
  if (!aSpread.failure_.empty()) {
    return absl::StrCat("any host (", aSpread.failure_, ")");
  }
  return aSpread.live_ == 0 ? "any host (none is known to live)"
                            : absl::StrJoin(aSpread.lagging_, ", ");
}

core::Result<ExitCode>
AwaitInForce(const Context& aContext,
             std::uint64_t aRevision,
             absl::Duration aWait)
{
  if (aWait <= absl::ZeroDuration()) {
    Spread none;
    none.hosts_ = Json::array();
    PrintApplied(aContext, aRevision, none);
    return ExitCode::Ok;
  }
  const Spread spread = AwaitSpread(aContext, aRevision, aWait);
  PrintApplied(aContext, aRevision, spread);
  if (InForce(spread)) {
    return ExitCode::Ok;
  }
  return FailWith(
    { ExitCode::NotInForce,
      absl::StrCat("revision ",
                   aRevision,
                   " is accepted, but not known to be in force on: ",
                   Laggards(spread)),
      "See 'lycheeplank config status'; look at these hosts if it stays so." });
}

Json
ProblemsToJson(const std::vector<config::Problem>& aProblems)
{
  Json list = Json::array();
  for (const auto& problem : aProblems) {
    list.push_back({ { "section", problem.section_ },
                     { "line", problem.line_ },
                     { "field", problem.field_ },
                     { "message", problem.message_ } });
  }
  return list;
}

// Returns the difference of one section as JSON or text.
void
PrintDiff(const Context& aContext,
          const std::vector<std::pair<std::string, std::string>>& aDiffs)
{
  if (aContext.settings_.output_ == Output::Json) {
    Json sections = Json::array();
    for (const auto& [name, diff] : aDiffs) {
      sections.push_back({ { "name", name }, { "diff", diff } });
    }
    PrintJson(aContext, { { "sections", sections } });
    return;
  }
  for (const auto& [name, diff] : aDiffs) {
    aContext.console_.out_ << "section " << name << "\n" << diff;
  }
}

void
PrintSectionTable(const Context& aContext, const Current& aCurrent)
{
  std::vector<Row> rows{ { "SECTION", "OWNER", "REVISION", "BYTES" } };
  for (const auto& item : aCurrent.answer_.at("sections")) {
    rows.push_back({ TextOf(item, "name"),
                     TextOf(item, "owner"),
                     TextOf(item, "revision"),
                     absl::StrCat(item.value("text", "").size()) });
  }
  aContext.console_.out_ << FormatTable(rows);
}

// Drops all sections but one.
core::Result<void>
KeepOnly(Current& aCurrent, const std::string& aSection)
{
  const auto* const chosen = Find(aCurrent.sections_, aSection);
  if (chosen == nullptr) {
    return FailWith(
      { ExitCode::Failed,
        absl::StrCat("there is no section ", aSection),
        "Use 'lycheeplank config show --output table' for the names." });
  }
  aCurrent.sections_ = { config::Section(*chosen) };
  Json kept = Json::array();
  for (const auto& item : aCurrent.answer_.at("sections")) {
    if (item.at("name") == aSection) {
      kept.push_back(item);
    }
  }
  aCurrent.answer_["sections"] = std::move(kept);
  return {};
}

} // namespace

core::Result<ExitCode>
CheckFile(const Console& aConsole, Output aOutput, const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, ReadText(aConsole, aFile));
  const config::Document document = config::Split(text);
  auto problems = document.problems_;
  for (auto& problem : config::Check(document.sections_).problems_) {
    problems.push_back(std::move(problem));
  }
  if (aOutput == Output::Json) {
    aConsole.out_ << Json({ { "problems", ProblemsToJson(problems) } }).dump(2)
                  << "\n";
    return problems.empty() ? ExitCode::Ok : ExitCode::InvalidDocument;
  }
  BOOST_LEAF_CHECK(RefuseProblems(std::move(problems)));
  aConsole.out_ << "valid: " << document.sections_.size() << " sections\n";
  return ExitCode::Ok;
}

core::Result<ExitCode>
ShowConfig(const Context& aContext, const std::string& aSection)
{
  BOOST_LEAF_AUTO(current, FetchCurrent(aContext));
  if (!aSection.empty()) {
    BOOST_LEAF_CHECK(KeepOnly(current, aSection));
  }
  switch (aContext.settings_.output_) {
    case Output::Json:
      PrintJson(aContext, current.answer_);
      break;
    case Output::Table:
      PrintSectionTable(aContext, current);
      break;
    case Output::Yaml:
      aContext.console_.out_ << FormatBase(current.revision_, current.sections_)
                             << "\n"
                             << config::Join(current.sections_);
      break;
  }
  return ExitCode::Ok;
}

core::Result<ExitCode>
DiffConfig(const Context& aContext, const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, ReadText(aContext.console_, aFile));
  BOOST_LEAF_AUTO(document, SplitFile(text));
  BOOST_LEAF_AUTO(current, FetchCurrent(aContext));
  std::vector<std::pair<std::string, std::string>> diffs;
  for (const auto& section : document.sections_) {
    const auto* const old = Find(current.sections_, section.name_);
    auto diff = DiffLines(old == nullptr ? "" : old->text_, section.text_);
    if (!diff.empty()) {
      diffs.emplace_back(section.name_, std::move(diff));
    }
  }
  PrintDiff(aContext, diffs);
  return ExitCode::Ok;
}

core::Result<ExitCode>
ApplyConfig(const Context& aContext, const ApplyOptions& aOptions)
{
  BOOST_LEAF_AUTO(text, ReadText(aContext.console_, aOptions.file_));
  BOOST_LEAF_AUTO(document, SplitFile(text));
  BOOST_LEAF_AUTO(current, FetchCurrent(aContext));
  BOOST_LEAF_AUTO(base, BaseOf(text, current, aOptions.force_));
  const auto sections = SectionsToSend(document, current, base);
  if (sections.empty()) {
    aContext.console_.err_ << "nothing differs from revision "
                           << current.revision_ << "\n";
    return AwaitInForce(aContext, current.revision_, aOptions.wait_);
  }
  BOOST_LEAF_CHECK(CheckMerged(current, sections));
  for (const auto& section : sections) {
    aContext.console_.err_ << "sending section " << section.name_ << "\n";
  }
  // Sent twice, the second one changes nothing.
  BOOST_LEAF_AUTO(answer,
                  CallApi(aContext,
                          { "POST",
                            "/v1/admin/config",
                            EditBody(aOptions, base, sections),
                            true,
                            kApplyTimeout }));
  return AwaitInForce(
    aContext, answer.at("revision").get<std::uint64_t>(), aOptions.wait_);
}

core::Result<ExitCode>
DigestKey(const Console& aConsole)
{
  BOOST_LEAF_AUTO(text, ReadText(aConsole, "-"));
  const absl::string_view key = absl::StripTrailingAsciiWhitespace(text);
  if (key.empty()) {
    return FailWith(
      { ExitCode::Usage,
        "there is no key on the standard input",
        "Give it as in: printf %s KEY | lycheeplank key digest" });
  }
  aConsole.out_ << core::Sha256Hex(key) << "\n";
  return ExitCode::Ok;
}

} // namespace lycheeplank::cli
