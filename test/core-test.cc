#include "lycheeplank/core.h"

#include <catch2/catch.hpp>

namespace core = lycheeplank::core;

TEST_CASE("equal prompts of two workspaces share no block")
{
  const std::string prompt(100000, 'x');
  const core::CacheScope first{ "a", "m", "v1", "" };
  const core::CacheScope second{ "b", "m", "v1", "" };
  const auto left = core::BlockChain(first, prompt, 2000);
  const auto right = core::BlockChain(second, prompt, 2000);
  REQUIRE(left.size() == 12);
  for (const auto& key : left) {
    for (const auto& other : right) {
      CHECK(key != other);
    }
  }
}

TEST_CASE("a shared prefix gives equal keys up to the first difference")
{
  const core::CacheScope scope{ "a", "m", "v1", "" };
  std::string one(40000, 'x');
  std::string two = one;
  two[20000] = 'y';
  const auto left = core::BlockChain(scope, one, 2000);
  const auto right = core::BlockChain(scope, two, 2000);
  CHECK(left[0] == right[0]);
  CHECK(left[1] == right[1]);
  CHECK(left[2] != right[2]);
  CHECK(left[3] != right[3]);
}

TEST_CASE("the boundaries between scope fields affect the keys")
{
  const std::string prompt(8000, 'x');
  CHECK(core::BlockChain({ "ab", "c", "", "" }, prompt, 2000) !=
        core::BlockChain({ "a", "bc", "", "" }, prompt, 2000));
}

TEST_CASE("removing a member moves only its own items")
{
  const std::vector<std::string> all{ "h1", "h2", "h3", "h4" };
  const std::vector<std::string> less{ "h1", "h2", "h4" };
  for (int i = 0; i < 200; ++i) {
    const std::string item = "item" + std::to_string(i);
    const auto before = core::RendezvousPick(item, all, 1);
    const auto after = core::RendezvousPick(item, less, 1);
    if (before[0] != "h3") {
      CHECK(before == after);
    }
  }
}

TEST_CASE("the table of error kinds follows the enum")
{
  const auto& kinds = core::AllErrorKinds();
  REQUIRE(kinds.size() ==
          static_cast<std::size_t>(core::ErrorKind::Internal) + 1);
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    CHECK(static_cast<std::size_t>(kinds[i].kind_) == i);
  }
}

TEST_CASE("four statuses promise that a request has not run")
{
  for (int status = 100; status < 600; ++status) {
    const bool expected =
      status == 408 || status == 421 || status == 429 || status == 503;
    CAPTURE(status);
    CHECK(core::PromisesNotRun(status) == expected);
  }
}

TEST_CASE("an error is returned through a result")
{
  const auto fails = []() -> core::Result<int> {
    return core::Fail({ core::ErrorKind::NotFound, "host h9" });
  };
  const std::string text = core::HandleError(
    [&]() -> core::Result<std::string> {
      BOOST_LEAF_CHECK(fails());
      return std::string("fine");
    },
    core::Describe);
  CHECK(text == "not_found: host h9; Check the name.");
}

TEST_CASE("block keys survive their hexadecimal form")
{
  const core::BlockKey key{ 1, 0xffffffffffffffffULL };
  CHECK(core::BlockKeyFromHex(core::ToHex(key)) == key);
  CHECK(!core::BlockKeyFromHex("xyz"));
}
