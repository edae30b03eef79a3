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

// Pause between two requests for the configuration status of the hosts.
constexpr absl::Duration kStatusPollInterval = absl::Milliseconds(250);
// An entry host accepts or refuses an edit within 30 s.
constexpr absl::Duration kApplyTimeout = absl::Seconds(40);

// The configuration document in force, as an entry host returned it.
struct CurrentDocument
{
  std::uint64_t revision_ = 0;
  std::vector<config::Section> sections_;
  // The complete answer, for JSON output.
  Json answer_;
};

// Fetches the configuration document in force from an entry host.
core::Result<CurrentDocument>
FetchCurrentDocument(const Context& aContext)
{
  BOOST_LEAF_AUTO(answer, CallApi(aContext, { "GET", "/v1/admin/config" }));
  CurrentDocument current;
  current.revision_ = answer.at("revision").get<std::uint64_t>();
  for (const auto& item : answer.at("sections")) {
    current.sections_.push_back({ item.at("name").get<std::string>(),
                                  item.value("owner", ""),
                                  item.at("text").get<std::string>() });
  }
  current.answer_ = std::move(answer);
  return current;
}

// Returns the section of a name, or null if there is none.
const config::Section*
FindSection(const std::vector<config::Section>& aSections,
            const std::string& aName)
{
  const auto found = std::find_if(
    aSections.begin(), aSections.end(), [&](const config::Section& aSection) {
      return aSection.name_ == aName;
    });
  return found == aSections.end() ? nullptr : &*found;
}

// Fails with ExitCode::InvalidDocument if there are problems.
core::Result<void>
FailIfInvalid(std::vector<config::Problem> aProblems)
{
  if (aProblems.empty()) {
    return {};
  }
  return FailWith({ ExitCode::InvalidDocument,
                    "the document is not valid",
                    "Correct the lines named above.",
                    std::move(aProblems) });
}

// Splits the text of a document into sections; fails if it can't be split.
core::Result<config::Document>
SplitDocument(const std::string& aText)
{
  config::Document document = config::Split(aText);
  BOOST_LEAF_CHECK(FailIfInvalid(document.problems_));
  return document;
}

// Returns the sections to send: those that were edited since the document was
// shown and differ from the current ones. Other sections are left out, so that
// changes made by others in the meantime are not reverted.
std::vector<config::Section>
SectionsToSend(const config::Document& aDocument,
               const CurrentDocument& aCurrent,
               const BaseRevision& aBase)
{
  std::vector<config::Section> sections;
  for (const auto& section : aDocument.sections_) {
    const auto* const current = FindSection(aCurrent.sections_, section.name_);
    const bool same = current != nullptr && current->text_ == section.text_;
    if (!same && IsEdited(aBase, section)) {
      sections.push_back(section);
    }
  }
  return sections;
}

// Checks the current document with aSections in place of the current ones. The
// check runs before the edit is sent, so that problems are reported with the
// line numbers of the file.
core::Result<void>
CheckMerged(const CurrentDocument& aCurrent,
            const std::vector<config::Section>& aSections)
{
  std::vector<config::Section> merged = aSections;
  for (const auto& section : aCurrent.sections_) {
    if (FindSection(aSections, section.name_) == nullptr) {
      merged.push_back(section);
    }
  }
  return FailIfInvalid(config::Check(merged).problems_);
}

// Returns the revision that the edit is based on: the current one if aForce is
// set, else the one in the document's comment.
core::Result<BaseRevision>
DetermineBase(const std::string& aText,
              const CurrentDocument& aCurrent,
              bool aForce)
{
  if (aForce) {
    return BaseRevision{ aCurrent.revision_ };
  }
  if (auto base = FindBaseComment(aText)) {
    return *std::move(base);
  }
  return FailWith(
    { ExitCode::Usage,
      "the document has no '# revision:' comment with its base revision",
      "Edit the output of 'lycheeplank config show', which starts with this "
      "comment, or use --force to overwrite the changes of others." });
}

// Returns the JSON body of the request that sends the edited sections.
std::string
EditRequestBody(const ApplyOptions& aOptions,
                const BaseRevision& aBase,
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

// How far a revision has spread to the hosts.
struct Propagation
{
  // Why the status could not be fetched; empty if it was fetched.
  std::string fetchError_;
  // Number of hosts that are not dead.
  std::size_t liveHosts_ = 0;
  // Names of the live hosts that have an older revision.
  std::vector<std::string> laggingHosts_;
  // The hosts as the entry host returned them, for JSON output.
  Json hosts_;
};

// Fetches from an entry host which hosts have a revision.
core::Result<Propagation>
FetchPropagation(const Context& aContext, std::uint64_t aRevision)
{
  BOOST_LEAF_AUTO(answer,
                  CallApi(aContext, { "GET", "/v1/admin/config/status" }));
  Propagation propagation;
  propagation.hosts_ = answer.at("hosts");
  for (const auto& host : propagation.hosts_) {
    if (host.value("status", "") == "dead") {
      continue;
    }
    ++propagation.liveHosts_;
    if (host.value("revision", std::uint64_t{ 0 }) < aRevision) {
      propagation.laggingHosts_.push_back(FieldText(host, "name"));
    }
  }
  return propagation;
}

// Fetches the propagation of a revision. A failure is returned in fetchError_
// and does not end the wait, since the change is already accepted.
Propagation
TryFetchPropagation(const Context& aContext, std::uint64_t aRevision)
{
  const auto failed = [](std::string aReason) {
    Propagation propagation;
    propagation.fetchError_ = std::move(aReason);
    propagation.hosts_ = Json::array();
    return propagation;
  };
  return boost::leaf::try_handle_all(
    [&] { return FetchPropagation(aContext, aRevision); },
    [&](const Failure& aFailure) { return failed(aFailure.message_); },
    [&] { return failed("an unknown error"); });
}

// Returns whether all live hosts have the revision; false if this is not known.
bool
IsInForce(const Propagation& aPropagation)
{
  return aPropagation.fetchError_.empty() && aPropagation.liveHosts_ > 0 &&
         aPropagation.laggingHosts_.empty();
}

// Waits until all live hosts have a revision or aWait has passed. Prints the
// progress on the error output.
Propagation
AwaitPropagation(const Context& aContext,
                 std::uint64_t aRevision,
                 absl::Duration aWait)
{
  const absl::Time deadline = absl::Now() + aWait;
  std::size_t printed = 0;
  while (true) {
    Propagation propagation = TryFetchPropagation(aContext, aRevision);
    const std::size_t upToDate =
      propagation.liveHosts_ - propagation.laggingHosts_.size();
    if (upToDate != printed) {
      aContext.console_.err_ << upToDate << " of " << propagation.liveHosts_
                             << " hosts have revision " << aRevision << "\n";
      printed = upToDate;
    }
    if (IsInForce(propagation) || absl::Now() >= deadline) {
      return propagation;
    }
    absl::SleepFor(kStatusPollInterval);
  }
}

// Prints the revision that an edit has created.
void
PrintAcceptedRevision(const Context& aContext,
                      std::uint64_t aRevision,
                      const Propagation& aPropagation)
{
  if (aContext.settings_.output_ == OutputFormat::Json) {
    PrintJson(aContext,
              { { "revision", aRevision },
                { "hosts", aPropagation.hosts_ },
                { "lagging", aPropagation.laggingHosts_ } });
    return;
  }
  aContext.console_.out_ << "revision " << aRevision << " accepted\n";
}

// Returns the names of the lagging hosts, or the reason why they are unknown.
std::string
DescribeLaggingHosts(const Propagation& aPropagation)
{
  if (!aPropagation.fetchError_.empty()) {
    return absl::StrCat("any host (", aPropagation.fetchError_, ")");
  }
  return aPropagation.liveHosts_ == 0
           ? "any host (no live host is known)"
           : absl::StrJoin(aPropagation.laggingHosts_, ", ");
}

// Waits until a revision is in force, prints the outcome and returns the exit
// code. A wait of zero returns at once.
core::Result<ExitCode>
AwaitAndPrintResult(const Context& aContext,
                    std::uint64_t aRevision,
                    absl::Duration aWait)
{
  if (aWait <= absl::ZeroDuration()) {
    Propagation notAwaited;
    notAwaited.hosts_ = Json::array();
    PrintAcceptedRevision(aContext, aRevision, notAwaited);
    return ExitCode::Ok;
  }
  const Propagation propagation = AwaitPropagation(aContext, aRevision, aWait);
  PrintAcceptedRevision(aContext, aRevision, propagation);
  if (IsInForce(propagation)) {
    return ExitCode::Ok;
  }
  return FailWith(
    { ExitCode::NotInForce,
      absl::StrCat("revision ",
                   aRevision,
                   " is accepted, but not known to be in force on: ",
                   DescribeLaggingHosts(propagation)),
      "Run 'lycheeplank config status'; check the hosts that keep lagging." });
}

// Returns the problems of a document as a JSON array.
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

// Prints the differences of sections as JSON or text. aDiffs: pairs of a
// section's name and its difference.
void
PrintDiff(const Context& aContext,
          const std::vector<std::pair<std::string, std::string>>& aDiffs)
{
  if (aContext.settings_.output_ == OutputFormat::Json) {
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

// Prints a table of the sections with their owners, revisions and sizes.
void
PrintSectionTable(const Context& aContext, const CurrentDocument& aCurrent)
{
  std::vector<Row> rows{ { "SECTION", "OWNER", "REVISION", "BYTES" } };
  for (const auto& item : aCurrent.answer_.at("sections")) {
    rows.push_back({ FieldText(item, "name"),
                     FieldText(item, "owner"),
                     FieldText(item, "revision"),
                     absl::StrCat(item.value("text", "").size()) });
  }
  aContext.console_.out_ << FormatTable(rows);
}

// Removes all sections except aSection; fails if it does not exist.
core::Result<void>
KeepOnlySection(CurrentDocument& aCurrent, const std::string& aSection)
{
  const auto* const chosen = FindSection(aCurrent.sections_, aSection);
  if (chosen == nullptr) {
    return FailWith(
      { ExitCode::Failed,
        absl::StrCat("no section is named ", aSection),
        "Run 'lycheeplank config show --output table' to list the sections." });
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
CheckFile(const Console& aConsole,
          OutputFormat aOutputFormat,
          const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, ReadInput(aConsole, aFile));
  const config::Document document = config::Split(text);
  auto problems = document.problems_;
  for (auto& problem : config::Check(document.sections_).problems_) {
    problems.push_back(std::move(problem));
  }
  if (aOutputFormat == OutputFormat::Json) {
    aConsole.out_ << Json({ { "problems", ProblemsToJson(problems) } }).dump(2)
                  << "\n";
    return problems.empty() ? ExitCode::Ok : ExitCode::InvalidDocument;
  }
  BOOST_LEAF_CHECK(FailIfInvalid(std::move(problems)));
  aConsole.out_ << "valid: " << document.sections_.size() << " sections\n";
  return ExitCode::Ok;
}

core::Result<ExitCode>
ShowConfig(const Context& aContext, const std::string& aSection)
{
  BOOST_LEAF_AUTO(current, FetchCurrentDocument(aContext));
  if (!aSection.empty()) {
    BOOST_LEAF_CHECK(KeepOnlySection(current, aSection));
  }
  switch (aContext.settings_.output_) {
    case OutputFormat::Json:
      PrintJson(aContext, current.answer_);
      break;
    case OutputFormat::Table:
      PrintSectionTable(aContext, current);
      break;
    case OutputFormat::Yaml:
      aContext.console_.out_
        << FormatBaseComment(current.revision_, current.sections_) << "\n"
        << config::Join(current.sections_);
      break;
  }
  return ExitCode::Ok;
}

core::Result<ExitCode>
DiffConfig(const Context& aContext, const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, ReadInput(aContext.console_, aFile));
  BOOST_LEAF_AUTO(document, SplitDocument(text));
  BOOST_LEAF_AUTO(current, FetchCurrentDocument(aContext));
  std::vector<std::pair<std::string, std::string>> diffs;
  for (const auto& section : document.sections_) {
    const auto* const old = FindSection(current.sections_, section.name_);
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
  BOOST_LEAF_AUTO(text, ReadInput(aContext.console_, aOptions.file_));
  BOOST_LEAF_AUTO(document, SplitDocument(text));
  BOOST_LEAF_AUTO(current, FetchCurrentDocument(aContext));
  BOOST_LEAF_AUTO(base, DetermineBase(text, current, aOptions.force_));
  const auto sections = SectionsToSend(document, current, base);
  if (sections.empty()) {
    aContext.console_.err_ << "no section differs from revision "
                           << current.revision_ << "\n";
    return AwaitAndPrintResult(aContext, current.revision_, aOptions.wait_);
  }
  BOOST_LEAF_CHECK(CheckMerged(current, sections));
  for (const auto& section : sections) {
    aContext.console_.err_ << "sending section " << section.name_ << "\n";
  }
  // The call is idempotent: an edit that is sent twice changes nothing the
  // second time.
  BOOST_LEAF_AUTO(answer,
                  CallApi(aContext,
                          { "POST",
                            "/v1/admin/config",
                            EditRequestBody(aOptions, base, sections),
                            true,
                            kApplyTimeout }));
  return AwaitAndPrintResult(
    aContext, answer.at("revision").get<std::uint64_t>(), aOptions.wait_);
}

core::Result<ExitCode>
DigestKey(const Console& aConsole)
{
  BOOST_LEAF_AUTO(text, ReadInput(aConsole, "-"));
  const absl::string_view key = absl::StripTrailingAsciiWhitespace(text);
  if (key.empty()) {
    return FailWith(
      { ExitCode::Usage,
        "the standard input contains no key",
        "Pipe the key in: printf %s KEY | lycheeplank key digest" });
  }
  aConsole.out_ << core::Sha256Hex(key) << "\n";
  return ExitCode::Ok;
}

} // namespace lycheeplank::cli
