#ifndef LYCHEEPLANK_ADAPTERS_PLATFORM_H
#define LYCHEEPLANK_ADAPTERS_PLATFORM_H

#include <functional>
#include <string>

#include "lycheeplank/net.h"
#include "lycheeplank/platform.h"

// Clients for the HTTP protocols of engines, stores and the platform: builders
// of calls and parsers of answers.
namespace lycheeplank::adapters {

// Executes commands on the platform's key-value service over HTTP.
class PlatformClient
{
public:
  using OnReply = std::function<void(platform::Reply)>;

  // aCaller identifies this process in the platform's records.
  PlatformClient(net::Client& aClient, std::string aUrl, std::string aCaller);

  // Starts a command. aOnReply runs on a client thread.
  void Execute(const platform::Command& aCommand, OnReply aOnReply);

private:
  net::Client& client_;
  const std::string url_;
  const std::string caller_;
};

} // namespace lycheeplank::adapters

#endif
