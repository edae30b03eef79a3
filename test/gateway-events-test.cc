#include "gateway/events.h"

#include <random>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace gateway = lycheeplank::gateway;

namespace {

std::string
TakeAll(gateway::EventSplitter& aSplitter, std::string aText)
{
  return aSplitter.Take(aText);
}

} // namespace

TEST_CASE("only whole events are forwarded, byte for byte")
{
  const std::string text =
    "id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\n\nid: 3";
  for (unsigned seed = 0; seed < 100; ++seed) {
    std::mt19937 random(seed);
    gateway::EventSplitter splitter;
    std::string passed;
    for (std::size_t at = 0; at < text.size();) {
      const auto size = std::min(text.size() - at, 1 + random() % 7);
      passed += TakeAll(splitter, text.substr(at, size));
      at += size;
    }
    CHECK(passed == "id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\n\n");
    CHECK(splitter.LastId() == "2");
    CHECK(splitter.Rest() == "id: 3");
  }
}

TEST_CASE("a stream that continues at another target repeats no event")
{
  gateway::EventSplitter splitter;
  TakeAll(splitter, "id: 5\ndata: a\n\nid: 10\nda");
  splitter.Clear();
  CHECK(TakeAll(splitter, "id: 5\ndata: a\n\nid: 10\ndata: b\n\n") ==
        "id: 10\ndata: b\n\n");
  CHECK(splitter.Count() == 2);
}

TEST_CASE("lines may end with CRLF")
{
  gateway::EventSplitter splitter;
  CHECK(TakeAll(splitter, "id: 1\r\ndata: a\r\n\r\nid") ==
        "id: 1\r\ndata: a\r\n\r\n");
  CHECK(splitter.LastId() == "1");
}

TEST_CASE("an endless event is reported as overlong")
{
  gateway::EventSplitter splitter;
  const std::string piece(10000, 'x');
  std::size_t taken = 0;
  while (!splitter.IsOverlong()) {
    CHECK(TakeAll(splitter, piece).empty());
    taken += piece.size();
    REQUIRE(taken <= gateway::kMaxEventBytes + piece.size());
  }
}

TEST_CASE("comments and blank events aren't counted as data")
{
  gateway::EventSplitter splitter;
  TakeAll(splitter, ": a\n\n\n\nid: 1\ndata: x\n\n: b\n\n");
  CHECK(splitter.DataCount() == 1);
}

TEST_CASE("the end of an event is found in any split of its bytes")
{
  for (const std::string end : { "\n\n", "\r\n\r\n" }) {
    gateway::EventSplitter splitter;
    std::string passed;
    const auto text = absl::StrCat("data: abcdefgh", end, "data: i", end);
    for (const char byte : text) {
      passed += TakeAll(splitter, std::string(1, byte));
    }
    CHECK(passed == text);
  }
}
