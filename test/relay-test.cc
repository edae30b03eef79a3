#include "entry/relay.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace entry = lycheeplank::entry;
namespace net = lycheeplank::net;
namespace resume = lycheeplank::resume;

namespace {

// Records the data written to the caller.
class RecordingExchange final : public net::Exchange
{
public:
  void Reply(int, std::vector<net::Field>, std::string aBody) override
  {
    writes_.push_back(std::move(aBody));
  }
  void BeginStream(int, std::vector<net::Field>) override { begun_ = true; }
  bool Write(absl::string_view aData) override
  {
    writes_.emplace_back(aData);
    return true;
  }
  void End() override { ended_ = true; }
  void Abort() override {}
  void OnClosed(std::function<void()>) override {}
  std::size_t Backlog() override { return 0; }

  std::vector<std::string> writes_;
  bool begun_ = false;
  bool ended_ = false;
};

// A relay that writes to a RecordingExchange.
struct RelayFixture
{
  explicit RelayFixture(bool aStream = true)
    : relay_({ "request", "wording", aStream, 0 },
             exchange_,
             resume::Signer("secret", { "ws", "engine-1", "run", "request" }))
  {
  }

  // Returns the data of all events written so far.
  std::vector<std::string> Events() const
  {
    net::SseParser parser;
    std::vector<std::string> events;
    for (const std::string& write : exchange_->writes_) {
      for (const auto& event : parser.Feed(write)) {
        events.push_back(event.data_);
      }
    }
    return events;
  }

  std::shared_ptr<RecordingExchange> exchange_ =
    std::make_shared<RecordingExchange>();
  entry::Relay relay_;
};

std::string
TokenEvent(std::uint64_t aIndex)
{
  return net::FormatSse(
    "", absl::StrCat(R"({"index":)", aIndex, R"(,"text":" t)", aIndex, "\"}"));
}

std::string
FinishEvent(std::uint64_t aTokens)
{
  return net::FormatSse(
    "",
    absl::StrCat(
      R"({"event":"end","finish_reason":"length","tokens":)", aTokens, "}"));
}

} // namespace

TEST_CASE("tokens that arrive together are written together and in order")
{
  RelayFixture stream;
  stream.relay_.Feed(TokenEvent(0));
  stream.relay_.Feed(TokenEvent(1) + TokenEvent(2) + TokenEvent(3));
  CHECK(stream.exchange_->begun_);
  REQUIRE(stream.exchange_->writes_.size() == 2);
  const auto events = stream.Events();
  REQUIRE(events.size() == 4);
  for (std::size_t i = 0; i < events.size(); ++i) {
    CHECK(absl::StrContains(events[i], absl::StrCat("\" t", i, "\"")));
  }
}

TEST_CASE("the same events are written wherever the engine's data is split")
{
  const std::string data = TokenEvent(0) + TokenEvent(1) + TokenEvent(2);
  RelayFixture whole;
  whole.relay_.Feed(data);
  for (std::size_t cut = 0; cut <= data.size(); ++cut) {
    RelayFixture parts;
    parts.relay_.Feed(data.substr(0, cut));
    parts.relay_.Feed(data.substr(cut));
    CHECK(parts.Events() == whole.Events());
  }
}

TEST_CASE("a missing token breaks the attempt; earlier tokens are written")
{
  RelayFixture stream;
  stream.relay_.Feed(TokenEvent(0) + TokenEvent(2) + TokenEvent(3));
  CHECK(stream.relay_.State() == entry::RelayState::Broken);
  CHECK(stream.Events().size() == 1);
  CHECK_FALSE(stream.exchange_->ended_);
}

TEST_CASE("an unreadable event breaks the attempt")
{
  RelayFixture stream;
  stream.relay_.Feed(TokenEvent(0) +
                     net::FormatSse("", R"({"index":1,"text":"a)") +
                     TokenEvent(1));
  CHECK(stream.relay_.State() == entry::RelayState::Broken);
  CHECK(stream.Events().size() == 1);
}

TEST_CASE("tokens repeated after a reconnection are not written again")
{
  RelayFixture stream;
  stream.relay_.Feed(TokenEvent(0) + TokenEvent(1) + "data: {\"ind");
  stream.relay_.Restart();
  stream.relay_.Feed(TokenEvent(1) + TokenEvent(2));
  CHECK(stream.relay_.State() == entry::RelayState::Running);
  CHECK(stream.Events().size() == 3);
}

TEST_CASE("the end is written only after the engine has reported it")
{
  RelayFixture stream;
  stream.relay_.Feed(TokenEvent(0) + net::FormatSse("", "[DONE]"));
  CHECK(stream.relay_.State() == entry::RelayState::Running);
  CHECK(stream.Events().size() == 1);
  stream.relay_.Feed(FinishEvent(1));
  REQUIRE(stream.relay_.State() == entry::RelayState::Finished);
  CHECK(stream.Events().size() == 1);
  stream.relay_.SendEnd();
  const auto events = stream.Events();
  REQUIRE(events.size() == 3);
  CHECK(absl::StrContains(events[1], R"("finish_reason":"length")"));
  CHECK(events[2] == "[DONE]");
  CHECK(stream.exchange_->ended_);
}

TEST_CASE("an end event before the last token breaks the attempt")
{
  RelayFixture stream;
  stream.relay_.Feed(TokenEvent(0) + FinishEvent(2));
  CHECK(stream.relay_.State() == entry::RelayState::Broken);
}

TEST_CASE("an answer that isn't streamed is sent as one body")
{
  RelayFixture stream(false);
  stream.relay_.Feed(TokenEvent(0) + TokenEvent(1) + FinishEvent(2));
  CHECK(stream.exchange_->writes_.empty());
  stream.relay_.SendEnd();
  REQUIRE(stream.exchange_->writes_.size() == 1);
  CHECK(absl::StrContains(stream.exchange_->writes_[0], R"(" t0 t1")"));
}

// Guards against an empty answer in place of one whose tokens are unknown.
TEST_CASE("an end event without the number of tokens breaks the attempt")
{
  const bool isStreamed = GENERATE(true, false);
  RelayFixture stream(isStreamed);
  stream.relay_.Feed(
    net::FormatSse("", R"({"event":"end","finish_reason":"stop"})"));
  CHECK(stream.relay_.State() == entry::RelayState::Broken);
}

TEST_CASE("a token without an index breaks the attempt")
{
  RelayFixture stream;
  stream.relay_.Feed(net::FormatSse("", R"({"text":"a"})"));
  CHECK(stream.relay_.State() == entry::RelayState::Broken);
  CHECK(stream.Events().empty());
}
