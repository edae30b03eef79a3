#include "lycheeplank/catalog.h"

#include <map>

#include <catch2/catch.hpp>

namespace catalog = lycheeplank::catalog;

namespace {

catalog::Catalog
MakeCatalog()
{
  catalog::Catalog catalogue;
  catalog::Route wide;
  wide.name_ = "wide";
  wide.prefix_ = "/a/";
  wide.shares_ = { { "first", 9.0 }, { "second", 1.0 } };
  catalog::Route narrow = wide;
  narrow.name_ = "narrow";
  narrow.prefix_ = "/a/b/";
  catalogue.routes_["one.example"] = { wide, narrow };
  catalogue.workspaces_ = { { "north", false, { "k1", "k2" } },
                            { "south", true, { "k3" } } };
  catalog::BuildIndexes(catalogue);
  return catalogue;
}

} // namespace

TEST_CASE("the longest prefix of the path selects the route")
{
  const auto catalogue = MakeCatalog();
  CHECK(catalog::FindRoute(catalogue, "one.example", "/a/x")->name_ == "wide");
  CHECK(catalog::FindRoute(catalogue, "one.example", "/a/b/x")->name_ ==
        "narrow");
  CHECK(catalog::FindRoute(catalogue, "one.example:80", "/a/b/")->name_ ==
        "narrow");
}

TEST_CASE("a path that starts with no prefix has no route")
{
  const auto catalogue = MakeCatalog();
  CHECK(catalog::FindRoute(catalogue, "one.example", "/a") == nullptr);
  CHECK(catalog::FindRoute(catalogue, "one.example", "/c/?/a/") == nullptr);
  CHECK(catalog::FindRoute(catalogue, "two.example", "/a/") == nullptr);
}

TEST_CASE("a key selects its workspace")
{
  const auto catalogue = MakeCatalog();
  CHECK(catalog::FindWorkspace(catalogue, "k2")->name_ == "north");
  CHECK(catalog::FindWorkspace(catalogue, "k3")->name_ == "south");
  CHECK(catalog::FindWorkspace(catalogue, "") == nullptr);
}

TEST_CASE("requests are split between services by weight")
{
  const auto catalogue = MakeCatalog();
  const auto& route = *catalog::FindRoute(catalogue, "one.example", "/a/");
  std::map<std::string, int> counts;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    ++counts[catalog::PickService(route, std::to_string(i))];
  }
  CHECK(counts["first"] > 0.88 * kRequests);
  CHECK(counts["second"] > 0.08 * kRequests);
  CHECK(catalog::PickService(route, "7") == catalog::PickService(route, "7"));
}

TEST_CASE("only idempotent routes and resumable streams may repeat")
{
  catalog::Route route;
  route.repeatPolicy_ = catalog::RepeatPolicy::Idempotent;
  CHECK(catalog::MayRepeat(route));
  route.repeatPolicy_ = catalog::RepeatPolicy::Once;
  CHECK_FALSE(catalog::MayRepeat(route));
  route.repeatPolicy_ = catalog::RepeatPolicy::Stream;
  CHECK_FALSE(catalog::MayRepeat(route));
  route.resumable_ = true;
  CHECK(catalog::MayRepeat(route));
}

// Guards against a workspace's priority that makes its long prompts as urgent
// as its short ones, so that the short ones wait behind them.
TEST_CASE("a workspace's priority keeps the order among its routes")
{
  catalog::Catalog catalogue;
  catalog::Route shortPrompts;
  shortPrompts.priority_ = 0;
  shortPrompts.shares_ = { { "models", 1.0 } };
  catalog::Route longPrompts = shortPrompts;
  longPrompts.priority_ = 1;
  catalog::Route calls;
  calls.priority_ = 2;
  calls.shares_ = { { "desk", 1.0 } };
  catalogue.routes_["host"] = { shortPrompts, longPrompts, calls };
  catalog::BuildIndexes(catalogue);
  catalog::Workspace first;
  first.priority_ = 0;
  catalog::Workspace second;
  second.priority_ = 1;
  const auto priority = [&](const catalog::Route& aRoute,
                            const catalog::Workspace* aWorkspace) {
    return catalog::CombinedPriority(
      catalogue, aRoute, aWorkspace, aRoute.shares_.front().service_);
  };
  CHECK(priority(shortPrompts, &first) == 0);
  CHECK(priority(longPrompts, &first) == 1);
  CHECK(priority(shortPrompts, &second) == 2);
  CHECK(priority(longPrompts, &second) == 3);
  CHECK(priority(shortPrompts, nullptr) == 0);
  CHECK(priority(longPrompts, nullptr) == 3);
  CHECK(priority(calls, nullptr) == 2);
}
