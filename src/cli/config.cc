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

constexpr absl::Duration kStatusPollInterval = absl::Milliseconds(250);
// An entry host settles an edit within 30 s.
constexpr absl::Duration kApplyTimeout = absl::Seconds(40);

// The document that the entry hosts have in force.
struct CurrentDocument
{
  std::uint64_t revision_ = 0;
  std::vector<config::Section> sections_;
  Json answer_;
};

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

// Reads a file and takes it apart.
core::Result<config::Document>
SplitDocument(const std::string& aText)
{
  config::Document document = config::Split(aText);
  BOOST_LEAF_CHECK(FailIfInvalid(document.problems_));
  return document;
}

// Returns the sections to send: those that differ from the current ones and
// were edited since the document was shown.
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

// Checks the current document with the sections put in, so that mistakes are
// told with the lines of the file.
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
      "the document does not say which revision it was made from",
      "Start from 'lycheeplank config show', whose first comment says so, or "
      "use --force to overwrite what others changed." });
}

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

// Which hosts have a revision.
struct Propagation
{
  // Why it could not be found out; empty if it could.
  std::string fetchError_;
  std::size_t liveHosts_ = 0;
  std::vector<std::string> laggingHosts_;
  Json hosts_;
};

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

// Fetches the spread; a failure is no reason to give up, since the change is
// accepted already.
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

bool
IsInForce(const Propagation& aPropagation)
{
  return aPropagation.fetchError_.empty() && aPropagation.liveHosts_ > 0 &&
         aPropagation.laggingHosts_.empty();
}

// Waits until all live hosts have a revision, or the time is over.
Propagation
AwaitPropagation(const Context& aContext,
                 std::uint64_t aRevision,
                 absl::Duration aWait)
{
  const absl::Time deadline = absl::Now() + aWait;
  std::size_t shown = 0;
  while (true) {
    Propagation propagation = TryFetchPropagation(aContext, aRevision);
    const std::size_t upToDate =
      propagation.liveHosts_ - propagation.laggingHosts_.size();
    if (upToDate != shown) {
      aContext.console_.err_ << upToDate << " of " << propagation.liveHosts_
                             << " hosts have revision " << aRevision << "\n";
      shown = upToDate;
    }
    if (IsInForce(propagation) || absl::Now() >= deadline) {
      return propagation;
    }
    absl::SleepFor(kStatusPollInterval);
  }
}

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

// Says which hosts lag, or why that is not known.
std::string
DescribeLaggingHosts(const Propagation& aPropagation)
{
  if (!aPropagation.fetchError_.empty()) {
    return absl::StrCat("any host (", aPropagation.fetchError_, ")");
  }
  return aPropagation.liveHosts_ == 0
           ? "any host (none is known to live)"
           : absl::StrJoin(aPropagation.laggingHosts_, ", ");
}

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

// Drops all sections but one.
core::Result<void>
KeepOnlySection(CurrentDocument& aCurrent, const std::string& aSection)
{
  const auto* const chosen = FindSection(aCurrent.sections_, aSection);
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
    aContext.console_.err_ << "nothing differs from revision "
                           << current.revision_ << "\n";
    return AwaitAndPrintResult(aContext, current.revision_, aOptions.wait_);
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
        "there is no key on the standard input",
        "Give it as in: printf %s KEY | lycheeplank key digest" });
  }
  aConsole.out_ << core::Sha256Hex(key) << "\n";
  return ExitCode::Ok;
}

} // namespace lycheeplank::cli
