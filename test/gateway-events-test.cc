#include "gateway/events.h"

#include <array>
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

// Guards against targets that take all of a host's time with comments.
TEST_CASE("endless events without data are reported as overlong")
{
  std::array<std::string, 3> pieces;
  for (int i = 0; i < 1000; ++i) {
    pieces[0] += ":\n\n";
    pieces[1] += "\r\n\r\n";
    pieces[2] += "id: 1\ndata: x\n\n";
  }
  for (const auto& piece : pieces) {
    gateway::EventSplitter splitter;
    splitter.ExpectNumbers("");
    TakeAll(splitter, "id: 1\ndata: x\n\n");
    std::size_t taken = 0;
    while (!splitter.IsOverlong()) {
      TakeAll(splitter, piece);
      taken += piece.size();
      REQUIRE(taken <= gateway::kMaxEventBytes + piece.size());
    }
    splitter.Clear();
    CHECK_FALSE(splitter.IsOverlong());
  }
}

TEST_CASE("events that arrive together may exceed the limit of one event")
{
  gateway::EventSplitter splitter;
  std::string events;
  for (int i = 0; events.size() < 3 * gateway::kMaxEventBytes; ++i) {
    events += absl::StrCat("id: ", i, "\ndata: x\n\n");
  }
  CHECK(TakeAll(splitter, events) == events);
  CHECK_FALSE(splitter.IsOverlong());
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

// Guards against bytes that no run made and against missing events, which the
// events after a leap became.
TEST_CASE("a numbered stream stops at the first invalid event")
{
  const std::string invalid = GENERATE("data: x\n\n",
                                       "id: \ndata: x\n\n",
                                       "id: 4\ndata: x\n\n",
                                       "id: x3\ndata: x\n\n",
                                       "id: +3\ndata: x\n\n",
                                       "id: 03\ndata: x\n\n",
                                       "id: 3\nid: 9\ndata: x\n\n",
                                       "id: 3\n\n",
                                       "noise\n\n");
  const std::string sound = "id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\n\n";
  gateway::EventSplitter splitter;
  splitter.ExpectNumbers("");
  CHECK(TakeAll(splitter, sound + invalid + "id: 3\ndata: c\n\n") ==
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(splitter.IsInvalid());
  CHECK(splitter.LastId() == "2");
  splitter.Clear();
  CHECK(TakeAll(splitter, "id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
  CHECK_FALSE(splitter.IsInvalid());
}

// Guards against events that a caller reads and the host doesn't: lines end in
// three ways, and a field needs no colon.
TEST_CASE("a numbered stream is read as a standard reader reads it")
{
  const std::string sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const std::string invalid =
    GENERATE(": note\rid: \rdata: garbage\n\n",
             ": note\rdata: garbage\r\rid: 3\ndata: c\n\n",
             "id: 3\ndata: c\rid: 9\n\n",
             "id: 3\nid\ndata: c\n\n",
             "id\rid: 3\ndata: c\n\n",
             "id: 3\ndatabase: c\n\n",
             "id: 3\n data: c\n\n",
             "id:  3\ndata: c\n\n",
             "id: 3 \ndata: c\n\n",
             "id:\t3\ndata: c\n\n",
             " \n\nid: 3\ndata: c\n\n",
             "\t\n\nid: 3\ndata: c\n\n",
             "garbage\nid: 3\ndata: c\n\n",
             "gar bage: x\nid: 3\ndata: c\n\n",
             "\xEF\xBB\xBFid: 3\ndata: c\n\n");
  for (std::size_t first = 0; first <= invalid.size(); ++first) {
    gateway::EventSplitter splitter;
    splitter.ExpectNumbers("");
    auto passed = TakeAll(splitter, sound + invalid.substr(0, first));
    if (!splitter.IsInvalid()) {
      passed += TakeAll(splitter, invalid.substr(first));
    }
    CHECK(passed == sound);
    CHECK(splitter.IsInvalid());
  }
}

// Guards against a caller that reads other events than the host, which must not
// depend on where the bytes are split.
TEST_CASE("a numbered stream reaches the caller in one form only")
{
  const std::string text =
    GENERATE("id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
             "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
             "id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\n",
             "\xEF\xBB\xBFid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
             ": note\n\nid: 1\n: note\rdata: a\n\n\n\nid: 2\ndata: b\n\n:\n");
  for (std::size_t first = 0; first <= text.size(); ++first) {
    gateway::EventSplitter splitter;
    splitter.ExpectNumbers("");
    auto passed = TakeAll(splitter, text.substr(0, first));
    passed += TakeAll(splitter, text.substr(first));
    CHECK(passed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(splitter.Rest().empty());
    CHECK_FALSE(splitter.IsInvalid());
  }
}

// Guards against sound streams that are cut because they set up their readers.
TEST_CASE("a block that is no event doesn't end a numbered stream")
{
  const std::string block =
    GENERATE("retry: 1000\n\n", "event: ping\n\n", "event\nretry: 5\n\n");
  gateway::EventSplitter splitter;
  splitter.ExpectNumbers("");
  CHECK(TakeAll(splitter,
                block + "id: 1\ndata: a\n\n" + block + "id: 2\ndata: b\n\n" +
                  block) == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK_FALSE(splitter.IsInvalid());
  CHECK_FALSE(splitter.IsWithinEvent());
  std::string text;
  while (!splitter.IsOverlong() && text.size() < 2 * gateway::kMaxEventBytes) {
    text += block;
    TakeAll(splitter, block);
  }
  CHECK(splitter.IsOverlong());
}

TEST_CASE("other fields of a numbered event are forwarded")
{
  const std::string text =
    "x-weights: 2\nid:1\nevent: token\nretry: 5\ndata\ndata: a: b\n\n";
  gateway::EventSplitter splitter;
  splitter.ExpectNumbers("");
  CHECK(TakeAll(splitter, text) == text);
}

TEST_CASE("a numbered stream begins after the last event that the caller has")
{
  gateway::EventSplitter splitter;
  splitter.ExpectNumbers("7");
  CHECK(TakeAll(splitter, "id: 7\ndata: a\n\nid: 8\ndata: b\n\n") ==
        "id: 8\ndata: b\n\n");
  gateway::EventSplitter leaping;
  leaping.ExpectNumbers("7");
  CHECK(TakeAll(leaping, "id: 9\ndata: c\n\n").empty());
  CHECK(leaping.IsInvalid());
  gateway::EventSplitter unknown;
  unknown.ExpectNumbers("x");
  CHECK(TakeAll(unknown, "id: 9\ndata: c\n\nid: 10\ndata: d\n\n") ==
        "id: 9\ndata: c\n\nid: 10\ndata: d\n\n");
}

// Guards against sound streams that are taken for broken ones because their ids
// leap.
TEST_CASE("ids of sound streams may leap")
{
  const std::string first = GENERATE("0", "1", "10");
  const auto text = absl::StrCat(
    "id: ", first, "\ndata: a\n\nid: 20\ndata: b\n\nid: 35\ndata: c\n\n");
  gateway::EventIds ids;
  for (int stream = 0; stream < 3; ++stream) {
    gateway::EventSplitter splitter;
    splitter.ExpectNumbers("", &ids);
    CHECK(TakeAll(splitter, text) == text);
    CHECK_FALSE(splitter.IsInvalid());
    CHECK(splitter.SeenPattern() == gateway::IdPattern::Leaping);
    RecordIds(ids, splitter.SeenPattern());
  }
  CHECK(ids.pattern_ == gateway::IdPattern::Leaping);
}

TEST_CASE("an event that leaps waits for the next one while nothing is known")
{
  const gateway::EventIds ids;
  gateway::EventSplitter splitter;
  splitter.ExpectNumbers("", &ids);
  CHECK(TakeAll(splitter, "id: 1\ndata: a\n\nid: 9\ndata: b\n\n") ==
        "id: 1\ndata: a\n\n");
  SECTION("the end of the stream releases it")
  {
    CHECK(splitter.ReleaseHeld() == "id: 9\ndata: b\n\n");
    CHECK(splitter.LastId() == "9");
    CHECK(splitter.ReleaseHeld().empty());
  }
  SECTION("a number that goes back, or doesn't leap, shows a fault")
  {
    const std::string next = GENERATE("2", "9", "10");
    CHECK(TakeAll(splitter, "id: " + next + "\ndata: c\n\n").empty());
    CHECK(splitter.IsInvalid());
    splitter.Clear();
    CHECK(splitter.ReleaseHeld().empty());
    CHECK(TakeAll(splitter, "id: 2\ndata: c\n\n") == "id: 2\ndata: c\n\n");
  }
}

// Guards against garbage whose number is so high that the next one has none.
TEST_CASE("the highest number isn't confirmed by a lower one")
{
  const gateway::EventIds ids;
  gateway::EventSplitter splitter;
  splitter.ExpectNumbers("", &ids);
  CHECK(
    TakeAll(splitter, "id: 18446744073709551615\ndata: x\n\nid: 1\ndata: a\n\n")
      .empty());
  CHECK(splitter.IsInvalid());
}

// Guards against garbage among events whose ids leap.
TEST_CASE("a number that goes back after a leap ends the target's part")
{
  const gateway::EventIds ids{ gateway::IdPattern::Leaping, 0 };
  gateway::EventSplitter splitter;
  splitter.ExpectNumbers("", &ids);
  TakeAll(splitter, "id: 3\ndata: a\n\nid: 99\ndata: b\n\n");
  CHECK(TakeAll(splitter, "id: 6\ndata: c\n\n").empty());
  CHECK(splitter.IsInvalid());
}

TEST_CASE("few streams that oppose a service's pattern don't change it")
{
  using gateway::IdPattern;
  gateway::EventIds ids;
  CHECK_FALSE(RecordIds(ids, IdPattern::Unknown));
  CHECK(RecordIds(ids, IdPattern::Consecutive));
  for (std::uint32_t i = 1; i < gateway::kOpposedStreams; ++i) {
    CHECK_FALSE(RecordIds(ids, IdPattern::Leaping));
  }
  CHECK_FALSE(RecordIds(ids, IdPattern::Consecutive));
  for (std::uint32_t i = 1; i < gateway::kOpposedStreams; ++i) {
    CHECK_FALSE(RecordIds(ids, IdPattern::Leaping));
  }
  CHECK(RecordIds(ids, IdPattern::Leaping));
  CHECK(ids.pattern_ == IdPattern::Unknown);
}
