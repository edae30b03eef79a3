#include "gateway/caller-guard.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include "gateway-world.h"

namespace gateway = lycheeplank::gateway;
namespace catalog = lycheeplank::catalog;
namespace platform = lycheeplank::platform;

namespace {

constexpr std::size_t kMiB = 1U << 20U;

struct Caller
{
  std::shared_ptr<gateway::Socket> socket_;
  std::string answer_;
  bool closed_ = false;
};

// A server with a guard, whose handler answers each request with the size of
// its body, or later if the test says so.
class Guarded
{
public:
  explicit Guarded(std::uint64_t aMemoryMb, std::uint64_t aDescriptors = 0)
    : adapter_(platform::MakeAdapter())
    , host_(loop_,
            MakeSettings(aMemoryMb, aDescriptors),
            adapter_,
            open("/dev/null", O_WRONLY))
    , guard_(host_)
    , server_(
        loop_,
        gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
        [this] { return limits_; },
        [this](const gateway::ServerConnectionPtr& aCaller) {
          ++requests_;
          aCaller->AllowPauses();
          if (holds_) {
            held_.push_back(aCaller);
          } else {
            aCaller->Reply(200,
                           {},
                           answerBytes_ > 0
                             ? std::string(answerBytes_, 'a')
                             : absl::StrCat(aCaller->Body().size()));
          }
        },
        &guard_)
  {
  }

  std::unique_ptr<Caller> Call(const std::string& aBytes)
  {
    auto caller = std::make_unique<Caller>();
    auto* const one = caller.get();
    gateway::Connect(
      loop_,
      gateway::Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                             server_.Port()),
      absl::Seconds(1),
      [one](std::shared_ptr<gateway::Socket> aSocket, auto) {
        one->socket_ = std::move(aSocket);
      });
    RunUntil([&] { return one->socket_ != nullptr; });
    one->socket_->Open({ [one](std::string& aData) {
                          one->answer_ += aData;
                          aData.clear();
                        },
                         [one](gateway::PeerEnd) { one->closed_ = true; },
                         {} });
    // The server may leave bytes unread for some seconds.
    one->socket_->AllowPauses();
    one->socket_->Send(aBytes);
    return caller;
  }

  bool RunUntil(const std::function<bool()>& aHolds,
                std::chrono::seconds aLimit = std::chrono::seconds(15))
  {
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (!aHolds() && std::chrono::steady_clock::now() < end) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(5));
      guard_.Update(gateway::Now());
      server_.CheckTimeouts(gateway::Now());
    }
    return aHolds();
  }

  double Ended(const std::string& aReason) const
  {
    return host_.metrics_.CounterValue("caller_limits_total", aReason);
  }

  gateway::Loop loop_{ 1 };
  gateway::Adapter adapter_;
  gateway::Host host_;
  catalog::RequestLimits limits_;
  gateway::CallerGuard guard_;
  std::vector<gateway::ServerConnectionPtr> held_;
  bool holds_ = false;
  std::size_t answerBytes_ = 0;
  int requests_ = 0;
  gateway::Server server_;

private:
  static gateway::Settings MakeSettings(std::uint64_t aMemoryMb,
                                        std::uint64_t aDescriptors)
  {
    gateway::Settings settings;
    settings.name_ = "n";
    settings.memoryBytes_ = aMemoryMb * 1000000;
    settings.maxDescriptors_ = aDescriptors;
    return settings;
  }
};

std::string
Post(std::size_t aLength, std::size_t aSent)
{
  return absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ",
                      aLength,
                      "\r\n\r\n",
                      std::string(aSent, 'b'));
}

std::string
PostChunks(std::size_t aLength)
{
  std::string text =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < aLength; sent += 4096) {
    lycheeplank::http::AppendChunk(text, std::string(4096, 'c'));
  }
  return text + "0\r\n\r\n";
}

bool
HasStatus(const Caller& aCaller, const std::string& aStatus)
{
  return absl::StartsWith(aCaller.answer_, "HTTP/1.1 " + aStatus);
}

} // namespace

// Guards against callers within the limits who are refused, or whose bodies are
// damaged when they wait for memory.
TEST_CASE("bodies of full size are served with little memory")
{
  const bool chunks = GENERATE(false, true);
  Guarded world(110);
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(20);
  for (int i = 0; i < 20; ++i) {
    callers.push_back(
      world.Call(chunks ? PostChunks(4 * kMiB) : Post(4 * kMiB, 4 * kMiB)));
  }
  CHECK(world.RunUntil([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& aOne) {
      return absl::EndsWith(aOne->answer_, "\r\n\r\n4194304");
    });
  }));
  CHECK(world.guard_.Budget().used_ == 0);
  CHECK(world.guard_.Budget().requests_.empty());
}

TEST_CASE("bodies that stop short give way to others")
{
  Guarded world(64);
  std::vector<std::unique_ptr<Caller>> bad;
  bad.reserve(40);
  for (int i = 0; i < 40; ++i) {
    bad.push_back(world.Call(Post(kMiB, kMiB - 64)));
  }
  const auto good = world.Call(Post(kMiB, kMiB));
  CHECK(world.RunUntil([&] { return !good->answer_.empty(); }));
  CHECK(absl::EndsWith(good->answer_, "1048576"));
  CHECK(world.Ended("stalled_body") > 0);
  CHECK(std::any_of(bad.begin(), bad.end(), [](const auto& aOne) {
    return HasStatus(*aOne, "408") &&
           absl::StrContains(aOne->answer_, "Retry-After: ");
  }));
  CHECK(world.guard_.Budget().used_ <= world.guard_.Budget().bytes_);
}

// Guards against a refusal without its guarantee: the requests that hold the
// memory run, the one that is refused hasn't run.
TEST_CASE("a body that finds no memory is refused with 503")
{
  Guarded world(64);
  world.holds_ = true;
  std::vector<std::unique_ptr<Caller>> running;
  running.reserve(30);
  for (int i = 0; i < 30; ++i) {
    running.push_back(world.Call(Post(kMiB, kMiB)));
  }
  CHECK(world.RunUntil([&] { return world.Ended("no_memory") > 0; }));
  const auto refused = static_cast<int>(
    std::count_if(running.begin(), running.end(), [](const auto& aOne) {
      return HasStatus(*aOne, "503") &&
             absl::StrContains(aOne->answer_, "Retry-After: ");
    }));
  CHECK(world.RunUntil([&] { return world.guard_.Budget().waiting_ == 0; }));
  CHECK(world.requests_ < 30);
  CHECK(world.requests_ + refused <= 30);
  CHECK(world.Ended("stalled_body") == 0);
  // Short requests are still answered.
  world.holds_ = false;
  const auto small = world.Call(Post(100, 100));
  CHECK(world.RunUntil([&] { return !small->answer_.empty(); }));
  CHECK(HasStatus(*small, "200"));
}

// Guards against a stack that overflows, and other callers who wait, when many
// pipelined requests are answered at once.
TEST_CASE("pipelined requests are answered in turn and in order")
{
  Guarded world(110);
  std::string requests;
  constexpr int kRequests = 20000;
  for (int i = 0; i < kRequests; ++i) {
    requests += i % 2 == 0 ? "GET / HTTP/1.1\r\n\r\n" : Post(3, 3);
  }
  const auto caller = world.Call(requests);
  const auto other = world.Call(Post(5, 5));
  CHECK(world.RunUntil([&] { return !other->answer_.empty(); }));
  CHECK(world.requests_ < kRequests);
  CHECK(world.RunUntil([&] { return world.requests_ > kRequests; }));
  CHECK(world.RunUntil(
    [&] { return absl::EndsWith(caller->answer_, "\r\n\r\n3"); }));
  std::size_t at = 0;
  int answers = 0;
  bool inOrder = true;
  while ((at = caller->answer_.find("\r\n\r\n", at)) != std::string::npos) {
    at += 4;
    inOrder = inOrder && caller->answer_[at] == (answers % 2 == 0 ? '0' : '3');
    ++answers;
  }
  CHECK(inOrder);
  CHECK(answers == kRequests);
}

// Guards against answers that pile up for a caller who sends on and doesn't
// read.
TEST_CASE("a caller who doesn't read is not read from and disconnected")
{
  Guarded world(110);
  const auto before = gateway::TotalsOfSockets().unsentBytes_;
  std::string requests;
  for (int i = 0; i < 400000; ++i) {
    requests += "GET / HTTP/1.1\r\n\r\n";
  }
  const auto caller = world.Call("");
  caller->socket_->SetReading(false);
  caller->socket_->Send(requests);
  std::size_t most = 0;
  CHECK(world.RunUntil([&] {
    // Those of the caller itself are included.
    most = std::max(most, gateway::TotalsOfSockets().unsentBytes_ - before);
    return world.Ended("unread_answers") > 0;
  }));
  CHECK(most < 2 * requests.size());
  CHECK(world.server_.Open() == 0);
}

TEST_CASE("idle connections give way to new ones")
{
  Guarded world(0, 230);
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(60);
  for (int i = 0; i < 60; ++i) {
    callers.push_back(world.Call(""));
    CHECK(world.server_.Open() <= 31);
  }
  world.RunUntil([&] { return callers.front()->closed_; });
  CHECK(callers.front()->closed_);
  CHECK_FALSE(callers.back()->closed_);
  CHECK(world.Ended("idle_connection") >= 29);
  const auto caller = world.Call(Post(5, 5));
  CHECK(world.RunUntil([&] { return !caller->answer_.empty(); }));
  CHECK(HasStatus(*caller, "200"));
}

// Guards against descriptors that connections keep which have their last answer
// and don't close, while idle callers lose theirs.
TEST_CASE("connections with their last answer give way before idle ones")
{
  const auto open = gateway::TotalsOfSockets().open_;
  Guarded world(0, 230 + open);
  const auto idle = world.Call("");
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(150);
  // The sockets of both sides are in this process.
  while (callers.size() < 150) {
    callers.push_back(world.Call("GET / HTTP/1.1\r\nBad Field\r\n\r\n"));
    world.RunUntil([&] { return !callers.back()->answer_.empty(); });
    CHECK(HasStatus(*callers.back(), "400"));
    // The peer doesn't notice the end of the connection.
    callers.back()->socket_->SetReading(false);
  }
  CHECK(world.Ended("idle_connection") == 0);
  CHECK_FALSE(idle->closed_);
  CHECK(gateway::TotalsOfSockets().open_ - open < 230);
}

// Guards against running requests that are ended for new connections.
TEST_CASE("no connection with a running request is closed for a new one")
{
  Guarded world(0, 230);
  world.holds_ = true;
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(40);
  for (int i = 0; i < 40; ++i) {
    callers.push_back(world.Call(Post(5, 5)));
    world.RunUntil(
      [&] { return world.requests_ > i || callers.back()->closed_; });
  }
  CHECK(world.requests_ == 30);
  CHECK(world.Ended("too_many_connections") == 10);
  for (int i = 0; i < 30; ++i) {
    CHECK_FALSE(callers[static_cast<std::size_t>(i)]->closed_);
  }
  world.held_.clear();
}

// Guards against a process that runs out of memory by answers that wait for
// slow callers, also on connections that close after their answers.
TEST_CASE("the slowest readers are disconnected when answers wait")
{
  const bool closes = GENERATE(false, true);
  const std::string request =
    closes ? "GET / HTTP/1.0\r\n\r\n" : "GET / HTTP/1.1\r\n\r\n";
  // Open connections of earlier tests are included in the totals.
  const auto before = gateway::TotalsOfSockets().unsentBytes_;
  const auto unsent = [before] {
    return gateway::TotalsOfSockets().unsentBytes_ - before;
  };
  Guarded world(110);
  const auto limit = world.host_.memory_.unsentBytes_;
  world.answerBytes_ = 12 * kMiB;
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(8);
  std::size_t most = 0;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(world.Call(""));
    callers.back()->socket_->SetReading(false);
    callers.back()->socket_->Send(request);
    world.RunUntil([&] { return world.requests_ > i; });
    world.guard_.Update(gateway::Now());
    most = std::max(most, unsent());
  }
  CHECK(world.Ended("slow_reader") > 0);
  // One answer of the test may exceed the limit before the next update.
  CHECK(most <= limit + 12 * kMiB);
  world.guard_.Update(gateway::Now());
  CHECK(unsent() <= limit);
  // One that reads gets its answer whole.
  const auto good = world.Call(request);
  CHECK(world.RunUntil([&] { return good->answer_.size() > 12 * kMiB; }));
}
