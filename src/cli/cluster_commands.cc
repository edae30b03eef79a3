#include <ostream>

#include <absl/strings/str_cat.h>

#include "cli/commands.h"
#include "cli/table.h"

namespace lycheeplank::cli {

namespace {

// A column of a table: its heading and the member of the JSON objects that it
// shows.
struct Column
{
  std::string heading_;
  std::string member_;
};

// Returns member unix_ms as a UTC time.
std::string
FormatUnixTime(const Json& aObject)
{
  const std::int64_t unixMs = aObject.value("unix_ms", std::int64_t{ 0 });
  return absl::FormatTime(
    "%Y-%m-%d %H:%M:%E3SZ", absl::FromUnixMillis(unixMs), absl::UTCTimeZone());
}

// Returns the text of a table cell; times are formatted.
std::string
CellText(const Json& aObject, const std::string& aMember)
{
  return aMember == "unix_ms" ? FormatUnixTime(aObject)
                              : FieldText(aObject, aMember);
}

// Prints a table with one row for each object of aList.
void
PrintTable(const Context& aContext,
           const Json& aList,
           const std::vector<Column>& aColumns)
{
  std::vector<Row> rows(1);
  for (const auto& column : aColumns) {
    rows.front().push_back(column.heading_);
  }
  for (const auto& item : aList) {
    Row row;
    for (const auto& column : aColumns) {
      row.push_back(CellText(item, column.member_));
    }
    rows.push_back(std::move(row));
  }
  aContext.console_.out_ << FormatTable(rows);
}

// Fetches aPath and prints the answer as JSON, or the list in its member
// aMember as a table.
core::Result<ExitCode>
ShowList(const Context& aContext,
         const std::string& aPath,
         const std::string& aMember,
         const std::vector<Column>& aColumns)
{
  BOOST_LEAF_AUTO(answer, CallApi(aContext, { "GET", aPath }));
  if (aContext.settings_.output_ == OutputFormat::Json) {
    PrintJson(aContext, answer);
  } else {
    PrintTable(aContext, answer.at(aMember), aColumns);
  }
  return ExitCode::Ok;
}

// Fetches the record of a request from the entry hosts.
core::Result<Json>
FetchRequest(const Context& aContext, const std::string& aId)
{
  return CallApi(
    aContext,
    { "GET", absl::StrCat("/v1/admin/requests/", net::UrlEscape(aId)) });
}

} // namespace

core::Result<ExitCode>
ShowHistory(const Context& aContext)
{
  return ShowList(aContext,
                  "/v1/admin/config/history",
                  "changes",
                  { { "REVISION", "revision" },
                    { "TIME", "unix_ms" },
                    { "AUTHOR", "author" },
                    { "SECTIONS", "sections" } });
}

core::Result<ExitCode>
ShowConfigStatus(const Context& aContext)
{
  return ShowList(
    aContext,
    "/v1/admin/config/status",
    "hosts",
    { { "HOST", "name" }, { "STATUS", "status" }, { "REVISION", "revision" } });
}

core::Result<ExitCode>
ShowHosts(const Context& aContext)
{
  return ShowList(aContext,
                  "/v1/admin/hosts",
                  "hosts",
                  { { "HOST", "name" },
                    { "STATUS", "status" },
                    { "DATA CENTRE", "data_centre" },
                    { "ADDRESS", "http_address" },
                    { "REVISION", "config_revision" },
                    { "LOAD PERMILLE", "load_permille" } });
}

core::Result<ExitCode>
ShowTargets(const Context& aContext)
{
  return ShowList(aContext,
                  "/v1/admin/targets",
                  "targets",
                  { { "TARGET", "name" },
                    { "KIND", "kind" },
                    { "SERVES", "serves" },
                    { "DATA CENTRE", "data_centre" },
                    { "STATUS", "status" },
                    { "VERSION", "weight_version" },
                    { "RUNNING", "running" },
                    { "WAITING", "waiting" },
                    { "REPORT AGE MS", "report_age_ms" } });
}

core::Result<ExitCode>
ShowStores(const Context& aContext)
{
  return ShowList(aContext,
                  "/v1/admin/stores",
                  "stores",
                  { { "STORE", "name" },
                    { "DATA CENTRE", "data_centre" },
                    { "STATUS", "status" },
                    { "MEMORY BYTES", "memory_used" },
                    { "DISK BYTES", "disk_used" },
                    { "LINK BACKLOG BYTES", "link_backlog_bytes" } });
}

core::Result<ExitCode>
ShowRollouts(const Context& aContext)
{
  return ShowList(aContext,
                  "/v1/admin/rollouts",
                  "rollouts",
                  { { "MODEL", "model" },
                    { "VERSION", "version" },
                    { "STATE", "state" },
                    { "DONE", "done" },
                    { "TOTAL", "total" },
                    { "DETAIL", "detail" } });
}

core::Result<ExitCode>
StartRollout(const Context& aContext,
             const std::string& aModel,
             const std::string& aVersion)
{
  const Json body{ { "model", aModel }, { "version", aVersion } };
  BOOST_LEAF_AUTO(
    answer,
    CallApi(aContext, { "POST", "/v1/admin/rollouts", body.dump(), false }));
  if (aContext.settings_.output_ == OutputFormat::Json) {
    PrintJson(aContext, answer);
  } else {
    aContext.console_.out_ << "rollout " << FieldText(answer, "rollout")
                           << " started\n";
  }
  return ExitCode::Ok;
}

core::Result<ExitCode>
StopRollout(const Context& aContext, const std::string& aModel)
{
  const std::string path =
    absl::StrCat("/v1/admin/rollouts/", net::UrlEscape(aModel));
  BOOST_LEAF_AUTO(answer, CallApi(aContext, { "DELETE", path }));
  if (aContext.settings_.output_ == OutputFormat::Json) {
    PrintJson(aContext, answer);
  } else {
    aContext.console_.out_ << "rollout of " << aModel << " stopped\n";
  }
  return ExitCode::Ok;
}

core::Result<ExitCode>
ShowRequest(const Context& aContext, const std::string& aId)
{
  BOOST_LEAF_AUTO(request, FetchRequest(aContext, aId));
  if (aContext.settings_.output_ == OutputFormat::Json) {
    PrintJson(aContext, request);
    return ExitCode::Ok;
  }
  const Json events = request.value("events", Json::array());
  const Json last = events.empty() ? Json::object() : events.back();
  aContext.console_.out_ << FormatTable(
    { { "REQUEST", "WORKSPACE", "KIND", "EVENTS", "LAST EVENT", "DETAIL" },
      { FieldText(request, "id"),
        FieldText(request, "workspace"),
        FieldText(request, "kind"),
        absl::StrCat(events.size()),
        FieldText(last, "what"),
        FieldText(last, "detail") } });
  return ExitCode::Ok;
}

core::Result<ExitCode>
ExplainRequest(const Context& aContext, const std::string& aId)
{
  BOOST_LEAF_AUTO(request, FetchRequest(aContext, aId));
  if (aContext.settings_.output_ == OutputFormat::Json) {
    PrintJson(aContext, request);
    return ExitCode::Ok;
  }
  aContext.console_.out_ << "request " << FieldText(request, "id")
                         << " of workspace " << FieldText(request, "workspace")
                         << ", " << FieldText(request, "kind") << "\n";
  PrintTable(
    aContext,
    request.value("events", Json::array()),
    { { "TIME", "unix_ms" }, { "EVENT", "what" }, { "DETAIL", "detail" } });
  return ExitCode::Ok;
}

core::Result<ExitCode>
ShowRoute(const Context& aContext, const RouteOptions& aOptions)
{
  const std::string path = absl::StrCat(
    "/peer/route?host=",
    net::UrlEscape(aOptions.host_),
    "&path=",
    net::UrlEscape(aOptions.path_),
    "&model=",
    net::UrlEscape(aOptions.model_),
    "&workspace=",
    net::UrlEscape(aOptions.workspace_),
    "&parts=",
    net::UrlEscape(aOptions.parts_),
    absl::StrCat(
      "&prompt=", aOptions.promptTokens_, "&output=", aOptions.outputTokens_));
  // A gateway host has no use for the operators' key.
  auto settings = aContext.settings_;
  settings.operatorKey_.clear();
  const Context keyless{ settings, aContext.console_, aContext.client_ };
  BOOST_LEAF_AUTO(answer, CallApi(keyless, { "GET", path }));
  if (aContext.settings_.output_ == OutputFormat::Json) {
    PrintJson(aContext, answer);
    return ExitCode::Ok;
  }
  const Json decision = answer.value("decision", Json::object());
  aContext.console_.out_ << FormatTable(
    { { "HOST",
        "ROUTE",
        "SERVICE",
        "PRIORITY",
        "OUTCOME",
        "TARGET",
        "REASON",
        "STATUS",
        "RETRY AFTER MS" },
      { FieldText(answer, "host"),
        FieldText(answer, "route"),
        FieldText(answer, "service"),
        FieldText(answer, "priority"),
        FieldText(decision, "outcome"),
        FieldText(decision, "target"),
        FieldText(decision, "reason"),
        FieldText(decision, "status"),
        FieldText(decision, "retry_after_ms") } });
  const Json candidates = answer.value("candidates", Json::array());
  if (!candidates.empty()) {
    aContext.console_.out_ << "\n";
    PrintTable(aContext,
               candidates,
               { { "TARGET", "target" },
                 { "DATA CENTRE", "data_centre" },
                 { "EXCLUDED", "excluded" },
                 { "COST", "cost" },
                 { "WAIT MS", "wait_ms" },
                 { "BACKLOG TOKENS", "backlog_tokens" },
                 { "HELD TOKENS", "held_tokens" },
                 { "MEMORY FULL", "memory_full" },
                 { "RUNNING", "running" },
                 { "SLOWNESS", "slowness" } });
  }
  return ExitCode::Ok;
}

} // namespace lycheeplank::cli
