#ifndef LYCHEEPLANK_ADAPTERS_PLATFORM_H
#define LYCHEEPLANK_ADAPTERS_PLATFORM_H

#include <functional>
#include <string>

#include "lycheeplank/net.h"
#include "lycheeplank/platform.h"

// Translators between decisions and the protocols of outside systems.
namespace lycheeplank::adapters {

// Carries out commands to the platform's key-value service over HTTP.
class PlatformClient
{
public:
  using OnReply = std::function<void(platform::Reply)>;

  // aCaller names this process in the platform's own records.
  PlatformClient(net::Client& aClient, std::string aUrl, std::string aCaller);

  // Starts a command; the reply arrives on a thread of the client.
  void Execute(const platform::Command& aCommand, OnReply aOnReply);

private:
  net::Client& client_;
  const std::string url_;
  const std::string caller_;
};

} // namespace lycheeplank::adapters

#endif
