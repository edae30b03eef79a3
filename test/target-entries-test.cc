#include "gateway/target-entries.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include "gateway-world.h"

// Tests entries that name no target to use, as another writer leaves them: they
// take no place in what is decided about targets.

using lycheeplank::test::Has;
using lycheeplank::test::Sends;
using lycheeplank::test::WholeAnswer;
using lycheeplank::test::World;
namespace fleet = lycheeplank::fleet;
namespace gateway = lycheeplank::gateway;
namespace replica = lycheeplank::replica;
namespace weights = lycheeplank::weights;

namespace {

std::string
EntryOf(const std::string& aService,
        const std::string& aAddress,
        const std::string& aZone = R"("a")")
{
  return absl::StrCat(R"({"service": ")",
                      aService,
                      R"(", "address": ")",
                      aAddress,
                      R"(", "zone": )",
                      aZone,
                      R"(, "version": "1", "batch-size": 64, "state": "ready",
                         "warmup-ms": 0, "sequence": 1, "born": 7,
                         "models": [{"name": "m", "version": 1}]})");
}

class EntryWorld : public World
{
public:
  EntryWorld()
  {
    AddService();
    host_.role_ = gateway::Role::Direct;
  }

  void Write(const std::string& aId, const std::string& aText)
  {
    Apply(aId, aText, false);
  }

  void Remove(const std::string& aId) { Apply(aId, "", true); }

  // Puts a configuration with these services in force, and one route.
  void WriteCatalog(const std::string& aServices)
  {
    ++revision_;
    gateway::ApplyItems(
      host_,
      { { "op/config",
          absl::StrCat(R"({"version": )",
                       revision_,
                       R"(, "routes": [{"name": "r", "host": "h",
                            "prefix": "/once/", "type": "non_idempotent",
                            "service": "s", "public": true,
                            "timeout-ms": 800, "goal-ms": 200}],
                          "services": [)",
                       aServices,
                       "]}"),
          revision_,
          revision_ } },
      "watch",
      gateway::Now());
  }

private:
  void Apply(const std::string& aId, const std::string& aText, bool aIsDeleted)
  {
    ++revision_;
    gateway::ApplyItems(host_,
                        { { absl::StrCat("servers/", aId),
                            aText,
                            revision_,
                            revision_,
                            aIsDeleted } },
                        "watch",
                        gateway::Now());
  }

  std::uint64_t revision_ = 100;
};

const std::string kNowhere = "127.0.0.1:1";

} // namespace

// Guards against entries that are counted, chosen or ordered although they name
// no target.
TEST_CASE("an entry that names no target to use takes no place")
{
  const auto entry =
    GENERATE(EntryOf("elsewhere", kNowhere),
             // A store of the cache is no service to forward to.
             EntryOf("c", kNowhere),
             EntryOf("s", kNowhere, "5"),
             EntryOf("s", "nowhere"),
             std::string("\xff\xfe"));
  EntryWorld world;
  auto& members = world.host_.members_;
  for (const auto* id : { "a-1", "a-2", "a-3" }) {
    world.Write(id, entry);
  }
  CHECK(members.empty());
  CHECK(world.host_.unusedEntries_.size() == 3);
  CHECK_FALSE(gateway::CanServe(world.host_));
  CHECK(fleet::WeightVersions(members, "s", "m").empty());

  auto& target = world.AddTarget(Sends(WholeAnswer("done")));
  world.Write("t1", EntryOf("s", target.Address()));
  REQUIRE(members.size() == 1);
  CHECK(Has(world.Ask(World::Request("/once/")), "HTTP/1.1 200"));
  weights::Rollout rollout;
  rollout.version_ = 2;
  CHECK(weights::NextTargets(rollout, members, "m", gateway::Now()) ==
        std::vector<std::string>{ "t1" });
  for (const auto* id : { "a-1", "a-2", "a-3" }) {
    world.Remove(id);
  }
  CHECK(world.host_.unusedEntries_.empty());
}

// Guards against a target that stays in use although another writer has
// replaced its entry, and against one that stays out of use for good.
TEST_CASE("a target is out of use while its entry is another writer's")
{
  const auto entry =
    GENERATE(EntryOf("elsewhere", kNowhere), std::string("[]"));
  EntryWorld world;
  auto& target = world.AddTarget(Sends(WholeAnswer("done")));
  const auto sound = EntryOf("s", target.Address());
  world.Write("t1", sound);
  CHECK(Has(world.Ask(World::Request("/once/")), "HTTP/1.1 200"));
  world.Write("t1", entry);
  CHECK(world.host_.members_.empty());
  CHECK(Has(world.Ask(World::Request("/once/")), "HTTP/1.1 503"));
  world.Write("t1", sound);
  CHECK(Has(world.Ask(World::Request("/once/")), "HTTP/1.1 200"));
  CHECK(target.requests_ == 2);
}

// Guards against targets that are never used because their entries came before
// the configuration that names their service.
TEST_CASE("entries are judged again by each configuration")
{
  EntryWorld world;
  auto& target = world.AddTarget(Sends(WholeAnswer("done")));
  auto& members = world.host_.members_;
  members.clear();
  world.host_.catalog_ = nullptr;
  world.Write("t1", EntryOf("s", target.Address()));
  world.Write("t2", EntryOf("later", kNowhere));
  CHECK(members.empty());
  CHECK_FALSE(gateway::CanServe(world.host_));
  world.WriteCatalog(R"({"name": "s"})");
  REQUIRE(members.size() == 1);
  CHECK(Has(world.Ask(World::Request("/once/")), "HTTP/1.1 200"));
  world.WriteCatalog(R"({"name": "s"}, {"name": "later"})");
  CHECK(members.size() == 2);
  world.WriteCatalog(R"({"name": "later"})");
  CHECK(members.size() == 1);
  CHECK(members.contains("t2"));
  // An entry that was removed meanwhile doesn't come back.
  world.Remove("t1");
  world.WriteCatalog(R"({"name": "s"}, {"name": "later"})");
  CHECK(members.size() == 1);
}

// Guards against a target that counts as just started since its service wasn't
// named when its entry came.
TEST_CASE("a target whose service is named later is no new start")
{
  EntryWorld world;
  world.host_.itemsCompleteAt_ = gateway::Now();
  const auto service = [](const std::string& aName) {
    return absl::StrCat(
      R"({"name": ")", aName, R"(", "cold-s": 8, "warmup-per-s": 2})");
  };
  world.WriteCatalog(service("s"));
  world.Write("t1", EntryOf("later", kNowhere));
  world.WriteCatalog(service("s") + "," + service("later"));
  REQUIRE(world.host_.members_.contains("t1"));
  CHECK_FALSE(world.host_.members_.at("t1").isCold_);
}

// Guards against a feed that entries of another writer fill, so that the hosts
// that follow it need snapshots.
TEST_CASE("entries that can't be read don't fill the feed")
{
  EntryWorld world;
  auto& feed = world.host_.feed_;
  const auto before = lycheeplank::relays::NextRow(feed);
  for (int i = 0; i < 50; ++i) {
    world.Write("a-1",
                absl::StrCat(R"({"service": "s", "sequence": )", i, "}"));
  }
  CHECK(lycheeplank::relays::NextRow(feed) - before == 1);
  // The row after a sound one says that the target is out of use again.
  world.Write("a-1", EntryOf("s", kNowhere));
  world.Write("a-1", "[]");
  CHECK(lycheeplank::relays::NextRow(feed) - before == 3);
  world.Remove("a-1");
  CHECK(lycheeplank::relays::NextRow(feed) - before == 4);
}

// Guards against a host that is chosen as a relay, or named to callers,
// although its entry is another writer's.
TEST_CASE("an entry of a host that names none takes no place")
{
  EntryWorld world;
  auto& host = world.host_;
  const auto write = [&](const std::string& aName,
                         const std::string& aCallers,
                         const std::string& aPeers) {
    static std::uint64_t revision = 5000;
    ++revision;
    const auto entry = lycheeplank::entry_hosts::WriteHost(
      { aName, "a", aCallers, aPeers, 1.0 });
    gateway::ApplyItems(host,
                        { { absl::StrCat(gateway::kHostPrefix, "h1"),
                            entry,
                            revision,
                            revision } },
                        "watch",
                        gateway::Now());
  };
  write("h2", "10.0.0.1:1", "10.0.0.1:2");
  write("h1", "nowhere", "10.0.0.1:2");
  write("h1", "10.0.0.1:1", "10.0.0.1:99999");
  CHECK(host.hosts_.empty());
  write("h1", "10.0.0.1:1", "10.0.0.1:2");
  REQUIRE(host.hosts_.size() == 1);
  // The host itself goes on.
  write("h1", "10.0.0.1:1", "nowhere");
  CHECK(host.hosts_.at("h1").entry_.peerAddress_ == "10.0.0.1:2");
}
