#include "lycheeplank/catalog.h"

#include <map>

#include <catch2/catch.hpp>

namespace catalog = lycheeplank::catalog;

namespace {

catalog::Catalog
MakeCatalog()
{
  catalog::Catalog made;
  catalog::Route wide;
  wide.name_ = "wide";
  wide.prefix_ = "/a/";
  wide.shares_ = { { "first", 9.0 }, { "second", 1.0 } };
  catalog::Route narrow = wide;
  narrow.name_ = "narrow";
  narrow.prefix_ = "/a/b/";
  made.routes_["one.example"] = { wide, narrow };
  made.workspaces_ = { { "north", false, { "k1", "k2" } },
                       { "south", true, { "k3" } } };
  catalog::BuildIndexes(made);
  return made;
}

} // namespace

TEST_CASE("the longest prefix of the path selects the route")
{
  const auto made = MakeCatalog();
  CHECK(catalog::FindRoute(made, "one.example", "/a/x")->name_ == "wide");
  CHECK(catalog::FindRoute(made, "one.example", "/a/b/x")->name_ == "narrow");
  CHECK(catalog::FindRoute(made, "one.example:80", "/a/b/")->name_ == "narrow");
}

TEST_CASE("what no prefix begins has no route")
{
  const auto made = MakeCatalog();
  CHECK(catalog::FindRoute(made, "one.example", "/a") == nullptr);
  CHECK(catalog::FindRoute(made, "one.example", "/c/?/a/") == nullptr);
  CHECK(catalog::FindRoute(made, "two.example", "/a/") == nullptr);
}

TEST_CASE("a key names its workspace")
{
  const auto made = MakeCatalog();
  CHECK(catalog::FindWorkspace(made, "k2")->name_ == "north");
  CHECK(catalog::FindWorkspace(made, "k3")->name_ == "south");
  CHECK(catalog::FindWorkspace(made, "") == nullptr);
}

TEST_CASE("requests are split between services by weight")
{
  const auto made = MakeCatalog();
  const auto& route = *catalog::FindRoute(made, "one.example", "/a/");
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
