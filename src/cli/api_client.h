#ifndef LYCHEEPLANK_SRC_CLI_API_CLIENT_H
#define LYCHEEPLANK_SRC_CLI_API_CLIENT_H

#include <string>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "cli/program.h"
#include "lycheeplank/core.h"
#include "lycheeplank/net.h"

// Client for the operators' API of the entry hosts.
namespace lycheeplank::cli {

using Json = nlohmann::json;

// The settings, streams and HTTP client of a command. All of them outlive it.
struct Context
{
  const Settings& settings_;
  const Console& console_;
  net::Client& client_;
};

// A call of the operators' API, which docs/operator-api.md describes.
struct ApiCall
{
  std::string method_ = "GET";
  std::string path_;
  std::string body_;
  // An idempotent call is sent to the next entry host even if the previous one
  // may have carried it out.
  bool idempotent_ = true;
  // Time limit for each entry host.
  absl::Duration timeout_ = absl::Seconds(10);
};

// Calls the entry hosts one after the other until one answers. Returns the JSON
// of the answer, or a Failure.
core::Result<Json>
CallApi(const Context& aContext, const ApiCall& aCall);

// Returns aFailure as the error of a core::Result.
inline boost::leaf::error_id
FailWith(Failure aFailure)
{
  return boost::leaf::new_error(std::move(aFailure));
}

// Returns a member of a JSON object as text for a table, or "-" if it is absent
// or null. The elements of an array are separated by commas.
std::string
FieldText(const Json& aObject, const std::string& aName);

// Prints JSON on the standard output, indented by two spaces.
void
PrintJson(const Context& aContext, const Json& aJson);

} // namespace lycheeplank::cli

#endif
