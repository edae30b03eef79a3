#include "entry/settings.h"

#include <array>
#include <cstdlib>

#include <catch2/catch.hpp>

#include "lycheeplank/version.h"

namespace entry = lycheeplank::entry;
namespace process = lycheeplank::process;
namespace reducer = lycheeplank::reducer;
namespace platform = lycheeplank::platform;

namespace {

// Reads the required flags and aMore.
process::ParseResult
ReadWith(std::vector<std::string> aMore, entry::Settings& aSettings)
{
  std::vector<std::string> arguments{
    "lycheeplank-entry",
    "--name=entry-1",
    "--data-centre=dc-1",
    "--platform=http://10.0.0.9:2379",
    "--operator-key-digest=" + std::string(64, 'a'),
    "--token-secret=" + std::string(16, 's')
  };
  arguments.insert(arguments.end(), aMore.begin(), aMore.end());
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (auto& argument : arguments) {
    pointers.push_back(argument.data());
  }
  return entry::ReadSettings(
    static_cast<int>(pointers.size()), pointers.data(), aSettings);
}

reducer::Effect
ClaimsCommand(platform::Operation aOperation)
{
  platform::Command command;
  command.operation_ = aOperation;
  return reducer::SendCommand{ reducer::Module::Claims, std::move(command) };
}

} // namespace

TEST_CASE("by default a host has no peers and no stop point")
{
  entry::Settings settings;
  CHECK(ReadWith({}, settings).run_);
  CHECK(settings.peers_.empty());
  CHECK(settings.stopAt_ == entry::StopPoint::None);
}

TEST_CASE("peers are a comma-separated list of addresses with ports")
{
  entry::Settings settings;
  CHECK(ReadWith({ "--peers=10.0.0.2:8081,host-3:8081" }, settings).run_);
  CHECK(settings.peers_ ==
        std::vector<std::string>{ "10.0.0.2:8081", "host-3:8081" });
  for (const auto* wrong : { "10.0.0.2", ":8081", "a:0", "a:65536", "a:b" }) {
    entry::Settings ignored;
    CHECK(ReadWith({ std::string("--peers=") + wrong }, ignored).exitCode_ ==
          lycheeplank::kExitUsage);
  }
}

TEST_CASE("each stop point can be set by its name")
{
  for (const auto& point : entry::kStopPoints) {
    entry::Settings settings;
    const std::string name(point.name_);
    CHECK(
      ReadWith({ "--stop-at=" + name, "--stop-at-count=3" }, settings).run_);
    CHECK(settings.stopAt_ == point.value_);
    CHECK(settings.stopAtCount_ == 3);
  }
  for (const auto* wrong : { "--stop-at=soon", "--stop-at-count=0" }) {
    entry::Settings ignored;
    CHECK(ReadWith({ wrong }, ignored).exitCode_ == lycheeplank::kExitUsage);
  }
}

TEST_CASE("effects and events map to stop points")
{
  using entry::StopPoint;
  CHECK(entry::StopPointBefore(reducer::Effect(reducer::RequestClaim{})) ==
        StopPoint::BeforeClaim);
  CHECK(entry::StopPointBefore(ClaimsCommand(platform::Operation::Write)) ==
        StopPoint::BeforeClaim);
  CHECK(entry::StopPointBefore(ClaimsCommand(platform::Operation::Read)) ==
        StopPoint::None);
  reducer::Dispatch dispatch;
  CHECK(entry::StopPointBefore(reducer::Effect(dispatch)) == StopPoint::None);
  dispatch.sendOnce_ = true;
  CHECK(entry::StopPointBefore(reducer::Effect(dispatch)) ==
        StopPoint::ClaimGranted);
  CHECK(entry::StopPointAfter(reducer::Effect(dispatch)) ==
        StopPoint::Dispatched);
  CHECK(entry::StopPointBefore(reducer::Effect(reducer::AnswerCall{})) ==
        StopPoint::Recorded);
  CHECK(entry::StopPointBefore(reducer::Event(reducer::ClaimedCallEnded{})) ==
        StopPoint::Answered);
  reducer::ClaimAnswered answered;
  CHECK(entry::StopPointBefore(reducer::Event(answered)) == StopPoint::None);
  answered.reached_ = true;
  CHECK(entry::StopPointBefore(reducer::Event(answered)) ==
        StopPoint::ClaimWritten);
}
