#include "lycheeplank/entry_hosts.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

namespace entry_hosts = lycheeplank::entry_hosts;

namespace {

entry_hosts::Hosts
MakeHosts()
{
  entry_hosts::Hosts hosts;
  const auto add = [&hosts](const char* aName, const char* aDataCentre) {
    hosts[aName].entry_ = {
      aName, aDataCentre, std::string(aName) + ":1", "p"
    };
  };
  add("a1", "a");
  add("a2", "a");
  add("a3", "a");
  add("b1", "b");
  return hosts;
}

} // namespace

TEST_CASE("callers receive the addresses of their data centre")
{
  const auto picked = entry_hosts::PickAddresses(MakeHosts(), "a", 1);
  CHECK(picked == std::vector<std::string>{ "a1:1", "a2:1", "a3:1" });
}

TEST_CASE("a single host is completed by hosts elsewhere, spread by seed")
{
  std::map<std::string, int> others;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    const auto picked = entry_hosts::PickAddresses(MakeHosts(), "b", seed);
    REQUIRE(picked.size() == entry_hosts::kMinAddresses);
    REQUIRE(picked[0] == "b1:1");
    ++others[picked[1]];
  }
  CHECK(others.size() == 3);
}

TEST_CASE("addresses of leaving hosts are returned only if there is no other")
{
  auto hosts = MakeHosts();
  hosts["a1"].entry_.leaving_ = true;
  const auto picked = entry_hosts::PickAddresses(hosts, "a", 1);
  CHECK(std::count(picked.begin(), picked.end(), "a1:1") == 0);
  for (auto& [name, host] : hosts) {
    host.entry_.leaving_ = true;
  }
  CHECK_FALSE(entry_hosts::PickAddresses(hosts, "a", 1).empty());
}

TEST_CASE("a host's entry survives writing and reading")
{
  entry_hosts::HostEntry entry{
    "n", "a", "1.2.3.4:5", "1.2.3.4:6", 0.25, true
  };
  const auto read = entry_hosts::ReadHost(entry_hosts::WriteHost(entry));
  REQUIRE(read);
  CHECK(read->callerAddress_ == entry.callerAddress_);
  CHECK(read->peerAddress_ == entry.peerAddress_);
  CHECK(read->cores_ == 0.25);
  CHECK(read->leaving_);
  CHECK(read->canForward_);
  // Hosts of an earlier release can't forward.
  const auto earlier = entry_hosts::ReadHost(
    R"({"name":"n","caller_address":"1.2.3.4:5","peer_address":"1.2.3.4:6"})");
  REQUIRE(earlier);
  CHECK_FALSE(earlier->canForward_);
  CHECK_FALSE(entry_hosts::ReadHost("{\"name\":\"n\"}"));
  CHECK_FALSE(entry_hosts::ReadHost("[1"));
}

TEST_CASE("a host is removed when it expires")
{
  auto hosts = MakeHosts();
  const auto now = absl::FromUnixSeconds(5);
  hosts["a1"].expiresAt_ = now;
  hosts["a2"].expiresAt_ = now + absl::Seconds(1);
  entry_hosts::RemoveExpiredHosts(hosts, now);
  CHECK(hosts.count("a1") == 0);
  CHECK(hosts.count("a2") == 1);
}
