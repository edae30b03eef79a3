#include "lycheeplank/relays.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace entry_hosts = lycheeplank::entry_hosts;
namespace relays = lycheeplank::relays;

namespace {

// Hosts h0.. in two data centres by turns; h2 and h4 have most cores.
entry_hosts::Hosts
MakeHosts(int aCount)
{
  entry_hosts::Hosts hosts;
  for (int i = 0; i < aCount; ++i) {
    entry_hosts::HostEntry entry;
    entry.name_ = "h" + std::to_string(i);
    entry.dataCentre_ = i % 2 == 0 ? "a" : "b";
    entry.callerAddress_ = "10.0.0." + std::to_string(i) + ":1";
    entry.peerAddress_ = "10.0.0." + std::to_string(i) + ":2";
    entry.cores_ = i == 2 || i == 4 ? 0.5 : 0.12;
    hosts[entry.name_] = { entry };
  }
  return hosts;
}

} // namespace

TEST_CASE("the hosts with most cores of a data centre are its relays")
{
  const auto hosts = MakeHosts(12);
  auto names = relays::RelaysOf(hosts, "a");
  std::sort(names.begin(), names.end());
  CHECK(names == std::vector<std::string>{ "h2", "h4" });
  CHECK(relays::RelaysOf(hosts, "b").size() == relays::kRelays);
  CHECK(relays::RelaysOf(hosts, "c").empty());
  CHECK(relays::IsRelay(hosts, "h2"));
  CHECK_FALSE(relays::IsRelay(hosts, "h0"));
  CHECK(relays::IsLarge(hosts));
  CHECK_FALSE(relays::IsLarge(MakeHosts(4)));
}

TEST_CASE("each host that stays is a relay or has one")
{
  auto hosts = MakeHosts(6);
  hosts.at("h2").entry_.leaving_ = true;
  CHECK_FALSE(relays::IsRelay(hosts, "h2"));
  CHECK(relays::IsRelay(hosts, "h0"));
  hosts.at("h0").entry_.leaving_ = true;
  hosts.at("h4").entry_.leaving_ = true;
  // Without any that stays, each one asks for itself.
  CHECK(relays::RelaysOf(hosts, "a").empty());
  CHECK(relays::IsRelay(hosts, "h0"));
  // A host that isn't on the list yet does so as well.
  CHECK(relays::IsRelay(hosts, "h99"));
}

TEST_CASE("a host asks the relays of its data centre, then those of others")
{
  const auto hosts = MakeHosts(12);
  const auto own = relays::RelaysOf(hosts, "a");
  const auto others = relays::RelaysOf(hosts, "b");
  const std::vector<std::string> expected{ own[0], own[1], others[0] };
  CHECK(relays::SourcesOf(hosts, "a", "h0") == expected);
  // Nobody asks itself.
  const std::vector<std::string> ofRelay{ own[1], others[0] };
  CHECK(relays::SourcesOf(hosts, "a", own[0]) == ofRelay);
  // A data centre without relays has those of others.
  CHECK(relays::SourcesOf(hosts, "c", "h99").size() == 2);
}

TEST_CASE("stores are followed by as many hosts as they let wait")
{
  for (const std::size_t dataCentres : { 1, 3, 4, 6, 9 }) {
    auto hosts = MakeHosts(60);
    std::size_t number = 0;
    for (auto& [name, host] : hosts) {
      host.entry_.dataCentre_ = "d" + std::to_string(number++ % dataCentres);
    }
    std::size_t count = 0;
    for (const auto& [name, host] : hosts) {
      count += relays::IsRelay(hosts, name) ? 1 : 0;
    }
    CHECK(count <= std::max(relays::kMostRelays, dataCentres));
    CHECK(count >= dataCentres);
  }
}

TEST_CASE("few hosts claim a vacant right, each in a turn of its own")
{
  const auto hosts = MakeHosts(60);
  std::vector<std::size_t> turns;
  for (const auto& [name, host] : hosts) {
    if (const auto turn = relays::ClaimTurn(hosts, name, 700)) {
      turns.push_back(*turn);
    }
  }
  std::sort(turns.begin(), turns.end());
  CHECK(turns == std::vector<std::size_t>{ 0, 1, 2, 3 });
  // A host that isn't on the list yet waits for those that are.
  CHECK_FALSE(relays::ClaimTurn(hosts, "h99", 700));
  CHECK_FALSE(relays::ClaimTurn({}, "h0", 700));
}

TEST_CASE("a feed gives what comes after a row, or nothing")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  CHECK(relays::RowsFrom(feed, 7, 1) == std::string());
  relays::AddRow(feed, "1");
  relays::AddRow(feed, "2");
  CHECK(relays::RowsFrom(feed, 7, 1) == std::string("1,2"));
  CHECK(relays::RowsFrom(feed, 7, 2) == std::string("2"));
  CHECK(relays::RowsFrom(feed, 7, 3) == std::string());
  CHECK_FALSE(relays::RowsFrom(feed, 7, 4));
  CHECK_FALSE(relays::RowsFrom(feed, 8, 1));
  relays::Restart(feed, 9);
  CHECK_FALSE(relays::RowsFrom(feed, 7, 2));
}

TEST_CASE("a feed keeps a bounded number of rows and bytes")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  for (std::size_t i = 0; i < relays::kMostRows + 10; ++i) {
    relays::AddRow(feed, "x");
  }
  CHECK(feed.rows_.size() == relays::kMostRows);
  CHECK_FALSE(relays::RowsFrom(feed, 7, 10));
  CHECK(relays::RowsFrom(feed, 7, 11));
  relays::AddRow(feed, std::string(relays::kMostBytes, 'y'));
  CHECK(feed.bytes_ <= relays::kMostBytes);
  CHECK(relays::NextRow(feed) == relays::kMostRows + 12);
}
