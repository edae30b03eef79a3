#ifndef LYCHEEPLANK_SRC_CLI_API_CLIENT_H
#define LYCHEEPLANK_SRC_CLI_API_CLIENT_H

#include <string>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "cli/program.h"
#include "lycheeplank/core.h"
#include "lycheeplank/net.h"

// Calls to the operators' interface of the entry hosts.
namespace lycheeplank::cli {

using Json = nlohmann::json;

// Everything a command needs.
struct Context
{
  const Settings& settings_;
  const Console& console_;
  net::Client& client_;
};

// One call of docs/operator-api.md.
struct ApiCall
{
  std::string method_ = "GET";
  std::string path_;
  std::string body_;
  // An idempotent call goes on to the next entry host also when the first one
  // may have carried it out.
  bool idempotent_ = true;
  absl::Duration timeout_ = absl::Seconds(10);
};

// Calls the entry hosts one after the other until one answers; returns its
// JSON, or a Failure.
core::Result<Json>
CallApi(const Context& aContext, const ApiCall& aCall);

inline boost::leaf::error_id
FailWith(Failure aFailure)
{
  return boost::leaf::new_error(std::move(aFailure));
}

// Returns a member of a JSON object as text for a table, "-" if it is absent.
std::string
FieldText(const Json& aObject, const std::string& aName);

// Prints JSON for scripts.
void
PrintJson(const Context& aContext, const Json& aJson);

} // namespace lycheeplank::cli

#endif
