#include "lycheeplank/relays.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include "lycheeplank/cache_index.h"
#include "lycheeplank/relay_polls.h"

namespace entry_hosts = lycheeplank::entry_hosts;
namespace relays = lycheeplank::relays;

namespace {

// Returns hosts h0, h1 and so on, alternately in two data centres; h2 and h4
// have the most cores.
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

// Returns the rows that a host of an earlier release gets from a number on.
absl::optional<std::string>
RowsFrom(const relays::Feed& aFeed, std::uint64_t aId, std::uint64_t aFirst)
{
  const auto portion = relays::PortionFor(aFeed, { aId, aFirst, {} });
  return portion ? absl::make_optional(portion->rows_) : absl::nullopt;
}

} // namespace

TEST_CASE("the hosts with the most cores of a data centre are its relays")
{
  const auto hosts = MakeHosts(12);
  auto names = relays::RelaysOf(hosts, "a");
  std::sort(names.begin(), names.end());
  CHECK(names == std::vector<std::string>{ "h2", "h4" });
  CHECK(relays::RelaysOf(hosts, "b").size() == relays::kRelaysPerDataCentre);
  CHECK(relays::RelaysOf(hosts, "c").empty());
  CHECK(relays::IsRelay(hosts, "h2"));
  CHECK_FALSE(relays::IsRelay(hosts, "h0"));
  CHECK(relays::IsLargeDeployment(hosts));
  CHECK_FALSE(relays::IsLargeDeployment(MakeHosts(4)));
}

TEST_CASE("each host that isn't leaving is a relay or has one")
{
  auto hosts = MakeHosts(6);
  hosts.at("h2").entry_.leaving_ = true;
  CHECK_FALSE(relays::IsRelay(hosts, "h2"));
  CHECK(relays::IsRelay(hosts, "h0"));
  hosts.at("h0").entry_.leaving_ = true;
  hosts.at("h4").entry_.leaving_ = true;
  // If all hosts of a data centre are leaving, each one acts as a relay.
  CHECK(relays::RelaysOf(hosts, "a").empty());
  CHECK(relays::IsRelay(hosts, "h0"));
  // A host that isn't on the list yet does so as well.
  CHECK(relays::IsRelay(hosts, "h99"));
}

TEST_CASE("a host polls the relays of its data centre, then those of others")
{
  const auto hosts = MakeHosts(12);
  const auto ownRelays = relays::RelaysOf(hosts, "a");
  const auto otherRelays = relays::RelaysOf(hosts, "b");
  const std::vector<std::string> expected{ ownRelays[0],
                                           ownRelays[1],
                                           otherRelays[0] };
  CHECK(relays::SourcesOf(hosts, "a", "h0") == expected);
  // A host doesn't poll itself.
  const std::vector<std::string> ofRelay{ ownRelays[1], otherRelays[0] };
  CHECK(relays::SourcesOf(hosts, "a", ownRelays[0]) == ofRelay);
  // A data centre without relays uses those of others.
  CHECK(relays::SourcesOf(hosts, "c", "h99").size() == 2);
}

TEST_CASE("no more hosts follow the stores than a store lets wait")
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
    CHECK(count <= std::max(relays::kMaxRelays, dataCentres));
    CHECK(count >= dataCentres);
  }
}

TEST_CASE("few hosts claim a vacant ownership, each with its own rank")
{
  const auto hosts = MakeHosts(60);
  std::vector<std::size_t> turns;
  for (const auto& [name, host] : hosts) {
    if (const auto turn = relays::ClaimRank(hosts, name, 700)) {
      turns.push_back(*turn);
    }
  }
  std::sort(turns.begin(), turns.end());
  CHECK(turns == std::vector<std::size_t>{ 0, 1, 2, 3 });
  // A host that isn't on the list yet may not claim.
  CHECK_FALSE(relays::ClaimRank(hosts, "h99", 700));
  CHECK_FALSE(relays::ClaimRank({}, "h0", 700));
}

TEST_CASE("a feed returns all rows from a number on, or nothing")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  CHECK(RowsFrom(feed, 7, 1) == std::string());
  relays::AddRow(feed, "1");
  relays::AddRow(feed, "2");
  CHECK(RowsFrom(feed, 7, 1) == std::string("1,2"));
  CHECK(RowsFrom(feed, 7, 2) == std::string("2"));
  CHECK(RowsFrom(feed, 7, 3) == std::string());
  CHECK_FALSE(RowsFrom(feed, 7, 4));
  CHECK_FALSE(RowsFrom(feed, 8, 1));
  relays::Restart(feed, 9);
  CHECK_FALSE(RowsFrom(feed, 7, 2));
}

TEST_CASE("a feed keeps a bounded number of rows and bytes")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  for (std::size_t i = 0; i < relays::kMaxRows + 10; ++i) {
    relays::AddRow(feed, "x");
  }
  CHECK(feed.rows_.size() == relays::kMaxRows);
  CHECK_FALSE(RowsFrom(feed, 7, 10));
  CHECK(RowsFrom(feed, 7, 11));
  relays::AddRow(feed, std::string(relays::kMaxBytes, 'y'));
  CHECK(feed.bytes_ <= relays::kMaxBytes);
  CHECK(relays::NextRow(feed) == relays::kMaxRows + 12);
}

// Guards against hosts that receive each superseded configuration before the
// newest one.
TEST_CASE("a row that a newer one with its key has replaced isn't returned")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  relays::AddRow(feed, "old", "k");
  relays::AddRow(feed, "other");
  relays::AddRow(feed, "new", "k");
  CHECK(RowsFrom(feed, 7, 1) == std::string("other,new"));
  CHECK(RowsFrom(feed, 7, 2) == std::string("other,new"));
  CHECK(relays::NextRow(feed) == 4);
  CHECK(feed.bytes_ == 8);
}

// Guards against a new configuration that waits behind loads and cached parts.
TEST_CASE("an urgent row is sent first, alone and once")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  relays::AddRow(feed, "1");
  relays::AddRow(feed, "config", "k", relays::Urgency::Urgent);
  relays::AddRow(feed, "2");
  const auto first = relays::PortionFor(feed, { 7, 1, 1 });
  REQUIRE(first);
  CHECK(first->rows_ == "config");
  CHECK(first->position_.next_ == 1);
  CHECK(relays::IsBehind(feed, first->position_));
  const auto second = relays::PortionFor(feed, first->position_);
  REQUIRE(second);
  CHECK(second->rows_ == "1,2");
  CHECK(second->position_.next_ == 4);
  CHECK_FALSE(relays::IsBehind(feed, second->position_));
  // A host of an earlier release gets it in its order.
  CHECK(RowsFrom(feed, 7, 1) == std::string("1,config,2"));
}

// Guards against slow hosts that each hold a backlog of megabytes, and against
// a configuration that waits for the transfer of one.
TEST_CASE("an answer has a bounded part of the backlog")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  const std::string row(relays::kMaxPortionBytes / 4, 'x');
  for (int i = 0; i < 6; ++i) {
    relays::AddRow(feed, row);
  }
  relays::AddRow(feed, std::string(relays::kMaxPortionBytes * 2, 'y'));
  const auto first = relays::PortionFor(feed, { 7, 1, 1 });
  REQUIRE(first);
  CHECK(first->position_.next_ == 5);
  const auto second = relays::PortionFor(feed, first->position_);
  REQUIRE(second);
  CHECK(second->position_.next_ == 7);
  // A larger row is sent whole.
  const auto third = relays::PortionFor(feed, second->position_);
  REQUIRE(third);
  CHECK(third->position_.next_ == 8);
  CHECK(third->rows_.size() == relays::kMaxPortionBytes * 2);
}

// Guards against a host that serves many others: of 100 hosts in a data centre
// a relay served 98.
TEST_CASE("no host serves more than some others in a large data centre")
{
  for (const int count : { 8, 52, 78, 300 }) {
    const auto hosts = MakeHosts(count);
    std::map<std::string, std::size_t> served;
    for (const auto& [name, host] : hosts) {
      const auto sources =
        relays::SourcesOf(hosts, host.entry_.dataCentre_, name);
      if (!relays::IsRelay(hosts, name)) {
        ++served[sources.front()];
        // Further sources are relays.
        CHECK(relays::IsRelay(hosts, sources[1]));
      }
    }
    std::size_t most = 0;
    for (const auto& [name, number] : served) {
      most = std::max(most, number);
    }
    INFO(count << " hosts");
    CHECK(most <= relays::kMaxServedHosts);
    // Smaller data centres have no forwarders.
    CHECK(relays::ForwardersOf(hosts, "a").empty() == (count <= 68));
  }
}

// Guards against hosts that all get another forwarder when one of them leaves.
TEST_CASE("a forwarder that leaves moves only the hosts that it serves")
{
  auto hosts = MakeHosts(200);
  std::map<std::string, std::string> before;
  for (const auto& [name, host] : hosts) {
    before[name] = relays::ForwarderOf(hosts, "a", name);
  }
  const auto leaving = relays::ForwardersOf(hosts, "a").front();
  hosts.at(leaving).entry_.leaving_ = true;
  std::size_t moved = 0;
  for (const auto& [name, host] : hosts) {
    const auto now = relays::ForwarderOf(hosts, "a", name);
    moved += now != before[name] && before[name] != leaving ? 1 : 0;
  }
  // Some move to the host that became a forwarder instead.
  CHECK(moved < 30);
}

// Guards against hosts that get no changes or loads while a release is
// installed on one host after the other.
TEST_CASE("hosts of an earlier release are served by a relay and don't forward")
{
  auto hosts = MakeHosts(200);
  int number = 0;
  for (auto& [name, host] : hosts) {
    host.entry_.canForward_ = ++number % 3 == 0;
  }
  const auto relay = relays::RelaysOf(hosts, "a").front();
  hosts.at(relay).entry_.canForward_ = true;
  for (const auto& name : relays::ForwardersOf(hosts, "a")) {
    CHECK(hosts.at(name).entry_.canForward_);
  }
  std::size_t collected = 0;
  for (const auto& [name, host] : hosts) {
    if (host.entry_.dataCentre_ != "a") {
      continue;
    }
    const auto by = relays::CollectorOf(hosts, "a", name);
    if (!host.entry_.canForward_ && name != relay) {
      CHECK(by == relay);
      CHECK(relays::ForwarderOf(hosts, "a", name).empty());
    }
    // Both sides agree on who collects whose loads.
    const auto names = relays::CollectedBy(hosts, "a", name);
    for (const auto& below : names) {
      CHECK(relays::CollectorOf(hosts, "a", below) == name);
    }
    collected += names.size();
  }
  CHECK(collected == 99);
  // A relay of an earlier release sends loads to all hosts. Those that a
  // forwarder sends as well would be counted twice.
  hosts.at(relay).entry_.canForward_ = false;
  CHECK(relays::CollectedBy(hosts, "a", relay).size() == 99);
  for (const auto& [name, host] : hosts) {
    if (host.entry_.dataCentre_ == "a" && name != relay) {
      CHECK(relays::CollectorOf(hosts, "a", name) == relay);
    }
  }
}

// Guards against hosts behind a forwarder that don't use cached parts in quiet
// times: contents that were confirmed too long ago aren't used.
TEST_CASE("what a host knows of quiet cache stores stays recent enough")
{
  // A store answers a relay's poll after a second, and the relay polls again
  // after at most 120 ms.
  const auto atRelay = absl::Milliseconds(1120);
  for (const int count : { 8, 60, 300 }) {
    const auto hosts = MakeHosts(count);
    const int hops = relays::ForwardersOf(hosts, "a").empty() ? 1 : 2;
    // An answer is as old as its poll, and counts until the next answer.
    const auto age = atRelay + 2 * hops * relays::PollTimeOf(hosts, "a");
    INFO(count << " hosts");
    CHECK(age < lycheeplank::cache_index::kMaxStateAge);
  }
}

// Guards against a relay that answers each poll by itself while rows arrive, so
// that it serializes and sends each row for each host.
TEST_CASE("polls that arrive during a batch share its answer")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  relays::Polls polls;
  const auto now = absl::FromUnixSeconds(1000);
  const auto first = relays::AddPoll(polls, feed, { 7, 1, 1 }, now);
  CHECK(relays::TakeDuePolls(polls, feed, now).empty());
  relays::AddRow(feed, "a");
  relays::StartBatch(polls, now, false);
  const auto second =
    relays::AddPoll(polls, feed, { 7, 1, 1 }, now + absl::Milliseconds(10));
  // It has the row already.
  const auto third =
    relays::AddPoll(polls, feed, { 7, 2, 2 }, now + absl::Milliseconds(10));
  CHECK(
    relays::TakeDuePolls(polls, feed, now + absl::Milliseconds(10)).empty());
  CHECK(relays::NextDueTime(polls, feed) == now + relays::kBatchTime);
  const auto due = relays::TakeDuePolls(polls, feed, now + relays::kBatchTime);
  REQUIRE(due.size() == 1);
  CHECK(due[0].polls_ == std::vector<std::uint64_t>{ first, second });
  // An urgent row doesn't wait for a batch.
  relays::AddRow(feed, "config", "k", relays::Urgency::Urgent);
  CHECK(relays::NextDueTime(polls, feed) == absl::InfinitePast());
  const auto urgent =
    relays::TakeDuePolls(polls, feed, now + relays::kBatchTime);
  REQUIRE(urgent.size() == 1);
  CHECK(urgent[0].polls_ == std::vector<std::uint64_t>{ third });
}

// Guards against hosts that don't learn that their relay has lost the key-value
// service, and against polls that are never answered.
TEST_CASE("all polls are answered at a change of the sources and in time")
{
  relays::Feed feed;
  relays::Restart(feed, 7);
  relays::Polls polls;
  const auto now = absl::FromUnixSeconds(1000);
  relays::AddPoll(polls, feed, { 7, 1, 1 }, now);
  relays::StartBatch(polls, now, true);
  CHECK(relays::TakeDuePolls(polls, feed, now + relays::kBatchTime).size() ==
        1);
  const auto gone = relays::AddPoll(polls, feed, { 7, 1, 1 }, now);
  relays::AddPoll(polls, feed, { 7, 1, 1 }, now);
  relays::RemovePoll(polls, gone);
  CHECK(relays::NextDueTime(polls, feed) == now + relays::kPollTime);
  const auto due = relays::TakeDuePolls(polls, feed, now + relays::kPollTime);
  REQUIRE(due.size() == 1);
  CHECK(due[0].polls_.size() == 1);
}
